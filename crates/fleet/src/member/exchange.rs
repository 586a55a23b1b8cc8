//! Frames between members: vouching, tables, configurations, loans.

use super::{Link, State};
use crate::peer::{Event, identity};
use chestnutrack_core::member::{Answer, Identity, Member, Table, VOUCH_LEASE, VOUCH_PERIOD};
use chestnutrack_core::time::Instant;
use chestnutrack_wire::connection::Sender;
use chestnutrack_wire::frame::{self, Frame};
use std::sync::Arc;
use std::time::Duration;

impl Link {
    /// Sends a frame if the connection is open.
    pub(super) fn send(&mut self, frame: &Frame) {
        let failed = self.sender.as_ref().is_some_and(|sender| sender.send(frame).is_err());
        if failed {
            self.sender = None;
        }
    }
}

impl State {
    pub(super) fn exchange(&mut self, now: Instant, event: Event) {
        match event {
            Event::Opened(peer, sender) => self.opened(now, &peer, sender),
            Event::Answer(peer, frame) => self.answer(now, &peer, frame),
            Event::Closed(peer) => {
                self.metric.links_lost.inc();
                if let Some(link) = self.link(&peer) {
                    link.sender = None;
                }
            }
            Event::Dead(peer) => {
                self.membership.proven_dead(now, &peer);
                self.restand(now);
            }
            Event::Ask(peer, sender, frame) => self.ask(now, &peer, &sender, frame),
        }
    }

    fn link(&mut self, peer: &Identity) -> Option<&mut Link> {
        self.links.get_mut(&peer.name).filter(|link| link.identity == *peer)
    }

    fn opened(&mut self, now: Instant, peer: &Identity, sender: Sender) {
        self.metric.links.inc();
        let frames = [self.members_frame(), self.configuration_frame()];
        let Some(link) = self.link(peer) else {
            return;
        };
        link.sender = Some(sender);
        link.next_ask = now;
        for frame in frames.iter().flatten() {
            link.send(frame);
        }
        self.tend_peers(now);
    }

    /// Asks each peer to vouch, when its time has come.
    pub(super) fn tend_peers(&mut self, now: Instant) {
        self.asks.retain(|_, (_, sent)| now.since(*sent) < VOUCH_LEASE);
        let (members, configuration) = (self.membership.version(), self.config.version());
        let me = self.membership.me().clone();
        if self.membership.is_leaving() {
            return;
        }
        for link in self.links.values_mut() {
            if now < link.next_ask || link.sender.is_none() {
                continue;
            }
            let ask = self.next_ask;
            self.next_ask += 1;
            self.asks.insert(ask, (link.identity.clone(), now));
            let sender = frame::Sender { name: me.name.clone(), incarnation: me.incarnation };
            link.send(&Frame::Vouch { ask, sender, members, configuration });
            link.next_ask = now + VOUCH_PERIOD;
            self.metric.asks.inc();
        }
    }

    /// Takes a frame from a peer that this member has dialed.
    fn answer(&mut self, now: Instant, peer: &Identity, frame: Frame) {
        match frame {
            Frame::Vouched { ask, members, listed, configuration, confirmed_ms_ago, .. } => {
                let Some((asked, sent)) = self.asks.remove(&ask) else {
                    return;
                };
                if asked != *peer {
                    return;
                }
                let answer = Answer { sent, members, listed, configuration };
                self.membership.answered(now, peer, answer);
                let age = Duration::from_millis(confirmed_ms_ago);
                self.config.told(configuration, age, sent);
                self.metric.vouched.inc();
                self.restand(now);
                self.run_limits(now);
            }
            Frame::Lent { ask, tokens } => self.take_loan(now, ask, tokens),
            other => self.news(now, other),
        }
    }

    /// Takes a frame from a peer that has dialed this member.
    fn ask(&mut self, now: Instant, peer: &Identity, sender: &Sender, frame: Frame) {
        match frame {
            Frame::Vouch { ask, sender: asker, members, configuration } => {
                if identity(&asker) != *peer {
                    return;
                }
                let listed = self.membership.vouch(now, peer, members, configuration);
                let _ = sender.send(&self.vouched(now, ask, listed));
                if members < self.membership.version() {
                    let _ = self.members_frame().map(|frame| sender.send(&frame));
                }
                if configuration < self.config.version() {
                    let _ = self.configuration_frame().map(|frame| sender.send(&frame));
                }
                self.restand(now);
            }
            Frame::Borrow { ask, organisation, tokens } => {
                let tokens = self.lend(now, peer, &organisation, tokens);
                let _ = sender.send(&Frame::Lent { ask, tokens });
            }
            other => self.news(now, other),
        }
    }

    fn vouched(&self, now: Instant, ask: u64, listed: bool) -> Frame {
        let Identity { name, incarnation } = self.membership.me().clone();
        let ago = self.config.confirmed_ago(now);
        let confirmed_ms_ago = ago.and_then(|ago| u64::try_from(ago.as_millis() + 1).ok());
        Frame::Vouched {
            ask,
            sender: frame::Sender { name, incarnation },
            members: self.membership.version(),
            listed,
            configuration: self.config.version(),
            confirmed_ms_ago: confirmed_ms_ago.unwrap_or(u64::MAX),
        }
    }

    /// Takes what members pass on to each other unasked.
    fn news(&mut self, now: Instant, frame: Frame) {
        match frame {
            Frame::Members { version, members } => {
                let member = |member: frame::Member| Member {
                    identity: identity(&member.sender),
                    address: member.address,
                };
                let members = members.into_iter().map(member).collect();
                self.offer_table(now, Table { version, members });
            }
            Frame::Configuration { version, document } => {
                self.offer_config(now, version, Arc::from(document));
            }
            _ => {}
        }
    }
}

//! Frames between members: vouching, tables, configurations, loans.

use super::{Link, State};
use crate::peer::{Event, identity};
use chestnutrack_core::member::{Answer, Identity, Member, Table, VOUCH_LEASE, VOUCH_PERIOD};
use chestnutrack_core::time::Instant;
use chestnutrack_wire::connection::Sender;
use chestnutrack_wire::frame::{self, Frame};
use std::sync::Arc;
use std::time::Duration;

/// A peer's ask to be vouched for.
struct Ask {
    number: u64,
    members: u64,
    configuration: u64,
}

impl Link {
    /// Sends a frame on the connection that was dialed or, failing that, on the peer's own.
    pub(super) fn send(&mut self, frame: &Frame) {
        self.sender.take_if(|sender| sender.is_closed());
        self.accepted.take_if(|sender| sender.is_closed());
        if let Some(sender) = self.sender.as_ref().or(self.accepted.as_ref()) {
            let _ = sender.send(frame);
        }
    }

    fn is_open(&self) -> bool {
        self.sender.is_some() || self.accepted.is_some()
    }
}

impl State {
    pub(super) fn exchange(&mut self, now: Instant, event: Event) {
        match event {
            Event::Opened(peer, sender) => self.opened(now, &peer, sender),
            Event::Answer(peer, frame) => {
                let sender = self.link(&peer).and_then(|link| link.sender.clone());
                self.take_frame(now, &peer, sender.as_ref(), frame);
            }
            Event::Closed(peer) => {
                self.metric.links_lost.inc();
                if let Some(link) = self.link(&peer) {
                    link.sender = None;
                }
            }
            Event::Dead(peer) => {
                self.membership.record_death_proof(now, &peer);
                self.restand(now);
            }
            Event::Ask(peer, sender, frame) => {
                if let Some(link) = self.link(&peer) {
                    link.accepted = Some(sender.clone());
                }
                self.take_frame(now, &peer, Some(&sender), frame);
            }
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
            if now < link.next_ask || !link.is_open() {
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

    /// Takes a frame; an answer goes to the connection that it came on.
    fn take_frame(&mut self, now: Instant, peer: &Identity, back: Option<&Sender>, frame: Frame) {
        let reply = |frame: &Frame| drop(back.map(|sender| sender.send(frame)));
        match frame {
            Frame::Vouch { ask, sender, members, configuration } => {
                if identity(&sender) == *peer {
                    let ask = Ask { number: ask, members, configuration };
                    self.vouch(now, peer, &ask).iter().for_each(reply);
                }
            }
            Frame::Vouched { ask, members, listed, configuration, confirmed_ms_ago, .. } => {
                let answer = Answer {
                    sent: now,
                    table_version: members,
                    listed,
                    configuration_version: configuration,
                };
                self.answered(now, peer, ask, answer, Duration::from_millis(confirmed_ms_ago));
            }
            Frame::Borrow { ask, organisation, tokens } => {
                let tokens = self.lend(now, peer, &organisation, tokens);
                reply(&Frame::Lent { ask, tokens });
            }
            Frame::Lent { ask, tokens } => self.take_loan(now, ask, tokens),
            other => self.news(now, other),
        }
    }

    /// Vouches for a peer, or not, and passes on what it doesn't know yet.
    fn vouch(&mut self, now: Instant, peer: &Identity, ask: &Ask) -> Vec<Frame> {
        let listed = self.membership.vouch(now, peer, ask.members, ask.configuration);
        self.restand(now);
        let mut frames = vec![self.vouched(now, ask.number, listed)];
        if ask.members < self.membership.version() {
            frames.extend(self.members_frame());
        }
        if ask.configuration < self.config.version() {
            frames.extend(self.configuration_frame());
        }
        frames
    }

    fn answered(
        &mut self,
        now: Instant,
        peer: &Identity,
        ask: u64,
        mut answer: Answer,
        age: Duration,
    ) {
        let Some((asked, sent)) = self.asks.remove(&ask) else {
            return;
        };
        if asked != *peer {
            return;
        }
        answer.sent = sent;
        self.membership.record_answer(now, peer, answer);
        self.config.confirm_from_peer(answer.configuration_version, age, sent);
        self.metric.vouched.inc();
        self.restand(now);
        self.run_limits(now);
    }

    fn vouched(&self, now: Instant, ask: u64, listed: bool) -> Frame {
        let Identity { name, incarnation } = self.membership.me().clone();
        let ago = self.config.confirmation_age(now);
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
                self.offer_table(now, Table { version, members, former: None });
            }
            Frame::Configuration { version, document } => {
                self.offer_config(now, version, Arc::from(document));
            }
            _ => {}
        }
    }
}

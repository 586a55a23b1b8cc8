//! Frames between members: vouch requests, tables, configurations and loans of tokens.
//!
//! With a vouch request, a member asks a peer to confirm that the peer's table of members lists it.
//! A positive answer is a lease; such leases keep the member current. The request also carries the
//! versions of the table and of the configuration in force, so that a peer with newer ones sends
//! them.

use super::{Link, State};
use crate::peer::{Event, identity};
use chestnutrack_core::member::{Answer, Identity, Member, Table, VOUCH_LEASE, VOUCH_PERIOD};
use chestnutrack_core::time::Instant;
use chestnutrack_wire::connection::Sender;
use chestnutrack_wire::frame::{self, Frame};
use std::sync::Arc;
use std::time::Duration;

/// A peer's vouch request.
struct VouchRequest {
    /// Number of the request, repeated in the answer.
    id: u64,
    /// Version of the table in force at the peer.
    table_version: u64,
    /// Version of the configuration in force at the peer.
    configuration_version: u64,
}

impl Link {
    /// Sends a frame on the dialed connection or, if there is none, on the one that the peer dialed.
    pub(super) fn send(&mut self, frame: &Frame) {
        self.sender.take_if(|sender| sender.is_closed());
        self.accepted.take_if(|sender| sender.is_closed());
        if let Some(sender) = self.sender.as_ref().or(self.accepted.as_ref()) {
            let _ = sender.send(frame);
        }
    }

    /// Returns `true` if there is a connection in either direction.
    fn is_open(&self) -> bool {
        self.sender.is_some() || self.accepted.is_some()
    }
}

impl State {
    /// Handles an event on a connection to a peer. Frames of either connection are handled alike;
    /// the answers to a peer's request go out on the connection on which it arrived.
    pub(super) fn handle_peer_event(&mut self, now: Instant, event: Event) {
        match event {
            Event::Opened(peer, sender) => self.handle_opened(now, &peer, sender),
            Event::Answer(peer, frame) => {
                let sender = self.link(&peer).and_then(|link| link.sender.clone());
                self.handle_frame(now, &peer, sender.as_ref(), frame);
            }
            Event::Closed(peer) => {
                self.metrics.links_lost.inc();
                if let Some(link) = self.link(&peer) {
                    link.sender = None;
                }
            }
            Event::Dead(peer) => {
                self.membership.record_death_proof(now, &peer);
                self.update_limit_state(now);
            }
            Event::Request(peer, sender, frame) => {
                if let Some(link) = self.link(&peer) {
                    link.accepted = Some(sender.clone());
                }
                self.handle_frame(now, &peer, Some(&sender), frame);
            }
        }
    }

    /// Returns the link to a peer, or `None` if there is none or it belongs to another process
    /// of that name.
    fn link(&mut self, peer: &Identity) -> Option<&mut Link> {
        self.links.get_mut(&peer.name).filter(|link| link.identity == *peer)
    }

    /// Handles a dialed connection that has opened: sends the table and the configuration in force,
    /// and a vouch request at once.
    fn handle_opened(&mut self, now: Instant, peer: &Identity, sender: Sender) {
        self.metrics.links.inc();
        let frames = [self.members_frame(), self.configuration_frame()];
        let Some(link) = self.link(peer) else {
            return;
        };
        link.sender = Some(sender);
        link.next_vouch_at = now;
        for frame in frames.iter().flatten() {
            link.send(frame);
        }
        self.send_vouch_requests(now);
    }

    /// Sends the vouch requests that are due, and forgets unanswered ones that have expired. A
    /// leaving member sends none.
    pub(super) fn send_vouch_requests(&mut self, now: Instant) {
        self.vouch_requests.retain(|_, (_, sent_at)| now.since(*sent_at) < VOUCH_LEASE);
        let (table_version, configuration_version) =
            (self.membership.version(), self.config.version());
        let me = self.membership.me().clone();
        if self.membership.is_leaving() {
            return;
        }
        for link in self.links.values_mut() {
            if now < link.next_vouch_at || !link.is_open() {
                continue;
            }
            let request_id = self.next_request_id;
            self.next_request_id += 1;
            self.vouch_requests.insert(request_id, (link.identity.clone(), now));
            let sender = frame::Sender { name: me.name.clone(), incarnation: me.incarnation };
            link.send(&Frame::Vouch {
                ask: request_id,
                sender,
                members: table_version,
                configuration: configuration_version,
            });
            link.next_vouch_at = now + VOUCH_PERIOD;
            self.metrics.vouch_requests.inc();
        }
    }

    /// Handles a frame from a peer; answers are sent to `reply_to`, if it is given.
    fn handle_frame(
        &mut self,
        now: Instant,
        peer: &Identity,
        reply_to: Option<&Sender>,
        frame: Frame,
    ) {
        // An answer that can't be sent is dropped.
        let reply = |frame: &Frame| drop(reply_to.map(|sender| sender.send(frame)));
        match frame {
            Frame::Vouch { ask, sender, members, configuration } => {
                if identity(&sender) == *peer {
                    let request = VouchRequest {
                        id: ask,
                        table_version: members,
                        configuration_version: configuration,
                    };
                    self.answer_vouch_request(now, peer, &request).iter().for_each(reply);
                }
            }
            Frame::Vouched { ask, members, listed, configuration, confirmed_ms_ago, .. } => {
                let answer = Answer {
                    // Replaced by the time at which the request was sent once the request is found.
                    sent: now,
                    table_version: members,
                    listed,
                    configuration_version: configuration,
                };
                self.handle_vouch_answer(
                    now,
                    peer,
                    ask,
                    answer,
                    Duration::from_millis(confirmed_ms_ago),
                );
            }
            Frame::Borrow { ask, organisation, tokens } => {
                let tokens = self.lend(now, peer, &organisation, tokens);
                reply(&Frame::Lent { ask, tokens });
            }
            Frame::Lent { ask, tokens } => self.handle_loan_answer(now, ask, tokens),
            other => self.handle_announcement(now, other),
        }
    }

    /// Returns the answer to a peer's vouch request, followed by the table and the configuration if the
    /// peer has older versions.
    fn answer_vouch_request(
        &mut self,
        now: Instant,
        peer: &Identity,
        request: &VouchRequest,
    ) -> Vec<Frame> {
        let listed =
            self.membership.vouch(now, peer, request.table_version, request.configuration_version);
        self.update_limit_state(now);
        let mut frames = vec![self.vouched_frame(now, request.id, listed)];
        if request.table_version < self.membership.version() {
            frames.extend(self.members_frame());
        }
        if request.configuration_version < self.config.version() {
            frames.extend(self.configuration_frame());
        }
        frames
    }

    /// Records a peer's answer to a vouch request. Ignores answers to requests that have expired or
    /// that were sent to another peer. The answer counts from the time at which the request was
    /// sent. `age` is the time since the peer's configuration was confirmed.
    fn handle_vouch_answer(
        &mut self,
        now: Instant,
        peer: &Identity,
        request_id: u64,
        mut answer: Answer,
        age: Duration,
    ) {
        let Some((asked_peer, sent_at)) = self.vouch_requests.remove(&request_id) else {
            return;
        };
        if asked_peer != *peer {
            return;
        }
        answer.sent = sent_at;
        self.membership.record_answer(now, peer, answer);
        self.config.confirm_from_peer(answer.configuration_version, age, sent_at);
        self.metrics.vouches.inc();
        self.update_limit_state(now);
        self.run_limits(now);
    }

    /// Returns the answer to a vouch request.
    fn vouched_frame(&self, now: Instant, ask: u64, listed: bool) -> Frame {
        let Identity { name, incarnation } = self.membership.me().clone();
        let age = self.config.confirmation_age(now);
        let confirmed_ms_ago = age.and_then(|age| u64::try_from(age.as_millis() + 1).ok());
        Frame::Vouched {
            ask,
            sender: frame::Sender { name, incarnation },
            members: self.membership.version(),
            listed,
            configuration: self.config.version(),
            confirmed_ms_ago: confirmed_ms_ago.unwrap_or(u64::MAX),
        }
    }

    /// Handles a table or configuration that a peer announced, and ignores all other frames.
    fn handle_announcement(&mut self, now: Instant, frame: Frame) {
        match frame {
            Frame::Members { version, members } => {
                let to_member = |member: frame::Member| Member {
                    identity: identity(&member.sender),
                    address: member.address,
                };
                let members = members.into_iter().map(to_member).collect();
                self.offer_table(now, Table { version, members, former: None });
            }
            Frame::Configuration { version, document } => {
                self.offer_config(now, version, Arc::from(document));
            }
            _ => {}
        }
    }
}

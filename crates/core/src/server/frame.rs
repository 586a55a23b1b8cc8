//! Handles frames from entry hosts: identifies the sender, checks that it owns the hold that the
//! frame is about, and detects late and repeated frames. A hold is the resources that one attempt
//! of a request occupies on the server.

use super::event::{Connection, Effect};
use super::hold::{Answer, Hold, Key, Stage, Work};
use super::{Counter, Id, Server, owner};
use crate::time::Instant;
use chestnutrack_document::model::Role;
use chestnutrack_wire::Frame;
use chestnutrack_wire::frame::{Cause, Failure, Load, Sender, VERSION};
use std::sync::Arc;

/// Where a frame comes from: the attempt that it is about, the entry host that sent it, and the
/// connection.
pub(super) struct Origin {
    pub(super) id: Id,
    pub(super) owner: owner::Key,
    pub(super) connection: Connection,
}

impl Server {
    /// Handles a frame. Only a hello is accepted on a connection that is not registered.
    pub(super) fn handle_frame(&mut self, now: Instant, connection: Connection, frame: Frame) {
        self.count(Counter::Frames);
        if let Frame::Hello { version, sender, configuration } = frame {
            self.handle_hello(now, connection, version, sender, configuration);
            return;
        }
        let Some(owner) = self.owners.record_frame(now, connection) else {
            self.count(Counter::LateFrames);
            return;
        };
        let origin = |request, attempt| Origin { id: (request, attempt), owner, connection };
        match frame {
            Frame::Ping(number) => {
                self.effects.push(Effect::Send(connection, Frame::Pong(number)));
                self.report(now, owner, connection);
            }
            Frame::Reserve(request, attempt, reserve) => {
                self.reserve(now, &origin(request, attempt), reserve);
            }
            Frame::Prefill(request, attempt, prefill) => {
                self.prefill(now, &origin(request, attempt), prefill);
            }
            Frame::Decode(request, attempt, decode) => {
                self.decode(now, &origin(request, attempt), decode);
            }
            Frame::Forward(request, attempt, forward) => {
                self.forward(now, &origin(request, attempt), forward);
            }
            Frame::Cancel(request, attempt) => self.cancel(now, &origin(request, attempt)),
            Frame::Done(request, attempt) => self.handle_done(now, &origin(request, attempt)),
            Frame::Resume(request, attempt, offset) => {
                self.resume(now, &origin(request, attempt), offset);
            }
            Frame::Pong(_) | Frame::Leaving | Frame::Configuration { .. } => {}
            _ => self.count(Counter::ProtocolViolations),
        }
    }

    /// Handles the first frame of a connection and registers the sender.
    ///
    /// Closes the connection if the sender speaks a newer protocol, or was replaced by another
    /// incarnation that is connected. A sender with the successor's name is a side process that
    /// replaces this one. Otherwise, the sender's previous connection is closed and the holds of
    /// its former incarnations are freed. The reply consists of this process's hello, the
    /// configuration if the sender knows an older one, whether the server is leaving, and its load.
    fn handle_hello(
        &mut self,
        now: Instant,
        connection: Connection,
        protocol_version: u32,
        sender: Sender,
        known_configuration: u64,
    ) {
        if protocol_version > VERSION {
            self.count(Counter::ProtocolViolations);
            self.effects.push(Effect::Close(connection));
            return;
        }
        if sender.name == super::successor_name(&self.sender.name) {
            self.handle_successor(connection);
            return;
        }
        let Some(registration) = self.owners.register(now, connection, sender) else {
            self.count(Counter::ForeignFrames);
            self.effects.push(Effect::Close(connection));
            return;
        };
        if let Some(old) = registration.previous_connection {
            self.detach(now, old);
            self.effects.push(Effect::Close(old));
        }
        for former in registration.former_incarnations {
            self.remove_owner(now, former);
        }
        let hello = Frame::Hello {
            version: VERSION,
            sender: self.sender.clone(),
            configuration: self.config_version,
        };
        self.effects.push(Effect::Send(connection, hello));
        if known_configuration < self.config_version {
            self.effects.push(Effect::SendConfiguration(connection));
        }
        if self.leaving_since.is_some() {
            self.effects.push(Effect::Send(connection, Frame::Leaving));
        }
        self.report(now, registration.key, connection);
    }

    /// Sends the server's load if it differs from the last report to this entry host. The estimate
    /// of when a slot becomes free changes all the time, so it alone doesn't cause a report.
    fn report(&mut self, now: Instant, owner: owner::Key, connection: Connection) {
        let load = self.load(now);
        if self.owners.record_report(owner, Load { free_in_ms: 0, ..load }) {
            self.effects.push(Effect::Send(connection, Frame::Loaded(load)));
        }
    }

    /// Returns the hold that a frame is about, if it exists and the sender owns it. From then on,
    /// the answer of the hold is sent on the connection of the frame.
    pub(super) fn find_owned(&mut self, origin: &Origin) -> Option<Key> {
        let Some(&key) = self.index.get(&origin.id) else {
            self.count(Counter::LateFrames);
            return None;
        };
        let hold = self.holds.get_mut(key)?;
        if hold.owner != origin.owner {
            self.count(Counter::ForeignFrames);
            return None;
        }
        hold.connection = Some(origin.connection);
        hold.detached_since = None;
        Some(key)
    }

    /// Returns `true` if a request for new work is new and the server takes such work: it has a
    /// configuration and authority, has the role and is not leaving.
    ///
    /// A repeated request doesn't start new work. If its attempt has failed, the failure is sent
    /// again; if it has a hold, the reply that fits its current stage is sent again. All others are
    /// refused.
    pub(super) fn admit(&mut self, now: Instant, origin: &Origin, role: Role) -> bool {
        if let Some(failure) = self.ended.get(origin.id) {
            self.repeat_outcome(now, origin, failure);
            return false;
        }
        if self.index.contains_key(&origin.id) {
            if let Some(key) = self.find_owned(origin) {
                self.count(Counter::LateFrames);
                self.repeat(now, key);
            }
            return false;
        }
        let cause = if self.config.is_none() || !self.authority.is_usable() {
            Some(if self.authority.is_lost() { Cause::Fenced } else { Cause::Unconfigured })
        } else if self.role() != Some(role) {
            Some(Cause::Protocol)
        } else if self.leaving_since.is_some() {
            Some(Cause::Leaving)
        } else {
            None
        };
        if let Some(cause) = cause {
            self.refuse(now, origin, cause);
        }
        cause.is_none()
    }

    /// Answers a repeated request whose attempt has ended: sends the failure again if it failed,
    /// and nothing otherwise.
    fn repeat_outcome(&mut self, now: Instant, origin: &Origin, failure: Option<Failure>) {
        self.count(Counter::LateFrames);
        let Some(failure) = failure else { return };
        let (request, attempt) = origin.id;
        let load = self.load(now);
        let frame = Frame::Failed(request, attempt, failure, load);
        self.effects.push(Effect::Send(origin.connection, frame));
    }

    /// Adds a hold that waits for a slot until `until`. Derives its engine memory and its cost for
    /// fair scheduling from the work.
    pub(super) fn insert(
        &mut self,
        now: Instant,
        origin: &Origin,
        organisation: Arc<str>,
        may_wait: bool,
        work: Work,
        until: Instant,
    ) -> Key {
        let (kv_tokens, cost) = match &work {
            Work::Decode(reserve, _) => (
                reserve.kv_tokens,
                u64::from(reserve.transfer_tokens) + u64::from(reserve.output_tokens),
            ),
            Work::Prefill(prefill, _) => (prefill.prompt_tokens, u64::from(prefill.prompt_tokens)),
            Work::Forward(_) => (0, 1),
        };
        let key = self.holds.insert(Hold {
            id: origin.id,
            owner: origin.owner,
            connection: Some(origin.connection),
            detached_since: None,
            organisation,
            may_wait,
            kv_tokens,
            cost,
            work,
            stage: Stage::Waiting { since: now, until },
            answer: Answer::default(),
        });
        self.index.insert(origin.id, key);
        self.needs_assignment = true;
        key
    }

    /// Handles a cancellation by the entry host. The attempt counts as ended even if its request
    /// has not been received yet, so that a late request doesn't run it.
    fn cancel(&mut self, now: Instant, origin: &Origin) {
        self.ended.add(now, origin.id, None);
        self.reconcile.drop_early_resume(origin.id);
        if let Some(key) = self.find_owned(origin) {
            self.count(Counter::Freed(super::count::Reason::Cancelled));
            self.free(now, key);
        }
    }

    /// Handles the confirmation that the entry host has received the whole answer.
    fn handle_done(&mut self, now: Instant, origin: &Origin) {
        self.ended.add(now, origin.id, None);
        if let Some(key) = self.find_owned(origin) {
            self.count(Counter::Freed(super::count::Reason::Done));
            self.free(now, key);
        }
    }
}

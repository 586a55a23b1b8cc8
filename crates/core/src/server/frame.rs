//! Dispatches frames from entry hosts: identifies the sender, checks that it owns the hold, and
//! detects late and repeated frames.

use super::event::{Connection, Effect};
use super::hold::{Answer, Hold, Key, Stage, Work};
use super::{Counter, Id, Server, owner};
use crate::time::Instant;
use chestnutrack_document::model::Role;
use chestnutrack_wire::Frame;
use chestnutrack_wire::frame::{Cause, Failure, Load, Sender, VERSION};
use std::sync::Arc;

/// The attempt that a frame is about, and the entry host that sent the frame.
pub(super) struct Origin {
    pub(super) id: Id,
    pub(super) owner: owner::Key,
    pub(super) connection: Connection,
}

impl Server {
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

    /// Reports the server's load if it differs from the last report. The estimate of when a slot
    /// becomes free changes all the time, so it alone doesn't cause a report.
    fn report(&mut self, now: Instant, owner: owner::Key, connection: Connection) {
        let load = self.load(now);
        if self.owners.record_report(owner, Load { free_in_ms: 0, ..load }) {
            self.effects.push(Effect::Send(connection, Frame::Loaded(load)));
        }
    }

    /// Returns the hold that a frame is about, if it exists and the sender owns it. The hold then
    /// follows the sender's connection.
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

    /// Returns `true` if a request for new work is admitted, and refuses it otherwise. A repeated
    /// request gets the same answer as the first.
    pub(super) fn admit(&mut self, now: Instant, origin: &Origin, role: Role) -> bool {
        if let Some(end) = self.ended.get(origin.id) {
            self.repeat_outcome(now, origin, end);
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

    fn repeat_outcome(&mut self, now: Instant, origin: &Origin, end: Option<Failure>) {
        self.count(Counter::LateFrames);
        let Some(failure) = end else { return };
        let (request, attempt) = origin.id;
        let load = self.load(now);
        let frame = Frame::Failed(request, attempt, failure, load);
        self.effects.push(Effect::Send(origin.connection, frame));
    }

    /// Adds a hold that waits for a slot until `until`.
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

    fn cancel(&mut self, now: Instant, origin: &Origin) {
        self.ended.add(now, origin.id, None);
        self.reconcile.drop_early_resume(origin.id);
        if let Some(key) = self.find_owned(origin) {
            self.count(Counter::Freed(super::count::Reason::Cancelled));
            self.free(now, key);
        }
    }

    fn handle_done(&mut self, now: Instant, origin: &Origin) {
        self.ended.add(now, origin.id, None);
        if let Some(key) = self.find_owned(origin) {
            self.count(Counter::Freed(super::count::Reason::Done));
            self.free(now, key);
        }
    }
}

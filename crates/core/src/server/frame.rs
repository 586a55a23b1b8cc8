//! Frames from entry hosts: who speaks, whose hold it is, and whether it is late.

use super::event::{Connection, Effect};
use super::hold::{Answer, Hold, Key, Stage, Work};
use super::{Counter, Id, Server, owner};
use crate::time::Instant;
use chestnutrack_document::model::Role;
use chestnutrack_wire::Frame;
use chestnutrack_wire::frame::{Cause, Failure, Load, Sender, VERSION};
use std::sync::Arc;

/// Who asks for what.
pub(super) struct Asked {
    pub(super) id: Id,
    pub(super) owner: owner::Key,
    pub(super) connection: Connection,
}

impl Server {
    pub(super) fn frame(&mut self, now: Instant, connection: Connection, frame: Frame) {
        self.count(Counter::Frames);
        if let Frame::Hello { version, sender, configuration } = frame {
            self.hello(now, connection, version, sender, configuration);
            return;
        }
        let Some(owner) = self.owners.heard(now, connection) else {
            self.count(Counter::Late);
            return;
        };
        let asked = |request, attempt| Asked { id: (request, attempt), owner, connection };
        match frame {
            Frame::Ping(number) => {
                self.effects.push(Effect::Send(connection, Frame::Pong(number)));
                self.report(now, owner, connection);
            }
            Frame::Reserve(request, attempt, ask) => {
                self.reserve(now, &asked(request, attempt), ask);
            }
            Frame::Prefill(request, attempt, ask) => {
                self.prefill(now, &asked(request, attempt), ask);
            }
            Frame::Decode(request, attempt, ask) => {
                self.decode(now, &asked(request, attempt), ask);
            }
            Frame::Forward(request, attempt, ask) => {
                self.forward(now, &asked(request, attempt), ask);
            }
            Frame::Cancel(request, attempt) => self.cancel(now, &asked(request, attempt)),
            Frame::Done(request, attempt) => self.done(now, &asked(request, attempt)),
            Frame::Resume(request, attempt, offset) => {
                self.resume(now, &asked(request, attempt), offset);
            }
            Frame::Pong(_) | Frame::Leaving | Frame::Configuration { .. } => {}
            _ => self.count(Counter::Protocol),
        }
    }

    fn hello(
        &mut self,
        now: Instant,
        connection: Connection,
        version: u32,
        sender: Sender,
        configuration: u64,
    ) {
        if version > VERSION {
            self.count(Counter::Protocol);
            self.effects.push(Effect::Close(connection));
            return;
        }
        if sender.name == super::successor_name(&self.sender.name) {
            self.successor(connection);
            return;
        }
        let Some(introduced) = self.owners.introduce(now, connection, sender) else {
            self.count(Counter::Foreign);
            self.effects.push(Effect::Close(connection));
            return;
        };
        if let Some(old) = introduced.replaced {
            self.detach(now, old);
            self.effects.push(Effect::Close(old));
        }
        for gone in introduced.gone {
            self.owner_gone(now, gone);
        }
        let hello = Frame::Hello {
            version: VERSION,
            sender: self.sender.clone(),
            configuration: self.version,
        };
        self.effects.push(Effect::Send(connection, hello));
        if configuration < self.version {
            self.effects.push(Effect::SendConfiguration(connection));
        }
        if self.leaving.is_some() {
            self.effects.push(Effect::Send(connection, Frame::Leaving));
        }
        self.report(now, introduced.key, connection);
    }

    /// Reports the server's load, if it has changed since the last report. How soon a slot is free
    /// is an estimate that moves all the time and is no change by itself.
    fn report(&mut self, now: Instant, owner: owner::Key, connection: Connection) {
        let load = self.load(now);
        if self.owners.tell(owner, Load { free_in_ms: 0, ..load }) {
            self.effects.push(Effect::Send(connection, Frame::Loaded(load)));
        }
    }

    /// The hold that a frame is about, if it stands and the sender owns it. The sender's
    /// connection follows it from now on.
    pub(super) fn own(&mut self, asked: &Asked) -> Option<Key> {
        let Some(&key) = self.index.get(&asked.id) else {
            self.count(Counter::Late);
            return None;
        };
        let hold = self.holds.get_mut(key)?;
        if hold.owner != asked.owner {
            self.count(Counter::Foreign);
            return None;
        }
        hold.connection = Some(asked.connection);
        hold.detached = None;
        Some(key)
    }

    /// Whether an ask for new work may go on. One that was taken before is answered as it was.
    pub(super) fn admit(&mut self, now: Instant, asked: &Asked, role: Role) -> bool {
        if let Some(end) = self.past.get(asked.id) {
            self.repeat_past(now, asked, end);
            return false;
        }
        if self.index.contains_key(&asked.id) {
            if let Some(key) = self.own(asked) {
                self.count(Counter::Late);
                self.repeat(now, key);
            }
            return false;
        }
        let cause = if self.config.is_none() || !self.authority.is_usable() {
            Some(if self.authority.is_lost() { Cause::Fenced } else { Cause::Unconfigured })
        } else if self.role() != Some(role) {
            Some(Cause::Protocol)
        } else if self.leaving.is_some() {
            Some(Cause::Leaving)
        } else {
            None
        };
        if let Some(cause) = cause {
            self.refuse(now, asked, cause);
        }
        cause.is_none()
    }

    fn repeat_past(&mut self, now: Instant, asked: &Asked, end: Option<Failure>) {
        self.count(Counter::Late);
        let Some(failure) = end else { return };
        let (request, attempt) = asked.id;
        let load = self.load(now);
        let frame = Frame::Failed(request, attempt, failure, load);
        self.effects.push(Effect::Send(asked.connection, frame));
    }

    /// Adds a hold that waits until `until`.
    pub(super) fn insert(
        &mut self,
        now: Instant,
        asked: &Asked,
        organisation: Arc<str>,
        may_wait: bool,
        work: Work,
        until: Instant,
    ) -> Key {
        let (kv_tokens, cost) = match &work {
            Work::Decode(ask, _) => {
                (ask.kv_tokens, u64::from(ask.transfer_tokens) + u64::from(ask.output_tokens))
            }
            Work::Prefill(ask, _) => (ask.prompt_tokens, u64::from(ask.prompt_tokens)),
            Work::Forward(_) => (0, 1),
        };
        let key = self.holds.insert(Hold {
            id: asked.id,
            owner: asked.owner,
            connection: Some(asked.connection),
            detached: None,
            organisation,
            may_wait,
            kv_tokens,
            cost,
            work,
            stage: Stage::Waiting { since: now, until },
            answer: Answer::default(),
        });
        self.index.insert(asked.id, key);
        self.changed = true;
        key
    }

    fn cancel(&mut self, now: Instant, asked: &Asked) {
        self.past.add(now, asked.id, None);
        self.reconcile.disclaim(asked.id);
        if let Some(key) = self.own(asked) {
            self.count(Counter::Freed(super::count::Reason::Cancelled));
            self.free(now, key);
        }
    }

    fn done(&mut self, now: Instant, asked: &Asked) {
        self.past.add(now, asked.id, None);
        if let Some(key) = self.own(asked) {
            self.count(Counter::Freed(super::count::Reason::Done));
            self.free(now, key);
        }
    }
}

//! Plain services, which are backend servers without an engine: forwards calls and relays their
//! answers.

use super::decode::failure;
use super::event::{Effect, Header};
use super::frame::Origin;
use super::hold::{Key, Stage, Work};
use super::{Counter, Server};
use crate::time::Instant;
use chestnutrack_document::model::Role;
use chestnutrack_wire::Frame;
use chestnutrack_wire::frame::{Cause, Forward, Ran};
use std::time::Duration;

impl Server {
    /// Handles a request to call the service. Refuses it if no slot is expected within the time
    /// that it may wait, or if it exceeds a queue limit; otherwise it waits in the table.
    pub(super) fn forward(&mut self, now: Instant, origin: &Origin, forward: Forward) {
        if !self.admit(now, origin, Role::Plain) {
            return;
        }
        let organisation = forward.organisation.clone().unwrap_or_default();
        let wait_ms = forward.wait_ms.min(forward.deadline_ms);
        if !self.has_room(&organisation, 0, wait_ms, forward.body.len()) {
            self.refuse(now, origin, Cause::Full);
            return;
        }
        let until = now + Duration::from_millis(u64::from(wait_ms));
        let may_wait = forward.may_wait;
        self.insert(now, origin, organisation, may_wait, Work::Forward(Some(forward)), until);
    }

    /// Makes the call of a waiting hold. Its deadline counts from when it began to wait.
    pub(super) fn start_call(&mut self, key: Key) {
        let Some(hold) = self.holds.get_mut(key) else { return };
        let (Work::Forward(pending), Stage::Waiting { since, .. }) = (&mut hold.work, hold.stage)
        else {
            return;
        };
        let Some(forward) = pending.take() else { return };
        let until = since + Duration::from_millis(u64::from(forward.deadline_ms));
        hold.stage = Stage::Calling { until: Some(until) };
        self.count(Counter::Calls);
        self.effects.push(Effect::Call(key, forward));
    }

    /// Handles the status and headers of an answer, and sends them on. From then on the deadline of
    /// the call is no longer checked.
    pub(super) fn handle_head(&mut self, key: Key, status: u16, headers: Vec<Header>) {
        let Some(hold) = self.holds.get_mut(key) else { return };
        let Stage::Calling { until } = &mut hold.stage else { return };
        *until = None;
        hold.answer.head = Some((status, headers.clone()));
        let (request, attempt) = hold.id;
        self.send(key, Frame::Head(request, attempt, status, headers));
    }

    /// Handles a part of an answer's body, and sends it on. The last part of the body is kept so
    /// that the answer can be resumed; what exceeds the limit is dropped from its beginning.
    pub(super) fn handle_body(&mut self, key: Key, bytes: Vec<u8>) {
        let retention_bytes = self.settings.body_retention_bytes;
        let Some(hold) = self.holds.get_mut(key) else { return };
        if !matches!(hold.stage, Stage::Calling { .. }) {
            return;
        }
        let offset = hold.answer.body_end();
        hold.answer.body.extend_from_slice(&bytes);
        let excess = hold.answer.body.len().saturating_sub(retention_bytes);
        if excess > 0 {
            hold.answer.body.drain(..excess);
            hold.answer.body_start += excess as u64;
        }
        let (request, attempt) = hold.id;
        self.send(key, Frame::Body(request, attempt, offset, bytes));
    }

    /// Handles the end of an answer, which is then kept for a resume.
    pub(super) fn handle_body_end(&mut self, now: Instant, key: Key) {
        let until = now + self.settings.ended_retention;
        let Some(hold) = self.holds.get_mut(key) else { return };
        if !matches!(hold.stage, Stage::Calling { .. }) {
            return;
        }
        hold.stage = Stage::Ended { until };
        hold.answer.complete = true;
        let (request, attempt) = hold.id;
        let length = hold.answer.body_end();
        self.needs_assignment = true;
        self.count(Counter::Completed);
        let load = self.load(now);
        self.send(key, Frame::BodyEnd(request, attempt, length, load));
    }

    /// Fails the hold of a call that failed.
    pub(super) fn handle_call_failed(&mut self, now: Instant, key: Key, ran: Ran) {
        let Some(hold) = self.holds.get(key) else { return };
        if !matches!(hold.stage, Stage::Calling { .. }) {
            return;
        }
        self.fail(now, key, failure(Cause::Backend, ran));
    }
}

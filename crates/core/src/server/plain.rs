//! Plain services: calls that pass through.

use super::decode::failure;
use super::event::{Effect, Header};
use super::frame::Asked;
use super::hold::{Key, Stage, Work};
use super::{Counter, Server};
use crate::time::Instant;
use chestnutrack_document::model::Role;
use chestnutrack_wire::Frame;
use chestnutrack_wire::frame::{Cause, Forward, Ran};
use std::time::Duration;

impl Server {
    pub(super) fn forward(&mut self, now: Instant, asked: &Asked, ask: Forward) {
        if !self.admit(now, asked, Role::Plain) {
            return;
        }
        let organisation = ask.organisation.clone().unwrap_or_default();
        let wait_ms = ask.wait_ms.min(ask.deadline_ms);
        if !self.has_room(&organisation, 0, wait_ms, ask.body.len()) {
            self.refuse(now, asked, Cause::Full);
            return;
        }
        let until = now + Duration::from_millis(u64::from(wait_ms));
        let may_wait = ask.may_wait;
        self.insert(now, asked, organisation, may_wait, Work::Forward(Some(ask)), until);
    }

    pub(super) fn start_call(&mut self, key: Key) {
        let Some(hold) = self.holds.get_mut(key) else { return };
        let (Work::Forward(slot), Stage::Waiting { since, .. }) = (&mut hold.work, hold.stage)
        else {
            return;
        };
        let Some(ask) = slot.take() else { return };
        let until = since + Duration::from_millis(u64::from(ask.deadline_ms));
        hold.stage = Stage::Calling { until: Some(until) };
        self.count(Counter::Calls);
        self.effects.push(Effect::Call(key, ask));
    }

    pub(super) fn head(&mut self, key: Key, status: u16, headers: Vec<Header>) {
        let Some(hold) = self.holds.get_mut(key) else { return };
        let Stage::Calling { until } = &mut hold.stage else { return };
        *until = None;
        hold.answer.head = Some((status, headers.clone()));
        let (request, attempt) = hold.id;
        self.tell(key, Frame::Head(request, attempt, status, headers));
    }

    pub(super) fn body(&mut self, key: Key, bytes: Vec<u8>) {
        let keep = self.settings.body_keep_bytes;
        let Some(hold) = self.holds.get_mut(key) else { return };
        if !matches!(hold.stage, Stage::Calling { .. }) {
            return;
        }
        let offset = hold.answer.body_end();
        hold.answer.body.extend_from_slice(&bytes);
        let excess = hold.answer.body.len().saturating_sub(keep);
        if excess > 0 {
            hold.answer.body.drain(..excess);
            hold.answer.body_base += excess as u64;
        }
        let (request, attempt) = hold.id;
        self.tell(key, Frame::Body(request, attempt, offset, bytes));
    }

    pub(super) fn body_end(&mut self, now: Instant, key: Key) {
        let until = now + self.settings.ended_keep;
        let Some(hold) = self.holds.get_mut(key) else { return };
        if !matches!(hold.stage, Stage::Calling { .. }) {
            return;
        }
        hold.stage = Stage::Ended { until };
        hold.answer.whole = true;
        let (request, attempt) = hold.id;
        let length = hold.answer.body_end();
        self.changed = true;
        self.count(Counter::Whole);
        let load = self.load(now);
        self.tell(key, Frame::BodyEnd(request, attempt, length, load));
    }

    pub(super) fn call_failed(&mut self, now: Instant, key: Key, ran: Ran) {
        let Some(hold) = self.holds.get(key) else { return };
        if !matches!(hold.stage, Stage::Calling { .. }) {
            return;
        }
        self.fail(now, key, failure(Cause::Backend, ran));
    }
}

//! Answers sent again: repeats of a frame, and resumes on a new connection.

use super::decode::failure;
use super::event::{Effect, Task};
use super::frame::Asked;
use super::hold::{Key, Stage, Work};
use super::{Counter, Server};
use crate::time::Instant;
use chestnutrack_wire::Frame;
use chestnutrack_wire::frame::{Cause, Ran};

impl Server {
    /// Answers a repeated ask as the first was answered.
    pub(super) fn repeat(&mut self, now: Instant, key: Key) {
        match self.holds.get(key).map(|hold| hold.stage) {
            Some(Stage::Reserved { .. }) => self.say_reserved(now, key),
            Some(Stage::Prefilled { .. }) => self.say_prefilled(now, key),
            _ => {}
        }
    }

    pub(super) fn resume(&mut self, now: Instant, asked: &Asked, offset: u64) {
        if let Some(end) = self.past.get(asked.id) {
            let failure = end.unwrap_or(failure(Cause::Cancelled, Ran::Unknown));
            self.say_failed(now, asked, failure);
            return;
        }
        if !self.index.contains_key(&asked.id) {
            self.claim(now, asked, offset);
            return;
        }
        let Some(key) = self.own(asked) else { return };
        self.count(Counter::Resumed);
        self.answer_from(now, key, offset);
    }

    pub(super) fn say_failed(
        &mut self,
        now: Instant,
        asked: &Asked,
        failure: chestnutrack_wire::frame::Failure,
    ) {
        let load = self.load(now);
        let frame = Frame::Failed(asked.id.0, asked.id.1, failure, load);
        self.effects.push(Effect::Send(asked.connection, frame));
    }

    fn answer_from(&mut self, now: Instant, key: Key, offset: u64) {
        match self.holds.get(key).map(|hold| (&hold.work, hold.stage)) {
            Some((Work::Forward(_), Stage::Calling { .. } | Stage::Ended { .. })) => {
                self.body_from(now, key, offset);
            }
            Some((Work::Decode(..), Stage::Decoding { .. } | Stage::Ended { .. })) => {
                self.tokens_from(now, key, offset);
            }
            _ => self.repeat(now, key),
        }
    }

    fn tokens_from(&mut self, now: Instant, key: Key, offset: u64) {
        let Some(hold) = self.holds.get_mut(key) else { return };
        let offset = u32::try_from(offset).unwrap_or(u32::MAX);
        if offset > hold.answer.end() {
            self.fail(now, key, failure(Cause::Protocol, Ran::Ran));
            return;
        }
        if offset < hold.answer.base {
            hold.answer.base = offset;
            hold.answer.tokens.clear();
            hold.stage = Stage::Decoding { retry: None, tries: 0 };
            self.effects.push(Effect::Abort(key));
            self.order(key, Task::Resume { offset });
            return;
        }
        let ((request, attempt), end, finish) = (hold.id, hold.answer.end(), hold.answer.finish);
        let skipped = (offset - hold.answer.base) as usize;
        let tokens: Vec<_> = hold.answer.tokens.iter().skip(skipped).cloned().collect();
        if !tokens.is_empty() {
            self.tell(key, Frame::Tokens(request, attempt, offset, tokens));
        }
        if let Some(finish) = finish {
            let load = self.load(now);
            self.tell(key, Frame::End(request, attempt, end, finish, load));
        }
    }

    fn body_from(&mut self, now: Instant, key: Key, offset: u64) {
        let Some(hold) = self.holds.get(key) else { return };
        let answer = &hold.answer;
        let kept = answer.body_base..=answer.body_end();
        if !kept.contains(&offset) {
            let ran = if answer.head.is_some() { Ran::Ran } else { Ran::Unknown };
            self.fail(now, key, failure(Cause::Protocol, ran));
            return;
        }
        let skipped = usize::try_from(offset - answer.body_base).unwrap_or(usize::MAX);
        let rest = answer.body.get(skipped..).unwrap_or_default().to_vec();
        let ((request, attempt), head, whole) = (hold.id, answer.head.clone(), answer.whole);
        let length = answer.body_end();
        if let (Some((status, headers)), 0) = (head, offset) {
            self.tell(key, Frame::Head(request, attempt, status, headers));
        }
        if !rest.is_empty() {
            self.tell(key, Frame::Body(request, attempt, offset, rest));
        }
        if whole {
            let load = self.load(now);
            self.tell(key, Frame::BodyEnd(request, attempt, length, load));
        }
    }
}

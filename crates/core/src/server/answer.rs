//! Resends answers after a repeated frame, and resumes them on a new connection. An answer is kept
//! in the hold of its attempt, which is what the attempt has of the server.

use super::decode::failure;
use super::event::{Effect, Task};
use super::frame::Origin;
use super::hold::{Key, Stage, Work};
use super::{Counter, Server};
use crate::time::Instant;
use chestnutrack_wire::Frame;
use chestnutrack_wire::frame::{Cause, Ran};

impl Server {
    /// Sends the reply to the first frame again when the same frame is repeated.
    pub(super) fn repeat(&mut self, now: Instant, key: Key) {
        match self.holds.get(key).map(|hold| hold.stage) {
            Some(Stage::Reserved { .. }) => self.send_reserved(now, key),
            Some(Stage::Prefilled { .. }) => self.send_prefilled(now, key),
            _ => {}
        }
    }

    /// Handles an entry host's request to receive an answer from `offset` on, in tokens or bytes.
    /// If the attempt has ended, its failure is sent, or the cause `Cancelled` if it has none. If
    /// it has no hold, the answer may be running on the engine from before this process started,
    /// and is claimed.
    pub(super) fn resume(&mut self, now: Instant, origin: &Origin, offset: u64) {
        if let Some(end) = self.ended.get(origin.id) {
            let failure = end.unwrap_or(failure(Cause::Cancelled, Ran::Unknown));
            self.send_failed(now, origin, failure);
            return;
        }
        if !self.index.contains_key(&origin.id) {
            self.claim(now, origin, offset);
            return;
        }
        let Some(key) = self.find_owned(origin) else { return };
        self.count(Counter::Resumed);
        self.answer_from(now, key, offset);
    }

    /// Sends a failure for an attempt on the connection of the frame.
    pub(super) fn send_failed(
        &mut self,
        now: Instant,
        origin: &Origin,
        failure: chestnutrack_wire::frame::Failure,
    ) {
        let load = self.load(now);
        let frame = Frame::Failed(origin.id.0, origin.id.1, failure, load);
        self.effects.push(Effect::Send(origin.connection, frame));
    }

    /// Sends the answer of a hold from `offset` on. If there is no answer yet, sends again the
    /// reply to the first frame.
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

    /// Sends the retained tokens from `offset` on, and the end if it is known. If earlier tokens
    /// are needed than are retained, the stream from the engine is reopened there. An offset after
    /// the last token fails the hold.
    fn tokens_from(&mut self, now: Instant, key: Key, offset: u64) {
        let Some(hold) = self.holds.get_mut(key) else { return };
        let offset = u32::try_from(offset).unwrap_or(u32::MAX);
        if offset > hold.answer.token_end() {
            self.fail(now, key, failure(Cause::Protocol, Ran::Ran));
            return;
        }
        if offset < hold.answer.token_start {
            hold.answer.token_start = offset;
            hold.answer.tokens.clear();
            hold.stage = Stage::Decoding { retry_at: None, retries: 0 };
            self.effects.push(Effect::Abort(key));
            self.order(key, Task::Resume { offset });
            return;
        }
        let ((request, attempt), end, finish) =
            (hold.id, hold.answer.token_end(), hold.answer.finish);
        let skip = (offset - hold.answer.token_start) as usize;
        let tokens: Vec<_> = hold.answer.tokens.iter().skip(skip).cloned().collect();
        if !tokens.is_empty() {
            self.send(key, Frame::Tokens(request, attempt, offset, tokens));
        }
        if let Some(finish) = finish {
            let load = self.load(now);
            self.send(key, Frame::End(request, attempt, end, finish, load));
        }
    }

    /// Sends the retained body of a plain answer from `offset` on, with the head if the offset is 0
    /// and the end if it is known. Fails the hold if that part of the body is not retained.
    fn body_from(&mut self, now: Instant, key: Key, offset: u64) {
        let Some(hold) = self.holds.get(key) else { return };
        let answer = &hold.answer;
        let kept = answer.body_start..=answer.body_end();
        if !kept.contains(&offset) {
            let ran = if answer.head.is_some() { Ran::Ran } else { Ran::Unknown };
            self.fail(now, key, failure(Cause::Protocol, ran));
            return;
        }
        let skip = usize::try_from(offset - answer.body_start).unwrap_or(usize::MAX);
        let remaining = answer.body.get(skip..).unwrap_or_default().to_vec();
        let ((request, attempt), head, complete) = (hold.id, answer.head.clone(), answer.complete);
        let length = answer.body_end();
        if let (Some((status, headers)), 0) = (head, offset) {
            self.send(key, Frame::Head(request, attempt, status, headers));
        }
        if !remaining.is_empty() {
            self.send(key, Frame::Body(request, attempt, offset, remaining));
        }
        if complete {
            let load = self.load(now);
            self.send(key, Frame::BodyEnd(request, attempt, length, load));
        }
    }
}

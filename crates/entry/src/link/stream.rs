//! State of one attempt on one side process, as tracked by the link.
//!
//! The frames of an attempt form one stream. A cursor counts how much of the answer was received
//! (in tokens or bytes), and is the offset from which the answer is resumed after a reconnect.

use super::cursor::{ChunkStatus, Cursor};
use super::events::{Event, EventSender};
use bytes::Bytes;
use chestnutrack_core::time::Instant;
use chestnutrack_wire::frame::{Failure, Frame, Ran};
use chestnutrack_wire::{Attempt, Request};
use std::sync::Arc;

/// Number of times that one answer is resumed before it is abandoned.
const RESUMES_MAX: u32 = 8;

/// Identifies an attempt at a request.
pub type AttemptId = (Request, Attempt);

/// Progress of an attempt on its side process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// A reservation was requested; nothing runs.
    Reserving,
    /// The reservation was granted; nothing runs.
    Reserved,
    /// A prefill was requested; no part of the answer can have been generated yet.
    Prefilling,
    /// The prefill has completed.
    Prefilled,
    /// The answer is being generated: a command was sent that may have taken effect.
    Answering,
}

/// What the link must do after a frame was handled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Nothing: wait for the next frame.
    Continue,
    /// Request the answer again from the cursor's offset.
    Resume,
    /// Send the command again, since it did not arrive.
    Resend,
    /// Remove the attempt: it has ended.
    Remove,
    /// Abandon the attempt: its answer is inconsistent, or the caller reads it too slowly.
    Abandon,
    /// Discard the frame: it is late, duplicated or unexpected.
    Discard,
}

/// State of an attempt in a link's table.
#[derive(Debug)]
pub struct AttemptState {
    /// Progress of the attempt.
    pub stage: Stage,
    /// How much of the answer was received.
    pub cursor: Cursor,
    /// When the connection was lost for which the attempt waits; `None` while connected.
    pub disconnected_at: Option<Instant>,
    /// Latest command, kept to be sent again if it did not arrive.
    pub command: Frame,
    head_received: bool,
    resume_count: u32,
    events: EventSender,
}

impl AttemptState {
    /// Creates the state of an attempt whose first command was just sent.
    pub fn new(stage: Stage, command: Frame, events: EventSender) -> AttemptState {
        AttemptState {
            stage,
            command,
            cursor: Cursor::default(),
            disconnected_at: None,
            head_received: false,
            resume_count: 0,
            events,
        }
    }

    /// Sends an event to the request's task.
    pub fn send_event(&self, event: Event) {
        self.events.send(event);
    }

    /// Returns whether the attempt ran, as far as is known when its side process is unreachable.
    pub fn ran(&self) -> Ran {
        match self.stage {
            Stage::Reserving | Stage::Reserved => Ran::NotRun,
            Stage::Prefilled => Ran::Ran,
            Stage::Answering if self.head_received || self.cursor.0 > 0 => Ran::Ran,
            Stage::Prefilling | Stage::Answering => Ran::Unknown,
        }
    }

    /// Returns whether the attempt is still before its answer, so that another server can replace
    /// this one.
    pub fn can_change_server(&self) -> bool {
        self.stage != Stage::Answering
    }

    /// Records that the answer is resumed; returns `false` if that was too often.
    pub fn record_resume(&mut self) -> bool {
        self.resume_count += 1;
        self.resume_count <= RESUMES_MAX
    }

    /// Handles a frame of this attempt and returns what the link must do.
    pub fn handle_frame(&mut self, frame: Frame) -> Action {
        match (self.stage, frame) {
            (_, Frame::Failed(_, _, failure, _)) => self.fail(failure),
            (Stage::Reserving, Frame::Reserved(_, _, ready_in_ms, _)) => {
                self.enter_stage(Stage::Reserved, Event::Reserved(ready_in_ms))
            }
            (Stage::Prefilling, Frame::Prefilled(_, _, kv, _)) => {
                self.enter_stage(Stage::Prefilled, Event::Prefilled(kv))
            }
            // `Reserved` in reply to a resume: the decode command did not arrive.
            (Stage::Answering, Frame::Reserved(..)) if self.can_resend() => Action::Resend,
            (Stage::Answering, frame) if matches!(self.command, Frame::Decode(..)) => {
                self.handle_generated(frame)
            }
            (Stage::Answering, frame) => self.handle_plain(frame),
            _ => Action::Discard,
        }
    }

    /// Handles a frame of a generated answer.
    fn handle_generated(&mut self, frame: Frame) -> Action {
        match frame {
            Frame::Tokens(_, _, offset, texts) => self.tokens(offset, texts),
            Frame::End(_, _, total, finish, _) => self.end(u64::from(total), Event::End(finish)),
            _ => Action::Discard,
        }
    }

    /// Handles a frame of a plain answer.
    fn handle_plain(&mut self, frame: Frame) -> Action {
        match frame {
            Frame::Head(_, _, status, headers) => self.head(status, headers),
            Frame::Body(_, _, offset, bytes) => self.body(offset, bytes),
            Frame::BodyEnd(_, _, total, _) if self.head_received => self.end(total, Event::BodyEnd),
            _ => Action::Discard,
        }
    }

    /// Returns whether a decode command is known not to have arrived, if the side process answers a
    /// resume with `Reserved`: the reservation still stands and nothing was generated.
    fn can_resend(&self) -> bool {
        self.resume_count > 0 && self.cursor.0 == 0 && matches!(self.command, Frame::Decode(..))
    }

    /// Changes the stage and reports the event that caused the change.
    fn enter_stage(&mut self, stage: Stage, event: Event) -> Action {
        self.stage = stage;
        self.send_event(event);
        Action::Continue
    }

    /// Passes on the tokens that were not received before. A gap before them makes the link resume
    /// the answer.
    fn tokens(&mut self, offset: u32, mut texts: Vec<Arc<str>>) -> Action {
        match self.cursor.advance(u64::from(offset), texts.len()) {
            ChunkStatus::New(skip) => {
                self.send_event(Event::Tokens(texts.split_off(skip)));
                Action::Continue
            }
            ChunkStatus::Duplicate => Action::Discard,
            ChunkStatus::Gap => Action::Resume,
        }
    }

    /// Passes on the status and headers of a plain answer. They arrive again when an answer is
    /// resumed at offset 0; the second head is discarded.
    fn head(&mut self, status: u16, headers: Vec<(Arc<str>, Arc<str>)>) -> Action {
        if self.head_received {
            return Action::Discard;
        }
        self.head_received = true;
        self.send_event(Event::Head(status, headers));
        Action::Continue
    }

    /// Passes on the bytes that were not received before. A missing head or a gap before them makes
    /// the link resume the answer; a caller that reads too slowly makes it abandon the attempt.
    fn body(&mut self, offset: u64, bytes: Vec<u8>) -> Action {
        if !self.head_received {
            return Action::Resume;
        }
        match self.cursor.advance(offset, bytes.len()) {
            ChunkStatus::New(skip) => {
                self.send_event(Event::Body(Bytes::from(bytes).slice(skip..)));
                if self.events.is_over_limit() { Action::Abandon } else { Action::Continue }
            }
            ChunkStatus::Duplicate => Action::Discard,
            ChunkStatus::Gap => Action::Resume,
        }
    }

    /// Ends the answer if all of its `total` units were received. Otherwise the missing ones are
    /// requested again, and an answer that is longer than its stated total is abandoned.
    fn end(&mut self, total: u64, event: Event) -> Action {
        if total > self.cursor.0 {
            return Action::Resume;
        }
        if total < self.cursor.0 {
            return Action::Abandon;
        }
        self.send_event(event);
        Action::Remove
    }

    /// Ends the attempt with a failure. After a resume, a report that the attempt did not run is
    /// not trusted: the side process may merely have no record of the attempt.
    fn fail(&mut self, failure: Failure) -> Action {
        let is_untrusted = self.resume_count > 0 && failure.ran == Ran::NotRun;
        let ran = if is_untrusted { self.ran() } else { failure.ran };
        self.send_event(Event::Failed(Failure { ran, ..failure }));
        Action::Remove
    }
}

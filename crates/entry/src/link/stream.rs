//! One attempt on one side process, as its link sees it.

use super::cursor::{Cursor, Fit};
use super::events::{Event, EventSender};
use bytes::Bytes;
use chestnutrack_core::time::Instant;
use chestnutrack_wire::frame::{Failure, Frame, Ran};
use chestnutrack_wire::{Attempt, Request};
use std::sync::Arc;

/// Times that one answer is asked for again from its offset before it is given up.
const RESUMES_MAX: u32 = 8;

/// Names an attempt at a request.
pub type Id = (Request, Attempt);

/// How far an attempt is on its side process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// A reservation was asked for; nothing runs.
    Reserving,
    /// The reservation stands; nothing runs.
    Reserved,
    /// A prefill was ordered; nothing of the answer can have been made yet.
    Prefilling,
    /// The prefill is ready.
    Prefilled,
    /// The answer is being made: an order was sent that may have taken effect.
    Answering,
}

/// What the link does after a frame was taken in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Next {
    /// Goes on.
    Continue,
    /// Asks for the answer again, from where it has come.
    Resume,
    /// Sends the order again, which did not arrive.
    Repeat,
    /// Forgets the stream: it has ended.
    Ended,
    /// Gives the stream up: its answer contradicts itself.
    GiveUp,
    /// Drops the frame: late, duplicated or out of place.
    Dropped,
}

/// An attempt in a link's table.
#[derive(Debug)]
pub struct Stream {
    /// How far it is.
    pub stage: Stage,
    /// How much of its answer has come.
    pub cursor: Cursor,
    /// Since when it waits for a connection to go on.
    pub broken_since: Option<Instant>,
    /// The newest order, to be sent again if it did not arrive.
    pub order: Frame,
    head_seen: bool,
    resumes: u32,
    events: EventSender,
}

impl Stream {
    /// A stream that was just asked for.
    pub fn new(stage: Stage, order: Frame, events: EventSender) -> Stream {
        Stream {
            stage,
            order,
            cursor: Cursor::default(),
            broken_since: None,
            head_seen: false,
            resumes: 0,
            events,
        }
    }

    /// Tells the request's task.
    pub fn tell(&self, event: Event) {
        self.events.send(event);
    }

    /// Whether the attempt ran, once its side process can't be reached.
    pub fn ran(&self) -> Ran {
        match self.stage {
            Stage::Reserving | Stage::Reserved => Ran::NotRun,
            Stage::Prefilled => Ran::Ran,
            Stage::Answering if self.head_seen || self.cursor.0 > 0 => Ran::Ran,
            Stage::Prefilling | Stage::Answering => Ran::Unknown,
        }
    }

    /// Whether the attempt waits for a hold or a prefill, so that another server may do as well.
    pub fn is_replaceable(&self) -> bool {
        self.stage != Stage::Answering
    }

    /// Notes that the answer is asked for again; false when it was too often.
    pub fn note_resume(&mut self) -> bool {
        self.resumes += 1;
        self.resumes <= RESUMES_MAX
    }

    /// Takes a frame of this attempt in.
    pub fn take(&mut self, frame: Frame) -> Next {
        match (self.stage, frame) {
            (_, Frame::Failed(_, _, failure, _)) => self.fail(failure),
            (Stage::Reserving, Frame::Reserved(_, _, ready_in_ms, _)) => {
                self.hold(Stage::Reserved, Event::Reserved(ready_in_ms))
            }
            (Stage::Prefilling, Frame::Prefilled(_, _, kv, _)) => {
                self.hold(Stage::Prefilled, Event::Prefilled(kv))
            }
            (Stage::Answering, Frame::Reserved(..)) if self.is_repeatable() => Next::Repeat,
            (Stage::Answering, frame) if matches!(self.order, Frame::Decode(..)) => {
                self.generated(frame)
            }
            (Stage::Answering, frame) => self.passed_on(frame),
            _ => Next::Dropped,
        }
    }

    /// Takes a frame of a generated answer in.
    fn generated(&mut self, frame: Frame) -> Next {
        match frame {
            Frame::Tokens(_, _, offset, texts) => self.tokens(offset, texts),
            Frame::End(_, _, total, finish, _) => self.end(u64::from(total), Event::End(finish)),
            _ => Next::Dropped,
        }
    }

    /// Takes a frame of a plain answer in.
    fn passed_on(&mut self, frame: Frame) -> Next {
        match frame {
            Frame::Head(_, _, status, headers) => self.head(status, headers),
            Frame::Body(_, _, offset, bytes) => self.body(offset, bytes),
            Frame::BodyEnd(_, _, total, _) if self.head_seen => self.end(total, Event::BodyEnd),
            _ => Next::Dropped,
        }
    }

    /// Whether an order to decode is known not to have arrived, once the side process says after
    /// a resume that the reservation still stands.
    fn is_repeatable(&self) -> bool {
        self.resumes > 0 && self.cursor.0 == 0 && matches!(self.order, Frame::Decode(..))
    }

    fn hold(&mut self, stage: Stage, event: Event) -> Next {
        self.stage = stage;
        self.tell(event);
        Next::Continue
    }

    fn tokens(&mut self, offset: u32, mut texts: Vec<Arc<str>>) -> Next {
        match self.cursor.place(u64::from(offset), texts.len()) {
            Fit::Take(skip) => {
                self.tell(Event::Tokens(texts.split_off(skip)));
                Next::Continue
            }
            Fit::Duplicate => Next::Dropped,
            Fit::Gap => Next::Resume,
        }
    }

    fn head(&mut self, status: u16, headers: Vec<(Arc<str>, Arc<str>)>) -> Next {
        if self.head_seen {
            return Next::Dropped;
        }
        self.head_seen = true;
        self.tell(Event::Head(status, headers));
        Next::Continue
    }

    fn body(&mut self, offset: u64, bytes: Vec<u8>) -> Next {
        if !self.head_seen {
            return Next::Resume;
        }
        match self.cursor.place(offset, bytes.len()) {
            Fit::Take(skip) => {
                self.tell(Event::Body(Bytes::from(bytes).slice(skip..)));
                if self.events.is_overfull() { Next::GiveUp } else { Next::Continue }
            }
            Fit::Duplicate => Next::Dropped,
            Fit::Gap => Next::Resume,
        }
    }

    fn end(&mut self, total: u64, event: Event) -> Next {
        if total > self.cursor.0 {
            return Next::Resume;
        }
        if total < self.cursor.0 {
            return Next::GiveUp;
        }
        self.tell(event);
        Next::Ended
    }

    /// A failure is final. After a broken connection a side process that knows nothing of the
    /// attempt can't tell that it did not run.
    fn fail(&mut self, failure: Failure) -> Next {
        let doubtful = self.resumes > 0 && failure.ran == Ran::NotRun;
        let ran = if doubtful { self.ran() } else { failure.ran };
        self.tell(Event::Failed(Failure { ran, ..failure }));
        Next::Ended
    }
}

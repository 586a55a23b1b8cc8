//! Passes a stream on, and goes on with it elsewhere where it breaks and may be resumed.

use super::events::{Event, Events};
use super::generation::{Answering, answer};
use super::{Job, RESUME_SILENCE, Tries};
use crate::config::{Engine, Kind};
use bytes::Bytes;
use chestnutrack_core::dispatch::Outcome;
use chestnutrack_process::clock;
use chestnutrack_process::http::Error;
use std::sync::Arc;
use tokio::sync::mpsc;
use tokio::time::timeout;

/// How a stream came to an end at one engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum End {
    /// It came whole.
    Whole,
    /// It broke, or it is not what may follow.
    Broken,
    /// The caller is gone.
    CallerGone,
}

/// A stream on its way to its caller.
struct Relay {
    job: Arc<Job>,
    engine: Engine,
    caller: mpsc::Sender<Bytes>,
    events: Events,
    /// The last event that the caller has.
    last: Option<u64>,
    /// Events passed on.
    passed: u64,
}

/// Passes a stream on until it ends or its caller is gone.
pub(super) async fn run(
    job: Arc<Job>,
    engine: Engine,
    mut tries: Tries,
    mut answering: Answering,
    caller: mpsc::Sender<Bytes>,
) {
    let last = job.ask.last_event;
    let mut relay = Relay { job, engine, caller, events: Events::default(), last, passed: 0 };
    let mut resumed = 0;
    let end = loop {
        let end = relay.pass(&mut answering).await;
        match end {
            End::Whole => {
                answering.turn.complete();
                break end;
            }
            End::CallerGone => break end,
            End::Broken => {}
        }
        drop(answering);
        match relay.resume(&mut tries).await {
            Some(next) => answering = next,
            None => break end,
        }
        resumed += 1;
    };
    relay.note_end(end, resumed).await;
}

impl Relay {
    /// Passes on what one engine sends.
    async fn pass(&mut self, answering: &mut Answering) -> End {
        loop {
            while let Some(event) = self.events.next() {
                match self.pass_event(event, answering).await {
                    None => {}
                    Some(end) => return end,
                }
            }
            match self.chunk(answering).await {
                Some(Ok(Some(bytes))) => self.events.push(&bytes),
                Some(Ok(None)) if !self.events.has_part() => return End::Whole,
                Some(Ok(None)) => return End::Broken,
                Some(Err(error)) => {
                    answering.stream.discard();
                    self.job.app.record_outcome(&answering.turn.decode, Outcome::Failure);
                    let (id, server) =
                        (self.job.ask.id.as_deref(), &answering.turn.decode.entry.name);
                    tracing::info!(id, %server, %error, passed = self.passed, "stream broke");
                    return End::Broken;
                }
                None => {
                    answering.stream.discard();
                    return End::CallerGone;
                }
            }
        }
    }

    /// The next bytes from an engine, or nothing where the caller is gone.
    async fn chunk(&self, answering: &mut Answering) -> Option<Result<Option<Bytes>, Error>> {
        let limit = match self.may_resume() {
            true => RESUME_SILENCE,
            false => self.job.left(),
        };
        tokio::select! {
            chunk = timeout(limit, answering.stream.chunk()) => {
                let silent = Error::Timeout(limit.as_millis() as u64);
                Some(chunk.unwrap_or(Err(silent)))
            }
            () = self.caller.closed() => None,
        }
    }

    async fn pass_event(&mut self, event: Event, answering: &Answering) -> Option<End> {
        if let (Some(last), Some(id)) = (self.last, event.id)
            && id != last + 1
        {
            let (request, server) = (self.job.ask.id.as_deref(), &answering.turn.decode.entry.name);
            tracing::warn!(id = request, %server, event = id, last, "event out of order");
            return Some(End::Broken);
        }
        self.last = event.id.or(self.last);
        self.passed += 1;
        answering.turn.record_tokens(self.passed * u64::from(self.engine.tokens_per_event));
        self.caller.send(event.bytes).await.is_err().then_some(End::CallerGone)
    }

    fn may_resume(&self) -> bool {
        self.job.route.kind == Kind::Stream { resumable: true }
    }

    /// Goes on with the stream at another engine.
    async fn resume(&mut self, tries: &mut Tries) -> Option<Answering> {
        if !self.may_resume() || self.job.left().is_zero() {
            return None;
        }
        tries.sent += 1;
        if tries.sent >= self.job.route.attempts || !tries.spend(&self.job) {
            return None;
        }
        self.events.clear();
        let made = self.passed * u64::from(self.engine.tokens_per_event);
        let started = clock::now();
        let caller = self.caller.clone();
        let resumed = tokio::select! {
            resumed = answer(&self.job, &self.engine, tries, self.last, made) => resumed,
            () = caller.closed() => return None,
        };
        let id = self.job.ask.id.as_deref();
        let after_ms = clock::now().since(started).as_millis() as u64;
        match resumed {
            Ok(answering) if answering.head.status.is_success() => {
                let server = &answering.turn.decode.entry.name;
                tracing::info!(id, %server, last = self.last, after_ms, "stream goes on");
                Some(answering)
            }
            Ok(answering) => {
                let status = answering.head.status.as_u16();
                tracing::info!(id, status, after_ms, "stream can't go on");
                None
            }
            Err(refusal) => {
                tracing::info!(id, cause = refusal.cause.name(), after_ms, "stream can't go on");
                None
            }
        }
    }

    async fn note_end(&self, end: End, resumed: u32) {
        let name = match end {
            End::Whole => "whole",
            End::Broken => "broken",
            End::CallerGone => "caller_gone",
        };
        if end == End::Whole {
            // The empty part ends the body as whole; without it the caller's connection breaks.
            drop(self.caller.send(Bytes::new()).await);
        }
        self.job.app.metrics.streams.with_label_values(&[name]).inc();
        let id = self.job.ask.id.as_deref();
        let after_ms = self.job.age_ms();
        tracing::info!(id, end = name, events = self.passed, resumed, after_ms, "stream ended");
    }
}

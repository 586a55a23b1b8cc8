//! Forwards an engine's stream of events to the caller, and resumes it at another engine if it breaks and its
//! route allows that. Resuming starts a new generation that continues after the last forwarded event.

use super::events::{Event, EventSplitter, MAX_EVENT_BYTES};
use super::generation::{EngineResponse, start_generation};
use super::{Job, RESUME_TIMEOUT, RetryState};
use crate::config::{Engine, Kind};
use bytes::Bytes;
use chestnutrack_core::dispatch::Outcome;
use chestnutrack_process::clock;
use chestnutrack_process::http::Error;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::timeout;

/// Time after the deadline in which the last events of a stream may still arrive: engines stop at the deadline.
const MAX_OVERRUN: Duration = Duration::from_millis(200);

/// How a stream from one engine ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum End {
    /// The stream is complete.
    Whole,
    /// The stream broke off, or an event was out of order.
    Broken,
    /// The caller disconnected.
    CallerGone,
}

/// State of a stream that is being forwarded to its caller.
struct Relay {
    job: Arc<Job>,
    engine: Engine,
    caller: mpsc::Sender<Bytes>,
    events: EventSplitter,
    /// Identifier of the last event that the caller has.
    last_event: Option<u64>,
    /// Events forwarded to the caller.
    forwarded_events: u64,
}

/// Forwards a stream, resuming it where possible, until it ends or the caller disconnects, and records how it ended.
/// Releases the places at the engines of a broken stream before it is resumed.
pub(super) async fn run(
    job: Arc<Job>,
    engine: Engine,
    mut retry_state: RetryState,
    mut response: EngineResponse,
    caller: mpsc::Sender<Bytes>,
) {
    let last_event = job.head.last_event;
    let mut relay = Relay {
        job,
        engine,
        caller,
        events: EventSplitter::default(),
        last_event,
        forwarded_events: 0,
    };
    let mut resumed = 0;
    let end = loop {
        let end = relay.forward(&mut response).await;
        match end {
            End::Whole => {
                response.admission.complete();
                break end;
            }
            End::CallerGone => break end,
            End::Broken => {}
        }
        drop(response);
        match relay.resume(&mut retry_state).await {
            Some(next) => response = next,
            None => break end,
        }
        resumed += 1;
    };
    relay.record_end(end, resumed).await;
}

impl Relay {
    /// Forwards the events of one engine's stream until it ends or breaks, or the caller disconnects.
    async fn forward(&mut self, response: &mut EngineResponse) -> End {
        loop {
            while let Some(event) = self.events.next() {
                match self.forward_event(event, response).await {
                    None => {}
                    Some(end) => return end,
                }
            }
            match self.next_checked_chunk(response).await {
                Some(Ok(Some(bytes))) => self.events.push(&bytes),
                Some(Ok(None)) if !self.events.has_partial_event() => return End::Whole,
                Some(Ok(None)) => return End::Broken,
                Some(Err(error)) => {
                    response.stream.discard();
                    self.job.app.record_outcome(&response.admission.decode, Outcome::Failure);
                    let (id, server) =
                        (self.job.head.id.as_deref(), &response.admission.decode.entry.name);
                    tracing::info!(id, %server, %error, passed = self.forwarded_events, "stream broke");
                    return End::Broken;
                }
                None => {
                    response.stream.discard();
                    return End::CallerGone;
                }
            }
        }
    }

    /// Returns the next bytes from an engine as [`Relay::next_chunk`] does, or an error if the event that is being read
    /// is too large, the stream has outlasted the deadline by more than [`MAX_OVERRUN`] or it ended inside an event.
    async fn next_checked_chunk(
        &self,
        response: &mut EngineResponse,
    ) -> Option<Result<Option<Bytes>, Error>> {
        if self.events.is_oversized() {
            return Some(Err(Error::TooLarge(MAX_EVENT_BYTES)));
        }
        if clock::now().since(self.job.deadline) > MAX_OVERRUN {
            return Some(Err(Error::Timeout(self.job.age_ms())));
        }
        // The body of an engine's failure has no events and says nothing about how it ended.
        let has_events = response.head.status.is_success();
        match self.next_chunk(response).await {
            Some(Ok(None)) if has_events && self.events.has_partial_event() => {
                Some(Err(Error::Broken("stream ended inside an event".to_owned())))
            }
            chunk => chunk,
        }
    }

    /// Returns the next bytes from an engine (`Some(Ok(None))` at the end of its stream), or `None` if the
    /// caller disconnected. A resumable stream fails after a short silence, since another engine can continue it; any
    /// other stream may be silent until the deadline.
    async fn next_chunk(
        &self,
        response: &mut EngineResponse,
    ) -> Option<Result<Option<Bytes>, Error>> {
        let chunk_timeout = match self.may_resume() {
            true => RESUME_TIMEOUT,
            false => self.job.left(),
        };
        tokio::select! {
            chunk = timeout(chunk_timeout, response.stream.chunk()) => {
                let timeout_error = Error::Timeout(chunk_timeout.as_millis() as u64);
                Some(chunk.unwrap_or(Err(timeout_error)))
            }
            () = self.caller.closed() => None,
        }
    }

    /// Forwards one event if its identifier follows the last one. Returns `None` if it was forwarded, otherwise why
    /// this engine's stream ends: its events are out of order, or the caller disconnected.
    async fn forward_event(&mut self, event: Event, response: &EngineResponse) -> Option<End> {
        if let (Some(last), Some(id)) = (self.last_event, event.id)
            && id != last + 1
        {
            let (request, server) =
                (self.job.head.id.as_deref(), &response.admission.decode.entry.name);
            tracing::warn!(id = request, %server, event = id, last, "event out of order");
            return Some(End::Broken);
        }
        self.last_event = event.id.or(self.last_event);
        self.forwarded_events += 1;
        response
            .admission
            .record_tokens(self.forwarded_events * u64::from(self.engine.tokens_per_event));
        self.caller.send(event.bytes).await.is_err().then_some(End::CallerGone)
    }

    /// Returns `true` if the route allows streams to be resumed.
    fn may_resume(&self) -> bool {
        self.job.route.kind == Kind::Stream { resumable: true }
    }

    /// Resumes the stream at another engine after the last forwarded event. Returns `None` if the route, its number
    /// of attempts or the retry budget doesn't allow it, the caller disconnects, no engine begins to answer, or
    /// the engine's status is not a success.
    async fn resume(&mut self, retry_state: &mut RetryState) -> Option<EngineResponse> {
        if !self.may_resume() || self.job.left().is_zero() {
            return None;
        }
        retry_state.sent += 1;
        if retry_state.sent >= self.job.route.attempts || !retry_state.spend_retry(&self.job) {
            return None;
        }
        self.events.clear();
        let generated_tokens = self.forwarded_events * u64::from(self.engine.tokens_per_event);
        let started_at = clock::now();
        let caller = self.caller.clone();
        let resumed = tokio::select! {
            resumed = start_generation(&self.job, &self.engine, retry_state, self.last_event, generated_tokens) => resumed,
            () = caller.closed() => return None,
        };
        let id = self.job.head.id.as_deref();
        let after_ms = clock::now().since(started_at).as_millis() as u64;
        match resumed {
            Ok(response) if response.head.status.is_success() => {
                let server = &response.admission.decode.entry.name;
                tracing::info!(id, %server, last = self.last_event, after_ms, "stream resumed");
                Some(response)
            }
            Ok(response) => {
                let status = response.head.status.as_u16();
                tracing::info!(id, status, after_ms, "stream not resumed");
                None
            }
            Err(refusal) => {
                tracing::info!(id, cause = refusal.cause.name(), after_ms, "stream not resumed");
                None
            }
        }
    }

    /// Ends the caller's body, and counts and logs how the stream ended. `resumed` is the number of times that it was
    /// resumed.
    async fn record_end(&self, end: End, resumed: u32) {
        let name = match end {
            End::Whole => "whole",
            End::Broken => "broken",
            End::CallerGone => "caller_gone",
        };
        if end == End::Whole {
            // An empty part marks the body as complete. Without it, the caller's connection is aborted.
            drop(self.caller.send(Bytes::new()).await);
        }
        self.job.app.metrics.streams.with_label_values(&[name]).inc();
        let id = self.job.head.id.as_deref();
        let after_ms = self.job.age_ms();
        tracing::info!(
            id,
            end = name,
            events = self.forwarded_events,
            resumed,
            after_ms,
            "stream ended"
        );
    }
}

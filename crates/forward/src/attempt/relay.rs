//! Forwards an engine's stream of events to the caller, and resumes it at another engine if it breaks and its
//! route allows that. Resuming starts a new generation that continues after the last forwarded event.

use super::events::{Event, EventSplitter, MAX_EVENT_BYTES};
use super::generation::{EngineResponse, StartPoint, await_response, start_generation};
use super::takeover::{self, Takeover};
use super::{Failure, Job, RetryState, origin};
use crate::answer::Refusal;
use crate::config::Engine;
use bytes::Bytes;
use chestnutrack_core::dispatch::Outcome;
use chestnutrack_core::quarantine::CRASH_DELAY_MAX;
use chestnutrack_core::time::Instant;
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
    /// The engine has been silent for so long that another one is looked for.
    Silent,
    /// The caller disconnected.
    CallerGone,
}

/// State of a stream that is being forwarded to its caller.
struct Relay {
    job: Arc<Job>,
    engine: Engine,
    retry_state: RetryState,
    caller: mpsc::Sender<Bytes>,
    events: EventSplitter,
    /// Identifier of the last event that the caller has.
    last_event: Option<u64>,
    /// Build that wrote the events that the caller has; `None` if it has none.
    build: Option<Arc<str>>,
    /// Events forwarded to the caller.
    forwarded_events: u64,
    /// Whether the current engine's stream has ended.
    engine_ended: bool,
    /// When the first event of the current engine arrived.
    began_at: Option<Instant>,
    /// Whether it is recorded that the current engine survived the request.
    is_sound: bool,
    /// How often another engine has continued the stream.
    resumed: u32,
}

/// Forwards a stream, resuming it where possible, until it ends or the caller disconnects, and records how it ended.
/// Releases the places at the engines of a broken stream before it is resumed.
pub(super) async fn run(
    job: Arc<Job>,
    engine: Engine,
    retry_state: RetryState,
    start: StartPoint,
    mut response: EngineResponse,
    caller: mpsc::Sender<Bytes>,
) {
    let StartPoint { last_event, build, .. } = start;
    let mut relay = Relay {
        job,
        engine,
        retry_state,
        caller,
        events: EventSplitter::default(),
        last_event,
        build,
        forwarded_events: 0,
        engine_ended: false,
        began_at: None,
        is_sound: false,
        resumed: 0,
    };
    let end = loop {
        let end = relay.forward(&mut response).await;
        let next = match end {
            End::Whole => {
                response.admission.complete();
                break end;
            }
            End::CallerGone => break end,
            End::Silent => relay.replace_silent(response).await,
            End::Broken => {
                drop(response);
                relay.resume().await
            }
        };
        match next {
            Ok(next) => response = next,
            Err(end) => break end,
        }
    };
    relay.record_end(end).await;
}

impl Relay {
    /// Forwards the events of one engine's stream until it ends, breaks or falls silent, or the caller disconnects.
    async fn forward(&mut self, response: &mut EngineResponse) -> End {
        loop {
            while let Some(event) = self.events.next() {
                match self.forward_event(event, response).await {
                    None => {}
                    Some(end) => return end,
                }
            }
            match self.engine_ended {
                true if self.events.has_partial_event() => {
                    let error = Error::Broken("stream ended inside an event".to_owned());
                    return self.record_break(response, &error);
                }
                // A stream that another engine continues may have no event left.
                true if self.forwarded_events == 0 && self.last_event.is_none() => {
                    let error = Error::Broken("stream ended without an event".to_owned());
                    return self.record_break(response, &error);
                }
                true => {
                    self.record_sound();
                    return End::Whole;
                }
                false => {}
            }
            if let Some(end) = self.receive(response).await {
                return end;
            }
        }
    }

    /// Waits for the next bytes from an engine. Returns why there are none: the stream broke off, the engine of a
    /// resumable stream is silent, or the caller disconnected. The engine of any other stream may be silent until
    /// the deadline. A stream counts as broken if the event that is being read is too large, or if it has outlasted the
    /// deadline by more than [`MAX_OVERRUN`].
    async fn receive(&mut self, response: &mut EngineResponse) -> Option<End> {
        if self.events.is_oversized() {
            return Some(self.record_break(response, &Error::TooLarge(MAX_EVENT_BYTES)));
        }
        if clock::now().since(self.job.deadline) > MAX_OVERRUN {
            return Some(self.record_break(response, &Error::Timeout(self.job.age_ms())));
        }
        let left = self.job.left();
        let limit = match self.job.route.kind.may_resume() {
            true => self.retry_state.silence_limit().min(left),
            false => left,
        };
        let chunk = tokio::select! {
            chunk = timeout(limit, response.stream.chunk()) => chunk,
            () = self.caller.closed() => {
                response.stream.discard();
                return Some(End::CallerGone);
            }
        };
        match chunk {
            Ok(Ok(chunk)) => {
                self.push(response, chunk);
                None
            }
            Ok(Err(error)) => Some(self.record_break(response, &error)),
            Err(_) if limit < left => Some(End::Silent),
            Err(_) => Some(self.record_break(response, &Error::Timeout(self.job.age_ms()))),
        }
    }

    /// Adds what an engine sent to the events; `None` is the end of its stream.
    fn push(&mut self, response: &EngineResponse, chunk: Option<Bytes>) {
        self.retry_state.record_progress(&self.job, &response.admission.decode);
        match chunk {
            Some(bytes) => self.events.push(&bytes),
            None => self.engine_ended = true,
        }
    }

    /// Records that an engine's stream broke off and closes the connection. Returns how the stream ended.
    fn record_break(&self, response: &mut EngineResponse, error: &Error) -> End {
        response.stream.discard();
        self.job.app.record_outcome(&response.admission.decode, Outcome::Failure);
        let (id, entry) = (self.job.head.id.as_deref(), &response.admission.decode.entry);
        let (server, build, born) = (&entry.name, &entry.build, entry.born);
        tracing::info!(id, %server, %build, born, %error, passed = self.forwarded_events, "stream broke");
        self.job.record_break(&response.admission.decode, self.began_at, error);
        End::Broken
    }

    /// Records, once for each engine, that it survived the request.
    fn record_sound(&mut self) {
        if let Some(began_at) = self.began_at
            && !std::mem::replace(&mut self.is_sound, true)
        {
            self.job.record_sound(began_at);
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
        if self.forwarded_events == 0 {
            let build = self.build.get_or_insert(response.admission.decode.entry.build.clone());
            origin::record(&self.job, build);
        }
        self.forwarded_events += 1;
        let began_at = *self.began_at.get_or_insert(clock::now());
        if clock::now().since(began_at) > CRASH_DELAY_MAX {
            self.record_sound();
        }
        response
            .admission
            .record_tokens(self.forwarded_events * u64::from(self.engine.tokens_per_event));
        self.caller.send(event.bytes).await.is_err().then_some(End::CallerGone)
    }

    /// Returns where another engine has to continue the stream.
    fn start_point(&self) -> StartPoint {
        StartPoint {
            last_event: self.last_event,
            generated_tokens: self.forwarded_events * u64::from(self.engine.tokens_per_event),
            build: self.build.clone(),
        }
    }

    /// Looks for another engine for a stream whose engine is silent. Returns the response to go on with: of the silent
    /// engine if it went on or no other engine took over, otherwise of the other one.
    ///
    /// # Errors
    ///
    /// Returns how the stream ends if the caller disconnects or the other engine fails.
    async fn replace_silent(&mut self, response: EngineResponse) -> Result<EngineResponse, End> {
        let (job, start, caller) = (self.job.clone(), self.start_point(), self.caller.clone());
        let silent = response.admission.decode.clone();
        let next = async |response: &mut EngineResponse| response.stream.chunk().await;
        let retry_state = &mut self.retry_state;
        let takeover = tokio::select! {
            takeover = takeover::run(&job, retry_state, &start, &silent, response, next) => takeover,
            () = caller.closed() => return Err(End::CallerGone),
        };
        match takeover {
            Takeover::Kept(response) => Ok(response),
            Takeover::Continued(response, chunk) => {
                self.push(&response, chunk);
                Ok(response)
            }
            Takeover::Failed(mut response, error) => {
                self.record_break(&mut response, &error);
                drop(response);
                self.resume().await
            }
            Takeover::Replaced(attempt) => {
                let started_at = clock::now();
                let response = tokio::select! {
                    response = await_response(&job, &self.engine, retry_state, &start, *attempt) => response,
                    () = caller.closed() => return Err(End::CallerGone),
                };
                self.record_resumed(started_at, response)
            }
        }
    }

    /// Resumes the stream at another engine after the last forwarded event.
    ///
    /// # Errors
    ///
    /// Returns how the stream ends if the route, its number of attempts or the retry budget doesn't allow it, the
    /// caller disconnects, no engine begins to answer, or the engine's status is not a success.
    async fn resume(&mut self) -> Result<EngineResponse, End> {
        let (job, start, caller) = (self.job.clone(), self.start_point(), self.caller.clone());
        let retry_state = &mut self.retry_state;
        let obstacle = match retry_state.obstacle(&job) {
            None if !job.route.kind.may_resume() => Some("route"),
            None if !retry_state.spend_retry(&job) => Some("retry_budget"),
            obstacle => obstacle,
        };
        retry_state.count(Failure::Unknown);
        if let Some(cause) = obstacle {
            let (id, sent, attempts) =
                (job.head.id.as_deref(), retry_state.sent, job.route.attempts);
            tracing::info!(id, cause, sent, attempts, "stream not resumed");
            return Err(End::Broken);
        }
        let started_at = clock::now();
        let response = tokio::select! {
            response = start_generation(&job, &self.engine, retry_state, &start) => response,
            () = caller.closed() => return Err(End::CallerGone),
        };
        self.record_resumed(started_at, response)
    }

    /// Prepares for the events of another engine, which began to answer, and returns its response.
    ///
    /// # Errors
    ///
    /// Returns [`End::Broken`] if no engine did or its status is not a success.
    fn record_resumed(
        &mut self,
        started_at: Instant,
        response: Result<EngineResponse, Refusal>,
    ) -> Result<EngineResponse, End> {
        let id = self.job.head.id.as_deref();
        let after_ms = clock::now().since(started_at).as_millis() as u64;
        match response {
            Ok(response) if response.head.status.is_success() => {
                let entry = &response.admission.decode.entry;
                let (server, build, born) = (&entry.name, &entry.build, entry.born);
                tracing::info!(id, %server, %build, born, last = self.last_event, after_ms, "stream resumed");
                self.events.clear();
                self.engine_ended = false;
                self.began_at = None;
                self.is_sound = false;
                self.resumed += 1;
                Ok(response)
            }
            Ok(response) => {
                let status = response.head.status.as_u16();
                tracing::info!(id, status, after_ms, "stream not resumed");
                Err(End::Broken)
            }
            Err(refusal) => {
                tracing::info!(id, cause = refusal.cause.name(), after_ms, "stream not resumed");
                Err(End::Broken)
            }
        }
    }

    /// Ends the caller's body, and counts and logs how the stream ended.
    async fn record_end(&self, end: End) {
        let name = match end {
            End::Whole => "whole",
            End::Broken | End::Silent => "broken",
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
            resumed = self.resumed,
            after_ms,
            "stream ended"
        );
    }
}

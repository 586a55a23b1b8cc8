//! Serves requests to model engines: the prompt is prefilled at one engine and the answer generated at another.
//!
//! A request is first admitted, which reserves places at a decode engine and, unless that engine prefills
//! as well, at a prefill engine. The prefill engine keeps the KV cache under a handle, which the decode engine uses
//! to fetch it.

use super::body::read_whole;
use super::takeover::{self, Takeover};
use super::{Failure, Job, RetryState, SILENCE_LIMIT, origin, relay, response_headers};
use crate::answer::{self, Body, Cause, Refusal};
use crate::app::{Admission, Target};
use crate::config::Engine;
use crate::dialect::{AddedValues, Handle, Step};
use bytes::Bytes;
use chestnutrack_core::dispatch::{self, Outcome, PlacementBasis, ServerKey, Stage};
use chestnutrack_core::time::Instant;
use chestnutrack_process::clock;
use chestnutrack_process::http::Error;
use chestnutrack_process::pool::{Reuse, Stream};
use futures_util::StreamExt;
use futures_util::future::BoxFuture;
use futures_util::stream::FuturesUnordered;
use http_body_util::Full;
use hyper::http::response;
use hyper::{Request, Response};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, watch};
use tokio::time::timeout;

/// Highest number of body parts that are queued for a slow caller.
const MAX_QUEUED_PARTS: usize = 64;
/// Longest body of an answer to a prefill or to the freeing of a handle, in bytes.
const MAX_HANDLE_BYTES: usize = 64 << 10;
/// Longest time for the call that frees a handle.
const FREE_TIMEOUT: Duration = Duration::from_millis(500);
/// Longest wait for the admission of a request whose prompt is prefilled or whose stream has begun.
const URGENT_ADMISSION_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Time without a first event after which a caller leaves a stream: the duration, or the latency target multiplied by the
/// factor if that is longer.
const CALLER_PATIENCE: (Duration, u32) = (Duration::from_millis(2_000), 4);
/// Time after which a prefill is overdue and may be sent to another engine: the expected time multiplied by
/// the factor, plus the duration. The answer may be lost, and retrying is safe since a prefill is not a run
/// of the request. In a burst, 98 in 100 prefills take less.
const PREFILL_OVERDUE: (f64, Duration) = (1.5, Duration::from_millis(150));
/// Longest further wait for an overdue prefill that no other engine may take, after which its answer counts
/// as lost. Equals the longest silence of a resumable stream.
const LOST_PREFILL_TIMEOUT: Duration = SILENCE_LIMIT;
/// Shortest wait for the last prefill that may be tried before the request is given up. Callers with a
/// latency target of 0.9 s disconnect after four times that target.
const MIN_LAST_PREFILL_TIMEOUT: Duration = Duration::from_millis(3_000);
/// Part of a handle's lifetime that is reserved for sending it to the engine that generates. A handle refers to a
/// KV cache that the engine which prefilled it keeps for a limited time.
const HANDLE_TRANSFER_MARGIN: Duration = Duration::from_millis(100);

/// Where a generation begins: at its start, or after the part of its stream that the caller has.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct StartPoint {
    /// Identifier of the last event that the caller has.
    pub(super) last_event: Option<u64>,
    /// Length of that part, in tokens.
    pub(super) generated_tokens: u64,
    /// Build that began the stream, whose engines alone may go on with it; `None` for a stream that has not begun.
    pub(super) build: Option<Arc<str>>,
}

/// Response of an engine that has begun to answer a generation.
pub(super) struct EngineResponse {
    /// Head of the response.
    pub(super) head: response::Parts,
    /// Body of the response.
    pub(super) stream: Stream,
    /// Reservations at the engines, released when dropped.
    pub(super) admission: Admission,
}

/// A generation that was sent to an engine whose response has not begun. Dropping it closes the connection to the
/// engine and releases the reservations.
pub(super) struct PendingAttempt {
    admission: Admission,
    cache: Option<PrefilledCache>,
    response: BoxFuture<'static, Result<Response<Stream>, Failure>>,
    /// Becomes `true` when there is a connection and the request is about to be sent on it.
    sent: watch::Receiver<bool>,
    /// Result of `response` that was awaited but not yet taken.
    result: Option<Result<Response<Stream>, Failure>>,
}

impl PendingAttempt {
    /// Sends the request to the admitted decode engine, with the handle of its KV cache if there is one.
    pub(super) fn send(
        job: &Arc<Job>,
        prepared: PreparedGeneration,
        last_event: Option<u64>,
    ) -> PendingAttempt {
        let PreparedGeneration { admission, cache } = prepared;
        let step = cache.as_ref().map_or(Step::Whole, |cache| Step::Generate(cache.handle.clone()));
        let (job, target) = (job.clone(), admission.decode.clone());
        let priority = admission.engine_priority();
        let (sent_sender, sent) = watch::channel(false);
        let response = Box::pin(async move {
            let added = job.added_values(&target);
            let added_values = AddedValues { step, last_event, priority, ..added };
            let on_send = || {
                sent_sender.send_replace(true);
            };
            job.send_observed(&target, &added_values, &on_send).await
        });
        PendingAttempt { admission, cache, response, sent, result: None }
    }

    /// Waits for the head of the response and returns it with the body.
    async fn response(&mut self) -> Result<Response<Stream>, Failure> {
        let result = match self.result.take() {
            Some(result) => result,
            None => (&mut self.response).await,
        };
        // The handle counts as consumed unless the engine certainly never received it or states that it had no
        // room for the request.
        let consumed = match &result {
            Ok(_) => true,
            Err(Failure::NotRun | Failure::Misdirected) => false,
            Err(failure) => !failure.is_unsent(),
        };
        if let Some(cache) = &mut self.cache {
            cache.consumed = consumed;
        }
        result
    }

    /// Waits until the response begins. It can be awaited afterwards.
    ///
    /// # Errors
    ///
    /// Returns why there is none, or [`Failure::Unknown`] if its status is not a success.
    pub(super) async fn begun(&mut self) -> Result<(), Failure> {
        let result = self.response().await;
        let outcome = match &result {
            Ok(response) if response.status().is_success() => Ok(()),
            Ok(_) => Err(Failure::Unknown),
            Err(failure) => Err(*failure),
        };
        self.result = Some(result);
        outcome
    }

    /// Returns what tells whether the request has been sent.
    pub(super) fn sent(&self) -> watch::Receiver<bool> {
        self.sent.clone()
    }

    /// Returns the engine that generates.
    pub(super) fn engine(&self) -> &Target {
        &self.admission.decode
    }
}

/// A KV cache that a prefill engine keeps for this request. Dropping it frees the handle unless another engine
/// consumed it.
pub(super) struct PrefilledCache {
    job: Arc<Job>,
    /// Engine that keeps the cache.
    target: Target,
    handle: Handle,
    /// Length of the prompt.
    tokens: u64,
    prefilled_at: Instant,
    /// Whether the engine that got the handle has answered or failed in a way that it may have fetched the cache. The
    /// handle is then neither used again nor freed.
    consumed: bool,
}

impl PrefilledCache {
    /// Returns `true` if there is enough of the handle's lifetime left to send it to an engine.
    fn is_fresh(&self, engine: &Engine) -> bool {
        let age = clock::now().since(self.prefilled_at);
        !self.consumed && age + HANDLE_TRANSFER_MARGIN < engine.handle_ttl
    }
}

impl Drop for PrefilledCache {
    /// Counts the prefilled tokens as wasted and frees the handle in the background, unless an engine consumed it.
    fn drop(&mut self) {
        if self.consumed {
            return;
        }
        self.job.app.metrics.prefill_wasted.inc_by(self.tokens);
        let (method, path) = (self.job.app.dialect.free_request)(&self.handle);
        let Ok(request) = chestnutrack_process::http::request(method, &path, Bytes::new()) else {
            return;
        };
        let (target, job) = (self.target.clone(), self.job.clone());
        tokio::spawn(async move {
            let id = job.head.id.as_deref();
            if !job.app.admit_call(&target, Reuse::Allowed) {
                tracing::info!(id, server = %target.entry.name, "handle not freed: the server takes no requests");
                return;
            }
            let freed = timeout(FREE_TIMEOUT, send_free(&job, &target, request)).await;
            let timed_out = Error::Timeout(FREE_TIMEOUT.as_millis() as u64);
            if let Err(error) = freed.unwrap_or(Err(timed_out)) {
                tracing::warn!(id, %error, "failed to free a handle; it will expire");
            }
        });
    }
}

/// Sends the call that frees a handle and records what the engine says of itself in its answer. The call has no identifier, so
/// an answer that states one is another request's. So may be a refusal on a connection that carried a call before.
async fn send_free(job: &Job, target: &Target, request: Request<Full<Bytes>>) -> Result<(), Error> {
    let sent_at = clock::now();
    let response = target.pool.call_streaming(request, FREE_TIMEOUT).await?;
    let answer = (job.app.dialect.parse_response_head)(response.status(), response.headers());
    let is_refusal = answer.not_run || answer.misdirected;
    if answer.id.is_some() || is_refusal && !response.body().is_first() {
        job.record_rejected(target, &answer, response.status(), "identifier");
        return Ok(());
    }
    response.into_body().read(MAX_HANDLE_BYTES).await?;
    job.app.record_notices(target, sent_at, &answer, job.head.id.as_deref());
    Ok(())
}

/// A generation that is ready to be sent to an engine: admitted, and its prompt prefilled.
pub(super) struct PreparedGeneration {
    pub(super) admission: Admission,
    /// KV cache of the prompt; `None` if the engine that generates also prefills.
    pub(super) cache: Option<PrefilledCache>,
}

/// Prefills the prompt and starts the generation. Returns the head of the engine's response with a body that a
/// background task fills with the engine's stream.
pub(super) async fn run(job: Arc<Job>, engine: Engine) -> Result<Response<Body>, Refusal> {
    let mut retry_state = RetryState::default();
    let build = origin::resolve(&job).await?;
    let start = StartPoint { last_event: job.head.last_event, build, ..StartPoint::default() };
    let engine_response = start_generation(&job, &engine, &mut retry_state, &start).await;
    let mut engine_response = engine_response.map_err(|refusal| retry_state.refusal(refusal))?;
    job.record_answer(&engine_response.admission.decode, engine_response.head.status.as_u16());
    let mut response = Response::new(());
    *response.status_mut() = engine_response.head.status;
    *response.headers_mut() = response_headers(&engine_response.head.headers);
    if !engine_response.head.status.is_success() {
        // The body of a failure has no events, and is not resumed.
        let target = engine_response.admission.decode.clone();
        let body = read_whole(&job, &target, &mut engine_response.stream).await;
        return body.map(|body| response.map(|()| answer::full(body))).map_err(Failure::refusal);
    }
    let (sender, receiver) = mpsc::channel(MAX_QUEUED_PARTS);
    tokio::spawn(relay::run(job, engine, retry_state, start, engine_response, sender));
    Ok(response.map(|()| answer::streaming(receiver)))
}

/// Admits and prefills the request and sends it to engines until one begins to answer. Also resumes a stream that
/// broke off.
pub(super) async fn start_generation(
    job: &Arc<Job>,
    engine: &Engine,
    retry_state: &mut RetryState,
    start: &StartPoint,
) -> Result<EngineResponse, Refusal> {
    let attempt = send_generation(job, engine, retry_state, start, None).await?;
    await_response(job, engine, retry_state, start, attempt).await
}

/// Admits and prefills the request and sends it to an engine. `cache` is the KV cache of an attempt that did not use
/// it.
async fn send_generation(
    job: &Arc<Job>,
    engine: &Engine,
    retry_state: &mut RetryState,
    start: &StartPoint,
    mut cache: Option<PrefilledCache>,
) -> Result<PendingAttempt, Refusal> {
    loop {
        cache = cache.filter(|cache| cache.is_fresh(engine));
        let mut admission = admit(job, start, cache.is_some()).await?;
        if cache.is_none() {
            cache = match prefill(job, &mut admission, retry_state, start.last_event).await {
                Ok(cache) => cache,
                Err(PrefillError::Retry) => continue,
                Err(PrefillError::Failed(refusal)) => return Err(refusal),
            };
        }
        let prepared = PreparedGeneration { admission, cache };
        return Ok(PendingAttempt::send(job, prepared, start.last_event));
    }
}

/// Waits until the engine of an attempt begins to answer, or another one after it failed or fell silent.
pub(super) async fn await_response(
    job: &Arc<Job>,
    engine: &Engine,
    retry_state: &mut RetryState,
    start: &StartPoint,
    mut attempt: PendingAttempt,
) -> Result<EngineResponse, Refusal> {
    loop {
        let result = next_result(job, retry_state, start, &mut attempt).await;
        let PendingAttempt { admission, cache, .. } = attempt;
        let failure = match result {
            Ok(response) => {
                let (head, stream) = response.into_parts();
                return Ok(EngineResponse { head, stream, admission });
            }
            Err(failure) => failure,
        };
        if !retry_state.record_failure(job, failure) {
            return Err(failure.refusal());
        }
        drop(admission);
        attempt = send_generation(job, engine, retry_state, start, cache).await?;
    }
}

/// Waits for the response to an attempt. If its engine is silent, `attempt` may become one at another engine.
async fn next_result(
    job: &Arc<Job>,
    retry_state: &mut RetryState,
    start: &StartPoint,
    attempt: &mut PendingAttempt,
) -> Result<Response<Stream>, Failure> {
    if !job.route.kind.may_repeat() {
        return attempt.response().await;
    }
    loop {
        if let Ok(result) = timeout(retry_state.silence_limit(), attempt.response()).await {
            if result.is_ok() {
                retry_state.record_progress(job, attempt.engine());
            }
            return result;
        }
        let silent = attempt.engine().clone();
        let next = async |attempt: &mut &mut PendingAttempt| attempt.response().await;
        match takeover::run(job, retry_state, start, &silent, &mut *attempt, next).await {
            Takeover::Continued(_, response) => return Ok(response),
            Takeover::Failed(_, failure) => return Err(failure),
            Takeover::Kept(_) => {}
            Takeover::Replaced(other) => *attempt = *other,
        }
    }
}

/// Returns the time after which the admitted prefill is overdue, from the forecast on which its engine was chosen.
fn overdue_after(admission: &Admission) -> Duration {
    let (factor, extra) = PREFILL_OVERDUE;
    admission.basis().expected_prefill_time.mul_f64(factor) + extra
}

/// Returns when the caller leaves if it has no first token. Only callers of streams leave before the deadline.
fn leaves_at(job: &Job) -> Instant {
    if !job.route.kind.is_stream() {
        return job.deadline;
    }
    let (shortest, factor) = CALLER_PATIENCE;
    job.deadline.min(job.arrived_at + shortest.max(job.route.target_latency * factor))
}

/// Waits until a request is admitted, which reserves places at its engines, and logs the result.
/// `start` is where its stream goes on, and `prefilled` says whether its prompt is prefilled already.
///
/// A request that is prefilled or resumed is urgent: work already done for it would be lost if it had to wait. It
/// waits for at most [`URGENT_ADMISSION_TIMEOUT`], whatever its latency target.
pub(super) async fn admit(
    job: &Arc<Job>,
    start: &StartPoint,
    prefilled: bool,
) -> Result<Admission, Refusal> {
    let generation = job.head.generation.clone().unwrap_or_default();
    let now = clock::now();
    let generated_tokens = start.generated_tokens;
    let urgent = start.last_event.is_some() || generated_tokens > 0 || prefilled;
    let first_token_by = match urgent {
        true => now + URGENT_ADMISSION_TIMEOUT,
        false => job.first_arrived_at + job.route.target_latency,
    };
    let priority = job.route.priority(job.organisation.as_ref());
    let request = dispatch::Request {
        service: job.service.clone(),
        organisation: job.organisation.as_ref().map(|owner| owner.name.clone()).unwrap_or_default(),
        priority,
        // The tokens generated so far are part of the prompt of the engine that resumes the stream.
        prompt_tokens: generation.prompt_tokens.saturating_add(generated_tokens),
        output_tokens: generation.output_tokens.saturating_sub(generated_tokens),
        length_hint: generation.hint.map(|hint| hint.saturating_sub(generated_tokens)),
        arrived: job.arrived_at,
        first_token_by: (first_token_by > now).then_some(first_token_by),
        leaves_at: leaves_at(job),
        deadline: job.deadline,
        max_pause: job.route.max_pause,
        urgent,
        prefilled,
        prefixes: if job.route.sticky { generation.prefixes() } else { Arc::default() },
        resumable: job.route.kind.may_resume(),
        build: start.build.clone(),
        residency: job.residency.clone(),
    };
    let admission = job.app.admit(request).await;
    let waited_ms = clock::now().since(now).as_millis() as u64;
    let (id, tokens) = (job.head.id.as_deref(), generation.prompt_tokens);
    match admission {
        Ok(admission) => {
            let (decode, build) = (&admission.decode.entry.name, &admission.decode.entry.build);
            let born = admission.decode.entry.born;
            let prefill = admission.prefill.as_ref().map(|target| &*target.entry.name);
            // The names of these variables are keys in the log. `prefilled_ms` is the forecast of the time until
            // the prompt is prefilled.
            let PlacementBasis {
                generations: runs,
                peak,
                report_age: news_age,
                expected_prefill_time,
                cached_tokens: cached,
                ..
            } = admission.basis();
            let (version, news_ms) = (job.version(), news_age.as_millis() as u64);
            let prefilled_ms = expected_prefill_time.as_millis() as u64;
            let parts = generation.shared_parts().map(|part| &**part).collect::<Vec<_>>().join(",");
            tracing::info!(
                id, %decode, %build, born, prefill, waited_ms, tokens, priority, urgent, runs, peak, prefilled_ms,
                news_ms, version, parts, cached,
                "placed"
            );
            job.app.metrics.prefix_tokens.inc_by(cached);
            job.app.metrics.stages.with_label_values(&["turn"]).observe(waited_ms as f64 / 1e3);
            Ok(admission)
        }
        Err(refusal) => {
            // `late` is `true` if the first token was due before the wait began.
            let (ahead, late) = (refusal.ahead, first_token_by <= now);
            let reason = refusal.reason.name();
            tracing::info!(
                id,
                priority,
                reason,
                ahead,
                late,
                waited_ms,
                tokens,
                urgent,
                "no room in time"
            );
            let labels = [&*priority.to_string(), reason];
            job.app.metrics.admission_refusals.with_label_values(&labels).inc();
            let evacuated = job.app.evacuated_retry_after(&job.service, Some(Stage::Decode));
            let stage = Some(Stage::Decode);
            let excluded = job.app.excluded_retry_after(&job.service, stage, &job.residency);
            let cause = match (evacuated, excluded) {
                (Some(_), _) => Cause::Evacuated,
                (None, Some(_)) => Cause::Region,
                (None, None) => Cause::Full,
            };
            Err(Refusal::with_retry_after(cause, refusal.retry_after))
        }
    }
}

/// What to do after a prompt could not be prefilled.
pub(super) enum PrefillError {
    /// Request a new admission and try again.
    Retry,
    /// Give up with this refusal: no further prefill may be tried.
    Failed(Refusal),
}

/// Event until which the next answer to a prefill is awaited.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum PrefillWait {
    /// Wait until the prefill is overdue, then try another engine if one may be tried.
    Overdue,
    /// No other engine may be tried: wait until the answer counts as lost, then allow the same engine again.
    Lost,
    /// No further prefill may be tried: wait until the request is given up.
    GivenUp,
}

impl PrefillWait {
    /// Returns the longest time to wait in this state.
    fn timeout(self, admission: &Admission) -> Duration {
        match self {
            PrefillWait::Overdue => overdue_after(admission),
            PrefillWait::Lost => LOST_PREFILL_TIMEOUT,
            PrefillWait::GivenUp => overdue_after(admission).max(MIN_LAST_PREFILL_TIMEOUT),
        }
    }
}

/// Prefills the prompt at the engine chosen by the admission. Returns `None` if the engine that generates also
/// prefills.
///
/// A prefill that fails or is overdue is sent to another engine under the same admission. The first answer is
/// used: an overdue prefill may still complete before its retry, and is waited for if no other engine can be
/// tried.
pub(super) async fn prefill(
    job: &Arc<Job>,
    admission: &mut Admission,
    retry_state: &mut RetryState,
    last_event: Option<u64>,
) -> Result<Option<PrefilledCache>, PrefillError> {
    let Some(first_target) = admission.prefill.clone() else { return Ok(None) };
    if !retry_state.begin_prefill(job) {
        admission.finish_prefill(None);
        return Err(PrefillError::Failed(prefill_refusal(Failure::NotRun)));
    }
    let mut prefills = FuturesUnordered::new();
    let mut in_flight = vec![first_target.key];
    prefills.push(timed_prefill(job, first_target, last_event, admission.engine_priority()));
    let mut wait =
        if retry_state.may_retry_prefill() { PrefillWait::Overdue } else { PrefillWait::GivenUp };
    loop {
        let wait_limit = wait.timeout(admission).min(job.left());
        let (failure, took) = match timeout(wait_limit, prefills.next()).await {
            Ok(Some((key, took, Ok(cache)))) => {
                let is_current_target =
                    admission.prefill.as_ref().is_some_and(|target| target.key == key);
                // The recorded time counts for the engine that was chosen last.
                admission.finish_prefill(is_current_target.then_some(took));
                job.app.metrics.stages.with_label_values(&["prefill"]).observe(took.as_secs_f64());
                return Ok(Some(cache));
            }
            Ok(Some((key, _, Err(failure)))) => {
                in_flight.retain(|in_flight_key| *in_flight_key != key);
                if !in_flight.is_empty() {
                    continue;
                }
                (failure, None)
            }
            Ok(None) => (Failure::Unknown, None),
            Err(_) => {
                record_overdue(job, admission, wait_limit);
                // An overdue prefill takes at least `wait_limit`.
                match wait {
                    _ if job.left().is_zero() => (Failure::TimedOut, None),
                    PrefillWait::Overdue if admission.may_prefill_elsewhere(&in_flight) => {
                        (Failure::Silent, Some(wait_limit))
                    }
                    PrefillWait::Overdue => {
                        wait = PrefillWait::Lost;
                        continue;
                    }
                    PrefillWait::Lost => {
                        in_flight.clear();
                        (Failure::Silent, Some(wait_limit))
                    }
                    PrefillWait::GivenUp => {
                        admission.finish_prefill(None);
                        return Err(PrefillError::Failed(prefill_refusal(Failure::Silent)));
                    }
                }
            }
        };
        let may_retry = retry_state.record_prefill_failure(job, failure);
        wait = if may_retry && retry_state.may_retry_prefill() {
            PrefillWait::Overdue
        } else {
            PrefillWait::GivenUp
        };
        let other_target =
            if may_retry { admission.prefill_elsewhere(took, &in_flight) } else { None };
        match other_target {
            Some(other_target) => {
                let (id, server) = (job.head.id.as_deref(), &other_target.entry.name);
                let prefilled_ms = admission.basis().expected_prefill_time.as_millis() as u64;
                tracing::info!(id, %server, prefilled_ms, after_ms = job.age_ms(), "prefill sent to another engine");
                retry_state.begin_prefill(job);
                in_flight.push(other_target.key);
                prefills.push(timed_prefill(
                    job,
                    other_target,
                    last_event,
                    admission.engine_priority(),
                ));
            }
            None if !in_flight.is_empty() => {}
            None => {
                admission.finish_prefill(None);
                return Err(match may_retry {
                    true => PrefillError::Retry,
                    false => PrefillError::Failed(prefill_refusal(failure)),
                });
            }
        }
    }
}

/// Returns the refusal for a caller whose last prefill failed in this way. A prefill is not a run of the request.
fn prefill_refusal(failure: Failure) -> Refusal {
    match failure {
        Failure::Quarantined(_) => failure.refusal(),
        _ => Failure::NotRun.refusal(),
    }
}

/// Logs a prefill that was not answered within `limit`, and records a failure of its engine if no other prompts were
/// queued ahead.
fn record_overdue(job: &Job, admission: &Admission, limit: Duration) {
    let Some(target) = &admission.prefill else { return };
    // With other prompts queued ahead the engine may only be slow. Recording a failure would make the peers
    // overload the remaining engines.
    if !admission.basis().queued {
        job.app.record_outcome(target, Outcome::Timeout);
    }
    let (id, server, limit_ms) = (job.head.id.as_deref(), &target.entry.name, limit.as_millis());
    tracing::info!(id, %server, limit_ms = limit_ms as u64, after_ms = job.age_ms(), "prefill overdue");
}

/// Calls [`send_prefill`] and returns the engine's key, the time taken and the result. The key tells apart the
/// answers to prefills that are in flight at the same time.
async fn timed_prefill(
    job: &Arc<Job>,
    target: Target,
    last_event: Option<u64>,
    priority: Option<u8>,
) -> (ServerKey, Duration, Result<PrefilledCache, Failure>) {
    let started_at = clock::now();
    let cache = send_prefill(job, &target, last_event, priority).await;
    (target.key, clock::now().since(started_at), cache)
}

/// Sends the request to an engine for prefill only, and reads the handle of the KV cache.
async fn send_prefill(
    job: &Arc<Job>,
    target: &Target,
    last_event: Option<u64>,
    priority: Option<u8>,
) -> Result<PrefilledCache, Failure> {
    let step = Step::Prefill;
    let added_values = AddedValues { step, last_event, priority, ..job.added_values(target) };
    let response = job.send(target, &added_values).await?;
    let (head, mut stream) = response.into_parts();
    let read_result = timeout(job.left(), stream.read(MAX_HANDLE_BYTES)).await;
    let body = read_result.map_err(|_| Failure::TimedOut)?.map_err(|_| Failure::Unknown)?;
    let handle = (job.app.dialect.parse_handle)(target.entry.address, &body);
    let handle = handle.filter(|_| head.status.is_success()).ok_or(Failure::Unknown)?;
    let tokens = job.head.generation.as_ref().map_or(0, |generation| generation.prompt_tokens);
    let (job, target, prefilled_at) = (job.clone(), target.clone(), clock::now());
    Ok(PrefilledCache { job, target, handle, tokens, prefilled_at, consumed: false })
}

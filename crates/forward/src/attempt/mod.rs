//! Sends an admitted request to backend servers until one answers it, it is refused or its deadline passes.
//!
//! A [`Job`] is the request that is being served, with all that is needed to serve it. An attempt sends it to one
//! backend server. `plain` serves plain services, whose servers run no model. `generation` and `relay` serve model
//! engines. `RetryState` decides whether another server may be tried after a failure.

mod body;
mod events;
mod generation;
mod origin;
mod plain;
mod relay;
mod takeover;
#[cfg(test)]
mod tests;

use crate::answer::{Body, Cause, Refusal};
use crate::app::{ActiveConfig, App, Identity, Target};
use crate::config::{Organisation, Route};
use crate::dialect::{AddedValues, RequestHead, ResponseHead, Step};
use bytes::Bytes;
use chestnutrack_core::dispatch::{Outcome, Residency, ServerKey};
use chestnutrack_core::time::Instant;
use chestnutrack_process::clock;
use chestnutrack_process::http::{ConnectError, Error};
use chestnutrack_process::pool::{self, Reuse};
use http_body_util::Full;
use hyper::http::request::Parts;
use hyper::{HeaderMap, Request, Response, StatusCode, Uri};
use std::collections::HashSet;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// The request that is being served: what was received from the caller, and what was determined from it before the
/// first attempt.
pub struct Job {
    /// State shared by all requests of the process.
    pub app: Arc<App>,
    /// Configuration under which the request was admitted.
    pub active_config: Arc<ActiveConfig>,
    /// Route that the request matched.
    pub route: Route,
    /// Service that the request is sent to.
    pub service: Arc<str>,
    /// Organisation that the caller's key belongs to; `None` if no key was needed.
    pub organisation: Option<Organisation>,
    /// Regions whose servers may get the request.
    pub residency: Residency,
    /// Request line and headers as received.
    pub parts: Parts,
    /// Body as received.
    pub body: Bytes,
    /// Values that the dialect parsed from the headers.
    pub head: RequestHead,
    /// By what the request is recognised when it comes again.
    pub identity: Identity,
    /// When the request arrived.
    pub arrived_at: Instant,
    /// When the caller sent this request for the first time: before `arrived_at` if it was refused before.
    pub first_arrived_at: Instant,
    /// When the request must have ended.
    pub deadline: Instant,
    /// Servers that the request was sent to, prefills included.
    pub sent_to: Mutex<HashSet<ServerKey>>,
}

/// Why an attempt at one backend server gave no usable answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Failure {
    /// Nothing was sent: the connection or the request failed before.
    Unsent,
    /// Nothing was sent: the server's address refuses connections.
    Refused,
    /// Nothing was sent: all connections that this host may open to the server are in use.
    Crowded,
    /// Nothing was sent: the server is leaving, or has asked for no requests for now.
    Closed,
    /// Nothing was sent: the server's failure domain is evacuated.
    Evacuated,
    /// Nothing was sent: another process has started under the server's name.
    Restarted,
    /// Nothing was sent: the request, or a part of its prompt, crashes servers and is in quarantine for this time.
    Quarantined(Duration),
    /// The server states that it did not run the request and never will.
    NotRun,
    /// Another server has taken over the address; it did not run the request.
    Misdirected,
    /// The answer was lost or is not usable; the request may have run.
    Unknown,
    /// The server was silent for too long; the request may have run.
    Silent,
    /// The deadline passed; the request may have run.
    TimedOut,
}

impl Failure {
    /// Returns the failure's name in logs and metrics.
    fn name(self) -> &'static str {
        match self {
            Failure::Unsent => "unsent",
            Failure::Refused => "refused",
            Failure::Crowded => "crowded",
            Failure::Closed => "closed",
            Failure::Evacuated => "evacuated",
            Failure::Restarted => "restarted",
            Failure::Quarantined(_) => "quarantined",
            Failure::NotRun => "not_run",
            Failure::Misdirected => "misdirected",
            Failure::Unknown => "unknown",
            Failure::Silent => "silent",
            Failure::TimedOut => "timed_out",
        }
    }

    /// Returns `true` if nothing was sent to the server.
    fn is_unsent(self) -> bool {
        matches!(
            self,
            Failure::Unsent
                | Failure::Refused
                | Failure::Crowded
                | Failure::Closed
                | Failure::Evacuated
                | Failure::Restarted
                | Failure::Quarantined(_)
        )
    }

    /// Returns `true` if the server may have run the request.
    fn may_have_run(self) -> bool {
        matches!(self, Failure::Unknown | Failure::Silent | Failure::TimedOut)
    }

    /// Returns the refusal for a caller whose last attempt failed in this way.
    fn refusal(self) -> Refusal {
        match self {
            Failure::Unknown | Failure::Silent => Refusal::new(Cause::Lost),
            Failure::TimedOut => Refusal::new(Cause::TimedOut),
            Failure::Quarantined(left) => Refusal::with_retry_after(Cause::Quarantined, left),
            _ => Refusal::with_retry_after(Cause::Full, FULL_RETRY_AFTER),
        }
    }
}

/// Retry time given to callers of a service without free capacity.
const FULL_RETRY_AFTER: Duration = Duration::from_millis(500);
/// Highest number of servers tried for one request while nothing could be sent to any of them.
const MAX_UNSENT: u32 = 3;

/// Longest silence of a resumable stream, also before its head, before another engine is looked for.
const SILENCE_LIMIT: Duration = Duration::from_millis(1_200);
/// How often that time is doubled at most.
const SILENCE_DOUBLINGS_MAX: u32 = 3;
/// Highest number of prefill attempts for one request.
const MAX_PREFILLS: u32 = 3;

/// Attempts made for one request so far, by which [`RetryState::record_failure`] decides on another.
#[derive(Clone, Copy, Debug, Default)]
struct RetryState {
    /// Servers that the request was sent to, not counting prefills.
    sent: u32,
    /// Servers to which nothing could be sent.
    unsent: u32,
    /// Failed prefills.
    failed_prefills: u32,
    /// Whether the next prefill repeats one that may have reached an engine, and is not charged to the retry budget yet.
    is_prefill_repeated: bool,
    /// Retries taken from the service's retry budget.
    retries: u32,
    /// Whether one of the servers may have run the request.
    may_have_run: bool,
    /// Whether the engine that has the request is silent.
    is_silent: bool,
    /// Silences after which the engine went on.
    ended_silences: u32,
}

impl RetryState {
    /// Records a failed attempt. Returns `true` if another server may be tried.
    ///
    /// A request that was not sent may go to another server without a charge to the retry budget, up to
    /// [`MAX_UNSENT`] servers. All other retries are charged. A request that may have run is sent again only if
    /// its route allows that.
    fn record_failure(&mut self, job: &Job, failure: Failure) -> bool {
        self.count(failure);
        if matches!(failure, Failure::Quarantined(_)) {
            return false;
        }
        if failure.is_unsent() {
            return self.unsent < MAX_UNSENT;
        }
        let may_repeat = match failure {
            Failure::Unknown | Failure::Silent => job.route.kind.may_repeat(),
            Failure::TimedOut => false,
            _ => true,
        };
        let is_left = match failure {
            Failure::Misdirected => self.unsent < MAX_UNSENT,
            _ => self.sent < job.route.attempts,
        };
        let may_retry = may_repeat && is_left && self.spend_retry(job);
        self.log_decision(job, failure, may_retry);
        may_retry
    }

    /// Counts a failed attempt: as sent, or as unsent if the intended server certainly never received the request.
    fn count(&mut self, failure: Failure) {
        if failure.is_unsent() || failure == Failure::Misdirected {
            self.unsent += 1;
            return;
        }
        self.sent += 1;
        self.may_have_run |= failure.may_have_run();
    }

    /// Returns how long the engine that has the request may be silent before another one is looked for. The time doubles
    /// with each silence after which the engine went on, so that an engine that pauses often does not use up the
    /// retries.
    fn silence_limit(&self) -> Duration {
        SILENCE_LIMIT * (1 << self.ended_silences.min(SILENCE_DOUBLINGS_MAX))
    }

    /// Records that the engine `silent` has been silent for the limit: once for each silence, as a failure.
    fn record_silence(&mut self, job: &Job, silent: &Target) {
        if !std::mem::replace(&mut self.is_silent, true) {
            job.app.record_outcome(silent, Outcome::Timeout);
            job.app.metrics.failures.with_label_values(&[Failure::Silent.name()]).inc();
        }
    }

    /// Records that an engine has sent something. If it was silent, it counts as sound again.
    fn record_progress(&mut self, job: &Job, target: &Target) {
        if !std::mem::replace(&mut self.is_silent, false) {
            return;
        }
        self.ended_silences += 1;
        job.app.record_outcome(target, Outcome::Answer);
        let (id, server) = (job.head.id.as_deref(), &target.entry.name);
        tracing::info!(id, %server, after_ms = job.age_ms(), "silent engine went on");
    }

    /// Returns why the request may not be sent to one more server than it is at now, or `None` if it may.
    fn obstacle(&self, job: &Job) -> Option<&'static str> {
        if job.quarantine_left().is_some() {
            Some("quarantined")
        } else if !job.route.kind.may_repeat() {
            Some("route")
        } else if job.left().is_zero() {
            Some("deadline")
        } else if self.sent + 1 >= job.route.attempts {
            Some("attempts")
        } else {
            None
        }
    }

    /// Logs whether a failed attempt is followed by another (`again`), and the counts that decided it.
    fn log_decision(&self, job: &Job, failure: Failure, again: bool) {
        let (id, failure) = (job.head.id.as_deref(), failure.name());
        let (sent, attempts, repeats) = (self.sent, job.route.attempts, self.retries);
        tracing::info!(id, failure, sent, attempts, repeats, again, "retry decision");
    }

    /// Begins a prefill. One that repeats another, as for a stream that is resumed, is charged to the retry budget.
    /// Returns `false` if the budget doesn't allow it.
    fn begin_prefill(&mut self, job: &Job) -> bool {
        let allowed = !self.is_prefill_repeated || self.spend_retry(job);
        if !allowed {
            let (id, repeats) = (job.head.id.as_deref(), self.retries);
            tracing::info!(id, repeats, "prefill not repeated: retry budget");
        }
        self.is_prefill_repeated = true;
        allowed
    }

    /// Returns `true` if one more prefill may be tried if the one in flight fails.
    fn may_retry_prefill(&self) -> bool {
        self.failed_prefills + 1 < MAX_PREFILLS
    }

    /// Records a failed prefill. Returns `true` if another may be tried, which is charged to the retry budget unless the
    /// failed one was not sent. A prefill never counts as a run of the request.
    fn record_prefill_failure(&mut self, job: &Job, failure: Failure) -> bool {
        if matches!(failure, Failure::Quarantined(_)) {
            return false;
        }
        if failure.is_unsent() {
            self.is_prefill_repeated = false;
            self.unsent += 1;
            return self.unsent < MAX_UNSENT;
        }
        self.failed_prefills += 1;
        let may_retry = failure != Failure::TimedOut
            && self.failed_prefills < MAX_PREFILLS
            && self.spend_retry(job);
        self.is_prefill_repeated = !may_retry;
        self.log_decision(job, failure, may_retry);
        may_retry
    }

    /// Returns the refusal to send to the caller: [`Cause::Lost`] in place of one that promises that the
    /// request did not run, if an earlier attempt may have run it.
    fn refusal(&self, refusal: Refusal) -> Refusal {
        match self.may_have_run && refusal.is_not_run() {
            true => Refusal::new(Cause::Lost),
            false => refusal,
        }
    }

    /// Returns `true` if the service's retry budget allows a retry.
    fn has_retry(&self, job: &Job) -> bool {
        job.app.allows_retry(&job.service, self.retries)
    }

    /// Takes a retry from the service's retry budget, which bounds retries by a share of its requests and a
    /// burst. Returns `false` if the budget doesn't allow it.
    fn spend_retry(&mut self, job: &Job) -> bool {
        let spent = job.app.spend_retry(&job.service, self.retries);
        self.retries += u32::from(spent);
        spent
    }
}

/// Sends a request to backend servers and returns the answer for the caller.
///
/// # Errors
///
/// Returns the refusal to send in place of a server's answer.
pub async fn run(job: Arc<Job>) -> Result<Response<Body>, Refusal> {
    let engine = job.active_config.table.service(&job.service).and_then(|service| service.engine);
    match engine {
        Some(engine) => generation::run(job, engine).await,
        None => plain::run(&job).await,
    }
}

impl Job {
    /// Returns the time left until the deadline.
    fn left(&self) -> Duration {
        self.deadline.since(clock::now())
    }

    /// Returns how long the request remains in quarantine; `None` if it is not.
    fn quarantine_left(&self) -> Option<Duration> {
        self.app.quarantine_left(&self.identity)
    }

    /// Records that an answer broke off at a server, which began to write it at `began_at`, or had not begun. A server
    /// that has become unresponsive has not crashed.
    fn record_break(&self, target: &Target, began_at: Option<Instant>, error: &Error) {
        if let Error::Broken(_) = error {
            self.app.record_break(target, began_at, &self.identity, self.head.id.as_deref());
        }
    }

    /// Records that a server survived the request, whose answer it began to write at `began_at`.
    fn record_sound(&self, began_at: Instant) {
        self.app.record_sound(&self.identity, began_at);
    }

    /// Returns the version of the configuration under which the request was admitted.
    fn version(&self) -> u64 {
        self.active_config.table.config().version
    }

    /// Returns the time since arrival, in milliseconds.
    fn age_ms(&self) -> u64 {
        clock::now().since(self.arrived_at).as_millis() as u64
    }

    /// Returns the values that the router adds to the request for a server.
    fn added_values(&self, target: &Target) -> AddedValues {
        AddedValues {
            server: target.entry.name.clone(),
            deadline: self.left(),
            organisation: self.organisation.as_ref().map(|owner| owner.name.clone()),
            last_event: self.head.last_event,
            ..AddedValues::default()
        }
    }

    /// Sends the request to a server and returns its response once the head has arrived. Logs a failure, and
    /// records the outcome, which decides whether further requests are sent to the server.
    async fn send(
        &self,
        target: &Target,
        added_values: &AddedValues,
    ) -> Result<Response<pool::Stream>, Failure> {
        self.send_observed(target, added_values, &|| {}).await
    }

    /// Sends the request as [`Job::send`] does. Calls `on_send` when there is a connection and the request is about to
    /// be sent on it.
    async fn send_observed(
        &self,
        target: &Target,
        added_values: &AddedValues,
        on_send: &(dyn Fn() + Send + Sync),
    ) -> Result<Response<pool::Stream>, Failure> {
        if self.left().is_zero() {
            return Err(Failure::Unsent);
        }
        let (sent_at, reuse) = (clock::now(), self.reuse(target));
        let result = match self.quarantine_left() {
            Some(left) => Err(Failure::Quarantined(left)),
            None if self.app.is_evacuated(target) => Err(Failure::Evacuated),
            None if !self.app.accepts(target) || !self.app.may_send(target, reuse) => {
                Err(Failure::Closed)
            }
            // The server's entry may have changed since it was chosen.
            None if !self.app.is_allowed(target, &self.residency) => Err(Failure::Closed),
            None => self.exchange(target, added_values, reuse, on_send).await,
        };
        if let Err(failure) = &result {
            let (server, failure) = (&target.entry.name, failure.name());
            tracing::info!(id = self.head.id.as_deref(), %server, failure, after_ms = self.age_ms(), "attempt failed");
            self.app.metrics.failures.with_label_values(&[failure]).inc();
        }
        match &result {
            Err(Failure::Evacuated) => self.app.record_withheld("request"),
            Err(Failure::Misdirected) => self.app.mark_replaced(target),
            Err(Failure::Refused | Failure::Unsent) => {
                self.app.record_outcome(target, Outcome::Unreachable)
            }
            Err(Failure::Unknown) => self.app.record_outcome(target, Outcome::Failure),
            Err(Failure::Silent | Failure::TimedOut) => {
                self.app.record_outcome(target, Outcome::Timeout)
            }
            // For a plain service, this failure is recorded as an answer below: its lack of room is recorded
            // when its placement ends.
            Err(Failure::NotRun) if target.entry.stage.is_some() => {
                self.app.record_outcome(target, Outcome::Refusal)
            }
            // Neither a full connection pool of this host nor a request that was not tried says
            // anything about the server.
            Err(
                Failure::Crowded | Failure::Closed | Failure::Restarted | Failure::Quarantined(_),
            ) => {}
            Ok(_) | Err(Failure::NotRun) => self.app.record_outcome(target, Outcome::Answer),
        }
        if result.is_ok() {
            self.app.record_alive(target, sent_at);
        }
        result
    }

    /// Sends the request to a server and checks the head of the answer: that it belongs to this request, is signed, is not
    /// encoded, comes from the intended server and doesn't state that the request was not run.
    async fn exchange(
        &self,
        target: &Target,
        added_values: &AddedValues,
        reuse: Reuse,
        on_send: &(dyn Fn() + Send + Sync),
    ) -> Result<Response<pool::Stream>, Failure> {
        let (left, sent_at) = (self.left(), clock::now());
        let headers = (self.app.dialect.forward_headers)(&self.parts.headers, added_values);
        let request = self.build_request(headers).ok_or(Failure::Unsent)?;
        let on_send = || {
            self.sent_to().insert(target.key);
            on_send();
        };
        let response = target.pool.call_streaming_observed(request, reuse, left, &on_send).await;
        let response = match response {
            Ok(response) => response,
            Err(Error::Connect(_, ConnectError::Refused)) => return Err(Failure::Refused),
            Err(Error::Connect(_, ConnectError::PoolExhausted)) => return Err(Failure::Crowded),
            Err(Error::Connect(_, ConnectError::WrongProcess)) => return Err(Failure::Restarted),
            Err(Error::Request(_)) if self.app.is_evacuated(target) => {
                // The evacuation began while the connection was opened.
                return Err(Failure::Evacuated);
            }
            Err(Error::Connect(..) | Error::Request(_)) => return Err(Failure::Unsent),
            Err(Error::Timeout(_)) => return Err(Failure::TimedOut),
            Err(error) => {
                if added_values.step != Step::Prefill {
                    self.record_break(target, None, &error);
                }
                return Err(Failure::Unknown);
            }
        };
        let answer = (self.app.dialect.parse_response_head)(response.status(), response.headers());
        if let Some(reason) = self.mismatch(&answer, &response, &added_values.step) {
            self.record_rejected(target, &answer, response.status(), reason);
            return Err(Failure::Unknown);
        }
        self.app.record_notices(target, sent_at, &answer, self.head.id.as_deref());
        match answer {
            ResponseHead { misdirected: true, .. } => Err(Failure::Misdirected),
            ResponseHead { not_run: true, .. } => Err(Failure::NotRun),
            _ => Ok(response),
        }
    }

    /// Returns which connections to a server the request may be sent on. On a kept connection, a copy of an earlier answer
    /// can't be told from the answer to this request if it was sent to the server before, since both bear its identifier,
    /// or if it has none.
    fn reuse(&self, target: &Target) -> Reuse {
        match self.head.id.is_none() || self.sent_to().contains(&target.key) {
            true => Reuse::Forbidden,
            false => Reuse::Allowed,
        }
    }

    /// Locks the set of servers that the request was sent to.
    fn sent_to(&self) -> MutexGuard<'_, HashSet<ServerKey>> {
        self.sent_to.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns why an answer can't be the one to this request, or `None` if it can.
    ///
    /// A faulty server may send a second answer, or other bytes, where the next answer on a connection is due. So an
    /// answer counts only with the identifier of the request, and a success only with the server's signature, which the
    /// answer to a prefill doesn't bear. A refusal that states that the server did not run the request may lack the
    /// identifier on a connection that carried no call before, where it can't be a copy of another one. A success that
    /// states so contradicts itself: the request may have run.
    fn mismatch(
        &self,
        answer: &ResponseHead,
        response: &Response<pool::Stream>,
        step: &Step,
    ) -> Option<&'static str> {
        let is_refusal = answer.not_run || answer.misdirected;
        let may_lack_id = is_refusal && response.body().is_first();
        if answer.encoded {
            Some("encoded")
        } else if answer.id != self.head.id && !(answer.id.is_none() && may_lack_id) {
            Some("identifier")
        } else if response.status().is_success() && is_refusal {
            Some("contradiction")
        } else if response.status().is_success() && !answer.signed && *step != Step::Prefill {
            Some("signature")
        } else {
            None
        }
    }

    /// Logs and counts an answer that can't be the one to the call that was sent.
    fn record_rejected(
        &self,
        target: &Target,
        answer: &ResponseHead,
        status: StatusCode,
        reason: &str,
    ) {
        // Keys in the log: `answers` is the request that the server answered.
        let (server, answers, status) = (&target.entry.name, answer.id.as_deref(), status.as_u16());
        tracing::warn!(id = self.head.id.as_deref(), %server, answers, status, reason, "answer rejected");
        self.app.metrics.rejected_answers.with_label_values(&[reason]).inc();
    }

    /// Builds the request for a server from the method, path, query and body received and the given headers. Returns
    /// `None` if the caller's URI has no path.
    fn build_request(&self, headers: HeaderMap) -> Option<Request<Full<Bytes>>> {
        let path_and_query = self.parts.uri.path_and_query()?.clone();
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.parts.method.clone();
        *request.uri_mut() = Uri::from(path_and_query);
        *request.headers_mut() = headers;
        Some(request)
    }

    /// Records a backend server's answer: counts it by kind of route and class of status, measures the time since
    /// arrival, and logs which server sent it.
    fn record_answer(&self, target: &Target, status: u16) {
        let kind = match self.route.kind.is_stream() {
            true => "stream",
            false => "plain",
        };
        let class = format!("{}xx", status / 100);
        self.app.metrics.requests.with_label_values(&[kind, &class]).inc();
        self.app.metrics.first_byte.observe(clock::now().since(self.arrived_at).as_secs_f64());
        let (id, server, route) = (self.head.id.as_deref(), &target.entry.name, &self.route.name);
        tracing::info!(id, %route, %server, status, after_ms = self.age_ms(), "answered");
    }
}

/// Returns a server's response headers without hop-by-hop headers, which apply to a single connection, and without
/// the content length.
fn response_headers(headers: &HeaderMap) -> HeaderMap {
    use chestnutrack_process::header::is_hop_by_hop;
    let forwarded = headers.iter().filter(|(name, _)| {
        !is_hop_by_hop(name.as_str()) && *name != hyper::header::CONTENT_LENGTH
    });
    forwarded.map(|(name, value)| (name.clone(), value.clone())).collect()
}

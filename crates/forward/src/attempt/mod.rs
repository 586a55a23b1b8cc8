//! What is sent to backend servers for one request.

mod events;
mod generation;
mod plain;
mod relay;
#[cfg(test)]
mod tests;

use crate::answer::{Body, Cause, Refusal};
use crate::app::{ActiveConfig, App, Target};
use crate::config::{Organisation, Route};
use crate::dialect::{Ask, Onward, Verdict};
use bytes::Bytes;
use chestnutrack_core::dispatch::Outcome;
use chestnutrack_core::time::Instant;
use chestnutrack_process::http::{ConnectError, Error};
use chestnutrack_process::{clock, pool};
use http_body_util::Full;
use hyper::http::request::Parts;
use hyper::{HeaderMap, Request, Response, Uri};
use std::sync::Arc;
use std::time::Duration;

/// A request that was admitted.
pub struct Job {
    /// What all requests share.
    pub app: Arc<App>,
    /// The configuration that it was admitted under.
    pub in_force: Arc<ActiveConfig>,
    /// Its route.
    pub route: Route,
    /// The service that it goes to.
    pub service: Arc<str>,
    /// Whose it is.
    pub organisation: Option<Organisation>,
    /// Its head.
    pub parts: Parts,
    /// Its body.
    pub body: Bytes,
    /// What its head says.
    pub ask: Ask,
    /// When it arrived.
    pub arrived: Instant,
    /// When its caller came first; earlier where it was refused before.
    pub first: Instant,
    /// When it must have ended.
    pub deadline: Instant,
}

/// Why a request has no usable answer from one backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Failure {
    /// Nothing was sent.
    Unsent,
    /// Nothing was sent, since the address refuses connections.
    Refused,
    /// Nothing was sent, since all connections that this host may open are in use.
    Crowded,
    /// The server says that it did not run the request and never will.
    NotRun,
    /// Another server stands at the address; it did not run the request.
    Misdirected,
    /// It may have run.
    Unknown,
    /// It did not answer for too long; it may have run.
    Silent,
    /// The deadline passed; it may have run.
    TimedOut,
}

impl Failure {
    fn name(self) -> &'static str {
        match self {
            Failure::Unsent => "unsent",
            Failure::Refused => "refused",
            Failure::Crowded => "crowded",
            Failure::NotRun => "not_run",
            Failure::Misdirected => "misdirected",
            Failure::Unknown => "unknown",
            Failure::Silent => "silent",
            Failure::TimedOut => "timed_out",
        }
    }

    fn is_unsent(self) -> bool {
        matches!(self, Failure::Unsent | Failure::Refused | Failure::Crowded)
    }

    /// Whether the server may have run the request.
    fn may_have_run(self) -> bool {
        matches!(self, Failure::Unknown | Failure::Silent | Failure::TimedOut)
    }

    fn refusal(self) -> Refusal {
        match self {
            Failure::Unknown | Failure::Silent => Refusal::new(Cause::Lost),
            Failure::TimedOut => Refusal::new(Cause::TimedOut),
            _ => Refusal::until(Cause::Full, FULL_RETRY),
        }
    }
}

/// When to come back to a service without room.
const FULL_RETRY: Duration = Duration::from_millis(500);
/// Servers that one request is tried at where nothing was sent to those before.
const UNSENT_MAX: u32 = 3;

/// Silence of a stream that may be resumed, also before it begins, after which it is resumed.
const RESUME_SILENCE: Duration = Duration::from_millis(1_200);
/// Prefills that one request is tried with.
const PREFILLS_MAX: u32 = 3;

/// What was sent for one request so far.
#[derive(Clone, Copy, Debug, Default)]
struct Tries {
    /// Servers that it was sent to, other than to prefill.
    sent: u32,
    /// Servers to which nothing could be sent.
    unsent: u32,
    /// Prefills that failed.
    prefills: u32,
    /// Repeats taken from the budget.
    repeats: u32,
    /// One of the servers may have run it.
    may_have_run: bool,
}

impl Tries {
    /// Notes a failure, and whether another server may be tried.
    fn again(&mut self, job: &Job, failure: Failure) -> bool {
        if failure.is_unsent() {
            self.unsent += 1;
            return self.unsent < UNSENT_MAX;
        }
        if failure == Failure::Misdirected {
            // The server that it was meant for has ended, and never saw it.
            self.unsent += 1;
            let again = self.unsent < UNSENT_MAX && self.spend(job);
            self.note(job, failure, again);
            return again;
        }
        self.sent += 1;
        self.may_have_run |= failure.may_have_run();
        let harmless = match failure {
            Failure::Unknown | Failure::Silent => job.route.kind.may_repeat(),
            Failure::TimedOut => false,
            _ => true,
        };
        let again = harmless && self.sent < job.route.attempts && self.spend(job);
        self.note(job, failure, again);
        again
    }

    fn note(&self, job: &Job, failure: Failure, again: bool) {
        let (id, failure) = (job.ask.id.as_deref(), failure.name());
        let (sent, attempts, repeats) = (self.sent, job.route.attempts, self.repeats);
        tracing::info!(id, failure, sent, attempts, repeats, again, "whether to send again");
    }

    /// Whether another prefill may be tried after the one under way.
    fn may_prefill(&self) -> bool {
        self.prefills + 1 < PREFILLS_MAX
    }

    /// Notes a prefill that failed, which is no run, and whether another may be tried.
    fn prefill_again(&mut self, job: &Job, failure: Failure) -> bool {
        if failure.is_unsent() {
            self.unsent += 1;
            return self.unsent < UNSENT_MAX;
        }
        self.prefills += 1;
        let again = failure != Failure::TimedOut && self.prefills < PREFILLS_MAX && self.spend(job);
        self.note(job, failure, again);
        again
    }

    /// What the caller is told: nothing promises that the request did not run where it may have.
    fn refusal(&self, refusal: Refusal) -> Refusal {
        match self.may_have_run && refusal.not_run() {
            true => Refusal::new(Cause::Lost),
            false => refusal,
        }
    }

    /// Takes a repeat from the budget.
    fn spend(&mut self, job: &Job) -> bool {
        let taken = job.app.spend_retry(&job.service, self.repeats);
        self.repeats += u32::from(taken);
        taken
    }
}

/// Sends a request on, and returns the answer.
///
/// # Errors
///
/// What the caller is told in place of a server's answer.
pub async fn run(job: Arc<Job>) -> Result<Response<Body>, Refusal> {
    let engine = job.in_force.table.service(&job.service).and_then(|service| service.engine);
    match engine {
        Some(engine) => generation::run(job, engine).await,
        None => plain::run(&job).await,
    }
}

impl Job {
    /// Time left until the deadline.
    fn left(&self) -> Duration {
        self.deadline.since(clock::now())
    }

    /// Version of the configuration that it was admitted under.
    fn version(&self) -> u64 {
        self.in_force.table.config().version
    }

    /// Time since arrival, in milliseconds.
    fn age_ms(&self) -> u64 {
        clock::now().since(self.arrived).as_millis() as u64
    }

    fn onward(&self, target: &Target) -> Onward {
        Onward {
            server: target.entry.name.clone(),
            deadline: self.left(),
            organisation: self.organisation.as_ref().map(|owner| owner.name.clone()),
            last_event: self.ask.last_event,
            ..Onward::default()
        }
    }

    /// Sends the request to a server, and returns the head of its answer.
    async fn send(
        &self,
        target: &Target,
        onward: &Onward,
    ) -> Result<Response<pool::Stream>, Failure> {
        if self.left().is_zero() {
            return Err(Failure::Unsent);
        }
        let sent = self.exchange(target, onward).await;
        if let Err(failure) = &sent {
            let (server, failure) = (&target.entry.name, failure.name());
            tracing::info!(id = self.ask.id.as_deref(), %server, failure, after_ms = self.age_ms(), "attempt failed");
            self.app.metrics.failures.with_label_values(&[failure]).inc();
        }
        match &sent {
            Err(Failure::Misdirected) => self.app.mark_replaced(target),
            Err(Failure::Refused | Failure::Unsent) => {
                self.app.record_outcome(target, Outcome::Unreachable)
            }
            Err(Failure::Unknown | Failure::Silent | Failure::TimedOut) => {
                self.app.record_outcome(target, Outcome::Failure)
            }
            // Plain services are told full by their places.
            Err(Failure::NotRun) if target.entry.stage.is_some() => {
                self.app.record_outcome(target, Outcome::Refusal)
            }
            // It says nothing of the server.
            Err(Failure::Crowded) => {}
            Ok(_) | Err(Failure::NotRun) => self.app.record_outcome(target, Outcome::Answer),
        }
        sent
    }

    async fn exchange(
        &self,
        target: &Target,
        onward: &Onward,
    ) -> Result<Response<pool::Stream>, Failure> {
        let left = self.left();
        let headers = (self.app.dialect.onward)(&self.parts.headers, onward);
        let request = self.request(headers).ok_or(Failure::Unsent)?;
        let response = match target.pool.call_streaming(request, left).await {
            Ok(response) => response,
            Err(Error::Connect(_, ConnectError::Refused)) => return Err(Failure::Refused),
            Err(Error::Connect(_, ConnectError::PoolExhausted)) => return Err(Failure::Crowded),
            Err(Error::Connect(..) | Error::Request(_)) => return Err(Failure::Unsent),
            Err(Error::Timeout(_)) => return Err(Failure::TimedOut),
            Err(_) => return Err(Failure::Unknown),
        };
        let verdict = (self.app.dialect.verdict)(response.status(), response.headers());
        if verdict.id.is_some() && verdict.id != self.ask.id || verdict.encoded {
            let answers = verdict.id.as_deref();
            tracing::warn!(id = self.ask.id.as_deref(), server = %target.entry.name, answers, encoded = verdict.encoded, "answer is not this request's");
            return Err(Failure::Unknown);
        }
        match verdict {
            Verdict { misdirected: true, .. } => Err(Failure::Misdirected),
            Verdict { not_run: true, .. } => Err(Failure::NotRun),
            _ => Ok(response),
        }
    }

    fn request(&self, headers: HeaderMap) -> Option<Request<Full<Bytes>>> {
        let target = self.parts.uri.path_and_query()?.clone();
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.parts.method.clone();
        *request.uri_mut() = Uri::from(target);
        *request.headers_mut() = headers;
        Some(request)
    }

    /// Counts an answer of a backend server, and says where it came from.
    fn note_answer(&self, target: &Target, status: u16) {
        let kind = match self.route.kind.is_stream() {
            true => "stream",
            false => "plain",
        };
        let class = format!("{}xx", status / 100);
        self.app.metrics.requests.with_label_values(&[kind, &class]).inc();
        self.app.metrics.first_byte.observe(clock::now().since(self.arrived).as_secs_f64());
        let (id, server, route) = (self.ask.id.as_deref(), &target.entry.name, &self.route.name);
        tracing::info!(id, %route, %server, status, after_ms = self.age_ms(), "answered");
    }
}

/// The headers of an answer that are the server's own.
fn passed_on(headers: &HeaderMap) -> HeaderMap {
    use chestnutrack_process::header::is_hop_by_hop;
    let kept = headers.iter().filter(|(name, _)| {
        !is_hop_by_hop(name.as_str()) && *name != hyper::header::CONTENT_LENGTH
    });
    kept.map(|(name, value)| (name.clone(), value.clone())).collect()
}

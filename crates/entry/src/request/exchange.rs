//! State of one request in progress: its reply, retries, debited and used tokens, and timing.
//!
//! An exchange is one request of a caller together with its answer. Latency targets are the
//! document's limits on the time to the first token and between tokens; a deadline is the time by
//! which the answer must have begun. Debited tokens were taken from the organisation's allowance,
//! used tokens are those that the request consumed.

use super::credential::Credential;
use super::refusal::{Code, Refusal};
use crate::answer::Reply;
use crate::app::App;
use crate::authority::time_until;
use crate::explain::{Step, StepKind};
use chestnutrack_core::time::Instant;
use chestnutrack_document::model::{Bounds, Route, Targets};
use chestnutrack_process::clock;
use chestnutrack_wire::Request;
use chestnutrack_wire::frame::Ran;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

/// Properties of a request that passed all checks. They don't change when the configuration does.
#[derive(Clone, Debug)]
pub struct Admitted {
    /// Route.
    pub route: Route,
    /// Credential of the caller; none on routes open to all.
    pub credential: Option<Credential>,
    /// Bounds of the document under which it was admitted.
    pub bounds: Bounds,
    /// Latency targets of the same document.
    pub targets: Targets,
    /// Time by which the answer must have begun.
    pub deadline: Instant,
}

impl Admitted {
    /// Returns whether latency targets apply. They apply to interactive model requests only.
    pub fn has_targets(&self) -> bool {
        self.route.api.is_model() && !self.route.may_wait
    }

    /// Returns the organisation that the request runs for; empty on routes open to all.
    pub fn organisation(&self) -> Arc<str> {
        self.credential
            .as_ref()
            .map_or_else(|| "".into(), |credential| credential.organisation.clone())
    }
}

/// A request in progress.
pub struct Exchange {
    /// Identifier.
    pub request_id: Request,
    /// Time of arrival.
    pub arrived_at: Instant,
    /// Reply to the caller.
    pub reply: Reply,
    /// Time spent waiting for other processes, in microseconds.
    external_us: AtomicU64,
    /// Whether the current attempt sent a command to a side process that may have taken effect.
    is_dispatched: AtomicBool,
    /// Whether earlier, failed attempts ran; the worst case over all of them.
    earlier_ran: Mutex<Option<Ran>>,
    retries: AtomicU32,
    debited_tokens: AtomicU64,
    used_tokens: AtomicU64,
    timing: Mutex<TokenTiming>,
}

/// Arrival times of the answer's first and latest tokens, and their number.
#[derive(Clone, Copy, Debug, Default)]
struct TokenTiming {
    first_at: Option<Instant>,
    last_at: Option<Instant>,
    tokens: u64,
}

impl Exchange {
    /// Creates the state of a request that has just arrived.
    pub fn new(request_id: Request, reply: Reply) -> Exchange {
        Exchange {
            request_id,
            arrived_at: clock::now(),
            reply,
            external_us: AtomicU64::new(0),
            is_dispatched: AtomicBool::new(false),
            earlier_ran: Mutex::new(None),
            retries: AtomicU32::new(0),
            debited_tokens: AtomicU64::new(0),
            used_tokens: AtomicU64::new(0),
            timing: Mutex::default(),
        }
    }

    /// Records a step for the operators' explain page.
    pub fn record_step(
        &self,
        app: &App,
        what: StepKind,
        server: Option<&Arc<str>>,
        why: Option<&str>,
    ) {
        let elapsed = clock::now().since(self.arrived_at);
        let at_us = u64::try_from(elapsed.as_micros()).unwrap_or(u64::MAX);
        let (server, why) = (server.cloned(), why.map(Into::into));
        app.recent_requests.record(self.request_id, Step { at_us, what, server, why });
    }

    /// Waits for another process. The wait is not counted in [`Exchange::own_time`].
    pub async fn wait_external<T>(&self, pending: impl Future<Output = T>) -> T {
        let started_at = clock::now();
        let output = pending.await;
        let waited = clock::now().since(started_at);
        let micros = u64::try_from(waited.as_micros()).unwrap_or(u64::MAX);
        self.external_us.fetch_add(micros, Ordering::Relaxed);
        output
    }

    /// Returns the time since arrival, without waits for other processes.
    pub fn own_time(&self) -> Duration {
        let external = Duration::from_micros(self.external_us.load(Ordering::Relaxed));
        clock::now().since(self.arrived_at).saturating_sub(external)
    }

    /// Records that the current attempt sent a command to a side process that may have taken
    /// effect.
    pub fn mark_dispatched(&self) {
        self.is_dispatched.store(true, Ordering::Relaxed);
    }

    /// Returns the number of retries so far.
    pub fn retries(&self) -> u32 {
        self.retries.load(Ordering::Relaxed)
    }

    /// Counts a retry.
    pub fn record_retry(&self) {
        self.retries.fetch_add(1, Ordering::Relaxed);
    }

    /// Records that the current attempt failed, and whether it ran.
    pub fn record_failed_attempt(&self, ran: Ran) {
        self.is_dispatched.store(false, Ordering::Relaxed);
        let ran = self.ran_with(ran);
        *self.earlier_ran.lock().unwrap_or_else(PoisonError::into_inner) = Some(ran);
    }

    /// Returns whether the request ran, as far as is known while its attempt is in progress: the
    /// outcome of an attempt that sent a command is unknown until its answer begins.
    pub fn ran(&self) -> Ran {
        match (self.is_dispatched.load(Ordering::Relaxed), self.reply.is_started()) {
            (false, _) => self.ran_with(Ran::NotRun),
            (true, true) => Ran::Ran,
            (true, false) => Ran::Unknown,
        }
    }

    /// Returns whether the request ran, given whether its latest attempt ran. The worst case over
    /// all attempts counts: `Ran` before `Unknown` before `NotRun`.
    pub fn ran_with(&self, latest: Ran) -> Ran {
        let earlier = *self.earlier_ran.lock().unwrap_or_else(PoisonError::into_inner);
        let earlier =
            if self.reply.is_started() { Ran::Ran } else { earlier.unwrap_or(Ran::NotRun) };
        match (latest, earlier) {
            (Ran::Ran, _) | (_, Ran::Ran) => Ran::Ran,
            (Ran::Unknown, _) | (_, Ran::Unknown) => Ran::Unknown,
            (Ran::NotRun, Ran::NotRun) => Ran::NotRun,
        }
    }

    /// Sets the number of debited tokens.
    pub fn set_debited_tokens(&self, tokens: u64) {
        self.debited_tokens.store(tokens, Ordering::Relaxed);
    }

    /// Sets the number of used tokens.
    pub fn set_used_tokens(&self, tokens: u64) {
        self.used_tokens.store(tokens, Ordering::Relaxed);
    }

    /// Returns the number of used tokens, at most the number debited.
    pub fn used_tokens(&self) -> u64 {
        self.used_tokens.load(Ordering::Relaxed).min(self.debited_tokens.load(Ordering::Relaxed))
    }

    /// Returns the number of tokens to refund and marks them as refunded, so that a second call
    /// returns zero.
    pub fn take_unused_tokens(&self) -> u64 {
        let used = self.used_tokens.load(Ordering::Relaxed);
        self.debited_tokens.swap(used, Ordering::Relaxed).saturating_sub(used)
    }

    /// Records that tokens of the answer arrived, and updates the latency metrics. A plain answer
    /// counts as one token.
    pub fn record_tokens(&self, app: &App, tokens: u64) {
        let now = clock::now();
        let mut timing = self.timing.lock().unwrap_or_else(PoisonError::into_inner);
        match timing.last_at {
            None => {
                timing.first_at = Some(now);
                app.metrics.first_token.observe(now.since(self.arrived_at).as_secs_f64());
                app.metrics.own_time.observe(self.own_time().as_secs_f64());
            }
            Some(last_at) => app.metrics.between_tokens.observe(now.since(last_at).as_secs_f64()),
        }
        timing.last_at = Some(now);
        timing.tokens += tokens;
    }

    /// Returns the time by which a request must be placed for its first token to arrive within the
    /// latency target, or the deadline if that is earlier or there is no latency target.
    pub fn placement_deadline(&self, app: &App, admitted: &Admitted) -> Instant {
        if !admitted.has_targets() {
            return admitted.deadline;
        }
        let first_token_target = Duration::from_millis(admitted.targets.first_token_ms);
        let latest_placement = self.arrived_at
            + first_token_target.saturating_sub(app.first_token_estimate.expected());
        latest_placement.min(admitted.deadline)
    }

    /// Returns whether the answer was in time: within both latency targets for an interactive model
    /// request, begun before the deadline for any other.
    pub fn is_in_time(&self, admitted: &Admitted) -> bool {
        if admitted.has_targets() {
            return self.meets_targets(&admitted.targets);
        }
        let timing = *self.timing.lock().unwrap_or_else(PoisonError::into_inner);
        timing.first_at.is_some_and(|first_at| first_at <= admitted.deadline)
    }

    /// Returns whether the answer met both latency targets. The time between tokens is compared as
    /// an average over the answer.
    fn meets_targets(&self, targets: &Targets) -> bool {
        let timing = *self.timing.lock().unwrap_or_else(PoisonError::into_inner);
        let first_at = timing.first_at.unwrap_or_else(clock::now);
        let last_at = timing.last_at.unwrap_or(first_at);
        let generation_time = last_at.since(first_at).as_millis();
        let gap_target = u128::from(targets.between_tokens_ms);
        let gaps = u128::from(timing.tokens.saturating_sub(1));
        first_at.since(self.arrived_at).as_millis() <= u128::from(targets.first_token_ms)
            && generation_time <= gap_target * gaps
    }
}

/// Checks, before an attempt or a stage of it, that a request may still run: the configuration is
/// confirmed, its key is in force for the same organisation or its route is still open to all, and
/// its deadline has not passed.
///
/// # Errors
///
/// If one of these no longer holds.
pub fn check_runnable(app: &App, admitted: &Admitted) -> Result<(), Refusal> {
    let snapshot = app.authority.snapshot();
    if !snapshot.trusted {
        return Err(unconfirmed_refusal());
    }
    if let Some(credential) = &admitted.credential {
        credential.check(&snapshot)?;
    } else if !is_still_open(&snapshot, &admitted.route) {
        return Err(Refusal::new(Code::KeyMissing, "the route is no longer open to all"));
    }
    if time_until(admitted.deadline).is_zero() {
        return Err(
            Refusal::new(Code::DeadlineUnmet, "the deadline has passed").with_retry_after(1_000)
        );
    }
    Ok(())
}

/// Returns whether the configuration in force still has this route and opens it to all.
fn is_still_open(snapshot: &chestnutrack_fleet::Snapshot, route: &Route) -> bool {
    let routes = snapshot.document.as_ref().map(|document| &document.routes);
    routes.into_iter().flatten().any(|other| other.name == route.name && other.open)
}

/// Returns the refusal for a host whose configuration is not confirmed.
pub fn unconfirmed_refusal() -> Refusal {
    /// Time after which the caller may retry, in milliseconds.
    const RETRY_MS: u64 = 1_000;
    let message = "the configuration is not confirmed on this host";
    Refusal::new(Code::ConfigurationUnconfirmed, message).with_retry_after(RETRY_MS)
}

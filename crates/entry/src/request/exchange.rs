//! One request while it is in progress: what it holds and what has to be handed back.

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

/// What is known of a request once its route was found.
#[derive(Clone, Debug)]
pub struct Admitted {
    /// Its route.
    pub route: Route,
    /// Whose key came; none on routes open to all.
    pub credential: Option<Credential>,
    /// Bounds of the document under which it was admitted.
    pub bounds: Bounds,
    /// Latency targets of the same document.
    pub targets: Targets,
    /// When its answer must have begun.
    pub deadline: Instant,
}

impl Admitted {
    /// Whether latency targets apply to it: to interactive model requests.
    pub fn has_targets(&self) -> bool {
        self.route.api.is_model() && !self.route.may_wait
    }

    /// The organisation that it runs for; empty on routes open to all.
    pub fn organisation(&self) -> Arc<str> {
        self.credential.as_ref().map_or_else(|| "".into(), |owner| owner.organisation.clone())
    }
}

/// A request in progress.
pub struct Exchange {
    /// Identifier.
    pub request: Request,
    /// When it arrived.
    pub arrived: Instant,
    /// The way back to its caller.
    pub reply: Reply,
    /// Time of its wait that was spent outside this process, in microseconds.
    outside_us: AtomicU64,
    /// Whether an order was sent that may have taken effect.
    ordered: AtomicBool,
    /// Whether attempts that were given up ran, at worst.
    ran_before: Mutex<Option<Ran>>,
    retries: AtomicU32,
    debited: AtomicU64,
    used: AtomicU64,
    pace: Mutex<Pace>,
}

/// When the answer's first and newest tokens came.
#[derive(Clone, Copy, Debug, Default)]
struct Pace {
    first: Option<Instant>,
    last: Option<Instant>,
    tokens: u64,
}

impl Exchange {
    /// A request that has just arrived.
    pub fn new(request: Request, reply: Reply) -> Exchange {
        Exchange {
            request,
            arrived: clock::now(),
            reply,
            outside_us: AtomicU64::new(0),
            ordered: AtomicBool::new(false),
            ran_before: Mutex::new(None),
            retries: AtomicU32::new(0),
            debited: AtomicU64::new(0),
            used: AtomicU64::new(0),
            pace: Mutex::default(),
        }
    }

    /// Notes a step for operators.
    pub fn record_step(
        &self,
        app: &App,
        what: StepKind,
        server: Option<&Arc<str>>,
        why: Option<&str>,
    ) {
        let at = clock::now().since(self.arrived);
        let at_us = u64::try_from(at.as_micros()).unwrap_or(u64::MAX);
        let (server, why) = (server.cloned(), why.map(Into::into));
        app.ring.record(self.request, Step { at_us, what, server, why });
    }

    /// Waits for something outside this process, so that it doesn't count as the router's time.
    pub async fn wait_external<T>(&self, pending: impl Future<Output = T>) -> T {
        let start = clock::now();
        let done = pending.await;
        let waited = clock::now().since(start);
        let micros = u64::try_from(waited.as_micros()).unwrap_or(u64::MAX);
        self.outside_us.fetch_add(micros, Ordering::Relaxed);
        done
    }

    /// Time since arrival that was spent in this process.
    pub fn own_time(&self) -> Duration {
        let outside = Duration::from_micros(self.outside_us.load(Ordering::Relaxed));
        clock::now().since(self.arrived).saturating_sub(outside)
    }

    /// Notes that an order was sent that may have taken effect.
    pub fn mark_dispatched(&self) {
        self.ordered.store(true, Ordering::Relaxed);
    }

    /// Retries of this request so far.
    pub fn retries(&self) -> u32 {
        self.retries.load(Ordering::Relaxed)
    }

    /// Notes a retry.
    pub fn record_retry(&self) {
        self.retries.fetch_add(1, Ordering::Relaxed);
    }

    /// Notes that an attempt was given up, and whether it ran.
    pub fn record_failed_attempt(&self, ran: Ran) {
        self.ordered.store(false, Ordering::Relaxed);
        let ran = self.ran_with(ran);
        *self.ran_before.lock().unwrap_or_else(PoisonError::into_inner) = Some(ran);
    }

    /// Whether the request ran, as far as is known while it is in progress.
    pub fn ran(&self) -> Ran {
        match (self.ordered.load(Ordering::Relaxed), self.reply.is_started()) {
            (false, _) => self.ran_with(Ran::NotRun),
            (true, true) => Ran::Ran,
            (true, false) => Ran::Unknown,
        }
    }

    /// Whether the request ran, given how its newest attempt ended.
    pub fn ran_with(&self, newest: Ran) -> Ran {
        let before = *self.ran_before.lock().unwrap_or_else(PoisonError::into_inner);
        let before = if self.reply.is_started() { Ran::Ran } else { before.unwrap_or(Ran::NotRun) };
        match (newest, before) {
            (Ran::Ran, _) | (_, Ran::Ran) => Ran::Ran,
            (Ran::Unknown, _) | (_, Ran::Unknown) => Ran::Unknown,
            (Ran::NotRun, Ran::NotRun) => Ran::NotRun,
        }
    }

    /// Notes tokens that were debited.
    pub fn set_debited(&self, tokens: u64) {
        self.debited.store(tokens, Ordering::Relaxed);
    }

    /// Notes tokens that were used.
    pub fn set_used(&self, tokens: u64) {
        self.used.store(tokens, Ordering::Relaxed);
    }

    /// Tokens that were used, never more than were debited.
    pub fn used(&self) -> u64 {
        self.used.load(Ordering::Relaxed).min(self.debited.load(Ordering::Relaxed))
    }

    /// Tokens to hand back; none are left to hand back afterwards.
    pub fn take_unused(&self) -> u64 {
        let used = self.used.load(Ordering::Relaxed);
        self.debited.swap(used, Ordering::Relaxed).saturating_sub(used)
    }

    /// Notes that tokens came.
    pub fn record_tokens(&self, app: &App, tokens: u64) {
        let now = clock::now();
        let mut pace = self.pace.lock().unwrap_or_else(PoisonError::into_inner);
        match pace.last {
            None => {
                pace.first = Some(now);
                app.metrics.first_token.observe(now.since(self.arrived).as_secs_f64());
                app.metrics.own_time.observe(self.own_time().as_secs_f64());
            }
            Some(last) => app.metrics.between_tokens.observe(now.since(last).as_secs_f64()),
        }
        pace.last = Some(now);
        pace.tokens += tokens;
    }

    /// When a request must go to its servers for its first token to come in time; its deadline
    /// where it has no latency target.
    pub fn target(&self, app: &App, admitted: &Admitted) -> Instant {
        if !admitted.has_targets() {
            return admitted.deadline;
        }
        let target = Duration::from_millis(admitted.targets.first_token_ms);
        let target = self.arrived + target.saturating_sub(app.first_token.expected());
        target.min(admitted.deadline)
    }

    /// Whether the answer came in time: within both latency targets where it is an interactive
    /// model request, else within its deadline.
    pub fn is_in_time(&self, admitted: &Admitted) -> bool {
        if admitted.has_targets() {
            return self.is_within(&admitted.targets);
        }
        let pace = *self.pace.lock().unwrap_or_else(PoisonError::into_inner);
        pace.first.is_some_and(|first| first <= admitted.deadline)
    }

    fn is_within(&self, targets: &Targets) -> bool {
        let pace = *self.pace.lock().unwrap_or_else(PoisonError::into_inner);
        let first = pace.first.unwrap_or_else(clock::now);
        let last = pace.last.unwrap_or(first);
        let between = last.since(first).as_millis();
        let allowed = u128::from(targets.between_tokens_ms);
        let gaps = u128::from(pace.tokens.saturating_sub(1));
        first.since(self.arrived).as_millis() <= u128::from(targets.first_token_ms)
            && between <= allowed * gaps
    }
}

/// Checks, before an attempt, that a request may still run: its configuration is confirmed, its
/// key is in force for the same organisation, its route is still there, and its deadline has not
/// passed.
///
/// # Errors
///
/// Says which it is; nothing ran.
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

fn is_still_open(snapshot: &chestnutrack_fleet::Snapshot, route: &Route) -> bool {
    let routes = snapshot.document.as_ref().map(|document| &document.routes);
    routes.into_iter().flatten().any(|other| other.name == route.name && other.open)
}

/// The refusal while the configuration is not confirmed.
pub fn unconfirmed_refusal() -> Refusal {
    /// When to come back, in milliseconds.
    const RETRY_MS: u64 = 1_000;
    let message = "the configuration is not confirmed on this host";
    Refusal::new(Code::ConfigurationUnconfirmed, message).with_retry_after(RETRY_MS)
}

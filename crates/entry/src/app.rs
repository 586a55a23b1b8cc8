//! What every request of the process shares.

use crate::authority::Authority;
use crate::burn::Burn;
use crate::explain::Ring;
use crate::metric::Metrics;
use crate::scheduler::Scheduler;
use crate::usage::Ledger;
use chestnutrack_core::retry::Budget;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

/// What every request of the process shares.
pub struct App {
    /// Failure domain of this host.
    pub failure_domain: Arc<str>,
    /// The fleet, as the request path sees it.
    pub authority: Authority,
    /// Turns on servers.
    pub scheduler: Scheduler,
    /// Counters.
    pub metrics: Arc<Metrics>,
    /// Counters of organisations.
    pub ledger: Ledger,
    /// Counts for the report on service-level burn.
    pub burn: Arc<Burn>,
    /// Why recent requests went where they did.
    pub ring: Ring,
    /// What is left to spend on retries.
    pub budget: Mutex<Budget>,
    /// How fast prompts are prefilled.
    pub prefill: PrefillEstimate,
    /// How long a request takes from its turn to its first token.
    pub first_token: FirstTokenEstimate,
    /// Whether the process is shutting down.
    pub draining: AtomicBool,
}

impl App {
    /// Notes a new request in the budget of retries.
    pub fn earn_retry(&self) {
        self.budget.lock().unwrap_or_else(PoisonError::into_inner).earn();
    }

    /// Takes a retry of a request that was retried `before` times.
    pub fn spend_retry(&self, before: u32) -> bool {
        let taken = self.budget.lock().unwrap_or_else(PoisonError::into_inner).spend(before);
        let counter = if taken { &self.metrics.retries } else { &self.metrics.retries_denied };
        counter.inc();
        taken
    }

    /// Whether the process is shutting down.
    pub fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Relaxed)
    }
}

/// How fast prompts are prefilled, learned from those that were.
#[derive(Debug)]
pub struct PrefillEstimate(AtomicU64);

impl Default for PrefillEstimate {
    fn default() -> PrefillEstimate {
        /// Time for a prompt token before any was seen, in nanoseconds.
        const NANOS_PER_TOKEN: u64 = 100_000;
        PrefillEstimate(AtomicU64::new(NANOS_PER_TOKEN))
    }
}

impl PrefillEstimate {
    /// Weight of a new prefill is one in so many.
    const SMOOTHING: u64 = 16;

    /// Notes that so many uncached tokens, those queued before them included, took so long.
    pub fn record(&self, tokens: u64, took: Duration) {
        if tokens == 0 {
            return;
        }
        let nanos = u64::try_from(took.as_nanos()).unwrap_or(u64::MAX) / tokens;
        let old = self.0.load(Ordering::Relaxed);
        let new = old - old / PrefillEstimate::SMOOTHING + nanos / PrefillEstimate::SMOOTHING;
        self.0.store(new, Ordering::Relaxed);
    }

    /// Expected time of a prefill, in milliseconds.
    pub fn expected_ms(&self, tokens: u64) -> u64 {
        self.0.load(Ordering::Relaxed).saturating_mul(tokens) / 1_000_000
    }
}

/// How long a request takes from its turn to its first token, learned from those that had one.
#[derive(Debug)]
pub struct FirstTokenEstimate(Mutex<Spread>);

/// Mean and mean deviation, in microseconds.
#[derive(Clone, Copy, Debug)]
struct Spread {
    mean: u64,
    deviation: u64,
}

impl Default for FirstTokenEstimate {
    fn default() -> FirstTokenEstimate {
        /// Time before any was seen, in microseconds.
        const MEAN: u64 = 60_000;
        FirstTokenEstimate(Mutex::new(Spread { mean: MEAN, deviation: MEAN / 2 }))
    }
}

impl FirstTokenEstimate {
    /// Weight of a new time is one in so many.
    const SMOOTHING: u64 = 16;
    /// Mean deviations beyond the mean that few times exceed.
    const DEVIATIONS: u64 = 2;

    /// Notes how long a request took.
    pub fn record(&self, took: Duration) {
        let micros = u64::try_from(took.as_micros()).unwrap_or(u64::MAX >> 8);
        let mut spread = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let off = spread.mean.abs_diff(micros);
        let smooth = |old: u64, new: u64| old - old / Self::SMOOTHING + new / Self::SMOOTHING;
        *spread =
            Spread { mean: smooth(spread.mean, micros), deviation: smooth(spread.deviation, off) };
    }

    /// Time that few requests exceed.
    pub fn expected(&self) -> Duration {
        let spread = *self.0.lock().unwrap_or_else(PoisonError::into_inner);
        Duration::from_micros(spread.mean + Self::DEVIATIONS * spread.deviation)
    }
}

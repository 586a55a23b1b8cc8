//! State shared by all requests of the process.

use crate::authority::Authority;
use crate::burn::Burn;
use crate::explain::RecentRequests;
use crate::metric::Metrics;
use crate::scheduler::Scheduler;
use crate::usage::Ledger;
use chestnutrack_core::retry::Budget;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

/// State shared by all requests of the process.
pub struct App {
    /// Failure domain of this host.
    pub failure_domain: Arc<str>,
    /// Interface to the fleet.
    pub authority: Authority,
    /// Places requests on backend servers.
    pub scheduler: Scheduler,
    /// Metrics of the process.
    pub metrics: Arc<Metrics>,
    /// Usage counters of each organisation and route.
    pub ledger: Ledger,
    /// Counters for the report on service-level burn: how fast failures use up the error budget.
    pub burn: Arc<Burn>,
    /// Recorded steps of recent requests, for operators.
    pub recent_requests: RecentRequests,
    /// Retry budget of the process: new requests earn it, retries spend it.
    pub retry_budget: Mutex<Budget>,
    /// Estimate of the time that a prefill takes.
    pub prefill_estimate: PrefillEstimate,
    /// Estimate of the time from a request's placement to its first token.
    pub first_token_estimate: FirstTokenEstimate,
    /// Whether the process is shutting down.
    pub draining: AtomicBool,
}

impl App {
    /// Credits the retry budget for a new request.
    pub fn earn_retry(&self) {
        self.retry_budget.lock().unwrap_or_else(PoisonError::into_inner).earn();
    }

    /// Takes a retry from the budget for a request that was retried `previous_retries` times.
    /// Returns `false` if the budget does not allow it.
    pub fn spend_retry(&self, previous_retries: u32) -> bool {
        let is_allowed = self
            .retry_budget
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .spend(previous_retries);
        let counter = if is_allowed { &self.metrics.retries } else { &self.metrics.retries_denied };
        counter.inc();
        is_allowed
    }

    /// Returns whether the process is shutting down.
    pub fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Relaxed)
    }
}

/// Moving average of the prefill time of a prompt token, in nanoseconds.
#[derive(Debug)]
pub struct PrefillEstimate(AtomicU64);

impl Default for PrefillEstimate {
    fn default() -> PrefillEstimate {
        /// Estimate before the first prefill, in nanoseconds.
        const INITIAL_NANOS_PER_TOKEN: u64 = 100_000;
        PrefillEstimate(AtomicU64::new(INITIAL_NANOS_PER_TOKEN))
    }
}

impl PrefillEstimate {
    /// A new value has a weight of `1 / SMOOTHING`.
    const SMOOTHING: u64 = 16;

    /// Records how long a prefill took. `tokens` counts the uncached tokens that were computed in
    /// that time, including those of prompts that were queued ahead of it.
    pub fn record(&self, tokens: u64, elapsed: Duration) {
        if tokens == 0 {
            return;
        }
        let nanos_per_token = u64::try_from(elapsed.as_nanos()).unwrap_or(u64::MAX) / tokens;
        let old = self.0.load(Ordering::Relaxed);
        let new =
            old - old / PrefillEstimate::SMOOTHING + nanos_per_token / PrefillEstimate::SMOOTHING;
        self.0.store(new, Ordering::Relaxed);
    }

    /// Returns the expected time to prefill `tokens` uncached tokens, in milliseconds.
    pub fn expected_ms(&self, tokens: u64) -> u64 {
        self.0.load(Ordering::Relaxed).saturating_mul(tokens) / 1_000_000
    }
}

/// Moving average and deviation of the time from a request's placement to its first token.
#[derive(Debug)]
pub struct FirstTokenEstimate(Mutex<Spread>);

/// Mean and mean absolute deviation, in microseconds.
#[derive(Clone, Copy, Debug)]
struct Spread {
    mean: u64,
    deviation: u64,
}

impl Default for FirstTokenEstimate {
    fn default() -> FirstTokenEstimate {
        /// Mean before the first request, in microseconds.
        const INITIAL_MEAN_US: u64 = 60_000;
        FirstTokenEstimate(Mutex::new(Spread {
            mean: INITIAL_MEAN_US,
            deviation: INITIAL_MEAN_US / 2,
        }))
    }
}

impl FirstTokenEstimate {
    /// A new value has a weight of `1 / SMOOTHING`.
    const SMOOTHING: u64 = 16;
    /// Number of mean deviations above the mean that few requests exceed.
    const DEVIATIONS: u64 = 2;

    /// Records a request's time from placement to first token.
    pub fn record(&self, elapsed: Duration) {
        let micros = u64::try_from(elapsed.as_micros()).unwrap_or(u64::MAX >> 8);
        let mut spread = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let difference = spread.mean.abs_diff(micros);
        let smooth = |old: u64, new: u64| old - old / Self::SMOOTHING + new / Self::SMOOTHING;
        *spread = Spread {
            mean: smooth(spread.mean, micros),
            deviation: smooth(spread.deviation, difference),
        };
    }

    /// Returns the time from placement to first token that few requests exceed: the mean plus
    /// `DEVIATIONS` mean deviations.
    pub fn expected(&self) -> Duration {
        let spread = *self.0.lock().unwrap_or_else(PoisonError::into_inner);
        Duration::from_micros(spread.mean + Self::DEVIATIONS * spread.deviation)
    }
}

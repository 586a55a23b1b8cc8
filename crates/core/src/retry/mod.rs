//! Retry budget, and which failed attempts may be retried.
//!
//! Each request earns a fraction of a retry, so that retries stay a bounded share of the load even
//! when a whole failure domain fails. [`is_retry_safe`] decides which attempts may be followed by
//! another one.

#[cfg(test)]
mod tests;

/// Thousandths of a retry in one retry.
const MILLI_PER_RETRY: u64 = 1_000;

/// Limits on retries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Retries earned per thousand requests.
    pub per_mille: u32,
    /// Maximum number of retries saved up; also the initial budget.
    pub burst: u32,
    /// Maximum number of retries per request.
    pub per_request: u32,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings { per_mille: 200, burst: 20, per_request: 3 }
    }
}

/// Remaining retry budget.
#[derive(Clone, Debug)]
pub struct Budget {
    settings: Settings,
    /// Retries that may be spent, in thousandths.
    milli_retries: u64,
}

impl Budget {
    /// Creates a full budget.
    pub fn new(settings: Settings) -> Budget {
        Budget { settings, milli_retries: u64::from(settings.burst) * MILLI_PER_RETRY }
    }

    /// Changes the limits. Savings above the new burst are lost.
    pub fn set_settings(&mut self, settings: Settings) {
        self.settings = settings;
        self.milli_retries = self.milli_retries.min(u64::from(settings.burst) * MILLI_PER_RETRY);
    }

    /// Records a new request, which earns its fraction of a retry.
    pub fn earn(&mut self) {
        let max = u64::from(self.settings.burst) * MILLI_PER_RETRY;
        self.milli_retries = (self.milli_retries + u64::from(self.settings.per_mille)).min(max);
    }

    /// Returns whether a request that was already retried `retries_so_far` times may be retried: the
    /// budget is not exhausted, and the request was retried less than [`Settings::per_request`]
    /// times.
    pub fn allows(&self, retries_so_far: u32) -> bool {
        retries_so_far < self.settings.per_request && self.milli_retries >= MILLI_PER_RETRY
    }

    /// Spends one retry for a request that was already retried `retries_so_far` times. Returns
    /// `false`, and spends nothing, unless the budget allows it.
    pub fn spend(&mut self, retries_so_far: u32) -> bool {
        let allowed = self.allows(retries_so_far);
        if allowed {
            self.milli_retries -= MILLI_PER_RETRY;
        }
        allowed
    }
}

/// State of a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FailedAttempt {
    /// Whether it is certain that no part of the answer was generated.
    pub no_output: bool,
    /// Whether the route is idempotent.
    pub idempotent: bool,
    /// Whether a part of the answer has already been sent to the caller.
    pub answer_started: bool,
}

/// Returns whether a failed attempt may be followed by another one: nothing was sent to the caller
/// yet, and either the attempt had no output or the route is idempotent.
pub fn is_retry_safe(failed: FailedAttempt) -> bool {
    !failed.answer_started && (failed.no_output || failed.idempotent)
}

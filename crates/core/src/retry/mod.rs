//! Retries within a budget.
//!
//! Each request earns a fraction of a retry, so that retries stay a bounded share of the load also
//! when a whole failure domain goes. What may be run again is decided by [`is_retry_safe`].

#[cfg(test)]
mod tests;

/// Milli-retries that one retry costs.
const MILLI: u64 = 1_000;

/// Bounds on retries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Retries earned by each thousand requests.
    pub per_mille: u32,
    /// Retries that can be saved up; also what there is at the start.
    pub burst: u32,
    /// Retries of one request.
    pub per_request: u32,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings { per_mille: 200, burst: 20, per_request: 3 }
    }
}

/// What is left to spend on retries.
#[derive(Clone, Debug)]
pub struct Budget {
    settings: Settings,
    milli: u64,
}

impl Budget {
    /// A full budget.
    pub fn new(settings: Settings) -> Budget {
        Budget { settings, milli: u64::from(settings.burst) * MILLI }
    }

    /// Changes the bounds; what is saved beyond the new burst is lost.
    pub fn set_settings(&mut self, settings: Settings) {
        self.settings = settings;
        self.milli = self.milli.min(u64::from(settings.burst) * MILLI);
    }

    /// Notes a new request, which earns its share of a retry.
    pub fn earn(&mut self) {
        let most = u64::from(self.settings.burst) * MILLI;
        self.milli = (self.milli + u64::from(self.settings.per_mille)).min(most);
    }

    /// Takes one retry of a request that was retried `before` times; false when there is none.
    pub fn spend(&mut self, before: u32) -> bool {
        if before >= self.settings.per_request || self.milli < MILLI {
            return false;
        }
        self.milli -= MILLI;
        true
    }
}

/// What is known of a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FailedAttempt {
    /// Nothing of its answer can have been made.
    pub no_output: bool,
    /// The route is idempotent.
    pub idempotent: bool,
    /// A part of its answer has gone to the caller.
    pub answer_started: bool,
}

/// Whether a failed attempt may be followed by another without harm.
pub fn is_retry_safe(failed: FailedAttempt) -> bool {
    !failed.answer_started && (failed.no_output || failed.idempotent)
}

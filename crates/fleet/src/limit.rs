//! Refusals by the rate limits that all entry hosts share.

use chestnutrack_core::limit;
pub use chestnutrack_core::limit::Cause;

/// Refusal of a debit: the tokens were not available in time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Time after which the tokens are expected, in milliseconds; 0 if they never will be available.
    pub retry_after_ms: u64,
    /// Whether the organisation is over its rate; otherwise this host lacks its share of the rate.
    pub over_rate: bool,
    /// Cause of the refusal.
    pub cause: Cause,
}

impl Refusal {
    /// Refusal of a debit after the member's actor has stopped.
    pub(crate) const STOPPED: Refusal = Refusal {
        retry_after_ms: limit::NOT_CURRENT_RETRY_MS,
        over_rate: false,
        cause: Cause::NotCurrent,
    };
}

impl From<limit::Refusal> for Refusal {
    /// Converts a refusal by the local limits, and classifies its cause as over the rate or not.
    fn from(refusal: limit::Refusal) -> Refusal {
        let limit::Refusal { cause, retry_after_ms } = refusal;
        let over_rate = matches!(cause, Cause::OverRate | Cause::OverBurst | Cause::QueueFull);
        Refusal { retry_after_ms, over_rate, cause }
    }
}

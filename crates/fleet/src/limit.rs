//! Limits over the fleet, as the request path sees them.

use chestnutrack_core::limit;
pub use chestnutrack_core::limit::Cause;

/// Tokens could not be had in time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// When the tokens are expected, in milliseconds; 0 where that is never.
    pub retry_after_ms: u64,
    /// Whether the organisation is over its rate, rather than this host without its share.
    pub over_rate: bool,
    /// Why.
    pub cause: Cause,
}

impl Refusal {
    /// The member has ended.
    pub(crate) const GONE: Refusal = Refusal {
        retry_after_ms: limit::NOT_CURRENT_RETRY_MS,
        over_rate: false,
        cause: Cause::NotCurrent,
    };
}

impl From<limit::Refusal> for Refusal {
    fn from(refusal: limit::Refusal) -> Refusal {
        let limit::Refusal { cause, retry_after_ms } = refusal;
        let over_rate = matches!(cause, Cause::OverRate | Cause::OverBurst | Cause::QueueFull);
        Refusal { retry_after_ms, over_rate, cause }
    }
}

//! Limits over the fleet, as the request path sees them.

/// Tokens could not be had in time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// When the tokens are expected, in milliseconds.
    pub retry_after_ms: u64,
    /// Whether the organisation is over its rate, rather than this host without its share.
    pub over_rate: bool,
}

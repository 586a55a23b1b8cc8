//! Error budget accounting: counts request outcomes per service and computes burn rates.
//!
//! Every entry host counts the outcomes of requests by organisation and route ([`Ledger`]) and writes
//! the counts to its own object of kind [`KIND`] with conditional writes. A report merges the objects
//! of all hosts ([`Report`]). Objects contain ages, never times of day, so that no wall clocks are
//! compared: a reader adds the object's age by the platform's clock. This crate does no I/O.

pub mod count;
pub mod ledger;
pub mod report;
pub mod series;
pub mod value;

pub use count::{Counts, Outcome};
pub use ledger::{Ledger, Write};
pub use report::Report;
pub use series::{Key, Series};
pub use value::Value;

use std::time::Duration;

/// Kind of the objects that hold counts; see [`object_name`] for their names.
pub const KIND: &str = "burn";
/// Minimum time between two writes of one host, and the time after which a read without a result is
/// repeated.
pub const BURN_PERIOD: Duration = Duration::from_secs(30);
/// Largest value that a host writes, in bytes.
pub const BURN_VALUE_BYTES_MAX: usize = 128 << 10;
/// Average rate that a host's writes may use, in bytes a second.
pub const BURN_BYTES_PER_S: u64 = 1 << 10;
/// How long counts are kept; an object older than this may be deleted.
pub const RETENTION: Duration = Duration::from_secs(3 * 24 * 3_600);

/// Returns the name of an entry host's object.
pub fn object_name(service: &str, host: &str) -> String {
    format!("{service}.{host}")
}

/// Returns the time to wait after a write of this size before the next one.
pub fn write_period(bytes: usize) -> Duration {
    let seconds = u64::try_from(bytes).unwrap_or(u64::MAX).div_ceil(BURN_BYTES_PER_S);
    BURN_PERIOD.max(Duration::from_secs(seconds))
}

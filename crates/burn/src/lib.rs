//! Service-level burn: what entry hosts count, keep in objects, and what it amounts to.
//!
//! Every entry host counts how requests ended by organisation and route ([`Ledger`]) and writes
//! the counts to its object of kind [`KIND`], conditionally. A report merges the objects of all
//! hosts ([`Report`]). Objects carry ages, never times of day, so that no wall clock is compared:
//! a reader adds the object's age by the platform's clock. Nothing here does I/O.

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

/// Kind of the objects; an entry host's object is named [`object_name`].
pub const KIND: &str = "burn";
/// Shortest time between two writes of one host.
pub const BURN_PERIOD: Duration = Duration::from_secs(30);
/// Largest value that a host writes, in bytes.
pub const BURN_VALUE_BYTES_MAX: usize = 128 << 10;
/// Rate that a host's writes may take on average, in bytes a second.
pub const BURN_BYTES_PER_S: u64 = 1 << 10;
/// Longest time for which figures are kept; an object that is older may be deleted.
pub const RETENTION: Duration = Duration::from_secs(3 * 24 * 3_600);

/// Name of an entry host's object.
pub fn object_name(service: &str, host: &str) -> String {
    format!("{service}.{host}")
}

/// Time until the next write after one of so many bytes.
pub fn write_period(bytes: usize) -> Duration {
    let seconds = u64::try_from(bytes).unwrap_or(u64::MAX).div_ceil(BURN_BYTES_PER_S);
    BURN_PERIOD.max(Duration::from_secs(seconds))
}

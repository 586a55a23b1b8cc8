//! Slopes behind the capacity page: what each role uses at rest and under load, over the number of
//! entry hosts, servers, organisations and requests.

pub mod slope;
pub mod sweep;
pub mod usage;

pub use slope::Line;
pub use sweep::{Row, sweep_all};
pub use usage::Usage;

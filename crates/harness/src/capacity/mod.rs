//! Measures the resource usage of each role as the number of entry hosts, servers, organisations or
//! requests grows, and fits a line through the measurements.

pub mod slope;
pub mod sweep;
pub mod usage;

pub use slope::Line;
pub use sweep::{Row, sweep_all};
pub use usage::Usage;

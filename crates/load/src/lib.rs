//! Load and experiments on real processes over loopback.
//!
//! Load is open-loop and seeded: when each request is sent is fixed before the first one is, so
//! that a slow system doesn't slow the load.

pub mod call;
pub mod cmd;
pub mod experiment;
pub mod measure;
pub mod report;
pub mod run;

//! Load generator and experiments on fleets of separate processes over loopback.
//!
//! The load is open-loop and seeded: the time of each request is fixed before the first request is
//! sent, so that a slow system doesn't slow the load down.

pub mod call;
pub mod cmd;
pub mod crowd;
pub mod experiment;
pub mod measure;
pub mod report;
pub mod run;

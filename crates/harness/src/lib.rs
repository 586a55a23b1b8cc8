//! Runs fleets of separate processes on loopback, for the demo, tests and experiments.
//!
//! A fleet consists of the stand-in object interface, the stand-in backend servers of one deployment,
//! a side process for each backend server, and entry hosts. Each host has its own loopback address.

pub mod caller;
pub mod capacity;
pub mod deployment;
pub mod error;
pub mod fleet;
pub mod identity;
pub mod link;
pub mod process;

pub use deployment::Deployment;
pub use error::Error;
pub use fleet::{Fleet, Settings};
pub use link::Link;
pub use process::Process;

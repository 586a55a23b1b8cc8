//! Fleets of separate processes on loopback, for the demo, tests and experiments.
//!
//! A fleet is the stand-in object interface, the backend servers of one deployment, a side process
//! beside each, and entry hosts. Every host has a loopback address of its own.

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

//! Errors of starting and controlling a fleet.

use displaydoc::Display;
use std::net::SocketAddr;

/// An error of starting or controlling a fleet.
#[derive(Debug, Display)]
pub enum Error {
    /// could not find the programs beside {0}; build them with `cargo build --bins`
    Programs(std::path::PathBuf),
    /// could not start {0}: {1}
    Start(String, std::io::Error),
    /// {name} ended with {status}; its log ends with:\n{log}
    Ended {
        /// Name of the process.
        name: String,
        /// Exit status.
        status: String,
        /// End of the log.
        log: String,
    },
    /// {0} was not ready in time; its log ends with:\n{1}
    NotReady(String, String),
    /// call to {0} failed: {1}
    Call(SocketAddr, String),
    /// signal to {0} failed: {1}
    Signal(String, String),
    /// {0}
    Other(String),
}

impl std::error::Error for Error {}

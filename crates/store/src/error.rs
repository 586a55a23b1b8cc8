//! Errors of calls to the object interface, which tell whether a call may have taken effect.
//!
//! [`Error::Unknown`] means that the outcome is unknown: no usable response arrived, and a write may have
//! taken effect. After every other error of a write it has not.

use chestnutrack_process::http;
use displaydoc::Display;

/// Error of a call to the object interface.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum Error {
    /// call was not sent: {0}
    NotSent(String),
    /// call may have taken effect: {0}
    Unknown(String),
    /// version conflict: object has version {0}
    Conflict(u64),
    /// object doesn't exist
    Missing,
    /// call was refused with status {0}: {1}
    Refused(u16, String),
    /// {0}: {1}
    Malformed(String, String),
}

impl std::error::Error for Error {}

/// Status of a watch from a version whose later changes are no longer held.
const GONE: u16 = 410;

impl Error {
    /// Returns the error of a watch from a version whose later changes are no longer held.
    pub(crate) fn history_gone() -> Error {
        Error::Refused(GONE, "the version is of another epoch".to_owned())
    }

    /// Returns `true` if the interface responded to a watch that it no longer holds the changes after
    /// the watched version. The interface is reachable then, and the kind has to be listed again.
    pub fn is_history_gone(&self) -> bool {
        matches!(self, Error::Refused(GONE, _))
    }
}

/// A failure to connect or to build the request means that nothing was sent. After any other failure the
/// interface may have received the call.
impl From<http::Error> for Error {
    fn from(error: http::Error) -> Error {
        match error {
            http::Error::Connect(..) | http::Error::Request(_) => Error::NotSent(error.to_string()),
            _ => Error::Unknown(error.to_string()),
        }
    }
}

//! Errors of calls to an engine; they tell whether the call may have taken effect.
//!
//! After [`Error::Unknown`] and [`Error::Malformed`], an order may have run. After any other error it has
//! not. [`Error::Fenced`] is a refusal of an order whose fencing number is lower than one that the engine
//! has seen, [`Error::Missing`] of a call for a KV cache or request that the engine doesn't have, and
//! [`Error::Full`] of one that needs more memory than the engine has free.

use chestnutrack_process::http;
use displaydoc::Display;

/// Why a call failed.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum Error {
    /// call was not sent: {0}
    NotSent(String),
    /// order may have taken effect: {0}
    Unknown(String),
    /// order carries an old fencing number
    Fenced,
    /// engine has no such KV cache or request
    Missing,
    /// engine's memory is full
    Full,
    /// order was refused with status {0}: {1}
    Refused(u16, String),
    /// malformed answer ({0}): {1}
    Malformed(String, String),
}

impl std::error::Error for Error {}

impl Error {
    /// Returns the value of the `error` label in metrics.
    pub fn label(&self) -> &'static str {
        match self {
            Error::NotSent(_) => "not_sent",
            Error::Unknown(_) => "unknown",
            Error::Fenced => "fenced",
            Error::Missing => "missing",
            Error::Full => "full",
            Error::Refused(..) => "refused",
            Error::Malformed(..) => "malformed",
        }
    }
}

/// A failure to connect or to build the request means that nothing was sent. After any other failure the
/// engine may have received the call, so it may have run.
impl From<http::Error> for Error {
    fn from(error: http::Error) -> Error {
        match error {
            http::Error::Connect(..) | http::Error::Request(_) => Error::NotSent(error.to_string()),
            _ => Error::Unknown(error.to_string()),
        }
    }
}

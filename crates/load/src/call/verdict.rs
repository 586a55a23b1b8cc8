//! Checks that a response is complete and belongs to the request of the caller.

use super::Reply;
use displaydoc::Display;

// The doc comments of the variants are displayed, and used as keys in results files.
/// Result of checking a response.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Verdict {
    /// whole
    Complete,
    /// refused
    Refused,
    /// broken off, and said so
    Aborted,
    /// not whole
    Truncated,
    /// longer than whole
    TooLong,
    /// another request's
    WrongRequest,
}

/// Compares a completion with the text that the stand-in engine generates for the request.
pub fn check_completion(reply: &Reply, expected: &str) -> Verdict {
    if !reply.is_success() {
        return Verdict::Refused;
    }
    let (text, complete) = reply.answer.completion();
    if text == expected && complete {
        return Verdict::Complete;
    }
    if expected.starts_with(&text) {
        let reports_error = reply.stream_error().is_some();
        return if reports_error { Verdict::Aborted } else { Verdict::Truncated };
    }
    if text.starts_with(expected) { Verdict::TooLong } else { Verdict::WrongRequest }
}

/// Checks a plain response: the stand-in service answers with the target of the request.
pub fn check_plain(reply: &Reply, target: &str) -> Verdict {
    if !reply.is_success() {
        return Verdict::Refused;
    }
    match reply.answer.json()["path"].as_str() {
        Some(path) if path == target => Verdict::Complete,
        Some(_) => Verdict::WrongRequest,
        None => Verdict::Truncated,
    }
}

//! Whether an answer is whole and the caller's own.

use super::Reply;
use displaydoc::Display;

/// What an answer is.
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

/// Judges a completion against the text that was to be generated.
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

/// Judges a plain answer: the stand-in service answers with the target that it got.
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

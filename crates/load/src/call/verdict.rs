//! Whether an answer is whole and the caller's own.

use super::Reply;
use displaydoc::Display;

/// What an answer is.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Verdict {
    /// whole
    Whole,
    /// refused
    Refused,
    /// broken off, and said so
    BrokenOff,
    /// not whole
    Short,
    /// longer than whole
    Long,
    /// another request's
    Crossed,
}

/// Judges a completion against the text that was to be generated.
pub fn judge(reply: &Reply, expected: &str) -> Verdict {
    if !reply.is_success() {
        return Verdict::Refused;
    }
    let (text, complete) = reply.answer.completion();
    if text == expected && complete {
        return Verdict::Whole;
    }
    if expected.starts_with(&text) {
        let said = reply.stream_error().is_some();
        return if said { Verdict::BrokenOff } else { Verdict::Short };
    }
    if text.starts_with(expected) { Verdict::Long } else { Verdict::Crossed }
}

/// Judges a plain answer: the stand-in service answers with the target that it got.
pub fn judge_plain(reply: &Reply, target: &str) -> Verdict {
    if !reply.is_success() {
        return Verdict::Refused;
    }
    match reply.answer.json()["path"].as_str() {
        Some(path) if path == target => Verdict::Whole,
        Some(_) => Verdict::Crossed,
        None => Verdict::Short,
    }
}

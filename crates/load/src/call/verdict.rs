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
    /// not whole
    Short,
    /// another request's
    Crossed,
}

/// Judges a completion against the text that was to be generated.
pub fn judge(reply: &Reply, expected: &str) -> Verdict {
    if !reply.is_success() {
        return Verdict::Refused;
    }
    let (text, complete) = reply.answer.completion();
    match (text == expected, expected.starts_with(&text)) {
        (true, _) if complete => Verdict::Whole,
        (_, true) => Verdict::Short,
        (_, false) => Verdict::Crossed,
    }
}

//! Claims of at-most-once requests: states and what each repeat gets.

#[cfg(test)]
mod tests;

use crate::member::Identity;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Age at which a claim is forgotten, by the object interface's clock.
pub const CLAIM_TTL: Duration = Duration::from_secs(24 * 60 * 60);
/// Age at which a claim that still runs is held to be lost, by the object interface's clock.
pub const CLAIM_RUN_MAX: Duration = Duration::from_secs(15 * 60);
/// Largest answer that a claim keeps, in bytes.
pub const ANSWER_BYTES_MAX: usize = 64 << 10;

/// Context string that separates names of claims from every other use of the hash function.
const CONTEXT: &str = "chestnutrack 2026 claim name v1";

/// A claim as it is stored; `E` is how a request ends.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record<E> {
    /// The request that holds it, as 32 hexadecimal digits.
    pub request: String,
    /// The member that runs the request.
    pub writer: Identity,
    /// Hash of what was claimed, as 64 hexadecimal digits.
    pub body: String,
    /// How the request ended; absent while it runs.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub ended: Option<E>,
}

/// What a claim that was existing means to the one that existing it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Status<E> {
    /// It is the finder's own, written by a call whose answer was lost.
    Own,
    /// It ended like this.
    Ended(E),
    /// It runs.
    Running,
    /// Its holder is gone; whether it ran is not known.
    Unknown,
    /// It is for another body.
    Mismatch,
    /// It is old enough to be deleted, and then made anew.
    Expired,
}

/// Name of the object of a claim.
pub fn name(service: &str, organisation: &str, route: &str, key: &str) -> String {
    let mut hasher = blake3::Hasher::new_derive_key(CONTEXT);
    for part in [service, organisation, route, key] {
        let length = u64::try_from(part.len()).unwrap_or(u64::MAX);
        hasher.update(&length.to_le_bytes());
        hasher.update(part.as_bytes());
    }
    hasher.finalize().to_hex().to_string()
}

/// Says what a claim that was existing means.
///
/// `own` is the record that the finder tried to write, `is_alive` says whether a member is alive.
pub fn evaluate<E: Clone>(
    existing: &Record<E>,
    age: Duration,
    own: &Record<E>,
    is_alive: impl Fn(&Identity) -> bool,
) -> Status<E> {
    if existing.request == own.request && existing.writer == own.writer {
        return Status::Own;
    }
    if age >= CLAIM_TTL {
        return Status::Expired;
    }
    if existing.body != own.body {
        return Status::Mismatch;
    }
    match &existing.ended {
        Some(end) => Status::Ended(end.clone()),
        None if age >= CLAIM_RUN_MAX || !is_alive(&existing.writer) => Status::Unknown,
        None => Status::Running,
    }
}

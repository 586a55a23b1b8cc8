//! Claims of at-most-once requests: how they are stored, and what an existing claim means for a
//! repeated request.
//!
//! A claim is the right to run the request with a given idempotency key. It is an object in the object
//! interface (the platform's store) that is created before the request runs, so at most one request gets it.
//! It also stores how the request ended.

#[cfg(test)]
mod tests;

use crate::member::Identity;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Age at which a claim expires, by the object interface's clock.
pub const CLAIM_TTL: Duration = Duration::from_secs(24 * 60 * 60);
/// Age at which a claim whose request is still running is considered lost, by the object interface's clock.
pub const CLAIM_RUN_MAX: Duration = Duration::from_secs(15 * 60);
/// Maximum size of an answer that is stored in a claim, in bytes.
pub const ANSWER_BYTES_MAX: usize = 64 << 10;

/// Context string that keeps the hashes of claim names apart from every other use of the hash
/// function.
const HASH_CONTEXT: &str = "chestnutrack 2026 claim name v1";

/// A claim as it is stored; `E` describes how a request ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record<E> {
    /// Number of the request that holds the claim, as 32 hexadecimal digits.
    pub request: String,
    /// Member that runs the request.
    pub writer: Identity,
    /// Hash of the claimed request body, as 64 hexadecimal digits.
    pub body: String,
    /// How the request ended; absent while it is running.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub ended: Option<E>,
}

/// What an existing claim means for a request that tried to claim the same idempotency key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Status<E> {
    /// The claim is the request's own; its write succeeded, but the answer to the write was lost.
    Own,
    /// The claimed request has ended like this.
    Ended(E),
    /// The claimed request is still running.
    Running,
    /// The outcome is unknown: the member that ran the claimed request isn't alive, or the request has been
    /// running for too long. Whether it had an effect is not known.
    Unknown,
    /// The claim is for a different request body.
    Mismatch,
    /// The claim has expired and may be deleted and created again.
    Expired,
}

/// Returns the name of the object that stores the claim of an idempotency key: a hash of the service, the
/// organisation, the route and the key, each preceded by its length so that no two combinations are alike.
pub fn object_name(
    service: &str,
    organisation: &str,
    route: &str,
    idempotency_key: &str,
) -> String {
    let mut hasher = blake3::Hasher::new_derive_key(HASH_CONTEXT);
    for part in [service, organisation, route, idempotency_key] {
        let length = u64::try_from(part.len()).unwrap_or(u64::MAX);
        hasher.update(&length.to_le_bytes());
        hasher.update(part.as_bytes());
    }
    hasher.finalize().to_hex().to_string()
}

/// Returns the status of an existing claim.
///
/// `existing` is the stored record and `age` its age by the object interface's clock. `proposed` is the
/// record that the caller tried to write in its place. `is_alive` returns whether a member is alive.
pub fn evaluate<E: Clone>(
    existing: &Record<E>,
    age: Duration,
    proposed: &Record<E>,
    is_alive: impl Fn(&Identity) -> bool,
) -> Status<E> {
    if existing.request == proposed.request && existing.writer == proposed.writer {
        return Status::Own;
    }
    if age >= CLAIM_TTL {
        return Status::Expired;
    }
    if existing.body != proposed.body {
        return Status::Mismatch;
    }
    match &existing.ended {
        Some(end) => Status::Ended(end.clone()),
        None if age >= CLAIM_RUN_MAX || !is_alive(&existing.writer) => Status::Unknown,
        None => Status::Running,
    }
}

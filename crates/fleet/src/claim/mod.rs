//! Claims of at-most-once requests, as the request path sees them.

pub(crate) mod manager;
#[cfg(test)]
mod tests;

use chestnutrack_core::member::Identity;
use displaydoc::Display;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// What is claimed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClaimRequest {
    /// Organisation that the request runs for.
    pub organisation: Arc<str>,
    /// Route's name.
    pub route: Arc<str>,
    /// The caller's idempotency key.
    pub key: Arc<str>,
    /// Hash of method, target and body.
    pub body: [u8; 32],
    /// The request's identifier.
    pub request: u128,
}

/// What a claim's asker may do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It is the first: run the request, then settle.
    Run(HeldClaim),
    /// It ran before and this is how it ended.
    Ended(End),
    /// It runs now under another request; come back later.
    Running,
    /// It ran, and how it ended is not known; it must not run again.
    Unknown,
    /// The same key came with another body.
    Mismatch,
}

/// A claim that this host holds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HeldClaim {
    /// Name of the claim's object.
    pub name: Arc<str>,
    /// Version at which it was written.
    pub version: u64,
    /// The request that holds it.
    pub request: u128,
    /// Hash of what was claimed.
    pub body: [u8; 32],
}

/// How a claimed request ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum End {
    /// It was answered.
    Answered {
        /// Status.
        status: u16,
        /// Headers.
        headers: Vec<(Arc<str>, Arc<str>)>,
        /// Body; absent where it was too large to keep.
        body: Option<Vec<u8>>,
    },
    /// It certainly did not run; the claim is given back.
    NotRun,
    /// Whether it ran is not known.
    Unknown,
}

/// Why a claim could not be made or settled.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Error {
    /// the object interface does not answer
    Unavailable,
}

impl std::error::Error for Error {}

/// What claims need to know of the members.
pub(crate) trait Liveness: Clone + Send + Sync + 'static {
    /// Whether a process may still run a request that it claimed.
    fn is_alive(&self, identity: Identity) -> impl Future<Output = bool> + Send;

    /// Whether this member is the one that deletes expired claims.
    fn is_sweeper(&self) -> impl Future<Output = bool> + Send;
}

//! Claims of at-most-once requests: the types that the request path uses.
//!
//! A claim is the stored record that the request with an idempotency key is running, or of how it
//! ended. The host that made a claim holds it until it settles it, that is, records the end.

pub(crate) mod manager;
#[cfg(test)]
mod tests;

use chestnutrack_core::member::Identity;
use displaydoc::Display;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Request for the claim of an idempotency key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClaimRequest {
    /// Organisation that sent the request.
    pub organisation: Arc<str>,
    /// Name of the route.
    pub route: Arc<str>,
    /// The caller's idempotency key.
    pub key: Arc<str>,
    /// Hash of the request's method, target and body.
    pub body: [u8; 32],
    /// Identifier of the request.
    pub request: u128,
}

/// Result of a claim that was made or found.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The claim is made: run the request, then settle the claim.
    Run(HeldClaim),
    /// A request with the same key has ended like this.
    Ended(End),
    /// Another request with the same key is running; retry later.
    Running,
    /// A request with the same key may have run and its outcome is unknown; it must not run again.
    Unknown,
    /// The same key was claimed for a different method, target or body.
    Mismatch,
}

/// A claim that this host holds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HeldClaim {
    /// Name of the object that stores the claim.
    pub name: Arc<str>,
    /// Version of the object.
    pub version: u64,
    /// Identifier of the request that holds the claim.
    pub request: u128,
    /// Hash of the claimed request's method, target and body.
    pub body: [u8; 32],
}

/// How a claimed request ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum End {
    /// The request was answered.
    Answered {
        /// HTTP status.
        status: u16,
        /// Response headers.
        headers: Vec<(Arc<str>, Arc<str>)>,
        /// Response body; absent if it was too large to store.
        body: Option<Vec<u8>>,
    },
    /// The request certainly did not run; the claim is released.
    NotRun,
    /// Whether the request ran is not known.
    Unknown,
}

/// Error that prevents a claim from being made or settled.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Error {
    /// the object interface does not answer
    Unavailable,
}

impl std::error::Error for Error {}

/// Membership queries that claims depend on.
pub(crate) trait Liveness: Clone + Send + Sync + 'static {
    /// Returns `true` if a process may still be running a request that it claimed.
    fn is_alive(&self, identity: Identity) -> impl Future<Output = bool> + Send;

    /// Returns `true` if this member is the one that deletes expired claims.
    fn is_sweeper(&self) -> impl Future<Output = bool> + Send;
}

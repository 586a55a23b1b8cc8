//! Configuration: which document is in force, and when it can be trusted.
//!
//! The accepted document with the highest version is in force. It is trusted if it was confirmed
//! recently, or if this member is current and no member was seen with a newer version: only a
//! current member accepts a document, so at least one vouching member knows of every newer version.

#[cfg(test)]
mod tests;

use crate::time::Instant;
use std::sync::Arc;
use std::time::Duration;

/// Time for which a confirmation is valid, starting when it was requested.
pub const CONFIRMED_LEASE: Duration = Duration::from_secs(4);

/// The document in force on one host, and when it was last confirmed.
#[derive(Clone, Debug, Default)]
pub struct Config {
    version: u64,
    json: Arc<[u8]>,
    confirmed: Option<Instant>,
    validated: u64,
}

/// What to do with the newest document in the object interface.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Nothing: the document is in force, was validated before, or is older than the one in force.
    None,
    /// Validate the document and record the result.
    Validate,
}

impl Config {
    /// Returns the version in force; 0 for none.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the JSON of the document in force.
    pub fn json(&self) -> &Arc<[u8]> {
        &self.json
    }

    /// Puts an accepted document in force if it is newer than the current one. Returns `true` if it
    /// did.
    pub fn apply(&mut self, version: u64, json: Arc<[u8]>) -> bool {
        if version <= self.version {
            return false;
        }
        self.version = version;
        self.json = json;
        self.confirmed = None;
        true
    }

    /// Records that the object interface returned an accepted version, in reply to a request sent
    /// at `requested_at`.
    ///
    /// An older version comes from a stale reply and confirms nothing.
    pub fn confirm(&mut self, version: u64, requested_at: Instant) {
        if version == self.version && version > 0 {
            self.confirmed = self.confirmed.max(Some(requested_at));
        }
    }

    /// Records a peer's confirmation, in its reply to a request sent at `requested_at`. The
    /// confirmation was `age` old when the peer replied.
    pub fn confirm_from_peer(&mut self, version: u64, age: Duration, requested_at: Instant) {
        self.confirm(version, requested_at - age);
    }

    /// Returns the age of the newest confirmation; `None` if there is none.
    pub fn confirmation_age(&self, now: Instant) -> Option<Duration> {
        self.confirmed.map(|confirmed| now.since(confirmed))
    }

    /// Returns `true` if the document may be acted on, provided that no member was seen with a
    /// newer one.
    ///
    /// `current`: whether this host is a current member.
    pub fn is_trusted(&self, now: Instant, current: bool) -> bool {
        let confirmed = self.confirmation_age(now).is_some_and(|age| age < CONFIRMED_LEASE);
        self.version > 0 && (confirmed || current)
    }

    /// Returns what to do with a version that the object interface returned.
    pub fn action_for(&self, version: u64) -> Action {
        if version > self.version.max(self.validated) { Action::Validate } else { Action::None }
    }

    /// Records that the result of validating a version was stored.
    pub fn record_validated(&mut self, version: u64) {
        self.validated = self.validated.max(version);
    }
}

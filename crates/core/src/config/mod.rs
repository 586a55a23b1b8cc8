//! Configuration: what is in force, how it spreads, when it is trusted.
//!
//! The accepted document with the highest version is in force. It is trusted while it was
//! confirmed recently, or while this member is current and no member was seen with a newer one:
//! only a current member accepts a document, so each newer one is known to a member that vouches.

#[cfg(test)]
mod tests;

use crate::time::Instant;
use std::sync::Arc;
use std::time::Duration;

/// How long a confirmation counts, from when it was asked for.
pub const CONFIRMED_LEASE: Duration = Duration::from_secs(4);

/// What is in force on one host.
#[derive(Clone, Debug, Default)]
pub struct Config {
    version: u64,
    json: Arc<[u8]>,
    confirmed: Option<Instant>,
    validated: u64,
}

/// What to do with the newest document that the object interface shows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Nothing: it is in force, was validated before, or is older than what is in force.
    None,
    /// Check it and record the verdict.
    Validate,
}

impl Config {
    /// Version in force; 0 for none.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// JSON of the document in force.
    pub fn json(&self) -> &Arc<[u8]> {
        &self.json
    }

    /// Puts an accepted document in force if it is newer than the one that is; says whether it did.
    pub fn apply(&mut self, version: u64, json: Arc<[u8]>) -> bool {
        if version <= self.version {
            return false;
        }
        self.version = version;
        self.json = json;
        self.confirmed = None;
        true
    }

    /// Notes that the object interface showed an accepted version, to a call sent at `asked`.
    ///
    /// An older version is a stale answer and confirms nothing.
    pub fn confirm(&mut self, version: u64, asked: Instant) {
        if version == self.version && version > 0 {
            self.confirmed = self.confirmed.max(Some(asked));
        }
    }

    /// Notes a peer's confirmation, in its answer to an ask sent at `asked`.
    pub fn confirm_from_peer(&mut self, version: u64, age: Duration, asked: Instant) {
        self.confirm(version, asked - age);
    }

    /// Age of the newest confirmation; `None` if there is none.
    pub fn confirmation_age(&self, now: Instant) -> Option<Duration> {
        self.confirmed.map(|confirmed| now.since(confirmed))
    }

    /// Whether the document may be acted on, as long as no member was seen with a newer one.
    ///
    /// `current`: this host is a current member.
    pub fn is_trusted(&self, now: Instant, current: bool) -> bool {
        let confirmed = self.confirmation_age(now).is_some_and(|age| age < CONFIRMED_LEASE);
        self.version > 0 && (confirmed || current)
    }

    /// What to do with a document of this version, as the object interface shows it.
    pub fn action_for(&self, version: u64) -> Action {
        if version > self.version.max(self.validated) { Action::Validate } else { Action::None }
    }

    /// Notes that the verdict on a version is recorded.
    pub fn record_validated(&mut self, version: u64) {
        self.validated = self.validated.max(version);
    }
}

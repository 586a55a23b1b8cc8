//! Configuration: which document is in force, and when it can be trusted.
//!
//! A document is the service's configuration in JSON. It is accepted once a member has found it valid. The
//! accepted document with the highest version is in force. A document is confirmed when the object interface
//! (the platform's store) is found to still hold it as the newest accepted one. It is trusted if it was
//! confirmed recently, or if this member is current and no member was seen with a newer version. A member is
//! current while its peers vouch for it, which means that they confirm that their tables of members list it;
//! see [`crate::member`]. Only a current member accepts a document, so at least one vouching member knows of
//! every newer version.

#[cfg(test)]
mod tests;

use crate::time::Instant;
use std::sync::Arc;
use std::time::Duration;

/// Time for which a confirmation of the document in force is valid, starting when it was requested.
pub const CONFIRMED_LEASE: Duration = Duration::from_secs(4);

/// The document in force on one host, and when it was last confirmed.
#[derive(Clone, Debug, Default)]
pub struct Config {
    /// Version in force; 0 for none.
    version: u64,
    /// The document in force, as JSON.
    json: Arc<[u8]>,
    /// When the newest confirmation of the version in force was requested.
    confirmed_at: Option<Instant>,
    /// Highest version whose validation result was stored.
    validated_version: u64,
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

    /// Adopts an accepted document, given as JSON, as the one in force if its version is higher than that of the
    /// present one. Returns `true` if it was adopted. It counts as unconfirmed at first.
    pub fn apply(&mut self, version: u64, json: Arc<[u8]>) -> bool {
        if version <= self.version {
            return false;
        }
        self.version = version;
        self.json = json;
        self.confirmed_at = None;
        true
    }

    /// Records that the object interface returned an accepted version, in reply to a request sent
    /// at `requested_at`. This confirms the document in force if it has that version.
    ///
    /// An older version comes from a stale reply and confirms nothing.
    pub fn confirm(&mut self, version: u64, requested_at: Instant) {
        if version == self.version && version > 0 {
            self.confirmed_at = self.confirmed_at.max(Some(requested_at));
        }
    }

    /// Records the confirmation that a peer got from the object interface, in the peer's reply to a request
    /// sent at `requested_at`. The confirmation was `age` old when the peer replied.
    pub fn confirm_from_peer(&mut self, version: u64, age: Duration, requested_at: Instant) {
        self.confirm(version, requested_at - age);
    }

    /// Returns the age of the newest confirmation; `None` if there is none.
    pub fn confirmation_age(&self, now: Instant) -> Option<Duration> {
        self.confirmed_at.map(|confirmed_at| now.since(confirmed_at))
    }

    /// Returns `true` if the document may be acted on, provided that no member was seen with a
    /// newer one.
    ///
    /// `current` tells whether this host is a current member.
    pub fn is_trusted(&self, now: Instant, current: bool) -> bool {
        let is_confirmed = self.confirmation_age(now).is_some_and(|age| age < CONFIRMED_LEASE);
        self.version > 0 && (is_confirmed || current)
    }

    /// Returns what to do with a version of the document that the object interface returned.
    pub fn action_for(&self, version: u64) -> Action {
        if version > self.version.max(self.validated_version) {
            Action::Validate
        } else {
            Action::None
        }
    }

    /// Records that the result of validating a version was stored, so that it isn't validated again.
    pub fn record_validated(&mut self, version: u64) {
        self.validated_version = self.validated_version.max(version);
    }
}

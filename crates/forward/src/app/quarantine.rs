//! Parts of prompts that crash engines: which requests are refused because of them, and what is recorded and
//! exchanged with peers to find them.

use super::{App, Target};
use crate::dialect::Generation;
use chestnutrack_core::quarantine::Pattern;
use chestnutrack_core::time::Instant;
use chestnutrack_process::clock;
use chestnutrack_wire::frame::{Break, QuarantineReport};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::Arc;
use std::time::Duration;

impl App {
    /// Returns how long a generation's prompt remains in quarantine; `None` if it is not.
    pub fn quarantine_left(&self, generation: &Generation) -> Option<Duration> {
        self.poll_quarantine();
        self.state().quarantine.time_left(clock::now(), generation.shared_parts())
    }

    /// Records an answer that broke off at an engine, which began to write it at `began_at`, or had not begun. `id`
    /// names the request.
    pub fn record_break(
        &self,
        target: &Target,
        began_at: Option<Instant>,
        generation: &Generation,
        id: Option<&str>,
    ) {
        let answer = Break {
            engine: target.entry.name.clone(),
            born: target.entry.born,
            request: request_hash(generation),
            parts: generation.shared_parts().cloned().collect(),
        };
        let (server, parts) = (&target.entry.name, answer.parts.join(","));
        if self.state().quarantine.record_break(clock::now(), began_at, answer) {
            tracing::info!(id, %server, parts, "engine may have crashed under a request");
            self.urgent_gossip_due.notify_one();
        }
    }

    /// Records an answer that was completed, and that its engine began to write at `began_at`.
    pub fn record_completed(&self, generation: &Generation, began_at: Instant) {
        let mut state = self.state();
        state.quarantine.record_completed(clock::now(), began_at, generation.shared_parts());
    }

    /// Returns what this host reports to its peers about parts of prompts that crash engines.
    pub(crate) fn quarantine_report(&self) -> QuarantineReport {
        self.poll_quarantine();
        let report = self.state().quarantine.report(clock::now());
        self.metrics.quarantined.set(i64::try_from(report.held.len()).unwrap_or(i64::MAX));
        report
    }

    /// Applies a peer's report about parts of prompts that crash engines.
    pub(crate) fn record_peer_quarantine(&self, peer: &Arc<str>, report: QuarantineReport) {
        let new = self.state().quarantine.record_report(clock::now(), peer, report);
        self.announce_patterns(&new, peer);
    }

    /// Returns the patterns in quarantine, with the time left.
    pub(crate) fn quarantine_patterns(&self) -> Vec<(Pattern, Duration)> {
        self.state().quarantine.patterns(clock::now())
    }

    /// Puts a pattern into quarantine that the platform's store holds.
    pub(crate) fn hold_pattern(&self, pattern: Pattern, left: Duration) {
        if self.state().quarantine.hold(clock::now(), &pattern, left) {
            self.announce_patterns(&[pattern], "store");
        }
    }

    /// Releases a pattern that was deleted from the platform's store.
    pub(crate) fn release_pattern(&self, pattern: &Pattern) {
        if self.state().quarantine.release(clock::now(), pattern) {
            tracing::warn!(parts = join(pattern), "prompt parts released from quarantine");
            self.gossip_due.notify_one();
        }
    }

    /// Puts patterns into quarantine that are due by what this host knows.
    fn poll_quarantine(&self) {
        let new = self.state().quarantine.poll(clock::now());
        self.announce_patterns(&new, &self.settings.name);
    }

    /// Logs patterns that are new in quarantine, and has them passed on. `source` is the host that decided, or the
    /// store.
    fn announce_patterns(&self, new: &[Pattern], source: &str) {
        for pattern in new {
            let left = self.state().quarantine.time_left(clock::now(), pattern);
            let left_ms = left.unwrap_or_default().as_millis() as u64;
            tracing::warn!(
                parts = join(pattern),
                source,
                left_ms,
                "prompt parts put into quarantine"
            );
        }
        if !new.is_empty() {
            self.urgent_gossip_due.notify_one();
            self.quarantine_changed.notify_one();
        }
    }
}

/// Returns the parts of a pattern as a text for logs.
fn join(pattern: &Pattern) -> String {
    pattern.iter().map(|part| &**part).collect::<Vec<_>>().join(",")
}

/// Returns a hash that tells a request from others by the last part of its prompt, which no other request has.
fn request_hash(generation: &Generation) -> u64 {
    let mut hasher = DefaultHasher::new();
    generation.parts.last().map(|part| &part.id).hash(&mut hasher);
    hasher.finish()
}

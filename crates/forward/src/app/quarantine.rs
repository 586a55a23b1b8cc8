//! Requests and parts of prompts that crash servers: which requests are refused because of them, and what is recorded
//! and exchanged with peers to find them.

use super::{App, Target};
use crate::dialect::Generation;
use chestnutrack_core::quarantine::{Pattern, request_part};
use chestnutrack_core::time::Instant;
use chestnutrack_process::clock;
use chestnutrack_wire::frame::{Break, HeldPattern, QuarantineReport};
use hyper::header::{HOST, HeaderValue};
use hyper::http::request::Parts;
use std::sync::Arc;
use std::time::Duration;

/// Parts of a prompt that are considered: the first ones that other requests may have too.
const PARTS_MAX: usize = 16;
/// Longest identifier of a part that is considered, in bytes.
const PART_ID_BYTES_MAX: usize = 64;
/// Share of the time left in quarantine by which retry times are spread at most, so that the callers refused don't all
/// return at once.
const RETRY_SPREAD: f64 = 0.1;

/// By what a request is recognised when it, or another one with parts of its prompt, crashes servers.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Identity {
    /// Considered parts of the prompt, and last the one that stands for the request as a whole.
    parts: Vec<Arc<str>>,
    /// Hash that tells the request from others.
    request: u64,
}

impl Identity {
    /// Returns the identity of a request of an organisation. It is the same when the request comes again: with the same
    /// method, host, path, body and prompt.
    pub fn new(
        head: &Parts,
        organisation: Option<&str>,
        generation: Option<&Generation>,
        body: &[u8],
    ) -> Identity {
        let host = head.headers.get(HOST).map(HeaderValue::as_bytes).unwrap_or_default();
        let target = head.uri.path_and_query().map_or("", |target| target.as_str());
        let (method, organisation) = (head.method.as_str(), organisation.unwrap_or_default());
        let fields = [method.as_bytes(), host, target.as_bytes(), organisation.as_bytes(), body];
        let parts = generation.map_or(&[][..], |generation| &generation.parts);
        let mut hasher = blake3::Hasher::new();
        for field in fields.into_iter().chain(parts.iter().map(|part| part.id.as_bytes())) {
            hasher.update(&(field.len() as u64).to_le_bytes()).update(field);
        }
        let hash =
            u128::from_le_bytes(hasher.finalize().as_bytes()[..16].try_into().unwrap_or_default());
        let mut parts = generation.map(considered_parts).unwrap_or_default();
        parts.push(request_part(hash));
        Identity { parts, request: hash as u64 }
    }
}

impl App {
    /// Returns the time after which a request is worth retrying if it is in quarantine; `None` if it is not.
    pub fn quarantine_left(&self, identity: &Identity) -> Option<Duration> {
        self.poll_quarantine();
        let state = self.state();
        let left = state.quarantine.time_left(clock::now(), &identity.parts)?;
        Some(left.mul_f64(1.0 + RETRY_SPREAD * rand::random::<f64>()))
    }

    /// Records an answer that broke off at a server, which began to write it at `began_at`, or had not begun. Does
    /// nothing if the server is leaving. `id` names the request.
    pub fn record_break(
        &self,
        target: &Target,
        began_at: Option<Instant>,
        identity: &Identity,
        id: Option<&str>,
    ) {
        let now = clock::now();
        let written = began_at.map_or(Duration::ZERO, |began_at| now.since(began_at));
        let answer = Break {
            engine: target.entry.name.clone(),
            born: target.entry.born,
            request: identity.request,
            parts: identity.parts.clone(),
            written_ms: u32::try_from(written.as_millis()).unwrap_or(u32::MAX),
        };
        let (server, parts) = (&target.entry.name, answer.parts.join(","));
        let mut state = self.state();
        let counts =
            !state.dispatch.is_leaving(target.key) && state.quarantine.record_break(now, answer);
        drop(state);
        if counts {
            tracing::info!(id, %server, parts, "server may have crashed under a request");
            self.urgent_gossip_due.notify_one();
        }
    }

    /// Records that a server survived a request whose answer it began to write at `began_at`.
    pub fn record_sound(&self, identity: &Identity, began_at: Instant) {
        let now = clock::now();
        let released = self.state().quarantine.record_sound(now, began_at, &identity.parts);
        self.announce(&[], &released, "a server survived");
    }

    /// Records that a server has answered a request sent at `sent_at`.
    pub fn record_alive(&self, target: &Target, sent_at: Instant) {
        self.state().quarantine.record_alive(&target.entry.name, target.entry.born, sent_at);
    }

    /// Returns what this host reports to its peers about what crashes servers.
    pub(crate) fn quarantine_report(&self) -> QuarantineReport {
        self.poll_quarantine();
        let report = self.state().quarantine.report(clock::now());
        self.metrics.quarantined.set(i64::try_from(report.held.len()).unwrap_or(i64::MAX));
        report
    }

    /// Applies a peer's report about what crashes servers.
    pub(crate) fn record_quarantine_report(&self, peer: &Arc<str>, report: QuarantineReport) {
        let changes = self.state().quarantine.record_report(clock::now(), peer, report);
        self.announce(&changes.held, &changes.released, peer);
    }

    /// Returns what the hosts of this cell know of parts that were at `crashes_min` crashes or more.
    pub(crate) fn cell_report(&self, crashes_min: usize) -> QuarantineReport {
        self.state().quarantine.cell_report(clock::now(), crashes_min)
    }

    /// Applies the report of another cell, which it made `age` ago.
    pub(crate) fn record_cell_report(
        &self,
        cell: &Arc<str>,
        age: Duration,
        report: QuarantineReport,
    ) {
        self.state().quarantine.record_cell_report(clock::now(), cell, age, report);
    }

    /// Returns the patterns in quarantine.
    pub(crate) fn held_patterns(&self) -> Vec<HeldPattern> {
        self.state().quarantine.report(clock::now()).held
    }

    /// Puts a pattern into quarantine that the platform's store holds.
    pub(crate) fn hold_pattern(&self, held: &HeldPattern) {
        if self.state().quarantine.hold(clock::now(), held) {
            self.announce(std::slice::from_ref(&held.parts), &[], "store");
        }
    }

    /// Releases a pattern that was deleted from the platform's store.
    pub(crate) fn release_pattern(&self, pattern: &Pattern) {
        if self.state().quarantine.release(clock::now(), pattern) {
            self.announce(&[], std::slice::from_ref(pattern), "store");
        }
    }

    /// Puts patterns into quarantine that are due by what this host knows.
    fn poll_quarantine(&self) {
        let new = self.state().quarantine.poll(clock::now());
        self.announce(&new, &[], &self.settings.name);
    }

    /// Logs patterns that are new in quarantine or were released, and has them passed on. `source` says who decided, or
    /// why.
    fn announce(&self, held: &[Pattern], released: &[Pattern], source: &str) {
        for pattern in held {
            let parts: Vec<Arc<str>> = pattern.iter().cloned().collect();
            let left = self.state().quarantine.time_left(clock::now(), &parts);
            let left_ms = left.unwrap_or_default().as_millis() as u64;
            let parts = parts.join(",");
            tracing::warn!(parts, source, left_ms, "prompt parts put into quarantine");
        }
        for pattern in released {
            let parts = pattern.iter().map(|part| &**part).collect::<Vec<_>>().join(",");
            tracing::warn!(parts, source, "prompt parts released from quarantine");
        }
        if !held.is_empty() || !released.is_empty() {
            self.urgent_gossip_due.notify_one();
            self.quarantine_changed.notify_one();
        }
    }
}

/// Returns the parts of a prompt that other requests may have too, as far as they are considered.
fn considered_parts(generation: &Generation) -> Vec<Arc<str>> {
    let parts = generation.shared_parts().filter(|part| part.len() <= PART_ID_BYTES_MAX);
    parts.take(PARTS_MAX).cloned().collect()
}

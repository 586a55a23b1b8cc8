//! Documents: validating the operators' document, putting an accepted one in force and publishing it.
//!
//! A document configures one service. Operators write it to the store; a member validates it and
//! stores it as the accepted document, which all members put in force. The version of an accepted
//! document is the version of the operators' document from which it was taken.

use super::{Message, State, set_announced_version};
use crate::snapshot::Snapshot;
use crate::store::{self, Candidate, Reading, Validation};
use chestnutrack_core::config::{Action, CONFIRMED_LEASE};
use chestnutrack_core::limit::Quota;
use chestnutrack_core::time::Instant;
use chestnutrack_document::Document;
use chestnutrack_document::key::Hash;
use chestnutrack_wire::frame::Frame;
use serde_json::Value;
use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// Delay per rank in the table before a member validates a document; gives the members of lower rank
/// a head start.
const VALIDATION_STAGGER: Duration = Duration::from_millis(100);
/// Highest rank that adds to the delay.
const RANK_MAX: u32 = 10;
/// Pause before a document is validated again whose result could not be recorded.
const VALIDATION_RETRY_PAUSE: Duration = Duration::from_millis(250);

/// State of the documents on this member.
#[derive(Default)]
pub(super) struct Progress {
    /// Version of the object that holds the accepted document, and version of that document; both 0 if
    /// there is no such object, `None` before the first successful read.
    accepted: Option<(u64, u64)>,
    /// Version and value of the newest operators' document.
    newest: Option<(u64, Value)>,
    /// Earliest time at which this member validates the newest document.
    validate_at: Instant,
    /// Whether a validation is in progress.
    validating: bool,
    /// Hosts that the platform lists as leaving.
    leaving: HashSet<Arc<str>>,
    /// The document in force, parsed.
    document: Option<Arc<Document>>,
    /// Whether the published snapshot is out of date.
    changed: bool,
    /// Whether every live member is known to have put the present document in force.
    all_configured: bool,
}

impl State {
    /// Handles a reading of the accepted document: puts the document in force if it is newer, and
    /// records that the store confirmed its version when the read was sent. Readings can arrive out of
    /// order: the versions of an older object aren't recorded, and [`Self::offer_config`] ignores an
    /// older document. An absent object has no version, so its reading always counts.
    ///
    /// The object has a version in the store; the document in it has another one, `source`, which is
    /// the version of the operators' document.
    pub(super) fn handle_accepted(&mut self, now: Instant, reading: &Reading) {
        match &reading.state {
            store::ObjectState::Present(object) => {
                let Some(accepted) = store::parse_accepted(object) else {
                    return;
                };
                let is_older = self
                    .documents
                    .accepted
                    .is_some_and(|(stored_version, _)| stored_version > object.version);
                if !is_older {
                    self.documents.accepted = Some((object.version, accepted.source));
                }
                let json = accepted.document.to_string().into_bytes();
                self.offer_config(now, accepted.source, Arc::from(json));
                self.config.confirm(accepted.source, reading.requested_at);
            }
            store::ObjectState::Unchanged => {
                let source_version =
                    self.documents.accepted.map_or(0, |(_, source_version)| source_version);
                self.config.confirm(source_version, reading.requested_at);
            }
            store::ObjectState::Absent => {
                // 0 stands for no object and for no document.
                self.documents.accepted = Some((0, 0));
            }
            store::ObjectState::Failed => {}
        }
    }

    /// Records a newer operators' document and when this member validates it.
    pub(super) fn handle_document(&mut self, now: Instant, reading: Reading) {
        let store::ObjectState::Present(object) = reading.state else {
            return;
        };
        let is_newer =
            self.documents.newest.as_ref().is_none_or(|(version, _)| *version < object.version);
        if let (true, Some(value)) = (is_newer, object.value) {
            let position = self.membership.table().and_then(|t| t.position(self.membership.me()));
            let rank = u32::try_from(position.unwrap_or(0)).unwrap_or(RANK_MAX).min(RANK_MAX);
            self.documents.newest = Some((object.version, value));
            self.documents.validate_at = now + VALIDATION_STAGGER * rank;
        }
    }

    /// Records the hosts that the platform lists as leaving; the next snapshot contains them.
    pub(super) fn handle_leaving_hosts(&mut self, leaving: HashSet<Arc<str>>) {
        self.documents.changed |= leaving != self.documents.leaving;
        self.documents.leaving = leaving;
    }

    /// Lets the limits grow if they may, and starts the validation of the newest document if it is
    /// due and this member is current.
    pub(super) fn maintain_documents(&mut self, now: Instant) {
        self.allow_limit_growth(now);
        let is_due = !self.documents.validating && now >= self.documents.validate_at;
        if !is_due || !self.membership.is_current(now) {
            return;
        }
        let (Some((source_version, document)), Some((accepted_version, previous_source_version))) =
            (&self.documents.newest, self.documents.accepted)
        else {
            return;
        };
        if *source_version <= previous_source_version
            || self.config.action_for(*source_version) == Action::None
        {
            return;
        }
        let candidate = Candidate {
            service: self.settings.service.clone(),
            source_version: *source_version,
            document: document.clone(),
            accepted_version,
            previous_source_version,
        };
        self.documents.validating = true;
        let client = self.client.clone();
        self.spawn(async move {
            let validation = store::validate(&client, &candidate).await;
            Message::Validated(candidate, validation)
        });
    }

    /// Handles the result of a validation. If the result is unconfirmed, reads the accepted
    /// document again and validates after a pause.
    pub(super) fn handle_validation(
        &mut self,
        now: Instant,
        candidate: &Candidate,
        validation: &Validation,
    ) {
        self.documents.validating = false;
        match validation {
            Validation::Accepted(version) => {
                self.documents.accepted = Some((*version, candidate.source_version));
                let json = candidate.document.to_string().into_bytes();
                self.offer_config(now, candidate.source_version, Arc::from(json));
            }
            Validation::Refused => {
                self.config.record_validated(candidate.source_version);
                self.metrics.documents_refused.inc();
                tracing::warn!(
                    version = candidate.source_version,
                    "document refused; see its status"
                );
            }
            Validation::Unconfirmed => {
                self.documents.validate_at = now + VALIDATION_RETRY_PAUSE;
                let (client, service) = (self.client.clone(), self.settings.service.clone());
                self.spawn(async move {
                    Message::Accepted(store::read(&client, store::ACCEPTED, &service).await)
                });
            }
        }
    }

    /// Puts an accepted document in force if it is newer than the present one, and sends it to the
    /// peers.
    pub(super) fn offer_config(&mut self, now: Instant, version: u64, json: Arc<[u8]>) {
        if version <= self.config.version() {
            return;
        }
        let Ok(document) = chestnutrack_document::parse(&json) else {
            tracing::warn!(version, "accepted document could not be parsed");
            return;
        };
        if !self.config.apply(version, json) {
            return;
        }
        self.documents.document = Some(Arc::new(document));
        self.documents.changed = true;
        self.documents.all_configured = false;
        self.metrics.configurations.inc();
        self.metrics.configuration.set(i64::try_from(version).unwrap_or(i64::MAX));
        set_announced_version(&self.handshake, version);
        tracing::info!(version, "configuration in force");
        self.configure_limits(now, false);
        self.publish(now);
        if let Some(frame) = self.configuration_frame() {
            self.links.values_mut().for_each(|link| link.send(&frame));
        }
    }

    /// Returns the frame that announces the configuration in force, or `None` if there is none.
    pub(super) fn configuration_frame(&self) -> Option<Frame> {
        let version = self.config.version();
        let document = self.config.json().to_vec();
        (version > 0).then_some(Frame::Configuration { version, document })
    }

    /// Lets rates and bursts grow once every live member is known to have put the present document
    /// in force.
    fn allow_limit_growth(&mut self, now: Instant) {
        if self.documents.all_configured || !self.membership.is_current(now) {
            return;
        }
        if self.membership.all_configured(self.config.version()) {
            self.documents.all_configured = true;
            self.configure_limits(now, true);
        }
    }

    /// Sets the limits (each organisation's rate and burst) from the quotas in the document in force.
    /// Unless `may_grow` is `true`, the limits of a known organisation can only shrink, because
    /// another member may still have the previous document in force.
    fn configure_limits(&mut self, now: Instant, may_grow: bool) {
        let Some(document) = &self.documents.document else {
            return;
        };
        let quotas: Vec<_> = document
            .organisations
            .iter()
            .map(|organisation| Quota {
                name: organisation.name.clone(),
                rate: organisation.rate_tokens_per_s,
                burst: organisation.burst_tokens,
            })
            .collect();
        self.limits.configure(now, &quotas, may_grow);
    }

    /// Publishes a new snapshot if the configuration or its trust has changed.
    pub(super) fn publish(&mut self, now: Instant) {
        let is_newest = !self.membership.knows_newer_configuration(self.config.version());
        let trusted = is_newest && self.config.is_trusted(now, self.membership.is_current(now));
        let trusted_until = if is_newest { self.trusted_until(now) } else { Instant::default() };
        self.shared.trusted_until.store(trusted_until.0, Ordering::Relaxed);
        let previous = self.shared.snapshots.borrow().clone();
        if !self.documents.changed && previous.trusted == trusted {
            return;
        }
        self.documents.changed = false;
        if previous.trusted != trusted {
            tracing::info!(trusted, "trust in the configuration changed");
        }
        self.metrics.trusted.set(i64::from(trusted));
        let document = self.documents.document.clone();
        let snapshot = Snapshot {
            version: self.config.version(),
            keys: document.as_deref().map(organisations_by_key).unwrap_or_default(),
            document,
            json: self.config.json().clone(),
            trusted,
            leaving: self.documents.leaving.clone(),
        };
        self.shared.snapshots.send_replace(Arc::new(snapshot));
    }

    /// Returns when the trust in the configuration expires if no further message arrives: once this
    /// member is no longer current and the last confirmation of the version has expired.
    fn trusted_until(&self, now: Instant) -> Instant {
        let current_until = self.membership.current_until();
        let age = self.config.confirmation_age(now);
        let confirmed_until = age.map(|age| (now - age) + CONFIRMED_LEASE);
        current_until.max(confirmed_until).unwrap_or_default()
    }
}

/// Returns the organisation of each key of a document, by the key's hash.
fn organisations_by_key(document: &Document) -> HashMap<Hash, Arc<str>> {
    let mut keys = HashMap::new();
    for organisation in &document.organisations {
        for key in &organisation.keys {
            if let Some(hash) = Hash::from_hex(&key.hash) {
                keys.insert(hash, organisation.name.clone());
            }
        }
    }
    keys
}

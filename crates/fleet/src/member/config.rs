//! Documents: judging an operator's, putting an accepted one in force, publishing it.

use super::{Message, State, store_version};
use crate::snapshot::Snapshot;
use crate::store::{self, Case, Judgement, Seen};
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

/// Head start of each member, in the table's order, before the next judges a document.
const JUDGE_STEP: Duration = Duration::from_millis(100);
/// Ranks that are told apart.
const RANK_MAX: u32 = 10;
/// Pause before a document is judged again whose verdict could not be recorded.
const JUDGE_PAUSE: Duration = Duration::from_millis(250);

/// How documents stand.
#[derive(Default)]
pub(super) struct Progress {
    /// Version of the object that holds the accepted document, and of its document; 0 for absent.
    accepted: Option<(u64, u64)>,
    /// Newest document of the operators.
    newest: Option<(u64, Value)>,
    /// From when it may be judged here.
    due: Instant,
    /// Whether one is being judged.
    judging: bool,
    /// Hosts that the platform lists as leaving.
    leaving: HashSet<Arc<str>>,
    /// The document in force, read.
    document: Option<Arc<Document>>,
    /// Whether what is published is out of date.
    changed: bool,
    /// Whether every member was seen with the document in force.
    settled: bool,
}

impl State {
    pub(super) fn accepted_seen(&mut self, now: Instant, seen: &Seen) {
        match &seen.state {
            store::State::Is(object) => {
                let Some(accepted) = store::accepted(object) else {
                    return;
                };
                let older = self.documents.accepted.is_some_and(|(at, _)| at > object.version);
                if !older {
                    self.documents.accepted = Some((object.version, accepted.source));
                }
                let json = accepted.document.to_string().into_bytes();
                self.offer_config(now, accepted.source, Arc::from(json));
                self.config.confirm(accepted.source, seen.asked);
            }
            store::State::Same => {
                let source = self.documents.accepted.map_or(0, |(_, source)| source);
                self.config.confirm(source, seen.asked);
            }
            store::State::Absent => {
                self.documents.accepted = Some((0, 0));
            }
            store::State::Failed => {}
        }
    }

    pub(super) fn document_seen(&mut self, now: Instant, seen: Seen) {
        let store::State::Is(object) = seen.state else {
            return;
        };
        let newer = self.documents.newest.as_ref().is_none_or(|(at, _)| *at < object.version);
        if let (true, Some(value)) = (newer, object.value) {
            let own = self.membership.table().and_then(|t| t.position(self.membership.me()));
            let rank = u32::try_from(own.unwrap_or(0)).unwrap_or(RANK_MAX).min(RANK_MAX);
            self.documents.newest = Some((object.version, value));
            self.documents.due = now + JUDGE_STEP * rank;
        }
    }

    pub(super) fn hosts_seen(&mut self, leaving: HashSet<Arc<str>>) {
        self.documents.changed |= leaving != self.documents.leaving;
        self.documents.leaving = leaving;
    }

    /// Judges the newest document, if that is due. Only a current member does.
    pub(super) fn tend_documents(&mut self, now: Instant) {
        self.settle_terms(now);
        let due = !self.documents.judging && now >= self.documents.due;
        if !due || !self.membership.is_current(now) {
            return;
        }
        let (Some((source, document)), Some((accepted, before))) =
            (&self.documents.newest, self.documents.accepted)
        else {
            return;
        };
        if *source <= before || self.config.action_for(*source) == Action::None {
            return;
        }
        let case = Case {
            service: self.settings.service.clone(),
            source: *source,
            document: document.clone(),
            accepted,
            before,
        };
        self.documents.judging = true;
        let client = self.client.clone();
        self.spawn(async move {
            let judgement = store::judge(&client, &case).await;
            Message::Judged(case, judgement)
        });
    }

    pub(super) fn judged(&mut self, now: Instant, case: &Case, judgement: &Judgement) {
        self.documents.judging = false;
        match judgement {
            Judgement::Accepted(version) => {
                self.documents.accepted = Some((*version, case.source));
                let json = case.document.to_string().into_bytes();
                self.offer_config(now, case.source, Arc::from(json));
            }
            Judgement::Refused => {
                self.config.record_validated(case.source);
                self.metric.documents_refused.inc();
                tracing::warn!(version = case.source, "document refused; see its status");
            }
            Judgement::Open => {
                self.documents.due = now + JUDGE_PAUSE;
                let (client, service) = (self.client.clone(), self.settings.service.clone());
                self.spawn(async move {
                    Message::Accepted(store::look(&client, store::ACCEPTED, &service).await)
                });
            }
        }
    }

    /// Puts an accepted document in force if it is newer, and passes it on.
    pub(super) fn offer_config(&mut self, now: Instant, version: u64, json: Arc<[u8]>) {
        if version <= self.config.version() {
            return;
        }
        let Ok(document) = chestnutrack_document::parse(&json) else {
            tracing::warn!(version, "accepted document is not understood here");
            return;
        };
        if !self.config.apply(version, json) {
            return;
        }
        self.documents.document = Some(Arc::new(document));
        self.documents.changed = true;
        self.documents.settled = false;
        self.metric.configurations.inc();
        self.metric.configuration.set(i64::try_from(version).unwrap_or(i64::MAX));
        store_version(&self.greeting, version);
        tracing::info!(version, "configuration in force");
        self.configure_limits(now, false);
        self.publish(now);
        if let Some(frame) = self.configuration_frame() {
            self.links.values_mut().for_each(|link| link.send(&frame));
        }
    }

    pub(super) fn configuration_frame(&self) -> Option<Frame> {
        let version = self.config.version();
        let document = self.config.json().to_vec();
        (version > 0).then_some(Frame::Configuration { version, document })
    }

    /// Lets rates and bursts grow once every member was seen with the document.
    fn settle_terms(&mut self, now: Instant) {
        if self.documents.settled || !self.membership.is_current(now) {
            return;
        }
        if self.membership.all_configured(self.config.version()) {
            self.documents.settled = true;
            self.configure_limits(now, true);
        }
    }

    fn configure_limits(&mut self, now: Instant, settled: bool) {
        let Some(document) = &self.documents.document else {
            return;
        };
        let terms: Vec<_> = document
            .organisations
            .iter()
            .map(|organisation| Quota {
                name: organisation.name.clone(),
                rate: organisation.rate_tokens_per_s,
                burst: organisation.burst_tokens,
            })
            .collect();
        self.limits.configure(now, &terms, settled);
    }

    /// Publishes what is in force, if that has changed.
    pub(super) fn publish(&mut self, now: Instant) {
        let newest = !self.membership.knows_newer_configuration(self.config.version());
        let trusted = newest && self.config.is_trusted(now, self.membership.is_current(now));
        let until = if newest { self.trusted_until(now) } else { Instant::default() };
        self.shared.trusted_until.store(until.0, Ordering::Relaxed);
        let before = self.shared.snapshots.borrow().clone();
        if !self.documents.changed && before.trusted == trusted {
            return;
        }
        self.documents.changed = false;
        if before.trusted != trusted {
            tracing::info!(trusted, "trust in the configuration changed");
        }
        self.metric.trusted.set(i64::from(trusted));
        let document = self.documents.document.clone();
        let snapshot = Snapshot {
            version: self.config.version(),
            keys: document.as_deref().map(keys).unwrap_or_default(),
            document,
            json: self.config.json().clone(),
            trusted,
            leaving: self.documents.leaving.clone(),
        };
        self.shared.snapshots.send_replace(Arc::new(snapshot));
    }

    fn trusted_until(&self, now: Instant) -> Instant {
        let member = self.membership.current_until();
        let age = self.config.confirmation_age(now);
        let confirmed = age.map(|age| (now - age) + CONFIRMED_LEASE);
        member.max(confirmed).unwrap_or_default()
    }
}

/// Organisation of each key of a document.
fn keys(document: &Document) -> HashMap<Hash, Arc<str>> {
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

//! Registration of entry hosts: each publishes its address in an object of the platform's store,
//! its entry.
//!
//! A host is listed while its entry exists and is not marked as lost. Other hosts mark the entry of
//! a host that most of them have been unable to reach for long, and delete it later, after which
//! they take over its share of allowances. A host that is isolated therefore confirms that it is
//! still listed before it goes on spending, and a host whose entry was marked or deleted writes it
//! again.

use super::builds::{self, BuildHistory};
use super::patterns::{Patterns, is_quarantine};
use super::{check_address, next_tick, watch_settings};
use crate::mesh::Mesh;
use chestnutrack_core::roster::Step;
use chestnutrack_core::time::Instant;
use chestnutrack_process::clock;
use chestnutrack_process::timer::Timer;
use chestnutrack_store::backoff::Backoff;
use chestnutrack_store::client::Client;
use chestnutrack_store::dialect::Freshness;
use chestnutrack_store::dialect::items::excerpt;
use chestnutrack_store::epoch;
use chestnutrack_store::error::Error;
use chestnutrack_store::object::Object;
use chestnutrack_store::watcher::{self, Event, RetryMode, Update};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::{sleep, timeout};

/// Pause after an answer about the hosts. Until the next answer, peers learn of a new host when it
/// connects to them.
const WATCH_PAUSE: Duration = Duration::from_millis(1_000);
/// First and longest pause after a write that failed.
const RETRY_PAUSE_RANGE: (Duration, Duration) =
    (Duration::from_millis(100), Duration::from_millis(2_000));

/// Time between two checks for lost hosts, and for whether this host is still listed while it is
/// isolated.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Time for hosts to write their entries again after the store was restored from a copy without them.
const REWRITE_GRACE: Duration = Duration::from_secs(5);
/// Longest wait for the store to delete the entry of a host that shuts down. It has to fit into
/// what remains of the host's grace period.
const DEREGISTER_TIMEOUT: Duration = Duration::from_millis(300);

/// What a host publishes about itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Host {
    /// Random number drawn at the start of its process.
    pub incarnation: u64,
    /// Address at which peers connect to it.
    pub address: SocketAddr,
}

/// The object that a host publishes: its entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Entry {
    #[serde(flatten)]
    host: Host,
    /// Whether the other hosts have marked it as lost, since most of them have been unable to
    /// reach it for long. Unless it has ended, it then writes its entry again.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    lost: bool,
}

/// Maintains the entry of this host in the store, and marks and deletes the entries of lost hosts.
pub struct Registration {
    client: Client,
    kind: &'static str,
    name: Arc<str>,
    host: Host,
    mesh: Arc<Mesh>,
    patterns: Patterns,
    builds: BuildHistory,
    /// Version of the entry once it is written; 0 before.
    version: AtomicU64,
    /// Notified when the entry has to be written again.
    rewrite_needed: Notify,
}

/// Hosts that the store lists or has listed. Hosts that are known only because they connected to this
/// one are not among them.
#[derive(Debug, Default)]
struct ListedHosts {
    names: BTreeSet<Arc<str>>,
    /// Those whose entries a restored store has lost, and when they are removed unless they write them
    /// again.
    missing: BTreeMap<Arc<str>, Instant>,
    /// Epoch of the store at the last complete list.
    epoch: u64,
}

impl ListedHosts {
    /// Records that a host's entry was written, or deleted.
    fn record(&mut self, name: Arc<str>, exists: bool) {
        self.missing.remove(&name);
        match exists {
            true => drop(self.names.insert(name)),
            false => drop(self.names.remove(&name)),
        }
    }

    /// Applies a complete list, which names the hosts in `present`, and returns the hosts to be removed:
    /// they left while the store did not answer this host. In the first list of a new epoch, hosts may be
    /// missing that are alive; they are given time to write their entries again.
    fn apply_snapshot(
        &mut self,
        now: Instant,
        epoch: u64,
        present: &BTreeSet<Arc<str>>,
    ) -> Vec<Arc<str>> {
        let is_restored = epoch > std::mem::replace(&mut self.epoch, epoch);
        self.missing.retain(|name, _| !present.contains(name));
        let absent: Vec<Arc<str>> =
            self.names.iter().filter(|name| !present.contains(*name)).cloned().collect();
        if is_restored {
            let removed_at = now + REWRITE_GRACE;
            self.missing.extend(absent.into_iter().map(|name| (name, removed_at)));
            return Vec::new();
        }
        let removed: Vec<Arc<str>> =
            absent.into_iter().filter(|name| !self.missing.contains_key(name)).collect();
        self.names.retain(|name| present.contains(name) || self.missing.contains_key(name));
        removed
    }

    /// Removes the missing hosts whose time has passed, and returns them.
    fn remove_expired(&mut self, now: Instant) -> Vec<Arc<str>> {
        let expired = self.missing.iter().filter(|(_, removed_at)| **removed_at <= now);
        let removed: Vec<Arc<str>> = expired.map(|(name, _)| name.clone()).collect();
        for name in &removed {
            self.missing.remove(name);
            self.names.remove(name);
        }
        removed
    }
}

impl Registration {
    /// Creates a registration that is not written yet.
    pub fn new(
        client: Client,
        kind: &'static str,
        name: Arc<str>,
        host: Host,
        mesh: Arc<Mesh>,
    ) -> Arc<Registration> {
        let patterns = Patterns::new(client.clone(), kind, mesh.clone());
        let builds = BuildHistory::new(client.clone(), kind, mesh.clone());
        let (version, rewrite_needed) = (AtomicU64::new(0), Notify::new());
        Arc::new(Registration {
            client,
            kind,
            name,
            host,
            mesh,
            patterns,
            builds,
            version,
            rewrite_needed,
        })
    }

    /// Watches the entries of all hosts for the lifetime of the process. Passes the changes to the
    /// mesh, and has this host's entry written again if necessary.
    pub async fn follow(self: Arc<Registration>, timer: Timer) {
        let settings = watch_settings(WATCH_PAUSE, Freshness::Any, RetryMode::Follower);
        let mut events = watcher::start(self.client.clone(), self.kind, settings);
        let mut listed = ListedHosts::default();
        let mut ticks = None;
        loop {
            tokio::select! {
                event = events.recv() => match event {
                    Some(Event::Updated(update)) => self.apply_update(&mut listed, update),
                    Some(Event::Failed { .. }) => {}
                    None => return,
                },
                Some(_) = next_tick(&mut ticks) => {
                    let removed = listed.remove_expired(clock::now());
                    self.mesh.update_hosts(removed.into_iter().map(|name| (name, None)));
                }
            }
            ticks = match (listed.missing.is_empty(), ticks) {
                (true, _) => None,
                (false, None) => Some(timer.subscribe(CHECK_INTERVAL)),
                (false, ticks) => ticks,
            };
        }
    }

    /// Applies the store's answer about the hosts.
    fn apply_update(&self, listed: &mut ListedHosts, update: Update) {
        if update.is_snapshot {
            let present: BTreeSet<Arc<str>> =
                update.objects.iter().map(|object| object.name.clone()).collect();
            let is_restored = epoch::of(update.version) > listed.epoch;
            self.patterns.apply_snapshot(update.version, is_restored, &present);
            if !present.contains(&self.name) && self.version.load(Ordering::Relaxed) > 0 {
                self.rewrite_needed.notify_one();
            }
            let removed = listed.apply_snapshot(clock::now(), epoch::of(update.version), &present);
            self.mesh.update_hosts(removed.into_iter().map(|name| (name, None)));
        }
        let (patterns, entries): (Vec<Object>, Vec<Object>) =
            update.objects.into_iter().partition(is_quarantine);
        self.patterns.apply(patterns);
        let (histories, entries): (Vec<Object>, Vec<Object>) =
            entries.into_iter().partition(|object| *object.name == *builds::NAME);
        self.builds.apply(update.is_snapshot, histories.into_iter().next());
        let (own, others): (Vec<Object>, Vec<Object>) =
            entries.into_iter().partition(|object| object.name == self.name);
        own.into_iter().for_each(|object| self.check_own_entry(object));
        let others: Vec<_> = others.into_iter().filter_map(decode_entry).collect();
        let hosts = others
            .iter()
            .map(|(name, _, entry)| (name.clone(), entry.as_ref().map(|entry| entry.host.clone())));
        self.mesh.update_hosts(hosts);
        if update.is_snapshot {
            self.mesh.record_hosts_listed();
        }
        for (name, version, entry) in others {
            let is_lost = entry.as_ref().is_some_and(|entry| entry.lost);
            self.mesh.record_entry(&name, version, is_lost);
            listed.record(name, entry.is_some());
        }
    }

    /// Requests that this host's entry be written again if other hosts have marked or deleted it, if it
    /// can't be read, or if a restored store holds that of an earlier process. Ignores versions up to the
    /// one that this host wrote. Takes over the version that its entry has in a restored store.
    fn check_own_entry(&self, object: Object) {
        let own_version = self.version.load(Ordering::Relaxed);
        if object.version <= own_version {
            return;
        }
        let (version, gone) = (object.version, object.value.is_none());
        let is_restored = own_version > 0 && epoch::of(version) > epoch::of(own_version);
        let entry = decode_entry(object).and_then(|(.., entry)| entry);
        let is_lost = entry.as_ref().is_some_and(|entry| entry.lost);
        let is_unreadable = !gone && entry.is_none();
        let is_outdated = is_restored && entry.is_none_or(|entry| entry.host != self.host);
        let is_wrong = gone || is_lost || is_unreadable || is_outdated;
        if is_restored && !is_wrong {
            // The copy holds the entry, under a version of the new epoch.
            self.version.store(version, Ordering::Relaxed);
        }
        if is_wrong {
            tracing::warn!(
                name = %self.name,
                version,
                gone,
                is_lost,
                is_unreadable,
                is_outdated,
                "own entry has to be written again"
            );
            self.rewrite_needed.notify_one();
        }
    }

    /// Keeps this host listed, marks and deletes the entries of lost hosts, and writes patterns of
    /// prompts in quarantine, for the lifetime of the process.
    pub async fn maintain(self: Arc<Registration>, timer: Timer) {
        self.register().await;
        let mut ticks = timer.subscribe(CHECK_INTERVAL);
        loop {
            tokio::select! {
                () = self.rewrite_needed.notified() => self.register().await,
                () = self.mesh.app().quarantine_changed.notified() => {
                    self.patterns.write_changes().await;
                }
                tick = ticks.recv() => {
                    if tick.is_none() {
                        return;
                    }
                    if self.mesh.is_isolated() {
                        self.confirm_own_entry().await;
                    }
                    for step in self.mesh.steps() {
                        self.apply_step(step).await;
                    }
                    self.patterns.write_changes().await;
                    self.builds.write_changes().await;
                }
            }
        }
    }

    /// Writes the entry of this host, and retries until the store has accepted it.
    async fn register(&self) {
        let mut backoff = Backoff::new(RETRY_PAUSE_RANGE.0, RETRY_PAUSE_RANGE.1);
        let value = json!(self.host);
        loop {
            let requested_at = clock::now();
            match self.write_if_changed(&value).await {
                Ok(version) => {
                    tracing::info!(name = %self.name, version, "registered");
                    self.version.store(version, Ordering::Relaxed);
                    self.mesh.record_confirmation(requested_at);
                    return;
                }
                Err(error) => {
                    if backoff.record_failure() {
                        tracing::warn!(%error, "not registered yet");
                    }
                    sleep(backoff.pause()).await;
                }
            }
        }
    }

    /// Writes `value` as the entry of this host, unless the store holds it already. Returns the
    /// entry's version.
    async fn write_if_changed(&self, value: &Value) -> Result<u64, Error> {
        let version = match self.client.read(self.kind, &self.name).await {
            Ok(object) if object.value.as_ref() == Some(value) => return Ok(object.version),
            Ok(object) => object.version,
            Err(Error::Missing) => 0,
            Err(error) => return Err(error),
        };
        self.client.replace_confirmed(self.kind, &self.name, version, value).await
    }

    /// Reads this host's entry from the store. If it is unchanged, records that the host is still
    /// listed; if it is marked, deleted or otherwise changed, requests that it be written again.
    async fn confirm_own_entry(&self) {
        let requested_at = clock::now();
        match self.client.read(self.kind, &self.name).await {
            Ok(object) if object.value.as_ref() == Some(&json!(self.host)) => {
                self.mesh.record_confirmation(requested_at);
            }
            Ok(_) | Err(Error::Missing) => self.rewrite_needed.notify_one(),
            Err(error) => tracing::info!(name = %self.name, %error, "listing not confirmed"),
        }
    }

    /// Marks the entry of a lost host, or deletes it, provided that it still has the version on
    /// which the step was decided.
    async fn apply_step(&self, step: Step) {
        match step {
            Step::Mark(name, version) => {
                let Some(host) = self.mesh.host(&name) else { return };
                let value = json!(Entry { host, lost: true });
                match self.client.replace(self.kind, &name, version, &value).await {
                    Ok(marked_version) => {
                        tracing::warn!(peer = %name, version = marked_version, "peer marked as lost");
                        self.mesh.record_entry(&name, marked_version, true);
                    }
                    Err(error) => {
                        tracing::warn!(peer = %name, version, %error, "peer not marked as lost");
                    }
                }
            }
            Step::Remove(name, version) => {
                match self.client.delete(self.kind, &name, version).await {
                    Ok(_) => {
                        tracing::warn!(peer = %name, version, "lost peer's entry deleted");
                        self.mesh.update_hosts([(name, None)]);
                    }
                    Err(error) => {
                        tracing::warn!(peer = %name, version, %error, "lost peer's entry not deleted");
                    }
                }
            }
        }
    }

    /// Deletes the entry of this host at shutdown, so that the other hosts don't reserve its share
    /// of allowances. Does nothing if it was never written.
    pub async fn deregister(&self) {
        let (name, version) = (&*self.name, self.version.load(Ordering::Relaxed));
        if version == 0 {
            return;
        }
        match timeout(DEREGISTER_TIMEOUT, self.client.delete(self.kind, name, version)).await {
            Ok(Ok(_)) => tracing::info!(name, "deregistered"),
            Ok(Err(error)) => tracing::warn!(name, %error, "not deregistered"),
            Err(_) => {
                tracing::warn!(name, "not deregistered: the store did not answer in time");
            }
        }
    }
}

/// Returns name, version and entry of an object; without an entry if the object was deleted. Logs
/// an entry that can't be read and returns `None`.
fn decode_entry(object: Object) -> Option<(Arc<str>, u64, Option<Entry>)> {
    let entry = object.value.map(parse_entry).transpose().inspect_err(|error| {
        let (host, error) = (excerpt(&object.name), excerpt(error));
        tracing::warn!(host, version = object.version, error, "host entry can't be read");
    });
    Some((object.name, object.version, entry.ok()?))
}

/// Parses the entry of a host. One that listens on all its addresses may state the unspecified one.
fn parse_entry(value: Value) -> Result<Entry, String> {
    let entry: Entry = serde_json::from_value(value).map_err(|error| error.to_string())?;
    let address = entry.host.address;
    if !address.ip().is_unspecified() {
        check_address(address)?;
    }
    Ok(entry)
}

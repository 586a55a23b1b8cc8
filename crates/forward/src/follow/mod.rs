//! Watches the configuration, the backend servers and the evacuated failure domains in the
//! platform's store, and exchanges them with peers.
//!
//! A watch is a call to the store that is answered when something changes or after a timeout. The
//! store may drop a watch without an answer; a host that has reason to suspect that doubts its
//! watch, and lists the objects again. The listing ([`Listing`]) is the set of servers that the
//! store lists, kept through outages of the store.

mod builds;
mod evacuations;
mod hosts;
mod patterns;
mod records;

pub use hosts::{Host, Registration};
pub use records::OriginRecords;

use crate::app::App;
use crate::config::Config;
use chestnutrack_core::dispatch::Entry;
use chestnutrack_core::fetch::{Revision, Version, VersionFetch};
use chestnutrack_core::listing::Listing;
use chestnutrack_core::time::Instant;
use chestnutrack_process::timer::Timer;
use chestnutrack_process::{clock, socket};
use chestnutrack_store::client::{Client, NAME_BYTES_MAX};
use chestnutrack_store::dialect::Freshness;
use chestnutrack_store::dialect::items::excerpt;
use chestnutrack_store::epoch;
use chestnutrack_store::error::Error;
use chestnutrack_store::watcher::{self, Control, Event, RetryMode, Update};
use chestnutrack_wire::frame::ServerRecord;
use hyper::header::HeaderValue;
use rand::Rng;
use serde_json::Value;
use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::watch;

/// Longest wait of a watch, for each host of the fleet and in all. The platform's store may drop a
/// watch silently in an outage. The hosts' watches end at different times, and a host whose call
/// goes unanswered reports that to its peers, which then doubt their own calls. So a dropped watch
/// is noticed within about the time for one host, while the fleet's calls do not grow with the
/// number of hosts.
const WATCH_TIMEOUT_PER_HOST: Duration = Duration::from_millis(1_500);
const WATCH_TIMEOUT_MAX: Duration = Duration::from_secs(20);
/// How long a call that went unanswered is reported to peers.
const DOUBT_REPORT_PERIOD: Duration = Duration::from_secs(3);
/// How long a peer to which the store answers may know other servers before this host doubts its
/// own list.
const DIFFERENCE_TOLERANCE: Duration = Duration::from_millis(800);
/// Pause after an answer about the configuration. A change has to be in force well within two
/// seconds.
const CONFIG_PAUSE: Duration = Duration::from_millis(150);
/// Pause after an answer about the backend servers. A server that drains has to get no new requests
/// well within two seconds.
const SERVERS_PAUSE: Duration = Duration::from_millis(300);
/// Longest wait for a peer's answer before another peer is asked. A large configuration takes some
/// hundred milliseconds on a link of 10 Mbit/s, and so does a list of some thousand servers.
const CONFIG_REPLY_TIMEOUT: Duration = Duration::from_millis(1_000);
const SERVERS_REPLY_TIMEOUT: Duration = Duration::from_millis(500);
/// Time for a new configuration to arrive from the store before a peer is asked for it. It has to
/// be in force within two seconds.
const CONFIG_STORE_HEAD_START: Duration = Duration::from_millis(600);
/// First and longest pause after a call that failed.
const RETRY_PAUSE_RANGE: (Duration, Duration) =
    (Duration::from_millis(50), Duration::from_millis(2_000));
/// Longest pause for each host of the fleet, and the lower bound of the longest pause. All hosts
/// call a store that is down: their calls must not grow with the number of hosts, and the first
/// host that gets an answer reports it to the others.
const RETRY_PAUSE_PER_HOST: Duration = Duration::from_millis(100);
const RETRY_PAUSE_MAX_FLOOR: Duration = Duration::from_millis(500);
/// Time between two checks for missing servers that have not come back in time.
const MISSING_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Kinds of objects in the platform's store that the router uses, and their decoders.
#[derive(Clone, Copy, Debug)]
pub struct Directory {
    /// Kind of the object that holds the configuration.
    pub config_kind: &'static str,
    /// Name of that object.
    pub config_name: &'static str,
    /// Decodes the configuration.
    pub config: fn(&Value) -> Result<Config, String>,
    /// Kind of the objects that list backend servers.
    pub servers_kind: &'static str,
    /// Decodes the entry of a backend server with the given name.
    pub server: fn(&Arc<str>, &Value) -> Result<Entry, String>,
    /// Kind of the objects in which entry hosts publish their addresses.
    pub hosts_kind: &'static str,
    /// Kind of the objects that hold the leases for giving orders to engines.
    pub leases_kind: &'static str,
    /// Kind of the objects that evacuate the failure domains whose names they have.
    pub evacuations_kind: &'static str,
    /// Kind of the objects that hold which builds began streams. No host watches it.
    pub origins_kind: &'static str,
}

/// Keeps the configuration and the list of backend servers up to date, and answers peers about
/// them.
pub struct Follower {
    app: Arc<App>,
    directory: Directory,
    state: Mutex<State>,
    config_watch: watch::Sender<Control>,
    servers_watch: watch::Sender<Control>,
    evacuations_watch: watch::Sender<Control>,
}

/// What is known from the store, and the state of the calls to it.
struct State {
    listing: Listing,
    /// Requests to peers for the configuration and for the servers.
    config_fetch: VersionFetch<Revision>,
    servers_fetch: VersionFetch,
    /// Entries of backend servers as the store holds them.
    stored_entries: BTreeMap<Arc<str>, StoredEntry>,
    /// When the store last answered about the configuration.
    config_answered_at: Option<Instant>,
    is_config_up: bool,
    /// Earliest time at which the calls in flight can have been sent.
    config_sent_at: Instant,
    servers_sent_at: Instant,
    /// The evacuated failure domains.
    evacuations: evacuations::Evacuations,
    /// Epoch of the store, which rises when the store is restored from a copy.
    epoch: u64,
    /// Epoch of the store at the last answer about the servers.
    listed_epoch: u64,
    /// Whether the servers are being listed rather than watched.
    is_listing: bool,
    /// Whether the list of servers has been read completely at least once.
    was_listed: bool,
    /// Whether that list was read, or was received from a peer.
    is_list_whole: bool,
    /// Digest of the known servers.
    digest: u64,
    /// When a call of this host last went unanswered.
    doubted_at: Option<Instant>,
    /// Since when a peer to which the store answers has known other servers.
    differs_since: Option<Instant>,
}

/// Entry of a backend server as the store holds it.
struct StoredEntry {
    version: u64,
    /// Null if it can't be read.
    value: Value,
    /// The decoded entry; `None` if it names no server.
    entry: Option<Entry>,
}

/// Returns the settings of a watcher. `pause` follows each answer and gathers changes, since each
/// answer causes another call of every host. `first` says how old the first list may be.
pub fn watch_settings(pause: Duration, first: Freshness, retry: RetryMode) -> watcher::Settings {
    watcher::Settings {
        first_list: first,
        retry,
        emit_pages: false,
        watch_timeout: WATCH_TIMEOUT_MAX,
        pause,
        retry_min: RETRY_PAUSE_RANGE.0,
        retry_max: RETRY_PAUSE_RANGE.1,
        list_after_failure: true,
    }
}

impl Follower {
    /// Creates a follower that has not read anything from the store yet.
    pub fn new(app: Arc<App>, directory: Directory) -> Arc<Follower> {
        app.follow_builds();
        let control = Control {
            watch_timeout: WATCH_TIMEOUT_PER_HOST,
            relist_requests: 0,
            retry_requests: 0,
            retry_max: RETRY_PAUSE_MAX_FLOOR,
        };
        let state = State {
            listing: Listing::default(),
            config_fetch: VersionFetch::new(CONFIG_REPLY_TIMEOUT),
            servers_fetch: VersionFetch::new(SERVERS_REPLY_TIMEOUT),
            stored_entries: BTreeMap::new(),
            config_answered_at: None,
            is_config_up: false,
            config_sent_at: Instant::default(),
            servers_sent_at: Instant::default(),
            evacuations: evacuations::Evacuations::default(),
            epoch: 0,
            listed_epoch: 0,
            is_listing: true,
            was_listed: false,
            is_list_whole: false,
            digest: 0,
            doubted_at: None,
            differs_since: None,
        };
        Arc::new(Follower {
            app,
            directory,
            state: Mutex::new(state),
            config_watch: watch::Sender::new(control),
            servers_watch: watch::Sender::new(control),
            evacuations_watch: watch::Sender::new(control),
        })
    }

    /// Adapts the longest wait of watches and the longest pause after failures to a fleet of
    /// `hosts` hosts.
    pub fn set_hosts(&self, hosts: usize) {
        let hosts = u32::try_from(hosts).unwrap_or(u32::MAX);
        let max_watch_timeout = WATCH_TIMEOUT_PER_HOST.saturating_mul(hosts).min(WATCH_TIMEOUT_MAX);
        let retry_max = RETRY_PAUSE_PER_HOST
            .saturating_mul(hosts)
            .clamp(RETRY_PAUSE_MAX_FLOOR, RETRY_PAUSE_RANGE.1);
        for watch in self.watches() {
            // A random wait between half of the longest one and all of it, so that the hosts'
            // watches end at different times.
            watch.send_if_modified(|control| {
                control.retry_max = retry_max;
                let out_of_range = control.watch_timeout > max_watch_timeout
                    || control.watch_timeout < max_watch_timeout / 2;
                if out_of_range {
                    control.watch_timeout =
                        max_watch_timeout.mul_f64(rand::rng().random_range(0.5..=1.0));
                }
                out_of_range
            });
        }
    }

    /// Retries the store at once, because it has begun to answer a peer again.
    pub fn retry_store(&self, peer: &str) {
        if self.is_up() {
            return;
        }
        tracing::info!(peer, "store answers a peer, retrying");
        for watch in self.watches() {
            watch.send_modify(|control| control.retry_requests += 1);
        }
    }

    /// Returns what controls the watches.
    fn watches(&self) -> [&watch::Sender<Control>; 3] {
        [&self.config_watch, &self.servers_watch, &self.evacuations_watch]
    }

    /// Lists objects again whose call in flight was sent before `unanswered_at`, a time at which the
    /// store did not answer. A list in progress is not restarted: in a large fleet it takes long,
    /// its pages have timeouts, and until it ends this host necessarily knows other servers than
    /// its peers.
    fn doubt(&self, unanswered_at: Instant, why: &str) {
        let now = clock::now();
        let mut state = self.state();
        if state.config_sent_at < unanswered_at {
            tracing::info!(kind = self.directory.config_kind, why, "watch doubted");
            state.config_sent_at = state.config_sent_at.max(now);
            self.config_watch.send_modify(|control| control.relist_requests += 1);
        }
        drop(state);
        self.doubt_servers(unanswered_at, why);
        let mut state = self.state();
        if self.follows_evacuations() && state.evacuations.doubt(now, unanswered_at) {
            tracing::info!(kind = self.directory.evacuations_kind, why, "watch doubted");
            self.evacuations_watch.send_modify(|control| control.relist_requests += 1);
        }
    }

    /// Lists the servers again, unless that is under way, since nothing has confirmed for long that all are known.
    pub fn confirm_list(&self) {
        self.doubt_servers(clock::now(), "unconfirmed for too long");
    }

    /// Lists the servers again if the watch in flight was sent before `unanswered_at`.
    fn doubt_servers(&self, unanswered_at: Instant, why: &str) {
        let mut state = self.state();
        if state.servers_sent_at < unanswered_at && !state.is_listing {
            tracing::info!(kind = self.directory.servers_kind, why, "watch doubted");
            state.servers_sent_at = state.servers_sent_at.max(clock::now());
            state.is_listing = true;
            self.servers_watch.send_modify(|control| control.relist_requests += 1);
        }
    }

    /// Records that a call of this host failed, and doubts the calls in flight if the call went
    /// unanswered after one that did not fail (`was_up`). Only such a failure says anything about
    /// the calls that other hosts have in flight, and is reported to them.
    fn record_failed_call(&self, error: &Error, was_up: bool) {
        if !was_up || !matches!(error, Error::Unknown(_)) {
            return;
        }
        let now = clock::now();
        self.state().doubted_at = Some(now);
        self.doubt(now, "own call failed");
    }

    /// Returns how long ago a call of this host went unanswered, in milliseconds, or `None` if that
    /// is no longer reported to peers.
    pub fn doubted_ms(&self) -> Option<u32> {
        let elapsed = clock::now().since(self.state().doubted_at?);
        (elapsed < DOUBT_REPORT_PERIOD)
            .then(|| u32::try_from(elapsed.as_millis()).unwrap_or(u32::MAX))
    }

    /// Applies what a peer reports: how long ago one of its calls went unanswered, and whether it
    /// gets answers from the store and knows other servers.
    pub fn apply_peer_doubt(&self, doubted_ms: Option<u32>, servers_differ: bool) {
        let now = clock::now();
        if let Some(ms) = doubted_ms {
            self.doubt(now - Duration::from_millis(u64::from(ms)), "a peer's call failed");
        }
        let mut state = self.state();
        if !servers_differ {
            state.differs_since = None;
            return;
        }
        let differs_since = *state.differs_since.get_or_insert(now);
        if now.since(differs_since) >= DIFFERENCE_TOLERANCE {
            state.differs_since = None;
            drop(state);
            self.doubt(now, "a peer knows other servers");
        }
    }

    /// Returns the epoch of the store, as far as this host knows it.
    pub fn epoch(&self) -> u64 {
        self.state().epoch
    }

    /// Doubts the calls in flight if a peer knows a higher epoch of the store: they may wait for
    /// versions that were given out again.
    pub fn apply_peer_epoch(&self, peer: &str, epoch: u64) {
        let known = self.epoch();
        if epoch > known {
            tracing::info!(peer, epoch, known, "a peer knows a higher epoch of the store");
            self.state().epoch = epoch;
            self.doubt(clock::now(), "a peer knows a higher epoch");
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns `true` if the store answers this host.
    pub fn is_up(&self) -> bool {
        let state = self.state();
        state.is_config_up && state.was_listed && state.listing.is_up()
    }

    /// Returns the digest of the known servers.
    pub fn digest(&self) -> u64 {
        self.state().digest
    }

    /// Returns `true` if the whole list of servers is known, from the store or a peer.
    pub fn is_list_whole(&self) -> bool {
        self.state().is_list_whole
    }

    /// Returns `true` if no server is known.
    pub fn has_no_servers(&self) -> bool {
        self.state().stored_entries.is_empty()
    }

    /// Returns the version of the store up to which all servers are known; 0 if they are not.
    pub fn servers_version(&self) -> u64 {
        self.state().servers_fetch.own_version()
    }

    /// Returns `true` if a peer that knows the servers as of `version` should be asked for them
    /// now, and records the request.
    pub fn should_request_servers(&self, version: u64) -> bool {
        self.state().servers_fetch.try_request(clock::now(), version, Duration::ZERO)
    }

    /// Returns `true` if a peer should be asked now for its newer configuration, and records the
    /// request. If the store answers this host, the configuration is expected from the store first.
    pub fn should_request_config(&self, revision: Revision) -> bool {
        let head_start = if self.is_up() { CONFIG_STORE_HEAD_START } else { Duration::ZERO };
        let mut state = self.state();
        state.config_fetch.record_version(self.app.revision());
        let is_newer = revision.is_newer_than(self.app.revision());
        is_newer && state.config_fetch.try_request(clock::now(), revision, head_start)
    }

    /// Returns the known servers, for a peer.
    pub fn servers(&self) -> Vec<ServerRecord> {
        let state = self.state();
        let records = state.stored_entries.iter().map(|(name, stored)| ServerRecord {
            name: name.clone(),
            version: stored.version,
            entry: stored.value.to_string().into_bytes(),
        });
        records.collect()
    }

    /// Watches the configuration for the lifetime of the process.
    pub async fn follow_config(self: Arc<Follower>, client: Client) {
        let (kind, control) = (self.directory.config_kind, self.config_watch.subscribe());
        let settings = watch_settings(CONFIG_PAUSE, Freshness::Newest, RetryMode::Leader);
        let mut events = watcher::start_controlled(client, kind, settings, control);
        // Version of the last object that was decoded. One that is only listed again isn't decoded again, so that what is odd
        // in it is logged once.
        let mut decoded = 0;
        while let Some(event) = events.recv().await {
            self.state().config_sent_at = clock::now();
            let update = match event {
                Event::Updated(update) => update,
                Event::Failed { error, .. } => {
                    let is_up = error.is_history_gone();
                    let was_up = std::mem::replace(&mut self.state().is_config_up, is_up);
                    self.record_failed_call(&error, was_up);
                    continue;
                }
            };
            let mut state = self.state();
            (state.is_config_up, state.config_answered_at) = (true, Some(clock::now()));
            drop(state);
            let mut objects = update.objects.into_iter();
            let config_object = objects.find(|object| &*object.name == self.directory.config_name);
            if let Some(object) = config_object
                && let Some(value) = object.value
                && std::mem::replace(&mut decoded, object.version) != object.version
            {
                self.apply_config(&value, object.version, "store");
            }
        }
    }

    /// Decodes a configuration and puts it in force if it is newer than the one in force. `object`
    /// is the version of the store's object that holds it, 0 if it is not known, and `source` the
    /// store or the name of a peer.
    fn apply_config(&self, value: &Value, object: u64, source: &str) {
        match (self.directory.config)(value) {
            Ok(config) => {
                let (version, replaced) = (config.version, self.app.version());
                if self.app.configure_from(config, value.to_string().into_bytes(), object) {
                    tracing::info!(version, replaced, object, source, "configuration in force");
                }
            }
            Err(error) => {
                tracing::error!(error = excerpt(&error), source, "configuration can't be read");
            }
        }
    }

    /// Applies a configuration that a peer sent. If it is the one that this host has requested, the
    /// peer has announced which object of the store holds it.
    pub fn apply_peer_config(&self, peer: &str, version: u64, document: &[u8]) {
        let requested = self.state().config_fetch.record_answer();
        let requested = requested.filter(|requested| requested.stated == version);
        let revision = requested.unwrap_or(Revision { stated: version, ..Revision::default() });
        if !revision.is_newer_than(self.app.revision()) {
            return;
        }
        match serde_json::from_slice(document) {
            Ok(value) => self.apply_config(&value, revision.object, peer),
            Err(error) => tracing::error!(%error, peer, "configuration can't be read"),
        }
    }

    /// Watches the backend servers for the lifetime of the process. While servers are missing from
    /// the list, also checks at intervals whether their grace period has passed.
    pub async fn follow_servers(self: Arc<Follower>, client: Client, timer: Timer) {
        let (kind, control) = (self.directory.servers_kind, self.servers_watch.subscribe());
        let settings = watch_settings(SERVERS_PAUSE, Freshness::Any, RetryMode::Follower);
        let settings = watcher::Settings { emit_pages: true, ..settings };
        let mut events = watcher::start_controlled(client, kind, settings, control);
        let mut ticks = None;
        loop {
            tokio::select! {
                event = events.recv() => match event {
                    Some(Event::Updated(update)) => self.apply_update(update),
                    Some(Event::Failed { error, .. }) => self.record_list_failure(&error),
                    None => return,
                },
                Some(_) = next_tick(&mut ticks) => self.check_missing(),
            }
            let has_missing = self.state().listing.has_missing();
            ticks = match (has_missing, ticks) {
                (true, None) => Some(timer.subscribe(MISSING_CHECK_INTERVAL)),
                (true, ticks) => ticks,
                (false, _) => None,
            };
        }
    }

    /// Records that a call about the backend servers failed.
    fn record_list_failure(&self, error: &Error) {
        let mut state = self.state();
        state.servers_sent_at = clock::now();
        // After a failure the watcher lists instead of watching.
        state.is_listing = true;
        let was_up = state.listing.is_up();
        if !error.is_history_gone() {
            state.listing.record_failure();
        }
        drop(state);
        self.record_failed_call(error, was_up);
    }

    /// Applies the store's answer about the backend servers.
    fn apply_update(&self, update: Update) {
        let mut state = self.state();
        state.servers_sent_at = clock::now();
        state.is_listing = update.is_page;
        let is_first = !state.was_listed;
        state.was_listed |= update.is_snapshot;
        if !update.is_page {
            state.servers_fetch.record_version(update.version);
        }
        let epoch = epoch::of(update.version);
        let is_restored = epoch > state.listed_epoch && !is_first;
        state.listed_epoch = state.listed_epoch.max(epoch);
        state.epoch = state.epoch.max(epoch);
        if is_restored {
            state.listing.record_restore(clock::now());
        }
        drop(state);
        if is_restored {
            self.app.record_restore();
        }
        let (is_snapshot, is_page, sent) = (update.is_snapshot, update.is_page, update.sent);
        let entries = update.objects.into_iter().map(|o| (o.name, o.version, o.value)).collect();
        self.apply_entries(is_snapshot, entries);
        // The first list may be older than the call.
        if !is_page && !is_first {
            self.app.confirm_builds_listed(sent, is_snapshot);
        }
    }

    /// Applies server entries by name, with their versions; an entry without a value was deleted.
    /// If `is_snapshot` is `true`, the entries are all that exist.
    fn apply_entries(&self, is_snapshot: bool, entries: Vec<(Arc<str>, u64, Option<Value>)>) {
        let mut state = self.state();
        let mut listed_before = BTreeMap::new();
        if is_snapshot {
            listed_before = std::mem::take(&mut state.stored_entries);
            state.is_list_whole = true;
        }
        let mut decoded_entries = Vec::new();
        for (name, version, value) in entries {
            let known = listed_before.get(&name).or_else(|| state.stored_entries.get(&name));
            let known = known.filter(|known| known.version == version);
            let is_known = known.is_some();
            let Some(value) = value else {
                state.stored_entries.remove(&name);
                decoded_entries.push((name, version, None));
                continue;
            };
            // One that is only listed again isn't decoded again, so that odd values in it are logged once.
            let decoded = known.filter(|known| known.value == value);
            let decoded = decoded.and_then(|known| known.entry.clone());
            let entry = match decoded.map_or_else(|| self.decode_entry(&name, &value), Ok) {
                Ok(entry) => {
                    let stored = StoredEntry { version, value, entry: Some(entry.clone()) };
                    state.stored_entries.insert(name.clone(), stored);
                    // An entry that is only listed again was written some time ago.
                    let cold_ms = entry.cold_ms.filter(|_| !is_known);
                    Some(Entry { cold_ms, ..entry })
                }
                Err(error) => {
                    if !is_known {
                        let (server, error) = (excerpt(&name), excerpt(&error));
                        tracing::warn!(server, version, error, "server entry can't be read");
                    }
                    // It may be large, and peers need no more than its version.
                    let stored = StoredEntry { version, value: Value::Null, entry: None };
                    state.stored_entries.insert(name.clone(), stored);
                    None
                }
            };
            decoded_entries.push((name, version, Some(entry)));
        }
        let changes = state.listing.apply(clock::now(), is_snapshot, decoded_entries);
        let server_count = state.listing.versions().count();
        state.digest = digest(&state.listing);
        drop(state);
        self.app.metrics.servers.set(i64::try_from(server_count).unwrap_or(i64::MAX));
        changes.into_iter().for_each(|change| self.app.apply_change(change));
        if is_snapshot {
            self.app.record_servers_listed();
        }
    }

    /// Decodes the entry of a backend server. The error says why it names none.
    fn decode_entry(&self, name: &Arc<str>, value: &Value) -> Result<Entry, String> {
        check_name(name)?;
        let entry = (self.directory.server)(name, value)?;
        check_address(entry.address)?;
        Ok(entry)
    }

    /// Removes the servers that have been missing for longer than their grace period.
    fn check_missing(&self) {
        let changes = self.state().listing.remove_expired(clock::now());
        changes.into_iter().for_each(|change| self.app.apply_change(change));
    }

    /// Applies the servers that a peer sent, unless the store answers this host and servers are
    /// known.
    pub fn apply_peer_servers(&self, peer: &str, servers: Vec<ServerRecord>) {
        {
            let fetch = &mut self.state().servers_fetch;
            if let Some(version) = fetch.record_answer() {
                fetch.record_version(version);
            }
        }
        if self.is_up() && !self.has_no_servers() {
            return;
        }
        tracing::info!(peer, servers = servers.len(), "servers received from a peer");
        let entries = servers.into_iter().map(|record| {
            // One that can't be read names no server, as in the store.
            let value = serde_json::from_slice(&record.entry).unwrap_or_default();
            (record.name, record.version, Some(value))
        });
        self.apply_entries(true, entries.collect());
        self.state().listing.record_failure();
    }

    /// Updates the metric of the time since the store last answered about the configuration; -1 if
    /// it never did.
    pub fn update_age_metric(&self) {
        let state = self.state();
        let age = state.config_answered_at.map_or(-1, |answered_at| {
            i64::try_from(clock::now().since(answered_at).as_millis()).unwrap_or(i64::MAX)
        });
        self.app.metrics.store_age.with_label_values(&[self.directory.config_kind]).set(age);
    }
}

/// Returns an error for a name that can't be stated in the header of a request.
fn check_name(name: &str) -> Result<(), String> {
    let is_stated = name.trim() == name && HeaderValue::from_str(name).is_ok();
    match is_stated && (1..=NAME_BYTES_MAX).contains(&name.len()) {
        true => Ok(()),
        false => Err(format!("name is not 1 to {NAME_BYTES_MAX} bytes that fit into a header")),
    }
}

/// Returns an error for an address at which no server or host can listen.
fn check_address(address: SocketAddr) -> Result<(), String> {
    match socket::is_dialable(address) {
        true => Ok(()),
        false => Err(format!("no process can listen at {address}")),
    }
}

/// Returns a hash of the names and versions of all known entries, by which hosts compare their
/// lists.
fn digest(listing: &Listing) -> u64 {
    let mut hasher = DefaultHasher::new();
    for (name, version) in listing.versions() {
        (name, version).hash(&mut hasher);
    }
    hasher.finish()
}

/// Returns the next tick, or waits forever without `ticks`.
async fn next_tick<T>(ticks: &mut Option<tokio::sync::mpsc::Receiver<T>>) -> Option<T> {
    match ticks {
        Some(ticks) => ticks.recv().await,
        None => std::future::pending().await,
    }
}

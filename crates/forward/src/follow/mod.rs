//! Follows the configuration and the backend servers in the platform's store.

mod hosts;

pub use hosts::{Host, Registration};

use crate::app::App;
use crate::config::Config;
use chestnutrack_core::dispatch::Entry;
use chestnutrack_core::fetch::VersionFetch;
use chestnutrack_core::listing::Listing;
use chestnutrack_core::time::Instant;
use chestnutrack_process::clock;
use chestnutrack_process::timer::Timer;
use chestnutrack_store::client::Client;
use chestnutrack_store::dialect::Freshness;
use chestnutrack_store::error::Error;
use chestnutrack_store::watcher::{self, Control, Event, RetryMode, Update};
use chestnutrack_wire::frame::ServerRecord;
use rand::Rng;
use serde_json::Value;
use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::watch;

/// How long a watch waits, for each host of the fleet, and at most. The platform's store may swallow
/// a watch in an outage. The hosts' watches end at different times, and a host whose call goes
/// unanswered tells its peers, which doubt their own: so any swallowed watch is noticed within about
/// the time for one host, while the fleet's calls do not grow with the hosts.
const WATCH_PER_HOST: Duration = Duration::from_millis(1_500);
const WATCH_MAX: Duration = Duration::from_secs(20);
/// How long peers are told of a call that went unanswered.
const DOUBT_TOLD: Duration = Duration::from_secs(3);
/// How long another host may know other servers before this host doubts what it knows.
const DIFFERS_FOR: Duration = Duration::from_millis(800);
/// Pause after an answer about the configuration; a change is in force well within two seconds.
const CONFIG_PAUSE: Duration = Duration::from_millis(150);
/// Pause after an answer about the backend servers; one that leaves gets nothing new well within two
/// seconds.
const SERVERS_PAUSE: Duration = Duration::from_millis(300);
/// How long a peer's answer is waited for before another peer is asked: a large configuration takes a link of
/// 10 Mbit/s some hundred milliseconds, and so does a list of some thousand servers.
const CONFIG_WITHIN: Duration = Duration::from_millis(1_000);
const SERVERS_WITHIN: Duration = Duration::from_millis(500);
/// Time that a new configuration is given to come from the store before a peer is asked for it; it has to be
/// in force within two seconds.
const CONFIG_BY_ITSELF: Duration = Duration::from_millis(600);
/// First and longest pause after a call that failed.
const RETRY: (Duration, Duration) = (Duration::from_millis(50), Duration::from_millis(2_000));
/// Longest pause for each host of the fleet, and at least. All hosts call a store that is away: their calls
/// do not grow with the hosts, and the first that is answered tells the others.
const RETRY_PER_HOST: Duration = Duration::from_millis(100);
const RETRY_LEAST: Duration = Duration::from_millis(500);
/// Time between looks at servers that are missing and may come back.
const LOOK_EVERY: Duration = Duration::from_millis(100);

/// Where a platform keeps what the router follows, and how it is read.
#[derive(Clone, Copy, Debug)]
pub struct Directory {
    /// Kind of the object that holds the configuration.
    pub config_kind: &'static str,
    /// Name of that object.
    pub config_name: &'static str,
    /// Reads the configuration.
    pub config: fn(&Value) -> Result<Config, String>,
    /// Kind of the objects that list backend servers.
    pub servers_kind: &'static str,
    /// Reads the entry of a backend server under its name.
    pub server: fn(&Arc<str>, &Value) -> Result<Entry, String>,
    /// Kind of the objects in which entry hosts tell where they are.
    pub hosts_kind: &'static str,
    /// Kind of the objects that say which host may give orders.
    pub leases_kind: &'static str,
}

/// What is followed, and what peers are told of it.
pub struct Follower {
    app: Arc<App>,
    directory: Directory,
    state: Mutex<State>,
    config_watch: watch::Sender<Control>,
    servers_watch: watch::Sender<Control>,
}

struct State {
    listing: Listing,
    /// Peers that are asked for the configuration and for the servers.
    config_inquiry: VersionFetch,
    servers_inquiry: VersionFetch,
    /// Entries as the store holds them, with their versions.
    raw: BTreeMap<Arc<str>, (u64, Value)>,
    /// When the store answered last about the configuration.
    config_at: Option<Instant>,
    config_up: bool,
    /// When the calls under way were sent, at the earliest.
    config_sent: Instant,
    servers_sent: Instant,
    /// Whether the servers are being listed, not watched.
    is_listing: bool,
    /// Whether the servers were listed whole once.
    was_listed: bool,
    /// Digest of the servers that are known.
    digest: u64,
    /// When a call of this host last went unanswered.
    doubted_at: Option<Instant>,
    /// Since when a peer to which the store answers knows other servers.
    differs_since: Option<Instant>,
}

/// How the store is watched, with a pause after each answer in which changes are gathered: each
/// answer is a call of every host; and how old the first list may be.
pub fn watching(pause: Duration, first: Freshness, retry: RetryMode) -> watcher::Settings {
    watcher::Settings {
        first_list: first,
        retry,
        emit_pages: false,
        watch_timeout: WATCH_MAX,
        pause,
        retry_min: RETRY.0,
        retry_max: RETRY.1,
        list_after_failure: true,
    }
}

impl Follower {
    /// Follows nothing yet.
    pub fn new(app: Arc<App>, directory: Directory) -> Arc<Follower> {
        let control = Control {
            watch_timeout: WATCH_PER_HOST,
            relist_requests: 0,
            retry_requests: 0,
            retry_max: RETRY_LEAST,
        };
        let state = State {
            listing: Listing::default(),
            config_inquiry: VersionFetch::new(CONFIG_WITHIN),
            servers_inquiry: VersionFetch::new(SERVERS_WITHIN),
            raw: BTreeMap::new(),
            config_at: None,
            config_up: false,
            config_sent: Instant::default(),
            servers_sent: Instant::default(),
            is_listing: true,
            was_listed: false,
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
        })
    }

    /// Sets how long watches wait for a fleet of so many hosts.
    pub fn set_hosts(&self, hosts: usize) {
        let hosts = u32::try_from(hosts).unwrap_or(u32::MAX);
        let longest = WATCH_PER_HOST.saturating_mul(hosts).min(WATCH_MAX);
        let retry_max = RETRY_PER_HOST.saturating_mul(hosts).clamp(RETRY_LEAST, RETRY.1);
        for watch in [&self.config_watch, &self.servers_watch] {
            // Between half of the longest and all of it, so that hosts' watches end at different
            // times.
            watch.send_if_modified(|control| {
                control.retry_max = retry_max;
                let other = control.watch_timeout > longest || control.watch_timeout < longest / 2;
                if other {
                    control.watch_timeout = longest.mul_f64(rand::rng().random_range(0.5..=1.0));
                }
                other
            });
        }
    }

    /// Takes in that the store answers a peer again that it did not answer before.
    pub fn hear_back(&self, peer: &str) {
        if self.is_up() {
            return;
        }
        tracing::info!(peer, "a peer was answered, so the store is tried");
        for watch in [&self.config_watch, &self.servers_watch] {
            watch.send_modify(|control| control.retry_requests += 1);
        }
    }

    /// Doubts calls that were sent before a moment at which the store did not answer. A list under way
    /// is left alone: in a large fleet it takes long, its pages are bounded in time, and while it goes
    /// on this host knows other servers than its peers.
    fn doubt(&self, at: Instant, why: &str) {
        let now = clock::now();
        let mut state = self.state();
        if state.config_sent < at {
            tracing::info!(kind = self.directory.config_kind, why, "watch doubted");
            state.config_sent = state.config_sent.max(now);
            self.config_watch.send_modify(|control| control.relist_requests += 1);
        }
        if state.servers_sent < at && !state.is_listing {
            tracing::info!(kind = self.directory.servers_kind, why, "watch doubted");
            state.servers_sent = state.servers_sent.max(now);
            state.is_listing = true;
            self.servers_watch.send_modify(|control| control.relist_requests += 1);
        }
    }

    /// Notes that a call of this host failed, and whether the one before did not: only that says
    /// something of the calls that others have under way.
    fn note_doubt(&self, error: &Error, was_up: bool) {
        if !was_up || !matches!(error, Error::Unknown(_)) {
            return;
        }
        let now = clock::now();
        self.state().doubted_at = Some(now);
        self.doubt(now, "own call failed");
    }

    /// How long ago a call of this host went unanswered, in milliseconds, for peers.
    pub fn doubted_ms(&self) -> Option<u32> {
        let ago = clock::now().since(self.state().doubted_at?);
        (ago < DOUBT_TOLD).then(|| u32::try_from(ago.as_millis()).unwrap_or(u32::MAX))
    }

    /// Takes in that a call of a peer went unanswered, and whether a peer to which the store answers
    /// knows other servers.
    pub fn hear_doubt(&self, doubted_ms: Option<u32>, differs: bool) {
        let now = clock::now();
        if let Some(ms) = doubted_ms {
            self.doubt(now - Duration::from_millis(u64::from(ms)), "a peer's call failed");
        }
        let mut state = self.state();
        if !differs {
            state.differs_since = None;
            return;
        }
        let since = *state.differs_since.get_or_insert(now);
        if now.since(since) >= DIFFERS_FOR {
            state.differs_since = None;
            drop(state);
            self.doubt(now, "a peer knows other servers");
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether the store answers this host.
    pub fn is_up(&self) -> bool {
        let state = self.state();
        state.config_up && state.was_listed && state.listing.is_up()
    }

    /// Digest of the servers that are known.
    pub fn digest(&self) -> u64 {
        self.state().digest
    }

    /// Whether no server is known.
    pub fn knows_none(&self) -> bool {
        self.state().raw.is_empty()
    }

    /// Version of the store up to which all servers are known; 0 where they are not.
    pub fn servers_version(&self) -> u64 {
        self.state().servers_inquiry.own_version()
    }

    /// Whether a peer is asked now for the servers that it knows as of a version.
    pub fn ask_servers(&self, version: u64) -> bool {
        self.state().servers_inquiry.try_request(clock::now(), version, Duration::ZERO)
    }

    /// Whether a peer is asked now for a newer configuration that it has. Where the store answers this
    /// host, it comes from there.
    pub fn ask_config(&self, version: u64) -> bool {
        let by_itself = if self.is_up() { CONFIG_BY_ITSELF } else { Duration::ZERO };
        let mut state = self.state();
        state.config_inquiry.record_version(self.app.version());
        let newer = version > state.config_inquiry.own_version();
        newer && state.config_inquiry.try_request(clock::now(), version, by_itself)
    }

    /// The servers that are known, for a peer.
    pub fn servers(&self) -> Vec<ServerRecord> {
        let state = self.state();
        let raw = state.raw.iter().map(|(name, (version, value))| ServerRecord {
            name: name.clone(),
            version: *version,
            entry: value.to_string().into_bytes(),
        });
        raw.collect()
    }

    /// Follows the configuration until the process ends.
    pub async fn follow_config(self: Arc<Follower>, client: Client) {
        let (kind, control) = (self.directory.config_kind, self.config_watch.subscribe());
        let settings = watching(CONFIG_PAUSE, Freshness::Newest, RetryMode::Leader);
        let mut events = watcher::start_controlled(client, kind, settings, control);
        while let Some(event) = events.recv().await {
            self.state().config_sent = clock::now();
            let update = match event {
                Event::Updated(update) => update,
                Event::Failed { error, .. } => {
                    let up = error.is_history_gone();
                    let was_up = std::mem::replace(&mut self.state().config_up, up);
                    self.note_doubt(&error, was_up);
                    continue;
                }
            };
            let mut state = self.state();
            (state.config_up, state.config_at) = (true, Some(clock::now()));
            drop(state);
            let mut objects = update.objects.into_iter();
            let newest = objects.find(|object| &*object.name == self.directory.config_name);
            if let Some(value) = newest.and_then(|object| object.value) {
                self.take_config(&value, "store");
            }
        }
    }

    fn take_config(&self, value: &Value, source: &str) {
        match (self.directory.config)(value) {
            Ok(config) => {
                let version = config.version;
                if self.app.configure(config, value.to_string().into_bytes()) {
                    tracing::info!(version, source, "configuration in force");
                }
            }
            Err(error) => tracing::error!(%error, source, "configuration can't be read"),
        }
    }

    /// Takes in a configuration that a peer has.
    pub fn hear_config(&self, peer: &str, version: u64, document: &[u8]) {
        self.state().config_inquiry.record_answer();
        if version <= self.app.version() {
            return;
        }
        match serde_json::from_slice(document) {
            Ok(value) => self.take_config(&value, peer),
            Err(error) => tracing::error!(%error, peer, "configuration can't be read"),
        }
    }

    /// Follows the backend servers until the process ends.
    pub async fn follow_servers(self: Arc<Follower>, client: Client, timer: Timer) {
        let (kind, control) = (self.directory.servers_kind, self.servers_watch.subscribe());
        let settings = watching(SERVERS_PAUSE, Freshness::Any, RetryMode::Follower);
        let settings = watcher::Settings { emit_pages: true, ..settings };
        let mut events = watcher::start_controlled(client, kind, settings, control);
        let mut looks = None;
        loop {
            tokio::select! {
                event = events.recv() => match event {
                    Some(Event::Updated(update)) => self.take_update(update),
                    Some(Event::Failed { error, .. }) => self.note_failed(&error),
                    None => return,
                },
                Some(_) = next(&mut looks) => self.look(),
            }
            let missing = self.state().listing.has_missing();
            looks = match (missing, looks) {
                (true, None) => Some(timer.subscribe(LOOK_EVERY)),
                (true, looks) => looks,
                (false, _) => None,
            };
        }
    }

    fn note_failed(&self, error: &Error) {
        let mut state = self.state();
        state.servers_sent = clock::now();
        // The watcher lists after a failure.
        state.is_listing = true;
        let was_up = state.listing.is_up();
        if !error.is_history_gone() {
            state.listing.record_failure();
        }
        drop(state);
        self.note_doubt(error, was_up);
    }

    fn take_update(&self, update: Update) {
        let mut state = self.state();
        state.servers_sent = clock::now();
        state.is_listing = update.is_page;
        state.was_listed |= update.is_snapshot;
        if !update.is_page {
            state.servers_inquiry.record_version(update.version);
        }
        drop(state);
        let entries = update.objects.into_iter().map(|o| (o.name, o.version, o.value)).collect();
        self.take_entries(update.is_snapshot, entries);
    }

    fn take_entries(&self, whole: bool, entries: Vec<(Arc<str>, u64, Option<Value>)>) {
        let mut state = self.state();
        if whole {
            state.raw.clear();
        }
        let mut listed = Vec::new();
        for (name, version, value) in entries {
            let entry = value.as_ref().map(|value| self.read(&name, value));
            match value {
                Some(value) => drop(state.raw.insert(name.clone(), (version, value))),
                None => drop(state.raw.remove(&name)),
            }
            listed.push((name, version, entry));
        }
        let changes = state.listing.apply(clock::now(), whole, listed);
        let known = state.listing.versions().count();
        state.digest = digest(&state.listing);
        drop(state);
        self.app.metrics.servers.set(i64::try_from(known).unwrap_or(i64::MAX));
        changes.into_iter().for_each(|change| self.app.change(change));
    }

    fn read(&self, name: &Arc<str>, value: &Value) -> Option<Entry> {
        let entry = (self.directory.server)(name, value);
        entry.inspect_err(|error| tracing::warn!(server = %name, %error, "entry names none")).ok()
    }

    fn look(&self) {
        let changes = self.state().listing.remove_expired(clock::now());
        changes.into_iter().for_each(|change| self.app.change(change));
    }

    /// Takes in the servers that a peer knows, while the store doesn't answer this host.
    pub fn hear_servers(&self, peer: &str, servers: Vec<ServerRecord>) {
        {
            let inquiry = &mut self.state().servers_inquiry;
            if let Some(version) = inquiry.record_answer() {
                inquiry.record_version(version);
            }
        }
        if self.is_up() && !self.knows_none() {
            return;
        }
        tracing::info!(peer, servers = servers.len(), "servers heard from a peer");
        let entries = servers.into_iter().filter_map(|news| {
            let value = serde_json::from_slice(&news.entry).ok()?;
            Some((news.name, news.version, Some(value)))
        });
        self.take_entries(true, entries.collect());
        self.state().listing.record_failure();
    }

    /// Shows the age of what is believed.
    pub fn show_ages(&self) {
        let state = self.state();
        let age = state
            .config_at
            .map_or(-1, |at| i64::try_from(clock::now().since(at).as_millis()).unwrap_or(i64::MAX));
        self.app.metrics.store_age.with_label_values(&[self.directory.config_kind]).set(age);
    }
}

fn digest(listing: &Listing) -> u64 {
    let mut hasher = DefaultHasher::new();
    for (name, version) in listing.versions() {
        (name, version).hash(&mut hasher);
    }
    hasher.finish()
}

async fn next<T>(ticks: &mut Option<tokio::sync::mpsc::Receiver<T>>) -> Option<T> {
    match ticks {
        Some(ticks) => ticks.recv().await,
        None => std::future::pending().await,
    }
}

//! Dispatch of requests: admission, queueing, and choice of a backend server.
//!
//! A generation is placed on a decode engine whose forecast memory has room for it next to the
//! generations already there. Its prompt is prefilled only after that, because a prefilled prompt
//! without memory on a decode engine is wasted work. If no engine has room, the request waits as
//! long as its first token can still come in time, and is otherwise refused at once. Each host
//! decides on its own, using its peers' reports of their generations; waiting requests of all hosts
//! are admitted in order of priority, and then of age.
//!
//! Engines are backend servers that run a model, for prefill or for decode. Other backend servers
//! belong to plain services, which have no engine. In a large fleet, hosts and servers are divided
//! into cells; a host prefers the servers of its own cell.

mod admission;
mod callers;
mod cold;
mod engine;
mod evacuation;
mod leaving;
mod peer;
mod plain;
mod prefix;
mod priority;
mod residency;
mod shuffle;
mod stage;
#[cfg(test)]
mod tests;
mod throttle;

pub use admission::{Effect, Refusal, RefusalReason, Request, Ticket};
pub use callers::RefusedCallers;
pub use cold::{COLD_MAX, ColdBound, ColdChange, ColdSource, ColdStart};
pub use engine::{LengthEstimate, Placement, PlacementBasis, Prefill};
pub use evacuation::{EvacuationChange, EvacuationList, EvacuationState};
pub use plain::{Choice, PlainOutcome};
pub use residency::Residency;
pub use stage::SplitChange;
pub use throttle::LimitChange;

use crate::cell::Cell;
use crate::forecast;
use crate::health::Health;
use crate::listing;
use crate::origin::unlisted_build;
use crate::plan;
use crate::prefix::Index;
use crate::queue::{self, Queue};
use crate::time::Instant;
use peer::Peer;
use serde::{Deserialize, Serialize};
use slotmap::{SecondaryMap, SlotMap, new_key_type};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

new_key_type! {
    /// Identifies a backend server. A server that restarts under the same name gets a new key.
    pub struct ServerKey;
    /// Identifies a generation of this host.
    pub struct GenerationKey;
}

/// Work that an engine does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Stage {
    /// Prefills prompts.
    Prefill,
    /// Generates tokens.
    Decode,
}

impl Stage {
    /// Returns the name used in logs.
    pub fn name(self) -> &'static str {
        match self {
            Stage::Prefill => "prefill",
            Stage::Decode => "decode",
        }
    }
}

/// A backend server as listed by the platform.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Name of the server.
    pub name: Arc<str>,
    /// When the server started, in milliseconds since 1970 by its own clock. Distinguishes restarts
    /// under the same name.
    pub born: Option<u64>,
    /// Version of the server's software; empty if it states none.
    #[serde(default)]
    pub build: Arc<str>,
    /// Service that the server belongs to.
    pub service: Arc<str>,
    /// Address of the server.
    pub address: SocketAddr,
    /// Failure domain of the server.
    pub failure_domain: Arc<str>,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Whether the server is shutting down and must not get new requests.
    pub leaving: bool,
    /// Stage of an engine, or `None` for a server of a plain service.
    pub stage: Option<Stage>,
    /// How much longer the server stays cold, in milliseconds; 0 if it is warm, `None` if the entry says nothing new of it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub cold_ms: Option<u32>,
}

impl Entry {
    /// Returns whether the process is known only from itself, so that its build is not.
    fn is_unlisted(&self) -> bool {
        self.born.is_some_and(|born| self.build == unlisted_build(&self.name, born))
    }

    /// Returns whether a later entry of the same name is of the same process. It may be the first that says its build.
    fn is_same_process(&self, later: &Entry) -> bool {
        (self.address, self.born) == (later.address, later.born)
            && (self.build == later.build || self.is_unlisted())
    }
}

/// A change to the list of servers.
pub type Change = listing::Change<Entry>;

/// Outcome of a connection or request to a backend server, by which it is avoided or used again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The server answered, possibly with an error or with a refusal other than
    /// [`Outcome::Refusal`].
    Answer,
    /// The server answered that it has no room, although it was expected to have room.
    Refusal,
    /// The server broke off the connection before its answer was complete, or sent one that can't be right.
    Failure,
    /// The server did not answer, or go on, in time.
    Timeout,
    /// There is no connection: the server's address refuses connections or does not respond.
    Unreachable,
}

/// Settings of dispatch decisions.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// Memory forecast.
    pub forecast: forecast::Settings,
    /// Fraction of an engine's memory that may be allocated.
    pub memory_fraction: f64,
    /// Queue of waiting requests.
    pub queue: queue::Settings,
    /// Split of engines between prefill and decode.
    pub plan: plan::Settings,
    /// Maximum time for which a request waits whose first token is already late.
    pub late_wait: Duration,
    /// Shortest and longest retry time given to refused callers.
    pub retry_after: (Duration, Duration),
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            forecast: forecast::Settings::default(),
            memory_fraction: 0.98,
            queue: queue::Settings::default(),
            plan: plan::Settings::default(),
            late_wait: Duration::from_millis(2_000),
            retry_after: (Duration::from_millis(300), Duration::from_millis(8_000)),
        }
    }
}

/// A backend server and this host's state about it.
#[derive(Clone, Debug)]
struct Server {
    entry: Entry,
    health: Health,
    stats: plain::Stats,
    /// Requests of this host that the server has not finished.
    in_flight: u32,
    /// Prompt tokens of this host that the server has been asked to prefill and has not finished.
    prefill_tokens: u64,
    /// Decode speed of a generation.
    speed: engine::SpeedEstimate,
    /// Whether another server answered at this server's address. The server counts as gone until
    /// its entry changes.
    replaced: bool,
    /// Whether the server itself has said in an answer that it is shutting down.
    says_leaving: bool,
    /// Until when the server has asked this host for no requests.
    backoff_until: Instant,
    /// When the current stage change ends. Until then the engine gets no new requests.
    stage_change_until: Instant,
    /// Whether the server belongs to this host's cell.
    in_cell: bool,
    /// Whether the server's failure domain is evacuated.
    evacuated: bool,
    /// Until when the server is cold. Meanwhile its speed says nothing about its health.
    cold_until: Instant,
    /// Region of the server's failure domain, if the settings state it.
    region: Option<Arc<str>>,
}

impl Server {
    /// Returns `true` if the server is open, so that it may get new requests: it is not leaving, was
    /// not replaced, and its failure domain is not evacuated.
    fn is_open(&self) -> bool {
        !self.entry.leaving && !self.says_leaving && !self.replaced && !self.evacuated
    }

    /// Returns `true` if the server is cold.
    fn is_cold(&self, now: Instant) -> bool {
        now < self.cold_until
    }

    /// Returns `true` if the server is open and has not asked this host for no requests.
    fn accepts(&self, now: Instant) -> bool {
        self.is_open() && self.backoff_until <= now
    }
}

/// Makes the dispatch decisions of one host. `T` is attached by the caller to each waiting request.
#[derive(Debug)]
pub struct Dispatch<T> {
    settings: Settings,
    failure_domain: Arc<str>,
    cell: Cell,
    servers: SlotMap<ServerKey, Server>,
    keys_by_name: HashMap<Arc<str>, ServerKey>,
    /// Generations of this host that have not ended.
    generations: SlotMap<GenerationKey, engine::ActiveGeneration>,
    /// State shared by all engines of a service, by service.
    pools: HashMap<Arc<str>, engine::Pool>,
    /// Observed load of the engines, by service.
    loads: HashMap<Arc<str>, stage::Load>,
    queue: Queue<(Request, T)>,
    /// Prefixes that prefill engines are believed to hold, and what is to be reported of them.
    prefixes: Index<ServerKey>,
    unreported_prefixes: Vec<prefix::Record>,
    /// Prefixes of the prompts of this host's generations.
    prompts: SecondaryMap<GenerationKey, prefix::Prompt>,
    /// Servers that have left, which a restored store may list again.
    departed: leaving::Departed,
    /// Failure domains whose servers get no new requests.
    evacuations: evacuation::Evacuations,
    /// Builds at which no resumable stream may begin, by service.
    unannounced_builds: BTreeMap<Arc<str>, BTreeSet<Arc<str>>>,
    /// Region of each failure domain.
    regions: BTreeMap<Arc<str>, Arc<str>>,
    /// Ordered by name, so that runs are reproducible.
    peers: BTreeMap<Arc<str>, Peer>,
    pending_retries: admission::PendingRetries,
    /// Priorities of the services' requests.
    priorities: priority::Priorities,
    /// Numbers that decide which less urgent requests wait among the most urgent. They differ
    /// between hosts.
    floor_draws: shuffle::Sequence,
    /// Requests that found no room when they came.
    shortage: priority::Shortage,
    /// Requests that were evicted while another was submitted, until the next tick.
    evicted: Vec<Effect<T>>,
    /// Limits that servers state for their requests.
    throttle: throttle::Throttle,
    /// Numbers by which candidates are shuffled to break ties.
    shuffle_seeds: shuffle::Sequence,
}

impl<T> Dispatch<T> {
    /// Creates the dispatch state of a host in `failure_domain`.
    pub fn new(settings: Settings, failure_domain: Arc<str>) -> Dispatch<T> {
        Dispatch {
            settings,
            failure_domain,
            cell: Cell::default(),
            servers: SlotMap::with_key(),
            keys_by_name: HashMap::new(),
            generations: SlotMap::with_key(),
            pools: HashMap::new(),
            loads: HashMap::new(),
            queue: Queue::new(settings.queue),
            prefixes: Index::default(),
            unreported_prefixes: Vec::new(),
            prompts: SecondaryMap::new(),
            departed: leaving::Departed::default(),
            evacuations: evacuation::Evacuations::default(),
            unannounced_builds: BTreeMap::new(),
            regions: BTreeMap::new(),
            peers: BTreeMap::new(),
            pending_retries: admission::PendingRetries::default(),
            priorities: priority::Priorities::default(),
            floor_draws: priority::floor_draws(0),
            shortage: priority::Shortage::default(),
            evicted: Vec::new(),
            throttle: throttle::Throttle::default(),
            shuffle_seeds: shuffle::Sequence::default(),
        }
    }

    /// Returns the cell that this host belongs to.
    pub fn cell(&self) -> Cell {
        self.cell
    }

    /// Sets the cell that this host belongs to.
    pub fn set_cell(&mut self, cell: Cell) {
        self.cell = cell;
        for server in self.servers.values_mut() {
            server.in_cell = cell.contains(&server.entry.name);
        }
    }

    /// Adds or updates a server. Returns its key, and whether anything changed.
    ///
    /// A server that is listed under the same name but with another address, start time or build has
    /// restarted: the former server is removed, and the new one gets a new key and no history.
    ///
    /// A server that has left stays out though a store that was restored from a copy lists it again. So does a process that
    /// another one has followed, though the list names it until the entry of that one has come.
    pub fn put(&mut self, now: Instant, mut entry: Entry) -> (ServerKey, bool) {
        if let Some(&key) = self.keys_by_name.get(&entry.name)
            && self.is_superseded(now, &entry)
        {
            return (key, false);
        }
        entry.leaving |= self.is_departed(now, &entry);
        let evacuated = self.evacuations.covers(&entry.failure_domain);
        let region = self.regions.get(&entry.failure_domain).cloned();
        let departed = self.departed.process(now, &entry.name);
        let is_new = departed.is_none_or(|(born, _)| born != entry.born);
        let mut was_used = departed.is_some_and(|(_, elapsed)| elapsed < cold::LATE_ENTRY_TIME);
        if let Some(&key) = self.keys_by_name.get(&entry.name) {
            was_used = true;
            let server = &mut self.servers[key];
            if server.entry.is_same_process(&entry) {
                // How long it stays cold changes with each entry.
                let changed = Entry { cold_ms: entry.cold_ms, ..server.entry.clone() } != entry;
                // Once its entry has changed, the server no longer counts as replaced.
                server.replaced &= !changed;
                if server.entry.stage != entry.stage {
                    server.stage_change_until = Instant::default();
                }
                (server.entry, server.evacuated, server.region) = (entry, evacuated, region);
                self.apply_cold_entry(now, key, false, true);
                return (key, changed);
            }
            self.remove(now, &entry.name);
        }
        let name = entry.name.clone();
        let in_cell = self.cell.contains(&name);
        let server = Server {
            entry,
            health: Health::default(),
            stats: plain::Stats::default(),
            in_flight: 0,
            prefill_tokens: 0,
            speed: engine::SpeedEstimate::default(),
            replaced: false,
            says_leaving: false,
            backoff_until: Instant::default(),
            stage_change_until: Instant::default(),
            in_cell,
            evacuated,
            cold_until: Instant::default(),
            region,
        };
        self.throttle.record_start(now, &name, server.entry.born);
        let key = self.servers.insert(server);
        self.keys_by_name.insert(name, key);
        self.apply_cold_entry(now, key, is_new, was_used);
        (key, true)
    }

    /// Removes a server. Returns its key, or `None` if the name is unknown.
    pub fn remove(&mut self, now: Instant, name: &str) -> Option<ServerKey> {
        let key = self.keys_by_name.remove(name)?;
        if let Some(server) = self.servers.remove(key) {
            self.departed.record(now, &server.entry);
        }
        self.prefixes.forget(key);
        Some(key)
    }

    /// Returns the names of all servers.
    pub fn names(&self) -> impl Iterator<Item = &Arc<str>> {
        self.keys_by_name.keys()
    }

    /// Returns the platform's entry for a server.
    pub fn entry(&self, key: ServerKey) -> Option<&Entry> {
        self.servers.get(key).map(|server| &server.entry)
    }

    /// Returns the platform's entry for the server with a name.
    pub fn entry_of(&self, name: &str) -> Option<&Entry> {
        self.keys_by_name.get(name).map(|key| &self.servers[*key].entry)
    }

    /// Returns whether a server is known and may get new requests from this host now.
    pub fn accepts(&self, now: Instant, key: ServerKey) -> bool {
        self.servers.get(key).is_some_and(|server| server.accepts(now))
    }

    /// Records the outcome of a connection or request to a server.
    pub fn record_outcome(&mut self, now: Instant, key: ServerKey, outcome: Outcome) {
        let Some(server) = self.servers.get_mut(key) else { return };
        match outcome {
            Outcome::Answer => server.health.record_success(),
            // A cold server is slow. What was not in time may have been sent while it was cold.
            Outcome::Timeout if server.is_cold(now - cold::TIMEOUT_MAX) => {}
            Outcome::Refusal => server.health.record_refusal(now),
            Outcome::Failure | Outcome::Timeout => server.health.record_failure(now),
            Outcome::Unreachable => server.health.record_unreachable(now),
        }
    }

    /// Records that another server answered at this server's address.
    pub fn mark_replaced(&mut self, key: ServerKey) {
        if let Some(server) = self.servers.get_mut(key) {
            server.replaced = true;
        }
    }
}

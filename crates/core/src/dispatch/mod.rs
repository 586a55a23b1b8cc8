//! Where requests go: which backend server, when, and what those are told that can't be served.
//!
//! A generation goes to an engine whose memory will hold it together with all that runs there, by
//! forecast; only then is its prompt prefilled elsewhere, since a prefilled prompt that finds no
//! room is work in vain. One that finds no room waits while its first token can still come in
//! time, and is refused at once where it can't. Every host decides for itself with what its peers
//! told it of their own generations; waiting requests of all hosts take their turns by age.

mod callers;
mod engine;
mod news;
mod plain;
mod stage;
#[cfg(test)]
mod tests;
mod turn;

pub use callers::Callers;
pub use engine::{Basis, Length, Placement, Prefill};
pub use plain::{Choice, Ended};
pub use turn::{Ask, Effect, Refusal, Wait};

use crate::cell::Cell;
use crate::forecast;
use crate::health::Health;
use crate::listing;
use crate::plan;
use crate::queue::{self, Queue};
use crate::time::Instant;
use news::Peer;
use serde::{Deserialize, Serialize};
use slotmap::{SlotMap, new_key_type};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

new_key_type! {
    /// A backend server; a new start under the same name is another one.
    pub struct Key;
    /// A generation of this host.
    pub struct Run;
}

/// What an engine does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Stage {
    /// It prefills prompts.
    Prefill,
    /// It generates.
    Decode,
}

impl Stage {
    /// Name in logs.
    pub fn name(self) -> &'static str {
        match self {
            Stage::Prefill => "prefill",
            Stage::Decode => "decode",
        }
    }
}

/// A backend server, as the platform lists it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Name.
    pub name: Arc<str>,
    /// When it started, in milliseconds since 1970 by its own clock; tells starts under one name
    /// apart.
    pub born: Option<u64>,
    /// Service.
    pub service: Arc<str>,
    /// Address.
    pub address: SocketAddr,
    /// Failure domain.
    pub failure_domain: Arc<str>,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it is leaving and must get no new request.
    pub leaving: bool,
    /// What it does as an engine; absent for a plain service.
    pub stage: Option<Stage>,
}

/// A change of the listed servers.
pub type Change = listing::Change<Entry>;

/// How a server met a connection or an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Met {
    /// It answered, be it with an error or a refusal.
    Answer,
    /// It said that it has no room, though it seemed to.
    Refusal,
    /// It did not answer, or broke an answer off.
    Failure,
    /// It can't be reached: its address refuses connections or does not answer.
    Nothing,
}

/// Bounds on decisions.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// Forecast of memory.
    pub forecast: forecast::Settings,
    /// Part of an engine's memory that may be planned with.
    pub memory: f64,
    /// Waiting requests.
    pub queue: queue::Settings,
    /// How engines are split between prefilling and generating.
    pub plan: plan::Settings,
    /// How long a request waits whose first token is late already.
    pub late_wait: Duration,
    /// Shortest and longest time after which refused callers are asked to come back.
    pub retry: (Duration, Duration),
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            forecast: forecast::Settings::default(),
            memory: 0.98,
            queue: queue::Settings::default(),
            plan: plan::Settings::default(),
            late_wait: Duration::from_millis(2_000),
            retry: (Duration::from_millis(300), Duration::from_millis(8_000)),
        }
    }
}

/// A backend server and what this host has under way there.
#[derive(Clone, Debug)]
struct Server {
    entry: Entry,
    health: Health,
    record: plain::Record,
    /// Requests of this host under way.
    running: u32,
    /// Prompt tokens that this host waits for to be prefilled there.
    prefilling: u64,
    /// Tokens that a generation makes in a millisecond.
    tokens_per_ms: f64,
    /// Another server answered at its address: it is gone, unless its entry changes.
    replaced: bool,
    /// It changes its stage until then.
    changing_until: Instant,
    /// It belongs to this host's cell.
    own: bool,
}

impl Server {
    /// Whether it may be given a new request, as far as the platform and its answers say.
    fn is_open(&self) -> bool {
        !self.entry.leaving && !self.replaced
    }
}

/// Decides for one host. `T` is what the owner keeps with a request that waits.
#[derive(Debug)]
pub struct Dispatch<T> {
    settings: Settings,
    near: Arc<str>,
    cell: Cell,
    servers: SlotMap<Key, Server>,
    names: HashMap<Arc<str>, Key>,
    runs: SlotMap<Run, engine::Running>,
    pools: HashMap<Arc<str>, engine::Pool>,
    queue: Queue<(Ask, T)>,
    /// In the order of their names, so that a run repeats exactly.
    peers: BTreeMap<Arc<str>, Peer>,
    promises: turn::Promises,
    draws: u64,
}

impl<T> Dispatch<T> {
    /// Decides for a host in a failure domain.
    pub fn new(settings: Settings, near: Arc<str>) -> Dispatch<T> {
        Dispatch {
            settings,
            near,
            cell: Cell::default(),
            servers: SlotMap::with_key(),
            names: HashMap::new(),
            runs: SlotMap::with_key(),
            pools: HashMap::new(),
            queue: Queue::new(settings.queue),
            peers: BTreeMap::new(),
            promises: turn::Promises::default(),
            draws: 0,
        }
    }

    /// The cell that this host belongs to.
    pub fn cell(&self) -> Cell {
        self.cell
    }

    /// Sets the cell that this host belongs to.
    pub fn set_cell(&mut self, cell: Cell) {
        self.cell = cell;
        for server in self.servers.values_mut() {
            server.own = cell.contains(&server.entry.name);
        }
    }

    /// Puts an entry in force; returns the server's key, and whether anything is new.
    pub fn put(&mut self, entry: Entry) -> (Key, bool) {
        if let Some(&key) = self.names.get(&entry.name) {
            let server = &mut self.servers[key];
            if server.entry.address == entry.address && server.entry.born == entry.born {
                let changed = server.entry != entry;
                server.replaced &= !changed;
                if server.entry.stage != entry.stage {
                    server.changing_until = Instant::default();
                }
                server.entry = entry;
                return (key, changed);
            }
            self.remove(&entry.name);
        }
        let name = entry.name.clone();
        let own = self.cell.contains(&name);
        let server = Server {
            entry,
            health: Health::default(),
            record: plain::Record::default(),
            running: 0,
            prefilling: 0,
            tokens_per_ms: engine::TOKENS_PER_MS,
            replaced: false,
            changing_until: Instant::default(),
            own,
        };
        let key = self.servers.insert(server);
        self.names.insert(name, key);
        (key, true)
    }

    /// Forgets a backend server; returns its key.
    pub fn remove(&mut self, name: &str) -> Option<Key> {
        let key = self.names.remove(name)?;
        self.servers.remove(key);
        Some(key)
    }

    /// The servers' names.
    pub fn names(&self) -> impl Iterator<Item = &Arc<str>> {
        self.names.keys()
    }

    /// What the platform lists of a server.
    pub fn entry(&self, key: Key) -> Option<&Entry> {
        self.servers.get(key).map(|server| &server.entry)
    }

    /// Whether a server may still be given a new request.
    pub fn is_open(&self, key: Key) -> bool {
        self.servers.get(key).is_some_and(Server::is_open)
    }

    /// Notes how a server met a connection or an answer.
    pub fn note(&mut self, now: Instant, key: Key, met: Met) {
        let Some(server) = self.servers.get_mut(key) else { return };
        match met {
            Met::Answer => server.health.note_answered(),
            Met::Refusal => server.health.note_refused(now),
            Met::Failure => server.health.note_failed(now),
            Met::Nothing => server.health.note_unreachable(now),
        }
    }

    /// Notes that another server answered at a server's address.
    pub fn note_replaced(&mut self, key: Key) {
        if let Some(server) = self.servers.get_mut(key) {
            server.replaced = true;
        }
    }

    /// The next number of a sequence that spreads evenly, to break ties by.
    fn draw(&mut self) -> u64 {
        /// The golden ratio's fraction of 2^64.
        const STEP: u64 = 0x9e37_79b9_7f4a_7c15;
        self.draws = self.draws.wrapping_add(STEP);
        self.draws
    }
}

//! An entry host's side of a run: the table, the record and the queue that ship, and what the
//! request path does with them.

use super::engine::prefill_time;
use super::load::{Arrival, organisations};
use super::settings::{Choice, Settings};
use chestnutrack_core::place::{self, Key, Load, PrefixIndex, Query, Server, Table};
use chestnutrack_core::queue::{self, Queue, Waiting};
use chestnutrack_core::subset;
use chestnutrack_core::time::Instant;
use chestnutrack_document::model::Role;
use chestnutrack_wire::frame;
use rand::SeedableRng;
use rand::seq::IteratorRandom;
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// Time allowed for the transfer and the first step.
const TRANSFER_ALLOWANCE: Duration = Duration::from_millis(40);
/// Times of a prefill allowed for the prefill and its queue.
const PREFILL_ALLOWANCE: u32 = 2;
/// Name of the one pool.
pub const POOL: &str = "model";

/// A request that this host works on.
#[derive(Clone, Debug, Default)]
pub struct Active {
    /// Index among the arrivals.
    pub arrival: usize,
    /// The attempt, counted from 1.
    pub attempt: u32,
    /// Decode server, once it has been asked.
    pub decode: Option<Key>,
    /// Prefill server, once it has been asked.
    pub prefill: Option<Key>,
    /// The KV cache, once it is ready.
    pub kv: Option<frame::Kv>,
    /// Whether the slot is reserved.
    pub reserved: bool,
    /// Servers that refused it.
    pub passed_over: Vec<Arc<str>>,
}

/// One entry host.
pub struct Entry {
    /// Servers that it talks to.
    pub table: Table,
    /// Which prompts went where.
    pub prefixes: PrefixIndex,
    /// Requests that wait; the item is the arrival's index.
    pub queue: Queue<usize>,
    /// Requests that it works on, by the arrival's index.
    pub active: BTreeMap<usize, Active>,
    /// Number of each server in the world.
    pub numbers: BTreeMap<Key, usize>,
    /// Key of each server of the world that it talks to.
    pub keys: BTreeMap<usize, Key>,
    /// Its random source.
    pub rng: ChaCha8Rng,
}

impl Entry {
    /// An entry host that talks to its subset of the servers.
    pub fn new(settings: &Settings, number: usize, servers: &[(Arc<str>, Role)]) -> Entry {
        let members: Vec<Arc<str>> = (0..settings.entries).map(name).collect();
        let mut entry = Entry {
            table: Table::with_key(),
            prefixes: PrefixIndex::default(),
            queue: Queue::new(queue::Settings::default()),
            active: BTreeMap::new(),
            numbers: BTreeMap::new(),
            keys: BTreeMap::new(),
            rng: ChaCha8Rng::seed_from_u64(settings.seed * 7_919 + number as u64),
        };
        for role in [Role::Prefill, Role::Decode] {
            let of_role = servers.iter().filter(|server| server.1 == role);
            let names: Vec<Arc<str>> = of_role.map(|server| server.0.clone()).collect();
            let chosen = subset::choose(&name(number), &members, &names, settings.subset);
            for (number, (server, _)) in servers.iter().enumerate() {
                if chosen.contains(server) {
                    entry.add(number, server.clone(), role, settings.slots);
                }
            }
        }
        entry
    }

    fn add(&mut self, number: usize, server: Arc<str>, role: Role, slots: u32) {
        let key = self.table.insert(Server {
            slots,
            kv_tokens: super::engine::KV_TOKENS,
            connected: true,
            ..Server::new(server, POOL.into(), role, "a".into())
        });
        self.numbers.insert(key, number);
        self.keys.insert(number, key);
    }

    /// Takes a request into the queue; false when it is refused.
    pub fn wait(
        &mut self,
        settings: &Settings,
        now: Instant,
        index: usize,
        arrival: &Arrival,
        returned: bool,
    ) -> bool {
        let fair = settings.policy.fair;
        let organisation = if fair { arrival.organisation } else { 0 };
        let waiting = Waiting {
            organisation: organisations(settings)[organisation].clone(),
            may_wait: false,
            tokens: u64::from(arrival.prompt_tokens + arrival.output_tokens),
            arrived: arrival.at,
            target: target(settings, arrival),
            deadline: arrival.at + settings.deadline,
            returned,
            item: index,
        };
        self.queue.push(now, waiting).is_ok()
    }

    /// Gives the next turn, and the decode server it goes to where one is reserved first.
    pub fn turn(
        &mut self,
        settings: &Settings,
        now: Instant,
        arrivals: &[Arrival],
    ) -> Option<(usize, Option<Key>)> {
        let (table, rng, active) = (&self.table, &mut self.rng, &self.active);
        let policy = settings.policy;
        let (waiting, key) = self.queue.dequeue(now, |waiting| {
            if !policy.reserve_first {
                return Some(None);
            }
            let request = active.get(&waiting.item);
            let ask = ask(&arrivals[waiting.item], request);
            choose_decode(policy.choice, table, &ask, now, rng).map(Some)
        })?;
        Some((waiting.item, key))
    }

    /// Chooses a decode server for a request whose KV cache is ready.
    pub fn late_decode(&mut self, settings: &Settings, now: Instant, ask: &Query) -> Option<Key> {
        choose_decode(settings.policy.choice, &self.table, ask, now, &mut self.rng)
    }

    /// Chooses a prefill server.
    pub fn prefill(&mut self, settings: &Settings, now: Instant, ask: &Query) -> Option<Key> {
        match settings.policy.choice {
            Choice::Informed => {
                place::prefill(&self.table, &self.prefixes, ask, now, &mut self.rng)
            }
            Choice::Random => random(&self.table, Role::Prefill, ask, &mut self.rng),
        }
    }

    /// Notes a report of load.
    pub fn loaded(&mut self, now: Instant, server: usize, load: frame::Load) {
        let Some(server) = self.keys.get(&server).and_then(|key| self.table.get_mut(*key)) else {
            return;
        };
        let load = Load {
            used: load.used,
            waiting: load.waiting,
            kv_used: load.kv_used,
            free_in_ms: load.free_in_ms,
            queued_tokens: load.queued_tokens,
        };
        server.record_load(now, load);
    }

    /// Notes that a request has left a server.
    pub fn left(&mut self, key: Option<Key>) {
        if let Some(server) = key.and_then(|key| self.table.get_mut(key)) {
            server.record_finished();
        }
    }
}

/// When a request's turn must come for its first token to come in time.
pub fn target(settings: &Settings, arrival: &Arrival) -> Instant {
    let prefill = prefill_time(arrival.prompt_tokens);
    (arrival.at + settings.first_token) - PREFILL_ALLOWANCE * prefill - TRANSFER_ALLOWANCE
}

/// What is asked of a server for a request.
pub fn ask(arrival: &Arrival, active: Option<&Active>) -> Query {
    Query {
        pool: POOL.into(),
        kv_tokens: u64::from(arrival.prompt_tokens + arrival.output_tokens),
        prompt_tokens: u64::from(arrival.prompt_tokens),
        avoided: active.map(|active| active.passed_over.clone()).unwrap_or_default(),
        ..Query::default()
    }
}

fn choose_decode(
    choice: Choice,
    table: &Table,
    ask: &Query,
    now: Instant,
    rng: &mut ChaCha8Rng,
) -> Option<Key> {
    match choice {
        Choice::Informed => place::decode(table, ask, now, rng),
        Choice::Random => random(table, Role::Decode, ask, rng),
    }
}

fn random(table: &Table, role: Role, ask: &Query, rng: &mut ChaCha8Rng) -> Option<Key> {
    let fits = |server: &Server| {
        server.role == role && server.is_available() && !ask.avoided.contains(&server.name)
    };
    table.iter().filter(|(_, server)| fits(server)).map(|(key, _)| key).choose(rng)
}

fn name(number: usize) -> Arc<str> {
    format!("entry-{number}").into()
}

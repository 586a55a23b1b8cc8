//! Simulated entry host: the production server table, prefix index and request queue, with a
//! reduced request path.

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

/// Part of the time to first token that is reserved for the transfer and the first decode step.
const TRANSFER_ALLOWANCE: Duration = Duration::from_millis(40);
/// Part of the time to first token that is reserved for the prefill and its queueing, as a
/// multiple of the prefill's duration.
const PREFILL_ALLOWANCE_FACTOR: u32 = 2;
/// Name of the only pool.
pub const POOL: &str = "model";

/// A request that this entry host has in its queue or in flight.
#[derive(Clone, Debug, Default)]
pub struct ActiveRequest {
    /// Index of the request among the arrivals.
    pub arrival: usize,
    /// Number of the current attempt; 0 before the first.
    pub attempt: u32,
    /// Decode server that was asked for a reservation.
    pub decode: Option<Key>,
    /// Prefill server that was asked for the prefill.
    pub prefill: Option<Key>,
    /// Handle of the KV cache, once the prefill has finished.
    pub kv: Option<frame::Kv>,
    /// Whether the decode slot is reserved.
    pub reserved: bool,
    /// Names of the servers that refused the request.
    pub refused_by: Vec<Arc<str>>,
}

/// State of one entry host.
pub struct EntryHost {
    /// Servers in the subset of this entry host.
    pub table: Table,
    /// Prefix-cache index that prefill placement reads; it stays empty in a scripted run.
    pub prefixes: PrefixIndex,
    /// Requests that wait for admission; an item is the index of an arrival.
    pub queue: Queue<usize>,
    /// Requests in the queue or in flight, by index of the arrival.
    pub active: BTreeMap<usize, ActiveRequest>,
    /// Index among all servers of each server in the table.
    pub server_indices: BTreeMap<Key, usize>,
    /// Key in the table of each server in the subset, by index among all servers.
    pub server_keys: BTreeMap<usize, Key>,
    /// Random number generator of this entry host.
    pub rng: ChaCha8Rng,
}

impl EntryHost {
    /// Creates an entry host that is connected to its subset of the servers.
    pub fn new(settings: &Settings, entry_index: usize, servers: &[(Arc<str>, Role)]) -> EntryHost {
        let members: Vec<Arc<str>> = (0..settings.entry_hosts).map(entry_host_name).collect();
        let mut entry = EntryHost {
            table: Table::with_key(),
            prefixes: PrefixIndex::default(),
            queue: Queue::new(queue::Settings::default()),
            active: BTreeMap::new(),
            server_indices: BTreeMap::new(),
            server_keys: BTreeMap::new(),
            rng: ChaCha8Rng::seed_from_u64(settings.seed * 7_919 + entry_index as u64),
        };
        for role in [Role::Prefill, Role::Decode] {
            let servers_of_role = servers.iter().filter(|server| server.1 == role);
            let names: Vec<Arc<str>> = servers_of_role.map(|server| server.0.clone()).collect();
            let chosen = subset::choose_servers(
                &entry_host_name(entry_index),
                &members,
                &names,
                settings.subset,
            );
            for (server_index, (server, _)) in servers.iter().enumerate() {
                if chosen.contains(server) {
                    entry.add(server_index, server.clone(), role, settings.slots);
                }
            }
        }
        entry
    }

    /// Adds a server to the table and to both maps between indices and keys.
    fn add(&mut self, server_index: usize, server: Arc<str>, role: Role, slots: u32) {
        let key = self.table.insert(Server {
            slots,
            kv_tokens: super::engine::KV_CACHE_TOKENS,
            connected: true,
            ..Server::new(server, POOL.into(), role, "a".into())
        });
        self.server_indices.insert(key, server_index);
        self.server_keys.insert(server_index, key);
    }

    /// Adds a request to the queue. Returns `false` if the queue refuses it.
    pub fn enqueue(
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
            rank: 0,
            tokens: u64::from(arrival.prompt_tokens + arrival.output_tokens),
            arrived: arrival.at,
            target: admission_target(settings, arrival),
            deadline: arrival.at + settings.deadline,
            returned,
            item: index,
        };
        self.queue.push(now, waiting).is_ok()
    }

    /// Admits the next request from the queue. Returns its index among the arrivals, which is the
    /// item in the queue, and, if the policy reserves the decode slot first, the chosen decode
    /// server.
    pub fn admit_next(
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
            let query = placement_query(&arrivals[waiting.item], request);
            choose_decode(policy.choice, table, &query, now, rng).map(Some)
        })?;
        Some((waiting.item, key))
    }

    /// Chooses a decode server for a request whose prefill has finished.
    pub fn choose_late_decode(
        &mut self,
        settings: &Settings,
        now: Instant,
        query: &Query,
    ) -> Option<Key> {
        choose_decode(settings.policy.choice, &self.table, query, now, &mut self.rng)
    }

    /// Chooses a prefill server for a request.
    pub fn choose_prefill(
        &mut self,
        settings: &Settings,
        now: Instant,
        query: &Query,
    ) -> Option<Key> {
        match settings.policy.choice {
            Choice::Informed => {
                place::choose_prefill(&self.table, &self.prefixes, query, now, &mut self.rng)
            }
            Choice::Random => choose_random(&self.table, Role::Prefill, query, &mut self.rng),
        }
    }

    /// Records the load that a server reported.
    pub fn record_load(&mut self, now: Instant, server: usize, load: frame::Load) {
        let Some(server) = self.server_keys.get(&server).and_then(|key| self.table.get_mut(*key))
        else {
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

    /// Records that a request no longer occupies a server.
    pub fn record_finished(&mut self, key: Option<Key>) {
        if let Some(server) = key.and_then(|key| self.table.get_mut(key)) {
            server.record_finished();
        }
    }
}

/// Returns the time by which a request must be admitted for its first token to meet the target.
pub fn admission_target(settings: &Settings, arrival: &Arrival) -> Instant {
    let prefill = prefill_time(arrival.prompt_tokens);
    (arrival.at + settings.first_token_target)
        - PREFILL_ALLOWANCE_FACTOR * prefill
        - TRANSFER_ALLOWANCE
}

/// Returns the placement query for a request; servers that refused it are avoided.
pub fn placement_query(arrival: &Arrival, active: Option<&ActiveRequest>) -> Query {
    Query {
        pool: POOL.into(),
        kv_tokens: u64::from(arrival.prompt_tokens + arrival.output_tokens),
        prompt_tokens: u64::from(arrival.prompt_tokens),
        avoided: active.map(|active| active.refused_by.clone()).unwrap_or_default(),
        ..Query::default()
    }
}

/// Chooses a decode server by the policy of the run.
fn choose_decode(
    choice: Choice,
    table: &Table,
    query: &Query,
    now: Instant,
    rng: &mut ChaCha8Rng,
) -> Option<Key> {
    match choice {
        Choice::Informed => place::choose_decode(table, query, now, rng),
        Choice::Random => choose_random(table, Role::Decode, query, rng),
    }
}

/// Chooses at random among the available servers of a role that have not refused the request.
fn choose_random(table: &Table, role: Role, query: &Query, rng: &mut ChaCha8Rng) -> Option<Key> {
    let is_eligible = |server: &Server| {
        server.role == role && server.is_available() && !query.avoided.contains(&server.name)
    };
    table.iter().filter(|(_, server)| is_eligible(server)).map(|(key, _)| key).choose(rng)
}

fn entry_host_name(entry_index: usize) -> Arc<str> {
    format!("entry-{entry_index}").into()
}

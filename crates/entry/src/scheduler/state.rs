//! State of the scheduler's actor, and how each message changes it.
//!
//! Requests wait in one queue for each pool and role. A queue is dispatched, that is, its requests
//! are placed while a server has room, whenever one is queued or finishes, the servers or their
//! load change, and at each tick.

use super::handle::{InFlight, Outcome, Placement, Scheduler};
use super::servers::Servers;
use super::{Arguments, Message, PlaceRequest, Rejection};
use crate::link::{Link, Notice};
use chestnutrack_core::place::{self, Key, Load, PrefixIndex, Query};
use chestnutrack_core::queue::{Queue, Refusal, Settings, Waiting};
use chestnutrack_core::time::Instant;
use chestnutrack_document::model::Role;
use chestnutrack_fleet::Snapshot;
use chestnutrack_process::clock;
use chestnutrack_process::timer::Tick;
use chestnutrack_wire::frame;
use ractor::ActorRef;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::oneshot;

/// Interval at which the state of the servers is published to operators.
const PUBLISH_INTERVAL: Duration = Duration::from_millis(250);
/// Time after which to retry a request that found a full queue or reached its deadline there, in
/// milliseconds.
const RETRY_AFTER_MS: u64 = 1_000;

/// Queue of waiting requests for each pool and role.
type Queues = HashMap<(Arc<str>, Role), Queue<PlaceRequest>>;

/// State of the scheduler's actor.
pub struct State {
    arguments: Arguments,
    actor: ActorRef<Message>,
    servers: Servers,
    prefixes: PrefixIndex,
    queues: Queues,
    rng: ChaCha8Rng,
    waiting_per_organisation: usize,
    /// When the state of the servers was last published.
    views_published_at: Instant,
}

impl State {
    /// Creates the state of a scheduler that has no configuration yet.
    pub(super) fn new(arguments: Arguments, actor: ActorRef<Message>) -> State {
        let rng = ChaCha8Rng::seed_from_u64(arguments.seed);
        State {
            arguments,
            actor,
            servers: Servers::default(),
            prefixes: PrefixIndex::default(),
            queues: Queues::new(),
            rng,
            waiting_per_organisation: Settings::default().max_per_organisation,
            views_published_at: Instant::default(),
        }
    }

    /// Applies a new configuration. A snapshot that contains no document is ignored.
    pub(super) fn configure(&mut self, snapshot: &Arc<Snapshot>) {
        let Some(document) = &snapshot.document else { return };
        self.waiting_per_organisation =
            usize::try_from(document.bounds.waiting_per_organisation).unwrap_or(usize::MAX);
        for queue in self.queues.values_mut() {
            queue.set_max_per_organisation(self.waiting_per_organisation);
        }
        self.servers.configure(snapshot, &self.arguments, &self.actor);
        self.publish_server_views(clock::now());
        self.dispatch_all();
    }

    /// Stores a link that was started, and places requests that waited for it.
    pub(super) fn add_link(&mut self, key: Key, link: Link) {
        self.servers.add_link(key, link);
        self.dispatch_all();
    }

    /// Queues a request, or rejects it if the queue is full or its deadline can't be met.
    pub(super) fn enqueue(&mut self, waiting: Waiting<PlaceRequest>) {
        let now = clock::now();
        let queue_key = (waiting.item.query.pool.clone(), waiting.item.role);
        let settings =
            Settings { max_per_organisation: self.waiting_per_organisation, ..Settings::default() };
        let queue = self.queues.entry(queue_key.clone()).or_insert_with(|| Queue::new(settings));
        if let Err(refused) = queue.push(now, waiting) {
            let _ = refused.item.reply.send(Err(rejection(refused.reason)));
        }
        self.dispatch(&queue_key);
    }

    /// Dispatches every queue.
    fn dispatch_all(&mut self) {
        let queue_keys: Vec<_> = self.queues.keys().cloned().collect();
        queue_keys.iter().for_each(|queue_key| self.dispatch(queue_key));
    }

    /// Places the requests of a queue for as long as a server has room for the next one. Requests
    /// whose task no longer waits for a placement are dropped. For a request to a decode server,
    /// the placement also says how much work its prefill is expected to be.
    fn dispatch(&mut self, queue_key: &(Arc<str>, Role)) {
        let now = clock::now();
        loop {
            let Some(queue) = self.queues.get_mut(queue_key) else { return };
            let (servers, rng) = (&self.servers, &mut self.rng);
            let dequeued = queue.dequeue(now, |waiting| {
                let request = &waiting.item;
                if request.reply.is_closed() {
                    return Some(None);
                }
                let choose = if request.role == Role::Plain {
                    place::choose_plain
                } else {
                    place::choose_decode
                };
                let key = choose(&servers.table, &request.query, now, rng)?;
                servers.link(key).map(|link| Some((key, link)))
            });
            let Some((waiting, chosen)) = dequeued else { return };
            let Some((key, link)) = chosen else { continue };
            let PlaceRequest { role, query, reply } = waiting.item;
            let prefill_work = (role == Role::Decode)
                .then(|| place::prefill_work(&self.servers.table, &self.prefixes, &query, now))
                .flatten();
            let reason = self.servers.describe(key, now);
            self.servers.table[key].record_sent(query.prompt_tokens);
            let placement = self.placement(key, link, reason, prefill_work);
            let _ = reply.send(Ok(placement));
        }
    }

    /// Places a prompt on a prefill server at once; replies `None` if none is available. Records
    /// that the server will hold the prompt's pieces (the parts by which prompts with a common
    /// beginning are recognised), so that later prompts can be placed where they are cached.
    pub(super) fn place_prefill(
        &mut self,
        query: &Query,
        reply: oneshot::Sender<Option<Placement>>,
    ) {
        let now = clock::now();
        let table = &self.servers.table;
        let key = place::choose_prefill(table, &self.prefixes, query, now, &mut self.rng);
        let placement = key.and_then(|key| {
            let link = self.servers.link(key)?;
            let held_tokens =
                self.prefixes.holders(&query.pieces, now).get(&key).copied().unwrap_or(0);
            let reason =
                format!("{}, {held_tokens} prompt tokens held", self.servers.describe(key, now));
            let queued_tokens = self.servers.table[key].expected_queue_tokens();
            let prefill_work = queued_tokens + query.prompt_tokens.saturating_sub(held_tokens);
            self.servers.table[key].record_sent(query.prompt_tokens);
            self.prefixes.record(key, &query.pieces, now, now);
            Some(self.placement(key, link, reason.into(), Some(prefill_work)))
        });
        let _ = reply.send(placement);
    }

    /// Returns the placement of a request on a server, with the guard that counts it as in flight.
    fn placement(
        &self,
        key: Key,
        link: Link,
        reason: Arc<str>,
        prefill_work: Option<u64>,
    ) -> Placement {
        Placement {
            server: self.servers.table[key].name.clone(),
            link,
            reason,
            prefill_work,
            in_flight: InFlight { scheduler: Scheduler(self.actor.clone()), key },
        }
    }

    /// Records that a request is no longer in flight to a server, and places waiting requests. A
    /// server that was removed from the configuration is deleted with its last request.
    pub(super) fn request_finished(&mut self, key: Key) {
        let Some(server) = self.servers.table.get_mut(key) else { return };
        server.record_finished();
        let queue_key = (server.pool.clone(), server.role);
        self.servers.remove_idle_unconfigured();
        self.dispatch(&queue_key);
    }

    /// Records the outcome of a request at a server, on which later placements depend.
    pub(super) fn record_outcome(&mut self, key: Key, outcome: Outcome) {
        let Some(server) = self.servers.table.get_mut(key) else { return };
        match outcome {
            Outcome::Full { retry_after } => server.record_full(clock::now(), retry_after),
            Outcome::Failed => server.record_failure(clock::now()),
            Outcome::Answered => server.record_success(),
        }
    }

    /// Applies a status change or load report of a server. Only a status change is published to
    /// operators at once.
    pub(super) fn apply_notice(&mut self, key: Key, notice: Notice) {
        let Some(server) = self.servers.table.get_mut(key) else { return };
        match notice {
            Notice::Up => {
                server.connected = true;
                server.draining = false;
            }
            Notice::Down => server.connected = false,
            Notice::Draining => server.draining = true,
            Notice::Loaded(load) => server.record_load(clock::now(), load_from_wire(load)),
        }
        let queue_key = (server.pool.clone(), server.role);
        if !matches!(notice, Notice::Loaded(_)) {
            self.publish_server_views(clock::now());
        }
        self.dispatch(&queue_key);
    }

    /// Publishes the state of the servers to operators.
    fn publish_server_views(&mut self, now: Instant) {
        self.views_published_at = now;
        self.arguments.views.send_replace(self.servers.views(now));
    }

    /// Rejects requests whose deadline has passed, places waiting ones, and updates the gauge of
    /// reachable side processes and the published state of the servers.
    pub(super) fn tick(&mut self, tick: Tick) {
        for queue in self.queues.values_mut() {
            for waiting in queue.expire(tick.now, |waiting| waiting.item.reply.is_closed()) {
                let _ = waiting.item.reply.send(Err(Rejection::Deadline(RETRY_AFTER_MS)));
            }
        }
        self.dispatch_all();
        let reachable = i64::try_from(self.servers.reachable_count()).unwrap_or(i64::MAX);
        self.arguments.metrics.links.set(reachable);
        if tick.now.since(self.views_published_at) >= PUBLISH_INTERVAL {
            self.publish_server_views(tick.now);
        }
    }
}

/// Converts a queue's refusal into the reason that the request's task gets.
fn rejection(refusal: Refusal) -> Rejection {
    match refusal {
        Refusal::OrganisationFull | Refusal::Full => Rejection::Full(RETRY_AFTER_MS),
        Refusal::Deadline { wait_ms } => Rejection::Deadline(wait_ms),
    }
}

/// Converts a load report from the wire into the one that placement uses.
fn load_from_wire(load: frame::Load) -> Load {
    Load {
        used: load.used,
        waiting: load.waiting,
        kv_used: load.kv_used,
        free_in_ms: load.free_in_ms,
        queued_tokens: load.queued_tokens,
    }
}

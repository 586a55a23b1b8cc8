//! The actor's state and what it does with each message.

use super::handle::{InFlight, Outcome, Placement, Scheduler};
use super::servers::Servers;
use super::{Arguments, Message, PlacementRequest, Rejection};
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

/// Time between views of the servers for operators.
const SHOW_EVERY: Duration = Duration::from_millis(250);
/// When to come back where too many wait, in milliseconds.
const FULL_RETRY_MS: u64 = 1_000;

type Queues = HashMap<(Arc<str>, Role), Queue<PlacementRequest>>;

/// State of the actor.
pub struct State {
    arguments: Arguments,
    actor: ActorRef<Message>,
    servers: Servers,
    prefixes: PrefixIndex,
    queues: Queues,
    rng: ChaCha8Rng,
    waiting_per_organisation: usize,
    shown: Instant,
}

impl State {
    pub(super) fn new(arguments: Arguments, actor: ActorRef<Message>) -> State {
        let rng = ChaCha8Rng::seed_from_u64(arguments.seed);
        State {
            arguments,
            actor,
            servers: Servers::default(),
            prefixes: PrefixIndex::default(),
            queues: Queues::new(),
            rng,
            waiting_per_organisation: Settings::default().per_organisation,
            shown: Instant::default(),
        }
    }

    pub(super) fn configure(&mut self, snapshot: &Arc<Snapshot>) {
        let Some(document) = &snapshot.document else { return };
        self.waiting_per_organisation =
            usize::try_from(document.bounds.waiting_per_organisation).unwrap_or(usize::MAX);
        for queue in self.queues.values_mut() {
            queue.set_per_organisation(self.waiting_per_organisation);
        }
        self.servers.configure(snapshot, &self.arguments, &self.actor);
        self.show(clock::now());
        self.dispatch_all();
    }

    pub(super) fn linked(&mut self, key: Key, link: Link) {
        self.servers.linked(key, link);
        self.dispatch_all();
    }

    pub(super) fn wait(&mut self, waiting: Waiting<PlacementRequest>) {
        let now = clock::now();
        let name = (waiting.item.query.pool.clone(), waiting.item.role);
        let settings =
            Settings { per_organisation: self.waiting_per_organisation, ..Settings::default() };
        let queue = self.queues.entry(name.clone()).or_insert_with(|| Queue::new(settings));
        if let Err(refused) = queue.push(now, waiting) {
            let _ = refused.item.reply.send(Err(late(refused.reason)));
        }
        self.dispatch(&name);
    }

    fn dispatch_all(&mut self) {
        let names: Vec<_> = self.queues.keys().cloned().collect();
        names.iter().for_each(|name| self.dispatch(name));
    }

    /// Gives turns while there is room.
    fn dispatch(&mut self, name: &(Arc<str>, Role)) {
        let now = clock::now();
        loop {
            let Some(queue) = self.queues.get_mut(name) else { return };
            let (servers, rng) = (&self.servers, &mut self.rng);
            let taken = queue.dequeue(now, |waiting| {
                let want = &waiting.item;
                if want.reply.is_closed() {
                    return Some(None);
                }
                let choose = if want.role == Role::Plain { place::plain } else { place::decode };
                let key = choose(&servers.table, &want.query, now, rng)?;
                servers.link(key).map(|link| Some((key, link)))
            });
            let Some((waiting, placed)) = taken else { return };
            let Some((key, link)) = placed else { continue };
            let PlacementRequest { role, query, reply } = waiting.item;
            let prefill_work = (role == Role::Decode)
                .then(|| place::prefill_work(&self.servers.table, &self.prefixes, &query, now))
                .flatten();
            let reason = self.servers.describe(key, now);
            self.servers.table[key].record_sent(query.prompt_tokens);
            let turn = self.turn(key, link, reason, prefill_work);
            let _ = reply.send(Ok(turn));
        }
    }

    pub(super) fn prefill(&mut self, query: &Query, reply: oneshot::Sender<Option<Placement>>) {
        let now = clock::now();
        let table = &self.servers.table;
        let key = place::prefill(table, &self.prefixes, query, now, &mut self.rng);
        let turn = key.and_then(|key| {
            let link = self.servers.link(key)?;
            let held = self.prefixes.holders(&query.pieces, now).get(&key).copied().unwrap_or(0);
            let reason = format!("{}, {held} prompt tokens held", self.servers.describe(key, now));
            let queued = self.servers.table[key].expected_queue_tokens();
            let work = queued + query.prompt_tokens.saturating_sub(held);
            self.servers.table[key].record_sent(query.prompt_tokens);
            self.prefixes.record(key, &query.pieces, now);
            Some(self.turn(key, link, reason.into(), Some(work)))
        });
        let _ = reply.send(turn);
    }

    fn turn(&self, key: Key, link: Link, reason: Arc<str>, prefill_work: Option<u64>) -> Placement {
        Placement {
            server: self.servers.table[key].name.clone(),
            link,
            reason,
            prefill_work,
            in_flight: InFlight { scheduler: Scheduler(self.actor.clone()), key },
        }
    }

    pub(super) fn left(&mut self, key: Key) {
        let Some(server) = self.servers.table.get_mut(key) else { return };
        server.record_finished();
        let name = (server.pool.clone(), server.role);
        self.servers.sweep();
        self.dispatch(&name);
    }

    pub(super) fn took(&mut self, key: Key, took: Outcome) {
        let Some(server) = self.servers.table.get_mut(key) else { return };
        match took {
            Outcome::Full { retry_after } => server.record_full(clock::now(), retry_after),
            Outcome::Failed => server.record_failure(clock::now()),
            Outcome::Answered => server.record_success(),
        }
    }

    pub(super) fn notice(&mut self, key: Key, notice: Notice) {
        let Some(server) = self.servers.table.get_mut(key) else { return };
        match notice {
            Notice::Up => {
                server.connected = true;
                server.draining = false;
            }
            Notice::Down => server.connected = false,
            Notice::Draining => server.draining = true,
            Notice::Loaded(load) => server.record_load(clock::now(), reported(load)),
        }
        let name = (server.pool.clone(), server.role);
        if !matches!(notice, Notice::Loaded(_)) {
            self.show(clock::now());
        }
        self.dispatch(&name);
    }

    /// Shows the servers to operators.
    fn show(&mut self, now: Instant) {
        self.shown = now;
        self.arguments.servers.send_replace(self.servers.views(now));
    }

    pub(super) fn tick(&mut self, tick: Tick) {
        for queue in self.queues.values_mut() {
            for waiting in queue.expire(tick.now, |waiting| waiting.item.reply.is_closed()) {
                let _ = waiting.item.reply.send(Err(Rejection::Deadline(FULL_RETRY_MS)));
            }
        }
        self.dispatch_all();
        let reached = i64::try_from(self.servers.reached()).unwrap_or(i64::MAX);
        self.arguments.metrics.links.set(reached);
        if tick.now.since(self.shown) >= SHOW_EVERY {
            self.show(tick.now);
        }
    }
}

fn late(refusal: Refusal) -> Rejection {
    match refusal {
        Refusal::OrganisationFull | Refusal::Full => Rejection::Full(FULL_RETRY_MS),
        Refusal::Deadline { wait_ms } => Rejection::Deadline(wait_ms),
    }
}

fn reported(load: frame::Load) -> Load {
    Load {
        used: load.used,
        waiting: load.waiting,
        kv_used: load.kv_used,
        free_in_ms: load.free_in_ms,
        queued_tokens: load.queued_tokens,
    }
}

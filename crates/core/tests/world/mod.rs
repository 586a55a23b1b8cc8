//! Simulation of several members, their network and the object interface, in one thread and on one clock.
//!
//! Messages are lost, duplicated, delayed and reordered; members are killed, paused, restarted and
//! isolated; the object interface fails, loses answers and returns stale states.

#![allow(dead_code, reason = "each test file uses its part")]

pub(crate) mod check;
pub(crate) mod host;

use check::Checks;
use chestnutrack_core::limit::Quota;
use chestnutrack_core::member::{Answer, Identity, Table};
use chestnutrack_core::time::Instant;
use host::Host;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;
use std::time::Duration;

/// Length of one step.
pub(crate) const STEP: Duration = Duration::from_millis(10);
/// Longest delivery time of a message, in milliseconds.
const DELAY_MAX_MS: u64 = 20;
/// Age of the object interface's stale states.
const STALENESS: Duration = Duration::from_secs(2);

/// Parameters of a run.
#[derive(Clone, Debug)]
pub(crate) struct Settings {
    pub(crate) hosts: usize,
    pub(crate) seed: u64,
    pub(crate) rate: u64,
    pub(crate) burst: u64,
    pub(crate) borrows: bool,
    /// Fault: shares follow the table at once, without waiting for the leases of removed members.
    pub(crate) skip_lease_wait: bool,
    /// Fault: members are current without being vouched for.
    pub(crate) skip_vouching: bool,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            hosts: 3,
            seed: 1,
            rate: 1_000,
            burst: 1_000,
            borrows: true,
            skip_lease_wait: false,
            skip_vouching: false,
        }
    }
}

/// A message on the network.
#[derive(Clone, Debug)]
pub(crate) enum Message {
    Vouch {
        request_id: u64,
        members: u64,
        configuration: u64,
    },
    Vouched {
        request_id: u64,
        answer: Answer,
        age: Duration,
    },
    Members(Table),
    Configuration(u64),
    Borrow {
        request_id: u64,
        tokens: u64,
    },
    Lent {
        request_id: u64,
        tokens: u64,
    },
    /// The address of this incarnation refuses connections, or another one answers there.
    Dead(Identity),
}

#[derive(Clone, Debug)]
struct Envelope {
    from: Identity,
    to: Identity,
    message: Message,
}

/// The object interface.
#[derive(Clone, Debug, Default)]
pub(crate) struct Store {
    pub(crate) version: u64,
    pub(crate) members: Option<Table>,
    /// Version of the operators' newest document.
    pub(crate) document: u64,
    /// Version of the newest accepted document.
    pub(crate) accepted: u64,
}

/// An event that is injected into the simulation.
#[derive(Clone, Debug)]
pub(crate) enum Event {
    Wait(u16),
    Kill(u8),
    Start(u8),
    Stop(u8),
    Continue(u8),
    CutStore(u8),
    CutPair(u8, u8),
    Heal,
    Outage(bool),
    LoseAnswers(u8),
    Stale(bool),
    Lossy(u8),
    Edit(u8),
    Load(u8, u8),
}

pub(crate) struct World {
    pub(crate) settings: Settings,
    pub(crate) now: Instant,
    pub(crate) rng: ChaCha8Rng,
    pub(crate) hosts: Vec<Host>,
    pub(crate) store: Store,
    history: VecDeque<(Instant, Store)>,
    pub(crate) outage: bool,
    pub(crate) stale: bool,
    pub(crate) lose_answers: u8,
    lossy_percent: u8,
    cut_pairs: BTreeSet<(usize, usize)>,
    cut_stores: BTreeSet<usize>,
    envelopes: BTreeMap<(Instant, u64), Envelope>,
    sent: u64,
    /// Rate and burst in each version of the document.
    pub(crate) quotas: BTreeMap<u64, (u64, u64)>,
    pub(crate) checks: Checks,
    incarnations: u64,
}

pub(crate) fn organisation() -> Arc<str> {
    Arc::from("acme")
}

impl World {
    pub(crate) fn new(settings: Settings) -> World {
        let mut world = World {
            now: Instant::from_millis(1_000_000),
            rng: ChaCha8Rng::seed_from_u64(settings.seed),
            hosts: Vec::new(),
            store: Store::default(),
            history: VecDeque::new(),
            outage: false,
            stale: false,
            lose_answers: 0,
            lossy_percent: 0,
            cut_pairs: BTreeSet::new(),
            cut_stores: BTreeSet::new(),
            envelopes: BTreeMap::new(),
            sent: 0,
            quotas: BTreeMap::new(),
            checks: Checks::new(settings.rate, settings.burst),
            incarnations: 0,
            settings,
        };
        for index in 0..world.settings.hosts {
            let host = world.new_host(index);
            world.hosts.push(host);
        }
        world.write_document(world.settings.rate, world.settings.burst);
        world
    }

    fn new_host(&mut self, index: usize) -> Host {
        self.incarnations += 1;
        Host::new(index, self.incarnations, self.now, &self.settings)
    }

    /// Returns the quotas in a version of the document.
    pub(crate) fn quotas_of(&self, version: u64) -> Vec<Quota> {
        let (rate, burst) = self.quotas.get(&version).copied().unwrap_or_default();
        vec![Quota { name: organisation(), rate, burst }]
    }

    /// Writes a document, as an operator does.
    pub(crate) fn write_document(&mut self, rate: u64, burst: u64) {
        self.store.version += 1;
        self.store.document = self.store.version;
        self.quotas.insert(self.store.version, (rate, burst));
    }

    pub(crate) fn apply(&mut self, event: &Event) {
        let count = self.hosts.len();
        let index = |number: u8| usize::from(number) % count;
        match *event {
            Event::Wait(ms) => self.run(Duration::from_millis(u64::from(ms))),
            Event::Kill(host) => self.hosts[index(host)].kill(),
            Event::Start(host) => {
                if self.hosts[index(host)].dead {
                    self.hosts[index(host)] = self.new_host(index(host));
                }
            }
            Event::Stop(host) => self.hosts[index(host)].stopped = true,
            Event::Continue(host) => self.hosts[index(host)].stopped = false,
            Event::CutStore(host) => drop(self.cut_stores.insert(index(host))),
            Event::CutPair(a, b) => {
                let (a, b) = (index(a), index(b));
                self.cut_pairs.insert((a.min(b), a.max(b)));
            }
            Event::Heal => self.heal(),
            Event::Outage(outage) => self.outage = outage,
            Event::LoseAnswers(count) => self.lose_answers = count % 8,
            Event::Stale(stale) => self.stale = stale,
            Event::Lossy(percent) => self.lossy_percent = percent % 50,
            Event::Edit(rate) => {
                let rate = 200 * (1 + u64::from(rate % 10));
                self.write_document(rate, rate);
            }
            Event::Load(host, load) => self.hosts[index(host)].load = u64::from(load % 8),
        }
    }

    pub(crate) fn heal(&mut self) {
        self.cut_pairs.clear();
        self.cut_stores.clear();
        self.outage = false;
        self.stale = false;
        self.lose_answers = 0;
        self.lossy_percent = 0;
    }

    pub(crate) fn run(&mut self, length: Duration) {
        let end = self.now + length;
        while self.now < end {
            self.now = self.now + STEP;
            self.deliver();
            for index in 0..self.hosts.len() {
                if self.hosts[index].runs() {
                    Host::tick(self, index);
                }
            }
            self.record_history();
            Checks::run(self);
        }
    }

    fn record_history(&mut self) {
        self.history.push_back((self.now, self.store.clone()));
        while self.history.front().is_some_and(|(at, _)| self.now.since(*at) > STALENESS) {
            self.history.pop_front();
        }
    }

    /// Returns the state that the object interface returns to a host, or `None` if it doesn't answer.
    pub(crate) fn visible_store(&self, host: usize) -> Option<&Store> {
        if self.outage || self.cut_stores.contains(&host) {
            return None;
        }
        let old = self.history.front().filter(|_| self.stale).map(|(_, store)| store);
        Some(old.unwrap_or(&self.store))
    }

    /// Returns `true` if a write of a host reaches the object interface now.
    pub(crate) fn writable(&self, host: usize) -> bool {
        !self.outage && !self.cut_stores.contains(&host)
    }

    pub(crate) fn is_cut(&self, a: usize, b: usize) -> bool {
        self.cut_pairs.contains(&(a.min(b), a.max(b)))
    }

    fn position(&self, identity: &Identity) -> Option<usize> {
        self.hosts.iter().position(|host| host.me().name == identity.name)
    }

    pub(crate) fn send(&mut self, from: usize, to: &Identity, message: Message) {
        let Some(target) = self.position(to) else {
            return;
        };
        if self.is_cut(from, target) || self.rng.random_range(0..100) < self.lossy_percent {
            return;
        }
        let copies = 1 + usize::from(self.rng.random_range(0..100) < self.lossy_percent / 2);
        for _ in 0..copies {
            let delay = Duration::from_millis(self.rng.random_range(1..=DELAY_MAX_MS));
            let from = self.hosts[from].me().clone();
            let envelope = Envelope { from, to: to.clone(), message: message.clone() };
            self.sent += 1;
            self.envelopes.insert((self.now + delay, self.sent), envelope);
        }
    }

    /// Returns the proof of death that a host gets when it dials a member, if the network lets it through
    /// and that incarnation is gone.
    pub(crate) fn dial(&self, from: usize, member: &Identity) -> Option<Message> {
        let target = self.position(member)?;
        if self.is_cut(from, target) {
            return None;
        }
        let host = &self.hosts[target];
        let gone = host.dead || (host.me() != member && !host.stopped);
        gone.then(|| Message::Dead(member.clone()))
    }

    fn deliver(&mut self) {
        let mut kept = BTreeMap::new();
        while let Some(entry) = self.envelopes.first_entry() {
            if entry.key().0 > self.now {
                break;
            }
            let (key, envelope) = entry.remove_entry();
            let Some(index) = self.position(&envelope.to) else {
                continue;
            };
            let host = &self.hosts[index];
            if host.dead || *host.me() != envelope.to {
                continue;
            }
            if host.stopped {
                kept.insert(key, envelope);
                continue;
            }
            Host::receive(self, index, &envelope.from, envelope.message);
        }
        self.envelopes.extend(kept);
    }
}

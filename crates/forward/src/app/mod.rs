//! What every request of the process shares.

mod body;
mod limit;
mod place;
mod turn;

pub use body::Held;
pub use place::Place;
pub use turn::{Target, Turn};

use crate::config::{Config, Table};
use crate::dialect::Dialect;
use crate::metric::Metrics;
use chestnutrack_core::allowance::{self, Allowances};
use chestnutrack_core::cell::Cell;
use chestnutrack_core::dispatch::{
    self, Change, Dispatch, Outcome, RefusedCallers, ServerKey, Stage,
};
use chestnutrack_core::limit::Quota;
use chestnutrack_core::retry::Budget;
use chestnutrack_core::roster;
use chestnutrack_core::time::Instant;
use chestnutrack_process::admin::Readiness;
use chestnutrack_process::clock;
use chestnutrack_process::pool::{self, Pool};
use slotmap::SecondaryMap;
use std::collections::{HashMap, VecDeque};
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::Notify;

/// Time at its rate that an organisation can save up beyond its burst, where its allowance holds over a
/// window: long enough for clumps of its largest requests, and short enough that a fleet that has lost
/// all it knew exceeds a window by no more than the platform tolerates.
pub const ALLOWANCE_SAVED: Duration = Duration::from_secs(1);

/// Part of the connections that a server takes which hosts share, in per cent: hosts that start or are
/// about to end hold some beside the others'.
const CONNECTIONS_PART: usize = 80;

/// Who this process is, and what bounds it.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Name of this host.
    pub name: Arc<str>,
    /// Number drawn at the start of this process.
    pub incarnation: u64,
    /// Failure domain of this host.
    pub failure_domain: Arc<str>,
    /// Whether the whole fleet starts for the first time.
    pub first_start: bool,
    /// Repeats of requests that the fleet may send in a budget's window beyond a share of its
    /// requests.
    pub repeats: u32,
    /// Time that must lie between the orders of two hosts to engines.
    pub lease: Duration,
    /// How organisations' allowances are counted.
    pub allowance: allowance::Settings,
    /// When other hosts count as silent and as lost.
    pub roster: roster::Settings,
    /// Bytes of requests' bodies that are held at once.
    pub body_bytes: usize,
    /// Connections to backend servers.
    pub pool: pool::Settings,
    /// Bounds on decisions.
    pub dispatch: dispatch::Settings,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            name: "entry".into(),
            incarnation: 0,
            failure_domain: "default".into(),
            first_start: true,
            repeats: 20,
            lease: Duration::from_secs(3),
            allowance: allowance::Settings {
                unreachable_after: Some(roster::UNREACHABLE_AFTER),
                ..allowance::Settings::default()
            },
            roster: roster::Settings::default(),
            body_bytes: 32 << 20,
            pool: pool::Settings {
                connect_timeout: Duration::from_millis(300),
                idle_timeout: Duration::from_millis(9_000),
                idle_max: 256,
                peer_timeout: Some(Duration::from_millis(3_000)),
                discard_all_on_error: false,
                ..pool::Settings::default()
            },
            dispatch: dispatch::Settings::default(),
        }
    }
}

/// A configuration in force.
#[derive(Debug)]
pub struct InForce {
    /// Look-ups in it.
    pub table: Table,
    /// As the platform's store holds it, to be passed on to peers.
    pub raw: Vec<u8>,
}

/// What every request of the process shares.
pub struct App {
    /// Who this process is.
    pub settings: Settings,
    /// Names on the wire.
    pub dialect: Dialect,
    /// Counters.
    pub metrics: Metrics,
    /// Whether this host is ready: it knows a configuration and isn't leaving.
    pub ready: Readiness,
    /// Something has changed that peers should hear of.
    pub news: Notify,
    /// Something has changed that peers should hear of at once.
    pub urgent_news: Notify,
    /// Requests have begun to wait.
    pub waits: Notify,
    /// This host is about to give orders to engines.
    pub ordering: AtomicBool,
    in_force: Mutex<Option<Arc<InForce>>>,
    state: Mutex<State>,
    repeats: AtomicU32,
    /// Bytes of requests' bodies that are held now.
    bodies: Arc<AtomicUsize>,
    draining: AtomicBool,
    /// Hosts that share servers' connections, and the version by which they were shared last.
    sharing: Mutex<(usize, u64)>,
    started: Instant,
}

/// What decisions are made on.
pub(crate) struct State {
    pub(crate) dispatch: Dispatch<turn::Waiter>,
    pub(crate) allowances: Allowances,
    pools: SecondaryMap<ServerKey, Pool>,
    budgets: HashMap<Arc<str>, Budget>,
    callers: RefusedCallers,
    /// When peers were last told for what was spent.
    spending_told: Instant,
    /// Callers refused lately: what they asked for, when they came first, when they were refused.
    refused: VecDeque<(u64, Instant, Instant)>,
}

impl App {
    /// Without a configuration and without servers.
    pub fn new(settings: Settings, dialect: Dialect, metrics: Metrics) -> App {
        let state = State {
            dispatch: Dispatch::new(settings.dispatch, settings.failure_domain.clone()),
            allowances: Allowances::new(clock::now(), settings.first_start, settings.allowance),
            pools: SecondaryMap::new(),
            budgets: HashMap::new(),
            callers: RefusedCallers::default(),
            spending_told: Instant::default(),
            refused: VecDeque::new(),
        };
        App {
            repeats: AtomicU32::new(settings.repeats),
            bodies: Arc::default(),
            settings,
            dialect,
            metrics,
            ready: Readiness::default(),
            news: Notify::new(),
            urgent_news: Notify::new(),
            waits: Notify::new(),
            in_force: Mutex::default(),
            state: Mutex::new(state),
            draining: AtomicBool::new(false),
            ordering: AtomicBool::new(false),
            sharing: Mutex::new((1, 0)),
            started: clock::now(),
        }
    }

    pub(crate) fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The configuration in force.
    pub fn in_force(&self) -> Option<Arc<InForce>> {
        self.in_force.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// How long the process has run.
    pub fn age(&self) -> Duration {
        clock::now().since(self.started)
    }

    /// Version of the configuration in force; 0 for none.
    pub fn version(&self) -> u64 {
        self.in_force().map_or(0, |in_force| in_force.table.config().version)
    }

    /// Puts a configuration in force, unless a newer one is.
    pub fn configure(&self, config: Config, raw: Vec<u8>) -> bool {
        let version = config.version;
        {
            let mut now = self.in_force.lock().unwrap_or_else(PoisonError::into_inner);
            let newest = now.as_ref().map_or(0, |now| now.table.config().version);
            if now.is_some() && newest >= version {
                return false;
            }
            let mut state = self.state();
            state.allowances.configure(clock::now(), &terms(&config));
            for service in &config.services {
                if let Some(engine) = &service.engine {
                    let (kv_tokens, per_event) = (engine.kv_tokens, engine.tokens_per_event);
                    state.dispatch.configure_engines(&service.name, kv_tokens, per_event);
                }
            }
            *now = Some(Arc::new(InForce { table: Table::new(config), raw }));
        }
        self.metrics.configuration.set(i64::try_from(version).unwrap_or(i64::MAX));
        self.news.notify_one();
        self.set_ready(!self.is_draining());
        true
    }

    fn set_ready(&self, ready: bool) {
        if self.ready.get() != ready {
            tracing::info!(ready, version = self.version(), "readiness changed");
            self.ready.set(ready);
        }
    }

    /// Puts a change of the listed servers in force.
    pub fn change(self: &Arc<App>, change: Change) {
        let (in_force, hosts) = (self.in_force(), self.sharing().0);
        let mut state = self.state();
        match change {
            Change::Put(name, entry) => {
                let (leaving, address, stage) = (entry.leaving, entry.address, entry.stage);
                let service = entry.service.clone();
                let (key, changed) = state.dispatch.put(entry);
                if changed {
                    let stage = stage.map(Stage::name);
                    tracing::info!(server = %name, %address, leaving, stage, "server listed");
                }
                if !state.pools.contains_key(key) {
                    let pool = Pool::new(address, self.settings.pool);
                    pool.set_open_max(share(in_force.as_deref(), &service, hosts));
                    state.pools.insert(key, pool);
                }
            }
            Change::Remove(name) => {
                tracing::info!(server = %name, "server gone");
                if let Some(key) = state.dispatch.remove(&name) {
                    state.pools.remove(key);
                }
            }
        }
        drop(state);
        self.give_turns();
    }

    /// Shares the connections that servers take among so many hosts.
    pub fn share_connections(&self, hosts: usize) {
        let sharing = (hosts.max(1), self.version());
        if std::mem::replace(&mut *self.sharing(), sharing) == sharing {
            return;
        }
        let in_force = self.in_force();
        let state = self.state();
        for (key, pool) in &state.pools {
            if let Some(entry) = state.dispatch.entry(key) {
                pool.set_open_max(share(in_force.as_deref(), &entry.service, sharing.0));
            }
        }
    }

    fn sharing(&self) -> MutexGuard<'_, (usize, u64)> {
        self.sharing.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether a server may still be given a new request.
    pub fn is_open(&self, target: &Target) -> bool {
        self.state().dispatch.is_open(target.key)
    }

    /// Notes how a server met a connection or an answer.
    pub fn note(&self, target: &Target, outcome: Outcome) {
        self.state().dispatch.record_outcome(clock::now(), target.key, outcome);
    }

    /// Notes that another server answered at a server's address.
    pub fn note_replaced(&self, target: &Target) {
        tracing::info!(server = %target.entry.name, address = %target.entry.address, "server replaced");
        self.state().dispatch.mark_replaced(target.key);
        self.news.notify_one();
    }

    /// Changes the repeats that the fleet may send; whether they differ from those before.
    pub fn set_repeats(&self, repeats: u32) -> bool {
        self.repeats.swap(repeats, Ordering::Relaxed) != repeats
    }

    /// Sets the cell that this host belongs to; whether it is another than before.
    pub fn set_cell(&self, cell: Cell) -> bool {
        let mut state = self.state();
        let changed = state.dispatch.cell() != cell;
        if changed {
            state.dispatch.set_cell(cell);
        }
        changed
    }

    /// The cell that this host belongs to.
    pub fn cell(&self) -> Cell {
        self.state().dispatch.cell()
    }

    /// Whether the process is shutting down.
    pub fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Relaxed)
    }

    /// Begins the shutdown.
    pub fn drain(&self) {
        self.draining.store(true, Ordering::Relaxed);
        self.set_ready(false);
    }
}

impl State {
    pub(crate) fn target(&self, key: ServerKey) -> Option<Target> {
        let entry = self.dispatch.entry(key)?.clone();
        Some(Target { key, entry, pool: self.pools.get(key)?.clone() })
    }
}

/// Connections that one of so many hosts may open to a server of a service.
fn share(in_force: Option<&InForce>, service: &str, hosts: usize) -> usize {
    let most = in_force.and_then(|now| now.table.service(service).map(|s| s.connections));
    let most = most.map_or(pool::OPEN_MAX, |most| usize::try_from(most).unwrap_or(usize::MAX));
    (most.min(pool::OPEN_MAX) * CONNECTIONS_PART / 100 / hosts).max(1)
}

fn terms(config: &Config) -> Vec<Quota> {
    let terms = config.organisations.iter().map(|organisation| Quota {
        name: organisation.name.clone(),
        rate: organisation.rate,
        burst: organisation.burst,
    });
    terms.collect()
}

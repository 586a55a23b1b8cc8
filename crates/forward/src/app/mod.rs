//! State shared by all requests of the process.
//!
//! A request to a plain service, whose servers run no model, is placed at one server
//! ([`PlainPlacement`]). A generation is queued until it is admitted and placed at engines
//! ([`Admission`]). Changes that peers should know are sent to them as gossip by [`crate::mesh`],
//! which is notified here that a message is due.

mod admission;
mod body;
mod cold;
mod evacuation;
mod limit;
mod origin;
mod place;
mod quarantine;
pub(crate) mod records;

pub use admission::{Admission, Target};
pub use body::{AnswerMemory, Counted};
pub use evacuation::EvacuationBounds;
pub use origin::Basis;
pub(crate) use origin::ServiceBuilds;
pub use place::PlainPlacement;
pub use quarantine::Identity;

use crate::config::{Config, Table};
use crate::dialect::{Dialect, ResponseHead};
use crate::metric::Metrics;
use bytes::Bytes;
use chestnutrack_core::allowance::{self, Allowances};
use chestnutrack_core::cell::Cell;
use chestnutrack_core::dispatch::{
    self, Change, ColdBound, ColdStart, Dispatch, Entry, LimitChange, Outcome, RefusedCallers,
    Residency, ServerKey, Stage,
};
use chestnutrack_core::fetch::{Revision, Version};
use chestnutrack_core::intake;
use chestnutrack_core::limit::Quota;
use chestnutrack_core::origin::{Builds, Origins, Recorder, unlisted_build};
use chestnutrack_core::quarantine::Quarantine;
use chestnutrack_core::retry::Budget;
use chestnutrack_core::roster;
use chestnutrack_core::time::Instant;
use chestnutrack_process::admin::Readiness;
use chestnutrack_process::clock;
use chestnutrack_process::http;
use chestnutrack_process::intake::Intake;
use chestnutrack_process::pool::{self, Pool, Probe, Reuse};
use chestnutrack_store::epoch;
use chestnutrack_wire::frame::{LeavingReport, LimitReport};
use slotmap::SecondaryMap;
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::Duration;
use tokio::sync::Notify;

/// Time for which an organisation's allowance may accrue at its rate beyond its burst, where the
/// allowance holds over a window. It is long enough for clusters of the organisation's largest
/// requests, and short enough that a fleet that has lost its state exceeds a window by no more than
/// the platform tolerates.
pub const ALLOWANCE_ACCRUAL_TIME: Duration = Duration::from_secs(1);

/// Part of a server's connections that hosts share, in per cent. The rest is for hosts that start
/// or shut down and hold connections besides the others'.
const CONNECTION_SHARE_PERCENT: usize = 80;

/// Most connections at the address for readiness checks. The platform's checks need a few.
const READINESS_CONNECTIONS_MAX: usize = 64;
/// Most connections that peers have opened to this host. Each host of a cell opens one, and a restarted one another
/// before the first has ended.
const PEER_CONNECTIONS_MAX: usize = 512;
/// Memory of the machine for each connection of a caller, in bytes. A connection holds two buffers of the system of up to
/// 32 KiB, a head of 16 KiB, its parsed form and the state of its request. With 128 KiB, a mixed crowd of 4,000 took 83 of
/// 88 MiB.
const MACHINE_BYTES_PER_CONNECTION: usize = 208 << 10;
/// Share of the machine's memory for request bodies: one part in this many.
const BODY_MEMORY_DIVISOR: usize = 6;
/// Share of the machine's memory for answers that are being read or have not been taken: one part in this many.
const ANSWER_MEMORY_DIVISOR: usize = 12;
/// File descriptors that the platform reserves for files.
const FILE_DESCRIPTORS_RESERVED: usize = 200;
/// Share of the other file descriptors for connections of callers: one part in this many. The rest is for connections
/// to backend servers, peers and the store.
const CALLER_DESCRIPTOR_DIVISOR: usize = 2;
/// Share of these file descriptors for connections that peers have opened: one part in this many.
const PEER_DESCRIPTOR_DIVISOR: usize = 8;

impl Settings {
    /// Derives the bounds of connections and of what requests and answers hold from the machine's memory and file
    /// descriptors.
    pub fn set_resources(&mut self, memory_bytes: usize, file_descriptors: usize) {
        let descriptors = file_descriptors.saturating_sub(FILE_DESCRIPTORS_RESERVED);
        self.body_bytes = memory_bytes / BODY_MEMORY_DIVISOR;
        self.answer_bytes = self.answer_bytes.min(memory_bytes / ANSWER_MEMORY_DIVISOR);
        self.caller_connections = (memory_bytes / MACHINE_BYTES_PER_CONNECTION)
            .min(descriptors / CALLER_DESCRIPTOR_DIVISOR)
            .max(1);
        self.peer_connections =
            PEER_CONNECTIONS_MAX.min(descriptors / PEER_DESCRIPTOR_DIVISOR).max(1);
    }
}

/// Identity and limits of this process.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Name of this host.
    pub name: Arc<str>,
    /// Random number drawn at the start of this process.
    pub incarnation: u64,
    /// Failure domain of this host.
    pub failure_domain: Arc<str>,
    /// Whether the whole fleet starts for the first time. Nothing has been spent before then, so
    /// allowances start full.
    pub is_fleet_first_start: bool,
    /// Retries that the fleet may send in a budget's window beyond a share of its requests.
    pub retry_burst: u32,
    /// Minimum time between the orders of two hosts to engines.
    pub lease: Duration,
    /// Settings of organisations' allowances.
    pub allowance: allowance::Settings,
    /// Timeouts after which other hosts count as unreachable and as lost.
    pub roster: roster::Settings,
    /// Region of each failure domain. A backend server whose domain has none gets no requests that are bound to regions.
    pub regions: BTreeMap<Arc<str>, Arc<str>>,
    /// Bounds of evacuations of failure domains; `None` if evacuations are not followed.
    pub evacuation: Option<EvacuationBounds>,
    /// Limit of the bytes that all request bodies hold at once.
    pub body_bytes: usize,
    /// Limit of the bytes that all answers of plain services hold at once while they are read.
    pub answer_bytes: usize,
    /// Most connections of callers that are open at once.
    pub caller_connections: usize,
    /// Most connections at the address for readiness checks that are open at once.
    pub readiness_connections: usize,
    /// Most connections that peers have opened to this host at once.
    pub peer_connections: usize,
    /// Settings of the connection pools to backend servers.
    pub pool: pool::Settings,
    /// Settings of admission and placement.
    pub dispatch: dispatch::Settings,
    /// Bound of the requests that a cold server may get from all hosts in any second.
    pub cold_bound: ColdBound,
}

impl Default for Settings {
    /// Returns settings for a host that is the first of its fleet to start.
    fn default() -> Settings {
        Settings {
            name: "entry".into(),
            incarnation: 0,
            failure_domain: "default".into(),
            is_fleet_first_start: true,
            retry_burst: 20,
            lease: Duration::from_secs(3),
            allowance: allowance::Settings {
                unreachable_after: Some(roster::UNREACHABLE_AFTER),
                ..allowance::Settings::default()
            },
            roster: roster::Settings::default(),
            regions: BTreeMap::new(),
            evacuation: None,
            body_bytes: 32 << 20,
            answer_bytes: 16 << 20,
            caller_connections: 1_024,
            readiness_connections: READINESS_CONNECTIONS_MAX,
            peer_connections: PEER_CONNECTIONS_MAX,
            pool: pool::Settings {
                connect_timeout: Duration::from_millis(300),
                idle_timeout: Duration::from_millis(9_000),
                idle_max: 256,
                peer_timeout: Some(Duration::from_millis(3_000)),
                discard_all_on_error: false,
                ..pool::Settings::default()
            },
            dispatch: dispatch::Settings::default(),
            cold_bound: ColdBound::default(),
        }
    }
}

/// The configuration in force.
#[derive(Debug)]
pub struct ActiveConfig {
    /// The configuration, indexed for look-ups.
    pub table: Table,
    /// The configuration as the platform's store holds it, to be passed on to peers.
    pub raw: Vec<u8>,
    /// By which it is compared with other configurations.
    pub revision: Revision,
}

/// Returns which configuration a document is, by the version that it states and that of the store's object
/// that holds it.
pub(crate) fn revision_of(stated: u64, object: u64) -> Revision {
    Revision { stated, object, epoch: epoch::of(object) }
}

/// State shared by all requests of the process.
pub struct App {
    /// Identity and limits of this process.
    pub settings: Settings,
    /// Reads and writes the platform's headers and calls.
    pub dialect: Dialect,
    /// Counters, gauges and histograms.
    pub metrics: Metrics,
    /// Whether this host is ready: it has a configuration and isn't shutting down.
    pub ready: Readiness,
    /// Notified when peers should receive a state change as gossip.
    pub gossip_due: Notify,
    /// Notified when peers should receive a state change as gossip without delay.
    pub urgent_gossip_due: Notify,
    /// Notified when parts of prompts were put into quarantine.
    pub quarantine_changed: Notify,
    /// Notified when a request is queued.
    pub request_queued: Notify,
    /// Notified when other hosts are to be told or asked which build began a stream.
    pub(crate) origins_due: Notify,
    /// Wakes those that wait to know which build began a stream.
    origins_changed: Notify,
    /// Notified when this host has builds of streams to write to the store.
    pub(crate) records_due: Notify,
    /// Notified when builds of streams may have to be read from the store.
    pub(crate) records_wanted: Notify,
    /// Whether this host is about to give orders to engines.
    pub orders_pending: AtomicBool,
    active_config: Mutex<Option<Arc<ActiveConfig>>>,
    state: Mutex<State>,
    retry_burst: AtomicU32,
    /// Connections of callers, and what their requests hold.
    pub callers: Intake,
    /// Bytes held by all answers of plain services that are being read.
    answer_bytes: Arc<AtomicUsize>,
    draining: AtomicBool,
    /// Whether the last request has ended.
    stopped: AtomicBool,
    /// When the process ends, once it closes connections; set at the end of the notice period of a shutdown.
    ends_at: OnceLock<Instant>,
    /// Number of hosts among which the connections to servers are divided, and the configuration
    /// under which they were last divided; 1 and the default until the first division.
    connection_division: Mutex<(usize, Revision)>,
    started_at: Instant,
}

/// State on which admission and placement are decided.
pub(crate) struct State {
    pub(crate) dispatch: Dispatch<admission::Waiter>,
    pub(crate) allowances: Allowances,
    /// Parts of prompts that crash engines.
    pub(crate) quarantine: Quarantine,
    /// Builds that may have begun streams.
    builds: Builds,
    /// Builds that began streams.
    origins: Origins,
    /// Builds of streams that this host writes to the store.
    recorder: Recorder,
    pools: SecondaryMap<ServerKey, Pool>,
    retry_budgets: HashMap<Arc<str>, Budget>,
    refused_callers: RefusedCallers,
    /// When spending last caused a gossip message.
    spending_reported_at: Instant,
    /// Recently refused callers: hash of the request, time of the first request, time of the
    /// refusal.
    recent_refusals: VecDeque<(u64, Instant, Instant)>,
}

impl App {
    /// Creates the shared state of a process that knows no configuration and no servers yet, and so
    /// is not ready.
    pub fn new(settings: Settings, dialect: Dialect, metrics: Metrics) -> App {
        let mut dispatch = Dispatch::new(settings.dispatch, settings.failure_domain.clone());
        dispatch.set_seed(settings.incarnation);
        dispatch.set_regions(settings.regions.clone());
        if let Some(bounds) = settings.evacuation {
            dispatch.wait_for_evacuations(clock::now(), bounds.start_wait());
        }
        dispatch.set_cold_bound(settings.cold_bound);
        let state = State {
            dispatch,
            allowances: Allowances::new(
                clock::now(),
                settings.is_fleet_first_start,
                settings.allowance,
            ),
            quarantine: Quarantine::default(),
            builds: Builds::new(settings.is_fleet_first_start),
            origins: Origins::default(),
            recorder: Recorder::default(),
            pools: SecondaryMap::new(),
            retry_budgets: HashMap::new(),
            refused_callers: RefusedCallers::default(),
            spending_reported_at: Instant::default(),
            recent_refusals: VecDeque::new(),
        };
        let bounds = intake::Settings {
            connections: settings.caller_connections,
            request_bytes: settings.body_bytes,
        };
        let callers = Intake::new("callers", bounds, Some(metrics.evictions.clone()));
        App {
            retry_burst: AtomicU32::new(settings.retry_burst),
            callers,
            answer_bytes: Arc::default(),
            settings,
            dialect,
            metrics,
            ready: Readiness::default(),
            gossip_due: Notify::new(),
            urgent_gossip_due: Notify::new(),
            quarantine_changed: Notify::new(),
            request_queued: Notify::new(),
            origins_due: Notify::new(),
            origins_changed: Notify::new(),
            records_due: Notify::new(),
            records_wanted: Notify::new(),
            active_config: Mutex::default(),
            state: Mutex::new(state),
            draining: AtomicBool::new(false),
            stopped: AtomicBool::new(false),
            ends_at: OnceLock::new(),
            orders_pending: AtomicBool::new(false),
            connection_division: Mutex::new((1, Revision::default())),
            started_at: clock::now(),
        }
    }

    pub(crate) fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the configuration in force.
    pub fn active_config(&self) -> Option<Arc<ActiveConfig>> {
        self.active_config.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Returns how long the process has run.
    pub fn uptime(&self) -> Duration {
        clock::now().since(self.started_at)
    }

    /// Returns the version of the configuration in force; 0 if there is none.
    pub fn version(&self) -> u64 {
        self.active_config().map_or(0, |active_config| active_config.table.config().version)
    }

    /// Returns which configuration is in force; the default if there is none.
    pub fn revision(&self) -> Revision {
        self.active_config().map_or_else(Revision::default, |active_config| active_config.revision)
    }

    /// Puts a configuration in force of which only the version is known that it states, as
    /// [`App::configure_from`] does.
    pub fn configure(&self, config: Config, raw: Vec<u8>) -> bool {
        self.configure_from(config, raw, 0)
    }

    /// Puts a configuration in force and returns `true`, unless the one in force is at least as new.
    /// `object` is the version of the store's object that holds it; 0 if it is not known.
    pub fn configure_from(&self, config: Config, raw: Vec<u8>, object: u64) -> bool {
        let version = config.version;
        let revision = revision_of(version, object);
        {
            let mut active = self.active_config.lock().unwrap_or_else(PoisonError::into_inner);
            let current = active.as_ref().map(|active| active.revision);
            if current.is_some_and(|current| !revision.is_newer_than(current)) {
                return false;
            }
            self.configure_builds(&config);
            let mut state = self.state();
            state.allowances.configure(clock::now(), &quotas(&config));
            for service in &config.services {
                if let Some(engine) = &service.engine {
                    let (kv_tokens, per_event) = (engine.kv_tokens, engine.tokens_per_event);
                    state.dispatch.configure_engines(&service.name, kv_tokens, per_event);
                }
                let priorities = config.priorities(&service.name);
                state.dispatch.configure_priorities(&service.name, &priorities);
                let cold = service.cold_start;
                let cold =
                    cold.map(|cold| ColdStart { duration: cold.duration, per_s: cold.per_s });
                let cold = cold.unwrap_or(ColdStart { duration: Duration::ZERO, per_s: None });
                state.dispatch.configure_cold_start(clock::now(), &service.name, cold);
            }
            *active = Some(Arc::new(ActiveConfig { table: Table::new(config), raw, revision }));
        }
        self.metrics.configuration.set(i64::try_from(version).unwrap_or(i64::MAX));
        self.gossip_due.notify_one();
        self.update_readiness();
        true
    }

    /// Updates whether this host is ready, and logs a change: it has a configuration, is not shutting down, and does not wait
    /// for the evacuated failure domains.
    fn update_readiness(&self) {
        let is_waiting = self.state().dispatch.waits_for_evacuations();
        let ready = self.active_config().is_some() && !self.is_draining() && !is_waiting;
        if self.ready.get() != ready {
            tracing::info!(ready, version = self.version(), "readiness changed");
            self.ready.set(ready);
        }
    }

    /// Applies a change of the backend servers that the platform's store lists. Creates or removes
    /// the server's connection pool, and admits waiting requests.
    pub fn apply_change(self: &Arc<App>, change: Change) {
        let (active_config, hosts) = (self.active_config(), self.connection_division().0);
        let mut state = self.state();
        match change {
            Change::Put(name, entry) => {
                let (leaving, address, stage) = (entry.leaving, entry.address, entry.stage);
                let (service, build, born) =
                    (entry.service.clone(), entry.build.clone(), entry.born);
                state.record_build_of(clock::now(), &name);
                let (key, changed) = state.dispatch.put(clock::now(), entry);
                if changed {
                    let stage = stage.map(Stage::name);
                    tracing::info!(server = %name, %address, %build, leaving, stage, "server listed");
                }
                if changed && stage.is_some() {
                    state.record_process(clock::now(), &name);
                }
                if !state.pools.contains_key(key) {
                    let probe = stage.and(born).map(|born| self.probe(&name, born));
                    let pool = Pool::with_probe(address, self.settings.pool, probe);
                    pool.set_open_max(connection_share(active_config.as_deref(), &service, hosts));
                    state.pools.insert(key, pool);
                }
            }
            Change::Remove(name) => {
                tracing::info!(server = %name, "server gone");
                state.record_build_of(clock::now(), &name);
                if let Some(key) = state.dispatch.remove(clock::now(), &name) {
                    state.pools.remove(key);
                }
            }
        }
        if state.builds.has_unannounced() {
            // Streams begin at a new build once the others report that they list it too.
            self.gossip_due.notify_one();
        }
        drop(state);
        self.report_cold_servers();
        self.origins_due.notify_one();
        self.admit_waiting();
    }

    /// Returns the probe that finds out whether the process of an engine is the one that started at `born`.
    fn probe(self: &Arc<App>, name: &Arc<str>, born: u64) -> Probe {
        let Dialect { report_path, parse_report, .. } = self.dialect;
        let (app, name) = (Arc::downgrade(self), name.clone());
        let (probing, server) = (app.clone(), name.clone());
        let request = move || match probing.upgrade() {
            Some(app) if app.is_withheld(&server) => {
                app.record_withheld("call");
                Err(http::Error::Request("the failure domain is evacuated".to_owned()))
            }
            _ => http::request("GET", report_path, ""),
        };
        let accepts = move |body: &Bytes| {
            let Some(report) = parse_report(body) else { return false };
            let stated = report.born;
            tracing::info!(server = %name, listed = born, stated, "engine asked when it started");
            let Some(stated) = stated.filter(|stated| *stated != born) else { return true };
            if let Some(app) = app.upgrade() {
                app.record_restart(&name, born, stated);
            }
            false
        };
        Probe { request: Box::new(request), accepts: Box::new(accepts) }
    }

    /// Records that the process of an engine, which is listed as started at `listed`, started at `born`. It serves, but
    /// which build it is of is not known until its entry changes.
    fn record_restart(self: &Arc<App>, name: &Arc<str>, listed: u64, born: u64) {
        let entry = self.state().dispatch.entry_of(name).cloned();
        let Some(entry) = entry.filter(|entry| entry.born == Some(listed)) else { return };
        tracing::info!(server = %name, listed, born, "server has started again, and its entry is older");
        let build = unlisted_build(name, born);
        self.apply_change(Change::Put(
            name.clone(),
            Entry { born: Some(born), build, cold_ms: None, ..entry },
        ));
    }

    /// Records that the platform's store was restored from a copy, whose list of servers is older than
    /// what this host knows.
    pub fn record_restore(&self) {
        self.state().dispatch.record_restore(clock::now());
    }

    /// Divides the connections that servers accept among `hosts` hosts. Does nothing unless the
    /// number of hosts or the configuration has changed since the last division.
    pub fn divide_connections(&self, hosts: usize) {
        let division = (hosts.max(1), self.revision());
        if std::mem::replace(&mut *self.connection_division(), division) == division {
            return;
        }
        let active_config = self.active_config();
        let state = self.state();
        for (key, pool) in &state.pools {
            if let Some(entry) = state.dispatch.entry(key) {
                pool.set_open_max(connection_share(
                    active_config.as_deref(),
                    &entry.service,
                    division.0,
                ));
            }
        }
    }

    /// Locks the number of hosts and the configuration of the last division of connections.
    fn connection_division(&self) -> MutexGuard<'_, (usize, Revision)> {
        self.connection_division.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns `true` if a server may be sent another request now.
    pub fn accepts(&self, target: &Target) -> bool {
        self.state().dispatch.accepts(clock::now(), target.key)
    }

    /// Returns `true` if a server may get a request with a residency.
    pub fn is_allowed(&self, target: &Target, residency: &Residency) -> bool {
        self.state().dispatch.is_allowed(target.key, residency)
    }

    /// Returns the retry time for a refused caller if a residency leaves none of a service's servers, or of its engines of a
    /// stage, that accepts requests.
    pub fn excluded_retry_after(
        &self,
        service: &str,
        stage: Option<Stage>,
        residency: &Residency,
    ) -> Option<Duration> {
        self.state().dispatch.excluded_retry_after(clock::now(), service, stage, residency)
    }

    /// Returns `true` if a server gets no requests because its failure domain is evacuated.
    pub fn is_evacuated(&self, target: &Target) -> bool {
        self.state().dispatch.is_evacuated(target.key)
    }

    /// Counts a call of the router's own to a server, on a connection that `reuse` allows. Returns `false` if the server must
    /// not get it now: a cold server gets none for which a new connection has to be opened, and so its process probed.
    pub fn admit_call(&self, target: &Target, reuse: Reuse) -> bool {
        let (now, mut state) = (clock::now(), self.state());
        if target.pool.needs_probe(reuse) && state.dispatch.is_cold(now, target.key) {
            return false;
        }
        let is_admitted = state.dispatch.admit_call(now, target.key);
        drop(state);
        if !is_admitted && self.is_evacuated(target) {
            self.record_withheld("call");
        }
        is_admitted
    }

    /// Records what a server says of itself in the head of an answer to a request sent at `sent_at`:
    /// that it is shutting down, that it wants no requests from this host for some time, or how many
    /// it takes from all hosts. `id` names the request that was answered, if it was a caller's.
    pub fn record_notices(
        &self,
        target: &Target,
        sent_at: Instant,
        head: &ResponseHead,
        id: Option<&str>,
    ) {
        if head.misdirected {
            // Another server has the address.
            return;
        }
        let server = &target.entry.name;
        if head.leaving && self.state().dispatch.record_leaving(target.key) {
            tracing::info!(%server, id, "server says that it is leaving");
            self.metrics.notices.with_label_values(&["leaving"]).inc();
            self.gossip_due.notify_one();
        }
        if let Some(asked) = head.backoff {
            let backoff = self.state().dispatch.record_backoff(clock::now(), target.key, asked);
            let (asked_s, backoff_ms) = (asked.as_secs_f64(), backoff.as_millis() as u64);
            tracing::info!(%server, id, asked_s, backoff_ms, "server asks for quiet");
            self.metrics.notices.with_label_values(&["quiet"]).inc();
        }
        if let Some(left) = head.cold {
            self.record_cold(target, left);
        }
        let now = clock::now();
        let change = self.state().dispatch.record_limit(now, target.key, sent_at, head.limit);
        if let Some(LimitChange { server, limit }) = change {
            tracing::info!(%server, id, limit, "server changes its limit of requests per second");
            self.metrics.notices.with_label_values(&["limit"]).inc();
            self.urgent_gossip_due.notify_one();
        }
    }

    /// Records what a peer's process reports of servers' limits.
    pub(crate) fn record_peer_limits(
        &self,
        peer: &Arc<str>,
        incarnation: u64,
        reports: &[LimitReport],
    ) {
        let now = clock::now();
        let changes = self.state().dispatch.record_peer_limits(now, peer, incarnation, reports);
        for LimitChange { server, limit } in changes {
            tracing::info!(%server, %peer, limit, "server changes its limit of requests per second, by a peer");
        }
    }

    /// Returns the time after which a refused caller of a plain service is worth retrying, if all servers
    /// have reached their limits.
    pub fn throttled_retry_after(&self, service: &Arc<str>) -> Option<Duration> {
        self.state().dispatch.throttled_retry_after(clock::now(), service)
    }

    /// Records the servers of which a peer reports that they have said that they are shutting down.
    pub fn record_peer_leaving(&self, peer: &str, reports: &[LeavingReport]) {
        let new = self.state().dispatch.record_peer_leaving(reports);
        for server in new {
            tracing::info!(%server, peer, "server says that it is leaving, to a peer");
        }
    }

    /// Returns the time until the first server of a plain service accepts requests, if all of them have
    /// asked for quiet.
    pub fn backoff_left(&self, service: &str) -> Option<Duration> {
        self.state().dispatch.backoff_left(clock::now(), service, None)
    }

    /// Records the outcome of an attempt at a server.
    pub fn record_outcome(&self, target: &Target, outcome: Outcome) {
        self.state().dispatch.record_outcome(clock::now(), target.key, outcome);
    }

    /// Records that another server answered at a server's address, so that the server is gone.
    pub fn mark_replaced(&self, target: &Target) {
        tracing::info!(server = %target.entry.name, address = %target.entry.address, "server replaced");
        self.state().dispatch.mark_replaced(target.key);
        self.gossip_due.notify_one();
    }

    /// Sets the retries that the fleet may send beyond a share of its requests. Returns `true` if
    /// the value changed.
    pub fn set_retry_burst(&self, retry_burst: u32) -> bool {
        self.retry_burst.swap(retry_burst, Ordering::Relaxed) != retry_burst
    }

    /// Sets the cell, the part of the fleet that this host belongs to. Returns `true` if the cell
    /// changed.
    pub fn set_cell(&self, cell: Cell) -> bool {
        let mut state = self.state();
        let changed = state.dispatch.cell() != cell;
        if changed {
            state.dispatch.set_cell(cell);
        }
        changed
    }

    /// Returns the cell that this host belongs to.
    pub fn cell(&self) -> Cell {
        self.state().dispatch.cell()
    }

    /// Returns `true` if the process is shutting down.
    pub fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Relaxed)
    }

    /// Returns `true` if the last request has ended, so that this host spends nothing more.
    pub fn is_stopped(&self) -> bool {
        self.stopped.load(Ordering::Relaxed)
    }

    /// Records that the last request has ended.
    pub fn stop(&self) {
        self.stopped.store(true, Ordering::Relaxed);
    }

    /// Records that connections are being closed, and that the process ends at `ends_at`.
    pub fn close(&self, ends_at: Instant) {
        self.ends_at.get_or_init(|| ends_at);
    }

    /// Returns `true` if a request with a deadline certainly ends before the process does, or if connections are not being
    /// closed yet.
    pub fn may_begin(&self, deadline: Instant) -> bool {
        self.ends_at.get().is_none_or(|ends_at| deadline <= *ends_at)
    }

    /// Begins the shutdown: this host no longer counts as ready.
    pub fn drain(&self) {
        self.draining.store(true, Ordering::Relaxed);
        self.update_readiness();
        self.gossip_due.notify_one();
    }
}

impl State {
    /// Returns a server's entry and connection pool, or `None` if it has been removed.
    pub(crate) fn target(&self, key: ServerKey) -> Option<Target> {
        let entry = self.dispatch.entry(key)?.clone();
        Some(Target { key, entry, pool: self.pools.get(key)?.clone() })
    }
}

/// Returns the connections that one of `hosts` hosts may open to a server of a service.
fn connection_share(active_config: Option<&ActiveConfig>, service: &str, hosts: usize) -> usize {
    let max_connections =
        active_config.and_then(|active| active.table.service(service).map(|s| s.connections));
    let max_connections = max_connections.map_or(pool::OPEN_MAX, |max_connections| {
        usize::try_from(max_connections).unwrap_or(usize::MAX)
    });
    (max_connections.min(pool::OPEN_MAX) * CONNECTION_SHARE_PERCENT / 100 / hosts).max(1)
}

/// Returns the rate and burst of each organisation's allowance.
fn quotas(config: &Config) -> Vec<Quota> {
    let quotas = config.organisations.iter().map(|organisation| Quota {
        name: organisation.name.clone(),
        rate: organisation.rate,
        burst: organisation.burst,
    });
    quotas.collect()
}

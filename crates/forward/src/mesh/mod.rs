//! Exchanges state between entry hosts: load, spending, health of servers and which hosts are
//! reachable.
//!
//! Each host opens a connection to every other host and sends gossip on it: messages with its whole
//! state (wire type [`News`]), soon after something changes, and periodically as a heartbeat. Each
//! message replaces the previous one, so that a lost one does no harm. A large fleet is divided
//! into cells; hosts then connect only to those of their own cell, which are their peers.
//!
//! An account is the record of what an organisation has spent recently. A host that has just
//! started lacks the accounts and requests them from a peer.

mod link;
mod membership;
mod origins;

use crate::app::{App, revision_of};
use crate::follow::{Follower, Host};
use bytes::Bytes;
use chestnutrack_core::allowance::Report;
use chestnutrack_core::cell::Cell;
use chestnutrack_core::intake;
use chestnutrack_core::origin::{Hosts, KNOWLEDGE_LEASE, Keepers, Recorders};
use chestnutrack_core::roster::{self, Roster, Step};
use chestnutrack_core::time::Instant;
use chestnutrack_process::clock;
use chestnutrack_process::intake::Intake;
use chestnutrack_process::timer::Timer;
use chestnutrack_store::dialect::items::excerpt;
use chestnutrack_wire::connection::{Error, Receiver};
use chestnutrack_wire::frame::{self, Frame, News, PrefixReport};
use chestnutrack_wire::{Connection, codec};
use membership::StoppedProcesses;
use std::collections::{BTreeMap, HashMap};
use std::fmt::Display;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::AbortHandle;
use tokio::time::sleep;

/// Time between gossip messages when nothing changes.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);
/// Time for which changes are gathered into one gossip message: the least, and for each peer, so
/// that the messages that a host receives do not grow with the number of hosts. New generations are
/// reported after the shortest time, since other hosts may choose the same engine meanwhile.
const COALESCE_MIN: Duration = Duration::from_millis(4);
const COALESCE_PER_PEER: Duration = Duration::from_millis(5);
/// Time from the start of a host within which all others connect to it, if the store does not list them.
const CONNECTING_TIME: Duration = Duration::from_secs(3);
/// Time for which gossip names a host after it was first heard. It spans ten heartbeats.
const NAMING_TIME: Duration = Duration::from_secs(5);
/// Pause after a connection could not be accepted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);

/// Connections to the other hosts, and what is known of them.
pub struct Mesh {
    app: Arc<App>,
    follower: Arc<Follower>,
    /// Address at which peers connect to this host. All hosts listen on the same port.
    address: SocketAddr,
    /// The newest gossip message, encoded. Each connection sends it once the previous one has been
    /// written, so that no connection waits for a slow peer.
    newest_gossip: watch::Sender<Bytes>,
    /// All other hosts.
    hosts: Mutex<BTreeMap<Arc<str>, Host>>,
    /// All other hosts, as keepers of streams, and all hosts, as recorders.
    keepers: Mutex<Arc<(Keepers, Recorders)>>,
    /// The hosts of this host's cell, to which it keeps connections.
    peers: Mutex<HashMap<Arc<str>, Peer>>,
    /// Which peers are reachable. Where both are locked, `peers` is locked first.
    roster: Mutex<Roster>,
    /// Whether this host was isolated when that was last logged.
    was_isolated: AtomicBool,
    /// Whether the list of hosts has been read, or this host has run for [`CONNECTING_TIME`].
    knows_hosts: AtomicBool,
    /// Whether the list of hosts has been read from the store.
    is_fleet_listed: AtomicBool,
    /// Number of hosts of all cells by the reports of peers.
    reported_fleet_size: AtomicUsize,
    /// Processes that have announced their end.
    stopped_processes: Mutex<StoppedProcesses>,
    /// What tells other hosts which builds began streams.
    couriers: Mutex<origins::Couriers>,
}

/// A host of this host's cell, with the connection to it.
struct Peer {
    host: Host,
    /// Ends the task that maintains the connection to the peer.
    connection_task: AbortHandle,
}

impl Drop for Peer {
    fn drop(&mut self) {
        self.connection_task.abort();
    }
}

impl Mesh {
    /// Creates a mesh without peers, which connect to this host at `address`.
    pub fn new(app: Arc<App>, follower: Arc<Follower>, address: SocketAddr) -> Arc<Mesh> {
        let newest_gossip = watch::Sender::new(Bytes::new());
        let recorders = Recorders::new([app.settings.name.clone()]);
        let roster = Roster::new(app.settings.name.clone(), app.settings.roster);
        app.state().allowances.set_fleet_known(clock::now(), false);
        Arc::new(Mesh {
            app,
            follower,
            address,
            newest_gossip,
            hosts: Mutex::default(),
            keepers: Mutex::new(Arc::new((Keepers::default(), recorders))),
            peers: Mutex::default(),
            roster: Mutex::new(roster),
            was_isolated: AtomicBool::new(false),
            knows_hosts: AtomicBool::new(false),
            is_fleet_listed: AtomicBool::new(false),
            reported_fleet_size: AtomicUsize::new(0),
            stopped_processes: Mutex::default(),
            couriers: Mutex::default(),
        })
    }

    /// Returns the state of this process.
    pub(crate) fn app(&self) -> &Arc<App> {
        &self.app
    }

    fn roster(&self) -> MutexGuard<'_, Roster> {
        self.roster.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn peers(&self) -> MutexGuard<'_, HashMap<Arc<str>, Peer>> {
        self.peers.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn hosts(&self) -> MutexGuard<'_, BTreeMap<Arc<str>, Host>> {
        self.hosts.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Applies changes of the list of hosts. Those without a `Host` are removed.
    pub fn update_hosts(
        self: &Arc<Mesh>,
        changes: impl IntoIterator<Item = (Arc<str>, Option<Host>)>,
    ) {
        let mut hosts = self.hosts();
        let known = hosts.len();
        let mut is_changed = false;
        let mut present = Vec::new();
        for (name, host) in changes {
            match host {
                Some(host) if self.is_stopped(&name, host.incarnation) => {}
                Some(host) if name != self.app.settings.name => {
                    present.push((name.clone(), host.incarnation));
                    is_changed |= hosts.insert(name, host).is_none();
                }
                Some(_) => {}
                None => {
                    hosts.remove(&name);
                    self.remove_peer(&name);
                }
            }
        }
        if is_changed || hosts.len() != known {
            let all = hosts.keys().cloned().chain([self.app.settings.name.clone()]);
            self.set_keepers(Keepers::new(hosts.keys().cloned()), Recorders::new(all));
        }
        drop(hosts);
        self.connect_cell();
        for (name, incarnation) in present {
            self.inform_keeper(&name, incarnation);
        }
    }

    /// Records that all hosts that the store lists are known. Before, a stream's keepers can't be told from other hosts.
    pub(crate) fn record_hosts_known(&self) {
        if !self.knows_hosts.swap(true, Ordering::Relaxed) {
            self.app.origins_due.notify_one();
        }
    }

    /// Returns whether all other hosts are known.
    fn knows_hosts(&self) -> bool {
        self.knows_hosts.load(Ordering::Relaxed)
    }

    /// Determines this host's cell from the number of hosts, connects to the hosts of the cell, and
    /// disconnects from all others.
    fn connect_cell(self: &Arc<Mesh>) {
        let hosts = self.hosts();
        let fleet_size = self.fleet_size(hosts.len());
        let cell = Cell::of(&self.app.settings.name, fleet_size);
        if self.app.set_cell(cell) {
            let (index, count) = cell.index_and_count();
            tracing::info!(index, count, hosts = fleet_size, "cell changed");
        }
        let removed_peers: Vec<Arc<str>> =
            self.peers().keys().filter(|name| !cell.contains(name)).cloned().collect();
        removed_peers.iter().for_each(|name| self.remove_peer(name));
        let cell_hosts = hosts.iter().filter(|(name, _)| cell.contains(name));
        cell_hosts.for_each(|(name, host)| self.connect(name, host));
        let own_cell_hosts = hosts.keys().filter(|name| cell.contains(name)).count();
        let other_cell_hosts = fleet_size - 1 - own_cell_hosts;
        let (now, mut state) = (clock::now(), self.app.state());
        state.allowances.set_other_cell_hosts(now, other_cell_hosts);
        state.dispatch.set_other_cell_hosts(now, other_cell_hosts);
        state.dispatch.set_hosts(now, &self.app.settings.name, hosts.keys(), false);
    }

    /// Starts to maintain a connection to a host, unless there is one already to the same
    /// incarnation and address.
    fn connect(self: &Arc<Mesh>, name: &Arc<str>, host: &Host) {
        let mut peers = self.peers();
        if peers.get(name).is_some_and(|peer| peer.host == *host) {
            return;
        }
        tracing::info!(peer = %name, address = %host.address, "peer added");
        let connection_task =
            tokio::spawn(link::maintain(self.clone(), name.clone(), host.address));
        let peer = Peer { host: host.clone(), connection_task: connection_task.abort_handle() };
        peers.insert(name.clone(), peer);
        self.roster().add_peer(clock::now(), name);
        self.app.forget_listing_host(name);
        self.app.state().allowances.expect_peer(clock::now(), name);
    }

    /// Records the version of a host's entry in the store, and whether it is marked as lost.
    pub(crate) fn record_entry(&self, name: &str, version: u64, marked: bool) {
        self.roster().record_entry(clock::now(), name, version, marked);
    }

    /// Ends the connection to a host.
    fn remove_peer(&self, name: &str) {
        if self.peers().remove(name).is_some() {
            tracing::info!(peer = name, "peer removed");
            self.roster().remove_peer(name);
            self.mark_gone(name);
        }
    }

    /// Returns the number of hosts to which this one keeps connections.
    pub fn peer_count(&self) -> usize {
        self.peers().len()
    }

    /// Returns the number of other hosts, of all cells.
    pub fn other_host_count(&self) -> usize {
        self.hosts().len()
    }

    /// Forgets the reports of a host that has ended or left, and no longer reserves a share of
    /// allowances for it.
    fn mark_gone(&self, name: &str) {
        let (now, peer, mut state) = (clock::now(), Arc::from(name), self.app.state());
        state.dispatch.remove_peer(now, &peer);
        state.allowances.remove_peer(now, &peer);
    }

    /// Records that a peer's address refuses connections. Its process has probably ended, so its load is forgotten.
    /// Its share of allowances and limits stays reserved, since a partition may refuse connections too.
    fn record_connection_refused(&self, name: &str) {
        let is_new = self.roster().record_connection_refused(name);
        if is_new {
            tracing::warn!(peer = name, "peer refuses connections");
            self.app.metrics.refused_peers.inc();
            self.app.state().dispatch.forget_load(name);
        }
    }

    /// Returns how many of the reachable hosts that the store answers come before this one by name,
    /// or `None` if the store doesn't answer this host.
    pub fn rank(&self) -> Option<usize> {
        self.follower.is_up().then(|| self.roster().rank())
    }

    /// Returns `true` if another host is about to give orders to engines.
    pub fn is_other_host_ordering(&self) -> bool {
        self.roster().is_other_host_ordering()
    }

    /// Returns what this host has to do now about the entries of lost hosts.
    pub(crate) fn steps(&self) -> Vec<Step> {
        if !self.follower.is_up() {
            return Vec::new();
        }
        self.roster().steps(clock::now())
    }

    /// Returns the incarnation and address of a host.
    pub(crate) fn host(&self, name: &str) -> Option<Host> {
        self.hosts().get(name).cloned()
    }

    /// Returns `true` if this host reaches less than half of its peers, so that it needs the
    /// store's confirmation.
    pub(crate) fn is_isolated(&self) -> bool {
        self.roster().is_isolated(clock::now())
    }

    /// Records that the store confirmed that this host is listed; the request was sent at
    /// `requested_at`. This extends the time for which the host may spend while it is isolated: the
    /// other hosts take over its share of allowances only after its entry was deleted.
    pub(crate) fn record_confirmation(&self, requested_at: Instant) {
        let spend_until = {
            let mut roster = self.roster();
            roster.record_confirmation(requested_at);
            roster.may_spend_until()
        };
        let mut state = self.app.state();
        state.allowances.set_spend_until(spend_until);
        state.dispatch.set_cold_spend_until(spend_until);
    }

    /// Handles a frame of a peer. Returns the reply, if any, to be sent on the same connection.
    fn handle_frame(
        self: &Arc<Mesh>,
        name: &Arc<str>,
        incarnation: u64,
        frame: Frame,
    ) -> Option<Frame> {
        match frame {
            Frame::News(news) => self.handle_gossip(name, incarnation, *news),
            Frame::Want { configuration, servers, accounts } => {
                self.answer_want(configuration, servers, accounts)
            }
            Frame::Accounts(accounts) => {
                self.app.adopt_accounts(name, &accounts);
                None
            }
            Frame::Configuration { version, document } => {
                self.follower.apply_peer_config(name, version, &document);
                None
            }
            Frame::Servers(servers) => {
                self.follower.apply_peer_servers(name, servers);
                None
            }
            Frame::Origins { known, unknown } => {
                self.app.record_origins(&known, &unknown);
                self.app.record_for_store(&known);
                None
            }
            Frame::WantOrigins(streams) => {
                let (known, unknown) = self.app.origins(&streams);
                Some(Frame::Origins { known, unknown })
            }
            _ => None,
        }
    }

    /// Applies a peer's gossip message to the roster, the follower, the dispatcher and the
    /// allowances. Returns a request for data that this host lacks, if any.
    fn handle_gossip(
        self: &Arc<Mesh>,
        name: &Arc<str>,
        incarnation: u64,
        mut news: News,
    ) -> Option<Frame> {
        if self.is_stopped(name, incarnation) {
            return None;
        }
        let now = clock::now();
        let millis = |ms: u32| Duration::from_millis(u64::from(ms));
        self.apply_named_hosts(name, incarnation, &news);
        let unreachable_hosts =
            news.unheard.iter().map(|(name, ms)| (name.clone(), millis(*ms))).collect();
        let report = roster::Report {
            store_reachable: news.store,
            unreachable_hosts,
            orders_pending: news.ordering,
            draining: news.draining,
            incarnation,
            uptime: Duration::from_millis(news.age_ms),
        };
        let (recovery, spend_until) = {
            let mut roster = self.roster();
            (roster.record_report(now, name, report), roster.may_spend_until())
        };
        if recovery.reachable_again {
            tracing::info!(peer = %name, "peer heard again");
        }
        if recovery.is_first_report {
            // The others learn of the peer from this host.
            self.app.gossip_due.notify_one();
        }
        if recovery.store_reachable_again {
            self.follower.retry_store(name);
        }
        let servers_differ = news.store && news.servers != self.follower.digest();
        self.follower.apply_peer_doubt(news.doubted_ms, servers_differ);
        self.follower.apply_peer_epoch(name, news.store_epoch);
        self.app.record_peer_leaving(name, &news.leaving);
        self.app.record_peer_limits(name, incarnation, &news.limits);
        self.app.record_quarantine_report(name, std::mem::take(&mut news.quarantine));
        if let Some(report) = news.evacuations.take() {
            self.app.apply_evacuations(name, report, &[]);
        }
        let request = self.request_missing(&news);
        {
            let mut state = self.app.state();
            state.dispatch.update_peer(now, name, &news);
            state.dispatch.record_peer_prefixes(now, &news.prefixes);
            for (server, left_ms) in &news.changing {
                state.dispatch.record_stage_change(now, server, millis(*left_ms));
            }
            let age = Duration::from_millis(news.age_ms);
            let spent = news.spent.into_iter().collect();
            state.allowances.record_report(now, name, Report { incarnation, age, spent });
            state.allowances.set_spend_until(spend_until);
            state.dispatch.set_cold_spend_until(spend_until);
        }
        self.app.record_peer_refusals(&news.refused);
        self.app.record_builds(&news.builds, news.builds_known, true);
        self.app.record_listing_host(name, &news.builds);
        self.refresh_builds();
        if self.app.has_unannounced_builds() {
            self.announce_builds();
        }
        if news.stopped {
            self.record_stop(name, incarnation);
        }
        request
    }

    /// Returns the request for what this host lacks: a newer configuration; the servers, if the
    /// peer's differ and the store answers the peer but not this host, or this host has none yet;
    /// and the accounts, if it has a configuration but doesn't know them.
    fn request_missing(&self, news: &News) -> Option<Frame> {
        let own_servers = self.follower.digest();
        let revision = revision_of(news.configuration, news.configuration_object);
        let wants_config = self.follower.should_request_config(revision);
        let may_adopt_servers =
            news.store && !self.follower.is_up() || self.follower.has_no_servers();
        let servers_differ = news.servers != own_servers;
        let wants_servers = may_adopt_servers
            && servers_differ
            && self.follower.should_request_servers(news.servers_version);
        let accounts = self.app.version() > 0 && !self.app.knows_accounts();
        // For a part that isn't requested, the peer's own digest or version is sent, so that the
        // peer doesn't answer with it. A configuration that is newer may state a lower version.
        let servers = if wants_servers { own_servers } else { news.servers };
        let configuration = if wants_config { 0 } else { news.configuration };
        let wants_any = wants_config || wants_servers || accounts;
        wants_any.then_some(Frame::Want { configuration, servers, accounts })
    }

    /// Returns the reply to a peer's request: the first of configuration, accounts and servers that
    /// the peer lacks.
    fn answer_want(&self, configuration: u64, servers: u64, accounts: bool) -> Option<Frame> {
        let active_config = self.app.active_config();
        if let Some(newer_config) =
            active_config.filter(|active| active.table.config().version > configuration)
        {
            let version = newer_config.table.config().version;
            return Some(Frame::Configuration { version, document: newer_config.raw.clone() });
        }
        if accounts && self.app.knows_accounts() {
            return Some(Frame::Accounts(self.app.accounts()));
        }
        let servers_differ = self.follower.digest() != servers;
        servers_differ.then(|| Frame::Servers(self.follower.servers()))
    }

    /// Builds the gossip message with this host's current state. Of the hosts that this one hears, it names those that it
    /// has heard for less than `named_within`; all if that is `None`.
    fn build_gossip(&self, named_within: Option<Duration>) -> News {
        let hosts = self.named_hosts(named_within);
        let fleet_size = u32::try_from(self.fleet_size(self.hosts().len())).unwrap_or(u32::MAX);
        let refused = self.app.recent_refusals();
        let unreachable = self.roster().unreachable_durations(clock::now());
        let millis = |time: Duration| u32::try_from(time.as_millis()).unwrap_or(u32::MAX);
        let (servers, store) = (self.follower.digest(), self.follower.is_up());
        let quarantine = self.app.quarantine_report();
        let revision = self.app.revision();
        let hears_new_host = !self.roster().heard_peers(clock::now(), Some(NAMING_TIME)).is_empty();
        let (builds, builds_known) = self.app.build_reports(hears_new_host);
        let evacuations = self.app.evacuation_report();
        let mut state = self.app.state();
        let limits = state.dispatch.limit_reports(clock::now());
        let spent = state.allowances.spent().iter();
        let (waiting, waiting_order) = state.dispatch.waiting_reports(clock::now());
        // The fields have the names of the wire format: `store` says whether the store answers this
        // host, `doubted_ms` how long ago a call to it went unanswered, `doubtful` lists the servers
        // that recently failed, `ordering` says whether this host is about to give orders to engines,
        // and `unheard` lists the unreachable hosts.
        News {
            configuration: revision.stated,
            configuration_object: revision.object,
            store,
            doubted_ms: self.follower.doubted_ms(),
            servers,
            servers_version: self.follower.servers_version(),
            age_ms: self.app.uptime().as_millis() as u64,
            spent: spent.map(|(name, tokens)| (name.clone(), *tokens)).collect(),
            engines: state.dispatch.engine_reports(),
            waiting,
            waiting_order,
            failing: state.dispatch.failing_servers(clock::now()),
            doubtful: state.dispatch.recently_failed_servers(clock::now()),
            changing: state.dispatch.changing_engines(clock::now()),
            demand: state.dispatch.demand_reports(),
            refused,
            ordering: self.app.orders_pending.load(Ordering::Relaxed),
            draining: self.app.is_draining(),
            leaving: state.dispatch.leaving_reports(),
            limits,
            store_epoch: self.follower.epoch(),
            quarantine,
            builds,
            builds_known,
            prefixes: Vec::new(),
            evacuations,
            unheard: unreachable.into_iter().map(|(name, time)| (name, millis(time))).collect(),
            hosts,
            fleet_size,
            stopped: self.app.is_stopped(),
        }
    }

    /// Exchanges this host's state with the others for the lifetime of the process.
    pub async fn run_gossip(self: Arc<Mesh>, timer: Timer) {
        tokio::join!(self.clone().exchange_origins(), self.send_gossip(timer));
    }

    /// Sends gossip: builds a message when a change is due to be
    /// reported and at each heartbeat, and passes it to the connections. Each heartbeat also does
    /// periodic maintenance: it checks which peers are reachable, adapts the watches of the store,
    /// divides the connections to servers among the hosts, and updates a metric.
    async fn send_gossip(self: Arc<Mesh>, timer: Timer) {
        let mut ticks = timer.subscribe(HEARTBEAT_INTERVAL);
        loop {
            // Prefixes are reported with heartbeats only, since they are many and need not be new.
            let mut prefixes = Vec::new();
            tokio::select! {
                () = self.app.urgent_gossip_due.notified() => sleep(COALESCE_MIN).await,
                () = self.app.gossip_due.notified() => self.coalesce().await,
                tick = ticks.recv() => {
                    if tick.is_none() {
                        return;
                    }
                    self.check_peers();
                    self.follower.set_hosts(self.other_host_count() + 1);
                    self.app.divide_connections(self.peer_count() + 1);
                    self.follower.update_age_metric();
                    prefixes = self.app.state().dispatch.take_prefix_reports(clock::now());
                    self.app.check_evacuations();
                }
            }
            self.publish_gossip(prefixes);
        }
    }

    /// Builds a gossip message, which reports `prefixes`, and passes it to the connections.
    fn publish_gossip(&self, prefixes: Vec<PrefixReport>) {
        let news = News { prefixes, ..self.build_gossip(Some(NAMING_TIME)) };
        match codec::encode(&Frame::News(Box::new(news))) {
            Ok(bytes) => drop(self.newest_gossip.send_replace(bytes.into())),
            Err(error) => tracing::error!(%error, "gossip message can't be encoded"),
        }
    }

    /// Waits while changes are gathered into one message; an urgent change shortens the wait.
    async fn coalesce(&self) {
        let peers = u32::try_from(self.peers().len()).unwrap_or(u32::MAX);
        tokio::select! {
            () = sleep(COALESCE_MIN.max(COALESCE_PER_PEER.saturating_mul(peers))) => {}
            () = self.app.urgent_gossip_due.notified() => sleep(COALESCE_MIN).await,
        }
    }

    /// Detects peers that have become unreachable, reserves their shares of allowances, updates how
    /// long this host may spend, and logs whether it has become isolated.
    fn check_peers(&self) {
        let now = clock::now();
        let (newly_unreachable, unreachable, reachable, spend_until, is_isolated) = {
            let mut roster = self.roster();
            let newly_unreachable = roster.check_timeouts(now);
            let unreachable: Vec<Arc<str>> = roster.unreachable_peers().cloned().collect();
            let is_isolated = roster.is_isolated(now);
            (
                newly_unreachable,
                unreachable,
                roster.reachable_count(),
                roster.may_spend_until(),
                is_isolated,
            )
        };
        newly_unreachable
            .iter()
            .for_each(|name| tracing::warn!(peer = %name, "peer can't be heard"));
        if self.was_isolated.swap(is_isolated, Ordering::Relaxed) != is_isolated {
            tracing::warn!(
                alone = is_isolated,
                heard = reachable,
                silent = unreachable.len(),
                "isolation changed"
            );
        }
        let mut state = self.app.state();
        for name in &unreachable {
            state.allowances.mark_unreachable(now, name);
            state.dispatch.mark_unreachable(now, name);
        }
        state.allowances.set_spend_until(spend_until);
        state.dispatch.set_cold_spend_until(spend_until);
        let reserved = (state.allowances.reserved_share() * 1_000.0) as i64;
        drop(state);
        self.app.report_cold_servers();
        if self.app.uptime() >= CONNECTING_TIME {
            self.record_hosts_known();
        }
        self.refresh_builds();
        self.announce_builds();
        self.app.check_builds_current();
        if self.app.is_builds_confirmation_due() {
            self.follower.confirm_list();
        }
        self.app.metrics.peers.set(i64::try_from(reachable).unwrap_or(i64::MAX));
        self.app.metrics.reserved_per_mille.set(reserved);
    }

    /// Renews the time for which this host may rely on knowing all builds, by the messages of its peers.
    fn refresh_builds(&self) {
        let settled_by = self.app.builds_settled_by();
        let (sent_at, reports_store) = {
            let roster = self.roster();
            (roster.quorum_sent_at(clock::now(), settled_by), roster.reports_store())
        };
        // Hosts of other cells may begin streams at builds that only the store can tell.
        let is_whole_fleet = self.is_whole_fleet();
        let is_told = is_whole_fleet || reports_store || self.follower.is_up();
        let is_known = self.knows_hosts() && self.follower.is_list_whole() && is_told;
        if let Some(sent_at) = sent_at.filter(|_| is_known) {
            self.app.confirm_builds_heard(sent_at, is_whole_fleet);
        }
    }

    /// Lets resumable streams begin at the builds that the other hosts know by now.
    fn announce_builds(&self) {
        if self.knows_hosts() {
            let heard = self.roster().peers_sent_within(clock::now(), KNOWLEDGE_LEASE);
            let (peers, is_whole_fleet) = (self.peer_count(), self.is_whole_fleet());
            self.app.announce_builds(Hosts { heard: &heard, peers, is_whole_fleet });
        }
    }

    /// Returns whether all other hosts are peers.
    fn is_whole_fleet(&self) -> bool {
        self.peer_count() == self.other_host_count()
    }

    /// Accepts peers' connections for the lifetime of the process.
    pub async fn accept(self: Arc<Mesh>, listener: TcpListener) {
        let bounds =
            intake::Settings { connections: self.app.settings.peer_connections, request_bytes: 0 };
        let intake = Intake::new("peers", bounds, Some(self.app.metrics.evictions.clone()));
        loop {
            intake.pause_accepting().await;
            match listener.accept().await {
                Ok((tcp, address)) => {
                    let opened = intake.open(address.ip());
                    tokio::spawn(link::accept(self.clone(), tcp, address, opened));
                }
                Err(error) => {
                    tracing::warn!(%error, "peer connection not accepted");
                    sleep(ACCEPT_PAUSE).await;
                }
            }
        }
    }

    /// Returns the first frame of a connection, by which this host identifies itself.
    fn hello(&self) -> Frame {
        let (name, incarnation) = (self.app.settings.name.clone(), self.app.settings.incarnation);
        Frame::Hello {
            version: frame::VERSION,
            sender: frame::Sender { name, incarnation },
            configuration: self.app.version(),
        }
    }
}

/// Returns the next frame of a peer, or `None` at the end of the connection. Logs an invalid frame, which ends it.
async fn receive(receiver: &mut Receiver, peer: &impl Display) -> Option<Frame> {
    let frame = receiver.receive().await;
    if let Err(Error::Frame(error)) = &frame {
        let error = error.to_string();
        tracing::warn!(%peer, error = excerpt(&error), "peer sent an invalid frame");
    }
    frame.ok()
}

/// Reads and handles frames from a connection that a peer opened, until it ends. The peer
/// identifies itself in the first frame.
async fn read_frames(
    mesh: &Arc<Mesh>,
    mut connection: Connection,
    opened: &chestnutrack_process::intake::Connection,
) {
    let mut sender: Option<frame::Sender> = None;
    while let Some(frame) = receive(&mut connection.receiver, &connection.peer).await {
        match (frame, &sender) {
            // An address of another host may lead here: it is given out anew, or guessed from a connection.
            (Frame::Hello { sender: from, .. }, _) if from.name == mesh.app.settings.name => {
                tracing::warn!(name = %from.name, peer = %connection.peer, "connection from a host of the same name refused");
                return;
            }
            (Frame::Hello { sender: from, .. }, _) => {
                mesh.add_connecting_host(&from, connection.peer);
                mesh.inform_keeper(&from.name, from.incarnation);
                // A peer that has identified itself is not one of a crowd of silent connections.
                opened.record_served();
                sender = Some(from);
            }
            (frame, Some(from)) => {
                if matches!(frame, Frame::News(_)) && mesh.host(&from.name).is_none() {
                    // A host that was removed as lost, and whose connection is still open.
                    mesh.add_connecting_host(from, connection.peer);
                }
                let answer = mesh.handle_frame(&from.name, from.incarnation, frame);
                if answer.is_some_and(|answer| connection.sender.send(&answer).is_err()) {
                    return;
                }
            }
            (_, None) => return,
        }
    }
}

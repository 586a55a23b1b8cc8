//! Entry hosts that tell each other what they have under way.
//!
//! Each host opens a connection to every other and sends its news on it: at once when something
//! changes, and as a heartbeat. News replace each other, so that a lost one does no harm. In a fleet that
//! is larger than one cell, hosts connect to those of their own cell only.

mod link;

use crate::app::App;
use crate::follow::{Follower, Host};
use bytes::Bytes;
use chestnutrack_core::allowance::Report;
use chestnutrack_core::cell::Cell;
use chestnutrack_core::roster::{self, Roster, Step};
use chestnutrack_core::time::Instant;
use chestnutrack_process::clock;
use chestnutrack_process::timer::Timer;
use chestnutrack_wire::frame::{self, Frame, News};
use chestnutrack_wire::{Connection, codec};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::AbortHandle;
use tokio::time::sleep;

/// Time between news when nothing changes.
const HEARTBEAT: Duration = Duration::from_millis(500);
/// Time for which changes are gathered into one news: at least, and for each peer, so that the
/// news that a host receives do not grow with the number of hosts. New generations are told after
/// the shortest time, since others may choose the same engine meanwhile.
const GATHER_MIN: Duration = Duration::from_millis(4);
const GATHER_PER_PEER: Duration = Duration::from_millis(5);
/// Pause after a connection could not be taken.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);

/// The other hosts.
pub struct Mesh {
    app: Arc<App>,
    follower: Arc<Follower>,
    /// Port that every host listens on for its peers.
    port: u16,
    /// The newest news, encoded. Each connection sends it once the one before has gone, so that
    /// none waits for a slow peer.
    newest: watch::Sender<Bytes>,
    /// All other hosts.
    hosts: Mutex<BTreeMap<Arc<str>, Host>>,
    /// Those of this host's cell.
    peers: Mutex<HashMap<Arc<str>, Peer>>,
    /// Which of those are heard. It is locked after `peers` where both are.
    roster: Mutex<Roster>,
    /// Whether this host hears less than half of them, as was last logged.
    alone: AtomicBool,
}

struct Peer {
    host: Host,
    /// Ends the task that keeps the connection to it.
    keeper: AbortHandle,
}

impl Drop for Peer {
    fn drop(&mut self) {
        self.keeper.abort();
    }
}

impl Mesh {
    /// Without peers; every host listens on the same port for them.
    pub fn new(app: Arc<App>, follower: Arc<Follower>, port: u16) -> Arc<Mesh> {
        let newest = watch::Sender::new(Bytes::new());
        let roster = Roster::new(app.settings.name.clone(), app.settings.roster);
        Arc::new(Mesh {
            app,
            follower,
            port,
            newest,
            hosts: Mutex::default(),
            peers: Mutex::default(),
            roster: Mutex::new(roster),
            alone: AtomicBool::new(false),
        })
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

    /// Takes in where hosts are; those without a place are gone for good.
    pub fn learn(self: &Arc<Mesh>, changes: impl IntoIterator<Item = (Arc<str>, Option<Host>)>) {
        let mut hosts = self.hosts();
        for (name, host) in changes {
            match host {
                Some(host) if name != self.app.settings.name => drop(hosts.insert(name, host)),
                Some(_) => {}
                None => {
                    hosts.remove(&name);
                    self.part(&name);
                }
            }
        }
        drop(hosts);
        self.settle();
    }

    /// Connects to the hosts of this host's cell, and to no other.
    fn settle(self: &Arc<Mesh>) {
        let hosts = self.hosts();
        let cell = Cell::of(&self.app.settings.name, hosts.len() + 1);
        if self.app.set_cell(cell) {
            let (index, count) = cell.index_and_count();
            tracing::info!(index, count, hosts = hosts.len() + 1, "cell changed");
        }
        let gone: Vec<Arc<str>> =
            self.peers().keys().filter(|name| !cell.contains(name)).cloned().collect();
        gone.iter().for_each(|name| self.part(name));
        let near = hosts.iter().filter(|(name, _)| cell.contains(name));
        near.for_each(|(name, host)| self.connect(name, host));
        let others = hosts.keys().filter(|name| !cell.contains(name)).count();
        self.app.state().allowances.set_other_cell_hosts(clock::now(), others);
    }

    /// Keeps a connection to a host, unless there is one.
    fn connect(self: &Arc<Mesh>, name: &Arc<str>, host: &Host) {
        let mut peers = self.peers();
        if peers.get(name).is_some_and(|peer| peer.host == *host) {
            return;
        }
        tracing::info!(peer = %name, address = %host.address, "peer met");
        let keeper = tokio::spawn(link::keep(self.clone(), name.clone(), host.address));
        let peer = Peer { host: host.clone(), keeper: keeper.abort_handle() };
        peers.insert(name.clone(), peer);
        self.roster().add_peer(clock::now(), name);
    }

    /// Notes the version of a host's entry in the store, and whether it is marked as lost.
    pub(crate) fn note_entry(&self, name: &str, version: u64, marked: bool) {
        self.roster().record_entry(clock::now(), name, version, marked);
    }

    /// Takes in a host that opened a connection before the store told of it. All hosts listen on the
    /// same port.
    fn meet_caller(self: &Arc<Mesh>, sender: &frame::Sender, peer: SocketAddr) {
        if !self.hosts().contains_key(&sender.name) {
            let address = SocketAddr::new(peer.ip(), self.port);
            let host = Host { incarnation: sender.incarnation, address };
            self.learn([(sender.name.clone(), Some(host))]);
        }
    }

    /// Ends the connection to a host.
    fn part(&self, name: &str) {
        if self.peers().remove(name).is_some() {
            tracing::info!(peer = name, "peer forgotten");
            self.roster().remove_peer(name);
            self.note_gone(name);
        }
    }

    /// Hosts that this one keeps connections to.
    pub fn connected(&self) -> usize {
        self.peers().len()
    }

    /// Other hosts, of all cells.
    pub fn others(&self) -> usize {
        self.hosts().len()
    }

    fn note_gone(&self, name: &str) {
        let mut state = self.app.state();
        state.dispatch.remove_peer(name);
        state.allowances.remove_peer(clock::now(), &name.into());
    }

    /// Notes that a peer's address refuses connections: its process is gone, and spends nothing.
    fn refused(&self, name: &str) {
        let is_new = self.roster().record_connection_refused(name);
        if is_new {
            tracing::warn!(peer = name, "peer's process is gone");
            self.note_gone(name);
        }
    }

    /// How many hosts come before this one, by name, of those that can be heard and that the store
    /// answers; nothing where the store doesn't answer this one.
    pub fn rank(&self) -> Option<usize> {
        self.follower.is_up().then(|| self.roster().rank())
    }

    /// Whether another host is about to give orders to engines.
    pub fn is_ordered_elsewhere(&self) -> bool {
        self.roster().is_other_host_ordering()
    }

    /// What this host does now about hosts that are lost for good.
    pub(crate) fn steps(&self) -> Vec<Step> {
        if !self.follower.is_up() {
            return Vec::new();
        }
        self.roster().steps(clock::now())
    }

    /// Where a host is.
    pub(crate) fn host(&self, name: &str) -> Option<Host> {
        self.hosts().get(name).cloned()
    }

    /// Whether this host hears less than half of its peers, so that it needs the store's confirmation.
    pub(crate) fn is_alone(&self) -> bool {
        self.roster().is_isolated(clock::now())
    }

    /// Notes that the store, asked at a time, confirmed that this host is listed.
    pub(crate) fn confirm(&self, asked: Instant) {
        let until = {
            let mut roster = self.roster();
            roster.record_confirmation(asked);
            roster.may_spend_until(clock::now())
        };
        self.app.state().allowances.set_spend_until(until);
    }

    /// Takes in a frame of a peer; the answer, where there is one, goes back on its connection.
    fn hear(self: &Arc<Mesh>, name: &Arc<str>, incarnation: u64, frame: Frame) -> Option<Frame> {
        match frame {
            Frame::News(news) => self.hear_news(name, incarnation, *news),
            Frame::Want { configuration, servers, accounts } => {
                self.tell(configuration, servers, accounts)
            }
            Frame::Accounts(accounts) => {
                self.app.adopt_accounts(name, &accounts);
                None
            }
            Frame::Configuration { version, document } => {
                self.follower.hear_config(name, version, &document);
                None
            }
            Frame::Servers(servers) => {
                self.follower.hear_servers(name, servers);
                None
            }
            _ => None,
        }
    }

    fn hear_news(self: &Arc<Mesh>, name: &Arc<str>, incarnation: u64, news: News) -> Option<Frame> {
        let now = clock::now();
        let millis = |ms: u32| Duration::from_millis(u64::from(ms));
        let unheard = news.unheard.iter().map(|(name, ms)| (name.clone(), millis(*ms))).collect();
        let told = roster::Report {
            store_reachable: news.store,
            unreachable_hosts: unheard,
            orders_pending: news.ordering,
        };
        let (heard, until) = {
            let mut roster = self.roster();
            (roster.record_report(now, name, told), roster.may_spend_until(now))
        };
        if heard.reachable_again {
            tracing::info!(peer = %name, "peer heard again");
        }
        if heard.store_reachable_again {
            self.follower.hear_back(name);
        }
        let differs = news.store && news.servers != self.follower.digest();
        self.follower.hear_doubt(news.doubted_ms, differs);
        let wanted = self.wanted(&news);
        {
            let mut state = self.app.state();
            state.dispatch.update_peer(now, name, &news);
            for (server, left_ms) in &news.changing {
                state.dispatch.record_stage_change(now, server, millis(*left_ms));
            }
            let age = Duration::from_millis(news.age_ms);
            let spent = news.spent.into_iter().collect();
            state.allowances.record_report(now, name, Report { incarnation, age, spent });
            state.allowances.set_spend_until(until);
        }
        self.app.hear_refused(&news.refused);
        wanted
    }

    /// What this host asks a peer for: a newer configuration, the servers where the store answers the
    /// peer but not this host, and where this host has just started, servers and accounts.
    fn wanted(&self, news: &News) -> Option<Frame> {
        let (configuration, servers) = (self.app.version(), self.follower.digest());
        let newer =
            news.configuration > configuration && self.follower.ask_config(news.configuration);
        let better = news.store && !self.follower.is_up() || self.follower.knows_none();
        let differs = news.servers != servers;
        let others = better && differs && self.follower.ask_servers(news.servers_version);
        let accounts = configuration > 0 && !self.app.knows_accounts();
        // One that knows what the peer does is told nothing of it.
        let servers = if others { servers } else { news.servers };
        let configuration = if newer { configuration } else { news.configuration };
        let wants = newer || others || accounts;
        wants.then_some(Frame::Want { configuration, servers, accounts })
    }

    /// What a peer that asks is told.
    fn tell(&self, configuration: u64, servers: u64, accounts: bool) -> Option<Frame> {
        let in_force = self.app.in_force();
        if let Some(newer) = in_force.filter(|now| now.table.config().version > configuration) {
            let version = newer.table.config().version;
            return Some(Frame::Configuration { version, document: newer.raw.clone() });
        }
        if accounts && self.app.knows_accounts() {
            return Some(Frame::Accounts(self.app.accounts()));
        }
        let differ = self.follower.digest() != servers;
        differ.then(|| Frame::Servers(self.follower.servers()))
    }

    fn news(&self) -> News {
        let refused = self.app.refused_lately();
        let unheard = self.roster().unreachable_durations(clock::now());
        let millis = |time: Duration| u32::try_from(time.as_millis()).unwrap_or(u32::MAX);
        let (servers, store) = (self.follower.digest(), self.follower.is_up());
        let configuration = self.app.version();
        let state = self.app.state();
        let spent = state.allowances.spent().iter();
        News {
            configuration,
            store,
            doubted_ms: self.follower.doubted_ms(),
            servers,
            servers_version: self.follower.servers_version(),
            age_ms: self.app.age().as_millis() as u64,
            spent: spent.map(|(name, tokens)| (name.clone(), *tokens)).collect(),
            engines: state.dispatch.engine_reports(),
            waiting: state.dispatch.waiting_ages_ms(clock::now()),
            failing: state.dispatch.failing_servers(clock::now()),
            doubtful: state.dispatch.recently_failed_servers(clock::now()),
            changing: state.dispatch.changing_engines(clock::now()),
            demand: state.dispatch.demand_reports(),
            refused,
            ordering: self.app.ordering.load(Ordering::Relaxed),
            unheard: unheard.into_iter().map(|(name, time)| (name, millis(time))).collect(),
        }
    }

    /// Tells peers the news until the process ends.
    pub async fn publish(self: Arc<Mesh>, timer: Timer) {
        let mut beats = timer.subscribe(HEARTBEAT);
        loop {
            tokio::select! {
                () = self.app.urgent_news.notified() => sleep(GATHER_MIN).await,
                () = self.app.news.notified() => self.gather().await,
                beat = beats.recv() => {
                    if beat.is_none() {
                        return;
                    }
                    self.look_for_silent();
                    self.follower.set_hosts(self.others() + 1);
                    self.app.share_connections(self.connected() + 1);
                    self.follower.show_ages();
                }
            }
            match codec::encode(&Frame::News(Box::new(self.news()))) {
                Ok(bytes) => drop(self.newest.send_replace(bytes.into())),
                Err(error) => tracing::error!(%error, "news can't be encoded"),
            }
        }
    }

    /// Waits while changes are gathered.
    async fn gather(&self) {
        let peers = u32::try_from(self.peers().len()).unwrap_or(u32::MAX);
        tokio::select! {
            () = sleep(GATHER_MIN.max(GATHER_PER_PEER.saturating_mul(peers))) => {}
            () = self.app.urgent_news.notified() => sleep(GATHER_MIN).await,
        }
    }

    fn look_for_silent(&self) {
        let now = clock::now();
        let (new, silent, heard, until, alone) = {
            let mut roster = self.roster();
            let new = roster.check_timeouts(now);
            let silent: Vec<Arc<str>> = roster.unreachable_peers().cloned().collect();
            let alone = roster.is_isolated(now);
            (new, silent, roster.reachable_count(), roster.may_spend_until(now), alone)
        };
        new.iter().for_each(|name| tracing::warn!(peer = %name, "peer can't be heard"));
        if self.alone.swap(alone, Ordering::Relaxed) != alone {
            tracing::warn!(
                alone,
                heard,
                silent = silent.len(),
                "whether most hosts can't be heard"
            );
        }
        let mut state = self.app.state();
        silent.iter().for_each(|name| state.allowances.mark_unreachable(now, name));
        state.allowances.set_spend_until(until);
        let kept = (state.allowances.reserved_share() * 1_000.0) as i64;
        drop(state);
        self.app.metrics.peers.set(i64::try_from(heard).unwrap_or(i64::MAX));
        self.app.metrics.kept_back.set(kept);
    }

    /// Takes peers' connections until the process ends.
    pub async fn accept(self: Arc<Mesh>, listener: TcpListener) {
        loop {
            match listener.accept().await {
                Ok((tcp, address)) => {
                    tokio::spawn(link::answer(self.clone(), tcp, address));
                }
                Err(error) => {
                    tracing::warn!(%error, "peer's connection not taken");
                    sleep(ACCEPT_PAUSE).await;
                }
            }
        }
    }

    fn hello(&self) -> Frame {
        let (name, incarnation) = (self.app.settings.name.clone(), self.app.settings.incarnation);
        Frame::Hello {
            version: frame::VERSION,
            sender: frame::Sender { name, incarnation },
            configuration: self.app.version(),
        }
    }
}

/// Reads a connection until it ends. The other end says who it is in its first frame.
async fn read(mesh: &Arc<Mesh>, mut connection: Connection) {
    let mut sender: Option<frame::Sender> = None;
    while let Ok(frame) = connection.receiver.receive().await {
        match (frame, &sender) {
            (Frame::Hello { sender: from, .. }, _) => {
                mesh.meet_caller(&from, connection.peer);
                sender = Some(from);
            }
            (frame, Some(from)) => {
                let answer = mesh.hear(&from.name, from.incarnation, frame);
                if answer.is_some_and(|answer| connection.sender.send(&answer).is_err()) {
                    return;
                }
            }
            (_, None) => return,
        }
    }
}

//! What entry hosts agree on: membership, configuration, limits and claims.
//!
//! The handle [`Fleet`] is all that the request path sees of it.

pub mod claim;
pub mod limit;
mod member;
mod metric;
mod page;
mod peer;
pub mod snapshot;
mod store;

pub use snapshot::Snapshot;

use chestnutrack_core::claim::CLAIM_TTL;
use chestnutrack_core::member::Identity;
use chestnutrack_core::time::Instant;
use chestnutrack_process::clock;
use chestnutrack_process::shutdown::Shutdown;
use chestnutrack_process::timer::Timer;
use chestnutrack_store::client::{self, Client};
use chestnutrack_wire::connection::Security;
use claim::Liveness;
use claim::manager::Manager;
use displaydoc::Display;
use member::{Debit, Member, Message, Shared, Start};
use metric::Metric;
use page::Pages;
use prometheus::Registry;
use ractor::{Actor, ActorRef};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::{oneshot, watch};

/// What a member needs to know when it starts.
#[derive(Clone)]
pub struct Settings {
    /// Name of this entry host, unique within the fleet.
    pub name: Arc<str>,
    /// Random number drawn when the process started.
    pub incarnation: u64,
    /// Service that it serves.
    pub service: Arc<str>,
    /// Failure domain of this host.
    pub failure_domain: Arc<str>,
    /// Address for peers; also where peers reach this member.
    pub listen: SocketAddr,
    /// Address of the object interface.
    pub platform: SocketAddr,
    /// Identity and trust between processes; plain TCP where absent.
    pub security: Option<Security>,
}

/// Why a member could not start.
#[derive(Debug, Display)]
pub enum Error {
    /// could not listen for peers on {0}: {1}
    Listen(SocketAddr, std::io::Error),
    /// a metric could not be registered: {0}
    Metric(prometheus::Error),
    /// the member's actor could not be started: {0}
    Actor(String),
}

impl std::error::Error for Error {}

/// Longest time for the write that leaves the table.
const LEAVE_TIMEOUT: Duration = Duration::from_secs(3);
/// Time between two rounds that give back claims of requests that were refused.
const ORPHAN_RELEASE_PERIOD: Duration = Duration::from_secs(1);

/// Time between two sweeps for expired claims.
const SWEEP_PERIOD: Duration = Duration::from_secs(600);

/// Handle on what the entry hosts agree on; cheap to clone.
#[derive(Clone)]
pub struct Fleet {
    member: ActorRef<Message>,
    manager: Manager<ActorRef<Message>>,
    snapshots: watch::Receiver<Arc<Snapshot>>,
    pages: watch::Receiver<Arc<Pages>>,
    trusted_until: Arc<AtomicU64>,
}

impl Fleet {
    /// Starts the member: it listens for peers, reads the configuration and joins the table.
    ///
    /// # Errors
    ///
    /// When the address is taken or a metric can't be registered. An object interface that is
    /// down is no error: the member goes on trying and asks its peers.
    pub async fn start(
        settings: Settings,
        timer: Timer,
        registry: &Registry,
        shutdown: Shutdown,
    ) -> Result<Fleet, Error> {
        // The member leaves when its requests have ended, not when the shutdown starts.
        drop(shutdown);
        let listen = settings.listen;
        let listen_error = |error| Error::Listen(listen, error);
        let listener = TcpListener::bind(listen).await.map_err(listen_error)?;
        let metric = Metric::new(registry).map_err(Error::Metric)?;
        let client = Client::new(settings.platform, client::Settings::default(), Some(registry));
        let (snapshots, snapshot_receiver) = watch::channel(Arc::new(Snapshot::default()));
        let (pages, page_receiver) = watch::channel(Arc::new(Pages::default()));
        let trusted_until = Arc::new(AtomicU64::new(0));
        let shared = Shared { snapshots, trusted_until: trusted_until.clone(), pages };
        let me = Identity { name: settings.name.clone(), incarnation: settings.incarnation };
        let service = settings.service.clone();
        let start =
            Start { settings, client: client.clone(), listener, metric: metric.clone(), shared };
        let spawned = Actor::spawn(None, Member, start).await;
        let (member, _) = spawned.map_err(|error| Error::Actor(error.to_string()))?;
        tokio::spawn(forward_ticks(timer.clone(), member.clone()));
        let liveness = member.clone();
        let orphans = Arc::default();
        let manager = Manager { client, service, me, liveness, metric, orphans };
        tokio::spawn(release_orphans(timer.clone(), manager.clone()));
        tokio::spawn(sweep(timer, manager.clone()));
        Ok(Fleet {
            member,
            manager,
            snapshots: snapshot_receiver,
            pages: page_receiver,
            trusted_until,
        })
    }

    /// What is in force now.
    ///
    /// A trust that has lapsed since it was published, as when the process was stopped, is gone.
    pub fn snapshot(&self) -> Arc<Snapshot> {
        let snapshot = self.snapshots.borrow().clone();
        let until = Instant(self.trusted_until.load(Ordering::Relaxed));
        if !snapshot.trusted || clock::now() < until {
            return snapshot;
        }
        Arc::new(Snapshot { trusted: false, ..Snapshot::clone(&snapshot) })
    }

    /// Follows what is in force.
    pub fn watch(&self) -> watch::Receiver<Arc<Snapshot>> {
        self.snapshots.clone()
    }

    /// A page for operators as JSON: `/v1/members`, `/v1/configuration` or `/v1/limits`.
    pub fn pages(&self, path: &str) -> Option<serde_json::Value> {
        self.pages.borrow().get(path)
    }

    /// Debits an organisation's tokens, waiting for them no longer than `within`.
    ///
    /// # Errors
    ///
    /// When the tokens can't be had in time, with when to come back; answered at once.
    pub async fn debit(
        &self,
        organisation: &Arc<str>,
        tokens: u64,
        within: Duration,
    ) -> Result<(), limit::Refusal> {
        let (reply, answer) = oneshot::channel();
        let organisation = organisation.clone();
        let debit = Debit { organisation, tokens, within, reply };
        let _ = self.member.send_message(Message::Debit(debit));
        answer.await.unwrap_or(Err(limit::Refusal::STOPPED))
    }

    /// Hands back tokens that were debited and not used.
    pub fn refund(&self, organisation: &Arc<str>, tokens: u64) {
        let _ = self.member.send_message(Message::Refund(organisation.clone(), tokens));
    }

    /// Claims an at-most-once request before it runs.
    ///
    /// # Errors
    ///
    /// When the claim can't be made; the request must then be refused as not run.
    pub async fn claim(
        &self,
        claim_request: claim::ClaimRequest,
    ) -> Result<claim::Outcome, claim::Error> {
        self.manager.claim(claim_request).await
    }

    /// Records how a claimed request ended, so that a repeat gets the same answer.
    ///
    /// # Errors
    ///
    /// When the end can't be recorded; a repeat is then told that the outcome is unknown.
    pub async fn settle(
        &self,
        held: claim::HeldClaim,
        end: claim::End,
    ) -> Result<(), claim::Error> {
        self.manager.settle(held, end).await
    }

    /// Leaves the table, once every request of this host has ended.
    pub async fn leave(&self) {
        let (done, left) = oneshot::channel();
        if self.member.send_message(Message::Leave(done)).is_ok() {
            let _ = tokio::time::timeout(LEAVE_TIMEOUT, left).await;
        }
    }
}

async fn forward_ticks(timer: Timer, member: ActorRef<Message>) {
    let mut ticks = timer.subscribe(member::TICK_PERIOD);
    while ticks.recv().await.is_some() {
        if member.send_message(Message::Tick).is_err() {
            return;
        }
    }
}

async fn release_orphans(timer: Timer, manager: Manager<ActorRef<Message>>) {
    let mut ticks = timer.subscribe(ORPHAN_RELEASE_PERIOD);
    while ticks.recv().await.is_some() {
        manager.release_orphans().await;
    }
}

async fn sweep(timer: Timer, manager: Manager<ActorRef<Message>>) {
    let mut ticks = timer.subscribe(SWEEP_PERIOD);
    while ticks.recv().await.is_some() {
        if manager.liveness.is_sweeper().await {
            manager.sweep(CLAIM_TTL).await;
        }
    }
}

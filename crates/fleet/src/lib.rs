//! State shared by all entry hosts of a service: membership, configuration, limits and claims.
//!
//! Each entry host runs one member, an actor that connects to its peers and to the object interface.
//! The request path uses it only through the handle [`Fleet`].
//!
//! Terms of this crate:
//!
//! - The table of members is a stored, versioned list of the entry hosts of the service.
//! - Members vouch for each other: each regularly asks its peers to confirm that their table lists
//!   it. A positive answer is a lease.
//! - A member is current, and may act as a member, while it holds an unexpired lease from every
//!   peer that it depends on.
//! - The configuration is the document of a service that was validated and accepted.
//! - A claim is the stored record that an at-most-once request is running or has ended.
//! - An orphan is a claim that may be stored although its request was refused as not run.

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
use member::{DebitRequest, Member, Message, Shared, Start};
use metric::Metrics;
use page::Pages;
use prometheus::Registry;
use ractor::{Actor, ActorRef};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::{oneshot, watch};

/// Settings of a member.
#[derive(Clone)]
pub struct Settings {
    /// Name of this entry host, unique within the fleet.
    pub name: Arc<str>,
    /// Random number that identifies this run of the process.
    pub incarnation: u64,
    /// Service that this host serves.
    pub service: Arc<str>,
    /// Failure domain of this host.
    pub failure_domain: Arc<str>,
    /// Address at which the member listens for peers and at which they reach it.
    pub listen: SocketAddr,
    /// Address of the object interface.
    pub platform: SocketAddr,
    /// TLS certificates and trust anchors for connections to peers; plain TCP if absent.
    pub security: Option<Security>,
}

/// Error that prevents a member from starting.
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

/// Longest wait for the write that removes this member from the table.
const LEAVE_TIMEOUT: Duration = Duration::from_secs(3);
/// Period at which orphaned claims are released.
const ORPHAN_RELEASE_PERIOD: Duration = Duration::from_secs(1);

/// Period of the sweeps that delete expired claims.
const SWEEP_PERIOD: Duration = Duration::from_secs(600);

/// Handle to this host's member; cheap to clone.
#[derive(Clone)]
pub struct Fleet {
    member: ActorRef<Message>,
    claim_manager: Manager<ActorRef<Message>>,
    snapshots: watch::Receiver<Arc<Snapshot>>,
    /// All operators' pages, as they were last rendered.
    pages: watch::Receiver<Arc<Pages>>,
    /// When the trust in the configuration expires if no further message arrives, in microseconds.
    trusted_until: Arc<AtomicU64>,
}

impl Fleet {
    /// Starts the member, which listens for peers, reads the configuration and joins the table.
    /// `shutdown` is not used: the member leaves only when [`Fleet::leave`] is called.
    ///
    /// # Errors
    ///
    /// Returns an error if the member can't listen on its address, a metric can't be registered or
    /// the actor can't be started. An object interface that is down is not an error: the member
    /// keeps retrying and gets the state from its peers.
    pub async fn start(
        settings: Settings,
        timer: Timer,
        registry: &Registry,
        shutdown: Shutdown,
    ) -> Result<Fleet, Error> {
        // The member leaves when `leave` is called, once the host's requests have ended, and not
        // already when the shutdown starts.
        drop(shutdown);
        let listen = settings.listen;
        let listen_error = |error| Error::Listen(listen, error);
        let listener = TcpListener::bind(listen).await.map_err(listen_error)?;
        let metrics = Metrics::new(registry).map_err(Error::Metric)?;
        let client = Client::new(settings.platform, client::Settings::default(), Some(registry));
        let (snapshots, snapshot_receiver) = watch::channel(Arc::new(Snapshot::default()));
        let (pages, page_receiver) = watch::channel(Arc::new(Pages::default()));
        let trusted_until = Arc::new(AtomicU64::new(0));
        let shared = Shared { snapshots, trusted_until: trusted_until.clone(), pages };
        let me = Identity { name: settings.name.clone(), incarnation: settings.incarnation };
        let service = settings.service.clone();
        let start =
            Start { settings, client: client.clone(), listener, metrics: metrics.clone(), shared };
        let spawned = Actor::spawn(None, Member, start).await;
        let (member, _) = spawned.map_err(|error| Error::Actor(error.to_string()))?;
        tokio::spawn(forward_ticks(timer.clone(), member.clone()));
        let liveness = member.clone();
        let orphans = Arc::default();
        let claim_manager = Manager { client, service, me, liveness, metrics, orphans };
        tokio::spawn(release_orphans(timer.clone(), claim_manager.clone()));
        tokio::spawn(sweep_claims(timer, claim_manager.clone()));
        Ok(Fleet {
            member,
            claim_manager,
            snapshots: snapshot_receiver,
            pages: page_receiver,
            trusted_until,
        })
    }

    /// Returns the configuration in force.
    ///
    /// The snapshot is marked as not trusted if its trust has expired since it was published, for
    /// example because the process was paused.
    pub fn snapshot(&self) -> Arc<Snapshot> {
        let snapshot = self.snapshots.borrow().clone();
        let trusted_until = Instant(self.trusted_until.load(Ordering::Relaxed));
        if !snapshot.trusted || clock::now() < trusted_until {
            return snapshot;
        }
        Arc::new(Snapshot { trusted: false, ..Snapshot::clone(&snapshot) })
    }

    /// Returns a channel that receives every new snapshot.
    pub fn watch(&self) -> watch::Receiver<Arc<Snapshot>> {
        self.snapshots.clone()
    }

    /// Returns an operators' page as JSON: `/v1/members`, `/v1/configuration` or `/v1/limits`. Returns
    /// `None` for any other path.
    pub fn pages(&self, path: &str) -> Option<serde_json::Value> {
        self.pages.borrow().get(path)
    }

    /// Debits tokens from an organisation's allowance. If they are not available yet, waits for
    /// them for up to `max_wait`.
    ///
    /// # Errors
    ///
    /// Returns a refusal, with the time after which to retry, as soon as it is known that the
    /// tokens won't be available within `max_wait`. The cause is [`limit::Cause::NotCurrent`] if
    /// the member's actor has stopped.
    pub async fn debit(
        &self,
        organisation: &Arc<str>,
        tokens: u64,
        max_wait: Duration,
    ) -> Result<(), limit::Refusal> {
        let (reply, answer) = oneshot::channel();
        let organisation = organisation.clone();
        let debit = DebitRequest { organisation, tokens, max_wait, reply };
        let _ = self.member.send_message(Message::Debit(debit));
        answer.await.unwrap_or(Err(limit::Refusal::STOPPED))
    }

    /// Refunds tokens that were debited and not used.
    pub fn refund(&self, organisation: &Arc<str>, tokens: u64) {
        let _ = self.member.send_message(Message::Refund(organisation.clone(), tokens));
    }

    /// Claims an at-most-once request; must be called before the request runs.
    ///
    /// # Errors
    ///
    /// Returns an error if the claim can't be made. The request must then be refused as not run.
    pub async fn claim(
        &self,
        claim_request: claim::ClaimRequest,
    ) -> Result<claim::Outcome, claim::Error> {
        self.claim_manager.claim(claim_request).await
    }

    /// Records how a claimed request ended, so that a repeated request gets the same answer.
    ///
    /// # Errors
    ///
    /// Returns an error if the end can't be recorded. A repeated request is then answered with
    /// [`claim::Outcome::Running`] and, once the claim is too old or this process
    /// is no longer considered alive, with [`claim::Outcome::Unknown`].
    pub async fn settle(
        &self,
        held_claim: claim::HeldClaim,
        end: claim::End,
    ) -> Result<(), claim::Error> {
        self.claim_manager.settle(held_claim, end).await
    }

    /// Leaves the table of members; call it once every request of this host has ended. Returns when
    /// the table in force no longer lists this member, or after a timeout of three seconds.
    pub async fn leave(&self) {
        let (reply, answer) = oneshot::channel();
        if self.member.send_message(Message::Leave(reply)).is_ok() {
            let _ = tokio::time::timeout(LEAVE_TIMEOUT, answer).await;
        }
    }
}

/// Sends the ticks of the timer to the member until the member's actor stops.
async fn forward_ticks(timer: Timer, member: ActorRef<Message>) {
    let mut ticks = timer.subscribe(member::TICK_PERIOD);
    while ticks.recv().await.is_some() {
        if member.send_message(Message::Tick).is_err() {
            return;
        }
    }
}

/// Periodically releases orphaned claims: those that may be stored although their requests were
/// refused as not run.
async fn release_orphans(timer: Timer, claim_manager: Manager<ActorRef<Message>>) {
    let mut ticks = timer.subscribe(ORPHAN_RELEASE_PERIOD);
    while ticks.recv().await.is_some() {
        claim_manager.release_orphans().await;
    }
}

/// Periodically deletes expired claims, if this member is the one that does so for the fleet.
async fn sweep_claims(timer: Timer, claim_manager: Manager<ActorRef<Message>>) {
    let mut ticks = timer.subscribe(SWEEP_PERIOD);
    while ticks.recv().await.is_some() {
        if claim_manager.liveness.is_sweeper().await {
            claim_manager.sweep(CLAIM_TTL).await;
        }
    }
}

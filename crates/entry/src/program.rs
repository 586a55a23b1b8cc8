//! Starts the parts of the program, and drains them at shutdown.

use crate::admin;
use crate::app::{App, FirstTokenEstimate, PrefillEstimate};
use crate::authority::Authority;
use crate::burn::Burn;
use crate::explain::RecentRequests;
use crate::link;
use crate::metric::Metrics;
use crate::scheduler::{self, Scheduler, ServerView};
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

/// Error during startup.
#[derive(Debug, Display)]
pub enum Error {
    /// could not listen on {0}: {1}
    Listen(SocketAddr, std::io::Error),
    /// identity could not be loaded: {0}
    Identity(tls::Error),
    /// could not listen for signals: {0}
    Signal(std::io::Error),
    /// a metric could not be registered: {0}
    Metric(prometheus::Error),
    /// the fleet could not be joined: {0}
    Fleet(chestnutrack_fleet::Error),
    /// an actor could not be started: {0}
    Actor(ractor::SpawnErr),
}

impl std::error::Error for Error {}

/// Startup arguments of the request path: the parts of the program that handle callers' requests.
pub struct Arguments {
    /// Service that the host serves.
    pub service: Arc<str>,
    /// Failure domain of this host.
    pub failure_domain: Arc<str>,
    /// Name and incarnation of this process.
    pub sender: Sender,
    /// TLS identity and trusted authorities; plain TCP if absent.
    pub security: Option<Security>,
    /// Interface to the fleet.
    pub authority: Authority,
    /// Timer service.
    pub timer: Timer,
    /// Seed of the random number generator used for placement.
    pub seed: u64,
    /// Timeouts and limits of connections to side processes.
    pub link: link::Settings,
    /// Limits on retries.
    pub retry: retry::Settings,
}

/// Running request path.
pub struct RequestPath {
    /// State shared by all requests.
    pub app: Arc<App>,
    /// State of the backend servers, for operators.
    pub views: watch::Receiver<Vec<ServerView>>,
}

/// Starts the request path: the scheduler, its links, and the task that applies new configurations.
///
/// # Errors
///
/// If an actor can't be started or a metric can't be registered.
pub async fn start(arguments: Arguments, registry: &Registry) -> Result<RequestPath, Error> {
    let metrics = Arc::new(Metrics::new(registry).map_err(Error::Metric)?);
    let (views_sender, views) = watch::channel(Vec::new());
    let incarnation = arguments.sender.incarnation;
    let burn = Burn::new(arguments.service, &arguments.sender.name, incarnation);
    let scheduler_arguments = scheduler::Arguments {
        sender: arguments.sender,
        link: arguments.link,
        security: arguments.security,
        seed: arguments.seed,
        timer: arguments.timer,
        metrics: metrics.clone(),
        views: views_sender,
    };
    let scheduler = Scheduler::start(scheduler_arguments).await.map_err(Error::Actor)?;
    tokio::spawn(apply_configurations(arguments.authority.snapshots.clone(), scheduler.clone()));
    let app = Arc::new(App {
        failure_domain: arguments.failure_domain,
        authority: arguments.authority,
        scheduler,
        metrics,
        ledger: Ledger::default(),
        burn: Arc::new(burn),
        recent_requests: RecentRequests::default(),
        retry_budget: Mutex::new(Budget::new(arguments.retry)),
        prefill_estimate: PrefillEstimate::default(),
        first_token_estimate: FirstTokenEstimate::default(),
        draining: AtomicBool::new(false),
    });
    Ok(RequestPath { app, views })
}

/// Passes each new configuration to the scheduler.
async fn apply_configurations(
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

/// Runs the program until SIGTERM or SIGINT, then drains it: serves the requests in progress to
/// their end, writes the outcome counts and leaves the fleet.
///
/// # Errors
///
/// If the program can't start.
pub async fn run(settings: Settings) -> Result<(), Error> {
    let shutdown = shutdown::on_signal().map_err(Error::Signal)?;
    shutdown::deliver_signals().map_err(Error::Signal)?;
    let security =
        settings.tls_files.as_ref().map(tls::load).transpose().map_err(Error::Identity)?;
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
    let arguments = Arguments {
        service: settings.service.clone(),
        failure_domain: settings.failure_domain.clone(),
        sender: Sender { name: settings.name.clone(), incarnation },
        security,
        authority: Authority::from_fleet(&fleet),
        timer: timer.clone(),
        seed: rand::random(),
        link: link::Settings::default(),
        retry: retry::Settings::default(),
    };
    let request_path = start(arguments, &registry).await?;
    let pages = admin::pages(request_path.app.clone(), request_path.views, fleet.clone());
    tokio::spawn(chestnutrack_process::admin::serve(operators, registry, ready.clone(), pages));
    tokio::spawn(update_readiness(ready, fleet.clone(), timer.clone(), shutdown.clone()));
    let client = Client::new(settings.platform, Default::default(), None);
    let burn = request_path.app.burn.clone();
    tokio::spawn(burn.clone().run_writer(client.clone(), timer));
    tracing::info!(name = %settings.name, listen = %settings.listen, "serving");
    server::serve(callers, request_path.app, shutdown, settings.drain_period).await;
    burn.flush(&client).await;
    fleet.leave().await;
    tracing::info!(name = %settings.name, "drained");
    Ok(())
}

/// Starts to listen on an address.
async fn listen(address: SocketAddr) -> Result<TcpListener, Error> {
    TcpListener::bind(address).await.map_err(|error| Error::Listen(address, error))
}

/// Keeps the readiness up to date: the host is ready while its configuration is confirmed and no
/// shutdown has begun.
async fn update_readiness(ready: Readiness, fleet: Fleet, timer: Timer, shutdown: Shutdown) {
    /// Interval between checks.
    const CHECK_INTERVAL: Duration = Duration::from_millis(200);
    let mut ticks = timer.subscribe(CHECK_INTERVAL);
    while ticks.recv().await.is_some() {
        ready.set(fleet.snapshot().trusted && !shutdown.is_set());
    }
}

//! Starts the parts of a direct entry host, one that calls backend servers itself, and shuts them
//! down.

use crate::app::{self, App};
use crate::dialect::Dialect;
use crate::follow::{Directory, Follower, Host, OriginRecords, Registration};
use crate::listener::{self, DrainTimes};
use crate::mesh::Mesh;
use crate::metric::Metrics;
use crate::stage::Controller;
use chestnutrack_core::intake;
use chestnutrack_process::http::{self, ResponseBody};
use chestnutrack_process::intake::Intake;
use chestnutrack_process::shutdown;
use chestnutrack_process::timer::Timer;
use chestnutrack_process::{admin, pool};
use chestnutrack_store::client::{self, Client};
use displaydoc::Display;
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use prometheus::Registry;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::watch;

/// Longest time to read a list; longer than a single answer takes when the store is slow.
const READ_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Time without an answer after which a connection to the store counts as broken.
const STORE_PEER_TIMEOUT: Duration = Duration::from_millis(3_000);

/// Time between two reads of the settings, which may change without a signal.
const SETTINGS_POLL_INTERVAL: Duration = Duration::from_secs(5);

/// Errors that keep the program from starting.
#[derive(Debug, Display)]
pub enum Error {
    /// could not listen on {0}: {1}
    Listen(SocketAddr, std::io::Error),
    /// signals could not be listened for: {0}
    Signal(std::io::Error),
    /// a metric could not be registered: {0}
    Metric(prometheus::Error),
}

impl std::error::Error for Error {}

/// Settings of the program.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Identity and limits of this process.
    pub app: app::Settings,
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address at which the platform checks whether this host is ready. If absent, the platform
    /// uses the operators' address.
    pub readiness: Option<SocketAddr>,
    /// Address for other entry hosts.
    pub peers: SocketAddr,
    /// Address for operators.
    pub operators: SocketAddr,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Times of a shutdown.
    pub drain: DrainTimes,
}

/// Formats of the platform: headers, objects and calls of its store.
#[derive(Clone, Copy, Debug)]
pub struct Protocol {
    /// Headers of requests and answers, and calls to engines.
    pub callers: Dialect,
    /// Kinds of objects in the platform's store and their decoders.
    pub directory: Directory,
    /// Calls of the platform's store.
    pub store: chestnutrack_store::dialect::Dialect,
}

/// Reads the settings again, or returns what is wrong with them.
pub type Reload = Box<dyn Fn() -> Result<Settings, String> + Send>;

/// Runs the program until SIGTERM, then finishes the requests in flight, removes this host's entry
/// from the store and returns.
///
/// # Errors
///
/// Returns why the program could not start.
pub async fn run(settings: Settings, protocol: Protocol, reload: Reload) -> Result<(), Error> {
    let shutdown = shutdown::on_signal().map_err(Error::Signal)?;
    let hangups = signal(SignalKind::hangup()).map_err(Error::Signal)?;
    shutdown::deliver_signals().map_err(Error::Signal)?;
    let callers = listen(settings.callers).await?;
    let readiness = match settings.readiness {
        Some(address) => Some(listen(address).await?),
        None => None,
    };
    let peers = listen(settings.peers).await?;
    let operators = listen(settings.operators).await?;
    let registry = Registry::new();
    let metrics = Metrics::new(&registry).map_err(Error::Metric)?;
    let timer = Timer::start();
    let name = settings.app.name.clone();
    let incarnation = settings.app.incarnation;
    tracing::info!(%name, incarnation, listen = %settings.callers, "started");
    let app = Arc::new(App::new(settings.app, protocol.callers, metrics));
    let client = store_client(protocol.store, settings.store, &registry);
    let follower = Follower::new(app.clone(), protocol.directory);
    let mesh = Mesh::new(app.clone(), follower.clone(), settings.peers);
    if let Some(readiness) = readiness {
        tokio::spawn(serve_readiness(readiness, app.clone()));
    }
    let ready = app.ready.clone();
    tokio::spawn(admin::serve(operators, registry, ready, Arc::new(|_, _| None)));
    tokio::spawn(follower.clone().follow_config(client.clone()));
    tokio::spawn(follower.clone().follow_servers(client.clone(), timer.clone()));
    tokio::spawn(follower.clone().follow_evacuations(client.clone()));
    let host = Host { incarnation, address: settings.peers };
    let hosts_kind = protocol.directory.hosts_kind;
    let registration =
        Registration::new(client.clone(), hosts_kind, name.clone(), host, mesh.clone());
    let registration_task = tokio::spawn(registration.clone().maintain(timer.clone()));
    tokio::spawn(registration.clone().follow(timer.clone()));
    let origins_kind = protocol.directory.origins_kind;
    tokio::spawn(OriginRecords::new(client.clone(), origins_kind, mesh.clone()).run());
    let leases_kind = protocol.directory.leases_kind;
    tokio::spawn(
        Controller::new(app.clone(), mesh.clone(), client.clone(), leases_kind).run(timer.clone()),
    );
    tokio::spawn(mesh.clone().accept(peers));
    tokio::spawn(mesh.clone().run_gossip(timer.clone()));
    tokio::spawn(app.clone().run_admission(timer.clone()));
    let (drain_sender, drain_receiver) = watch::channel(settings.drain);
    tokio::spawn(follow_settings(reload, hangups, timer, app.clone(), drain_sender));
    listener::serve(callers, app, shutdown, drain_receiver).await;
    registration_task.abort();
    tokio::join!(mesh.announce_stop(), registration.deregister());
    tracing::info!(%name, "stopped");
    Ok(())
}

/// Reads the settings again on SIGHUP and at intervals, and applies the two that may change while
/// the process runs: the retry burst and the times of a shutdown. Settings that can't be read are
/// logged and leave the previous ones in force.
async fn follow_settings(
    reload: Reload,
    mut hangups: Signal,
    timer: Timer,
    app: Arc<App>,
    drain_sender: watch::Sender<DrainTimes>,
) {
    let mut ticks = timer.subscribe(SETTINGS_POLL_INTERVAL);
    loop {
        // Whether SIGHUP, rather than the interval, is the reason to read the settings.
        let signal = tokio::select! {
            Some(()) = hangups.recv() => true,
            Some(_) = ticks.recv() => false,
            else => return,
        };
        match reload() {
            Ok(settings) => {
                let drain_changed = drain_sender.send_if_modified(|current| {
                    std::mem::replace(current, settings.drain) != settings.drain
                });
                let bound_changed = app.set_cold_bound(settings.app.cold_bound);
                let changed =
                    app.set_retry_burst(settings.app.retry_burst) || drain_changed || bound_changed;
                if changed || signal {
                    tracing::info!(signal, changed, "settings read anew");
                }
            }
            Err(error) => {
                tracing::error!(%error, signal, "settings can't be read; the previous ones stay in force")
            }
        }
    }
}

/// Returns a client of the platform's store with the timeouts of this program.
fn store_client(
    dialect: chestnutrack_store::dialect::Dialect,
    address: SocketAddr,
    registry: &Registry,
) -> Client {
    let pool =
        pool::Settings { peer_timeout: Some(STORE_PEER_TIMEOUT), ..pool::Settings::default() };
    let settings =
        client::Settings { pool, read_timeout: READ_TIMEOUT, ..client::Settings::default() };
    Client::with_dialect(dialect, address, settings, Some(registry))
}

/// Opens a listening socket.
async fn listen(address: SocketAddr) -> Result<TcpListener, Error> {
    TcpListener::bind(address).await.map_err(|error| Error::Listen(address, error))
}

/// Answers the platform's readiness checks.
pub async fn serve_readiness(listener: TcpListener, app: Arc<App>) {
    let shared_app = app.clone();
    let handle = move |request: Request<Incoming>| {
        let app = &shared_app;
        let response = answer_readiness(&request, app.dialect.ready_path, app.ready.get());
        async move { response }
    };
    let bounds =
        intake::Settings { connections: app.settings.readiness_connections, request_bytes: 0 };
    let intake = Intake::new("readiness", bounds, Some(app.metrics.evictions.clone()));
    http::serve_bounded(listener, intake, handle).await;
}

/// Returns the answer to a readiness check.
fn answer_readiness(
    request: &Request<Incoming>,
    path: &str,
    is_ready: bool,
) -> Response<ResponseBody> {
    let status = match (request.uri().path() == path, is_ready) {
        (false, _) => StatusCode::NOT_FOUND,
        (true, true) => StatusCode::OK,
        (true, false) => StatusCode::SERVICE_UNAVAILABLE,
    };
    let mut response = Response::new(http::full(""));
    *response.status_mut() = status;
    response
}

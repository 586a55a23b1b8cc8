//! Starts the actor, listeners and timers of the process, and waits until it has shut down.

use crate::actor::{self, Side};
use crate::message::Message;
use crate::settings::Settings;
use crate::{connection, metrics};
use chestnutrack_core::server::Event;
use chestnutrack_process::admin::{self, Readiness};
use chestnutrack_process::shutdown::Shutdown;
use chestnutrack_process::timer::Timer;
use chestnutrack_process::tls;
use displaydoc::Display;
use prometheus::Registry;
use ractor::{Actor, ActorRef};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinHandle;

/// Interval between ticks while the table is not idle.
const TICK_PERIOD: Duration = Duration::from_millis(20);
/// Interval between ticks while the table is idle; well below
/// [`PAUSE_THRESHOLD`](chestnutrack_core::server::settings::PAUSE_THRESHOLD), above which a gap
/// between events counts as a pause of the process.
const IDLE_TICK_PERIOD: Duration = Duration::from_millis(100);

/// Error that prevents the process from starting.
#[derive(Debug, Display)]
pub enum Error {
    /// could not listen for signals: {0}
    Signal(std::io::Error),
    /// could not listen on {0}: {1}
    Listen(SocketAddr, std::io::Error),
    /// {0}
    Identity(tls::Error),
    /// a metric could not be registered: {0}
    Metric(prometheus::Error),
    /// could not start the table's actor: {0}
    Actor(String),
}

impl std::error::Error for Error {}

/// A running process.
pub struct Program {
    /// Address on which the process listens for entry hosts.
    pub listen: SocketAddr,
    /// Address on which the process listens for operators.
    pub admin: SocketAddr,
    actor: ActorRef<Message>,
    actor_task: JoinHandle<()>,
}

impl Program {
    /// Waits until the process has shut down, which it does once it has finished its work.
    pub async fn wait(self) {
        let _ = self.actor_task.await;
    }

    /// Stops the actor at once, as if the process were killed.
    pub fn kill(&self) {
        self.actor.kill();
    }
}

/// Starts the process.
///
/// # Errors
///
/// Returns an error if the TLS identity can't be loaded, a listener can't be bound, a metric can't
/// be registered or the actor doesn't start.
pub async fn start(settings: Settings, shutdown: Shutdown) -> Result<Program, Error> {
    let security = match &settings.identity {
        Some(files) => Some(tls::load(files).map_err(Error::Identity)?),
        None => None,
    };
    let peer_listener = bind(settings.listen).await?;
    let admin_listener = bind(settings.admin).await?;
    let listen =
        peer_listener.local_addr().map_err(|error| Error::Listen(settings.listen, error))?;
    let admin =
        admin_listener.local_addr().map_err(|error| Error::Listen(settings.admin, error))?;
    let registry = Registry::new();
    let metrics = metrics::Metrics::new(&registry).map_err(Error::Metric)?;
    let ready = Readiness::default();
    let (publisher, published) = watch::channel(Arc::new(actor::Pages::default()));
    let (busy, busy_receiver) = watch::channel(false);
    let arguments = actor::Arguments {
        settings: Settings { listen, admin, ..settings },
        security: security.clone(),
        registry: registry.clone(),
        metrics,
        ready: ready.clone(),
        publisher,
        busy,
        incarnation: rand::random(),
    };
    let spawned = Actor::spawn(None, Side, arguments).await;
    let (actor, actor_task) = spawned.map_err(|error| Error::Actor(error.to_string()))?;
    tokio::spawn(connection::accept(peer_listener, security, actor.clone()));
    tokio::spawn(send_ticks(actor.clone(), busy_receiver));
    tokio::spawn(forward_shutdown(actor.clone(), shutdown));
    let pages = Arc::new(move |path: &str, _: &str| published.borrow().page(path));
    tokio::spawn(admin::serve(admin_listener, registry, ready, pages));
    tracing::info!(%listen, %admin, "started");
    Ok(Program { listen, admin, actor, actor_task })
}

async fn bind(address: SocketAddr) -> Result<TcpListener, Error> {
    TcpListener::bind(address).await.map_err(|error| Error::Listen(address, error))
}

/// Sends tick events to the actor until it stops, more often while the table is busy.
async fn send_ticks(actor: ActorRef<Message>, mut busy: watch::Receiver<bool>) {
    let timer = Timer::start();
    loop {
        let period = if *busy.borrow_and_update() { TICK_PERIOD } else { IDLE_TICK_PERIOD };
        let mut ticks = timer.subscribe(period);
        loop {
            tokio::select! {
                changed = busy.changed() => match changed {
                    Ok(()) => break,
                    Err(_) => return,
                },
                Some(tick) = ticks.recv() => {
                    if actor.cast(Message::Event(Event::Tick { delay: tick.late })).is_err() {
                        return;
                    }
                }
            }
        }
    }
}

/// Sends [`Event::Terminate`] to the actor when a shutdown is requested.
async fn forward_shutdown(actor: ActorRef<Message>, mut shutdown: Shutdown) {
    shutdown.wait().await;
    tracing::info!("leaving: shutdown requested");
    let _ = actor.cast(Message::Event(Event::Terminate));
}

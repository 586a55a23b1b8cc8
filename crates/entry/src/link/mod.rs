//! Connection to one side process: an actor that owns the socket and the attempts on it.
//!
//! A connection that breaks or misses its heartbeats is replaced by a new one, on which answers are
//! resumed at their offset. Frames from an older connection or for attempts that have ended are
//! counted and discarded.
//!
//! A side process is the small process beside each backend server, through which it is reached. An
//! attempt is one try to run a request on a backend server. A command is a frame that asks the side
//! process to work on an attempt (`Reserve`, `Prefill`, `Decode`, `Forward`), which answers
//! with frames about the attempt. A link is the connection together with its actor.

pub mod cursor;
pub mod events;
pub mod handle;
mod state;
pub mod stream;
#[cfg(test)]
mod tests;

pub use events::{Event, EventSender};
pub use handle::{AttemptHandle, Link};
pub use stream::{AttemptId, Stage};

use crate::metric::Metrics;
use chestnutrack_fleet::Snapshot;
use chestnutrack_process::timer::{Tick, Timer};
use chestnutrack_wire::connection::{Error, Security};
use chestnutrack_wire::frame::{self, Load, Sender};
use chestnutrack_wire::{Connection, Frame};
use ractor::{Actor, ActorProcessingErr, ActorRef};
use state::State;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Timeouts and limits of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Interval between heartbeats.
    pub heartbeat_interval: Duration,
    /// Time without any frame after which a connection is replaced.
    pub heartbeat_timeout: Duration,
    /// Time that an attempt whose answer may have begun waits for a new connection, on which the
    /// answer is resumed, before the attempt is abandoned.
    pub resume_timeout: Duration,
    /// Time that an attempt before its answer (a reservation or prefill) waits for a new connection
    /// before the attempt is abandoned, so that another server can be tried.
    pub change_server_timeout: Duration,
    /// Bytes of an answer that may be buffered for a slow caller before the answer is abandoned.
    pub max_buffered_bytes: usize,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            heartbeat_interval: Duration::from_millis(250),
            heartbeat_timeout: Duration::from_millis(800),
            resume_timeout: Duration::from_millis(2_000),
            change_server_timeout: Duration::from_millis(400),
            max_buffered_bytes: 8 << 20,
        }
    }
}

/// Status change that a link reports to the scheduler.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Notice {
    /// The side process is reachable.
    Up,
    /// The side process is unreachable.
    Down,
    /// The side process is draining and accepts no new work.
    Draining,
    /// Load report of the backend server.
    Loaded(Load),
}

/// Startup arguments of a link.
#[derive(Clone)]
pub struct Arguments {
    /// Name of the backend server.
    pub server: Arc<str>,
    /// Address of its side process.
    pub address: SocketAddr,
    /// Name and incarnation of this process.
    pub sender: Sender,
    /// TLS identity and trusted authorities; plain TCP if absent.
    pub security: Option<Security>,
    /// Timeouts and limits of the connection.
    pub settings: Settings,
    /// Current configuration.
    pub snapshot: Arc<Snapshot>,
    /// Callback that receives the notices.
    pub notices: Arc<dyn Fn(Notice) + Send + Sync>,
    /// Timer service.
    pub timer: Timer,
    /// Metrics of the process.
    pub metrics: Arc<Metrics>,
}

/// Messages of the actor: commands of the program (`Open`, `Advance`, `Close`, `Configure`,
/// `Stop`), and events of the connection and of timers (`Connected`, `Received`, `Broken`,
/// `Reconnect`, `Tick`).
pub enum Message {
    /// Starts an attempt by sending its first command; its events go to the sender.
    Open(AttemptId, Stage, Box<Frame>, EventSender),
    /// Sends an attempt's next command.
    Advance(AttemptId, Box<Frame>),
    /// Ends an attempt that has completed or is cancelled.
    Close(AttemptId, Close),
    /// A new configuration has taken effect.
    Configure(Arc<Snapshot>),
    /// The connection attempt with this number has succeeded or failed.
    Connected(u64, Result<Connection, Error>),
    /// A frame was received on the connection with this number.
    Received(u64, Box<Frame>),
    /// The connection with this number has failed.
    Broken(u64, Error),
    /// The reconnect backoff has elapsed.
    Reconnect,
    /// The heartbeat interval has elapsed.
    Tick(Tick),
    /// The server was removed from the configuration.
    Stop,
}

/// How an attempt ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Close {
    /// The answer was received completely.
    Done,
    /// The attempt is cancelled; the side process frees what was reserved for it.
    Cancel,
}

/// Actor that processes a link's messages.
pub struct Worker;

impl Actor for Worker {
    type Msg = Message;
    type State = State;
    type Arguments = Arguments;

    async fn pre_start(
        &self,
        myself: ActorRef<Message>,
        arguments: Arguments,
    ) -> Result<State, ActorProcessingErr> {
        forward_ticks(&arguments, myself.clone());
        let mut state = State::new(arguments, myself);
        state.connect();
        Ok(state)
    }

    async fn handle(
        &self,
        myself: ActorRef<Message>,
        message: Message,
        state: &mut State,
    ) -> Result<(), ActorProcessingErr> {
        match message {
            Message::Open(id, stage, command, events) => state.open(id, stage, *command, events),
            Message::Advance(id, command) => state.advance(id, *command),
            Message::Close(id, close) => state.close(id, close),
            Message::Configure(snapshot) => state.configure(snapshot),
            Message::Connected(connection_number, Ok(connection)) => {
                state.connected(connection_number, connection)
            }
            Message::Connected(connection_number, Err(error))
            | Message::Broken(connection_number, error) => {
                state.connection_failed(connection_number, &error);
            }
            Message::Received(connection_number, frame) => {
                state.received(connection_number, *frame)
            }
            Message::Reconnect => state.connect(),
            Message::Tick(tick) => state.tick(tick),
            Message::Stop => {
                state.abandon_all();
                myself.stop(None);
            }
        }
        Ok(())
    }
}

/// Sends a tick to the actor at each heartbeat interval.
fn forward_ticks(arguments: &Arguments, actor: ActorRef<Message>) {
    let mut ticks = arguments.timer.subscribe(arguments.settings.heartbeat_interval);
    tokio::spawn(async move {
        while let Some(tick) = ticks.recv().await {
            if actor.cast(Message::Tick(tick)).is_err() {
                return;
            }
        }
    });
}

/// Returns whether frames of a side process with this protocol version can be decoded: its version
/// is not newer than ours.
fn is_version_supported(version: u32) -> bool {
    version <= frame::VERSION
}

//! The connection to one side process: an actor that owns the socket and the attempts on it.
//!
//! A connection that breaks or stays silent is replaced by a new one, on which answers go on at
//! their offset. Frames of an older connection, or of attempts that are over, are counted and
//! dropped.

pub mod cursor;
pub mod events;
pub mod handle;
mod state;
pub mod stream;
#[cfg(test)]
mod tests;

pub use events::{Event, EventSender};
pub use handle::{AttemptHandle, Link};
pub use stream::{Id, Stage};

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

/// Bounds on a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Time between heartbeats.
    pub heartbeat_interval: Duration,
    /// Silence after which a connection is replaced.
    pub heartbeat_timeout: Duration,
    /// How long an answer waits for a new connection before it is given up.
    pub resume_timeout: Duration,
    /// How long a hold or a prefill waits for a new connection before another server is asked.
    pub replace_timeout: Duration,
    /// Bytes of an answer that may wait for a slow caller before the answer is given up.
    pub max_buffered_bytes: usize,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            heartbeat_interval: Duration::from_millis(250),
            heartbeat_timeout: Duration::from_millis(800),
            resume_timeout: Duration::from_millis(2_000),
            replace_timeout: Duration::from_millis(400),
            max_buffered_bytes: 8 << 20,
        }
    }
}

/// What the scheduler learns from a link.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Notice {
    /// The side process can be reached.
    Up,
    /// It can't be reached.
    Down,
    /// It takes no new work.
    Draining,
    /// Its server's load.
    Loaded(Load),
}

/// What a link needs to know when it starts.
#[derive(Clone)]
pub struct Arguments {
    /// Name of the backend server.
    pub server: Arc<str>,
    /// Address of its side process.
    pub address: SocketAddr,
    /// Who this process is.
    pub sender: Sender,
    /// Identity and trust; plain TCP where absent.
    pub security: Option<Security>,
    /// Bounds on the connection.
    pub settings: Settings,
    /// The configuration in force.
    pub snapshot: Arc<Snapshot>,
    /// Where notices go.
    pub notices: Arc<dyn Fn(Notice) + Send + Sync>,
    /// The timer service.
    pub timer: Timer,
    /// Counters.
    pub metrics: Arc<Metrics>,
}

/// Messages of the actor.
pub enum Message {
    /// Starts an attempt with its first frame.
    Open(Id, Stage, Box<Frame>, EventSender),
    /// Sends an attempt's next order.
    Advance(Id, Box<Frame>),
    /// Ends an attempt: its answer came whole, or it is given up.
    Close(Id, Close),
    /// A new configuration is in force.
    Configure(Arc<Snapshot>),
    /// An attempt to connect has ended.
    Connected(u64, Result<Connection, Error>),
    /// A frame came on the connection with this number.
    Received(u64, Box<Frame>),
    /// The connection with this number has ended.
    Broken(u64, Error),
    /// Time to try a connection again.
    Reconnect,
    /// A heartbeat is due.
    Tick(Tick),
    /// The server is no longer part of the configuration.
    Stop,
}

/// How an attempt ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Close {
    /// Its answer came whole.
    Done,
    /// It is given up; the side process frees what it holds.
    Cancel,
}

/// The actor.
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
            Message::Open(id, stage, frame, events) => state.open(id, stage, *frame, events),
            Message::Advance(id, frame) => state.advance(id, *frame),
            Message::Close(id, close) => state.close(id, close),
            Message::Configure(snapshot) => state.configure(snapshot),
            Message::Connected(number, Ok(connection)) => state.connected(number, connection),
            Message::Connected(number, Err(error)) | Message::Broken(number, error) => {
                state.broken(number, &error);
            }
            Message::Received(number, frame) => state.received(number, *frame),
            Message::Reconnect => state.connect(),
            Message::Tick(tick) => state.tick(tick),
            Message::Stop => {
                state.give_up_all();
                myself.stop(None);
            }
        }
        Ok(())
    }
}

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

/// Whether a peer's frames can be understood.
fn is_understood(version: u32) -> bool {
    version <= frame::VERSION
}

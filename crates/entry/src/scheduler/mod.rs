//! The scheduler: an actor that owns the table of servers, the links to their side processes and
//! the requests that wait.

pub mod handle;
mod servers;
mod state;

pub use handle::{InFlight, Outcome, Placement, Scheduler};

use crate::link::{self, Link, Notice};
use crate::metric::Metrics;
use chestnutrack_core::place::{Key, Query};
use chestnutrack_core::queue::Waiting;
use chestnutrack_document::model::Role;
use chestnutrack_fleet::Snapshot;
use chestnutrack_process::timer::{Tick, Timer};
use chestnutrack_wire::connection::Security;
use chestnutrack_wire::frame;
use ractor::{Actor, ActorProcessingErr, ActorRef};
use serde::Serialize;
use state::State;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{oneshot, watch};

/// Time between sweeps of the requests that wait.
const SWEEP_EVERY: Duration = Duration::from_millis(50);

/// What the scheduler needs to know when it starts.
#[derive(Clone)]
pub struct Arguments {
    /// Who this process is.
    pub sender: frame::Sender,
    /// Identity and trust; plain TCP where absent.
    pub security: Option<Security>,
    /// Bounds on connections to side processes.
    pub link: link::Settings,
    /// Seed of its random choices.
    pub seed: u64,
    /// The timer service.
    pub timer: Timer,
    /// Counters.
    pub metrics: Arc<Metrics>,
    /// Where it shows the servers.
    pub servers: watch::Sender<Vec<View>>,
}

/// A server, as operators see it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct View {
    /// Name.
    pub name: Arc<str>,
    /// Pool.
    pub pool: Arc<str>,
    /// Role.
    pub role: Role,
    /// Failure domain.
    pub failure_domain: Arc<str>,
    /// State.
    pub state: Condition,
    /// Slots.
    pub slots: u32,
    /// Slots in use, as last reported.
    pub used: u32,
    /// Requests that wait there, as last reported.
    pub waiting: u32,
    /// Requests of this host there.
    pub held: u32,
    /// Prompt tokens queued there, as last reported.
    pub queued_tokens: u64,
}

/// Whether a server gets new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Condition {
    /// It does.
    Live,
    /// It does when a slot falls free.
    Full,
    /// It does not any more.
    Leaving,
    /// Its side process can't be reached.
    Unreachable,
}

/// A request that wants a server.
pub struct PlacementRequest {
    /// Role of the server: decode or plain.
    pub role: Role,
    /// What is asked of it.
    pub query: Query,
    /// Where the turn goes.
    pub reply: oneshot::Sender<Result<Placement, Rejection>>,
}

/// A request did not get a turn.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rejection {
    /// Its deadline has passed or can't be met; when to come back, in milliseconds.
    Deadline(u64),
    /// Too many wait; when to come back, in milliseconds.
    Full(u64),
}

/// Messages of the actor.
pub enum Message {
    /// A request waits for its turn on a decode server or plain service.
    Wait(Waiting<PlacementRequest>),
    /// A request wants a prefill server now.
    Prefill(Query, oneshot::Sender<Option<Placement>>),
    /// A request has left a server.
    Left(Key),
    /// How a server took a request.
    Outcome(Key, Outcome),
    /// A link has news of its server.
    Notice(Key, Notice),
    /// A new configuration is in force.
    Configure(Arc<Snapshot>),
    /// A link was started.
    Linked(Key, Link),
    /// A sweep is due.
    Tick(Tick),
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
        let mut ticks = arguments.timer.subscribe(SWEEP_EVERY);
        let actor = myself.clone();
        tokio::spawn(async move {
            while let Some(tick) = ticks.recv().await {
                if actor.cast(Message::Tick(tick)).is_err() {
                    return;
                }
            }
        });
        Ok(State::new(arguments, myself))
    }

    async fn handle(
        &self,
        _: ActorRef<Message>,
        message: Message,
        state: &mut State,
    ) -> Result<(), ActorProcessingErr> {
        match message {
            Message::Wait(waiting) => state.wait(waiting),
            Message::Prefill(query, reply) => state.prefill(&query, reply),
            Message::Left(key) => state.left(key),
            Message::Outcome(key, took) => state.took(key, took),
            Message::Notice(key, notice) => state.notice(key, notice),
            Message::Configure(snapshot) => state.configure(&snapshot),
            Message::Linked(key, link) => state.linked(key, link),
            Message::Tick(tick) => state.tick(tick),
        }
        Ok(())
    }
}

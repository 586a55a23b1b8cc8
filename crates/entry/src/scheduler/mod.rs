//! The scheduler: an actor that owns the table of backend servers, the links to their side
//! processes and the queues of waiting requests, and places each request on a server.
//!
//! A placement is the choice of a server for one attempt at a request. Decode servers and plain
//! services (backend servers that run no model) are chosen as soon as one has room, for which
//! requests wait in a queue; prefill servers are chosen at once. Each server is identified by its
//! key in the table.

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

/// Interval at which expired requests are removed from the queues.
const SWEEP_INTERVAL: Duration = Duration::from_millis(50);

/// Startup arguments of the scheduler.
#[derive(Clone)]
pub struct Arguments {
    /// Name and incarnation of this process.
    pub sender: frame::Sender,
    /// TLS identity and trusted authorities; plain TCP if absent.
    pub security: Option<Security>,
    /// Timeouts and limits of connections to side processes.
    pub link: link::Settings,
    /// Seed of the random number generator used for placement.
    pub seed: u64,
    /// Timer service.
    pub timer: Timer,
    /// Metrics of the process.
    pub metrics: Arc<Metrics>,
    /// Channel on which the state of the servers is published to operators.
    pub views: watch::Sender<Vec<ServerView>>,
}

/// State of a backend server, as shown to operators.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct ServerView {
    /// Name of the server.
    pub name: Arc<str>,
    /// Name of its pool.
    pub pool: Arc<str>,
    /// Role.
    pub role: Role,
    /// Failure domain.
    pub failure_domain: Arc<str>,
    /// Whether the server gets new work.
    pub state: Condition,
    /// Configured number of slots.
    pub slots: u32,
    /// Slots in use, as last reported.
    pub used: u32,
    /// Requests waiting at the server, as last reported.
    pub waiting: u32,
    /// Requests in flight from this host to the server.
    pub held: u32,
    /// Prompt tokens queued at the server, as last reported.
    pub queued_tokens: u64,
}

/// Whether a server gets new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Condition {
    /// Gets new work.
    Live,
    /// Gets new work once a slot is free.
    Full,
    /// Leaving, draining or no longer configured: gets no new work.
    Leaving,
    /// Its side process is unreachable.
    Unreachable,
}

/// Request to be placed on a decode server or plain service.
pub struct PlaceRequest {
    /// Required role of the server: decode or plain.
    pub role: Role,
    /// Pool, size and preferences.
    pub query: Query,
    /// Channel for the result.
    pub reply: oneshot::Sender<Result<Placement, Rejection>>,
}

/// Reason why a request was not placed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rejection {
    /// The deadline has passed or can't be met; carries the time to retry after, in
    /// milliseconds.
    Deadline(u64),
    /// Too many requests are waiting; carries the time to retry after, in milliseconds.
    Full(u64),
}

/// Messages of the actor: requests to place (`Enqueue`, `PlacePrefill`), a new configuration
/// (`Configure`), and events of placed requests, links and the timer (the rest).
pub enum Message {
    /// Queues a request for a decode server or plain service.
    Enqueue(Waiting<PlaceRequest>),
    /// Places a prompt on a prefill server at once, without queueing.
    PlacePrefill(Query, oneshot::Sender<Option<Placement>>),
    /// A request is no longer in flight to a server.
    Finished(Key),
    /// A server accepted, refused or failed a request.
    Outcome(Key, Outcome),
    /// A link reports a change of its server.
    Notice(Key, Notice),
    /// A new configuration has taken effect.
    Configure(Arc<Snapshot>),
    /// The link to a server was started.
    Linked(Key, Link),
    /// The sweep interval has elapsed.
    Tick(Tick),
}

/// Actor that processes the scheduler's messages.
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
        let mut ticks = arguments.timer.subscribe(SWEEP_INTERVAL);
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
            Message::Enqueue(waiting) => state.enqueue(waiting),
            Message::PlacePrefill(query, reply) => state.place_prefill(&query, reply),
            Message::Finished(key) => state.request_finished(key),
            Message::Outcome(key, outcome) => state.record_outcome(key, outcome),
            Message::Notice(key, notice) => state.apply_notice(key, notice),
            Message::Configure(snapshot) => state.configure(&snapshot),
            Message::Linked(key, link) => state.add_link(key, link),
            Message::Tick(tick) => state.tick(tick),
        }
        Ok(())
    }
}

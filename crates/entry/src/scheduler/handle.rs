//! What the rest of the program sees of the scheduler.

use super::{Arguments, Message, PlacementRequest, Rejection, Worker};
use crate::link::Link;
use chestnutrack_core::place::{Key, Query};
use chestnutrack_core::queue::Waiting;
use chestnutrack_fleet::Snapshot;
use ractor::{Actor, ActorRef, SpawnErr};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::oneshot;

/// Handle on the scheduler; cheap to clone.
#[derive(Clone)]
pub struct Scheduler(pub(super) ActorRef<Message>);

impl Scheduler {
    /// Starts the actor.
    ///
    /// # Errors
    ///
    /// When the actor can't be started.
    pub async fn start(arguments: Arguments) -> Result<Scheduler, SpawnErr> {
        Worker::spawn(None, Worker, arguments).await.map(|(actor, _)| Scheduler(actor))
    }

    /// Puts a configuration in force.
    pub fn configure(&self, snapshot: Arc<Snapshot>) {
        let _ = self.0.cast(Message::Configure(snapshot));
    }

    /// Waits for a turn on a decode server or plain service. `want` makes the request's entry
    /// from the place where its turn goes.
    ///
    /// # Errors
    ///
    /// At once when the deadline can't be met, otherwise when it passes.
    pub async fn place(
        &self,
        want: impl FnOnce(oneshot::Sender<Result<Placement, Rejection>>) -> Waiting<PlacementRequest>,
    ) -> Result<Placement, Rejection> {
        let (reply, turn) = oneshot::channel();
        let _ = self.0.cast(Message::Wait(want(reply)));
        turn.await.unwrap_or(Err(Rejection::Deadline(0)))
    }

    /// Chooses a prefill server, or `None` where none can be had.
    pub async fn place_prefill(&self, query: Query) -> Option<Placement> {
        let (reply, turn) = oneshot::channel();
        let _ = self.0.cast(Message::Prefill(query, reply));
        turn.await.ok().flatten()
    }
}

/// A server that a request may go to.
pub struct Placement {
    /// The server's name.
    pub server: Arc<str>,
    /// The link to its side process.
    pub link: Link,
    /// Why this server.
    pub reason: Arc<str>,
    /// Prompt tokens that a prefill server must compute before the KV cache is ready, as far as
    /// is known: for a decode server at the best prefill server, for a prefill server at itself.
    pub prefill_work: Option<u64>,
    /// Counts the request against the server until dropped.
    pub in_flight: InFlight,
}

/// How a server took a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It refused for want of room.
    Full {
        /// When it says that it may be asked again.
        retry_after: Duration,
    },
    /// It failed.
    Failed,
    /// It answered.
    Answered,
}

/// Counts a request against a server until dropped.
pub struct InFlight {
    pub(super) scheduler: Scheduler,
    pub(super) key: Key,
}

impl InFlight {
    /// Tells how the server took the request.
    pub fn report(&self, took: Outcome) {
        let _ = self.scheduler.0.cast(Message::Outcome(self.key, took));
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        let _ = self.scheduler.0.cast(Message::Left(self.key));
    }
}

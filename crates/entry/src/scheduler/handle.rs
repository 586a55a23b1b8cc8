//! Handle with which the rest of the program uses the scheduler.

use super::{Arguments, Message, PlaceRequest, Rejection, Worker};
use crate::link::Link;
use chestnutrack_core::place::{Key, Query};
use chestnutrack_core::queue::Waiting;
use chestnutrack_fleet::Snapshot;
use ractor::{Actor, ActorRef, SpawnErr};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::oneshot;

/// Handle to the scheduler's actor; cheap to clone.
#[derive(Clone)]
pub struct Scheduler(pub(super) ActorRef<Message>);

impl Scheduler {
    /// Starts the scheduler's actor.
    ///
    /// # Errors
    ///
    /// If the actor can't be started.
    pub async fn start(arguments: Arguments) -> Result<Scheduler, SpawnErr> {
        Worker::spawn(None, Worker, arguments).await.map(|(actor, _)| Scheduler(actor))
    }

    /// Applies a new configuration.
    pub fn configure(&self, snapshot: Arc<Snapshot>) {
        let _ = self.0.cast(Message::Configure(snapshot));
    }

    /// Queues a request and waits until it is placed on a decode server or plain service.
    /// `build` creates the queue's entry from the channel for the result.
    ///
    /// # Errors
    ///
    /// At once if the queue is full or the deadline can't be met, otherwise when the deadline
    /// passes.
    pub async fn place(
        &self,
        build: impl FnOnce(oneshot::Sender<Result<Placement, Rejection>>) -> Waiting<PlaceRequest>,
    ) -> Result<Placement, Rejection> {
        let (reply, placement) = oneshot::channel();
        let _ = self.0.cast(Message::Enqueue(build(reply)));
        placement.await.unwrap_or(Err(Rejection::Deadline(0)))
    }

    /// Places a prompt on a prefill server at once; returns `None` if none is available.
    pub async fn place_prefill(&self, query: Query) -> Option<Placement> {
        let (reply, placement) = oneshot::channel();
        let _ = self.0.cast(Message::PlacePrefill(query, reply));
        placement.await.ok().flatten()
    }
}

/// Server chosen for a request.
pub struct Placement {
    /// Name of the server.
    pub server: Arc<str>,
    /// Link to its side process.
    pub link: Link,
    /// State of the server when it was chosen, for the explanation of the request.
    pub reason: Arc<str>,
    /// Prompt tokens that must be prefilled before the KV cache is ready, including prompts queued
    /// ahead of this one: on the best prefill server for a decode placement, on the chosen server
    /// for a prefill placement. `None` if not known.
    pub prefill_work: Option<u64>,
    /// Guard that counts the request as in flight to the server.
    pub in_flight: InFlight,
}

/// Outcome of a request at a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The server refused the request because it was full.
    Full {
        /// Time after which the server says that it can be tried again.
        retry_after: Duration,
    },
    /// The request failed at the server.
    Failed,
    /// The server began to answer.
    Answered,
}

/// Guard that counts a request as in flight to a server until it is dropped.
pub struct InFlight {
    pub(super) scheduler: Scheduler,
    pub(super) key: Key,
}

impl InFlight {
    /// Reports the request's outcome at the server, on which later placements depend.
    pub fn report(&self, outcome: Outcome) {
        let _ = self.scheduler.0.cast(Message::Outcome(self.key, outcome));
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        let _ = self.scheduler.0.cast(Message::Finished(self.key));
    }
}

//! What the rest of the program sees of the scheduler.

use super::{Arguments, Late, Message, Want, Worker};
use crate::link::Link;
use chestnutrack_core::place::{Ask, Key};
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
    pub async fn turn(
        &self,
        want: impl FnOnce(oneshot::Sender<Result<Turn, Late>>) -> Waiting<Want>,
    ) -> Result<Turn, Late> {
        let (reply, turn) = oneshot::channel();
        let _ = self.0.cast(Message::Wait(want(reply)));
        turn.await.unwrap_or(Err(Late::Deadline(0)))
    }

    /// Chooses a prefill server, or `None` where none can be had.
    pub async fn prefill(&self, ask: Ask) -> Option<Turn> {
        let (reply, turn) = oneshot::channel();
        let _ = self.0.cast(Message::Prefill(ask, reply));
        turn.await.ok().flatten()
    }
}

/// A server that a request may go to.
pub struct Turn {
    /// The server's name.
    pub server: Arc<str>,
    /// The link to its side process.
    pub link: Link,
    /// Counts the request against the server until dropped.
    pub hold: Hold,
}

/// Counts a request against a server until dropped.
pub struct Hold {
    pub(super) scheduler: Scheduler,
    pub(super) key: Key,
}

impl Hold {
    /// Tells that the server refused for want of room, and when it may be asked again.
    pub fn was_full(&self, again_in: Duration) {
        let _ = self.scheduler.0.cast(Message::Full(self.key, again_in));
    }
}

impl Drop for Hold {
    fn drop(&mut self) {
        let _ = self.scheduler.0.cast(Message::Left(self.key));
    }
}

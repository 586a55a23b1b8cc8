//! Handles with which the rest of the program uses a link (the connection to a side process) and
//! the attempts on it. Their methods send messages to the link's actor.

use super::events::{self, Event, EventReceiver};
use super::{Arguments, AttemptId, Close, Message, Stage, Worker};
use chestnutrack_fleet::Snapshot;
use chestnutrack_wire::Frame;
use chestnutrack_wire::frame::Ran;
use ractor::{Actor, ActorRef, SpawnErr};
use std::sync::Arc;

/// Handle to the connection to one side process; cheap to clone.
#[derive(Clone)]
pub struct Link {
    actor: ActorRef<Message>,
    max_buffered_bytes: usize,
}

impl Link {
    /// Starts the link's actor, which connects at once.
    ///
    /// # Errors
    ///
    /// If the actor can't be started.
    pub async fn start(arguments: Arguments) -> Result<Link, SpawnErr> {
        let max_buffered_bytes = arguments.settings.max_buffered_bytes;
        let (actor, _) = Worker::spawn(None, Worker, arguments).await?;
        Ok(Link { actor, max_buffered_bytes })
    }

    /// Starts an attempt by sending its first command, a frame that asks the side process to work.
    pub fn open(&self, id: AttemptId, stage: Stage, command: Frame) -> AttemptHandle {
        let (sender, events) = events::channel(self.max_buffered_bytes);
        let _ = self.actor.cast(Message::Open(id, stage, Box::new(command), sender));
        AttemptHandle { link: self.clone(), id, events, is_closed: false }
    }

    /// Passes a new configuration to the side process.
    pub fn configure(&self, snapshot: Arc<Snapshot>) {
        let _ = self.actor.cast(Message::Configure(snapshot));
    }

    /// Closes the connection and abandons every attempt on it.
    pub fn stop(&self) {
        let _ = self.actor.cast(Message::Stop);
    }
}

/// Handle to an attempt on a side process. Dropping it cancels the attempt, which frees what it has
/// reserved on the side process.
pub struct AttemptHandle {
    link: Link,
    id: AttemptId,
    events: EventReceiver,
    is_closed: bool,
}

impl AttemptHandle {
    /// Waits for the attempt's next event; `Event::Lost` if the link has ended. Cancel-safe.
    pub async fn next(&mut self) -> Event {
        self.events.next().await.unwrap_or(Event::Lost(Ran::Unknown))
    }

    /// Sends the attempt's next command.
    pub fn advance(&self, command: Frame) {
        let _ = self.link.actor.cast(Message::Advance(self.id, Box::new(command)));
    }

    /// Ends the attempt after its answer was received completely.
    pub fn finish(mut self) {
        self.close(Close::Done);
    }

    /// Tells the link how the attempt ends, once.
    fn close(&mut self, close: Close) {
        if !self.is_closed {
            self.is_closed = true;
            let _ = self.link.actor.cast(Message::Close(self.id, close));
        }
    }
}

impl Drop for AttemptHandle {
    fn drop(&mut self) {
        self.close(Close::Cancel);
    }
}

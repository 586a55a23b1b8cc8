//! What the rest of the program sees of a link.

use super::events::{self, Event, EventReceiver};
use super::{Arguments, Close, Id, Message, Stage, Worker};
use chestnutrack_fleet::Snapshot;
use chestnutrack_wire::Frame;
use chestnutrack_wire::frame::Ran;
use ractor::{Actor, ActorRef, SpawnErr};
use std::sync::Arc;

/// Handle on the connection to one side process; cheap to clone.
#[derive(Clone)]
pub struct Link {
    actor: ActorRef<Message>,
    max_buffered_bytes: usize,
}

impl Link {
    /// Starts the actor.
    ///
    /// # Errors
    ///
    /// When the actor can't be started.
    pub async fn start(arguments: Arguments) -> Result<Link, SpawnErr> {
        let max_buffered_bytes = arguments.settings.max_buffered_bytes;
        let (actor, _) = Worker::spawn(None, Worker, arguments).await?;
        Ok(Link { actor, max_buffered_bytes })
    }

    /// Starts an attempt with its first frame.
    pub fn open(&self, id: Id, stage: Stage, frame: Frame) -> AttemptHandle {
        let (sender, events) = events::channel(self.max_buffered_bytes);
        let _ = self.actor.cast(Message::Open(id, stage, Box::new(frame), sender));
        AttemptHandle { link: self.clone(), id, events, closed: false }
    }

    /// Passes a new configuration on.
    pub fn configure(&self, snapshot: Arc<Snapshot>) {
        let _ = self.actor.cast(Message::Configure(snapshot));
    }

    /// Ends the connection and every attempt on it.
    pub fn stop(&self) {
        let _ = self.actor.cast(Message::Stop);
    }
}

/// An attempt on a side process. Dropping it gives the attempt up, which frees what it holds.
pub struct AttemptHandle {
    link: Link,
    id: Id,
    events: EventReceiver,
    closed: bool,
}

impl AttemptHandle {
    /// Waits for what comes next. Cancel-safe.
    pub async fn next(&mut self) -> Event {
        self.events.next().await.unwrap_or(Event::Lost(Ran::Unknown))
    }

    /// Sends the attempt's next order.
    pub fn advance(&self, frame: Frame) {
        let _ = self.link.actor.cast(Message::Advance(self.id, Box::new(frame)));
    }

    /// Ends the attempt: its answer came whole.
    pub fn finish(mut self) {
        self.close(Close::Done);
    }

    fn close(&mut self, close: Close) {
        if !self.closed {
            self.closed = true;
            let _ = self.link.actor.cast(Message::Close(self.id, close));
        }
    }
}

impl Drop for AttemptHandle {
    fn drop(&mut self) {
        self.close(Close::Cancel);
    }
}

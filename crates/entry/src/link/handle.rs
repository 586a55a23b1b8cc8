//! What the rest of the program sees of a link.

use super::{Arguments, Close, Event, Id, Message, Stage, Worker};
use chestnutrack_fleet::Snapshot;
use chestnutrack_wire::Frame;
use chestnutrack_wire::frame::Ran;
use ractor::{Actor, ActorRef, SpawnErr};
use std::sync::Arc;
use tokio::sync::mpsc;

/// Handle on the connection to one side process; cheap to clone.
#[derive(Clone)]
pub struct Link(ActorRef<Message>);

impl Link {
    /// Starts the actor.
    ///
    /// # Errors
    ///
    /// When the actor can't be started.
    pub async fn start(arguments: Arguments) -> Result<Link, SpawnErr> {
        Worker::spawn(None, Worker, arguments).await.map(|(actor, _)| Link(actor))
    }

    /// Starts an attempt with its first frame.
    pub fn open(&self, id: Id, stage: Stage, frame: Frame) -> Open {
        let (sender, events) = mpsc::unbounded_channel();
        let _ = self.0.cast(Message::Open(id, stage, Box::new(frame), sender));
        Open { link: self.clone(), id, events, closed: false }
    }

    /// Passes a new configuration on.
    pub fn configure(&self, snapshot: Arc<Snapshot>) {
        let _ = self.0.cast(Message::Configure(snapshot));
    }

    /// Ends the connection and every attempt on it.
    pub fn stop(&self) {
        let _ = self.0.cast(Message::Stop);
    }
}

/// An attempt on a side process. Dropping it gives the attempt up, which frees what it holds.
pub struct Open {
    link: Link,
    id: Id,
    events: mpsc::UnboundedReceiver<Event>,
    closed: bool,
}

impl Open {
    /// Waits for what comes next. Cancel-safe.
    pub async fn next(&mut self) -> Event {
        self.events.recv().await.unwrap_or(Event::Lost(Ran::Unknown))
    }

    /// Sends the attempt's next order.
    pub fn advance(&self, frame: Frame) {
        let _ = self.link.0.cast(Message::Advance(self.id, Box::new(frame)));
    }

    /// Ends the attempt: its answer came whole.
    pub fn finish(mut self) {
        self.close(Close::Done);
    }

    fn close(&mut self, close: Close) {
        if !self.closed {
            self.closed = true;
            let _ = self.link.0.cast(Message::Close(self.id, close));
        }
    }
}

impl Drop for Open {
    fn drop(&mut self) {
        self.close(Close::Cancel);
    }
}

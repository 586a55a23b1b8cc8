//! What a link tells a request's task of an attempt, with a bound on the bytes that wait.

use bytes::Bytes;
use chestnutrack_wire::frame::{Failure, Finish, Kv, Ran};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use tokio::sync::mpsc;

/// What a side process says of an attempt.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The hold is given; the KV cache may come in so many milliseconds.
    Reserved(u32),
    /// The KV cache is ready.
    Prefilled(Kv),
    /// More of the answer.
    Tokens(Vec<Arc<str>>),
    /// The answer is whole.
    End(Finish),
    /// Head of a plain answer.
    Head(u16, Vec<(Arc<str>, Arc<str>)>),
    /// More of a plain answer.
    Body(Bytes),
    /// The plain answer is whole.
    BodyEnd,
    /// The attempt was refused or failed.
    Failed(Failure),
    /// The side process can't be reached any more; whether the attempt ran.
    Lost(Ran),
}

/// Sending half.
#[derive(Debug)]
pub struct EventSender {
    events: mpsc::UnboundedSender<Event>,
    waiting: Arc<AtomicUsize>,
    most: usize,
}

/// Receiving half.
#[derive(Debug)]
pub struct EventReceiver {
    events: mpsc::UnboundedReceiver<Event>,
    waiting: Arc<AtomicUsize>,
}

/// Both halves, for an answer of which at most so many bytes may wait.
pub fn channel(most: usize) -> (EventSender, EventReceiver) {
    let (sender, receiver) = mpsc::unbounded_channel();
    let waiting = Arc::new(AtomicUsize::new(0));
    let events = EventSender { events: sender, waiting: waiting.clone(), most };
    (events, EventReceiver { events: receiver, waiting })
}

impl EventSender {
    /// Tells the request's task.
    pub fn send(&self, event: Event) {
        self.waiting.fetch_add(size(&event), Ordering::Relaxed);
        let _ = self.events.send(event);
    }

    /// Whether more bytes wait than may.
    pub fn is_overfull(&self) -> bool {
        self.waiting.load(Ordering::Relaxed) > self.most
    }
}

impl EventReceiver {
    /// Waits for what comes next; `None` when the link has ended. Cancel-safe.
    pub async fn next(&mut self) -> Option<Event> {
        let event = self.events.recv().await?;
        self.waiting.fetch_sub(size(&event), Ordering::Relaxed);
        Some(event)
    }

    /// What has come already, if anything.
    pub fn try_next(&mut self) -> Option<Event> {
        let event = self.events.try_recv().ok()?;
        self.waiting.fetch_sub(size(&event), Ordering::Relaxed);
        Some(event)
    }
}

fn size(event: &Event) -> usize {
    match event {
        Event::Body(bytes) => bytes.len(),
        _ => 0,
    }
}

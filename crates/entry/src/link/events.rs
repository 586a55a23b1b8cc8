//! Channel on which a link reports the events of an attempt to the task that runs the request. It
//! counts the body bytes that are buffered, so that a slow caller can't use up the memory.

use bytes::Bytes;
use chestnutrack_wire::frame::{Failure, Finish, Kv, Ran};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use tokio::sync::mpsc;

/// Event of an attempt on a side process. A generated answer comes from an engine, a plain one from
/// a plain service (a backend server that runs no model).
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The reservation was granted; the KV transfer can start in this many milliseconds at the
    /// earliest.
    Reserved(u32),
    /// The prefill has completed and the KV cache is ready.
    Prefilled(Kv),
    /// Next tokens of a generated answer.
    Tokens(Vec<Arc<str>>),
    /// The generated answer is complete.
    End(Finish),
    /// Status and headers of a plain answer.
    Head(u16, Vec<(Arc<str>, Arc<str>)>),
    /// Next bytes of a plain answer's body.
    Body(Bytes),
    /// The plain answer is complete.
    BodyEnd,
    /// The side process refused the attempt, or it failed there.
    Failed(Failure),
    /// The side process became unreachable or the attempt was abandoned; says whether it ran.
    Lost(Ran),
}

/// Sending half of the channel.
#[derive(Debug)]
pub struct EventSender {
    events: mpsc::UnboundedSender<Event>,
    buffered_bytes: Arc<AtomicUsize>,
    max_buffered_bytes: usize,
}

/// Receiving half of the channel.
#[derive(Debug)]
pub struct EventReceiver {
    events: mpsc::UnboundedReceiver<Event>,
    buffered_bytes: Arc<AtomicUsize>,
}

/// Creates a channel whose sender is over its limit when more than `max_buffered_bytes` of an
/// answer's body wait to be received.
pub fn channel(max_buffered_bytes: usize) -> (EventSender, EventReceiver) {
    let (sender, receiver) = mpsc::unbounded_channel();
    let buffered_bytes = Arc::new(AtomicUsize::new(0));
    let events =
        EventSender { events: sender, buffered_bytes: buffered_bytes.clone(), max_buffered_bytes };
    (events, EventReceiver { events: receiver, buffered_bytes })
}

impl EventSender {
    /// Sends an event to the request's task. Never blocks and never refuses; see
    /// [`is_over_limit`](EventSender::is_over_limit).
    pub fn send(&self, event: Event) {
        self.buffered_bytes.fetch_add(body_len(&event), Ordering::Relaxed);
        let _ = self.events.send(event);
    }

    /// Returns whether more body bytes are buffered than allowed.
    pub fn is_over_limit(&self) -> bool {
        self.buffered_bytes.load(Ordering::Relaxed) > self.max_buffered_bytes
    }
}

impl EventReceiver {
    /// Waits for the next event; `None` once the link has dropped the sender. Cancel-safe.
    pub async fn next(&mut self) -> Option<Event> {
        let event = self.events.recv().await?;
        self.buffered_bytes.fetch_sub(body_len(&event), Ordering::Relaxed);
        Some(event)
    }

    /// Returns an event that has already arrived, if any.
    pub fn try_next(&mut self) -> Option<Event> {
        let event = self.events.try_recv().ok()?;
        self.buffered_bytes.fetch_sub(body_len(&event), Ordering::Relaxed);
        Some(event)
    }
}

/// Returns the number of body bytes that an event carries.
fn body_len(event: &Event) -> usize {
    match event {
        Event::Body(bytes) => bytes.len(),
        _ => 0,
    }
}

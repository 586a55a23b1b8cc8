//! The timer service: one task that parts of a process subscribe to for ticks.
//!
//! A subscriber that is busy gets one late tick, not a burst of them. A tick says how late it is,
//! so that a subscriber notices that the process was stopped.

use crate::clock;
use chestnutrack_core::time::Instant;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::task::JoinHandle;

/// Resolution of the service, in milliseconds.
pub const RESOLUTION_MS: u64 = 5;

/// One tick.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Tick {
    /// When it was given.
    pub now: Instant,
    /// How much later than due it is.
    pub late: Duration,
}

struct Subscription {
    period: Duration,
    due: Instant,
    ticks: mpsc::Sender<Tick>,
}

/// Handle on the timer service; cheap to clone.
#[derive(Clone)]
pub struct Timer {
    subscriptions: mpsc::UnboundedSender<Subscription>,
}

impl Timer {
    /// Starts the service's task.
    pub fn start() -> Timer {
        let (subscriptions, incoming) = mpsc::unbounded_channel();
        drop(spawn(incoming));
        Timer { subscriptions }
    }

    /// Subscribes to ticks, one a period. Dropping the receiver ends the subscription.
    pub fn subscribe(&self, period: Duration) -> mpsc::Receiver<Tick> {
        let (ticks, receiver) = mpsc::channel(1);
        let due = clock::now() + period;
        let _ = self.subscriptions.send(Subscription { period, due, ticks });
        receiver
    }
}

fn spawn(mut incoming: mpsc::UnboundedReceiver<Subscription>) -> JoinHandle<()> {
    tokio::spawn(async move {
        let mut subscriptions = Vec::new();
        let mut interval = tokio::time::interval(Duration::from_millis(RESOLUTION_MS));
        loop {
            tokio::select! {
                added = incoming.recv() => match added {
                    Some(subscription) => subscriptions.push(subscription),
                    None => return,
                },
                _ = interval.tick() => run(&mut subscriptions, clock::now()),
            }
        }
    })
}

fn run(subscriptions: &mut Vec<Subscription>, now: Instant) {
    subscriptions.retain_mut(|subscription| {
        if now < subscription.due {
            return !subscription.ticks.is_closed();
        }
        let tick = Tick { now, late: now.since(subscription.due) };
        subscription.due = now + subscription.period;
        !matches!(subscription.ticks.try_send(tick), Err(mpsc::error::TrySendError::Closed(_)))
    });
}

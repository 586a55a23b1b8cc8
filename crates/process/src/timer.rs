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

/// Time between two looks at an empty list of subscriptions.
const IDLE: Duration = Duration::from_secs(60);

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
        let mut subscriptions: Vec<Subscription> = Vec::new();
        loop {
            let wait = next(&subscriptions, clock::now());
            tokio::select! {
                added = incoming.recv() => match added {
                    Some(subscription) => subscriptions.push(subscription),
                    None => return,
                },
                () = tokio::time::sleep(wait) => run(&mut subscriptions, clock::now()),
            }
        }
    })
}

/// Time until the first subscription is due; without one, the service sleeps long.
fn next(subscriptions: &[Subscription], now: Instant) -> Duration {
    let due = subscriptions.iter().map(|subscription| subscription.due).min();
    let wait = due.map_or(IDLE, |due| due.since(now));
    wait.max(Duration::from_millis(RESOLUTION_MS))
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

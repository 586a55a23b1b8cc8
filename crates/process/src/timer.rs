//! Timer service: one task that sends periodic ticks to subscribers.
//!
//! A busy subscriber gets a single late tick instead of a burst. Each tick reports its delay, so
//! that a subscriber can detect that the process was paused.

use crate::clock;
use chestnutrack_core::time::Instant;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::task::JoinHandle;

/// Resolution of the service, in milliseconds.
pub const RESOLUTION_MS: u64 = 5;

/// A tick of a subscription.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Tick {
    /// When the tick was sent.
    pub now: Instant,
    /// Delay between the time when the tick was due and the time when it was sent.
    pub late: Duration,
}

/// Longest sleep while there are no subscriptions. A new subscription ends it.
const IDLE_SLEEP: Duration = Duration::from_secs(60);

struct Subscription {
    period: Duration,
    due: Instant,
    ticks: mpsc::Sender<Tick>,
}

/// Handle of the timer service. Cheap to clone.
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

    /// Subscribes to one tick per period. Dropping the receiver ends the subscription.
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
            let wait = time_until_due(&subscriptions, clock::now());
            tokio::select! {
                added = incoming.recv() => match added {
                    Some(subscription) => subscriptions.push(subscription),
                    None => return,
                },
                () = tokio::time::sleep(wait) => send_due_ticks(&mut subscriptions, clock::now()),
            }
        }
    })
}

/// Returns the time until the next tick is due, at least [`RESOLUTION_MS`], or [`IDLE_SLEEP`]
/// without subscriptions.
fn time_until_due(subscriptions: &[Subscription], now: Instant) -> Duration {
    let due = subscriptions.iter().map(|subscription| subscription.due).min();
    let wait = due.map_or(IDLE_SLEEP, |due| due.since(now));
    wait.max(Duration::from_millis(RESOLUTION_MS))
}

/// Sends the ticks that are due and removes subscriptions whose receiver was dropped.
fn send_due_ticks(subscriptions: &mut Vec<Subscription>, now: Instant) {
    subscriptions.retain_mut(|subscription| {
        if now < subscription.due {
            return !subscription.ticks.is_closed();
        }
        let tick = Tick { now, late: now.since(subscription.due) };
        subscription.due = now + subscription.period;
        !matches!(subscription.ticks.try_send(tick), Err(mpsc::error::TrySendError::Closed(_)))
    });
}

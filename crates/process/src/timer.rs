//! Timer service: one task that sends periodic ticks to subscribers, which do periodic work on each tick.
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
    due_at: Instant,
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
        let (subscriptions, new_subscriptions) = mpsc::unbounded_channel();
        drop(spawn_service(new_subscriptions));
        Timer { subscriptions }
    }

    /// Subscribes to one tick per period. Dropping the receiver ends the subscription.
    pub fn subscribe(&self, period: Duration) -> mpsc::Receiver<Tick> {
        let (ticks, receiver) = mpsc::channel(1);
        let due_at = clock::now() + period;
        let _ = self.subscriptions.send(Subscription { period, due_at, ticks });
        receiver
    }
}

/// Spawns the task that receives new subscriptions and sends the ticks that are due. It ends when all
/// handles of the service were dropped.
fn spawn_service(mut new_subscriptions: mpsc::UnboundedReceiver<Subscription>) -> JoinHandle<()> {
    tokio::spawn(async move {
        let mut subscriptions: Vec<Subscription> = Vec::new();
        loop {
            let wait = time_until_due(&subscriptions, clock::now());
            tokio::select! {
                received = new_subscriptions.recv() => match received {
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
    let due_at = subscriptions.iter().map(|subscription| subscription.due_at).min();
    let wait = due_at.map_or(IDLE_SLEEP, |due_at| due_at.since(now));
    wait.max(Duration::from_millis(RESOLUTION_MS))
}

/// Sends the ticks that are due and removes subscriptions whose receiver was dropped.
fn send_due_ticks(subscriptions: &mut Vec<Subscription>, now: Instant) {
    subscriptions.retain_mut(|subscription| {
        if now < subscription.due_at {
            return !subscription.ticks.is_closed();
        }
        let tick = Tick { now, late: now.since(subscription.due_at) };
        subscription.due_at = now + subscription.period;
        !matches!(subscription.ticks.try_send(tick), Err(mpsc::error::TrySendError::Closed(_)))
    });
}

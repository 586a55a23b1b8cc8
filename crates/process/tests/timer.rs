//! The timer service sends periodic ticks, and a single late tick to a busy subscriber.

#![allow(clippy::unwrap_used)]

use chestnutrack_process::timer::Timer;
use std::time::Duration;

const PERIOD: Duration = Duration::from_millis(10);

#[tokio::test]
async fn subscribers_get_ticks_a_period_apart() {
    let timer = Timer::start();
    let mut ticks = timer.subscribe(PERIOD);

    let first = ticks.recv().await.unwrap();
    let second = ticks.recv().await.unwrap();

    assert!(second.now.since(first.now) >= PERIOD);
}

#[tokio::test]
async fn a_busy_subscriber_gets_one_tick_for_all_missed_ones() {
    let timer = Timer::start();
    let mut ticks = timer.subscribe(PERIOD);

    tokio::time::sleep(20 * PERIOD).await;

    assert!(ticks.try_recv().is_ok());
    assert!(ticks.try_recv().is_err());
}

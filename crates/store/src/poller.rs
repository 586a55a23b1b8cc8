//! Polls the host list.

use crate::backoff::{self, Backoff};
use crate::client::Client;
use crate::host::List;
use chestnutrack_core::time::Instant;
use chestnutrack_process::clock;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::sleep;

/// Settings of a poller.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// Longest time between two reads; the pauses are between half of it and all of it.
    pub period: Duration,
    /// First pause after a failure; it doubles with each that follows.
    pub retry_min: Duration,
    /// Longest pause after a failure.
    pub retry_max: Duration,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            period: Duration::from_millis(1_000),
            retry_min: Duration::from_millis(100),
            retry_max: Duration::from_millis(2_000),
        }
    }
}

/// The newest list read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reading {
    /// The list.
    pub list: List,
    /// When the call was sent.
    pub sent: Instant,
}

/// Polls until every receiver is dropped; there is no reading until one succeeds, and the last
/// one stays in an outage.
pub fn start(client: Client, settings: Settings) -> watch::Receiver<Option<Reading>> {
    let (readings, receiver) = watch::channel(None);
    tokio::spawn(async move {
        tokio::select! {
            () = readings.closed() => {}
            () = poll(&client, &settings, &readings) => {}
        }
    });
    receiver
}

async fn poll(client: &Client, settings: &Settings, readings: &watch::Sender<Option<Reading>>) {
    let mut backoff = Backoff::new(settings.retry_min, settings.retry_max);
    loop {
        let sent = clock::now();
        match client.hosts().await {
            Ok(list) => {
                if backoff.record_success() {
                    tracing::info!("host list answers again");
                }
                readings.send_replace(Some(Reading { list, sent }));
                sleep(backoff::jittered(settings.period)).await;
            }
            Err(error) => {
                if backoff.record_failure() {
                    tracing::warn!(%error, "host list doesn't answer");
                }
                sleep(backoff.pause()).await;
            }
        }
    }
}

//! Polls the platform's host list, which the object interface serves, at regular intervals.

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
    /// Longest pause between two reads. Each pause is jittered between half of this and all of it.
    pub period: Duration,
    /// First pause after a failure; doubles with each further failure.
    pub retry_min: Duration,
    /// Longest pause between retries.
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

/// The most recent host list that was read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reading {
    /// The list.
    pub list: List,
    /// When the request for the list was sent.
    pub sent: Instant,
}

/// Starts a task that polls the host list until every receiver is dropped. The receivers' value is `None`
/// until the first read succeeds. During an outage it remains the last reading.
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

/// Reads the host list in an endless loop and publishes each reading. Pauses for a jittered period after a
/// success, and for the backoff's pause after a failure.
async fn poll(client: &Client, settings: &Settings, readings: &watch::Sender<Option<Reading>>) {
    let mut backoff = Backoff::new(settings.retry_min, settings.retry_max);
    loop {
        let sent = clock::now();
        match client.hosts().await {
            Ok(list) => {
                if backoff.record_success() {
                    tracing::info!("host list can be read again");
                }
                readings.send_replace(Some(Reading { list, sent }));
                sleep(backoff::jittered(settings.period)).await;
            }
            Err(error) => {
                if backoff.record_failure() {
                    tracing::warn!(%error, "host list can't be read");
                }
                sleep(backoff.pause()).await;
            }
        }
    }
}

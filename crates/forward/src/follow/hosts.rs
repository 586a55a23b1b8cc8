//! Where the other entry hosts are: each tells it in an object of the platform's store.

use super::watching;
use crate::mesh::Mesh;
use chestnutrack_store::backoff::Backoff;
use chestnutrack_store::client::Client;
use chestnutrack_store::dialect::Age;
use chestnutrack_store::error::Error;
use chestnutrack_store::object::Object;
use chestnutrack_store::watcher::{self, Event};
use serde::{Deserialize, Serialize};
use serde_json::json;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{sleep, timeout};

/// Pause after an answer about the hosts; until then a new one is heard by those it calls itself.
const PAUSE: Duration = Duration::from_millis(1_000);
/// First and longest pause after a write that failed.
const RETRY: (Duration, Duration) = (Duration::from_millis(100), Duration::from_millis(2_000));

/// Longest time for the store to take the end of a host; within what is left of its grace.
const DEREGISTER_WITHIN: Duration = Duration::from_millis(300);

/// What a host tells of itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Host {
    /// Number drawn at the start of its process.
    pub incarnation: u64,
    /// Address that peers reach it at.
    pub address: SocketAddr,
}

/// Follows the other hosts until the process ends.
pub async fn follow_hosts(client: Client, kind: &'static str, mesh: Arc<Mesh>) {
    let mut events = watcher::start(client, kind, watching(PAUSE, Age::Any));
    while let Some(event) = events.recv().await {
        let Event::Updated(update) = event else { continue };
        mesh.learn(update.objects.into_iter().filter_map(read));
    }
}

fn read(object: Object) -> Option<(Arc<str>, Option<Host>)> {
    let host = object.value.map(serde_json::from_value::<Host>).transpose();
    let host = host
        .inspect_err(|error| tracing::warn!(host = %object.name, %error, "entry names no host"));
    Some((object.name.clone(), host.ok()?))
}

/// Tells the other hosts where this one is, until the store has taken it; returns its version there.
pub async fn register(client: Client, kind: &'static str, name: Arc<str>, host: Host) -> u64 {
    let mut backoff = Backoff::new(RETRY.0, RETRY.1);
    let value = json!(host);
    loop {
        let version = match client.read(kind, &name).await {
            Ok(object) if object.value.as_ref() == Some(&value) => return object.version,
            Ok(object) => Ok(object.version),
            Err(Error::Missing) => Ok(0),
            Err(error) => Err(error),
        };
        let written = match version {
            Ok(version) => client.update(kind, &name, version, &value).await,
            Err(error) => Err(error),
        };
        match written {
            Ok(version) => {
                tracing::info!(%name, version, "registered");
                return version;
            }
            Err(error) => {
                if backoff.failed() {
                    tracing::warn!(%error, "not registered yet");
                }
                sleep(backoff.pause()).await;
            }
        }
    }
}

/// Tells the other hosts that this one ends, so that they don't keep its part of allowances back.
pub async fn deregister(client: &Client, kind: &str, name: &str, version: u64) {
    match timeout(DEREGISTER_WITHIN, client.delete(kind, name, version)).await {
        Ok(Ok(_)) => tracing::info!(name, "deregistered"),
        Ok(Err(error)) => tracing::warn!(name, %error, "not deregistered"),
        Err(_) => tracing::warn!(name, "not deregistered: the store did not answer in time"),
    }
}

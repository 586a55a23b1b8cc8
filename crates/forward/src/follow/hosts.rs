//! Where the other entry hosts are: each tells it in an object of the platform's store.

use super::watching;
use crate::mesh::Mesh;
use chestnutrack_core::roster::Step;
use chestnutrack_process::clock;
use chestnutrack_process::timer::Timer;
use chestnutrack_store::backoff::Backoff;
use chestnutrack_store::client::Client;
use chestnutrack_store::dialect::Freshness;
use chestnutrack_store::error::Error;
use chestnutrack_store::object::Object;
use chestnutrack_store::watcher::{self, Event, RetryMode};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::{sleep, timeout};

/// Pause after an answer about the hosts; until then a new one is heard by those it calls itself.
const PAUSE: Duration = Duration::from_millis(1_000);
/// First and longest pause after a write that failed.
const RETRY: (Duration, Duration) = (Duration::from_millis(100), Duration::from_millis(2_000));

/// Time between looks at hosts that are lost, and at whether this one is listed while it hears few.
const LOOK_EVERY: Duration = Duration::from_secs(1);
/// Longest time for the store to take the end of a host; within what is left of its grace.
const END_WITHIN: Duration = Duration::from_millis(300);

/// What a host tells of itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Host {
    /// Number drawn at the start of its process.
    pub incarnation: u64,
    /// Address that peers reach it at.
    pub address: SocketAddr,
}

/// An object that tells of a host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Entry {
    #[serde(flatten)]
    host: Host,
    /// The others have not heard it for long. It writes its entry anew unless it has ended.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    lost: bool,
}

/// The entry of this host in the list of hosts, and what it does about the others'.
pub struct Registration {
    client: Client,
    kind: &'static str,
    name: Arc<str>,
    host: Host,
    mesh: Arc<Mesh>,
    /// Version of the entry once it is written; 0 before.
    version: AtomicU64,
    /// The entry has to be written anew.
    again: Notify,
}

impl Registration {
    /// Tells nobody yet.
    pub fn new(
        client: Client,
        kind: &'static str,
        name: Arc<str>,
        host: Host,
        mesh: Arc<Mesh>,
    ) -> Arc<Registration> {
        let (version, again) = (AtomicU64::new(0), Notify::new());
        Arc::new(Registration { client, kind, name, host, mesh, version, again })
    }

    /// Follows the other hosts until the process ends.
    pub async fn follow(self: Arc<Registration>) {
        let settings = watching(PAUSE, Freshness::Any, RetryMode::Follower);
        let mut events = watcher::start(self.client.clone(), self.kind, settings);
        let mut listed = BTreeSet::new();
        while let Some(event) = events.recv().await {
            let Event::Updated(update) = event else { continue };
            if update.is_snapshot {
                self.forget_all_but(&mut listed, &update.objects);
            }
            let (own, others): (Vec<Object>, Vec<Object>) =
                update.objects.into_iter().partition(|object| object.name == self.name);
            own.into_iter().for_each(|object| self.look_at_own(object));
            let others: Vec<_> = others.into_iter().filter_map(read).collect();
            let hosts = others.iter().map(|(name, _, entry)| {
                (name.clone(), entry.as_ref().map(|entry| entry.host.clone()))
            });
            self.mesh.update_hosts(hosts);
            for (name, version, entry) in others {
                let lost = entry.as_ref().is_some_and(|entry| entry.lost);
                self.mesh.note_entry(&name, version, lost);
                match entry {
                    Some(_) => drop(listed.insert(name)),
                    None => drop(listed.remove(&name)),
                }
            }
        }
    }

    /// Forgets the hosts that were listed and that a whole list lacks: they left while the store was not
    /// heard. Hosts that only called this one stay.
    fn forget_all_but(&self, listed: &mut BTreeSet<Arc<str>>, objects: &[Object]) {
        let there: BTreeSet<&Arc<str>> = objects.iter().map(|object| &object.name).collect();
        let gone: Vec<Arc<str>> =
            listed.iter().filter(|name| !there.contains(name)).cloned().collect();
        listed.retain(|name| there.contains(name));
        self.mesh.update_hosts(gone.into_iter().map(|name| (name, None)));
        if !there.contains(&self.name) && self.version.load(Ordering::Relaxed) > 0 {
            self.again.notify_one();
        }
    }

    /// Writes the entry anew where others have marked or deleted it.
    fn look_at_own(&self, object: Object) {
        if object.version <= self.version.load(Ordering::Relaxed) {
            return;
        }
        let (version, gone) = (object.version, object.value.is_none());
        let lost = read(object).and_then(|(.., entry)| entry).is_some_and(|entry| entry.lost);
        if gone || lost {
            tracing::warn!(name = %self.name, version, gone, "others took this host for lost");
            self.again.notify_one();
        }
    }

    /// Keeps this host listed, and takes others off the list that are lost, until the process ends.
    pub async fn maintain(self: Arc<Registration>, timer: Timer) {
        self.register().await;
        let mut looks = timer.subscribe(LOOK_EVERY);
        loop {
            tokio::select! {
                () = self.again.notified() => self.register().await,
                look = looks.recv() => {
                    if look.is_none() {
                        return;
                    }
                    if self.mesh.is_alone() {
                        self.confirm().await;
                    }
                    for step in self.mesh.steps() {
                        self.take_off(step).await;
                    }
                }
            }
        }
    }

    /// Tells the other hosts where this one is, until the store has taken it.
    async fn register(&self) {
        let mut backoff = Backoff::new(RETRY.0, RETRY.1);
        let value = json!(self.host);
        loop {
            let asked = clock::now();
            match self.write(&value).await {
                Ok(version) => {
                    tracing::info!(name = %self.name, version, "registered");
                    self.version.store(version, Ordering::Relaxed);
                    self.mesh.confirm(asked);
                    return;
                }
                Err(error) => {
                    if backoff.record_failure() {
                        tracing::warn!(%error, "not registered yet");
                    }
                    sleep(backoff.pause()).await;
                }
            }
        }
    }

    async fn write(&self, value: &Value) -> Result<u64, Error> {
        let version = match self.client.read(self.kind, &self.name).await {
            Ok(object) if object.value.as_ref() == Some(value) => return Ok(object.version),
            Ok(object) => object.version,
            Err(Error::Missing) => 0,
            Err(error) => return Err(error),
        };
        self.client.update(self.kind, &self.name, version, value).await
    }

    /// Asks the store whether this host is still listed.
    async fn confirm(&self) {
        let asked = clock::now();
        match self.client.read(self.kind, &self.name).await {
            Ok(object) if object.value.as_ref() == Some(&json!(self.host)) => {
                self.mesh.confirm(asked);
            }
            Ok(_) | Err(Error::Missing) => self.again.notify_one(),
            Err(error) => tracing::info!(name = %self.name, %error, "listing not confirmed"),
        }
    }

    /// Marks a lost host's entry, or deletes it.
    async fn take_off(&self, step: Step) {
        match step {
            Step::Mark(name, version) => {
                let Some(host) = self.mesh.host(&name) else { return };
                let value = json!(Entry { host, lost: true });
                match self.client.replace(self.kind, &name, version, &value).await {
                    Ok(marked) => {
                        tracing::warn!(peer = %name, version = marked, "peer marked as lost");
                        self.mesh.note_entry(&name, marked, true);
                    }
                    Err(error) => {
                        tracing::warn!(peer = %name, version, %error, "peer not marked as lost");
                    }
                }
            }
            Step::Remove(name, version) => {
                match self.client.delete(self.kind, &name, version).await {
                    Ok(_) => {
                        tracing::warn!(peer = %name, version, "lost peer taken off the list");
                        self.mesh.update_hosts([(name, None)]);
                    }
                    Err(error) => {
                        tracing::warn!(peer = %name, version, %error, "lost peer not taken off");
                    }
                }
            }
        }
    }

    /// Tells the other hosts that this one ends, so that they don't keep its part of allowances back.
    pub async fn deregister(&self) {
        let (name, version) = (&*self.name, self.version.load(Ordering::Relaxed));
        if version == 0 {
            return;
        }
        match timeout(END_WITHIN, self.client.delete(self.kind, name, version)).await {
            Ok(Ok(_)) => tracing::info!(name, "deregistered"),
            Ok(Err(error)) => tracing::warn!(name, %error, "not deregistered"),
            Err(_) => {
                tracing::warn!(name, "not deregistered: the store did not answer in time");
            }
        }
    }
}

fn read(object: Object) -> Option<(Arc<str>, u64, Option<Entry>)> {
    let entry = object.value.map(serde_json::from_value::<Entry>).transpose();
    let entry = entry
        .inspect_err(|error| tracing::warn!(host = %object.name, %error, "entry names no host"));
    Some((object.name, object.version, entry.ok()?))
}

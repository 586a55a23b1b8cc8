//! Which hosts there are, as far as hosts learn it from each other and not from the store.
//!
//! A host learns of others that connect to it, and of those that its peers name in their gossip. A host is named only by
//! those that hear it themselves, so that one that has ended is soon named no more. A host that shuts down says so in its
//! last message, and its share of allowances is then free at once.

use super::Mesh;
use crate::follow::Host;
use chestnutrack_process::{clock, socket};
use chestnutrack_wire::frame::{self, HostReport, News};
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::sync::{Arc, PoisonError};
use std::time::Duration;
use tokio::time::sleep;

/// Number of stopped processes that are remembered.
const STOPPED_MAX: usize = 256;
/// Number of hosts in a message that are read. A host names those of its cell, of which there are fewer.
const NAMED_MAX: usize = 256;
/// Largest size of a fleet that a peer's report is believed to have.
const FLEET_SIZE_MAX: u32 = 100_000;
/// Time for the last gossip message to be written to all peers. It runs beside the call that deletes the host's entry.
const STOP_NOTICE_TIME: Duration = Duration::from_millis(100);

/// Processes that have announced that they spend nothing more, by name and incarnation, oldest first. The store may list
/// them for longer, or a message of theirs may arrive late.
#[derive(Debug, Default)]
pub(super) struct StoppedProcesses(VecDeque<(Arc<str>, u64)>);

impl StoppedProcesses {
    fn contains(&self, name: &str, incarnation: u64) -> bool {
        self.0.iter().any(|(stopped, process)| **stopped == *name && *process == incarnation)
    }

    fn record(&mut self, name: &Arc<str>, incarnation: u64) {
        if self.0.len() >= STOPPED_MAX {
            self.0.pop_front();
        }
        self.0.push_back((name.clone(), incarnation));
    }
}

impl Mesh {
    /// Returns `true` if a process has announced that it spends nothing more.
    pub(super) fn is_stopped(&self, name: &str, incarnation: u64) -> bool {
        let stopped = self.stopped_processes.lock().unwrap_or_else(PoisonError::into_inner);
        stopped.contains(name, incarnation)
    }

    /// Records that all hosts that the store lists are known. Before, this host can't know its share of what cold servers
    /// take.
    pub(crate) fn record_hosts_listed(self: &Arc<Mesh>) {
        {
            let (hosts, name) = (self.hosts(), &self.app.settings.name);
            self.app.state().dispatch.set_hosts(clock::now(), name, hosts.keys(), true);
        }
        if !self.is_fleet_listed.swap(true, Ordering::Relaxed) {
            self.record_fleet_known();
            self.connect_cell();
        }
        self.record_hosts_known();
    }

    /// Ends the reserve for hosts that this one doesn't know.
    fn record_fleet_known(&self) {
        self.app.state().allowances.set_fleet_known(clock::now(), true);
    }

    /// Returns the number of hosts of all cells, with this one. `others` of them are known by name. Before the store's list
    /// has been read, peers name only the hosts of their own cell, and the number by their reports is taken.
    pub(super) fn fleet_size(&self, others: usize) -> usize {
        match self.is_fleet_listed.load(Ordering::Relaxed) {
            true => others + 1,
            false => self.reported_fleet_size.load(Ordering::Relaxed).max(others + 1),
        }
    }

    /// Adds a host that connected to this one before its entry in the store was read. Its address is that of the
    /// connection, with the port on which all hosts listen, or that of an earlier process, until the host names itself.
    pub(super) fn add_connecting_host(
        self: &Arc<Mesh>,
        sender: &frame::Sender,
        peer_address: SocketAddr,
    ) {
        let (name, incarnation) = (&sender.name, sender.incarnation);
        let known = self.host(name);
        if known.as_ref().is_some_and(|known| known.incarnation == incarnation)
            || self.is_stopped(name, incarnation)
        {
            return;
        }
        let address = match &known {
            Some(known) if known.address.ip() == peer_address.ip() => known.address,
            _ => SocketAddr::new(peer_address.ip(), self.address.port()),
        };
        let change = if known.is_some() { "restarted" } else { "connected" };
        tracing::info!(peer = %name, incarnation, %address, change, "host learned of by its connection");
        self.app.metrics.host_changes.with_label_values(&[change]).inc();
        self.update_hosts([(name.clone(), Some(Host { incarnation, address }))]);
    }

    /// Returns the hosts that this one names to its peers; with itself if `within` is `None`.
    pub(super) fn named_hosts(&self, within: Option<Duration>) -> Vec<HostReport> {
        let heard = self.roster().heard_peers(clock::now(), within);
        let hosts = self.hosts();
        let report = |name, Host { incarnation, address }| HostReport {
            name,
            incarnation,
            address: address.to_string().into(),
        };
        let app = &self.app.settings;
        let own = Host { incarnation: app.incarnation, address: self.address };
        let own = within.is_none().then(|| report(app.name.clone(), own));
        let named = heard.into_iter().filter_map(|name| {
            let host = hosts.get(&name)?.clone();
            Some(report(name, host))
        });
        own.into_iter().chain(named).collect()
    }

    /// Adds the hosts that a peer's process names and that this host doesn't know, or of which it knows an earlier process
    /// that it does not hear. Takes over the address by which the process names itself.
    pub(super) fn apply_named_hosts(self: &Arc<Mesh>, peer: &str, incarnation: u64, news: &News) {
        let fleet_size = news.fleet_size.min(FLEET_SIZE_MAX) as usize;
        let previous_size = self.reported_fleet_size.fetch_max(fleet_size, Ordering::Relaxed);
        let named = news.hosts.iter().take(NAMED_MAX);
        let accepted = named.filter_map(|named| self.accept_named_host((peer, incarnation), named));
        let accepted: Vec<_> = accepted.collect();
        let is_listed = self.is_fleet_listed.load(Ordering::Relaxed);
        if !accepted.is_empty() || fleet_size > previous_size && !is_listed {
            self.update_hosts(accepted);
        }
        if !is_listed {
            self.record_fleet_known();
        }
    }

    /// Returns the host that a peer's process names, if it is to be added or has another address.
    fn accept_named_host(
        &self,
        (peer, peer_incarnation): (&str, u64),
        named: &HostReport,
    ) -> Option<(Arc<str>, Option<Host>)> {
        let HostReport { name, incarnation, address } = named;
        let known = self.host(name);
        let known_incarnation = known.as_ref().map(|host| host.incarnation);
        let names_itself = **name == *peer
            && *incarnation == peer_incarnation
            && known_incarnation == Some(peer_incarnation);
        let is_accepted =
            names_itself || self.roster().accepts_named(name, *incarnation, known_incarnation);
        if !is_accepted || self.is_stopped(name, *incarnation) {
            return None;
        }
        let address = address.parse::<SocketAddr>().inspect_err(|error| {
            tracing::warn!(host = %name, peer, %error, "address of a host named by a peer can't be read");
        });
        // A host that listens on all its addresses doesn't say at which of them it is reached.
        let address = address.ok().filter(|address| socket::is_dialable(*address))?;
        let host = Host { incarnation: *incarnation, address };
        if known.as_ref() == Some(&host) {
            return None;
        }
        tracing::info!(host = %name, incarnation, %address, peer, "host named by a peer");
        self.app.metrics.host_changes.with_label_values(&["named"]).inc();
        Some((name.clone(), Some(host)))
    }

    /// Tells the peers that this host spends nothing more, at the end of a shutdown.
    pub async fn announce_stop(&self) {
        self.app.stop();
        self.publish_gossip(Vec::new());
        sleep(STOP_NOTICE_TIME).await;
    }

    /// Removes a host whose process has announced that it spends nothing more.
    pub(super) fn record_stop(self: &Arc<Mesh>, name: &Arc<str>, incarnation: u64) {
        tracing::info!(peer = %name, incarnation, "peer has stopped");
        self.app.metrics.host_changes.with_label_values(&["stopped"]).inc();
        self.stopped_processes
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .record(name, incarnation);
        // A new process may have started meanwhile.
        if self.host(name).is_some_and(|host| host.incarnation == incarnation) {
            self.update_hosts([(name.clone(), None)]);
        }
    }
}

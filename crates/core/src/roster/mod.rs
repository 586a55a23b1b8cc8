//! The other hosts: which of them can be heard, and which are lost for good.
//!
//! What a host that can't be heard spends is unknown, so its part of each allowance is kept back. One that
//! never comes back must not keep it for ever. Nobody can tell from outside whether it has ended or is
//! only cut off, so both sides keep to a time. A host that hears less than half of the fleet, and to which
//! the platform's store does not confirm that it is still listed, stops spending. One that most of the fleet
//! has not heard for longer is marked as lost in the store and, when the last confirmation that it may have
//! got has run out, taken off the list. Then its part is free.

#[cfg(test)]
mod tests;

use crate::time::Instant;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// Silence after which a host counts as one that can't be heard: three heartbeats.
pub const UNREACHABLE_AFTER: Duration = Duration::from_millis(1_500);

/// Times after which hosts count as silent and as lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Silence after which a host counts as one that can't be heard.
    pub unreachable_after: Duration,
    /// How long a host goes on spending that hears less than half of the fleet.
    pub isolation_grace: Duration,
    /// How long it goes on after the store confirmed that it is listed: two reads of its entry.
    pub confirmation_lease: Duration,
    /// Silence after which a host is marked as lost. A host that is alone has stopped by then: it hears
    /// that others do not hear it `silence` and a heartbeat after they do no longer.
    pub lost_after: Duration,
    /// Time between the mark and the end of the entry; longer than `confirmed`.
    pub removal_delay: Duration,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            unreachable_after: UNREACHABLE_AFTER,
            isolation_grace: Duration::from_millis(5_000),
            confirmation_lease: Duration::from_millis(2_000),
            lost_after: Duration::from_millis(7_500),
            removal_delay: Duration::from_millis(3_000),
        }
    }
}

/// What is done about a host that is lost.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Its entry of this version is marked.
    Mark(Arc<str>, u64),
    /// Its entry of this version, which was marked long enough, is deleted.
    Remove(Arc<str>, u64),
}

/// What a host tells of those that it hears.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Report {
    /// Whether the platform's store answers it.
    pub store_reachable: bool,
    /// Hosts that it does not hear, and for how long.
    pub unreachable_hosts: Vec<(Arc<str>, Duration)>,
    /// Whether it is about to give orders to engines.
    pub orders_pending: bool,
}

/// What is new in what a host tells.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Recovery {
    /// It could not be heard before.
    pub reachable_again: bool,
    /// The platform's store answers it, and did not before.
    pub store_reachable_again: bool,
}

#[derive(Clone, Debug)]
struct Peer {
    last_heartbeat: Instant,
    /// When it was last heard and did not say that it can't hear this host.
    last_mutual_heartbeat: Instant,
    report: Report,
    /// It is known to be silent.
    unreachable: bool,
    /// Its process is surely gone: its address refuses connections.
    gone: bool,
    /// Version of its entry in the store; 0 while unknown.
    version: u64,
    /// Since when this host knows that its entry of that version is marked.
    marked_at: Option<Instant>,
}

/// The other hosts of a fleet, as one of them sees them.
#[derive(Clone, Debug)]
pub struct Roster {
    settings: Settings,
    name: Arc<str>,
    peers: BTreeMap<Arc<str>, Peer>,
    /// When the store was asked that last confirmed that this host is listed.
    confirmed_at: Option<Instant>,
}

impl Roster {
    /// A host that knows no other.
    pub fn new(name: Arc<str>, settings: Settings) -> Roster {
        Roster { settings, name, peers: BTreeMap::new(), confirmed_at: None }
    }

    /// Notes that there is a host, or another process of it.
    pub fn add_peer(&mut self, now: Instant, name: &Arc<str>) {
        let report = Report::default();
        let version = self.peers.get(name).map_or(0, |peer| peer.version);
        let peer = Peer {
            last_heartbeat: now,
            last_mutual_heartbeat: now,
            report,
            unreachable: false,
            gone: false,
            version,
            marked_at: None,
        };
        self.peers.insert(name.clone(), peer);
    }

    /// Forgets a host.
    pub fn remove_peer(&mut self, name: &str) {
        self.peers.remove(name);
    }

    /// Notes the version of a host's entry, and whether it is marked as lost.
    pub fn record_entry(&mut self, now: Instant, name: &str, version: u64, marked: bool) {
        let Some(peer) = self.peers.get_mut(name) else { return };
        let known = peer.marked_at.filter(|_| peer.version == version);
        peer.version = version;
        peer.marked_at = marked.then_some(known.unwrap_or(now));
    }

    /// Takes in what a host tells, and says what is new in it.
    pub fn record_report(&mut self, now: Instant, name: &str, report: Report) -> Recovery {
        let Some(peer) = self.peers.get_mut(name) else { return Recovery::default() };
        if report.unreachable_hosts.iter().all(|(host, _)| *host != self.name) {
            peer.last_mutual_heartbeat = now;
        }
        let store_reachable_again = report.store_reachable && !peer.report.store_reachable;
        (peer.last_heartbeat, peer.report, peer.gone) = (now, report, false);
        Recovery { reachable_again: std::mem::take(&mut peer.unreachable), store_reachable_again }
    }

    /// Notes that a host's address refuses connections; whether that is new.
    pub fn record_connection_refused(&mut self, name: &str) -> bool {
        self.peers.get_mut(name).is_some_and(|peer| !std::mem::replace(&mut peer.gone, true))
    }

    /// Looks for hosts that are silent; those of which that is new.
    pub fn check_timeouts(&mut self, now: Instant) -> Vec<Arc<str>> {
        let unreachable_after = self.settings.unreachable_after;
        let unreachable = self.peers.iter_mut().filter_map(|(name, peer)| {
            let is_new = !peer.gone
                && !peer.unreachable
                && now.since(peer.last_heartbeat) >= unreachable_after;
            peer.unreachable |= is_new;
            is_new.then(|| name.clone())
        });
        unreachable.collect()
    }

    /// Hosts that can't be heard and whose processes may go on.
    pub fn unreachable_peers(&self) -> impl Iterator<Item = &Arc<str>> {
        self.peers.iter().filter(|(_, peer)| peer.unreachable && !peer.gone).map(|(name, _)| name)
    }

    /// Hosts that are heard.
    pub fn reachable_count(&self) -> usize {
        self.peers.values().filter(|peer| !peer.unreachable && !peer.gone).count()
    }

    /// Hosts that this one does not hear, and for how long, for the others.
    pub fn unreachable_durations(&self, now: Instant) -> Vec<(Arc<str>, Duration)> {
        let unreachable = self.peers.iter().filter(|(_, peer)| peer.unreachable);
        unreachable.map(|(name, peer)| (name.clone(), now.since(peer.last_heartbeat))).collect()
    }

    /// How many hosts come before this one, by name, of those that can be heard and that the store
    /// answers.
    pub fn rank(&self) -> usize {
        let able = self
            .peers
            .iter()
            .filter(|(_, peer)| peer.is_reachable() && peer.report.store_reachable);
        able.filter(|(name, _)| **name < self.name).count()
    }

    /// Whether a host that is heard is about to give orders. Others then leave the lease to it: it waits for
    /// the orders of the holder before, and would lose the lease meanwhile to one that has waited as long.
    pub fn is_other_host_ordering(&self) -> bool {
        self.peers.values().any(|peer| peer.is_reachable() && peer.report.orders_pending)
    }

    /// Notes that the store, asked at a time, confirmed that this host is listed.
    pub fn record_confirmation(&mut self, asked: Instant) {
        self.confirmed_at = self.confirmed_at.max(Some(asked));
    }

    /// When this host last heard, and was heard by, more than half of the fleet, itself included;
    /// absent where there is no such half. Processes that are surely gone count as heard.
    fn majority_contact_at(&self, now: Instant) -> Option<Instant> {
        let hosts = self.peers.len() + 1;
        // Of two hosts neither can know which one is cut off.
        if hosts <= 2 {
            return None;
        }
        let near = |peer: &Peer| if peer.gone { now } else { peer.last_mutual_heartbeat };
        let mut near: Vec<Instant> = self.peers.values().map(near).collect();
        near.sort_unstable();
        // The last one that is needed for more than half.
        near.get(near.len() - hosts / 2).copied()
    }

    /// Whether this host hears less than half of the fleet, so that it needs the store to confirm that it
    /// is listed.
    pub fn is_isolated(&self, now: Instant) -> bool {
        self.majority_contact_at(now)
            .is_some_and(|at| now.since(at) >= self.settings.unreachable_after)
    }

    /// Until when this host may spend if it hears nothing more; absent where nobody else may take its
    /// part.
    pub fn may_spend_until(&self, now: Instant) -> Option<Instant> {
        let heard = self.majority_contact_at(now)? + self.settings.isolation_grace;
        let confirmed_at = self.confirmed_at.map(|asked| asked + self.settings.confirmation_lease);
        Some(confirmed_at.map_or(heard, |until| until.max(heard)))
    }

    /// What this host, if it is the one to do it, does about hosts that are lost.
    pub fn steps(&self, now: Instant) -> Vec<Step> {
        if self.rank() > 0 || self.is_isolated(now) || self.peers.len() < 2 {
            return Vec::new();
        }
        let lost = self.peers.iter().filter(|(name, peer)| self.is_lost(now, name, peer));
        let steps = lost.filter_map(|(name, peer)| match peer.marked_at {
            None => Some(Step::Mark(name.clone(), peer.version)),
            Some(since) => (now.since(since) >= self.settings.removal_delay)
                .then(|| Step::Remove(name.clone(), peer.version)),
        });
        steps.collect()
    }

    /// Whether neither this host nor any that it hears has heard a host for long.
    fn is_lost(&self, now: Instant, name: &Arc<str>, peer: &Peer) -> bool {
        let lost = self.settings.lost_after;
        let is_lost_for = |other: &Peer| {
            other.report.unreachable_hosts.iter().any(|(host, time)| host == name && *time >= lost)
        };
        let mut others = self.peers.values().filter(|other| other.is_reachable());
        peer.unreachable
            && !peer.gone
            && peer.version > 0
            && now.since(peer.last_heartbeat) >= lost
            && others.all(is_lost_for)
    }
}

impl Peer {
    fn is_reachable(&self) -> bool {
        !self.unreachable && !self.gone
    }
}

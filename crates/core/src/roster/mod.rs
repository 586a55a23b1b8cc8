//! Failure detection among hosts: which peers are reachable, and which are lost and must be removed.
//!
//! The spending of an unreachable host is unknown, so its share of each allowance stays reserved. A host
//! that never returns must not hold its share forever. Its peers can't tell whether it has ended or is only
//! isolated, also if its address refuses connections, as a partition may answer with resets. So both sides follow
//! timeouts. A host without contact to more than half of the fleet stops
//! spending unless the platform's store confirms that it is still listed. If a host with contact to more than
//! half of the fleet (or to exactly half of it, while the store confirms that it is listed), and all hosts that it can
//! reach, have been unable to reach some host for a longer time,
//! the entry of that host in the store is marked as lost. The entry is deleted when the last confirmation that
//! the lost host may have received has expired; its share is then free.
//!
//! A peer is another host of the fleet. A host is unreachable if its heartbeats have timed out. A host whose address
//! refuses connections has probably ended: others take over its duties at once, such as orders to engines, which are
//! safe if two hosts do them. Nothing else follows from a refused connection.

#[cfg(test)]
mod tests;

use crate::time::Instant;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

/// Time without a heartbeat after which a host counts as unreachable: three heartbeat periods.
pub const UNREACHABLE_AFTER: Duration = Duration::from_millis(1_500);

/// Time over which the delay of a host's reports is measured before it is relied on, and by how much a shorter delay
/// begins the measurement anew.
const CALIBRATION_TIME: Duration = Duration::from_millis(200);
const CALIBRATION_TOLERANCE: Duration = Duration::from_millis(100);
/// Time after which a measured delay is replaced by a newer one, so that the drift of clocks stays far below the tolerance.
const CALIBRATION_PERIOD: Duration = Duration::from_secs(60);

/// Timeouts after which hosts count as unreachable, isolated or lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Time without a heartbeat after which a host counts as unreachable.
    pub unreachable_after: Duration,
    /// Time for which an isolated host goes on spending.
    pub isolation_grace: Duration,
    /// Time for which an isolated host goes on spending after a read of its entry in the store confirmed
    /// that it is listed: two read periods.
    pub confirmation_lease: Duration,
    /// Time without a heartbeat after which a host is marked as lost. An isolated host has stopped spending
    /// by then: peers that it still receives from report it as unreachable within `unreachable_after` and a
    /// heartbeat period.
    pub lost_after: Duration,
    /// Time from marking a host's entry to deleting it; longer than `confirmation_lease`.
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

/// A step in the removal of a lost host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Mark the host's entry, which has this version, as lost.
    Mark(Arc<str>, u64),
    /// Delete the host's entry, which has this version and was marked for long enough.
    Remove(Arc<str>, u64),
}

/// A host's report about the fleet, sent with its heartbeat.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Report {
    /// Whether the platform's store answers the host that reports.
    pub store_reachable: bool,
    /// Hosts that are unreachable for the host that reports, and for how long.
    pub unreachable_hosts: Vec<(Arc<str>, Duration)>,
    /// Whether the host that reports is about to send orders (commands) to engines.
    pub orders_pending: bool,
    /// Whether the host that reports is shutting down.
    pub draining: bool,
    /// Process that reports.
    pub incarnation: u64,
    /// Time for which that process has run, when it sent the report.
    pub uptime: Duration,
}

/// What has become available again, according to a report.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Recovery {
    /// The host that reports was not heard before.
    pub is_first_report: bool,
    /// The host that reports was unreachable before.
    pub reachable_again: bool,
    /// The platform's store answers the host, and did not according to its previous report.
    pub store_reachable_again: bool,
}

/// Least difference between this host's clock and the uptime of a peer's process, in microseconds.
#[derive(Clone, Copy, Debug, Default)]
struct ClockOffset {
    /// The least one of the current period and of the one before. Clocks drift, so older ones don't count.
    least: [Option<i128>; 2],
    period_began_at: Instant,
    /// When it was last found to be clearly less than before.
    calibrated_at: Instant,
}

impl ClockOffset {
    /// Returns when the process started that sends a report which arrives now. A host that stood still reads reports of
    /// different ages at once, so the delay of a report is known only after some time; until then returns `None`.
    fn started_at(&mut self, now: Instant, uptime: Duration) -> Option<Instant> {
        let elapsed = now.since(self.period_began_at);
        if elapsed >= CALIBRATION_PERIOD {
            let is_recent = elapsed < CALIBRATION_PERIOD * 2;
            self.least = [None, self.least[0].filter(|_| is_recent)];
            self.period_began_at = now;
        }
        let uptime_us = uptime.as_micros() as i128;
        let offset = i128::from(now.0) - uptime_us;
        let tolerance_us = CALIBRATION_TOLERANCE.as_micros() as i128;
        let known = self.least.into_iter().flatten().min();
        if known.is_none_or(|least| offset + tolerance_us < least) {
            self.calibrated_at = now;
        }
        self.least[0] = Some(self.least[0].map_or(offset, |least| least.min(offset)));
        let least = known.map_or(offset, |least| least.min(offset));
        let is_calibrated = now.since(self.calibrated_at) >= CALIBRATION_TIME;
        // The process may be older than this host's clock.
        is_calibrated.then(|| Instant(u64::try_from(least).unwrap_or(0)))
    }
}

/// A report that a peer sent, by the shortest delay of any. A host that stood still reads reports late.
#[derive(Clone, Copy, Debug)]
struct SentReport {
    sent_at: Instant,
    /// When the process started that sent it.
    started_at: Instant,
}

/// What this host knows of another host.
#[derive(Clone, Debug)]
struct Peer {
    last_heartbeat: Instant,
    /// When the peer's first report arrived.
    first_heartbeat: Option<Instant>,
    /// When the peer's last report arrived that did not list this host as unreachable.
    last_mutual_heartbeat: Instant,
    last_sent: Option<SentReport>,
    clock_offset: ClockOffset,
    report: Report,
    /// Whether the peer was found unreachable and has not reported since.
    unreachable: bool,
    /// Whether the peer's address has refused a connection since its last report.
    refuses_connections: bool,
    /// Version of the peer's entry in the store; 0 while unknown.
    entry_version: u64,
    /// When this host learned that the entry of that version is marked as lost.
    marked_at: Option<Instant>,
}

/// One host's view of the other hosts of its fleet.
#[derive(Clone, Debug)]
pub struct Roster {
    settings: Settings,
    name: Arc<str>,
    peers: BTreeMap<Arc<str>, Peer>,
    /// When the latest read was sent by which the store confirmed that this host is listed.
    confirmed_at: Option<Instant>,
}

impl Roster {
    /// Creates the roster of the host `name`, without peers.
    pub fn new(name: Arc<str>, settings: Settings) -> Roster {
        Roster { settings, name, peers: BTreeMap::new(), confirmed_at: None }
    }

    /// Adds a host, or resets its state when another process of it has started.
    pub fn add_peer(&mut self, now: Instant, name: &Arc<str>) {
        let report = Report::default();
        let entry_version = self.peers.get(name).map_or(0, |peer| peer.entry_version);
        let peer = Peer {
            last_heartbeat: now,
            first_heartbeat: None,
            last_mutual_heartbeat: now,
            last_sent: None,
            clock_offset: ClockOffset::default(),
            report,
            unreachable: false,
            refuses_connections: false,
            entry_version,
            marked_at: None,
        };
        self.peers.insert(name.clone(), peer);
    }

    /// Removes a host.
    pub fn remove_peer(&mut self, name: &str) {
        self.peers.remove(name);
    }

    /// Records the version of a host's entry in the store, and whether the entry is marked as lost.
    pub fn record_entry(&mut self, now: Instant, name: &str, version: u64, marked: bool) {
        let Some(peer) = self.peers.get_mut(name) else { return };
        let known_mark = peer.marked_at.filter(|_| peer.entry_version == version);
        peer.entry_version = version;
        peer.marked_at = marked.then_some(known_mark.unwrap_or(now));
    }

    /// Records a host's report and marks the host reachable. Returns what has become available again.
    pub fn record_report(&mut self, now: Instant, name: &str, report: Report) -> Recovery {
        let Some(peer) = self.peers.get_mut(name) else { return Recovery::default() };
        if report.unreachable_hosts.iter().all(|(host, _)| *host != self.name) {
            peer.last_mutual_heartbeat = now;
        }
        peer.record_sent(now, &report);
        let store_reachable_again = report.store_reachable && !peer.report.store_reachable;
        (peer.last_heartbeat, peer.report, peer.refuses_connections) = (now, report, false);
        let is_first_report = peer.first_heartbeat.is_none();
        peer.first_heartbeat.get_or_insert(now);
        let reachable_again = std::mem::take(&mut peer.unreachable);
        Recovery { is_first_report, reachable_again, store_reachable_again }
    }

    /// Records that a host's address refuses connections. Returns `true` if that was not recorded since its last
    /// report.
    pub fn record_connection_refused(&mut self, name: &str) -> bool {
        self.peers
            .get_mut(name)
            .is_some_and(|peer| !std::mem::replace(&mut peer.refuses_connections, true))
    }

    /// Marks the hosts whose heartbeats have timed out as unreachable, and returns those newly marked.
    pub fn check_timeouts(&mut self, now: Instant) -> Vec<Arc<str>> {
        let unreachable_after = self.settings.unreachable_after;
        let unreachable = self.peers.iter_mut().filter_map(|(name, peer)| {
            let is_newly_unreachable =
                !peer.unreachable && now.since(peer.last_heartbeat) >= unreachable_after;
            peer.unreachable |= is_newly_unreachable;
            is_newly_unreachable.then(|| name.clone())
        });
        unreachable.collect()
    }

    /// Returns the unreachable hosts. Their processes may still be running.
    pub fn unreachable_peers(&self) -> impl Iterator<Item = &Arc<str>> {
        self.peers.iter().filter(|(_, peer)| peer.unreachable).map(|(name, _)| name)
    }

    /// Returns the number of reachable hosts, without this one.
    pub fn reachable_count(&self) -> usize {
        self.peers.values().filter(|peer| !peer.unreachable).count()
    }

    /// Returns the hosts that this one hears, to be named to others; with `within`, only those that it has heard for less
    /// than that time. A host that is only named by others is not among them, so that a host that has ended isn't
    /// named for longer than it takes to become unreachable.
    pub fn heard_peers(&self, now: Instant, within: Option<Duration>) -> Vec<Arc<str>> {
        let is_recent = |first: Instant| within.is_none_or(|within| now.since(first) < within);
        let heard = self.peers.iter().filter(|(_, peer)| {
            peer.takes_duties()
                && now.since(peer.last_heartbeat) < self.settings.unreachable_after
                && peer.first_heartbeat.is_some_and(is_recent)
        });
        heard.map(|(name, _)| name.clone()).collect()
    }

    /// Returns whether to connect to the process `incarnation` of a host that a peer names. `known` is the process that is
    /// known under that name; it is replaced only if it isn't heard.
    pub fn accepts_named(&self, name: &str, incarnation: u64, known: Option<u64>) -> bool {
        let is_heard = || {
            self.peers
                .get(name)
                .is_some_and(|peer| peer.takes_duties() && peer.first_heartbeat.is_some())
        };
        *name != *self.name && known.is_none_or(|known| known != incarnation && !is_heard())
    }

    /// Returns the hosts that are unreachable for this one, and for how long, for its report to the others.
    pub fn unreachable_durations(&self, now: Instant) -> Vec<(Arc<str>, Duration)> {
        let unreachable = self.peers.iter().filter(|(_, peer)| peer.unreachable);
        unreachable.map(|(name, peer)| (name.clone(), now.since(peer.last_heartbeat))).collect()
    }

    /// Returns this host's rank, in the order of names, among itself and the reachable hosts to which the
    /// store answers and that aren't shutting down. Only the host of rank 0 removes lost hosts; see [`Roster::steps`].
    pub fn rank(&self) -> usize {
        let ranked_peers = self.peers.iter().filter(|(_, peer)| {
            peer.takes_duties() && peer.report.store_reachable && !peer.report.draining
        });
        ranked_peers.filter(|(name, _)| **name < self.name).count()
    }

    /// Returns whether the store answers a reachable host.
    pub fn reports_store(&self) -> bool {
        self.peers.values().any(|peer| !peer.unreachable && peer.report.store_reachable)
    }

    /// Returns `true` if a reachable host is about to send orders. The others then leave the lease to it:
    /// it waits for the orders of the previous holder, and would otherwise lose the lease to a host that
    /// has waited as long.
    pub fn is_other_host_ordering(&self) -> bool {
        self.peers.values().any(|peer| peer.takes_duties() && peer.report.orders_pending)
    }

    /// Records that the store, in reply to a read sent at `requested_at`, confirmed that this host is
    /// still listed, so that no other host has taken over its share.
    pub fn record_confirmation(&mut self, requested_at: Instant) {
        self.confirmed_at = self.confirmed_at.max(Some(requested_at));
    }

    /// Returns when this host last had contact in both directions with more than half of the fleet, itself
    /// included. Returns `None` in a fleet of at most two hosts.
    fn majority_contact_at(&self) -> Option<Instant> {
        let hosts = self.peers.len() + 1;
        // Neither of two hosts can know which one is isolated.
        (hosts > 2).then(|| self.contact_at(hosts / 2)).flatten()
    }

    /// Returns when this host last had contact in both directions with `peers` other hosts.
    fn contact_at(&self, peers: usize) -> Option<Instant> {
        let mut contacts: Vec<Instant> =
            self.peers.values().map(|peer| peer.last_mutual_heartbeat).collect();
        contacts.sort_unstable();
        // The oldest contact that is needed.
        contacts.get(contacts.len().checked_sub(peers)?).copied()
    }

    /// Returns `true` if this host is in contact with at least half of the fleet, itself included, and may remove the
    /// others. Of exactly half of the fleet, each host needs the store's confirmation, which those that are removed would
    /// have needed too: they have no majority either.
    fn may_remove(&self, now: Instant) -> bool {
        let Settings { unreachable_after, confirmation_lease, .. } = self.settings;
        let is_recent = |contact_at: Instant| now.since(contact_at) < unreachable_after;
        let hosts = self.peers.len() + 1;
        let is_confirmed = self.confirmed_at.is_some_and(|at| now.since(at) < confirmation_lease);
        let is_half = hosts > 2 && self.contact_at(hosts.div_ceil(2) - 1).is_some_and(is_recent);
        hosts > 2 && (!self.is_isolated(now) || is_half && is_confirmed)
    }

    /// Returns the time since which each host of a quorum has sent a report: so many that, with this one, they are more than
    /// half of the fleet, and all of a fleet of two. Only processes count that started at `started_by` or before. Returns
    /// `None` if there is no quorum of them.
    pub fn quorum_sent_at(&self, now: Instant, started_by: Instant) -> Option<Instant> {
        let others = self.peers.len().div_ceil(2);
        if others == 0 {
            return Some(now);
        }
        let last_sent = self.peers.values().filter_map(|peer| peer.last_sent);
        let mut sent: Vec<Instant> = last_sent
            .filter(|report| report.started_at <= started_by)
            .map(|report| report.sent_at)
            .collect();
        sent.sort_unstable();
        sent.get(sent.len().checked_sub(others)?).copied()
    }

    /// Returns the hosts of which a report was sent within `time`.
    pub fn peers_sent_within(&self, now: Instant, time: Duration) -> BTreeSet<Arc<str>> {
        let is_recent = |report: SentReport| now.since(report.sent_at) < time;
        let recent = self.peers.iter().filter(|(_, peer)| peer.last_sent.is_some_and(is_recent));
        recent.map(|(name, _)| name.clone()).collect()
    }

    /// Returns `true` if this host has no contact with more than half of the fleet, so that it needs the
    /// store to confirm that it is listed.
    pub fn is_isolated(&self, now: Instant) -> bool {
        self.majority_contact_at()
            .is_some_and(|contact_at| now.since(contact_at) >= self.settings.unreachable_after)
    }

    /// Returns when this host must stop spending if it receives nothing more. Returns `None` for a host that
    /// needs no contact with a majority, since no other host may take over its share: its fleet has at most
    /// two hosts.
    pub fn may_spend_until(&self) -> Option<Instant> {
        let contact_until = self.majority_contact_at()? + self.settings.isolation_grace;
        let confirmed_until =
            self.confirmed_at.map(|confirmed_at| confirmed_at + self.settings.confirmation_lease);
        Some(
            confirmed_until
                .map_or(contact_until, |confirmed_until| confirmed_until.max(contact_until)),
        )
    }

    /// Returns the steps now due for the removal of lost hosts: an entry is first marked and, after
    /// `removal_delay`, deleted. Returns none unless this host has rank 0, has contact with a majority, or with
    /// half of the fleet and the store's confirmation, and has at least two peers.
    pub fn steps(&self, now: Instant) -> Vec<Step> {
        if self.rank() > 0 || !self.may_remove(now) {
            return Vec::new();
        }
        let lost = self.peers.iter().filter(|(name, peer)| self.is_lost(now, name, peer));
        let steps = lost.filter_map(|(name, peer)| match peer.marked_at {
            None => Some(Step::Mark(name.clone(), peer.entry_version)),
            Some(marked_at) => (now.since(marked_at) >= self.settings.removal_delay)
                .then(|| Step::Remove(name.clone(), peer.entry_version)),
        });
        steps.collect()
    }

    /// Returns `true` if a host has been unreachable for `lost_after`, both for this host and for all that
    /// this host can reach.
    fn is_lost(&self, now: Instant, name: &Arc<str>, peer: &Peer) -> bool {
        let lost_after = self.settings.lost_after;
        let reports_lost = |reporter: &Peer| {
            reporter
                .report
                .unreachable_hosts
                .iter()
                .any(|(host, duration)| host == name && *duration >= lost_after)
        };
        let mut reporters = self.peers.values().filter(|reporter| !reporter.unreachable);
        peer.unreachable
            && peer.entry_version > 0
            && now.since(peer.last_heartbeat) >= lost_after
            && reporters.all(reports_lost)
    }
}

impl Peer {
    /// Records when a report was sent, by the peer's own clock: a report that waited on its way says nothing of the time since.
    fn record_sent(&mut self, now: Instant, report: &Report) {
        if report.incarnation != self.report.incarnation {
            self.clock_offset = ClockOffset::default();
        }
        if let Some(started_at) = self.clock_offset.started_at(now, report.uptime) {
            self.last_sent = Some(SentReport { sent_at: started_at + report.uptime, started_at });
        }
    }

    /// Returns `true` if the peer's heartbeats arrive and its address hasn't refused a connection since.
    fn takes_duties(&self) -> bool {
        !self.unreachable && !self.refuses_connections
    }
}

//! Cold servers: a rate limit over all hosts for some seconds after a server has started.
//!
//! A server is cold from when its entry, or an answer of it, says so, or from its first listing during traffic, until the
//! stated time has passed. Its limit is one more source of the limits that hosts share ([`super::throttle`]): what
//! the hosts report to each other keeps them at the rate together. Those reports come some milliseconds late, or not at
//! all. So in addition, each host keeps to a share of the requests that the server may get in one second: a number
//! of whole requests that follows from the names of the server and of all hosts, and that no report can raise. The shares
//! of all hosts together stay within the bound, whoever hears whom.

use super::{Dispatch, Entry, ServerKey};
use crate::mix::{hash, mix};
use crate::time::Instant;
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

/// Longest time for which a server counts as cold after one statement. A longer one can't be meant.
pub const COLD_MAX: Duration = Duration::from_secs(60);
/// Time in which a host sends no more than its share. It is longer than the second of the bound because some requests
/// arrive sooner after they were sent than others.
const SHARE_WINDOW: Duration = Duration::from_millis(1_200);
/// Time for which a server that was used before becomes cold gets half of the shares: 800 ms, in which the entry may
/// reach other hosts, and the second in which the requests count that those sent at full speed until then.
pub(super) const LATE_ENTRY_TIME: Duration = Duration::from_millis(1_800);
/// Time after which most requests are sent that time out, or are sent to another engine since the first one is silent.
pub(super) const TIMEOUT_MAX: Duration = Duration::from_millis(1_500);
/// Time without a share after this host knows the other hosts. In it they learn of this host, and what an earlier process
/// of the same name sent leaves the window.
const JOIN_TIME: Duration = Duration::from_millis(2_000);
/// How long a host that has left the list counts when shares are divided: until its last requests have left the window on
/// all hosts.
const HOST_RETENTION: Duration = Duration::from_secs(10);
/// The shares leave room for one host, and one more for each number of this many hosts, that the others don't know yet.
const HOSTS_PER_UNKNOWN: usize = 64;
/// Highest number of requests that the factor of the bound may allow. A higher one can't be meant.
const REQUESTS_MAX: f64 = 1_000_000.0;
/// How long a server's cold time is remembered after its end.
const RETENTION: Duration = Duration::from_secs(60);

/// How long servers of a service are cold after their start, and what they take in that time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdStart {
    /// Time for which a server is cold that is listed for the first time during traffic.
    pub duration: Duration,
    /// Requests per second that a cold server sustains; `None` if there is no such limit.
    pub per_s: Option<f64>,
}

/// Bound of the requests that a cold server may get in any second: the rate times `overshoot`, plus `slack`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdBound {
    /// Factor of the rate.
    pub overshoot: f64,
    /// Requests in addition.
    pub slack: u32,
}

impl Default for ColdBound {
    fn default() -> ColdBound {
        ColdBound { overshoot: 1.5, slack: 5 }
    }
}

impl ColdBound {
    /// Returns the whole requests that a server of this rate may get in any second.
    pub fn requests(&self, per_s: f64) -> usize {
        let requests = (per_s * self.overshoot).clamp(0.0, REQUESTS_MAX) as usize;
        requests + self.slack as usize
    }
}

/// From where a host knows that a server is cold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ColdSource {
    /// The entry of the server.
    Entry,
    /// An answer of the server.
    Answer,
    /// The server was listed for the first time during traffic.
    Listing,
}

impl ColdSource {
    /// Returns the name used in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            ColdSource::Entry => "entry",
            ColdSource::Answer => "answer",
            ColdSource::Listing => "listing",
        }
    }
}

/// A server that has become cold or warm.
#[derive(Clone, Debug, PartialEq)]
pub struct ColdChange {
    /// Name of the server.
    pub server: Arc<str>,
    /// From where this host knows that the server is cold; `None` if it is warm from now on.
    pub source: Option<ColdSource>,
    /// Time that it stays cold.
    pub left: Duration,
    /// Requests per second that it takes from all hosts meanwhile, if there is a limit.
    pub per_s: Option<f64>,
    /// Requests that this host may send it in a second, if there is a limit.
    pub share: Option<usize>,
}

/// The cold time of one process of a server.
#[derive(Clone, Copy, Debug)]
struct Cold {
    /// When the process started. Distinguishes restarts under the same name.
    born: Option<u64>,
    /// Requests per second that it takes; `None` without a limit.
    per_s: Option<f64>,
    /// Requests that go together: two for an engine, whose process is probed when a connection to it is opened.
    unit: usize,
    source: ColdSource,
    until: Instant,
    /// Until when only half of the shares may be sent.
    halved_until: Instant,
    /// Number of hosts, and of those that come before this one when shares are divided.
    hosts: usize,
    earlier_hosts: usize,
    /// Whether its end has not been reported.
    is_open: bool,
}

/// Requests of this host to one server.
#[derive(Clone, Debug, Default)]
struct Sends {
    /// When requests were sent.
    sent: VecDeque<Instant>,
    /// When requests were placed that have not been sent. A generation is sent only after its prefill.
    placed: VecDeque<Instant>,
}

impl Sends {
    /// Forgets what has left the window.
    fn expire(&mut self, now: Instant) {
        for times in [&mut self.sent, &mut self.placed] {
            while times.front().is_some_and(|at| now.since(*at) >= SHARE_WINDOW) {
                times.pop_front();
            }
        }
    }

    /// Returns the times in the window, oldest first.
    fn recent(&self, now: Instant) -> Vec<Instant> {
        let times = self.sent.iter().chain(&self.placed).copied();
        let mut times: Vec<Instant> = times.filter(|at| now.since(*at) < SHARE_WINDOW).collect();
        times.sort_unstable();
        times
    }
}

/// All hosts, among which shares are divided.
#[derive(Clone, Debug, Default)]
struct Hosts {
    /// Hash of the name of this host.
    own: u64,
    /// Hashes of the names of the other hosts, and when each left the list.
    others: HashMap<Arc<str>, (u64, Option<Instant>)>,
    /// Since when all hosts are known that the store lists.
    known_since: Option<Instant>,
}

/// The cold servers, and this host's shares of what they take.
#[derive(Debug, Default)]
pub(super) struct ColdServers {
    bound: ColdBound,
    services: HashMap<Arc<str>, ColdStart>,
    /// Ordered by name, so that runs are reproducible.
    servers: BTreeMap<Arc<str>, Cold>,
    sends: HashMap<Arc<str>, Sends>,
    hosts: Hosts,
    /// When this host must send cold servers nothing more, unless it regains contact with the others.
    spend_until: Option<Instant>,
    /// Whether the list of servers has been read, so that a server that is new has started during traffic.
    is_listed: bool,
    /// Servers that have become cold since the last report.
    began: Vec<ColdChange>,
}

impl ColdServers {
    /// Returns whether any service has a limit for its cold servers.
    fn has_limits(&self) -> bool {
        self.services.values().any(|service| service.per_s.is_some())
    }

    /// Returns the cold time of a server that has a limit and is still cold.
    fn limited(&self, now: Instant, server: &str) -> Option<(&Cold, f64)> {
        let cold = self.servers.get(server).filter(|cold| now < cold.until)?;
        Some((cold, cold.per_s?))
    }

    /// Returns the limits in force, in requests per second.
    pub(super) fn limits(&self, now: Instant) -> impl Iterator<Item = (&Arc<str>, f64)> {
        let cold = self.servers.iter().filter(move |(_, cold)| now < cold.until);
        cold.filter_map(|(name, cold)| Some((name, cold.per_s?)))
    }

    /// Returns the limit of a server that is cold, in requests per second.
    pub(super) fn limit(&self, now: Instant, server: &str) -> Option<f64> {
        self.limited(now, server).map(|(_, per_s)| per_s)
    }

    /// Returns the servers that have had a limit and are remembered, and when their processes started.
    pub(super) fn limited_servers(&self) -> impl Iterator<Item = (&Arc<str>, Option<u64>)> {
        let limited = self.servers.iter().filter(|(_, cold)| cold.per_s.is_some());
        limited.map(|(name, cold)| (name, cold.born))
    }

    /// Returns the time that a server with a limit stays cold.
    pub(super) fn left(&self, now: Instant, server: &str) -> Option<Duration> {
        self.limited(now, server).map(|(cold, _)| cold.until.since(now))
    }

    /// Returns whether a server had a limit while it was cold, and is remembered.
    pub(super) fn had_limit(&self, server: &str) -> bool {
        self.servers.get(server).is_some_and(|cold| cold.per_s.is_some())
    }

    /// Returns how many requests this host may send a cold server in one second, or `None` if it has no limit.
    pub(super) fn share(&self, now: Instant, server: &str) -> Option<usize> {
        let (cold, per_s) = self.limited(now, server)?;
        let joined = self.hosts.known_since.is_some_and(|since| now.since(since) >= JOIN_TIME);
        if !joined || self.spend_until.is_some_and(|spend_until| spend_until <= now) {
            return Some(0);
        }
        let requests = self.bound.requests(per_s);
        let requests = if now < cold.halved_until { requests / 2 } else { requests };
        Some(share(requests / cold.unit, cold.hosts, cold.earlier_hosts) * cold.unit)
    }

    /// Returns the time until this host's share of a server's limit allows a request; zero if it does now.
    pub(super) fn wait(&self, now: Instant, server: &str) -> Duration {
        let Some(share) = self.share(now, server) else { return Duration::ZERO };
        let Some((cold, _)) = self.limited(now, server) else { return Duration::ZERO };
        let left = cold.until.since(now);
        let recent = self.sends.get(server).map_or(Vec::new(), |sends| sends.recent(now));
        let wait = match recent.len().checked_sub(share) {
            None => Duration::ZERO,
            // Nothing is allowed until more hosts are known to be gone, or the server is warm.
            Some(_) if share == 0 => left,
            Some(excess) => (recent[excess] + SHARE_WINDOW).since(now),
        };
        wait.min(left)
    }

    /// Counts a request that will be sent to a server.
    pub(super) fn record_placement(&mut self, now: Instant, server: &Arc<str>) {
        if self.has_limits() {
            let sends = self.sends.entry(server.clone()).or_default();
            sends.expire(now);
            sends.placed.push_back(now);
        }
    }

    /// Counts requests that are being sent to a server, instead of the placement that they began with. Returns `false`,
    /// and counts nothing, if they exceed this host's share.
    pub(super) fn record_send(&mut self, now: Instant, server: &Arc<str>, requests: usize) -> bool {
        if !self.has_limits() {
            return true;
        }
        let share = self.share(now, server);
        let sends = self.sends.entry(server.clone()).or_default();
        sends.expire(now);
        sends.placed.pop_front();
        let may_send = share.is_none_or(|share| sends.sent.len() + requests <= share);
        if may_send {
            sends.sent.extend(std::iter::repeat_n(now, requests));
        }
        may_send
    }

    /// Records that a server is cold until a time. `was_used` says whether this or other hosts may have sent it requests at
    /// full speed until now.
    fn record_cold(
        &mut self,
        now: Instant,
        entry: &Entry,
        (until, source): (Instant, ColdSource),
        was_used: bool,
    ) {
        let known = self.servers.get(&entry.name).filter(|known| known.born == entry.born);
        let was_cold = known.is_some_and(|known| now < known.until);
        let halved_until = match known {
            Some(known) if was_cold => known.halved_until,
            _ if was_used => now + LATE_ENTRY_TIME,
            _ => now,
        };
        let per_s = self.services.get(&entry.service).and_then(|service| service.per_s);
        let unit = if entry.stage.is_some() { 2 } else { 1 };
        let born = entry.born;
        let (hosts, earlier_hosts) = self.hosts.place(&entry.name);
        let cold = Cold {
            born,
            per_s,
            unit,
            source,
            until,
            halved_until,
            hosts,
            earlier_hosts,
            is_open: true,
        };
        self.servers.insert(entry.name.clone(), cold);
        if !was_cold {
            let (server, left) = (entry.name.clone(), until.since(now));
            let share = self.share(now, &server);
            let source = Some(source);
            self.began.push(ColdChange { server, source, left, per_s, share });
        }
    }

    /// Forgets cold times that ended long ago, and requests that have left the window. Returns the names of those servers.
    pub(super) fn forget_old(&mut self, now: Instant) -> Vec<Arc<str>> {
        let is_old = |cold: &Cold| now.since(cold.until) >= RETENTION && !cold.is_open;
        let old = self.servers.iter().filter(|(_, cold)| is_old(cold));
        let old: Vec<Arc<str>> = old.map(|(name, _)| name.clone()).collect();
        for name in &old {
            self.servers.remove(name);
        }
        self.sends.retain(|_, sends| {
            sends.expire(now);
            !sends.sent.is_empty() || !sends.placed.is_empty()
        });
        let count = self.hosts.others.len();
        let is_counted =
            |left: Option<Instant>| left.is_none_or(|at| now.since(at) < HOST_RETENTION);
        self.hosts.others.retain(|_, (_, left_at)| is_counted(*left_at));
        if self.hosts.others.len() != count {
            self.divide(now);
        }
        old
    }

    /// Divides the limits of the cold servers among the hosts anew.
    fn divide(&mut self, now: Instant) {
        for (name, cold) in &mut self.servers {
            if now < cold.until {
                (cold.hosts, cold.earlier_hosts) = self.hosts.place(name);
            }
        }
    }
}

impl Hosts {
    /// Returns the number of hosts, including those that left a short time ago, and how many of them come before this one
    /// when the limit of a server is divided. The order is another one for each server, and hosts whose lists differ agree
    /// on the order of those that both know.
    fn place(&self, server: &str) -> (usize, usize) {
        let server = hash(server);
        let own_rank = mix(self.own ^ server);
        let earlier = self.others.values().filter(|(host, _)| mix(host ^ server) < own_rank);
        (self.others.len() + 1, earlier.count())
    }
}

/// Returns a host's share of the requests that a server may get in one second: an equal part, and one of those that remain
/// if the host is among the first. Some are left for hosts that the others don't know yet.
fn share(requests: usize, hosts: usize, earlier_hosts: usize) -> usize {
    let unknown = 1 + hosts / HOSTS_PER_UNKNOWN;
    let reserved = unknown.saturating_mul(requests.div_ceil(hosts + unknown));
    let divided = requests.saturating_sub(reserved).max(requests.min(1));
    divided / hosts + usize::from(earlier_hosts < divided % hosts)
}

impl<T> Dispatch<T> {
    /// Sets how long servers of a service are cold after their start, and what they take meanwhile.
    pub fn configure_cold_start(&mut self, now: Instant, service: &Arc<str>, cold: ColdStart) {
        let cold = ColdStart {
            duration: cold.duration.min(COLD_MAX),
            per_s: cold.per_s.filter(|per_s| *per_s > 0.0),
        };
        self.throttle.cold.services.insert(service.clone(), cold);
        for server in self.servers.values().filter(|server| server.entry.service == *service) {
            if let Some(known) = self.throttle.cold.servers.get_mut(&server.entry.name) {
                known.per_s = cold.per_s;
            }
        }
        self.throttle.configure(now);
    }

    /// Sets the bound of the requests that cold servers may get in any second. Returns whether it changed.
    pub fn set_cold_bound(&mut self, bound: ColdBound) -> bool {
        std::mem::replace(&mut self.throttle.cold.bound, bound) != bound
    }

    /// Records that the list of servers is known. Servers that are listed for the first time from now on have started
    /// during traffic.
    pub fn record_servers_listed(&mut self) {
        self.throttle.cold.is_listed = true;
    }

    /// Sets the names of this host and of all other hosts, of all cells. `are_known` says whether these are all that the
    /// store lists. Until then, and for some time after, this host sends cold servers nothing.
    pub fn set_hosts<'a>(
        &mut self,
        now: Instant,
        own: &str,
        others: impl IntoIterator<Item = &'a Arc<str>>,
        are_known: bool,
    ) {
        let hosts = &mut self.throttle.cold.hosts;
        hosts.own = hash(own);
        for (_, left_at) in hosts.others.values_mut() {
            *left_at = left_at.or(Some(now));
        }
        for name in others {
            let host = hosts.others.entry(name.clone()).or_insert_with(|| (hash(name), None));
            host.1 = None;
        }
        if are_known {
            hosts.known_since.get_or_insert(now);
        }
        self.throttle.cold.divide(now);
    }

    /// Sets when this host must send cold servers nothing more since it is isolated; `None` for never. The others may have
    /// taken over its share.
    pub fn set_cold_spend_until(&mut self, spend_until: Option<Instant>) {
        self.throttle.cold.spend_until = spend_until;
    }

    /// Records what a server said in an answer of how much longer it stays cold. Returns whether that is new.
    pub fn record_cold(&mut self, now: Instant, key: ServerKey, left: Duration) -> bool {
        let is_cold = self.is_cold(now, key);
        if left.is_zero() {
            // Only the entry ends a cold time early: answers may overtake each other.
            return false;
        }
        self.begin_cold(now, key, (now + left.min(COLD_MAX), ColdSource::Answer), true);
        !is_cold
    }

    /// Applies what a server's entry says of its cold time. `is_new` says whether the process is listed for the first time,
    /// and `was_used` whether hosts may have sent requests to its address or name before.
    pub(super) fn apply_cold_entry(
        &mut self,
        now: Instant,
        key: ServerKey,
        is_new: bool,
        was_used: bool,
    ) {
        let Some(server) = self.servers.get(key) else { return };
        let stated = server.entry.cold_ms.map(|ms| Duration::from_millis(ms.into()).min(COLD_MAX));
        let service = self.throttle.cold.services.get(&server.entry.service);
        let from_listing = service.filter(|service| service.per_s.is_some());
        let from_listing = from_listing.map_or(Duration::ZERO, |service| service.duration);
        let has_started = is_new && self.throttle.cold.is_listed;
        match stated {
            Some(left) if !left.is_zero() => {
                self.begin_cold(now, key, (now + left, ColdSource::Entry), was_used);
            }
            // A server that starts during traffic is cold even if its first entry does not say so.
            _ if has_started && !from_listing.is_zero() => {
                self.begin_cold(now, key, (now + from_listing, ColdSource::Listing), was_used);
            }
            Some(_) => self.end_cold(now, key),
            None => {}
        }
    }

    /// Records that a server is cold until a time. What was measured of its speed before does not count any more.
    fn begin_cold(
        &mut self,
        now: Instant,
        key: ServerKey,
        (until, source): (Instant, ColdSource),
        was_used: bool,
    ) {
        let Some(server) = self.servers.get_mut(key) else { return };
        if server.cold_until <= now {
            server.speed = super::engine::SpeedEstimate::default();
            server.stats = super::plain::Stats::default();
        }
        server.cold_until = until;
        let entry = server.entry.clone();
        self.throttle.cold.record_cold(now, &entry, (until, source), was_used);
        self.throttle.configure_one(now, &entry.name);
    }

    /// Ends the cold time of a server whose entry says that it is warm. An answer, or the listing, may be more recent than
    /// what the entry says.
    fn end_cold(&mut self, now: Instant, key: ServerKey) {
        let Some(server) = self.servers.get_mut(key) else { return };
        let Some(cold) = self.throttle.cold.servers.get_mut(&server.entry.name) else { return };
        if cold.source == ColdSource::Entry && cold.born == server.entry.born {
            (cold.until, server.cold_until) = (cold.until.min(now), server.cold_until.min(now));
            let name = server.entry.name.clone();
            self.throttle.configure_one(now, &name);
        }
    }

    /// Returns whether a server is cold.
    pub fn is_cold(&self, now: Instant, key: ServerKey) -> bool {
        self.servers.get(key).is_some_and(|server| server.is_cold(now))
    }

    /// Returns the number of listed servers that are cold.
    pub fn cold_servers(&self, now: Instant) -> usize {
        let cold = self.throttle.cold.servers.iter().filter(|(_, cold)| now < cold.until);
        cold.filter(|(name, _)| self.keys_by_name.contains_key(*name)).count()
    }

    /// Counts requests that are being sent to a server now, which were placed there before: one, and the probe of a new
    /// connection. Returns `false` if the server is cold and they exceed this host's share.
    pub fn record_send(&mut self, now: Instant, key: ServerKey, requests: usize) -> bool {
        let Some(server) = self.servers.get(key) else { return true };
        self.throttle.cold.record_send(now, &server.entry.name, requests)
    }

    /// Returns the servers that have become cold or warm since the last call.
    pub fn cold_changes(&mut self, now: Instant) -> Vec<ColdChange> {
        let mut changes = std::mem::take(&mut self.throttle.cold.began);
        let mut has_ended = false;
        for (name, cold) in &mut self.throttle.cold.servers {
            if cold.is_open && cold.until <= now {
                cold.is_open = false;
                has_ended = true;
                let (server, per_s, left) = (name.clone(), None, Duration::ZERO);
                changes.push(ColdChange { server, source: None, left, per_s, share: None });
            }
        }
        if has_ended {
            self.throttle.configure(now);
        }
        changes
    }
}

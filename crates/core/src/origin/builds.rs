//! What a host knows of the builds that may have begun a stream that has not ended.

use super::announcement::{Announcement, FIRST_STREAM_DELAY, Hosts};
use crate::time::Instant;
use chestnutrack_wire::frame::BuildReport;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

/// Time for which a host may rely on its knowledge of the builds, counted from when what confirmed it was sent.
pub const KNOWLEDGE_LEASE: Duration = Duration::from_millis(1_500);
/// Longest time since another host listed a build for which it counts as listing it: two heartbeats.
const LISTED_AGE_MAX_MS: u32 = 1_000;
/// Age of the last confirmation from which on another one is due, so that one that takes a while comes in time.
const CONFIRMATION_DUE_AFTER: Duration = Duration::from_millis(1_000);
/// Time before a confirmation by which a process must have started for its messages to continue it. Other hosts may take
/// for [`KNOWLEDGE_LEASE`], and while a message is on its way, what the process before it listed for what it lists.
const SETTLING_TIME: Duration = Duration::from_millis(2_000);

/// Longest time that a stream may last, over all tries of its caller, where no route says otherwise.
const STREAM_LIFE: Duration = Duration::from_secs(60);

/// The builds that may have begun a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Possible {
    /// Only this one.
    One(Arc<str>),
    /// More than one.
    Several,
    /// This host does not know all of them.
    Unknown,
}

/// Builds of one service.
#[derive(Clone, Debug)]
struct Service {
    /// When this host last listed an engine of each build.
    listed_at: BTreeMap<Arc<str>, Instant>,
    /// The same, as other hosts or the store said. It is not passed on: each time would add the delay of a message.
    told_at: BTreeMap<Arc<str>, Instant>,
    /// Builds at which streams may begin, since no host still takes another build for the only one.
    announced: BTreeSet<Arc<str>>,
    /// The other builds that were listed, with what is known of the hosts that know them.
    unannounced: BTreeMap<Arc<str>, Announcement>,
    /// Longest time that a stream may last.
    stream_life: Duration,
    /// Whether another host that has listed all builds reported those that served before [`Builds::known_since`].
    is_vouched: bool,
}

impl Default for Service {
    fn default() -> Service {
        Service {
            listed_at: BTreeMap::new(),
            told_at: BTreeMap::new(),
            announced: BTreeSet::new(),
            unannounced: BTreeMap::new(),
            stream_life: STREAM_LIFE,
            is_vouched: false,
        }
    }
}

/// Builds of all services.
#[derive(Clone, Debug)]
pub struct Builds {
    services: BTreeMap<Arc<str>, Service>,
    /// Since when this host has known all builds that were listed; `None` if it does not.
    known_since: Option<Instant>,
    /// Whether no stream began before that time.
    is_first: bool,
    /// Whether all builds that served before that time are known from the store.
    knows_former: bool,
    freshness: Freshness,
    /// When the call was sent by which the list of servers, or its changes, last came.
    list_read_at: Option<Instant>,
    /// [`Builds::is_current`] when [`Builds::freshness_change`] was last called.
    was_current: bool,
}

/// Whether all builds that were listed are known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Freshness {
    /// They are: the list of servers is not followed.
    Unfollowed,
    /// They are not yet.
    Unconfirmed,
    /// Those that were listed until then are; this may be relied on for [`KNOWLEDGE_LEASE`].
    ConfirmedAt(Instant),
}

impl Builds {
    /// Creates what a host knows at its start. Before the first start of the whole fleet there was no stream.
    pub fn new(is_fleet_first_start: bool) -> Builds {
        Builds {
            services: BTreeMap::new(),
            known_since: None,
            is_first: is_fleet_first_start,
            knows_former: false,
            freshness: Freshness::Unfollowed,
            list_read_at: None,
            was_current: true,
        }
    }

    /// Begins to follow a list of servers, none of which has been read. From now on, what this host knows has to be confirmed.
    pub fn follow(&mut self) {
        (self.freshness, self.was_current) = (Freshness::Unconfirmed, false);
    }

    /// Sets the longest time that a stream of a service may last.
    pub fn set_stream_life(&mut self, service: &Arc<str>, stream_life: Duration) {
        self.services.entry(service.clone()).or_default().stream_life = stream_life;
    }

    /// Records the builds whose engines are listed now, by service. Returns those that were not listed before.
    pub fn record_listed(
        &mut self,
        now: Instant,
        listed: impl IntoIterator<Item = (Arc<str>, Arc<str>)>,
    ) -> Vec<(Arc<str>, Arc<str>)> {
        let mut new = Vec::new();
        for (service, build) in listed {
            self.known_since.get_or_insert(now);
            let is_followed = self.freshness != Freshness::Unfollowed;
            let known = self.services.entry(service.clone()).or_default();
            let listed_before = known.listed_at.insert(build.clone(), now);
            // Other hosts may count one that comes back as forgotten already.
            let is_forgotten = |at: Instant| now.since(at) >= known.stream_life / 2;
            if listed_before.is_none_or(is_forgotten) {
                known.announced.remove(&build);
                new.push((service, build.clone()));
            }
            if known.announced.contains(&build) {
                continue;
            }
            if is_followed {
                known.unannounced.entry(build).or_default();
            } else {
                known.announced.insert(build);
            }
        }
        new
    }

    /// Forgets a build of a service that is known by another name now.
    pub fn forget(&mut self, service: &str, build: &str) {
        if let Some(service) = self.services.get_mut(service) {
            service.listed_at.remove(build);
            service.told_at.remove(build);
            service.announced.remove(build);
            service.unannounced.remove(build);
        }
    }

    /// Records builds of which another host, or the store, knows that they have served, and how long ago.
    pub fn record_former(&mut self, now: Instant, reports: &[BuildReport]) {
        for report in reports {
            let at = now - Duration::from_millis(report.age_ms.into());
            let service = self.services.entry(report.service.clone()).or_default();
            let told_at = service.told_at.entry(report.build.clone()).or_insert(at);
            *told_at = (*told_at).max(at);
        }
    }

    /// Records that all builds that served before this host started are known from the store.
    pub fn record_former_known(&mut self) {
        self.knows_former = true;
    }

    /// Records that the reports are of a host that has listed all builds of the services that they name. Its messages name a
    /// service with a single build only while it hears a host that has just started, so others say nothing of a service.
    pub fn record_vouched(&mut self, reports: &[BuildReport]) {
        if self.known_since.is_none() {
            return;
        }
        for report in reports {
            self.services.entry(report.service.clone()).or_default().is_vouched = true;
        }
    }

    /// Records the builds that the store's records name. If one of them is not known, the builds that the store named may
    /// not be all: a build may have been listed, begun streams and left before the store named it.
    pub fn record_recorded<'a>(&mut self, now: Instant, builds: impl IntoIterator<Item = &'a str>) {
        let known: BTreeSet<&str> =
            self.services.values().flat_map(|service| service.recent(now)).map(|b| &**b).collect();
        if builds.into_iter().any(|build| !known.contains(build)) {
            self.knows_former = false;
        }
    }

    /// Returns whether that only one build can have begun a stream of a service is known only from the store's list of
    /// builds, which may lack the last one.
    pub fn relies_on_store(&self, now: Instant, service: &str) -> bool {
        !self
            .services
            .get(service)
            .is_some_and(|service| service.is_vouched || self.has_listed_all_of(now, service))
    }

    /// Returns when a process must have started at the latest for its messages to confirm that all builds are known. One that
    /// has started since the last confirmation does not know the builds that its host listed in between.
    pub fn settled_by(&self, now: Instant) -> Instant {
        let confirmed_at = match self.freshness {
            Freshness::ConfirmedAt(at) => at,
            Freshness::Unfollowed | Freshness::Unconfirmed => now,
        };
        confirmed_at - SETTLING_TIME
    }

    /// Records that enough other hosts were heard, whose processes started at [`Builds::settled_by`] or before and whose last
    /// messages were sent at `sent_at` or later. If they are of the whole fleet, one of them has told this host of each build
    /// at which any host begins streams. Otherwise hosts of other cells may have begun some since the last confirmation.
    pub fn record_heard(&mut self, sent_at: Instant, is_whole_fleet: bool) {
        if !is_whole_fleet {
            self.forget_after_gap(sent_at);
        }
        self.renew(sent_at);
    }

    /// Renews the time for which this host may rely on knowing all builds.
    fn renew(&mut self, sent_at: Instant) {
        self.freshness = match self.freshness {
            Freshness::ConfirmedAt(at) => Freshness::ConfirmedAt(at.max(sent_at)),
            _ => Freshness::ConfirmedAt(sent_at),
        };
    }

    /// Records that the store's list of servers, or all changes since it was read, came by a call that was sent at `sent_at`. If
    /// the list was read anew (`is_snapshot`) long after it was last confirmed that all builds are known, one may have been
    /// listed, begun streams and left since. All builds that are listed at `now` have been recorded.
    pub fn record_list_read(&mut self, now: Instant, sent_at: Instant, is_snapshot: bool) {
        let read_at = self.list_read_at.replace(sent_at);
        if read_at.is_some_and(|at| sent_at.since(at) >= FIRST_STREAM_DELAY) {
            self.forget_announced_unlisted(now);
        }
        if is_snapshot {
            self.forget_after_gap(sent_at);
        }
        self.renew(sent_at);
    }

    /// Has this host know only the builds that are listed from `sent_at` on, if the last confirmation is so old that streams may
    /// have begun at others since.
    fn forget_after_gap(&mut self, sent_at: Instant) {
        let Freshness::ConfirmedAt(at) = self.freshness else { return };
        if sent_at.since(at) < FIRST_STREAM_DELAY {
            return;
        }
        self.known_since = self.known_since.map(|_| sent_at);
        (self.is_first, self.knows_former) = (false, false);
        self.services.values_mut().for_each(|service| service.is_vouched = false);
    }

    /// Has builds that are not listed at `now` announced again when they come back. They may have left at any time since the
    /// list was read before, so that other hosts have forgotten them.
    fn forget_announced_unlisted(&mut self, now: Instant) {
        for service in self.services.values_mut() {
            let listed_at = &service.listed_at;
            service.announced.retain(|build| listed_at.get(build) == Some(&now));
        }
    }

    /// Returns whether a build at which another host may begin a stream now would be known.
    pub fn is_current(&self, now: Instant) -> bool {
        match self.freshness {
            Freshness::Unfollowed => true,
            Freshness::Unconfirmed => false,
            Freshness::ConfirmedAt(at) => now.since(at) < KNOWLEDGE_LEASE,
        }
    }

    /// Returns whether the list of servers is to be read again, as nothing else has confirmed for long that all builds are
    /// known.
    pub fn is_confirmation_due(&self, now: Instant) -> bool {
        match self.freshness {
            Freshness::Unfollowed => false,
            Freshness::Unconfirmed => true,
            Freshness::ConfirmedAt(at) => now.since(at) >= CONFIRMATION_DUE_AFTER,
        }
    }

    /// Returns [`Builds::is_current`] if it has changed since it was last returned.
    pub fn freshness_change(&mut self, now: Instant) -> Option<bool> {
        let is_current = self.is_current(now);
        let was_current = std::mem::replace(&mut self.was_current, is_current);
        (was_current != is_current).then_some(is_current)
    }

    /// Records which builds another host lists, by its reports. They also name those that it has listed for the last time some
    /// time ago, and leave out services of which it knows a single build.
    pub fn record_listing_host(&mut self, host: &Arc<str>, reports: &[BuildReport]) {
        for (name, service) in &mut self.services {
            let mut reports = reports.iter().filter(|report| report.service == *name).peekable();
            if reports.peek().is_none() {
                continue;
            }
            let listed: BTreeSet<&Arc<str>> = reports
                .filter(|report| report.age_ms <= LISTED_AGE_MAX_MS)
                .map(|report| &report.build)
                .collect();
            for (build, announcement) in &mut service.unannounced {
                if listed.contains(build) {
                    announcement.listed_by.insert(host.clone());
                } else {
                    announcement.listed_by.remove(host);
                }
            }
        }
    }

    /// Forgets which builds a host lists, whose process has ended.
    pub fn forget_host(&mut self, host: &str) {
        for service in self.services.values_mut() {
            service.unannounced.values_mut().for_each(|announcement| {
                announcement.listed_by.remove(host);
            });
        }
    }

    /// Returns the builds at which streams may begin from now on, by service: the only one that may have begun a stream,
    /// and those that all other hosts list, or enough of them for long enough. All builds that are listed at `now` have been
    /// recorded. `is_stored` tells whether the store lists a build, so that hosts that read its list know it.
    pub fn announce(
        &mut self,
        now: Instant,
        hosts: Hosts,
        is_stored: impl Fn(&str) -> bool,
    ) -> Vec<(Arc<str>, Arc<str>)> {
        let mut new = Vec::new();
        let names: Vec<Arc<str>> = self.services.keys().cloned().collect();
        for name in names {
            let is_only = matches!(self.possible(now, &name), Possible::One(_));
            let Some(service) = self.services.get_mut(&name) else { continue };
            let Service { listed_at, announced, unannounced, .. } = service;
            unannounced.retain(|build, announcement| {
                if listed_at.get(build) != Some(&now) {
                    return false;
                }
                let is_announced = is_only || announcement.is_known(now, hosts, is_stored(build));
                if is_announced {
                    announced.insert(build.clone());
                    new.push((name.clone(), build.clone()));
                }
                !is_announced
            });
        }
        new
    }

    /// Returns whether there is a listed build at which no stream may begin yet.
    pub fn has_unannounced(&self) -> bool {
        self.services.values().any(|service| !service.unannounced.is_empty())
    }

    /// Returns the listed builds at which no stream may begin yet, by service.
    pub fn unannounced(&self) -> BTreeMap<Arc<str>, BTreeSet<Arc<str>>> {
        let services = self.services.iter().filter(|(_, service)| !service.unannounced.is_empty());
        let builds = |service: &Service| service.unannounced.keys().cloned().collect();
        services.map(|(name, service)| (name.clone(), builds(service))).collect()
    }

    /// Returns whether several builds are known that may have begun a stream of a service that has not ended.
    pub fn has_several(&self, now: Instant, service: &str) -> bool {
        self.services.get(service).is_some_and(|service| service.recent(now).count() > 1)
    }

    /// Returns the builds that may have begun a stream of a service that has not ended.
    pub fn possible(&self, now: Instant, service: &str) -> Possible {
        let Some(service) = self.services.get(service) else { return Possible::Unknown };
        let mut recent = service.recent(now);
        match (recent.next(), recent.next()) {
            (_, Some(_)) => Possible::Several,
            (Some(build), None) if self.is_complete(now, service) => Possible::One(build.clone()),
            _ => Possible::Unknown,
        }
    }

    /// Returns the reports on the builds that this host has listed, of all services that have had several or have one at which
    /// no stream may begin yet, for other hosts: by them each host knows which others list a build. `with_single` adds the
    /// services with one build, for hosts that have just started.
    pub fn reports(&self, now: Instant, with_single: bool) -> Vec<BuildReport> {
        let several = self.services.iter().filter(|(_, service)| {
            with_single || service.recent(now).count() > 1 || !service.unannounced.is_empty()
        });
        let reports = several.flat_map(|(name, service)| {
            let listed = service.listed_at.iter().map(|(build, at)| (build, now.since(*at)));
            let recent = listed.filter(|(_, age)| *age < service.stream_life);
            recent.map(|(build, age)| BuildReport {
                service: name.clone(),
                build: build.clone(),
                age_ms: u32::try_from(age.as_millis()).unwrap_or(u32::MAX),
            })
        });
        reports.collect()
    }

    /// Returns whether this host has itself listed all builds that may have begun a stream, so that others may rely on
    /// its reports, which don't name builds that it was only told.
    pub fn has_listed_all(&self, now: Instant) -> bool {
        let has_listed_all_of = |service: &Service| {
            self.has_listed_all_of(now, service) && service.has_listed_told(now)
        };
        self.known_since.is_some() && self.listed_services().all(has_listed_all_of)
    }

    /// Returns whether this host knows all builds that may have begun a stream.
    pub fn is_known(&self, now: Instant) -> bool {
        self.known_since.is_some()
            && self.listed_services().all(|service| self.is_complete(now, service))
    }

    /// Returns the builds of each service that may have begun a stream, for hosts that start later.
    pub fn recent(&self, now: Instant) -> BTreeMap<Arc<str>, BTreeSet<Arc<str>>> {
        let builds = |service: &Service| service.recent(now).cloned().collect();
        let services = self.services.iter().map(|(name, service)| (name.clone(), builds(service)));
        services.filter(|(_, builds): &(_, BTreeSet<_>)| !builds.is_empty()).collect()
    }

    /// Returns the services that have engines.
    fn listed_services(&self) -> impl Iterator<Item = &Service> {
        self.services.values().filter(|service| !service.listed_at.is_empty())
    }

    /// Returns whether all builds that may have begun a stream of a service are known.
    fn is_complete(&self, now: Instant, service: &Service) -> bool {
        let knows_former = self.knows_former || service.is_vouched;
        self.is_current(now) && knows_former || self.has_listed_all_of(now, service)
    }

    /// Returns whether this host has listed all builds that may have begun a stream of a service.
    fn has_listed_all_of(&self, now: Instant, service: &Service) -> bool {
        let Some(known_since) = self.known_since else { return false };
        self.is_current(now) && (self.is_first || now.since(known_since) >= service.stream_life)
    }
}

impl Service {
    /// Returns the builds that were listed within the longest life of a stream.
    fn recent(&self, now: Instant) -> impl Iterator<Item = &Arc<str>> {
        let of = |listed| self.recent_of(now, listed);
        let builds: BTreeSet<&Arc<str>> = of(&self.listed_at).chain(of(&self.told_at)).collect();
        builds.into_iter()
    }

    /// Returns the builds among those listed at some time that were listed within the longest life of a stream.
    fn recent_of<'a>(
        &self,
        now: Instant,
        listed: &'a BTreeMap<Arc<str>, Instant>,
    ) -> impl Iterator<Item = &'a Arc<str>> {
        let stream_life = self.stream_life;
        let recent = listed.iter().filter(move |(_, at)| now.since(**at) < stream_life);
        recent.map(|(build, _)| build)
    }

    /// Returns whether this host has itself listed the builds that others said they have listed.
    fn has_listed_told(&self, now: Instant) -> bool {
        let listed: BTreeSet<&Arc<str>> = self.recent_of(now, &self.listed_at).collect();
        self.recent_of(now, &self.told_at).all(|build| listed.contains(build))
    }
}

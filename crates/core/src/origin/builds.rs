//! What a host knows of the builds that may have begun a stream that has not ended.

use crate::time::Instant;
use chestnutrack_wire::frame::BuildReport;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

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
    /// Longest time that a stream may last.
    stream_life: Duration,
}

impl Default for Service {
    fn default() -> Service {
        Service { listed_at: BTreeMap::new(), told_at: BTreeMap::new(), stream_life: STREAM_LIFE }
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
    /// Whether all builds that served before that time are known from the store or another host.
    knows_former: bool,
    /// Whether another host that has listed all builds reported those that served before that time.
    is_vouched: bool,
    /// Whether a build that is listed now would be known.
    is_current: bool,
}

impl Builds {
    /// Creates what a host knows at its start. Before the first start of the whole fleet there was no stream.
    pub fn new(is_fleet_first_start: bool) -> Builds {
        Builds {
            services: BTreeMap::new(),
            known_since: None,
            is_first: is_fleet_first_start,
            knows_former: false,
            is_vouched: false,
            is_current: true,
        }
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
            let listed_at = &mut self.services.entry(service.clone()).or_default().listed_at;
            if listed_at.insert(build.clone(), now).is_none() {
                new.push((service, build));
            }
        }
        new
    }

    /// Forgets a build of a service that is known by another name now.
    pub fn forget(&mut self, service: &str, build: &str) {
        if let Some(service) = self.services.get_mut(service) {
            service.listed_at.remove(build);
            service.told_at.remove(build);
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

    /// Records that all builds that served before this host started are known: from the store, or from another host
    /// (`is_vouched`).
    pub fn record_former_known(&mut self, is_vouched: bool) {
        self.knows_former = true;
        self.is_vouched |= is_vouched;
    }

    /// Records the builds that the store's records name. If one of them is not known, the builds that the store named may
    /// not be all: a build may have been listed, begun streams and left before the store named it.
    pub fn record_recorded<'a>(&mut self, now: Instant, builds: impl IntoIterator<Item = &'a str>) {
        let known: BTreeSet<&str> =
            self.services.values().flat_map(|service| service.recent(now)).map(|b| &**b).collect();
        if builds.into_iter().any(|build| !known.contains(build)) {
            self.knows_former &= self.is_vouched;
        }
    }

    /// Returns whether that only one build can have begun a stream of a service is known only from the store's list of
    /// builds, which may lack the last one.
    pub fn relies_on_store(&self, now: Instant, service: &str) -> bool {
        let service = self.services.get(service);
        !self.is_vouched && !service.is_some_and(|service| self.has_listed_all_of(now, service))
    }

    /// Sets whether this host would know of a build that is listed now: it has read the whole list, and the store answers
    /// it or most other hosts are heard. Returns whether that changed.
    pub fn set_current(&mut self, is_current: bool) -> bool {
        std::mem::replace(&mut self.is_current, is_current) != is_current
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

    /// Returns the reports on the builds that this host has listed, of all services that have had several, for other
    /// hosts.
    pub fn reports(&self, now: Instant) -> Vec<BuildReport> {
        let several = self.services.iter().filter(|(_, service)| service.recent(now).count() > 1);
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
    /// its reports.
    pub fn has_listed_all(&self, now: Instant) -> bool {
        self.known_since.is_some()
            && self.listed_services().all(|service| self.has_listed_all_of(now, service))
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
        self.is_current && self.knows_former || self.has_listed_all_of(now, service)
    }

    /// Returns whether this host has listed all builds that may have begun a stream of a service.
    fn has_listed_all_of(&self, now: Instant, service: &Service) -> bool {
        let Some(known_since) = self.known_since else { return false };
        self.is_current && (self.is_first || now.since(known_since) >= service.stream_life)
    }
}

impl Service {
    /// Returns the builds that were listed within the longest life of a stream.
    fn recent(&self, now: Instant) -> impl Iterator<Item = &Arc<str>> {
        let builds: BTreeSet<&Arc<str>> = [&self.listed_at, &self.told_at]
            .into_iter()
            .flatten()
            .filter(|(_, at)| now.since(**at) < self.stream_life)
            .map(|(build, _)| build)
            .collect();
        builds.into_iter()
    }
}

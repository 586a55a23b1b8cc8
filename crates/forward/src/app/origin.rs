//! Which build began a stream: what this host knows, records, and asks of other hosts.

use super::{App, State};
use crate::config::{Config, Kind};
use chestnutrack_core::origin::{Hosts, Known, Possible, Stream, unlisted_build};
use chestnutrack_core::time::Instant;
use chestnutrack_process::clock;
use chestnutrack_wire::frame::{BuildReport, OriginReport};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::timeout_at;

/// Longest time that a stream may last over all tries of its caller, as a multiple of the timeout of its route, plus a
/// duration.
const STREAM_LIFE: (u32, Duration) = (2, Duration::from_secs(5));

/// How the build that began a stream was found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Basis {
    /// This host had a record of the stream.
    Record,
    /// Other hosts, or the store, were asked.
    Search,
    /// By this host's knowledge no other build can have begun it.
    OnlyBuild,
}

impl Basis {
    /// Returns the name in logs.
    pub fn name(self) -> &'static str {
        match self {
            Basis::Record => "record",
            Basis::Search => "search",
            Basis::OnlyBuild => "only_build",
        }
    }
}

/// Builds of each service.
pub(crate) type ServiceBuilds = BTreeMap<Arc<str>, BTreeSet<Arc<str>>>;

/// What the other hosts are to be told and asked about streams.
#[derive(Debug, Default)]
pub(crate) struct OriginRequests {
    /// Streams of which the keepers are told the build.
    pub(crate) told: Vec<OriginReport>,
    /// Streams of which the keepers are asked the build.
    pub(crate) asked: Vec<Stream>,
}

impl State {
    /// Records the builds that are listed now.
    pub(super) fn record_listed_builds(&mut self, now: Instant) {
        let listed: Vec<_> = self.dispatch.listed_builds().collect();
        self.record_listed(now, listed);
    }

    /// Records builds that are listed now, by service, and logs those that are new. Resumable streams begin at a new one
    /// only once the other hosts know it.
    fn record_listed(
        &mut self,
        now: Instant,
        listed: impl IntoIterator<Item = (Arc<str>, Arc<str>)>,
    ) {
        for (service, build) in self.builds.record_listed(now, listed) {
            tracing::info!(%service, %build, "build listed");
        }
        self.dispatch.set_unannounced_builds(self.builds.unannounced());
    }

    /// Records that a server is listed until now, as far as it is an engine.
    pub(super) fn record_build_of(&mut self, now: Instant, name: &str) {
        let entry = self.dispatch.entry_of(name).filter(|entry| entry.stage.is_some());
        let build = entry.map(|entry| (entry.service.clone(), entry.build.clone()));
        self.record_listed(now, build);
    }

    /// Changes what is known of the builds of a service. If several may have begun streams since, has the keepers of all
    /// streams told.
    fn change_builds(&mut self, now: Instant, service: &str, change: impl FnOnce(&mut State)) {
        let had_several = self.builds.has_several(now, service);
        change(self);
        if !had_several && self.builds.has_several(now, service) {
            tracing::info!(service, "engines of several builds serve");
            self.origins.tell_all();
        }
    }

    /// Records the process of an engine that is listed from now on.
    pub(super) fn record_process(&mut self, now: Instant, name: &str) {
        let Some(entry) = self.dispatch.entry_of(name).cloned() else { return };
        let (service, build) = (&entry.service, &entry.build);
        self.change_builds(now, service, |state| {
            state.record_listed(now, [(service.clone(), build.clone())]);
            let unlisted = entry.born.map(|born| unlisted_build(name, born));
            if let Some(unlisted) = unlisted.filter(|unlisted| unlisted != build) {
                state.builds.forget(service, &unlisted);
                state.origins.rename_build(&unlisted, build);
            }
        });
    }

    /// Returns the build that began a stream of a service, and how it was found.
    fn find_build(
        &mut self,
        now: Instant,
        service: &str,
        stream: Option<Stream>,
    ) -> (Known, Basis) {
        let recorded = stream.and_then(|stream| self.origins.build(now, stream));
        if let Some(build) = recorded {
            return (Known::Build(build), Basis::Record);
        }
        self.record_listed_builds(now);
        let known = self.infer_build(now, service, stream);
        let basis = match self.builds.possible(now, service) {
            Possible::One(_) => Basis::OnlyBuild,
            Possible::Several | Possible::Unknown => Basis::Search,
        };
        (known, basis)
    }

    /// Returns the build that began a stream of a service of which this host has no record.
    fn infer_build(&mut self, now: Instant, service: &str, stream: Option<Stream>) -> Known {
        match (self.builds.possible(now, service), stream) {
            // The store may not have been told of the last build when all hosts were killed.
            (Possible::One(_), _)
                if self.builds.relies_on_store(now, service) && !self.origins.check_records() =>
            {
                Known::Pending
            }
            (Possible::One(build), _) => Known::Build(build),
            (Possible::Several, None) => Known::Nowhere,
            (Possible::Several, Some(stream)) => self.origins.find(now, stream),
            // The keepers may know, or this host learns that there was only one build.
            (Possible::Unknown, stream) => {
                match stream.map(|stream| self.origins.find(now, stream)) {
                    Some(Known::Build(build)) => Known::Build(build),
                    _ => Known::Pending,
                }
            }
        }
    }
}

impl App {
    /// Sets how long streams may last, by the routes of a configuration.
    pub(super) fn configure_builds(&self, config: &Config) {
        let (factor, margin) = STREAM_LIFE;
        let mut state = self.state();
        for service in config.services.iter().filter(|service| service.engine.is_some()) {
            let routes = config.routes.iter().filter(|route| {
                matches!(route.kind, Kind::Stream { .. })
                    && route.split.iter().any(|(name, _)| *name == service.name)
            });
            if let Some(timeout) = routes.map(|route| route.timeout).max() {
                state.builds.set_stream_life(&service.name, timeout * factor + margin);
            }
        }
    }

    /// Returns the build that began a stream of a service and how it was found, if it can be found within `limit`. `stream`
    /// is `None` if its caller doesn't say which it is.
    pub async fn find_build(
        &self,
        service: &Arc<str>,
        stream: Option<Stream>,
        limit: Duration,
    ) -> Option<(Arc<str>, Basis)> {
        let deadline = tokio::time::Instant::now() + limit;
        let mut was_searched = false;
        loop {
            let changed = self.origins_changed.notified();
            tokio::pin!(changed);
            changed.as_mut().enable();
            let (known, basis) = self.state().find_build(clock::now(), service, stream);
            match known {
                Known::Build(build) if basis == Basis::Record && was_searched => {
                    return Some((build, Basis::Search));
                }
                Known::Build(build) => return Some((build, basis)),
                Known::Nowhere => return None,
                Known::Pending => {
                    was_searched = true;
                    self.origins_due.notify_one();
                    self.records_wanted.notify_one();
                }
            }
            timeout_at(deadline, changed).await.ok()?;
        }
    }

    /// Returns whether an engine that generates and takes new requests is of a build.
    pub fn has_build(&self, service: &str, build: &str) -> bool {
        self.state().dispatch.has_build(service, build)
    }

    /// Records that a build began a stream of a service, which ends by `until`. The keepers are told if another build may
    /// be taken for it.
    pub fn record_origin(&self, service: &str, stream: Stream, build: &Arc<str>, until: Instant) {
        let now = clock::now();
        let mut state = self.state();
        let tell = !matches!(state.builds.possible(now, service), Possible::One(_));
        state.origins.record(now, stream, build, until, tell);
        self.count_origins(&state);
        drop(state);
        if tell {
            self.origins_due.notify_one();
        }
    }

    pub(super) fn count_origins(&self, state: &State) {
        let count = state.origins.streams().len();
        self.metrics.origins.set(i64::try_from(count).unwrap_or(i64::MAX));
    }

    /// Returns what the keepers of streams are to be told and asked, and does not return the former again.
    pub(crate) fn take_origin_requests(&self) -> OriginRequests {
        let now = clock::now();
        let mut state = self.state();
        let untold = state.origins.take_untold();
        let told = state.origins.reports(now, untold);
        OriginRequests { told, asked: state.origins.unasked() }
    }

    /// Records that a number of keepers is asked for the build of a stream.
    pub(crate) fn record_origin_asked(&self, stream: Stream, keepers: usize) {
        self.state().origins.record_asked(stream, keepers);
        if keepers == 0 {
            self.origins_changed.notify_waiters();
        }
    }

    /// Records what a host told of the builds of streams. `unknown` are those that it was asked for and does not know.
    pub(crate) fn record_origins(&self, known: &[OriginReport], unknown: &[u64]) {
        let now = clock::now();
        let mut state = self.state();
        state.origins.record_reports(now, known);
        self.count_origins(&state);
        for stream in unknown {
            state.origins.record_unknown((*stream).into());
        }
        drop(state);
        self.origins_changed.notify_waiters();
    }

    /// Returns the builds of streams, as far as this host knows them, and the others.
    pub(crate) fn origins(&self, streams: &[u64]) -> (Vec<OriginReport>, Vec<u64>) {
        let asked = streams.iter().map(|stream| Stream::from(*stream));
        let known = self.state().origins.reports(clock::now(), asked);
        let is_known = |stream: &&u64| known.iter().any(|report| report.stream == **stream);
        let unknown = streams.iter().filter(|stream| !is_known(stream)).copied().collect();
        (known, unknown)
    }

    /// Returns the builds of all streams that this host knows and that `is_kept` names.
    pub(crate) fn kept_origins(&self, is_kept: impl Fn(Stream) -> bool) -> Vec<OriginReport> {
        let state = self.state();
        let kept = state.origins.streams().filter(|stream| is_kept(*stream));
        state.origins.reports(clock::now(), kept)
    }

    /// Returns whether other hosts are told of builds: several may have begun streams of a service, or this host does not
    /// know all.
    pub(crate) fn shares_origins(&self) -> bool {
        let (now, state) = (clock::now(), self.state());
        let services = state.dispatch.services();
        services
            .iter()
            .any(|service| !matches!(state.builds.possible(now, service), Possible::One(_)))
    }

    /// Returns what this host reports on builds, also on single ones of a service if `with_single` says so, and whether it has listed all that may have begun a stream.
    pub(crate) fn build_reports(&self, with_single: bool) -> (Vec<BuildReport>, bool) {
        let (now, state) = (clock::now(), self.state());
        (state.builds.reports(now, with_single), state.builds.has_listed_all(now))
    }

    /// Records what a peer (`is_peer`), or the store, reports on builds that serve or have served; `is_known` says whether
    /// these, and those that are listed, are all.
    pub(crate) fn record_builds(&self, reports: &[BuildReport], is_known: bool, is_peer: bool) {
        if reports.is_empty() && !is_known {
            return;
        }
        let now = clock::now();
        let mut state = self.state();
        for report in reports {
            state.change_builds(now, &report.service, |state| {
                state.builds.record_former(now, std::slice::from_ref(report));
            });
        }
        if is_known && is_peer {
            state.builds.record_vouched(reports);
        } else if is_known {
            state.builds.record_former_known();
        }
        drop(state);
        self.origins_due.notify_one();
        self.origins_changed.notify_waiters();
    }

    /// Begins to follow a list of servers, by which this host learns of builds.
    pub(crate) fn follow_builds(&self) {
        self.state().builds.follow();
    }

    /// Returns when a process must have started at the latest for its messages to confirm that all builds are known.
    pub(crate) fn builds_settled_by(&self) -> Instant {
        self.state().builds.settled_by(clock::now())
    }

    /// Returns whether the list of servers is to be read to confirm that all builds are known.
    pub(crate) fn is_builds_confirmation_due(&self) -> bool {
        self.state().builds.is_confirmation_due(clock::now())
    }

    /// Records that enough other hosts, of the whole fleet or of this host's cell, were heard, whose last messages were sent
    /// at `sent_at` or later.
    pub(crate) fn confirm_builds_heard(&self, sent_at: Instant, is_whole_fleet: bool) {
        self.state().builds.record_heard(sent_at, is_whole_fleet);
        self.check_builds_current();
    }

    /// Records that the list of servers, or its changes, came from the store by a call that was sent at `sent_at`.
    pub(crate) fn confirm_builds_listed(&self, sent_at: Instant, is_snapshot: bool) {
        let (now, mut state) = (clock::now(), self.state());
        state.record_listed_builds(now);
        state.builds.record_list_read(now, sent_at, is_snapshot);
        drop(state);
        self.check_builds_current();
    }

    /// Logs whether this host would know of a build at which another one begins streams, if that has changed. Has the keepers of
    /// all streams told if it would not: hosts that lack the same messages can't infer their builds.
    pub(crate) fn check_builds_current(&self) {
        let mut state = self.state();
        let Some(is_current) = state.builds.freshness_change(clock::now()) else { return };
        if !is_current {
            state.origins.tell_all();
        }
        drop(state);
        tracing::info!(is_current, "knowledge of builds changed");
        self.origins_due.notify_one();
        self.origins_changed.notify_waiters();
    }

    /// Forgets which builds a peer lists, whose process has ended.
    pub(crate) fn forget_listing_host(&self, peer: &str) {
        self.state().builds.forget_host(peer);
    }

    /// Records the builds that a peer lists.
    pub(crate) fn record_listing_host(&self, peer: &Arc<str>, reports: &[BuildReport]) {
        self.state().builds.record_listing_host(peer, reports);
    }

    /// Lets resumable streams begin at the builds that the other hosts know by now, and records the builds that are listed.
    pub(crate) fn announce_builds(self: &Arc<App>, hosts: Hosts) {
        let (now, mut state) = (clock::now(), self.state());
        state.record_listed_builds(now);
        let State { builds, dispatch, .. } = &mut *state;
        let announced = builds.announce(now, hosts, |build| dispatch.is_stored_build(build));
        if announced.is_empty() {
            return;
        }
        dispatch.set_unannounced_builds(builds.unannounced());
        drop(state);
        for (service, build) in announced {
            tracing::info!(%service, %build, "streams may begin at a build");
        }
        self.admit_waiting();
    }

    /// Returns whether there is a build at which no resumable stream may begin yet.
    pub fn has_unannounced_builds(&self) -> bool {
        self.state().builds.has_unannounced()
    }

    /// Returns the builds that may have begun a stream, for hosts that start later; `None` if this host does not know all.
    pub(crate) fn recent_builds(&self) -> Option<ServiceBuilds> {
        let now = clock::now();
        let mut state = self.state();
        state.record_listed_builds(now);
        state.builds.is_known(now).then(|| state.builds.recent(now))
    }
}

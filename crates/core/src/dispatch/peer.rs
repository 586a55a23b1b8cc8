//! Reports that hosts exchange about their generations, prefills, waiting requests, demand, and
//! failing servers.

use super::{Dispatch, Server, ServerKey};
use crate::forecast;
use crate::time::Instant;
use chestnutrack_wire::frame::{DemandReport, EngineReport, GenerationReport, News};
use std::sync::Arc;
use std::time::Duration;

/// Age from which a peer's reported generations are ignored. By then the peer or its engines have
/// ended them.
const REPORT_EXPIRY: Duration = Duration::from_secs(10);

/// Age from which a peer's report is overdue; longer than the heartbeat interval.
pub(super) const REPORT_OVERDUE_AFTER: Duration = Duration::from_millis(600);

/// Time after a failure during which a server is chosen last.
const RECENT_FAILURE_WINDOW: Duration = Duration::from_millis(1_000);
/// Age from which a peer's report of failing servers is ignored.
const FAILURE_REPORT_EXPIRY: Duration = Duration::from_millis(1_000);

/// Last report of a peer.
#[derive(Clone, Debug)]
pub(super) struct Peer {
    /// When the report was received.
    received_at: Instant,
    /// The peer's generations and queued prompt tokens, by engine.
    engines: Vec<EngineReport>,
    /// Ages of the peer's oldest waiting requests at the time of the report, in milliseconds.
    waiting: Vec<u32>,
    /// Services of these requests and their places in the order of admission; empty or shorter if the
    /// peer states none.
    waiting_order: Vec<(Arc<str>, u8)>,
    /// Servers that the peer avoids.
    failing: Vec<Arc<str>>,
    /// Servers that recently failed for the peer.
    doubtful: Vec<Arc<str>>,
    /// The peer's demand estimates.
    demand: Vec<DemandReport>,
}

impl Peer {
    /// Returns the peer's generations, extrapolated from the report to `now`.
    pub(super) fn generations<T>(
        &self,
        now: Instant,
        dispatch: &Dispatch<T>,
    ) -> Vec<(ServerKey, forecast::Generation)> {
        let age = now.since(self.received_at);
        if age >= REPORT_EXPIRY {
            return Vec::new();
        }
        let age_ms = age.as_secs_f64() * 1_000.0;
        let mut generations = Vec::new();
        for engine in &self.engines {
            let Some(&key) = dispatch.keys_by_name.get(&engine.server) else { continue };
            let generated = age_ms * dispatch.tokens_per_ms(&dispatch.servers[key]);
            generations.extend(
                engine.runs.iter().map(|run| (key, forecast_generation(*run).grown_by(generated))),
            );
        }
        generations
    }

    /// Returns the prompt tokens that the peer has asked an engine to prefill and that are not
    /// finished. The engine prefills `per_ms` tokens per millisecond. A peer reports every finished
    /// prefill, so the reported number holds until the next report is overdue; after that it
    /// decreases at the engine's speed.
    pub(super) fn queued_prefill_tokens(&self, now: Instant, server: &str, per_ms: f64) -> f64 {
        let reported = self.engines.iter().find(|engine| &*engine.server == server);
        let overdue_time = now.since(self.received_at).saturating_sub(REPORT_OVERDUE_AFTER);
        let prefilled_since = overdue_time.as_secs_f64() * 1_000.0 * per_ms;
        reported.map_or(0.0, |engine| (f64::from(engine.prefilling) - prefilled_since).max(0.0))
    }

    /// Returns the number of the peer's waiting requests that are admitted before a request with `order`
    /// that arrived at `arrived`: those of its service with a lower order, and older ones with the same.
    pub(super) fn waiting_before(
        &self,
        now: Instant,
        service: &str,
        order: u8,
        arrived: Instant,
    ) -> usize {
        let (own_age, report_age) = (now.since(arrived), now.since(self.received_at));
        let is_before = |(age_ms, reported): &(u32, u8)| {
            let is_older = Duration::from_millis(u64::from(*age_ms)) + report_age > own_age;
            *reported < order || (*reported == order && is_older)
        };
        self.waiting_by_order(service, order).filter(is_before).count()
    }

    /// Returns the number of the peer's reported waiting requests of a service with at most `order`. The
    /// report is limited.
    pub(super) fn waiting_up_to(&self, service: &str, order: u8) -> usize {
        let waiting = self.waiting_by_order(service, order);
        waiting.filter(|(_, reported)| *reported <= order).count()
    }

    /// Returns the ages and the order of the peer's waiting requests of a service at the time of the
    /// report. A request of which the peer states neither, since it is of an earlier version,
    /// counts as one of the service and of `default_order`.
    fn waiting_by_order(
        &self,
        service: &str,
        default_order: u8,
    ) -> impl Iterator<Item = (u32, u8)> {
        let stated = self.waiting_order.iter().map(Some).chain(std::iter::repeat(None));
        self.waiting.iter().zip(stated).filter_map(move |(age_ms, stated)| match stated {
            Some((stated_service, order)) => {
                (**stated_service == *service).then_some((*age_ms, *order))
            }
            None => Some((*age_ms, default_order)),
        })
    }

    /// Returns the peer's demand estimate for a service.
    pub(super) fn demand(&self, service: &str) -> Option<&DemandReport> {
        self.demand.iter().find(|demand| &*demand.service == service)
    }
}

/// Converts a generation that a peer reports.
fn forecast_generation(run: GenerationReport) -> forecast::Generation {
    forecast::Generation {
        held_tokens: f64::from(run.context),
        generated_tokens: f64::from(run.made),
        expected_tokens: f64::from(run.expected),
        max_tokens: f64::from(run.most),
    }
}

/// Converts a number of tokens for a report.
fn saturating_u32(tokens: f64) -> u32 {
    tokens.clamp(0.0, f64::from(u32::MAX)) as u32
}

impl<T> Dispatch<T> {
    /// Returns what this host reports to its peers about each engine that it uses: its generations
    /// there, and the prompt tokens that the engine has yet to prefill for it.
    pub fn engine_reports(&self) -> Vec<EngineReport> {
        let mut reports: Vec<EngineReport> = Vec::new();
        for (key, server) in &self.servers {
            let generations =
                self.generations.values().filter(|generation| generation.decode == key);
            let runs: Vec<GenerationReport> = generations
                .map(|generation| GenerationReport {
                    context: saturating_u32(generation.forecast.held_tokens),
                    made: saturating_u32(generation.forecast.generated_tokens),
                    expected: saturating_u32(generation.forecast.expected_tokens),
                    most: saturating_u32(generation.forecast.max_tokens),
                })
                .collect();
            if runs.is_empty() && server.prefill_tokens == 0 {
                continue;
            }
            reports.push(EngineReport {
                server: server.entry.name.clone(),
                runs,
                prefilling: u32::try_from(server.prefill_tokens).unwrap_or(u32::MAX),
            });
        }
        reports
    }

    /// Returns the ages of the waiting requests that are admitted first, in milliseconds, and their
    /// services and places in the order of admission, sorted by the latter and then from the oldest.
    /// They are reported to peers, up to a maximum number.
    pub fn waiting_reports(&self, now: Instant) -> (Vec<u32>, Vec<(Arc<str>, u8)>) {
        let age = |arrived| u32::try_from(now.since(arrived).as_millis()).unwrap_or(u32::MAX);
        let waiting = self.queue.iter().map(|(_, waiting)| {
            let request = &waiting.item.0;
            (request.order(waiting.rank), waiting.arrived, &request.service)
        });
        let mut waiting: Vec<_> = waiting.collect();
        waiting.sort();
        waiting.truncate(super::admission::MAX_OLDER_WAITING);
        let reports = waiting
            .into_iter()
            .map(|(order, arrived, service)| (age(arrived), (service.clone(), order)));
        reports.unzip()
    }

    /// Replaces the stored report of a peer.
    pub fn update_peer(&mut self, now: Instant, peer: &Arc<str>, news: &News) {
        let state = Peer {
            received_at: now,
            engines: news.engines.clone(),
            waiting: news.waiting.clone(),
            waiting_order: news.waiting_order.clone(),
            failing: news.failing.clone(),
            doubtful: news.doubtful.clone(),
            demand: news.demand.clone(),
        };
        self.peers.insert(peer.clone(), state);
    }

    /// Returns the age of the oldest peer report that has not expired.
    pub(super) fn oldest_report_age(&self, now: Instant) -> Duration {
        let ages = self.peers.values().map(|peer| now.since(peer.received_at));
        ages.filter(|age| *age < REPORT_EXPIRY).max().unwrap_or_default()
    }

    /// Removes a peer whose process has ended. Its connections to engines are closed, so its
    /// generations have ended too, and it sends nothing more.
    pub fn remove_peer(&mut self, now: Instant, peer: &Arc<str>) {
        self.peers.remove(peer);
        self.throttle.remove_peer(now, peer);
    }

    /// Returns the servers that this host avoids because they are failing or were replaced at their
    /// address.
    pub fn failing_servers(&self, now: Instant) -> Vec<Arc<str>> {
        let is_failing = |server: &&Server| server.health.is_failing(now) || server.replaced;
        let failing = self.servers.values().filter(is_failing);
        failing.map(|server| server.entry.name.clone()).collect()
    }

    /// Returns the servers that recently failed for this host.
    pub fn recently_failed_servers(&self, now: Instant) -> Vec<Arc<str>> {
        let doubtful = self
            .servers
            .values()
            .filter(|server| server.health.failed_within(now, RECENT_FAILURE_WINDOW));
        doubtful.map(|server| server.entry.name.clone()).collect()
    }

    /// Returns whether a peer has recently reported that it avoids a server.
    pub(super) fn is_avoided_by_peer(&self, now: Instant, server: &Server) -> bool {
        self.recent_peers(now).any(|peer| peer.failing.contains(&server.entry.name))
    }

    /// Returns whether a server recently failed for this host, or a peer has recently reported so.
    pub(super) fn failed_recently(&self, now: Instant, server: &Server) -> bool {
        server.health.failed_within(now, RECENT_FAILURE_WINDOW)
            || self.recent_peers(now).any(|peer| peer.doubtful.contains(&server.entry.name))
    }

    /// Returns the peers whose reports of failing servers are still valid.
    fn recent_peers(&self, now: Instant) -> impl Iterator<Item = &Peer> {
        self.peers.values().filter(move |peer| now.since(peer.received_at) < FAILURE_REPORT_EXPIRY)
    }
}

//! Planning and tracking of stage changes, by which engines switch between prefill and decode. The
//! split is the number of a service's engines in each stage.

use super::{Dispatch, ServerKey, Stage};
use crate::plan::{Demand, Engines};
use crate::time::Instant;
use chestnutrack_wire::frame::DemandReport;
use std::sync::Arc;
use std::time::Duration;

/// Smallest weight of a new generation in the demand estimate.
const MIN_SMOOTHING: f64 = 0.02;
/// Generations that must have been seen, over all hosts, before a split is planned.
const MIN_GENERATIONS: u32 = 16;
/// Maximum number of generations counted per host when estimates are merged, so that a long-running
/// host does not outweigh the others.
const MAX_COUNTED_GENERATIONS: u32 = 50;
/// Minimum time between a stage change and the next planned split.
const MIN_CHANGE_INTERVAL: Duration = Duration::from_secs(20);

/// Estimate of the demand of a service, from the generations of one host or merged over several.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct DemandEstimate {
    /// Number of generations that the estimate is based on.
    seen: u32,
    /// Average length of a prompt, in tokens.
    prompt_tokens: f64,
    /// Average memory held over the duration of a generation, in tokens times milliseconds.
    token_ms: f64,
}

impl DemandEstimate {
    /// Records a generation at its start, with its expected length. Recording at the end would make
    /// the averages too low: at first, only short generations have ended.
    pub(super) fn record(&mut self, prompt: f64, expected: f64, tokens_per_ms: f64) {
        let token_ms = (prompt + expected / 2.0) * expected / tokens_per_ms;
        let weight = MIN_SMOOTHING.max(1.0 / f64::from(self.seen + 1));
        self.seen = self.seen.saturating_add(1);
        self.prompt_tokens += weight * (prompt - self.prompt_tokens);
        self.token_ms += weight * (token_ms - self.token_ms);
    }

    /// Converts the estimate that a peer reports.
    fn from_report(report: &DemandReport) -> DemandEstimate {
        DemandEstimate {
            seen: report.seen,
            prompt_tokens: f64::from(report.prompt_tokens),
            token_ms: report.token_ms as f64,
        }
    }

    /// Returns the average of two estimates, weighted by their numbers of generations. Each number
    /// counts up to a maximum.
    fn merge(self, other: DemandEstimate) -> DemandEstimate {
        let (own, theirs) =
            (self.seen.min(MAX_COUNTED_GENERATIONS), other.seen.min(MAX_COUNTED_GENERATIONS));
        let share = f64::from(theirs) / f64::from((own + theirs).max(1));
        DemandEstimate {
            seen: own + theirs,
            prompt_tokens: self.prompt_tokens + share * (other.prompt_tokens - self.prompt_tokens),
            token_ms: self.token_ms + share * (other.token_ms - self.token_ms),
        }
    }
}

impl<T> Dispatch<T> {
    /// Returns the engines of a service that should change their stage now, with their new stage.
    ///
    /// Returns none shortly after a stage change, and until enough generations have been seen. Only
    /// engines in this host's cell (the part of the fleet that it uses first) that take new requests are
    /// counted and changed. Those with the least work change first.
    pub fn plan_stage_changes(&self, now: Instant, service: &str) -> Vec<(ServerKey, Stage)> {
        let Some(pool) = self.pools.get(service) else { return Vec::new() };
        let is_settled = pool
            .split_changed_at
            .is_none_or(|changed_at| now.since(changed_at) >= MIN_CHANGE_INTERVAL);
        let reported = self
            .peers
            .values()
            .filter_map(|peer| peer.demand(service))
            .map(DemandEstimate::from_report);
        let merged = reported.fold(pool.demand, DemandEstimate::merge);
        if !is_settled || merged.seen < MIN_GENERATIONS {
            return Vec::new();
        }
        let engines_of = |stage| {
            let engines = self.servers.iter().filter(move |(_, server)| {
                &*server.entry.service == service && server.entry.stage == Some(stage)
            });
            engines
                .filter(|(_, server)| server.in_cell && server.is_open())
                .map(|(key, _)| key)
                .collect::<Vec<_>>()
        };
        let (prefill, decode) = (engines_of(Stage::Prefill), engines_of(Stage::Decode));
        let generations_by_engine = self.known_generations(now);
        let held_tokens = |key: &ServerKey| {
            generations_by_engine
                .get(key)
                .into_iter()
                .flatten()
                .map(|generation| generation.held_tokens)
                .sum::<f64>()
        };
        let used_tokens = decode.iter().map(held_tokens).sum::<f64>();
        let engines = Engines {
            prefill: prefill.len(),
            decode: decode.len(),
            prefill_per_ms: pool.prefill_per_ms,
            kv_tokens: pool.kv_tokens as f64,
            memory_used: used_tokens / (decode.len() as f64 * pool.kv_tokens as f64).max(1.0),
        };
        let demand = Demand { prompt_tokens: merged.prompt_tokens, token_ms: merged.token_ms };
        let Some(prefill_target) = engines.split(&demand, &self.settings.plan) else {
            return Vec::new();
        };
        let (from, to, count) = match prefill_target < prefill.len() {
            true => (prefill, Stage::Decode, engines.prefill - prefill_target),
            false => (decode, Stage::Prefill, prefill_target - engines.prefill),
        };
        let mut candidates: Vec<ServerKey> = from;
        candidates.sort_by_key(|key| {
            (generations_by_engine.get(key).map_or(0, Vec::len), self.servers[*key].prefill_tokens)
        });
        candidates.into_iter().take(count).map(|key| (key, to)).collect()
    }

    /// Records that an engine is changing its stage and is unavailable for `duration`. Delays the
    /// next planned split of its service.
    pub fn record_stage_change(&mut self, now: Instant, name: &str, duration: Duration) {
        let Some(&key) = self.keys_by_name.get(name) else { return };
        if let Some(server) = self.servers.get_mut(key) {
            server.stage_change_until = server.stage_change_until.max(now + duration);
            let service = server.entry.service.clone();
            self.pools.entry(service).or_default().split_changed_at = Some(now);
        }
    }

    /// Returns the demand estimates that this host reports to its peers.
    pub fn demand_reports(&self) -> Vec<DemandReport> {
        let estimated = self.pools.iter().filter(|(_, pool)| pool.demand.seen > 0);
        let reports = estimated.map(|(service, pool)| DemandReport {
            service: service.clone(),
            seen: pool.demand.seen,
            prompt_tokens: pool.demand.prompt_tokens as u32,
            token_ms: pool.demand.token_ms as u64,
        });
        reports.collect()
    }

    /// Returns the engines that are changing their stage, with the remaining time in milliseconds.
    pub fn changing_engines(&self, now: Instant) -> Vec<(Arc<str>, u32)> {
        let changing = self.servers.values().filter(|server| server.stage_change_until > now);
        let remaining_ms =
            |until: Instant| u32::try_from(now.millis_until(until)).unwrap_or(u32::MAX);
        changing.map(|s| (s.entry.name.clone(), remaining_ms(s.stage_change_until))).collect()
    }

    /// Returns the services that have engines.
    pub fn services(&self) -> Vec<Arc<str>> {
        self.pools.keys().cloned().collect()
    }
}

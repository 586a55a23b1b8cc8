//! Planning and tracking of stage changes, by which engines switch between prefill and decode. The
//! split is the number of a service's engines in each stage.

use super::{Dispatch, ServerKey, Stage};
use crate::plan::{Demand, Engines, Observed, Split};
use crate::time::Instant;
use chestnutrack_wire::frame::DemandReport;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

/// Smallest weight of a new generation in the demand estimate.
const MIN_SMOOTHING: f64 = 0.02;
/// Generations that must have been seen, over all hosts, before a split is planned.
const MIN_GENERATIONS: u32 = 16;
/// Maximum number of generations counted per host when estimates are merged, so that a long-running
/// host does not outweigh the others.
const MAX_COUNTED_GENERATIONS: u32 = 50;
/// Time for which the load is observed before a split is planned, from the first generation and
/// again after each change.
const OBSERVATION_TIME: Duration = Duration::from_secs(2);
/// Shortest time between two samples of the load.
const LOAD_SAMPLE_TIME: Duration = Duration::from_millis(500);
/// Time over which the averages of the load are taken. Bursts and the lag between placing a
/// generation and its growth shouldn't show in them.
const LOAD_WINDOW: Duration = Duration::from_secs(15);
/// Time for which the load is observed before it counts more than estimates, as a multiple of the
/// estimated duration of a generation.
const OBSERVED_DURATIONS: f64 = 3.0;

/// Estimate of the demand of a service, from the generations of one host or merged over several.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct DemandEstimate {
    /// Number of generations that the estimate is based on.
    seen: u32,
    /// Average length of a prompt, in tokens.
    prompt_tokens: f64,
    /// Average length of an answer, in tokens.
    answer_tokens: f64,
    /// Average product of the tokens held and the tokens generated, over a generation. Divided by the
    /// decode speed, it is the memory held over the duration of a generation.
    held_by_generated: f64,
}

impl DemandEstimate {
    /// Records a generation at its start, with its expected length. Recording at the end would make
    /// the averages too low: at first, only short generations have ended.
    pub(super) fn record(&mut self, prompt: f64, expected: f64) {
        let weight = MIN_SMOOTHING.max(1.0 / f64::from(self.seen.saturating_add(1)));
        self.seen = self.seen.saturating_add(1);
        self.prompt_tokens += weight * (prompt - self.prompt_tokens);
        self.answer_tokens += weight * (expected - self.answer_tokens);
        self.held_by_generated +=
            weight * ((prompt + expected / 2.0) * expected - self.held_by_generated);
    }

    /// Converts the estimate that a peer reports.
    fn from_report(report: &DemandReport) -> DemandEstimate {
        DemandEstimate {
            seen: report.seen,
            prompt_tokens: f64::from(report.prompt_tokens),
            answer_tokens: f64::from(report.answer_tokens),
            held_by_generated: report.held_by_generated as f64,
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
            answer_tokens: self.answer_tokens + share * (other.answer_tokens - self.answer_tokens),
            held_by_generated: self.held_by_generated
                + share * (other.held_by_generated - self.held_by_generated),
        }
    }
}

/// Observed load of a service's engines.
#[derive(Clone, Debug, Default)]
pub(super) struct Load {
    /// When the observation began: with the first generation.
    since: Option<Instant>,
    /// When the last sample was taken.
    sampled_at: Instant,
    /// Generations that each host had placed by the last sample. The empty name is this host's.
    placed_by_host: HashMap<Arc<str>, u32>,
    /// Sums over the recent past, in which older samples weigh less.
    sums: Sums,
    /// Since when one of the stages has had no engine.
    stage_empty_since: Option<Instant>,
}

/// Sums over the recent past, in which older samples weigh less.
#[derive(Clone, Copy, Debug, Default)]
struct Sums {
    /// Time observed, in milliseconds.
    ms: f64,
    /// Generations placed by all hosts.
    placed: f64,
    /// Memory in use on decode engines over time, in tokens times milliseconds.
    token_ms: f64,
    /// Generations on decode engines over time, in milliseconds.
    generation_ms: f64,
}

impl Load {
    /// Records a sample: the generations that each host has placed since it started, and the memory
    /// in use and the generations on decode engines now. Ignores a sample that follows too soon.
    fn sample(
        &mut self,
        now: Instant,
        placed_by_host: HashMap<Arc<str>, u32>,
        held_tokens: f64,
        generations: f64,
    ) {
        let elapsed = now.since(self.sampled_at);
        if elapsed < LOAD_SAMPLE_TIME {
            return;
        }
        // Hosts that were not known before, or that have restarted, count from the next sample on.
        let placed_since =
            |(host, placed): (&Arc<str>, &u32)| placed.checked_sub(*self.placed_by_host.get(host)?);
        // Peers state any numbers, so the sum may exceed that of one host.
        let placed: u64 = placed_by_host.iter().filter_map(placed_since).map(u64::from).sum();
        (self.placed_by_host, self.sampled_at) = (placed_by_host, now);
        if placed == 0 && self.since.is_none() {
            return;
        }
        self.since.get_or_insert(now - elapsed);
        let elapsed_ms = elapsed.as_secs_f64() * 1_000.0;
        let kept = (-elapsed.as_secs_f64() / LOAD_WINDOW.as_secs_f64()).exp();
        self.sums = Sums {
            ms: self.sums.ms * kept + elapsed_ms,
            placed: self.sums.placed * kept + placed as f64,
            token_ms: self.sums.token_ms * kept + held_tokens * elapsed_ms,
            generation_ms: self.sums.generation_ms * kept + generations * elapsed_ms,
        };
    }

    /// Returns the generations placed per millisecond.
    fn placed_per_ms(&self) -> f64 {
        self.sums.placed / self.sums.ms.max(1.0)
    }

    /// Returns the observed demand of a generation whose duration is estimated as `duration_ms`, if
    /// it was observed for long enough.
    fn observed(&self, now: Instant, duration_ms: f64) -> Observed {
        let observed_ms = self.since.map_or(0.0, |since| now.since(since).as_secs_f64() * 1_000.0);
        if observed_ms < duration_ms * OBSERVED_DURATIONS || self.sums.placed < 1.0 {
            return Observed::default();
        }
        Observed {
            token_ms: self.sums.token_ms / self.sums.placed,
            duration_ms: self.sums.generation_ms / self.sums.placed,
        }
    }

    /// Records whether one of the stages has no engine. Returns whether that has been so for long
    /// enough: a host that has just started lists its engines one after another.
    fn record_stage_empty(&mut self, now: Instant, is_empty: bool) -> bool {
        self.stage_empty_since = is_empty.then(|| self.stage_empty_since.unwrap_or(now));
        self.stage_empty_since.is_some_and(|since| now.since(since) >= OBSERVATION_TIME)
    }

    /// Returns whether the load was observed for long enough.
    fn is_known(&self, now: Instant) -> bool {
        self.since.is_some_and(|since| now.since(since) >= OBSERVATION_TIME)
    }
}

/// A change of the split of a service's engines, with the estimates that it is based on.
#[derive(Clone, Debug, PartialEq)]
pub struct SplitChange {
    /// Engines that change their stage, with their new stage.
    pub engines: Vec<(ServerKey, Stage)>,
    /// Average demand of a request.
    pub demand: Demand,
    /// Observed part of the demand.
    pub observed: Observed,
    /// Engines before the change.
    pub before: Engines,
    /// Number of prefill engines that the plan aims at, and after this change.
    pub split: Split,
}

impl<T> Dispatch<T> {
    /// Returns the change of the split of a service's engines that is due now, if any. Also samples
    /// the load, and so must be called at short intervals.
    ///
    /// Returns none until enough generations have been seen and the load was observed for some
    /// time, and again after each change. Only engines in this host's cell (the part of the fleet
    /// that it uses first) that take new requests are counted and changed. Those with the least
    /// work change first.
    pub fn plan_stage_changes(&mut self, now: Instant, service: &str) -> Option<SplitChange> {
        let generations_by_engine = self.known_generations(now);
        let (prefill, decode) =
            (self.cell_engines(service, Stage::Prefill), self.cell_engines(service, Stage::Decode));
        let merged = self.merged_demand(service);
        let on_decode = decode.iter().filter_map(|key| generations_by_engine.get(key)).flatten();
        let (held_tokens, generations) = on_decode.fold((0.0, 0.0), |(held, count), generation| {
            (held + generation.held_tokens, count + 1.0)
        });
        let slots = decode.iter().map(|key| self.servers[*key].entry.slots).max();
        let placed_by_host = self.generations_placed(service);
        let load = self.loads.entry(service.into()).or_default();
        load.sample(now, placed_by_host, held_tokens, generations);
        let pool = self.pools.get(service)?;
        let is_settled = pool.split_settles_at.is_none_or(|settles_at| settles_at <= now);
        let is_known = merged.seen >= MIN_GENERATIONS && load.is_known(now);
        // A stage without engines serves nothing, whatever the load.
        let is_empty = prefill.is_empty() || decode.is_empty();
        let is_stage_empty = load.record_stage_empty(now, is_empty);
        if !is_settled || is_empty && !is_stage_empty || !is_empty && !is_known {
            return None;
        }
        let estimated = Demand {
            prompt_tokens: merged.prompt_tokens,
            token_ms: merged.held_by_generated / pool.tokens_per_ms(),
            duration_ms: merged.answer_tokens / pool.tokens_per_ms(),
        };
        let observed = load.observed(now, estimated.duration_ms);
        let demand = estimated.corrected_by(&observed);
        let before = Engines {
            prefill: prefill.len(),
            decode: decode.len(),
            prefill_per_ms: pool.prefill_per_ms,
            kv_tokens: pool.kv_tokens as f64,
            slots: f64::from(slots.unwrap_or(u32::MAX)),
            placed_per_ms: load.placed_per_ms(),
        };
        let split = before.split(&demand, &self.settings.plan)?;
        let (from, to, count) = match split.next < before.prefill {
            true => (prefill, Stage::Decode, before.prefill - split.next),
            false => (decode, Stage::Prefill, split.next - before.prefill),
        };
        let mut candidates: Vec<ServerKey> = from;
        candidates.sort_by_key(|key| {
            (generations_by_engine.get(key).map_or(0, Vec::len), self.servers[*key].prefill_tokens)
        });
        let engines = candidates.into_iter().take(count).map(|key| (key, to)).collect();
        Some(SplitChange { engines, demand, observed, before, split })
    }

    /// Returns the engines of a stage in this host's cell that take new requests.
    pub(super) fn cell_engines(&self, service: &str, stage: Stage) -> Vec<ServerKey> {
        let engines = self.servers.iter().filter(|(_, server)| {
            &*server.entry.service == service
                && server.entry.stage == Some(stage)
                && server.in_cell
                && server.is_open()
        });
        engines.map(|(key, _)| key).collect()
    }

    /// Returns the demand of a service, merged over this host and its peers.
    fn merged_demand(&self, service: &str) -> DemandEstimate {
        let own = self.pools.get(service).map(|pool| pool.demand).unwrap_or_default();
        let reported = self.peers.values().filter_map(|peer| peer.demand(service));
        reported.map(DemandEstimate::from_report).fold(own, DemandEstimate::merge)
    }

    /// Returns the generations of a service that each host has placed since it started, as far as
    /// known. The empty name is this host's.
    fn generations_placed(&self, service: &str) -> HashMap<Arc<str>, u32> {
        let own = self.pools.get(service).map(|pool| ("".into(), pool.demand.seen));
        let by_peers = self.peers.iter().map(|(name, peer)| {
            (name.clone(), peer.demand(service).map_or(0, |demand| demand.seen))
        });
        own.into_iter().chain(by_peers).collect()
    }

    /// Records that an engine is changing its stage and is unavailable for `duration`. Delays the
    /// next planned split of its service until the load was observed with that engine available.
    pub fn record_stage_change(&mut self, now: Instant, name: &str, duration: Duration) {
        let Some(&key) = self.keys_by_name.get(name) else { return };
        if let Some(server) = self.servers.get_mut(key) {
            let available_at = now + duration;
            self.prefixes.forget(key);
            server.stage_change_until = server.stage_change_until.max(available_at);
            let settles_at = available_at + OBSERVATION_TIME;
            let pool = self.pools.entry(server.entry.service.clone()).or_default();
            pool.split_settles_at = pool.split_settles_at.max(Some(settles_at));
        }
    }

    /// Returns the demand estimates that this host reports to its peers.
    pub fn demand_reports(&self) -> Vec<DemandReport> {
        let estimated = self.pools.iter().filter(|(_, pool)| pool.demand.seen > 0);
        let reports = estimated.map(|(service, pool)| DemandReport {
            service: service.clone(),
            seen: pool.demand.seen,
            prompt_tokens: pool.demand.prompt_tokens as u32,
            answer_tokens: pool.demand.answer_tokens as u32,
            held_by_generated: pool.demand.held_by_generated as u64,
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

//! Chooses the decode and prefill engines of generations, and tracks the generations of this host
//! on them.
//!
//! A generation is a request's answer in the making. It occupies memory on its decode engine for
//! its prompt and for the tokens generated so far.

use super::{
    Dispatch, GenerationKey, Request, Residency, Server, ServerKey, Stage, prefix, shuffle, stage,
};
use crate::forecast::{self, forecast_peak};
use crate::origin::unlisted_build;
use crate::prefix::Prefix;
use crate::time::Instant;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

/// Assumed time between the events of a stream, in milliseconds, until a generation has been
/// measured.
const DEFAULT_EVENT_INTERVAL_MS: f64 = 50.0;
/// Shortest time over which a generation's decode speed is measured. Events that were delayed on
/// their way arrive together, so the time between two of them says little.
const SPEED_SAMPLE_TIME: Duration = Duration::from_millis(200);
/// Weight of a new sample in the moving average of the decode speed.
const SPEED_SMOOTHING: f64 = 0.25;
/// Lower and upper bound of a measured decode speed, in tokens per millisecond.
const TOKENS_PER_MS_BOUNDS: (f64, f64) = (0.02, 20.0);
/// Weight of a new sample in the moving averages of speeds and answer lengths.
const SMOOTHING: f64 = 0.1;
/// Assumed prefill speed, in prompt tokens per millisecond, until a prefill has been measured.
const DEFAULT_PREFILL_PER_MS: f64 = 50.0;
/// Lower and upper bound of a measured prefill speed, in prompt tokens per millisecond.
const PREFILL_PER_MS_BOUNDS: (f64, f64) = (0.5, 5_000.0);
/// Factor by which prefill is slower on a decode engine, next to its generations.
const COLOCATED_PREFILL_SLOWDOWN: f64 = 2.0;
/// Fraction of the maximum pause between stream events for which a colocated prefill may stall the
/// engine's other generations.
const MAX_PAUSE_FRACTION: f64 = 0.9;
/// Longest prefill of a late request that may take the last idle engine. A prompt that comes meanwhile
/// waits no longer than that, which is about half of an interactive latency target.
const LATE_PREFILL_MAX: Duration = Duration::from_millis(400);
/// Time from the end of prefill to the first token.
const FIRST_TOKEN_AFTER_PREFILL: Duration = Duration::from_millis(60);
/// Estimated extra cost of a transfer between failure domains over one within a domain, in
/// milliseconds.
const CROSS_DOMAIN_TRANSFER_MS: f64 = 25.0;
/// Queue, in milliseconds, up to which a warm prefill engine has room, so that it is preferred to a cold one. It leaves most
/// of the time to the first token.
const COLD_PREFILL_MS: f64 = 150.0;
/// Number of engines with enough memory that one choice compares, from a shuffled list. Hosts
/// decide on slightly stale reports, so if each compared all engines, all would choose the same
/// one.
const CANDIDATES: usize = 3;
/// Number of buckets that an engine's memory is divided into; loads in the same bucket rank as
/// equal.
const LOAD_BUCKETS: f64 = 8.0;

/// Engines chosen for a generation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Placement {
    /// Decode engine.
    pub decode: ServerKey,
    /// Prefill engine, or `None` if the decode engine prefills the prompt or the prompt is already
    /// prefilled.
    pub prefill: Option<ServerKey>,
    /// Key of the generation.
    pub generation: GenerationKey,
    /// Priority of the request at its engines, or `None` if all requests of the service have the
    /// same.
    pub engine_priority: Option<u8>,
    /// Estimates that the placement is based on.
    pub basis: PlacementBasis,
}

/// Estimates that a placement is based on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PlacementBasis {
    /// Generations on the decode engine that this host knew of.
    pub generations: usize,
    /// Forecast peak of the tokens that these generations and the new one hold together.
    pub peak: u64,
    /// Age of the oldest peer report that was counted.
    pub report_age: Duration,
    /// Expected time from placement until the prompt is prefilled.
    pub expected_prefill_time: Duration,
    /// Whether other prompts were queued ahead at the prefill engine.
    pub queued: bool,
    /// Prompt tokens that the prefill engine is expected to hold already.
    pub cached_tokens: u64,
}

/// A prompt in the queue of a prefill engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Prefill {
    /// Engine that prefills.
    pub engine: ServerKey,
    /// Expected time from placement until the prompt is prefilled.
    pub expected_prefill_time: Duration,
    /// Whether other prompts were queued ahead.
    pub queued: bool,
    /// Prompt tokens that the engine is expected to hold already.
    pub cached_tokens: u64,
}

/// Where a prompt is prefilled, relative to the decode engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum PrefillMode {
    /// On a separate prefill engine.
    Disaggregated,
    /// On the decode engine.
    Colocated,
    /// The prompt is already prefilled.
    Done,
}

/// Decode engine and prefill mode chosen for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Assignment {
    pub(super) decode: ServerKey,
    pub(super) prefill_mode: PrefillMode,
    pub(super) basis: PlacementBasis,
}

/// Running estimate of the answer lengths of a pool.
#[derive(Clone, Copy, Debug, Default)]
pub struct LengthEstimate {
    /// Moving average of the natural logarithm of the length in tokens; `None` until an answer has
    /// ended.
    mean_log: Option<f64>,
}

impl LengthEstimate {
    /// Returns the estimated length of an answer in tokens, at most `max_tokens`. If both the
    /// caller's hint and the pool's average are known, this is their geometric mean; with neither,
    /// half of `max_tokens`.
    pub fn estimate(&self, hint: Option<u64>, max_tokens: u64) -> f64 {
        let hint = hint.filter(|&hint| hint > 0).map(|hint| (hint as f64).ln());
        let log = match (self.mean_log, hint) {
            (Some(mean_log), Some(hint)) => f64::midpoint(mean_log, hint),
            (Some(one), None) | (None, Some(one)) => one,
            (None, None) => (max_tokens as f64 / 2.0).max(1.0).ln(),
        };
        log.exp().min(max_tokens.max(1) as f64)
    }

    /// Records the length of an answer that ended by itself.
    pub fn record(&mut self, tokens: u64) {
        let log = (tokens.max(1) as f64).ln();
        self.mean_log = Some(self.mean_log.map_or(log, |old| old + SMOOTHING * (log - old)));
    }
}

/// Running estimate of a decode speed, in tokens per millisecond.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct SpeedEstimate(Option<f64>);

impl SpeedEstimate {
    /// Records `tokens` tokens that a generation produced in `elapsed`. The first sample starts at
    /// `prior` if there is one.
    fn record(&mut self, tokens: f64, elapsed: Duration, prior: Option<f64>) {
        let (lowest, highest) = TOKENS_PER_MS_BOUNDS;
        let sample = (tokens / (elapsed.as_secs_f64() * 1_000.0)).clamp(lowest, highest);
        let previous = self.0.or(prior).unwrap_or(sample);
        self.0 = Some(previous + SPEED_SMOOTHING * (sample - previous));
    }
}

/// State shared by all engines of a service.
#[derive(Clone, Copy, Debug)]
pub(super) struct Pool {
    pub(super) length: LengthEstimate,
    /// Decode speed of a generation, over all engines.
    speed: SpeedEstimate,
    /// Measured prefill speed of an engine, in prompt tokens per millisecond.
    pub(super) prefill_per_ms: f64,
    /// Memory of an engine, in tokens.
    pub(super) kv_tokens: u64,
    /// Maximum number of tokens per stream event.
    tokens_per_event: u32,
    pub(super) demand: stage::DemandEstimate,
    /// When the engines that changed their stage last are available again.
    pub(super) split_settles_at: Option<Instant>,
}

impl Default for Pool {
    fn default() -> Pool {
        Pool {
            length: LengthEstimate::default(),
            speed: SpeedEstimate::default(),
            prefill_per_ms: DEFAULT_PREFILL_PER_MS,
            kv_tokens: 0,
            tokens_per_event: 1,
            demand: stage::DemandEstimate::default(),
            split_settles_at: None,
        }
    }
}

impl Pool {
    /// Returns the decode speed of a generation, in tokens per millisecond.
    pub(super) fn tokens_per_ms(&self) -> f64 {
        self.speed.0.unwrap_or(f64::from(self.tokens_per_event) / DEFAULT_EVENT_INTERVAL_MS)
    }

    /// Returns the time that prefilling `tokens` prompt tokens takes.
    fn prefill_duration(&self, tokens: f64) -> Duration {
        Duration::from_secs_f64(tokens / self.prefill_per_ms / 1_000.0)
    }
}

/// A generation that this host has placed and that has not ended.
#[derive(Clone, Debug)]
pub(super) struct ActiveGeneration {
    pub(super) decode: ServerKey,
    pub(super) prefill: Option<ServerKey>,
    pub(super) prompt_tokens: u64,
    /// Whether the prefill engine was free of other prompts, as far as this host knew, when it got
    /// this one. Only then does the prefill measure the engine's speed.
    prefill_starts_at_once: bool,
    /// Prompt tokens that the prefill engine was expected to hold, and which it doesn't compute again.
    cached_tokens: u64,
    /// When the prefill engine got the prompt.
    prefill_began_at: Instant,
    /// Tokens held and expected, for the forecast of the decode engine's memory.
    pub(super) forecast: forecast::Generation,
    /// When the current measurement of the decode speed began, and the tokens generated by then.
    measured_from: Option<(Instant, f64)>,
    /// Regions whose servers may get the prompt.
    residency: Residency,
}

/// Generations of this host and its peers, by their decode engine.
pub(super) type GenerationsByEngine = BTreeMap<ServerKey, Vec<forecast::Generation>>;

impl Server {
    /// Returns whether the server is an engine of `service` and `stage`.
    fn is_engine(&self, service: &str, stage: Stage) -> bool {
        self.entry.stage == Some(stage) && &*self.entry.service == service
    }

    /// Returns whether the server may get a new request of `service` as an engine of `stage`: it
    /// accepts requests, is not changing its stage, and is not avoided after failures.
    fn can_serve(&self, now: Instant, service: &str, stage: Stage) -> bool {
        let is_usable = self.accepts(now) && self.stage_change_until <= now;
        self.is_engine(service, stage) && is_usable && self.health.may_try(now)
    }
}

impl<T> Dispatch<T> {
    /// Sets the memory of a service's engines in tokens and the maximum number of tokens per stream
    /// event; 0 counts as 1.
    pub fn configure_engines(&mut self, service: &Arc<str>, kv_tokens: u64, tokens_per_event: u32) {
        let pool = self.pools.entry(service.clone()).or_default();
        // Times are estimated by dividing by the decode speed, which must not be 0.
        (pool.kv_tokens, pool.tokens_per_event) = (kv_tokens, tokens_per_event.max(1));
    }

    /// Returns the decode speed of a generation on an engine, in tokens per millisecond: the
    /// measured speed of the engine, or else of its service's engines.
    pub(super) fn tokens_per_ms(&self, server: &Server) -> f64 {
        let pool_speed = || self.pools.get(&server.entry.service).map(Pool::tokens_per_ms);
        server.speed.0.or_else(pool_speed).unwrap_or(Pool::default().tokens_per_ms())
    }

    /// Returns the engines of a stage, and of the builds that are allowed, that may get a new request with a residency: those in
    /// this host's cell, or all engines if no warm one in the cell is usable.
    fn usable_engines(
        &self,
        now: Instant,
        service: &str,
        stage: Stage,
        residency: &Residency,
        allows_build: impl Fn(&str) -> bool,
    ) -> Vec<(ServerKey, &Server)> {
        let serving = |(_, server): &(ServerKey, &Server)| {
            server.can_serve(now, service, stage)
                && allows_build(&server.entry.build)
                && residency.allows(server)
                && self.throttle.has_room(now, &server.entry.name)
        };
        let in_cell = self.servers.iter().filter(|(_, server)| server.in_cell).filter(serving);
        let in_cell: Vec<_> = in_cell.collect();
        let has_warm = in_cell.iter().any(|(_, server)| !server.is_cold(now));
        if has_warm || self.cell.is_whole_fleet() {
            return in_cell;
        }
        self.servers.iter().filter(serving).collect()
    }

    /// Returns the known generations on all engines: this host's own and those reported by peers.
    pub(super) fn known_generations(&self, now: Instant) -> GenerationsByEngine {
        let mut generations_by_engine = GenerationsByEngine::new();
        for generation in self.generations.values() {
            generations_by_engine.entry(generation.decode).or_default().push(generation.forecast);
        }
        for (key, generation) in self.peers.values().flat_map(|peer| peer.generations(now, self)) {
            generations_by_engine.entry(key).or_default().push(generation);
        }
        generations_by_engine
    }

    /// Returns the failure part of an engine's rank, lower is better: whether a peer avoids it,
    /// then whether it failed recently.
    fn failure_rank(&self, now: Instant, server: &Server) -> (bool, bool) {
        (self.is_avoided_by_peer(now, server), self.failed_recently(now, server))
    }

    /// Chooses the decode engine for a request. Returns `None` if the request fits on no engine.
    ///
    /// Engines have room if they have a free slot and the forecast peak of their memory, with the
    /// new generation, is within the limit. Of [`CANDIDATES`] such engines from a shuffled list, warm ones first,
    /// the best is chosen: without failures first, then warm ones, then of a build by which another engine could resume the stream, then
    /// by the bucket of the peak, then in this host's failure domain, then by the peak itself.
    pub(super) fn choose_decode(
        &self,
        now: Instant,
        request: &Request,
        generations_by_engine: &GenerationsByEngine,
        shuffle_seed: u64,
    ) -> Option<(ServerKey, PlacementBasis)> {
        let pool = self.pools.get(&request.service)?;
        let capacity = pool.kv_tokens as f64 * self.settings.memory_fraction;
        let incoming = request.forecast_generation(&pool.length);
        let residency = &request.residency;
        let mut candidates =
            self.usable_engines(now, &request.service, Stage::Decode, residency, |build| {
                self.allows_build(request, build)
            });
        candidates
            .sort_by_key(|(key, server)| (server.is_cold(now), shuffle::rank(*key, shuffle_seed)));
        let engines_by_build = self.engines_by_build(&request.service);
        let fitting = candidates.into_iter().filter_map(|(key, server)| {
            let mut generations = generations_by_engine.get(&key).cloned().unwrap_or_default();
            if generations.len() >= server.entry.slots as usize {
                return None;
            }
            generations.push(incoming);
            let tokens_per_ms = self.tokens_per_ms(server);
            let peak = forecast_peak(&generations, tokens_per_ms, &self.settings.forecast);
            let load_bucket = (peak / capacity * LOAD_BUCKETS) as u32;
            let is_remote = server.entry.failure_domain != self.failure_domain;
            let failure_rank = self.failure_rank(now, server);
            let is_alone =
                engines_by_build.get(&*server.entry.build).is_none_or(|count| *count < 2);
            (peak <= capacity).then_some((
                (failure_rank, server.is_cold(now), is_alone, load_bucket, is_remote, peak as u64),
                key,
                // Without the new generation, which was added for the forecast.
                generations.len() - 1,
            ))
        });
        let ((.., peak), key, generations) = fitting.take(CANDIDATES).min()?;
        Some((
            key,
            PlacementBasis {
                generations,
                peak,
                report_age: self.oldest_report_age(now),
                ..PlacementBasis::default()
            },
        ))
    }

    /// Returns the number of decode engines of each build of a service that take new requests.
    fn engines_by_build(&self, service: &str) -> BTreeMap<&str, usize> {
        let mut counts = BTreeMap::new();
        for server in self.servers.values() {
            if server.is_open() && server.is_engine(service, Stage::Decode) {
                *counts.entry(&*server.entry.build).or_default() += 1;
            }
        }
        counts
    }

    /// Returns whether a decode engine of a build of a service takes new requests.
    pub fn has_build(&self, service: &str, build: &str) -> bool {
        self.engines_by_build(service).contains_key(build)
    }

    /// Sets the builds at which no resumable stream may begin, by service, since not all hosts know them.
    pub fn set_unannounced_builds(&mut self, builds: BTreeMap<Arc<str>, BTreeSet<Arc<str>>>) {
        self.unannounced_builds = builds;
    }

    /// Returns whether engines of a build may generate for a request.
    fn allows_build(&self, request: &Request, build: &str) -> bool {
        match &request.build {
            Some(bound) => **bound == *build,
            None => {
                let unannounced = self.unannounced_builds.get(&request.service);
                !request.resumable || unannounced.is_none_or(|builds| !builds.contains(build))
            }
        }
    }

    /// Returns whether the store lists an engine of a build, so that it is not only known from its process.
    pub fn is_stored_build(&self, build: &str) -> bool {
        let mut engines = self.servers.values().filter(|server| server.entry.stage.is_some());
        engines.any(|Server { entry, .. }| *entry.build == *build && !entry.is_unlisted())
    }

    /// Returns service and build of each listed engine.
    pub fn listed_builds(&self) -> impl Iterator<Item = (Arc<str>, Arc<str>)> {
        let engines = self.servers.values().filter(|server| server.entry.stage.is_some());
        engines.map(|server| (server.entry.service.clone(), server.entry.build.clone()))
    }

    /// Returns the builds of all engines that are listed, with what stood for each until it was listed.
    pub fn builds_while_unlisted(&self) -> impl Iterator<Item = (Arc<str>, Arc<str>)> {
        let engines = self.servers.values().filter(|server| server.entry.stage.is_some());
        engines.filter_map(|server| {
            let unlisted = unlisted_build(&server.entry.name, server.entry.born?);
            Some((unlisted, server.entry.build.clone()))
        })
    }

    /// Chooses the prefill engine that is expected to finish first, excluding those in
    /// `in_progress`, which are already prefilling the prompt. Engines without failures are
    /// preferred. A transfer to a decode engine in another failure domain counts as time, and what an engine is expected
    /// to hold of the prompt with `prefixes` counts as time saved.
    fn choose_prefill(
        &self,
        now: Instant,
        (service, residency): (&str, &Residency),
        decode: ServerKey,
        prefixes: &[Prefix],
        shuffle_seed: u64,
        in_progress: &[ServerKey],
    ) -> Option<ServerKey> {
        let cached = self.expected_cached(now, service, prefixes);
        let per_ms = self.pools.get(service)?.prefill_per_ms;
        let domain = self.servers.get(decode).map(|server| server.entry.failure_domain.clone());
        let candidates = self.usable_engines(now, service, Stage::Prefill, residency, |_| true);
        let candidates = candidates.into_iter();
        let ranked =
            candidates.filter(|(key, _)| !in_progress.contains(key)).map(|(key, server)| {
                let is_remote = Some(&server.entry.failure_domain) != domain.as_ref();
                let transfer_ms = if is_remote { CROSS_DOMAIN_TRANSFER_MS } else { 0.0 };
                let cold_ms = if server.is_cold(now) { COLD_PREFILL_MS } else { 0.0 };
                let failure_rank = self.failure_rank(now, server);
                let saved = cached.get(&key).copied().unwrap_or_default();
                let expected_ms = (self.queued_prefill_tokens(now, server, per_ms) - saved)
                    / per_ms
                    + transfer_ms
                    + cold_ms;
                ((failure_rank, expected_ms as i64, shuffle::rank(key, shuffle_seed)), key)
            });
        ranked.min().map(|(_, key)| key)
    }

    /// Returns the prompt tokens that an engine has been asked to prefill, by this host and its
    /// peers, and has not finished.
    fn queued_prefill_tokens(&self, now: Instant, server: &Server, per_ms: f64) -> f64 {
        let peers = self.peers.values();
        let peers = peers.map(|peer| peer.queued_prefill_tokens(now, &server.entry.name, per_ms));
        server.prefill_tokens as f64 + peers.sum::<f64>()
    }

    /// Returns the expected time from admission to the first token with a separate prefill engine,
    /// or `None` if no prefill engine is usable.
    fn disaggregated_time_to_first_token(
        &self,
        now: Instant,
        request: &Request,
    ) -> Option<Duration> {
        let per_ms = self.pools.get(&request.service)?.prefill_per_ms;
        // Ranks like `choose_prefill`: an engine without failures is preferred, even if a failing
        // one has a shorter queue.
        let cached = self.expected_cached(now, &request.service, &request.prefixes);
        let (service, residency) = (&request.service, &request.residency);
        let engines = self.usable_engines(now, service, Stage::Prefill, residency, |_| true);
        let ranked = engines.into_iter().map(|(key, server)| {
            let saved = cached.get(&key).copied().unwrap_or_default();
            let tokens = self.queued_prefill_tokens(now, server, per_ms) - saved;
            (self.failure_rank(now, server), tokens as i64)
        });
        let (_, tokens_ahead) = ranked.min()?;
        let tokens = (tokens_ahead as f64 + request.prompt_tokens as f64).max(0.0);
        Some(FIRST_TOKEN_AFTER_PREFILL + Duration::from_secs_f64(tokens / per_ms / 1_000.0))
    }

    /// Returns the expected time from admission to the first token if the decode engine also
    /// prefills, which takes [`COLOCATED_PREFILL_SLOWDOWN`] times as long. Returns `None` if that
    /// would stall the engine's other generations for too long.
    fn colocated_time_to_first_token(&self, request: &Request) -> Option<Duration> {
        let pool = self.pools.get(&request.service)?;
        let prefill_ms =
            COLOCATED_PREFILL_SLOWDOWN * request.prompt_tokens as f64 / pool.prefill_per_ms;
        let event_ms = f64::from(pool.tokens_per_event) / pool.tokens_per_ms();
        let max_pause_ms =
            request.max_pause.map_or(f64::INFINITY, |pause| pause.as_secs_f64() * 1_000.0);
        let is_acceptable = prefill_ms + event_ms <= max_pause_ms * MAX_PAUSE_FRACTION;
        is_acceptable
            .then(|| FIRST_TOKEN_AFTER_PREFILL + Duration::from_secs_f64(prefill_ms / 1_000.0))
    }

    /// Chooses where the prompt is prefilled so that the first token comes by `first_token_by`.
    /// Returns `None` if that is not possible.
    ///
    /// A separate prefill engine is preferred. Without any usable prefill engine, the decode engine
    /// prefills, even if that stalls its other generations.
    pub(super) fn prefill_mode(
        &self,
        now: Instant,
        request: &Request,
        first_token_by: Instant,
    ) -> Option<PrefillMode> {
        if request.prefilled {
            return (now + FIRST_TOKEN_AFTER_PREFILL <= first_token_by)
                .then_some(PrefillMode::Done);
        }
        let disaggregated = self.disaggregated_time_to_first_token(now, request);
        if disaggregated.is_some_and(|duration| now + duration <= first_token_by) {
            return Some(PrefillMode::Disaggregated);
        }
        let colocated = self
            .colocated_time_to_first_token(request)
            .or(disaggregated.is_none().then_some(FIRST_TOKEN_AFTER_PREFILL))?;
        (now + colocated <= first_token_by).then_some(PrefillMode::Colocated)
    }

    /// Chooses where the prompt of a late request is prefilled, after `ahead` others that wait at peers.
    /// Returns `None` if only capacity is left that others need who can still be in time, or if the
    /// caller would leave before the first token.
    ///
    /// Only idle prefill engines are used, one for each request in the order of admission, so that many
    /// hosts that see an engine become idle do not all send to it. A prompt that takes long leaves
    /// another engine idle, unless it has waited for half of [`super::Settings::late_wait`].
    pub(super) fn late_prefill_mode(
        &self,
        now: Instant,
        request: &Request,
        ahead: usize,
    ) -> Option<PrefillMode> {
        let leaves_at = request.leaves_at;
        let mode = self.prefill_mode(now, request, leaves_at)?;
        if request.prefilled || request.urgent {
            return Some(mode);
        }
        let pool = self.pools.get(&request.service)?;
        let (service, residency) = (&request.service, &request.residency);
        let engines = self.usable_engines(now, service, Stage::Prefill, residency, |_| true);
        if engines.is_empty() {
            return Some(mode);
        }
        let is_idle = |(_, server): &&(ServerKey, &Server)| {
            !self.failure_rank(now, server).1
                && self.queued_prefill_tokens(now, server, pool.prefill_per_ms) == 0.0
        };
        let idle = engines.iter().filter(is_idle).count();
        let duration = pool.prefill_duration(request.prompt_tokens as f64);
        // Long prompts are not to be starved while short ones keep all engines but one busy.
        let has_waited = now.since(request.arrived) * 2 >= self.settings.late_wait;
        let may_take_last = duration <= LATE_PREFILL_MAX || engines.len() < 2 || has_waited;
        let to_leave = usize::from(!may_take_last);
        let is_in_time = now + duration + FIRST_TOKEN_AFTER_PREFILL <= leaves_at;
        (idle > ahead + to_leave && is_in_time).then_some(PrefillMode::Disaggregated)
    }

    /// Returns the time until the prefill engines of a request's service have prefilled the prompts
    /// queued there and those of `ahead` requests of its size. Returns `None` if it has no such engine.
    pub(super) fn prefill_backlog(
        &self,
        now: Instant,
        request: &Request,
        ahead: usize,
    ) -> Option<Duration> {
        let pool = self.pools.get(&request.service)?;
        let (service, residency) = (&request.service, &request.residency);
        let engines = self.usable_engines(now, service, Stage::Prefill, residency, |_| true);
        let queued = engines
            .iter()
            .map(|(_, server)| self.queued_prefill_tokens(now, server, pool.prefill_per_ms));
        let tokens = queued.sum::<f64>() + ahead as f64 * request.prompt_tokens as f64;
        (!engines.is_empty()).then(|| pool.prefill_duration(tokens / engines.len() as f64))
    }

    /// Returns the shortest expected time from admission to the first token, over the places where
    /// the prompt can be prefilled.
    pub(super) fn min_time_to_first_token(&self, now: Instant, request: &Request) -> Duration {
        let options = [
            self.disaggregated_time_to_first_token(now, request),
            self.colocated_time_to_first_token(request),
        ];
        options
            .into_iter()
            .flatten()
            .min()
            .filter(|_| !request.prefilled)
            .unwrap_or(FIRST_TOKEN_AFTER_PREFILL)
    }

    /// Places an admitted request: chooses a prefill engine if one is needed, counts the request in
    /// flight to its engines, and adds its generation. The generation counts towards the service's
    /// demand, unless the request is urgent.
    pub(super) fn place(
        &mut self,
        now: Instant,
        request: &Request,
        assignment: Assignment,
    ) -> Placement {
        let (shuffle_seed, decode) = (self.shuffle_seeds.next(), assignment.decode);
        let prefill_engine = match assignment.prefill_mode {
            PrefillMode::Disaggregated => {
                let bounds = (&*request.service, &request.residency);
                let prefixes = &request.prefixes;
                self.choose_prefill(now, bounds, decode, prefixes, shuffle_seed, &[])
            }
            PrefillMode::Colocated | PrefillMode::Done => None,
        };
        let pool = self.pools.get(&request.service).copied().unwrap_or_default();
        let planned_prefill = prefill_engine.map(|key| {
            self.estimate_prefill(now, key, &pool, request.prompt_tokens, &request.prefixes)
        });
        let generation = self.generations.insert(ActiveGeneration {
            decode,
            prefill: None,
            prompt_tokens: request.prompt_tokens,
            prefill_starts_at_once: false,
            cached_tokens: 0,
            prefill_began_at: now,
            forecast: request.forecast_generation(&pool.length),
            measured_from: None,
            residency: request.residency.clone(),
        });
        if !request.prefixes.is_empty() {
            let prompt = prefix::Prompt { prefixes: request.prefixes.clone(), placed_at: now };
            self.prompts.insert(generation, prompt);
        }
        self.servers[decode].in_flight += 1;
        self.servers[decode].health.record_request(now);
        self.throttle.take(now, &self.servers[decode].entry.name);
        if let Some(pool) = self.pools.get_mut(&request.service)
            && !request.urgent
        {
            let forecast = self.generations[generation].forecast;
            pool.demand.record(forecast.held_tokens, forecast.expected_tokens);
        }
        let prefill_time = planned_prefill
            .map_or(pool.prefill_duration(request.prompt_tokens as f64), |p| {
                p.expected_prefill_time
            });
        let queued = planned_prefill.is_some_and(|prefill| prefill.queued);
        if let Some(prefill) = planned_prefill {
            self.begin_prefill(now, generation, prefill);
        }
        let prefill = planned_prefill.map(|prefill| prefill.engine);
        let cached_tokens = planned_prefill.map_or(0, |prefill| prefill.cached_tokens);
        let basis = PlacementBasis {
            expected_prefill_time: prefill_time,
            queued,
            cached_tokens,
            ..assignment.basis
        };
        let engine_priority = self.priorities.engine_priority(request);
        Placement { decode, prefill, generation, engine_priority, basis }
    }

    /// Estimates how long it takes from now until an engine has prefilled a prompt, behind the
    /// prompts already queued there.
    fn estimate_prefill(
        &self,
        now: Instant,
        engine: ServerKey,
        pool: &Pool,
        prompt: u64,
        prefixes: &[Prefix],
    ) -> Prefill {
        let server = self.servers.get(engine);
        let tokens_ahead = server
            .map_or(0.0, |server| self.queued_prefill_tokens(now, server, pool.prefill_per_ms));
        // Without what may be cached, since an overdue prefill is sent to another engine.
        let expected_prefill_time = pool.prefill_duration(tokens_ahead + prompt as f64);
        let cached = self.prefixes.expected_tokens(prefixes, pool.kv_tokens, now);
        let cached_tokens = cached.get(&engine).map_or(0, |tokens| (*tokens as u64).min(prompt));
        Prefill { engine, expected_prefill_time, queued: tokens_ahead > 0.0, cached_tokens }
    }

    /// Counts a generation's prompt as queued at a prefill engine.
    fn begin_prefill(&mut self, now: Instant, generation: GenerationKey, prefill: Prefill) {
        let Some(active) = self.generations.get_mut(generation) else { return };
        let Some(server) = self.servers.get_mut(prefill.engine) else { return };
        (active.prefill, active.prefill_starts_at_once) = (Some(prefill.engine), !prefill.queued);
        active.cached_tokens = prefill.cached_tokens;
        active.prefill_began_at = now;
        server.in_flight += 1;
        server.health.record_request(now);
        server.prefill_tokens += active.prompt_tokens;
        self.throttle.take(now, &server.entry.name);
    }

    /// Moves a generation's prompt to a prefill engine that is not in `in_progress`, the engines
    /// already prefilling it. The decode engine stays the same. `prefill_time` is the duration of
    /// the last prefill, as for [`Dispatch::finish_prefill`].
    ///
    /// Returns `None` and changes nothing if no other engine is available.
    pub fn prefill_elsewhere(
        &mut self,
        now: Instant,
        generation: GenerationKey,
        prefill_time: Option<Duration>,
        in_progress: &[ServerKey],
    ) -> Option<Prefill> {
        let active = self.generations.get(generation)?.clone();
        let service = self.servers.get(active.decode)?.entry.service.clone();
        let shuffle_seed = self.shuffle_seeds.next();
        let prompt = self.prompts.get(generation);
        let prefixes = prompt.map(|prompt| prompt.prefixes.clone()).unwrap_or_default();
        let engine = self.choose_prefill(
            now,
            (&service, &active.residency),
            active.decode,
            &prefixes,
            shuffle_seed,
            in_progress,
        )?;
        self.finish_prefill(generation, prefill_time);
        let pool = self.pools.get(&service).copied().unwrap_or_default();
        let prefill = self.estimate_prefill(now, engine, &pool, active.prompt_tokens, &prefixes);
        self.begin_prefill(now, generation, prefill);
        Some(prefill)
    }

    /// Returns whether a prefill engine is available that is not in `in_progress`, the engines
    /// already prefilling the prompt.
    pub fn may_prefill_elsewhere(
        &self,
        now: Instant,
        generation: GenerationKey,
        in_progress: &[ServerKey],
    ) -> bool {
        let Some(active) = self.generations.get(generation) else { return false };
        let Some(server) = self.servers.get(active.decode) else { return false };
        let bounds = (&*server.entry.service, &active.residency);
        self.choose_prefill(now, bounds, active.decode, &[], 0, in_progress).is_some()
    }

    /// Ends the prefill of a generation at its prefill engine. `prefill_time` is the duration of a
    /// successful prefill, from which the prefill speed is measured, or `None` if the prefill was
    /// given up.
    pub fn finish_prefill(&mut self, generation: GenerationKey, prefill_time: Option<Duration>) {
        let Some(active) = self.generations.get_mut(generation) else { return };
        let (prompt, prefill_starts_at_once, prefill) =
            (active.prompt_tokens, active.prefill_starts_at_once, active.prefill.take());
        let computed = prompt - std::mem::take(&mut active.cached_tokens);
        let began_at = active.prefill_began_at;
        if let (Some(key), Some(_)) = (prefill, prefill_time) {
            self.record_prefix(key, generation);
        }
        let Some(server) = prefill.and_then(|key| self.servers.get_mut(key)) else { return };
        server.in_flight -= 1;
        server.prefill_tokens -= prompt;
        // A cold engine's speed says nothing about the others.
        let was_cold = server.is_cold(began_at);
        let service = server.entry.service.clone();
        // A prompt that was queued behind others says nothing about the engine's speed.
        if let (true, Some(prefill_time), Some(pool)) =
            (prefill_starts_at_once && !was_cold, prefill_time, self.pools.get_mut(&service))
        {
            let (lowest, highest) = PREFILL_PER_MS_BOUNDS;
            let observed_per_ms = computed as f64 / (prefill_time.as_secs_f64() * 1_000.0).max(1.0);
            pool.prefill_per_ms +=
                SMOOTHING * (observed_per_ms.clamp(lowest, highest) - pool.prefill_per_ms);
        }
    }

    /// Records that a generation has produced `tokens` tokens in total, and measures the decode speed
    /// of its engine and of the service's engines.
    pub fn record_tokens(&mut self, now: Instant, generation: GenerationKey, tokens: u64) {
        let Some(active) = self.generations.get_mut(generation) else { return };
        let generated = tokens as f64;
        active.forecast = active.forecast.grown_by(generated - active.forecast.generated_tokens);
        let (measured_from, tokens_before) = *active.measured_from.get_or_insert((now, generated));
        let elapsed = now.since(measured_from);
        if elapsed < SPEED_SAMPLE_TIME {
            return;
        }
        active.measured_from = Some((now, generated));
        let Some(server) = self.servers.get_mut(active.decode) else { return };
        if server.is_cold(measured_from) {
            return;
        }
        let pool = self.pools.entry(server.entry.service.clone()).or_default();
        server.speed.record(generated - tokens_before, elapsed, pool.speed.0);
        pool.speed.record(generated - tokens_before, elapsed, None);
    }

    /// Removes a generation that has ended. `complete` says whether its answer was produced in
    /// full, and so counts towards the estimated length of answers.
    pub fn finish_generation(&mut self, generation: GenerationKey, complete: bool) {
        self.finish_prefill(generation, None);
        self.prompts.remove(generation);
        let Some(active) = self.generations.remove(generation) else { return };
        let Some(server) = self.servers.get_mut(active.decode) else { return };
        server.in_flight -= 1;
        let service = server.entry.service.clone();
        if complete && let Some(pool) = self.pools.get_mut(&service) {
            pool.length.record(active.forecast.generated_tokens as u64);
        }
    }

    /// Estimates the time until `count` generations of a request's service have ended at engines that
    /// the request may use, from their median remaining lengths. If fewer are known, extrapolates from the last one's end. Returns `None`
    /// if none is known there.
    pub(super) fn time_until_completions(
        &self,
        now: Instant,
        request: &Request,
        count: usize,
    ) -> Option<Duration> {
        let shape = self.settings.forecast.shape;
        let mut completions_ms: Vec<f64> = Vec::new();
        for (key, generations) in self.known_generations(now) {
            let Some(server) = self.servers.get(key) else { continue };
            // An engine whose failure domain is evacuated takes no request in place of one that has ended.
            let is_of_service = server.entry.service == request.service;
            if is_of_service && !server.evacuated && request.residency.allows(server) {
                let tokens_per_ms = self.tokens_per_ms(server);
                completions_ms.extend(
                    generations
                        .iter()
                        .map(|generation| generation.remaining(shape) / tokens_per_ms),
                );
            }
        }
        completions_ms.sort_by(f64::total_cmp);
        let last_ms = *completions_ms.last()?;
        let millis = match completions_ms.get(count.saturating_sub(1)) {
            Some(end_ms) => *end_ms,
            None => last_ms * count as f64 / completions_ms.len() as f64,
        };
        Some(Duration::from_secs_f64(millis / 1_000.0))
    }
}

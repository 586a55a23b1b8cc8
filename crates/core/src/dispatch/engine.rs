//! Engines: what runs on them, and which one a generation goes to.

use super::{Dispatch, GenerationKey, Request, Server, ServerKey, Stage, stage};
use crate::forecast::{self, peak};
use crate::time::Instant;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// Tokens that a generation makes in a millisecond before any was seen.
pub(super) const DEFAULT_TOKENS_PER_MS: f64 = 1.0;
/// Bounds of what is taken for a generation's speed, in tokens a millisecond.
const TOKENS_PER_MS_BOUNDS: (f64, f64) = (0.02, 20.0);
/// Weight of a new speed or length.
const SMOOTHING: f64 = 0.1;
/// Prompt tokens that an engine prefills in a millisecond before any was seen.
const DEFAULT_PREFILL_PER_MS: f64 = 50.0;
/// Bounds of what is taken for the speed of a prefill, in tokens a millisecond.
const PREFILL_PER_MS_BOUNDS: (f64, f64) = (0.5, 5_000.0);
/// How much slower an engine that generates prefills.
const COLOCATED_PREFILL_SLOWDOWN: f64 = 2.0;
/// Part of the longest pause between events that a prefill may take from others' generations.
const MAX_PAUSE_FRACTION: f64 = 0.9;
/// Time from a prefilled prompt to the first token.
const FIRST_TOKEN_AFTER_PREFILL: Duration = Duration::from_millis(60);
/// Time that a transfer between failure domains is taken to cost beside one within, in milliseconds.
const CROSS_DOMAIN_TRANSFER_MS: f64 = 25.0;
/// Engines with room that one choice looks at: hosts choose on news that are a little old, and would
/// all choose the same one if each took the best of all.
const CANDIDATES: usize = 3;
/// Parts of an engine's memory by which loads count as equal.
const LOAD_BUCKETS: f64 = 8.0;

/// Where a generation goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Placement {
    /// The engine that generates.
    pub decode: ServerKey,
    /// The engine that prefills; where there is none, the one that generates does.
    pub prefill: Option<ServerKey>,
    /// The generation.
    pub generation: GenerationKey,
    /// What the choice went by.
    pub basis: Basis,
}

/// What the choice of an engine went by.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Basis {
    /// Generations that this host knew of there.
    pub generations: usize,
    /// Tokens that they and the new one are forecast to hold together at most.
    pub peak: u64,
    /// Age of the oldest news of a peer that counted.
    pub report_age: Duration,
    /// When the prompt is expected to be prefilled, from the placement on.
    pub prefilled_in: Duration,
    /// Other prompts were known to wait before it.
    pub queued: bool,
}

/// A prompt's place at an engine that prefills it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Prefill {
    /// The engine.
    pub engine: ServerKey,
    /// When the prompt is expected to be prefilled, from the placement on.
    pub done_in: Duration,
    /// Other prompts were known to wait before it.
    pub queued: bool,
}

/// How a prompt comes into the memory of the engine that generates.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum PrefillMode {
    /// Another engine prefills it.
    Disaggregated,
    /// The engine that generates prefills it.
    Colocated,
    /// It is prefilled already.
    Done,
}

/// Where a request goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Assignment {
    pub(super) decode: ServerKey,
    pub(super) prefill_mode: PrefillMode,
    pub(super) basis: Basis,
}

/// What is known of the lengths of a pool's answers.
#[derive(Clone, Copy, Debug, Default)]
pub struct LengthEstimate {
    /// Logarithm of the length in tokens, smoothed; absent before an answer has ended.
    mean_log: Option<f64>,
}

impl LengthEstimate {
    /// Estimate of an answer's length, from what its caller expects.
    pub fn estimate(&self, hint: Option<u64>, most: u64) -> f64 {
        let hint = hint.filter(|&hint| hint > 0).map(|hint| (hint as f64).ln());
        let log = match (self.mean_log, hint) {
            (Some(mean_log), Some(hint)) => f64::midpoint(mean_log, hint),
            (Some(one), None) | (None, Some(one)) => one,
            (None, None) => (most as f64 / 2.0).max(1.0).ln(),
        };
        log.exp().min(most.max(1) as f64)
    }

    /// Notes an answer that ended by itself.
    pub fn record(&mut self, tokens: u64) {
        let log = (tokens.max(1) as f64).ln();
        self.mean_log = Some(self.mean_log.map_or(log, |old| old + SMOOTHING * (log - old)));
    }
}

/// What is known of a service's engines as a whole.
#[derive(Clone, Copy, Debug)]
pub(super) struct Pool {
    pub(super) length: LengthEstimate,
    pub(super) prefill_per_ms: f64,
    pub(super) kv_tokens: u64,
    tokens_per_event: u32,
    pub(super) demand: stage::DemandEstimate,
    /// When the split of its engines was last changed.
    pub(super) split_changed_at: Option<Instant>,
}

impl Default for Pool {
    fn default() -> Pool {
        Pool {
            length: LengthEstimate::default(),
            prefill_per_ms: DEFAULT_PREFILL_PER_MS,
            kv_tokens: 0,
            tokens_per_event: 1,
            demand: stage::DemandEstimate::default(),
            split_changed_at: None,
        }
    }
}

impl Pool {
    /// How long so many prompt tokens take.
    fn prefill_duration(&self, tokens: f64) -> Duration {
        Duration::from_secs_f64(tokens / self.prefill_per_ms / 1_000.0)
    }
}

/// A generation of this host.
#[derive(Clone, Copy, Debug)]
pub(super) struct ActiveGeneration {
    pub(super) decode: ServerKey,
    pub(super) prefill: Option<ServerKey>,
    pub(super) prompt_tokens: u64,
    /// Nothing that this host knows of was before it at the engine that prefills.
    prefill_unqueued: bool,
    pub(super) memory: forecast::Generation,
    /// When the last tokens came.
    last_tokens_at: Option<Instant>,
}

/// Where a server stands in an order that a draw puts all servers in.
pub(super) fn shuffle_rank(key: ServerKey, draw: u64) -> u64 {
    /// An odd constant with its bits mixed well.
    const MIX: u64 = 0xff51_afd7_ed55_8ccd;
    let mixed = (slotmap::Key::data(&key).as_ffi() ^ draw).wrapping_mul(MIX);
    (mixed ^ (mixed >> 32)).wrapping_mul(MIX)
}

/// Runs on every engine, its own and the peers', by engine.
pub(super) type Loads = BTreeMap<ServerKey, Vec<forecast::Generation>>;

impl Server {
    /// Whether a new request of a service may be given to it as an engine of a stage.
    fn can_serve(&self, now: Instant, service: &str, stage: Stage) -> bool {
        let matches = self.entry.stage == Some(stage) && &*self.entry.service == service;
        let usable = self.is_open() && self.changing_until <= now;
        matches && usable && self.health.may_try(now)
    }
}

impl<T> Dispatch<T> {
    /// Sets the memory of a service's engines, in tokens, and how many an event holds at most.
    pub fn configure_engines(&mut self, service: &Arc<str>, kv_tokens: u64, tokens_per_event: u32) {
        let pool = self.pools.entry(service.clone()).or_default();
        (pool.kv_tokens, pool.tokens_per_event) = (kv_tokens, tokens_per_event);
    }

    /// Engines of a stage that may be given a new request: those of this host's cell, or all where its
    /// cell has none.
    fn usable_engines(
        &self,
        now: Instant,
        service: &str,
        stage: Stage,
    ) -> Vec<(ServerKey, &Server)> {
        let serving = |(_, server): &(ServerKey, &Server)| server.can_serve(now, service, stage);
        let own = self.servers.iter().filter(|(_, server)| server.in_cell).filter(serving);
        let own: Vec<_> = own.collect();
        if !own.is_empty() || self.cell.is_whole() {
            return own;
        }
        self.servers.iter().filter(serving).collect()
    }

    /// What runs on the engines now, as far as this host knows.
    pub(super) fn loads(&self, now: Instant) -> Loads {
        let mut loads = Loads::new();
        for run in self.generations.values() {
            loads.entry(run.decode).or_default().push(run.memory);
        }
        for (key, run) in self.peers.values().flat_map(|peer| peer.generations(now, self)) {
            loads.entry(key).or_default().push(run);
        }
        loads
    }

    /// How much speaks against an engine, beside its load.
    fn failure_rank(&self, now: Instant, server: &Server) -> (bool, bool) {
        (self.is_avoided_by_peer(now, server), self.failed_recently(now, server))
    }

    /// The engine that would generate for a request, and what that goes by.
    pub(super) fn choose_decode(
        &self,
        now: Instant,
        request: &Request,
        loads: &Loads,
        draw: u64,
    ) -> Option<(ServerKey, Basis)> {
        let pool = self.pools.get(&request.service)?;
        let capacity = pool.kv_tokens as f64 * self.settings.memory_fraction;
        let incoming = request.memory(&pool.length);
        let mut candidates = self.usable_engines(now, &request.service, Stage::Decode);
        candidates.sort_by_key(|(key, _)| shuffle_rank(*key, draw));
        let fitting = candidates.into_iter().filter_map(|(key, server)| {
            let mut generations = loads.get(&key).cloned().unwrap_or_default();
            if generations.len() >= server.entry.slots as usize {
                return None;
            }
            generations.push(incoming);
            let peak = peak(&generations, server.tokens_per_ms, &self.settings.forecast);
            let load_bucket = (peak / capacity * LOAD_BUCKETS) as u32;
            let remote = server.entry.failure_domain != self.failure_domain;
            let failure_rank = self.failure_rank(now, server);
            (peak <= capacity).then_some((
                (failure_rank, load_bucket, remote, peak as u64),
                key,
                generations.len() - 1,
            ))
        });
        let ((.., peak), key, generations) = fitting.take(CANDIDATES).min()?;
        Some((
            key,
            Basis {
                generations,
                peak,
                report_age: self.oldest_report_age(now),
                ..Basis::default()
            },
        ))
    }

    /// The engine that prefills a prompt, but for those that have it under way: the one that will be done
    /// first, where a transfer between failure domains counts as time.
    fn choose_prefill(
        &self,
        now: Instant,
        service: &str,
        decode: ServerKey,
        draw: u64,
        in_progress: &[ServerKey],
    ) -> Option<ServerKey> {
        let per_ms = self.pools.get(service)?.prefill_per_ms;
        let domain = self.servers.get(decode).map(|server| server.entry.failure_domain.clone());
        let candidates = self.usable_engines(now, service, Stage::Prefill).into_iter();
        let ranked =
            candidates.filter(|(key, _)| !in_progress.contains(key)).map(|(key, server)| {
                let remote = Some(&server.entry.failure_domain) != domain.as_ref();
                let transfer = if remote { CROSS_DOMAIN_TRANSFER_MS } else { 0.0 };
                let failure_rank = self.failure_rank(now, server);
                let millis = self.queued_prefill_tokens(now, server, per_ms) / per_ms + transfer;
                ((failure_rank, millis as u64, shuffle_rank(key, draw)), key)
            });
        ranked.min().map(|(_, key)| key)
    }

    /// Prompt tokens that wait at an engine, of this host and its peers.
    fn queued_prefill_tokens(&self, now: Instant, server: &Server, per_ms: f64) -> f64 {
        let peers = self.peers.values();
        let peers = peers.map(|peer| peer.queued_prefill_tokens(now, &server.entry.name, per_ms));
        server.prefill_tokens as f64 + peers.sum::<f64>()
    }

    /// How long a request takes from its turn to its first token where its prompt is prefilled
    /// apart; nothing where no engine prefills.
    fn disaggregated_time_to_first_token(
        &self,
        now: Instant,
        request: &Request,
    ) -> Option<Duration> {
        let per_ms = self.pools.get(&request.service)?.prefill_per_ms;
        // As it is chosen: one that nothing speaks against, though others may have less before them.
        let engines = self.usable_engines(now, &request.service, Stage::Prefill).into_iter();
        let ranked = engines.map(|(_, server)| {
            (self.failure_rank(now, server), self.queued_prefill_tokens(now, server, per_ms) as u64)
        });
        let (_, ahead) = ranked.min()?;
        let tokens = (ahead + request.prompt_tokens) as f64;
        Some(FIRST_TOKEN_AFTER_PREFILL + Duration::from_secs_f64(tokens / per_ms / 1_000.0))
    }

    /// How long it takes where the engine that generates prefills as well, at half the speed;
    /// nothing where that would hold the other generations there up for too long.
    fn colocated_time_to_first_token(&self, request: &Request) -> Option<Duration> {
        let pool = self.pools.get(&request.service)?;
        let millis =
            COLOCATED_PREFILL_SLOWDOWN * request.prompt_tokens as f64 / pool.prefill_per_ms;
        let event = f64::from(pool.tokens_per_event) / DEFAULT_TOKENS_PER_MS;
        let pause = request.max_pause.map_or(f64::INFINITY, |pause| pause.as_secs_f64() * 1_000.0);
        let acceptable = millis + event <= pause * MAX_PAUSE_FRACTION;
        acceptable.then(|| FIRST_TOKEN_AFTER_PREFILL + Duration::from_secs_f64(millis / 1_000.0))
    }

    /// How a request's prompt is prefilled so that its first token comes by a time, where that can
    /// be.
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
        if disaggregated.is_some_and(|takes| now + takes <= first_token_by) {
            return Some(PrefillMode::Disaggregated);
        }
        let colocated = self
            .colocated_time_to_first_token(request)
            .or(disaggregated.is_none().then_some(FIRST_TOKEN_AFTER_PREFILL))?;
        (now + colocated <= first_token_by).then_some(PrefillMode::Colocated)
    }

    /// The shortest time that a request takes from its turn to its first token.
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

    /// Takes places for a request.
    pub(super) fn place(
        &mut self,
        now: Instant,
        request: &Request,
        assignment: Assignment,
    ) -> Placement {
        let (draw, decode) = (self.draw(), assignment.decode);
        let prefill = match assignment.prefill_mode {
            PrefillMode::Disaggregated => {
                self.choose_prefill(now, &request.service, decode, draw, &[])
            }
            PrefillMode::Colocated | PrefillMode::Done => None,
        };
        let pool = self.pools.get(&request.service).copied().unwrap_or_default();
        let prefill =
            prefill.map(|key| self.estimate_prefill(now, key, &pool, request.prompt_tokens));
        let generation = self.generations.insert(ActiveGeneration {
            decode,
            prefill: None,
            prompt_tokens: request.prompt_tokens,
            prefill_unqueued: false,
            memory: request.memory(&pool.length),
            last_tokens_at: None,
        });
        self.servers[decode].in_flight += 1;
        self.servers[decode].health.record_trial(now);
        if let Some(pool) = self.pools.get_mut(&request.service)
            && !request.urgent
        {
            let memory = self.generations[generation].memory;
            pool.demand.record(memory.context, memory.expected, self.servers[decode].tokens_per_ms);
        }
        let done_in =
            prefill.map_or(pool.prefill_duration(request.prompt_tokens as f64), |p| p.done_in);
        let queued = prefill.is_some_and(|prefill| prefill.queued);
        if let Some(prefill) = prefill {
            self.begin_prefill(now, generation, prefill);
        }
        let prefill = prefill.map(|prefill| prefill.engine);
        let basis = Basis { prefilled_in: done_in, queued, ..assignment.basis };
        Placement { decode, prefill, generation, basis }
    }

    /// What a prefill at an engine can be expected to be.
    fn estimate_prefill(
        &self,
        now: Instant,
        engine: ServerKey,
        pool: &Pool,
        prompt: u64,
    ) -> Prefill {
        let server = self.servers.get(engine);
        let ahead = server
            .map_or(0.0, |server| self.queued_prefill_tokens(now, server, pool.prefill_per_ms));
        let done_in = pool.prefill_duration(ahead + prompt as f64);
        Prefill { engine, done_in, queued: ahead > 0.0 }
    }

    /// Takes a place for a generation's prompt at an engine.
    fn begin_prefill(&mut self, now: Instant, generation: GenerationKey, prefill: Prefill) {
        let Some(active) = self.generations.get_mut(generation) else { return };
        let Some(server) = self.servers.get_mut(prefill.engine) else { return };
        (active.prefill, active.prefill_unqueued) = (Some(prefill.engine), !prefill.queued);
        server.in_flight += 1;
        server.health.record_trial(now);
        server.prefill_tokens += active.prompt_tokens;
    }

    /// Has a generation's prompt prefilled at another engine than those that have it under way; the place
    /// where it is generated stays. `took` says how long the last one has taken, as for
    /// [`Dispatch::finish_prefill`]. Where there is no other engine nothing changes.
    pub fn prefill_elsewhere(
        &mut self,
        now: Instant,
        generation: GenerationKey,
        took: Option<Duration>,
        in_progress: &[ServerKey],
    ) -> Option<Prefill> {
        let active = *self.generations.get(generation)?;
        let service = self.servers.get(active.decode)?.entry.service.clone();
        let draw = self.draw();
        let engine = self.choose_prefill(now, &service, active.decode, draw, in_progress)?;
        self.finish_prefill(generation, took);
        let pool = self.pools.get(&service).copied().unwrap_or_default();
        let prefill = self.estimate_prefill(now, engine, &pool, active.prompt_tokens);
        self.begin_prefill(now, generation, prefill);
        Some(prefill)
    }

    /// Whether a generation's prompt may be prefilled at another engine than those that have it under way.
    pub fn may_prefill_elsewhere(
        &self,
        now: Instant,
        generation: GenerationKey,
        in_progress: &[ServerKey],
    ) -> bool {
        let Some(decode) = self.generations.get(generation).map(|active| active.decode) else {
            return false;
        };
        let Some(server) = self.servers.get(decode) else { return false };
        self.choose_prefill(now, &server.entry.service, decode, 0, in_progress).is_some()
    }

    /// Notes that a generation's prompt was prefilled, or that its prefill is given up.
    pub fn finish_prefill(&mut self, generation: GenerationKey, took: Option<Duration>) {
        let Some(active) = self.generations.get_mut(generation) else { return };
        let (prompt, prefill_unqueued, prefill) =
            (active.prompt_tokens, active.prefill_unqueued, active.prefill.take());
        let Some(server) = prefill.and_then(|key| self.servers.get_mut(key)) else { return };
        server.in_flight -= 1;
        server.prefill_tokens -= prompt;
        let service = server.entry.service.clone();
        // What waits behind others says nothing of the engine's speed.
        if let (true, Some(took), Some(pool)) =
            (prefill_unqueued, took, self.pools.get_mut(&service))
        {
            let (least, most) = PREFILL_PER_MS_BOUNDS;
            let observed = prompt as f64 / (took.as_secs_f64() * 1_000.0).max(1.0);
            pool.prefill_per_ms += SMOOTHING * (observed.clamp(least, most) - pool.prefill_per_ms);
        }
    }

    /// Notes that a generation has made so many tokens in all.
    pub fn record_tokens(&mut self, now: Instant, generation: GenerationKey, tokens: u64) {
        let Some(active) = self.generations.get_mut(generation) else { return };
        let more = tokens as f64 - active.memory.generated;
        active.memory = active.memory.grown_by(more);
        let before = active.last_tokens_at.replace(now);
        let Some(server) = self.servers.get_mut(active.decode) else { return };
        if let Some(before) = before {
            let (least, most) = TOKENS_PER_MS_BOUNDS;
            let observed = more / (now.since(before).as_secs_f64() * 1_000.0).max(0.1);
            server.tokens_per_ms +=
                SMOOTHING * (observed.clamp(least, most) - server.tokens_per_ms);
        }
    }

    /// Notes that a generation has ended; `whole` says that its answer came to its end.
    pub fn finish_generation(&mut self, generation: GenerationKey, complete: bool) {
        self.finish_prefill(generation, None);
        let Some(active) = self.generations.remove(generation) else { return };
        let Some(server) = self.servers.get_mut(active.decode) else { return };
        server.in_flight -= 1;
        let service = server.entry.service.clone();
        if complete && let Some(pool) = self.pools.get_mut(&service) {
            pool.length.record(active.memory.generated as u64);
        }
    }

    /// When the engines of a service will have ended so many of their generations, from now.
    pub(super) fn time_until_completions(
        &self,
        now: Instant,
        service: &str,
        count: usize,
    ) -> Option<Duration> {
        let shape = self.settings.forecast.shape;
        let mut completions_ms: Vec<f64> = Vec::new();
        for (key, generations) in self.loads(now) {
            let Some(server) = self.servers.get(key) else { continue };
            if &*server.entry.service == service {
                completions_ms.extend(
                    generations.iter().map(|run| run.remaining(shape) / server.tokens_per_ms),
                );
            }
        }
        completions_ms.sort_by(f64::total_cmp);
        let last = *completions_ms.last()?;
        let millis = match completions_ms.get(count.saturating_sub(1)) {
            Some(end) => *end,
            None => last * count as f64 / completions_ms.len() as f64,
        };
        Some(Duration::from_secs_f64(millis / 1_000.0))
    }
}

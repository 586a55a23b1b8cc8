//! Engines: what runs on them, and which one a generation goes to.

use super::{Ask, Dispatch, Key, Run, Server, Stage, stage};
use crate::forecast::{self, peak};
use crate::time::Instant;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// Tokens that a generation makes in a millisecond before any was seen.
pub(super) const TOKENS_PER_MS: f64 = 1.0;
/// Bounds of what is taken for a generation's speed, in tokens a millisecond.
const TOKENS_PER_MS_BOUNDS: (f64, f64) = (0.02, 20.0);
/// Weight of a new speed or length.
const SMOOTHING: f64 = 0.1;
/// Prompt tokens that an engine prefills in a millisecond before any was seen.
const PREFILL_PER_MS: f64 = 50.0;
/// Bounds of what is taken for the speed of a prefill, in tokens a millisecond.
const PREFILL_PER_MS_BOUNDS: (f64, f64) = (0.5, 5_000.0);
/// How much slower an engine that generates prefills.
const WHOLE_SLOWER: f64 = 2.0;
/// Part of the longest pause between events that a prefill may take from others' generations.
const PAUSE_PART: f64 = 0.9;
/// Time from a prefilled prompt to the first token.
const GENERATE: Duration = Duration::from_millis(60);
/// Time that a transfer between failure domains is taken to cost beside one within, in milliseconds.
const TRANSFER_MS: f64 = 25.0;
/// Engines with room that one choice looks at: hosts choose on news that are a little old, and would
/// all choose the same one if each took the best of all.
const CANDIDATES: usize = 3;
/// Parts of an engine's memory by which loads count as equal.
const EQUAL_PARTS: f64 = 8.0;

/// Where a generation goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Placement {
    /// The engine that generates.
    pub decode: Key,
    /// The engine that prefills; where there is none, the one that generates does.
    pub prefill: Option<Key>,
    /// The generation.
    pub run: Run,
    /// What the choice went by.
    pub basis: Basis,
}

/// What the choice of an engine went by.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Basis {
    /// Generations that this host knew of there.
    pub runs: usize,
    /// Tokens that they and the new one are forecast to hold together at most.
    pub peak: u64,
    /// Age of the oldest news of a peer that counted.
    pub news_age: Duration,
    /// When the prompt is expected to be prefilled, from the placement on.
    pub prefilled_in: Duration,
    /// Other prompts were known to wait before it.
    pub queued: bool,
}

/// A prompt's place at an engine that prefills it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Prefill {
    /// The engine.
    pub engine: Key,
    /// When the prompt is expected to be prefilled, from the placement on.
    pub done_in: Duration,
    /// Other prompts were known to wait before it.
    pub queued: bool,
}

/// How a prompt comes into the memory of the engine that generates.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Path {
    /// Another engine prefills it.
    Apart,
    /// The engine that generates prefills it.
    Whole,
    /// It is prefilled already.
    Kept,
}

/// Where a request goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Way {
    pub(super) decode: Key,
    pub(super) path: Path,
    pub(super) basis: Basis,
}

/// What is known of the lengths of a pool's answers.
#[derive(Clone, Copy, Debug, Default)]
pub struct Length {
    /// Logarithm of the length in tokens, smoothed; absent before an answer has ended.
    typical: Option<f64>,
}

impl Length {
    /// Estimate of an answer's length, from what its caller expects.
    pub fn estimate(&self, hint: Option<u64>, most: u64) -> f64 {
        let hint = hint.filter(|&hint| hint > 0).map(|hint| (hint as f64).ln());
        let log = match (self.typical, hint) {
            (Some(typical), Some(hint)) => f64::midpoint(typical, hint),
            (Some(one), None) | (None, Some(one)) => one,
            (None, None) => (most as f64 / 2.0).max(1.0).ln(),
        };
        log.exp().min(most.max(1) as f64)
    }

    /// Notes an answer that ended by itself.
    pub fn note(&mut self, tokens: u64) {
        let log = (tokens.max(1) as f64).ln();
        self.typical = Some(self.typical.map_or(log, |old| old + SMOOTHING * (log - old)));
    }
}

/// What is known of a service's engines as a whole.
#[derive(Clone, Copy, Debug)]
pub(super) struct Pool {
    pub(super) length: Length,
    pub(super) prefill_per_ms: f64,
    pub(super) kv_tokens: u64,
    tokens_per_event: u32,
    pub(super) known: stage::Known,
    /// When the split of its engines was last changed.
    pub(super) changed_at: Option<Instant>,
}

impl Default for Pool {
    fn default() -> Pool {
        Pool {
            length: Length::default(),
            prefill_per_ms: PREFILL_PER_MS,
            kv_tokens: 0,
            tokens_per_event: 1,
            known: stage::Known::default(),
            changed_at: None,
        }
    }
}

impl Pool {
    /// How long so many prompt tokens take.
    fn prefills_in(&self, tokens: f64) -> Duration {
        Duration::from_secs_f64(tokens / self.prefill_per_ms / 1_000.0)
    }
}

/// A generation of this host.
#[derive(Clone, Copy, Debug)]
pub(super) struct Running {
    pub(super) decode: Key,
    pub(super) prefill: Option<Key>,
    pub(super) prompt: u64,
    /// Nothing that this host knows of was before it at the engine that prefills.
    alone: bool,
    pub(super) memory: forecast::Run,
    /// When the last tokens came.
    at: Option<Instant>,
}

/// Where a server stands in an order that a draw puts all servers in.
pub(super) fn spread(key: Key, draw: u64) -> u64 {
    /// An odd constant with its bits mixed well.
    const MIX: u64 = 0xff51_afd7_ed55_8ccd;
    let mixed = (slotmap::Key::data(&key).as_ffi() ^ draw).wrapping_mul(MIX);
    (mixed ^ (mixed >> 32)).wrapping_mul(MIX)
}

/// Runs on every engine, its own and the peers', by engine.
pub(super) type Loads = BTreeMap<Key, Vec<forecast::Run>>;

impl Server {
    /// Whether a new request of a service may be given to it as an engine of a stage.
    fn serves(&self, now: Instant, service: &str, stage: Stage) -> bool {
        let suits = self.entry.stage == Some(stage) && &*self.entry.service == service;
        let usable = self.is_open() && self.changing_until <= now;
        suits && usable && self.health.may_try(now)
    }
}

impl<T> Dispatch<T> {
    /// Sets the memory of a service's engines, in tokens, and how many an event holds at most.
    pub fn set_engines(&mut self, service: &Arc<str>, kv_tokens: u64, tokens_per_event: u32) {
        let pool = self.pools.entry(service.clone()).or_default();
        (pool.kv_tokens, pool.tokens_per_event) = (kv_tokens, tokens_per_event);
    }

    /// Engines of a stage that may be given a new request: those of this host's cell, or all where its
    /// cell has none.
    fn usable(&self, now: Instant, service: &str, stage: Stage) -> Vec<(Key, &Server)> {
        let serving = |(_, server): &(Key, &Server)| server.serves(now, service, stage);
        let own = self.servers.iter().filter(|(_, server)| server.own).filter(serving);
        let own: Vec<_> = own.collect();
        if !own.is_empty() || self.cell.is_whole_fleet() {
            return own;
        }
        self.servers.iter().filter(serving).collect()
    }

    /// What runs on the engines now, as far as this host knows.
    pub(super) fn loads(&self, now: Instant) -> Loads {
        let mut loads = Loads::new();
        for run in self.runs.values() {
            loads.entry(run.decode).or_default().push(run.memory);
        }
        for (key, run) in self.peers.values().flat_map(|peer| peer.runs(now, self)) {
            loads.entry(key).or_default().push(run);
        }
        loads
    }

    /// How much speaks against an engine, beside its load.
    fn doubts(&self, now: Instant, server: &Server) -> (bool, bool) {
        (self.is_suspected(now, server), self.is_doubtful(now, server))
    }

    /// The engine that would generate for a request, and what that goes by.
    pub(super) fn decode_for(
        &self,
        now: Instant,
        ask: &Ask,
        loads: &Loads,
        draw: u64,
    ) -> Option<(Key, Basis)> {
        let pool = self.pools.get(&ask.service)?;
        let room = pool.kv_tokens as f64 * self.settings.memory;
        let fresh = ask.memory(&pool.length);
        let mut candidates = self.usable(now, &ask.service, Stage::Decode);
        candidates.sort_by_key(|(key, _)| spread(*key, draw));
        let fitting = candidates.into_iter().filter_map(|(key, server)| {
            let mut runs = loads.get(&key).cloned().unwrap_or_default();
            if runs.len() >= server.entry.slots as usize {
                return None;
            }
            runs.push(fresh);
            let peak = peak(&runs, server.tokens_per_ms, &self.settings.forecast);
            let fill = (peak / room * EQUAL_PARTS) as u32;
            let far = server.entry.failure_domain != self.near;
            let doubts = self.doubts(now, server);
            (peak <= room).then_some(((doubts, fill, far, peak as u64), key, runs.len() - 1))
        });
        let ((.., peak), key, runs) = fitting.take(CANDIDATES).min()?;
        Some((key, Basis { runs, peak, news_age: self.news_age(now), ..Basis::default() }))
    }

    /// The engine that prefills a prompt, but for those that have it under way: the one that will be done
    /// first, where a transfer between failure domains counts as time.
    fn prefill_for(
        &self,
        now: Instant,
        service: &str,
        decode: Key,
        draw: u64,
        under_way: &[Key],
    ) -> Option<Key> {
        let per_ms = self.pools.get(service)?.prefill_per_ms;
        let domain = self.servers.get(decode).map(|server| server.entry.failure_domain.clone());
        let candidates = self.usable(now, service, Stage::Prefill).into_iter();
        let ranked = candidates.filter(|(key, _)| !under_way.contains(key)).map(|(key, server)| {
            let far = Some(&server.entry.failure_domain) != domain.as_ref();
            let transfer = if far { TRANSFER_MS } else { 0.0 };
            let doubts = self.doubts(now, server);
            let millis = self.prefilling(now, server, per_ms) / per_ms + transfer;
            ((doubts, millis as u64, spread(key, draw)), key)
        });
        ranked.min().map(|(_, key)| key)
    }

    /// Prompt tokens that wait at an engine, of this host and its peers.
    fn prefilling(&self, now: Instant, server: &Server, per_ms: f64) -> f64 {
        let peers = self.peers.values();
        let peers = peers.map(|peer| peer.prefilling(now, &server.entry.name, per_ms));
        server.prefilling as f64 + peers.sum::<f64>()
    }

    /// How long a request takes from its turn to its first token where its prompt is prefilled
    /// apart; nothing where no engine prefills.
    fn apart_in(&self, now: Instant, ask: &Ask) -> Option<Duration> {
        let per_ms = self.pools.get(&ask.service)?.prefill_per_ms;
        // As it is chosen: one that nothing speaks against, though others may have less before them.
        let engines = self.usable(now, &ask.service, Stage::Prefill).into_iter();
        let ranked = engines.map(|(_, server)| {
            (self.doubts(now, server), self.prefilling(now, server, per_ms) as u64)
        });
        let (_, ahead) = ranked.min()?;
        let tokens = (ahead + ask.prompt_tokens) as f64;
        Some(GENERATE + Duration::from_secs_f64(tokens / per_ms / 1_000.0))
    }

    /// How long it takes where the engine that generates prefills as well, at half the speed;
    /// nothing where that would hold the other generations there up for too long.
    fn whole_in(&self, ask: &Ask) -> Option<Duration> {
        let pool = self.pools.get(&ask.service)?;
        let millis = WHOLE_SLOWER * ask.prompt_tokens as f64 / pool.prefill_per_ms;
        let event = f64::from(pool.tokens_per_event) / TOKENS_PER_MS;
        let pause = ask.pause.map_or(f64::INFINITY, |pause| pause.as_secs_f64() * 1_000.0);
        let bearable = millis + event <= pause * PAUSE_PART;
        bearable.then(|| GENERATE + Duration::from_secs_f64(millis / 1_000.0))
    }

    /// How a request's prompt is prefilled so that its first token comes by a time, where that can
    /// be.
    pub(super) fn path(&self, now: Instant, ask: &Ask, by: Instant) -> Option<Path> {
        if ask.prefilled {
            return (now + GENERATE <= by).then_some(Path::Kept);
        }
        let apart = self.apart_in(now, ask);
        if apart.is_some_and(|takes| now + takes <= by) {
            return Some(Path::Apart);
        }
        let whole = self.whole_in(ask).or(apart.is_none().then_some(GENERATE))?;
        (now + whole <= by).then_some(Path::Whole)
    }

    /// The shortest time that a request takes from its turn to its first token.
    pub(super) fn first_token_in(&self, now: Instant, ask: &Ask) -> Duration {
        let ways = [self.apart_in(now, ask), self.whole_in(ask)];
        ways.into_iter().flatten().min().filter(|_| !ask.prefilled).unwrap_or(GENERATE)
    }

    /// Takes places for a request.
    pub(super) fn place(&mut self, now: Instant, ask: &Ask, way: Way) -> Placement {
        let (draw, decode) = (self.draw(), way.decode);
        let prefill = match way.path {
            Path::Apart => self.prefill_for(now, &ask.service, decode, draw, &[]),
            Path::Whole | Path::Kept => None,
        };
        let pool = self.pools.get(&ask.service).copied().unwrap_or_default();
        let prefill = prefill.map(|key| self.expect_prefill(now, key, &pool, ask.prompt_tokens));
        let run = self.runs.insert(Running {
            decode,
            prefill: None,
            prompt: ask.prompt_tokens,
            alone: false,
            memory: ask.memory(&pool.length),
            at: None,
        });
        self.servers[decode].running += 1;
        self.servers[decode].health.note_tried(now);
        if let Some(pool) = self.pools.get_mut(&ask.service)
            && !ask.urgent
        {
            let memory = self.runs[run].memory;
            pool.known.note(memory.context, memory.expected, self.servers[decode].tokens_per_ms);
        }
        let done_in = prefill.map_or(pool.prefills_in(ask.prompt_tokens as f64), |p| p.done_in);
        let queued = prefill.is_some_and(|prefill| prefill.queued);
        if let Some(prefill) = prefill {
            self.begin_prefill(now, run, prefill);
        }
        let prefill = prefill.map(|prefill| prefill.engine);
        let basis = Basis { prefilled_in: done_in, queued, ..way.basis };
        Placement { decode, prefill, run, basis }
    }

    /// What a prefill at an engine can be expected to be.
    fn expect_prefill(&self, now: Instant, engine: Key, pool: &Pool, prompt: u64) -> Prefill {
        let server = self.servers.get(engine);
        let ahead = server.map_or(0.0, |server| self.prefilling(now, server, pool.prefill_per_ms));
        let done_in = pool.prefills_in(ahead + prompt as f64);
        Prefill { engine, done_in, queued: ahead > 0.0 }
    }

    /// Takes a place for a generation's prompt at an engine.
    fn begin_prefill(&mut self, now: Instant, run: Run, prefill: Prefill) {
        let Some(running) = self.runs.get_mut(run) else { return };
        let Some(server) = self.servers.get_mut(prefill.engine) else { return };
        (running.prefill, running.alone) = (Some(prefill.engine), !prefill.queued);
        server.running += 1;
        server.health.note_tried(now);
        server.prefilling += running.prompt;
    }

    /// Has a generation's prompt prefilled at another engine than those that have it under way; the place
    /// where it is generated stays. `took` says how long the last one has taken, as for
    /// [`Dispatch::prefilled`]. Where there is no other engine nothing changes.
    pub fn prefill_elsewhere(
        &mut self,
        now: Instant,
        run: Run,
        took: Option<Duration>,
        under_way: &[Key],
    ) -> Option<Prefill> {
        let running = *self.runs.get(run)?;
        let service = self.servers.get(running.decode)?.entry.service.clone();
        let draw = self.draw();
        let engine = self.prefill_for(now, &service, running.decode, draw, under_way)?;
        self.prefilled(run, took);
        let pool = self.pools.get(&service).copied().unwrap_or_default();
        let prefill = self.expect_prefill(now, engine, &pool, running.prompt);
        self.begin_prefill(now, run, prefill);
        Some(prefill)
    }

    /// Whether a generation's prompt may be prefilled at another engine than those that have it under way.
    pub fn may_prefill_elsewhere(&self, now: Instant, run: Run, under_way: &[Key]) -> bool {
        let Some(decode) = self.runs.get(run).map(|running| running.decode) else { return false };
        let Some(server) = self.servers.get(decode) else { return false };
        self.prefill_for(now, &server.entry.service, decode, 0, under_way).is_some()
    }

    /// Notes that a generation's prompt was prefilled, or that its prefill is given up.
    pub fn prefilled(&mut self, run: Run, took: Option<Duration>) {
        let Some(running) = self.runs.get_mut(run) else { return };
        let (prompt, alone, prefill) = (running.prompt, running.alone, running.prefill.take());
        let Some(server) = prefill.and_then(|key| self.servers.get_mut(key)) else { return };
        server.running -= 1;
        server.prefilling -= prompt;
        let service = server.entry.service.clone();
        // What waits behind others says nothing of the engine's speed.
        if let (true, Some(took), Some(pool)) = (alone, took, self.pools.get_mut(&service)) {
            let (least, most) = PREFILL_PER_MS_BOUNDS;
            let seen = prompt as f64 / (took.as_secs_f64() * 1_000.0).max(1.0);
            pool.prefill_per_ms += SMOOTHING * (seen.clamp(least, most) - pool.prefill_per_ms);
        }
    }

    /// Notes that a generation has made so many tokens in all.
    pub fn made(&mut self, now: Instant, run: Run, tokens: u64) {
        let Some(running) = self.runs.get_mut(run) else { return };
        let more = tokens as f64 - running.memory.made;
        running.memory = running.memory.after(more);
        let before = running.at.replace(now);
        let Some(server) = self.servers.get_mut(running.decode) else { return };
        if let Some(before) = before {
            let (least, most) = TOKENS_PER_MS_BOUNDS;
            let seen = more / (now.since(before).as_secs_f64() * 1_000.0).max(0.1);
            server.tokens_per_ms += SMOOTHING * (seen.clamp(least, most) - server.tokens_per_ms);
        }
    }

    /// Notes that a generation has ended; `whole` says that its answer came to its end.
    pub fn ended(&mut self, run: Run, whole: bool) {
        self.prefilled(run, None);
        let Some(running) = self.runs.remove(run) else { return };
        let Some(server) = self.servers.get_mut(running.decode) else { return };
        server.running -= 1;
        let service = server.entry.service.clone();
        if whole && let Some(pool) = self.pools.get_mut(&service) {
            pool.length.note(running.memory.made as u64);
        }
    }

    /// When the engines of a service will have ended so many of their generations, from now.
    pub(super) fn ends_in(&self, now: Instant, service: &str, count: usize) -> Option<Duration> {
        let shape = self.settings.forecast.shape;
        let mut ends: Vec<f64> = Vec::new();
        for (key, runs) in self.loads(now) {
            let Some(server) = self.servers.get(key) else { continue };
            if &*server.entry.service == service {
                ends.extend(runs.iter().map(|run| run.remaining(shape) / server.tokens_per_ms));
            }
        }
        ends.sort_by(f64::total_cmp);
        let last = *ends.last()?;
        let millis = match ends.get(count.saturating_sub(1)) {
            Some(end) => *end,
            None => last * count as f64 / ends.len() as f64,
        };
        Some(Duration::from_secs_f64(millis / 1_000.0))
    }
}

//! Hosts that decide, engines that run, and callers that come: a scripted run without a network.

use crate::dispatch::{Dispatch, Effect, Entry, Placement, Request, Settings, Stage};
use crate::time::Instant;
use chestnutrack_wire::frame::News;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

/// Time between two steps.
pub(super) const STEP: Duration = Duration::from_millis(5);
/// Time within which a first token is in time.
const TARGET: Duration = Duration::from_millis(900);
/// Tokens that a generation makes in a millisecond.
const TOKENS_PER_MS: f64 = 1.1;
/// Prompt tokens that an engine prefills in a millisecond.
const PREFILL_PER_MS: f64 = 55.0;
/// Tokens of the longest answer.
const OUTPUT_MAX: u64 = 7_670;

/// A load and the engines that it meets.
#[derive(Clone, Copy, Debug)]
pub(super) struct Script {
    pub(super) hosts: usize,
    pub(super) decode: usize,
    pub(super) prefill: usize,
    /// Memory of an engine, in tokens.
    pub(super) kv_tokens: u64,
    /// Generations a second at rest.
    pub(super) per_s: f64,
    /// From when to when, in seconds, and by how much it is multiplied.
    pub(super) burst: (f64, f64, f64),
    /// When so many decode engines are lost, in seconds.
    pub(super) lost: (f64, usize),
    /// Age of the news that hosts decide on.
    pub(super) lag: Duration,
    pub(super) length_s: f64,
    pub(super) seed: u64,
    pub(super) settings: Settings,
}

impl Default for Script {
    fn default() -> Script {
        Script {
            hosts: 6,
            decode: 5,
            prefill: 3,
            kv_tokens: 75_461,
            per_s: 7.8,
            burst: (0.0, 0.0, 1.0),
            lost: (f64::MAX, 0),
            lag: Duration::from_millis(30),
            length_s: 40.0,
            seed: 1,
            settings: Settings::default(),
        }
    }
}

/// What became of the callers.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct Totals {
    pub(super) asked: u32,
    pub(super) in_time: u32,
    pub(super) late: u32,
    pub(super) refused: u32,
    /// Refused while every engine was filled to less than half.
    pub(super) refused_at_rest: u32,
    /// Generations put back because their engine's memory ran out.
    pub(super) preempted: u32,
    /// Generations lost with their engine.
    pub(super) lost: u32,
    /// The largest part of the requests of one host that was refused, in per cent.
    pub(super) worst_host_refused: u32,
}

struct Generation {
    host: usize,
    placement: Placement,
    engine: usize,
    prompt: f64,
    made: f64,
    length: f64,
    /// Prompt tokens before it, and its own, that are still to be prefilled.
    prefill: f64,
    arrived: Instant,
    placed: Instant,
    first: bool,
}

pub(super) struct World {
    script: Script,
    now: Instant,
    rng: ChaCha8Rng,
    hosts: Vec<Dispatch<u32>>,
    news: Vec<(Instant, usize, News)>,
    keys: Vec<HashMap<crate::dispatch::ServerKey, usize>>,
    running: Vec<Generation>,
    waiting: HashMap<u32, (f64, f64, Instant)>,
    next: u32,
    asked_by_host: Vec<(u32, u32)>,
    outcome: Totals,
}

impl World {
    pub(super) fn new(script: Script) -> World {
        let mut hosts: Vec<Dispatch<u32>> =
            (0..script.hosts).map(|_| Dispatch::new(script.settings, "a".into())).collect();
        let mut keys = vec![HashMap::new(); script.hosts];
        for (host, keys) in hosts.iter_mut().zip(&mut keys) {
            host.configure_engines(&service(), script.kv_tokens, 59);
            for engine in 0..script.decode + script.prefill {
                keys.insert(host.put(entry(engine, engine < script.decode)).0, engine);
            }
        }
        World {
            script,
            now: Instant::from_millis(1_000_000),
            rng: ChaCha8Rng::seed_from_u64(script.seed),
            asked_by_host: vec![(0, 0); script.hosts],
            hosts,
            news: Vec::new(),
            keys,
            running: Vec::new(),
            waiting: HashMap::new(),
            next: 0,
            outcome: Totals::default(),
        }
    }

    /// Plays the script.
    pub(super) fn play(mut self) -> Totals {
        let steps = (self.script.length_s / STEP.as_secs_f64()) as u64;
        for step in 0..steps {
            let seconds = step as f64 * STEP.as_secs_f64();
            self.now = self.now + STEP;
            self.lose(seconds);
            self.arrive(seconds);
            self.run();
            self.tell(step);
            self.give_turns();
        }
        let share = |(asked, refused): &(u32, u32)| refused * 100 / (*asked).max(1);
        self.outcome.worst_host_refused = self.asked_by_host.iter().map(share).max().unwrap_or(0);
        self.outcome
    }

    fn lose(&mut self, seconds: f64) {
        let (at, count) = self.script.lost;
        if seconds < at || seconds >= at + STEP.as_secs_f64() {
            return;
        }
        for host in &mut self.hosts {
            for engine in 0..count {
                host.remove(&name(engine));
            }
        }
        let (gone, left): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.running).into_iter().partition(|run| run.engine < count);
        self.running = left;
        for run in gone {
            self.hosts[run.host].finish_generation(run.placement.generation, false);
            self.outcome.lost += 1;
        }
    }

    fn arrive(&mut self, seconds: f64) {
        let (from, to, times) = self.script.burst;
        let times = if (from..to).contains(&seconds) { times } else { 1.0 };
        let expected = self.script.per_s * times * STEP.as_secs_f64();
        if self.rng.random::<f64>() >= expected {
            return;
        }
        let host = self.rng.random_range(0..self.script.hosts);
        let prompt = (5_200.0 * self.spread(0.5)).min(11_000.0);
        let length = (4_130.0 * self.spread(0.5)).clamp(59.0, OUTPUT_MAX as f64);
        let hint = (length * self.spread(0.5)) as u64;
        let request = Request {
            service: service(),
            organisation: format!("o{}", self.rng.random_range(0..5)).into(),
            prompt_tokens: prompt as u64,
            output_tokens: OUTPUT_MAX,
            hint: Some(hint),
            arrived: self.now,
            first_by: Some(self.now + TARGET),
            deadline: self.now + Duration::from_secs(14),
            pause: Some(Duration::from_millis(300)),
            urgent: false,
            prefilled: false,
        };
        self.outcome.asked += 1;
        self.asked_by_host[host].0 += 1;
        let item = self.next;
        self.next += 1;
        self.waiting.insert(item, (prompt, length, self.now));
        if let Err(effect) = self.hosts[host].submit(self.now, request, item) {
            self.take(host, effect);
        }
    }

    /// A factor around 1 whose logarithm has this deviation.
    fn spread(&mut self, deviation: f64) -> f64 {
        let sum: f64 = (0..12).map(|_| self.rng.random::<f64>()).sum();
        ((sum - 6.0) * deviation).exp()
    }

    fn take(&mut self, host: usize, effect: Effect<u32>) {
        match effect {
            Effect::Admit(item, placement) => {
                let (prompt, length, arrived) = self.waiting.remove(&item).unwrap();
                let engine = self.keys[host][&placement.decode];
                let at = |host: usize, placement: &Placement| {
                    placement.prefill.map(|key| self.keys[host][&key])
                };
                let own = at(host, &placement);
                let ahead = self.running.iter().filter(|run| {
                    run.prefill > 0.0 && own.is_some() && at(run.host, &run.placement) == own
                });
                let ahead: f64 = ahead.map(|run| run.prefill).fold(0.0, f64::max);
                // An engine that generates prefills at half the speed.
                let prompt_work = if own.is_some() { prompt } else { 2.0 * prompt };
                self.running.push(Generation {
                    host,
                    placement,
                    engine,
                    prompt,
                    made: 0.0,
                    length,
                    prefill: ahead + prompt_work,
                    arrived,
                    placed: self.now,
                    first: false,
                });
            }
            Effect::Refuse(item, _) => {
                self.waiting.remove(&item);
                self.outcome.refused += 1;
                self.asked_by_host[host].1 += 1;
                let most = (0..self.script.decode).map(|engine| self.held(engine));
                let most = most.fold(0.0, f64::max);
                if most < self.script.kv_tokens as f64 / 2.0 {
                    self.outcome.refused_at_rest += 1;
                }
            }
        }
    }

    fn held(&self, engine: usize) -> f64 {
        let runs = self.running.iter().filter(|run| run.engine == engine && run.prefill <= 0.0);
        runs.map(|run| run.prompt + run.made).sum()
    }

    fn run(&mut self) {
        let millis = STEP.as_secs_f64() * 1_000.0;
        for index in 0..self.running.len() {
            let run = &mut self.running[index];
            let (host, key) = (run.host, run.placement.generation);
            if run.prefill > 0.0 {
                run.prefill -= PREFILL_PER_MS * millis;
                if run.prefill <= 0.0 {
                    let took = self.now.since(run.placed);
                    self.hosts[host].finish_prefill(key, Some(took));
                }
                continue;
            }
            if !std::mem::replace(&mut run.first, true) {
                match self.now.since(run.arrived) <= TARGET {
                    true => self.outcome.in_time += 1,
                    false => self.outcome.late += 1,
                }
            }
            run.made += TOKENS_PER_MS * millis;
            let made = run.made as u64;
            self.hosts[host].record_tokens(self.now, key, made);
        }
        let (ended, left): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.running).into_iter().partition(|run| run.made >= run.length);
        self.running = left;
        for run in ended {
            self.hosts[run.host].finish_generation(run.placement.generation, true);
        }
        for engine in 0..self.script.decode {
            while self.held(engine) > self.script.kv_tokens as f64 {
                let newest = self.running.iter().rposition(|run| run.engine == engine).unwrap();
                let run = self.running.remove(newest);
                self.hosts[run.host].finish_generation(run.placement.generation, false);
                self.outcome.preempted += 1;
            }
        }
    }

    /// Each host tells the others its news, which they hear after the lag.
    fn tell(&mut self, step: u64) {
        if step.is_multiple_of((self.script.lag.as_millis() / STEP.as_millis()).max(1) as u64) {
            for (index, host) in self.hosts.iter().enumerate() {
                let news = News {
                    engines: host.engine_reports(),
                    waiting: host.waiting_ages_ms(self.now),
                    ..News::default()
                };
                self.news.push((self.now + Duration::from_millis(3), index, news));
            }
        }
        let due = self.news.iter().filter(|(at, ..)| *at <= self.now).count();
        for (at, from, news) in self.news.drain(..due).collect::<Vec<_>>() {
            for (index, host) in self.hosts.iter_mut().enumerate() {
                if index != from {
                    host.update_peer(at, &Arc::from(format!("h{from}")), &news);
                }
            }
        }
    }

    fn give_turns(&mut self) {
        for host in 0..self.hosts.len() {
            for effect in self.hosts[host].tick(self.now) {
                self.take(host, effect);
            }
        }
    }
}

pub(super) fn service() -> Arc<str> {
    "model".into()
}

fn name(engine: usize) -> Arc<str> {
    format!("e{engine}").into()
}

pub(super) fn entry(engine: usize, decode: bool) -> Entry {
    Entry {
        name: name(engine),
        born: Some(1),
        service: service(),
        address: ([10, 0, 0, engine as u8], 80).into(),
        failure_domain: if engine.is_multiple_of(2) { "a" } else { "b" }.into(),
        slots: 64,
        leaving: false,
        stage: Some(if decode { Stage::Decode } else { Stage::Prefill }),
    }
}

//! Deterministic simulation of several hosts, their engines and callers, without a network.

use crate::dispatch::{
    Dispatch, Effect, Entry, Placement, Request, Residency, Settings, Stage, Ticket,
};
use crate::time::Instant;
use chestnutrack_wire::frame::News;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

/// Simulated time per step.
pub(super) const STEP: Duration = Duration::from_millis(5);
/// Start of the simulated time.
const START: Instant = Instant::from_millis(1_000_000);
/// Latency target of the first token.
const TARGET: Duration = Duration::from_millis(900);
/// Interval at which the first host checks whether engines should change their stage.
const PLAN_INTERVAL: Duration = Duration::from_millis(500);
/// Time without a first token after which a caller leaves that [`Scenario::callers_return`].
const PATIENCE: Duration = Duration::from_millis(3_600);
/// Time after the first request of such a caller from which it no longer returns.
const RETURN_LIMIT: Duration = Duration::from_secs(14);
/// Time for which an engine that changes its stage is unavailable.
const STAGE_SWITCH_TIME: Duration = Duration::from_secs(6);

/// The load and the engines of one simulation.
#[derive(Clone, Copy, Debug)]
pub(super) struct Scenario {
    pub(super) hosts: usize,
    pub(super) decode: usize,
    pub(super) prefill: usize,
    /// Memory of an engine, in tokens.
    pub(super) kv_tokens: u64,
    /// Maximum number of generations on an engine.
    pub(super) slots: u32,
    /// Decode speed of a generation, in tokens per millisecond.
    pub(super) tokens_per_ms: f64,
    /// Prefill speed of an engine, in prompt tokens per millisecond.
    pub(super) prefill_per_ms: f64,
    /// Tokens in one event of a stream.
    pub(super) tokens_per_event: u32,
    /// Median length of a prompt, in tokens.
    pub(super) prompt_tokens: f64,
    /// Median and maximum length of an answer, in tokens.
    pub(super) answer_tokens: (f64, u64),
    /// Factor by which callers' length hints are off.
    pub(super) hint_factor: f64,
    /// When the lengths change, in seconds, and the factors on prompts and answers from then on.
    pub(super) length_shift: (f64, f64, f64),
    /// Whether engines change their stage as planned.
    pub(super) stage_changes: bool,
    /// Priorities that arrivals have with equal chances.
    pub(super) priorities: &'static [u8],
    /// Mean arrivals per second outside the burst.
    pub(super) arrivals_per_s: f64,
    /// Start and end of a burst in seconds, and the factor on arrivals meanwhile.
    pub(super) burst: (f64, f64, f64),
    /// Start and end of a burst of long prompts in seconds, and the factor on their length meanwhile.
    pub(super) long_prompts: (f64, f64, f64),
    /// Whether callers return after a refusal when they are asked to, and leave if they get no first
    /// token for long.
    pub(super) callers_return: bool,
    /// Start and end of the time in seconds whose first arrivals are counted in [`Totals::window`].
    pub(super) window: (f64, f64),
    /// When engines are lost, in seconds, and the numbers of the first and of how many. The decode
    /// engines have the lowest numbers at first.
    pub(super) engine_loss: (f64, usize, usize),
    /// Interval at which hosts report to each other.
    pub(super) report_interval: Duration,
    pub(super) duration_s: f64,
    pub(super) seed: u64,
    pub(super) settings: Settings,
}

impl Default for Scenario {
    fn default() -> Scenario {
        Scenario {
            hosts: 6,
            decode: 5,
            prefill: 3,
            kv_tokens: 75_461,
            slots: 64,
            tokens_per_ms: 1.1,
            prefill_per_ms: 55.0,
            tokens_per_event: 59,
            prompt_tokens: 5_200.0,
            answer_tokens: (4_130.0, 7_670),
            hint_factor: 1.0,
            length_shift: (f64::MAX, 1.0, 1.0),
            stage_changes: false,
            priorities: &[0],
            arrivals_per_s: 7.8,
            burst: (0.0, 0.0, 1.0),
            long_prompts: (0.0, 0.0, 1.0),
            callers_return: false,
            window: (0.0, 0.0),
            engine_loss: (f64::MAX, 0, 0),
            report_interval: Duration::from_millis(30),
            duration_s: 40.0,
            seed: 1,
            settings: Settings::default(),
        }
    }
}

/// Counts of requests by what became of them.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct Totals {
    pub(super) submitted: u32,
    pub(super) in_time: u32,
    pub(super) late: u32,
    pub(super) refused: u32,
    /// Requests refused while every engine was less than half full.
    pub(super) refused_below_half_load: u32,
    /// Submitted requests, and those whose first token was in time, by the place of their priority
    /// in [`Scenario::priorities`].
    pub(super) by_priority: [(u32, u32); 2],
    /// Callers who first came in [`Scenario::window`], and those of them whose first token was in
    /// time.
    pub(super) window: (u32, u32),
    /// Callers who left because no first token came, and thousands of prompt tokens that were
    /// prefilled for them.
    pub(super) abandoned: u32,
    pub(super) wasted_prefill: u32,
    /// Thousands of prompt tokens that were prefilled.
    pub(super) prefilled: u32,
    /// Generations evicted because their engine ran out of memory.
    pub(super) preempted: u32,
    /// Generations lost with their engine.
    pub(super) lost: u32,
    /// Largest percentage of its requests that any one host refused.
    pub(super) worst_host_refused: u32,
    /// Engines that changed their stage, and how many of them became prefill engines.
    pub(super) stage_changes: u32,
    pub(super) to_prefill: u32,
    /// Most engines that were changing their stage at once.
    pub(super) most_changing: u32,
    /// Most prefill engines at once, those that were becoming prefill engines included.
    pub(super) most_prefill: u32,
}

/// A caller and its request.
#[derive(Clone, Copy, Debug)]
struct Caller {
    host: usize,
    prompt: f64,
    answer_tokens: f64,
    hint: f64,
    organisation: u32,
    first_arrived: Instant,
    arrived: Instant,
    /// Place of the priority in [`Scenario::priorities`].
    priority: usize,
    ticket: Option<Ticket>,
}

struct Generation {
    caller: Caller,
    host: usize,
    placement: Placement,
    engine: usize,
    prompt: f64,
    generated: f64,
    answer_tokens: f64,
    /// Prompt tokens still to be prefilled, including those queued ahead.
    prefill: f64,
    placed: Instant,
    first_token_seen: bool,
}

pub(super) struct Simulation {
    scenario: Scenario,
    now: Instant,
    rng: ChaCha8Rng,
    hosts: Vec<Dispatch<u32>>,
    /// Delivery time, sending host and content of reports.
    reports_in_transit: Vec<(Instant, usize, News)>,
    /// Engine number of each server key, by host.
    keys: Vec<HashMap<crate::dispatch::ServerKey, usize>>,
    running: Vec<Generation>,
    /// Callers whose requests wait, by item. Ordered, so that runs are reproducible.
    waiting: BTreeMap<u32, Caller>,
    /// Refused callers, and when they return.
    returning: Vec<(Instant, Caller)>,
    next_item: u32,
    /// Submitted and refused requests, by host.
    requests_by_host: Vec<(u32, u32)>,
    /// Stage of each engine; `None` once it is lost.
    stages: Vec<Option<Stage>>,
    /// Engines that are changing their stage: number, new stage, and when they are available again.
    changing: Vec<(usize, Stage, Instant)>,
    totals: Totals,
}

impl Simulation {
    pub(super) fn new(scenario: Scenario) -> Simulation {
        let mut hosts: Vec<Dispatch<u32>> =
            (0..scenario.hosts).map(|_| Dispatch::new(scenario.settings, "a".into())).collect();
        let mut keys = vec![HashMap::new(); scenario.hosts];
        for (host, keys) in hosts.iter_mut().zip(&mut keys) {
            host.configure_engines(&service(), scenario.kv_tokens, scenario.tokens_per_event);
            host.configure_priorities(&service(), scenario.priorities);
            for engine in 0..scenario.decode + scenario.prefill {
                let entry =
                    Entry { slots: scenario.slots, ..entry(engine, engine < scenario.decode) };
                keys.insert(host.put(START, entry).0, engine);
            }
        }
        let stage = |engine| if engine < scenario.decode { Stage::Decode } else { Stage::Prefill };
        Simulation {
            scenario,
            now: START,
            rng: ChaCha8Rng::seed_from_u64(scenario.seed),
            requests_by_host: vec![(0, 0); scenario.hosts],
            hosts,
            reports_in_transit: Vec::new(),
            keys,
            running: Vec::new(),
            waiting: BTreeMap::new(),
            returning: Vec::new(),
            next_item: 0,
            stages: (0..scenario.decode + scenario.prefill)
                .map(|engine| Some(stage(engine)))
                .collect(),
            changing: Vec::new(),
            totals: Totals::default(),
        }
    }

    /// Runs the scenario to its end.
    pub(super) fn run(mut self) -> Totals {
        let steps = (self.scenario.duration_s / STEP.as_secs_f64()) as u64;
        for step in 0..steps {
            let seconds = step as f64 * STEP.as_secs_f64();
            self.now = self.now + STEP;
            self.fail_engines(seconds);
            self.generate_arrival(seconds);
            self.return_callers();
            self.advance_generations();
            self.abandon();
            self.exchange_reports(step);
            self.change_stages(step);
            self.tick_hosts();
        }
        let share = |(submitted, refused): &(u32, u32)| refused * 100 / (*submitted).max(1);
        self.totals.worst_host_refused = self.requests_by_host.iter().map(share).max().unwrap_or(0);
        self.totals
    }

    fn fail_engines(&mut self, seconds: f64) {
        let (at, first, count) = self.scenario.engine_loss;
        if seconds < at || seconds >= at + STEP.as_secs_f64() {
            return;
        }
        let lost = first..first + count;
        for host in &mut self.hosts {
            for engine in lost.clone() {
                host.remove(self.now, &name(engine));
            }
        }
        self.stages[lost.clone()].fill(None);
        let (failed, remaining): (Vec<_>, Vec<_>) = std::mem::take(&mut self.running)
            .into_iter()
            .partition(|generation| lost.contains(&generation.engine));
        self.running = remaining;
        for generation in failed {
            self.hosts[generation.host].finish_generation(generation.placement.generation, false);
            self.totals.lost += 1;
        }
    }

    fn generate_arrival(&mut self, seconds: f64) {
        let (from, to, factor) = self.scenario.burst;
        let factor = if (from..to).contains(&seconds) { factor } else { 1.0 };
        let expected = self.scenario.arrivals_per_s * factor * STEP.as_secs_f64();
        if self.rng.random::<f64>() >= expected {
            return;
        }
        let host = self.rng.random_range(0..self.scenario.hosts);
        let (shift_at, prompt_factor, answer_factor) = self.scenario.length_shift;
        let (prompt_factor, answer_factor) =
            if seconds >= shift_at { (prompt_factor, answer_factor) } else { (1.0, 1.0) };
        let (median, output_tokens) = self.scenario.answer_tokens;
        let shortest = f64::from(self.scenario.tokens_per_event);
        let (from, to, factor) = self.scenario.long_prompts;
        let long_factor = if (from..to).contains(&seconds) { factor } else { 1.0 };
        let prompt = (self.scenario.prompt_tokens * prompt_factor * self.log_normal_factor(0.5))
            .min(11_000.0)
            * long_factor;
        let answer_tokens = (median * answer_factor * self.log_normal_factor(0.5))
            .clamp(shortest, output_tokens as f64);
        let hint = answer_tokens * self.log_normal_factor(0.5) * self.scenario.hint_factor;
        let priorities = self.scenario.priorities;
        let priority = match priorities.len() {
            0 | 1 => 0,
            count => self.rng.random_range(0..count),
        };
        self.totals.by_priority[priority].0 += 1;
        let organisation = self.rng.random_range(0..5);
        self.totals.submitted += 1;
        let caller = Caller {
            host,
            prompt,
            answer_tokens,
            hint,
            organisation,
            first_arrived: self.now,
            arrived: self.now,
            priority,
            ticket: None,
        };
        let (from, to) = self.scenario.window;
        self.totals.window.0 += u32::from((from..to).contains(&seconds));
        self.submit(caller);
    }

    fn submit(&mut self, caller: Caller) {
        let caller = Caller { arrived: self.now, ticket: None, ..caller };
        let first_token_by = caller.first_arrived + TARGET;
        let request = Request {
            service: service(),
            organisation: format!("o{}", caller.organisation).into(),
            priority: self.scenario.priorities[caller.priority],
            prompt_tokens: caller.prompt as u64,
            output_tokens: self.scenario.answer_tokens.1,
            length_hint: Some(caller.hint as u64),
            arrived: self.now,
            first_token_by: (first_token_by > self.now).then_some(first_token_by),
            leaves_at: self.now + PATIENCE,
            deadline: self.now + Duration::from_secs(14),
            max_pause: Some(Duration::from_millis(300)),
            urgent: false,
            prefilled: false,
            prefixes: Arc::default(),
            resumable: false,
            build: None,
            residency: Residency::default(),
        };
        self.requests_by_host[caller.host].0 += 1;
        let item = self.next_item;
        self.next_item += 1;
        self.waiting.insert(item, caller);
        match self.hosts[caller.host].submit(self.now, request, item) {
            Ok(ticket) => self.waiting.get_mut(&item).unwrap().ticket = Some(ticket),
            Err(effect) => self.apply(caller.host, effect),
        }
    }

    fn return_callers(&mut self) {
        let now = self.now;
        for (_, caller) in self.returning.extract_if(.., |(at, _)| *at <= now).collect::<Vec<_>>() {
            self.submit(caller);
        }
    }

    /// Lets the callers leave that have waited too long for a first token. What their prompts' engines
    /// have begun, they finish.
    fn abandon(&mut self) {
        if !self.scenario.callers_return {
            return;
        }
        let leaves = |caller: &Caller| self.now.since(caller.arrived) >= PATIENCE;
        for (_, caller) in self.waiting.extract_if(.., |_, caller| leaves(caller)) {
            self.totals.abandoned += 1;
            caller.ticket.into_iter().for_each(|ticket| self.hosts[caller.host].cancel(ticket));
        }
        let left = self.running.extract_if(.., |generation| {
            !generation.first_token_seen && leaves(&generation.caller)
        });
        for generation in left {
            self.totals.abandoned += 1;
            self.totals.wasted_prefill += (generation.prompt / 1_000.0) as u32;
            self.hosts[generation.host].finish_generation(generation.placement.generation, false);
        }
    }

    /// Returns a log-normal random factor with median 1; `deviation` is the standard deviation of
    /// its logarithm.
    fn log_normal_factor(&mut self, deviation: f64) -> f64 {
        let sum: f64 = (0..12).map(|_| self.rng.random::<f64>()).sum();
        ((sum - 6.0) * deviation).exp()
    }

    fn apply(&mut self, host: usize, effect: Effect<u32>) {
        match effect {
            Effect::Admit(item, placement) => {
                let caller = self.waiting.remove(&item).unwrap();
                let Caller { prompt, answer_tokens, .. } = caller;
                self.totals.prefilled += (prompt / 1_000.0) as u32;
                let engine = self.keys[host][&placement.decode];
                let prefill_engine_of = |host: usize, placement: &Placement| {
                    placement.prefill.map(|key| self.keys[host][&key])
                };
                let prefill_engine = prefill_engine_of(host, &placement);
                let ahead = self.running.iter().filter(|generation| {
                    generation.prefill > 0.0
                        && prefill_engine.is_some()
                        && prefill_engine_of(generation.host, &generation.placement)
                            == prefill_engine
                });
                let ahead: f64 = ahead.map(|generation| generation.prefill).fold(0.0, f64::max);
                // An engine that generates prefills at half the speed.
                let prompt_work = if prefill_engine.is_some() { prompt } else { 2.0 * prompt };
                self.running.push(Generation {
                    caller,
                    host,
                    placement,
                    engine,
                    prompt,
                    generated: 0.0,
                    answer_tokens,
                    prefill: ahead + prompt_work,
                    placed: self.now,
                    first_token_seen: false,
                });
            }
            Effect::Refuse(item, refusal) => {
                let caller = self.waiting.remove(&item).unwrap();
                let return_at = self.now + refusal.retry_after;
                if self.scenario.callers_return
                    && return_at.since(caller.first_arrived) < RETURN_LIMIT
                {
                    self.returning.push((return_at, caller));
                }
                self.totals.refused += 1;
                self.requests_by_host[host].1 += 1;
                let decode = (0..self.stages.len())
                    .filter(|engine| self.stages[*engine] == Some(Stage::Decode));
                let fullest = decode.map(|engine| self.held_tokens(engine)).fold(0.0, f64::max);
                if fullest < self.scenario.kv_tokens as f64 / 2.0 {
                    self.totals.refused_below_half_load += 1;
                }
            }
        }
    }

    fn held_tokens(&self, engine: usize) -> f64 {
        let generations = self
            .running
            .iter()
            .filter(|generation| generation.engine == engine && generation.prefill <= 0.0);
        generations.map(|generation| generation.prompt + generation.generated).sum()
    }

    fn advance_generations(&mut self) {
        let millis = STEP.as_secs_f64() * 1_000.0;
        for index in 0..self.running.len() {
            let generation = &mut self.running[index];
            let (host, key) = (generation.host, generation.placement.generation);
            if generation.prefill > 0.0 {
                generation.prefill -= self.scenario.prefill_per_ms * millis;
                if generation.prefill <= 0.0 {
                    let took = self.now.since(generation.placed);
                    self.hosts[host].finish_prefill(key, Some(took));
                }
                continue;
            }
            if !std::mem::replace(&mut generation.first_token_seen, true) {
                let caller = generation.caller;
                match self.now.since(caller.first_arrived) <= TARGET {
                    true => {
                        self.totals.in_time += 1;
                        self.totals.by_priority[caller.priority].1 += 1;
                        let (from, to) = self.scenario.window;
                        let first_arrived = caller.first_arrived.since(START).as_secs_f64();
                        self.totals.window.1 += u32::from((from..to).contains(&first_arrived));
                    }
                    false => self.totals.late += 1,
                }
            }
            generation.generated += self.scenario.tokens_per_ms * millis;
            let tokens = generation.generated as u64;
            self.hosts[host].record_tokens(self.now, key, tokens);
        }
        let (ended, remaining): (Vec<_>, Vec<_>) = std::mem::take(&mut self.running)
            .into_iter()
            .partition(|generation| generation.generated >= generation.answer_tokens);
        self.running = remaining;
        for generation in ended {
            self.hosts[generation.host].finish_generation(generation.placement.generation, true);
        }
        for engine in 0..self.stages.len() {
            while self.held_tokens(engine) > self.scenario.kv_tokens as f64 {
                let newest = self
                    .running
                    .iter()
                    .rposition(|generation| generation.engine == engine)
                    .unwrap();
                let generation = self.running.remove(newest);
                self.hosts[generation.host]
                    .finish_generation(generation.placement.generation, false);
                self.totals.preempted += 1;
            }
        }
    }

    /// Sends each host's report to all others, with a delay of 3 ms.
    fn exchange_reports(&mut self, step: u64) {
        if step.is_multiple_of(
            (self.scenario.report_interval.as_millis() / STEP.as_millis()).max(1) as u64,
        ) {
            for (index, host) in self.hosts.iter().enumerate() {
                let (waiting, waiting_order) = host.waiting_reports(self.now);
                let news = News {
                    engines: host.engine_reports(),
                    waiting,
                    waiting_order,
                    demand: host.demand_reports(),
                    ..News::default()
                };
                self.reports_in_transit.push((self.now + Duration::from_millis(3), index, news));
            }
        }
        let due = self.reports_in_transit.iter().filter(|(at, ..)| *at <= self.now).count();
        for (at, from, news) in self.reports_in_transit.drain(..due).collect::<Vec<_>>() {
            for (index, host) in self.hosts.iter_mut().enumerate() {
                if index != from {
                    host.update_peer(at, &Arc::from(format!("h{from}")), &news);
                }
            }
        }
    }

    /// Carries out the stage changes that the first host plans, and ends those that are due.
    fn change_stages(&mut self, step: u64) {
        for (engine, stage, _) in self.changing.extract_if(.., |(.., until)| *until <= self.now) {
            self.stages[engine] = Some(stage);
            for host in &mut self.hosts {
                let entry = entry(engine, stage == Stage::Decode);
                host.put(self.now, Entry { slots: self.scenario.slots, ..entry });
            }
        }
        let steps_per_plan = (PLAN_INTERVAL.as_millis() / STEP.as_millis()) as u64;
        if !self.scenario.stage_changes || !step.is_multiple_of(steps_per_plan) {
            return;
        }
        let change = self.hosts[0].plan_stage_changes(self.now, &service());
        for (key, stage) in change.map(|change| change.engines).unwrap_or_default() {
            let engine = self.keys[0][&key];
            self.hosts.iter_mut().for_each(|host| {
                host.record_stage_change(self.now, &name(engine), STAGE_SWITCH_TIME)
            });
            self.stages[engine] = None;
            self.changing.push((engine, stage, self.now + STAGE_SWITCH_TIME));
            self.totals.stage_changes += 1;
            self.totals.to_prefill += u32::from(stage == Stage::Prefill);
        }
        let prefill = self.stages.iter().filter(|stage| **stage == Some(Stage::Prefill)).count()
            + self.changing.iter().filter(|(_, stage, _)| *stage == Stage::Prefill).count();
        self.totals.most_prefill = self.totals.most_prefill.max(prefill as u32);
        self.totals.most_changing = self.totals.most_changing.max(self.changing.len() as u32);
    }

    fn tick_hosts(&mut self) {
        for host in 0..self.hosts.len() {
            for effect in self.hosts[host].tick(self.now) {
                self.apply(host, effect);
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
        build: "v1".into(),
        service: service(),
        address: ([10, 0, 0, engine as u8], 80).into(),
        failure_domain: if engine.is_multiple_of(2) { "a" } else { "b" }.into(),
        slots: 64,
        leaving: false,
        stage: Some(if decode { Stage::Decode } else { Stage::Prefill }),
        cold_ms: None,
    }
}

//! What a run amounts to: the brief's four measures, latencies and violations.

mod latency;
mod violation;

pub use latency::Percentiles;
pub use violation::Violations;

use crate::experiment::Experiment;
use crate::run::{Ended, Outcome, Sent, record::Engines};
use chestnutrack_document::model::{Document, Role, Route};
use chestnutrack_standin::engine;
use latency::Histogram;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

/// What a run amounts to. Only requests sent after the warm-up are measured.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Results {
    /// Name of the experiment.
    pub experiment: Arc<str>,
    /// Its seed.
    pub seed: u64,
    /// Time measured, in seconds.
    pub measured_s: f64,
    /// The measures.
    pub measures: Measures,
    /// Share of in-rate requests that were good, by organisation.
    pub organisations: BTreeMap<Arc<str>, Share>,
    /// By organisation and route.
    pub rows: Vec<Row>,
    /// Time to the first token of interactive model requests.
    pub first_token: Percentiles,
    /// Time between their tokens.
    pub between_tokens: Percentiles,
    /// Time to the first token that an engine without other load would need for them.
    pub first_token_unloaded: Percentiles,
    /// What must never be.
    pub violations: Violations,
    /// Answers that were not whole or not the caller's, the first of them.
    pub incidents: Vec<String>,
    /// What the engines counted, the warm-up included.
    pub engines: Engines,
    /// Calls that the object interface counted, the warm-up included.
    pub platform_calls: BTreeMap<String, u64>,
    /// By second of the run.
    pub timeline: Vec<Second>,
    /// Faults: their time and what happened.
    pub faults: Vec<(f64, String)>,
}

/// The brief's measures.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Measures {
    /// Good in-rate requests a second.
    pub goodput_per_s: f64,
    /// Good in-rate requests among those that the engines could have served: all in-rate ones,
    /// or what full batches of all decode servers generate, if that is less.
    pub goodput_share: f64,
    /// In-rate requests that were refused, among all in-rate ones.
    pub in_rate_refusals: f64,
    /// Share of good requests of the organisation that fared worst, against the mean.
    pub worst_against_mean: f64,
    /// Prefill tokens computed for requests that never decoded, among all computed.
    pub wasted_prefill: f64,
    /// Output tokens of in-rate requests against what full batches of all decode servers
    /// generate in the time.
    pub offered_load: f64,
}

/// Good requests among those within the rate, and tokens.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Share {
    /// In-rate requests.
    pub in_rate: u64,
    /// Good ones.
    pub good: u64,
    /// Tokens of answered requests, the warm-up included.
    pub admitted_tokens: u64,
    /// Tokens that the burst and the rate up to the last answer allow.
    pub allowed_tokens: u64,
}

impl Share {
    /// The share; 1 where there were no requests.
    pub fn value(&self) -> f64 {
        ratio(self.good as f64, self.in_rate as f64, 1.0)
    }
}

/// One organisation on one route.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Row {
    /// Organisation.
    pub organisation: Arc<str>,
    /// Route.
    pub route: Arc<str>,
    /// Requests sent, without repetitions.
    pub sent: u64,
    /// Requests that a token bucket over the whole fleet, at the caller, admitted.
    pub in_rate: u64,
    /// Requests that were good, up to `in_rate`: answered whole, within both targets if
    /// interactive, else within their deadline. Which requests of an organisation over its rate
    /// are admitted is the router's choice, so they are counted without regard to which they were.
    pub good: u64,
    /// Requests answered whole, but late, up to what is left of `in_rate`.
    pub late: u64,
    /// Requests without a whole answer, up to what is left then.
    pub broken: u64,
    /// What is left then: requests within the rate that were refused.
    pub refused: u64,
    /// Refusals of all requests, by code.
    pub codes: BTreeMap<String, u64>,
    /// Why answers were not whole, with one example each.
    pub causes: BTreeMap<String, u64>,
    /// Time to the first token, or to a plain answer.
    pub first: Percentiles,
    /// Time between tokens.
    pub between: Percentiles,
}

/// One second of a run, by when requests were sent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Second {
    /// Good requests.
    pub good: u32,
    /// Late ones.
    pub late: u32,
    /// Refused ones.
    pub refused: u32,
    /// Broken ones.
    pub broken: u32,
    /// Refused ones of organisations that send more than their rate.
    pub over_rate: u32,
}

/// How a request fared.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fate {
    Good,
    Late,
    Refused,
    Broken,
}

#[derive(Default)]
struct Tally {
    row: Row,
    first: Histogram,
    between: Histogram,
}

/// Measures a run.
pub fn measure(experiment: &Experiment, outcome: &Outcome) -> Results {
    let warm_up = Duration::from_secs_f64(experiment.warm_up_s);
    let mut tallies: BTreeMap<(Arc<str>, Arc<str>), Tally> = BTreeMap::new();
    let (mut first, mut between) = (Histogram::default(), Histogram::default());
    let mut unloaded = Histogram::default();
    let mut timeline = vec![Second::default(); experiment.duration_s.ceil() as usize];
    let (mut output_tokens, mut completions) = (0, 0_u64);
    let over = over_rate(&outcome.sent);
    for sent in outcome.sent.iter().filter(|sent| !sent.repeated) {
        let Some(route) = route(&outcome.document, &sent.request.route) else { continue };
        let fate = fate(&outcome.document, route, sent);
        let within = !over.contains(&sent.request.organisation);
        note_second(&mut timeline, sent, fate, within);
        if sent.request.at < warm_up {
            continue;
        }
        let key = (sent.request.organisation.clone(), sent.request.route.clone());
        note(tallies.entry(key).or_default(), sent, fate);
        if let Some(completion) = sent.request.completion.filter(|_| sent.request.in_rate) {
            output_tokens += u64::from(completion.output_tokens);
            completions += 1;
        }
        if is_interactive(route) && within {
            note_latency(&mut first, &mut between, sent);
            unloaded.record(engine_alone(sent));
        }
    }
    let rows: Vec<Row> = tallies.into_iter().map(|(key, tally)| tally.finish(key)).collect();
    let mut organisations = shares(&rows);
    note_tokens(&mut organisations, outcome);
    let measured_s = experiment.duration_s - experiment.warm_up_s;
    let capacity = decode_tokens_per_s(&outcome.document) * measured_s;
    let load = Load { output_tokens, completions, capacity, measured_s };
    let measures = measures(&rows, &organisations, &load, &outcome.record.engines);
    let violations = violation::find(outcome, &organisations);
    Results {
        experiment: experiment.name.clone(),
        seed: experiment.seed,
        measured_s,
        measures,
        organisations,
        rows,
        first_token: first.percentiles(),
        between_tokens: between.percentiles(),
        first_token_unloaded: unloaded.percentiles(),
        violations,
        incidents: violation::incidents(&outcome.sent),
        engines: outcome.record.engines,
        platform_calls: outcome.record.platform.clone(),
        timeline,
        faults: faults(experiment),
    }
}

/// What was offered and what could have been served.
struct Load {
    output_tokens: u64,
    completions: u64,
    capacity: f64,
    measured_s: f64,
}

fn measures(
    rows: &[Row],
    organisations: &BTreeMap<Arc<str>, Share>,
    load: &Load,
    engines: &Engines,
) -> Measures {
    let sum = |count: fn(&Row) -> u64| rows.iter().map(count).sum::<u64>() as f64;
    let (in_rate, good) = (sum(|row| row.in_rate), sum(|row| row.good));
    let offered_load = ratio(load.output_tokens as f64, load.capacity, 0.0);
    let beyond = (load.completions as f64) * (1.0 - 1.0 / offered_load.max(1.0));
    let shares: Vec<f64> = organisations.values().map(Share::value).collect();
    let mean = ratio(shares.iter().sum(), shares.len() as f64, 1.0);
    let worst = shares.iter().copied().fold(f64::INFINITY, f64::min).min(mean);
    let wasted = engines.wasted_prefill_tokens + engines.undecoded_tokens;
    Measures {
        goodput_per_s: ratio(good, load.measured_s, 0.0),
        goodput_share: ratio(good, in_rate - beyond, 1.0),
        in_rate_refusals: ratio(sum(|row| row.refused), in_rate, 0.0),
        worst_against_mean: ratio(worst, mean, 1.0),
        wasted_prefill: ratio(wasted as f64, engines.prefilled_tokens as f64, 0.0),
        offered_load,
    }
}

fn shares(rows: &[Row]) -> BTreeMap<Arc<str>, Share> {
    let mut shares: BTreeMap<Arc<str>, Share> = BTreeMap::new();
    for row in rows {
        let share = shares.entry(row.organisation.clone()).or_default();
        share.in_rate += row.in_rate;
        share.good += row.good;
    }
    shares
}

/// Organisations that send more than their rate.
fn over_rate(sent: &[Sent]) -> HashSet<Arc<str>> {
    let over = sent.iter().filter(|sent| !sent.request.in_rate);
    over.map(|sent| sent.request.organisation.clone()).collect()
}

/// Notes the tokens that organisations were given and those that they were allowed.
fn note_tokens(shares: &mut BTreeMap<Arc<str>, Share>, outcome: &Outcome) {
    for (name, share) in shares {
        let organisations = &outcome.document.organisations;
        let Some(limits) = organisations.iter().find(|known| known.name == *name) else { continue };
        let own = outcome.sent.iter().filter(|sent| sent.request.organisation == *name);
        let mut last = Duration::ZERO;
        for sent in own.filter(|sent| !sent.repeated) {
            let Ended::Answered { first, .. } = &sent.ended else { continue };
            share.admitted_tokens += sent.request.tokens;
            last = last.max(sent.request.at + *first);
        }
        let gained = last.as_secs_f64() * limits.rate_tokens_per_s as f64;
        share.allowed_tokens = limits.burst_tokens + gained.ceil() as u64;
    }
}

fn fate(document: &Document, route: &Route, sent: &Sent) -> Fate {
    let Ended::Answered { first, between, .. } = &sent.ended else {
        let refused = matches!(sent.ended, Ended::Refused { .. });
        return if refused { Fate::Refused } else { Fate::Broken };
    };
    if !sent.is_whole() {
        return Fate::Broken;
    }
    let targets = document.targets;
    let in_time = if is_interactive(route) {
        let sum: Duration = between.iter().sum();
        let mean = sum / u32::try_from(between.len().max(1)).unwrap_or(u32::MAX);
        *first <= Duration::from_millis(targets.first_token_ms)
            && mean <= Duration::from_millis(targets.between_tokens_ms)
    } else {
        *first <= Duration::from_millis(route.deadline_ms)
    };
    if in_time { Fate::Good } else { Fate::Late }
}

fn note(tally: &mut Tally, sent: &Sent, fate: Fate) {
    let row = &mut tally.row;
    row.sent += 1;
    match &sent.ended {
        Ended::Refused { code, .. } => *row.codes.entry(code.clone()).or_default() += 1,
        Ended::Broken { why } => *row.causes.entry(why.clone()).or_default() += 1,
        Ended::Answered { verdict, .. } if !sent.is_whole() => {
            *row.causes.entry(verdict.to_string()).or_default() += 1;
        }
        Ended::Answered { .. } => note_latency(&mut tally.first, &mut tally.between, sent),
    }
    row.in_rate += u64::from(sent.request.in_rate);
    match fate {
        Fate::Good => row.good += 1,
        Fate::Late => row.late += 1,
        Fate::Refused => row.refused += 1,
        Fate::Broken => row.broken += 1,
    }
}

fn note_latency(first: &mut Histogram, between: &mut Histogram, sent: &Sent) {
    if let Ended::Answered { first: time, between: times, .. } = &sent.ended
        && sent.is_whole()
    {
        first.record(*time);
        if sent.request.completion.is_some() {
            times.iter().for_each(|time| between.record(*time));
        }
    }
}

fn note_second(timeline: &mut [Second], sent: &Sent, fate: Fate, within: bool) {
    let index = usize::try_from(sent.request.at.as_secs()).unwrap_or(usize::MAX);
    let Some(second) = timeline.get_mut(index) else { return };
    let count = match fate {
        Fate::Good => &mut second.good,
        Fate::Refused if !within => &mut second.over_rate,
        Fate::Late => &mut second.late,
        Fate::Refused => &mut second.refused,
        Fate::Broken => &mut second.broken,
    };
    *count += 1;
}

impl Tally {
    fn finish(self, (organisation, route): (Arc<str>, Arc<str>)) -> Row {
        let (first, between) = (self.first.percentiles(), self.between.percentiles());
        let mut row = Row { organisation, route, first, between, ..self.row };
        let mut left = row.in_rate;
        for count in [&mut row.good, &mut row.late, &mut row.broken, &mut row.refused] {
            *count = (*count).min(left);
            left -= *count;
        }
        row
    }
}

fn route<'a>(document: &'a Document, name: &str) -> Option<&'a Route> {
    document.routes.iter().find(|route| route.name.as_ref() == name)
}

fn is_interactive(route: &Route) -> bool {
    route.api.is_model() && !route.may_wait
}

/// Time to the first token on an engine without other load: prefill, transfer, one step.
fn engine_alone(sent: &Sent) -> Duration {
    let engine = engine::Settings::default();
    let tokens = sent.request.completion.map_or(0, |completion| completion.prompt_tokens);
    let transfer = engine.kv_bytes(tokens) as f64 / engine.link_bytes_per_s as f64;
    engine.prefill_time(tokens) + Duration::from_secs_f64(transfer) + engine.step_time(1)
}

/// Output tokens a second of full batches on all decode servers.
fn decode_tokens_per_s(document: &Document) -> f64 {
    let engine = engine::Settings::default();
    let servers = document.pools.iter().flat_map(|pool| &pool.servers);
    let decode = servers.filter(|server| server.role == Role::Decode);
    decode.map(|s| f64::from(s.slots) / engine.step_time(s.slots).as_secs_f64()).sum()
}

fn faults(experiment: &Experiment) -> Vec<(f64, String)> {
    let text = |what| serde_json::to_string(what).unwrap_or_default();
    experiment.faults.iter().map(|fault| (fault.at_s, text(&fault.what))).collect()
}

fn ratio(part: f64, whole: f64, empty: f64) -> f64 {
    if whole > 0.0 { part / whole } else { empty }
}

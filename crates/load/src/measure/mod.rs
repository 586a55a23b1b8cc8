//! Computes the results of a run: goodput and the other measures, latencies and violations.

pub(crate) mod latency;
mod violation;

pub use latency::Percentiles;
pub use violation::Violations;

use crate::experiment::Experiment;
use crate::run::{Outcome, SendResult, SentRequest, record::Engines};
use chestnutrack_document::model::{Document, Role, Route};
use chestnutrack_standin::engine;
use latency::Histogram;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

/// Results of a run. Requests sent during the warm-up are not measured, except where a field says
/// otherwise.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Results {
    /// Name of the experiment.
    pub experiment: Arc<str>,
    /// Seed of the experiment.
    pub seed: u64,
    /// Measured time, in seconds.
    pub measured_s: f64,
    /// Measures of the run.
    pub measures: Measures,
    /// Good in-rate requests and tokens, by organisation.
    pub organisations: BTreeMap<Arc<str>, Share>,
    /// Counts and latencies by organisation and route.
    pub rows: Vec<Row>,
    /// Time to first token of interactive model requests with a complete response, from
    /// organisations within their rates.
    pub first_token: Percentiles,
    /// Time between tokens of the same requests.
    pub between_tokens: Percentiles,
    /// Time to first token that an engine without other load would need, for all interactive model
    /// requests of those organisations.
    pub first_token_unloaded: Percentiles,
    /// Violations of the router's guarantees, the warm-up included.
    pub violations: Violations,
    /// Responses that failed their check, up to a limit.
    pub incidents: Vec<String>,
    /// Counters of the engines, the warm-up included.
    pub engines: Engines,
    /// Calls to the object interface by kind, the warm-up included.
    pub platform_calls: BTreeMap<String, u64>,
    /// Counts by second of the run, the warm-up included.
    pub timeline: Vec<Second>,
    /// Injected faults: the time in seconds and the fault as JSON.
    pub faults: Vec<(f64, String)>,
}

/// Measures of a run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Measures {
    /// Good in-rate requests per second.
    pub goodput_per_s: f64,
    /// Good in-rate requests as a share of those that the engines could have served: all in-rate
    /// requests, or as many as full batches on all decode servers generate, if that is less.
    pub goodput_share: f64,
    /// Refused in-rate requests as a share of all in-rate requests.
    pub in_rate_refusals: f64,
    /// Share of good requests of the worst-served organisation, relative to the mean share.
    pub worst_against_mean: f64,
    /// Prefilled tokens that were never decoded, as a share of all prefilled tokens.
    pub wasted_prefill: f64,
    /// Output tokens of in-rate model requests, relative to what full batches on all decode servers
    /// generate in the measured time.
    pub offered_load: f64,
}

/// Counts of one organisation: its good requests, its requests within its allowance (in-rate), and
/// its tokens.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Share {
    /// In-rate requests.
    pub in_rate: u64,
    /// Good requests, at most as many as are in rate.
    pub good: u64,
    /// Tokens of the requests that were answered, the warm-up included. Refused requests, failed
    /// calls and repetitions are left out.
    pub admitted_tokens: u64,
    /// Tokens that the burst and the rate allow from the start of the load to the first token of
    /// the last answer.
    pub allowed_tokens: u64,
}

impl Share {
    /// Returns the share of good requests; 1 if there were no in-rate requests.
    pub fn value(&self) -> f64 {
        ratio(self.good as f64, self.in_rate as f64, 1.0)
    }
}

/// Counts and latencies of one organisation on one route.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Row {
    /// Organisation.
    pub organisation: Arc<str>,
    /// Name of the route.
    pub route: Arc<str>,
    /// Requests sent, without repetitions.
    pub sent: u64,
    /// Requests within the rate and burst of the organisation, counted over the whole fleet as
    /// requests are sent.
    pub in_rate: u64,
    /// Good requests, at most `in_rate`: those with a complete response, within both latency
    /// targets if interactive, otherwise within their deadline. The router chooses which requests
    /// of an organisation over its rate it admits, so the count doesn't depend on which of them
    /// were in rate.
    pub good: u64,
    /// Requests with a complete but late response, at most `in_rate` minus `good`.
    pub late: u64,
    /// Requests that were neither refused nor got a complete response, at most `in_rate` minus
    /// `good` and `late`.
    pub broken: u64,
    /// Refused requests, at most `in_rate` minus `good`, `late` and `broken`: refusals within the
    /// rate.
    pub refused: u64,
    /// Refusals by code, including those of requests beyond the rate.
    pub codes: BTreeMap<String, u64>,
    /// Requests without a complete response by cause, refusals excluded.
    pub causes: BTreeMap<String, u64>,
    /// Time to first token, or to the first byte of a plain response.
    pub first: Percentiles,
    /// Time between tokens.
    pub between: Percentiles,
}

/// Counts of the requests sent in one second of a run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Second {
    /// Good requests.
    pub good: u32,
    /// Requests with a complete but late response.
    pub late: u32,
    /// Refused requests of organisations within their rates.
    pub refused: u32,
    /// Requests that were neither refused nor got a complete response.
    pub broken: u32,
    /// Refused requests of organisations that send more than their rate.
    pub over_rate: u32,
}

/// Classification of a request by its result.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RequestClass {
    /// Complete response in time.
    Good,
    /// Complete response, but late.
    Late,
    /// Refused with an error code.
    Refused,
    /// Neither refused nor completely answered.
    Broken,
}

/// Counts and latencies of a row while requests are added.
#[derive(Default)]
struct Tally {
    row: Row,
    /// Times to first token.
    first: Histogram,
    /// Times between tokens.
    between: Histogram,
}

/// Computes the results of a run.
pub fn measure(experiment: &Experiment, outcome: &Outcome) -> Results {
    let warm_up = Duration::from_secs_f64(experiment.warm_up_s);
    let mut tallies: BTreeMap<(Arc<str>, Arc<str>), Tally> = BTreeMap::new();
    let (mut first, mut between) = (Histogram::default(), Histogram::default());
    let mut unloaded = Histogram::default();
    let mut timeline = vec![Second::default(); experiment.duration_s.ceil() as usize];
    let (mut output_tokens, mut completions) = (0, 0_u64);
    let over_rate = organisations_over_rate(&outcome.sent);
    for sent in outcome.sent.iter().filter(|sent| !sent.repeated) {
        let Some(route) = route(&outcome.document, &sent.request.route) else { continue };
        let class = classify(&outcome.document, route, sent);
        let is_within_rate = !over_rate.contains(&sent.request.organisation);
        record_second(&mut timeline, sent, class, is_within_rate);
        if sent.request.at < warm_up {
            continue;
        }
        let key = (sent.request.organisation.clone(), sent.request.route.clone());
        record_request(tallies.entry(key).or_default(), sent, class);
        if let Some(completion) = sent.request.completion.filter(|_| sent.request.in_rate) {
            output_tokens += u64::from(completion.output_tokens);
            completions += 1;
        }
        if is_interactive(route) && is_within_rate {
            record_latency(&mut first, &mut between, sent);
            unloaded.record(unloaded_time_to_first_token(sent));
        }
    }
    let rows: Vec<Row> = tallies.into_iter().map(|(key, tally)| tally.into_row(key)).collect();
    let mut organisations = shares(&rows);
    record_tokens(&mut organisations, outcome);
    let measured_s = experiment.duration_s - experiment.warm_up_s;
    let capacity_tokens = decode_tokens_per_s(&outcome.document) * measured_s;
    let load = OfferedLoad { output_tokens, completions, capacity_tokens, measured_s };
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

/// Load that was offered, and the decode capacity of the engines.
struct OfferedLoad {
    output_tokens: u64,
    completions: u64,
    capacity_tokens: f64,
    measured_s: f64,
}

/// Computes the measures of the run from the counts of its rows, its load and the engines'
/// counters.
fn measures(
    rows: &[Row],
    organisations: &BTreeMap<Arc<str>, Share>,
    load: &OfferedLoad,
    engines: &Engines,
) -> Measures {
    let sum = |count: fn(&Row) -> u64| rows.iter().map(count).sum::<u64>() as f64;
    let (in_rate, good) = (sum(|row| row.in_rate), sum(|row| row.good));
    let offered_load = ratio(load.output_tokens as f64, load.capacity_tokens, 0.0);
    let unservable = (load.completions as f64) * (1.0 - 1.0 / offered_load.max(1.0));
    let shares: Vec<f64> = organisations.values().map(Share::value).collect();
    let mean = ratio(shares.iter().sum(), shares.len() as f64, 1.0);
    let worst = shares.iter().copied().fold(f64::INFINITY, f64::min).min(mean);
    let wasted = engines.wasted_prefill_tokens + engines.undecoded_tokens;
    Measures {
        goodput_per_s: ratio(good, load.measured_s, 0.0),
        goodput_share: ratio(good, in_rate - unservable, 1.0),
        in_rate_refusals: ratio(sum(|row| row.refused), in_rate, 0.0),
        worst_against_mean: ratio(worst, mean, 1.0),
        wasted_prefill: ratio(wasted as f64, engines.prefilled_tokens as f64, 0.0),
        offered_load,
    }
}

/// Returns the good and in-rate requests of each organisation, added up over its routes.
fn shares(rows: &[Row]) -> BTreeMap<Arc<str>, Share> {
    let mut shares: BTreeMap<Arc<str>, Share> = BTreeMap::new();
    for row in rows {
        let share = shares.entry(row.organisation.clone()).or_default();
        share.in_rate += row.in_rate;
        share.good += row.good;
    }
    shares
}

/// Returns the organisations that send more than their rate.
fn organisations_over_rate(sent: &[SentRequest]) -> HashSet<Arc<str>> {
    let over_rate = sent.iter().filter(|sent| !sent.request.in_rate);
    over_rate.map(|sent| sent.request.organisation.clone()).collect()
}

/// Records how many tokens each organisation was granted and how many it was allowed. Granted are
/// the tokens of its answered requests. Allowed are its burst and what its rate adds from the start
/// of the load to the first token of its last answer. Repetitions are left out.
fn record_tokens(shares: &mut BTreeMap<Arc<str>, Share>, outcome: &Outcome) {
    for (name, share) in shares {
        let organisations = &outcome.document.organisations;
        let Some(limits) = organisations.iter().find(|defined| defined.name == *name) else {
            continue;
        };
        let own_requests = outcome.sent.iter().filter(|sent| sent.request.organisation == *name);
        let mut last_first_token_at = Duration::ZERO;
        for sent in own_requests.filter(|sent| !sent.repeated) {
            let SendResult::Answered { time_to_first, .. } = &sent.result else { continue };
            share.admitted_tokens += sent.request.tokens;
            last_first_token_at = last_first_token_at.max(sent.request.at + *time_to_first);
        }
        let refilled = last_first_token_at.as_secs_f64() * limits.rate_tokens_per_s as f64;
        share.allowed_tokens = limits.burst_tokens + refilled.ceil() as u64;
    }
}

/// Returns the class of a request. An interactive answer is in time within both latency targets,
/// the time between tokens taken as its mean; any other answer is in time if it began by the
/// route's deadline.
fn classify(document: &Document, route: &Route, sent: &SentRequest) -> RequestClass {
    let SendResult::Answered { time_to_first, token_gaps, .. } = &sent.result else {
        let refused = matches!(sent.result, SendResult::Refused { .. });
        return if refused { RequestClass::Refused } else { RequestClass::Broken };
    };
    if !sent.is_complete() {
        return RequestClass::Broken;
    }
    let targets = document.targets;
    let is_in_time = if is_interactive(route) {
        let sum: Duration = token_gaps.iter().sum();
        let mean = sum / u32::try_from(token_gaps.len().max(1)).unwrap_or(u32::MAX);
        *time_to_first <= Duration::from_millis(targets.first_token_ms)
            && mean <= Duration::from_millis(targets.between_tokens_ms)
    } else {
        *time_to_first <= Duration::from_millis(route.deadline_ms)
    };
    if is_in_time { RequestClass::Good } else { RequestClass::Late }
}

/// Adds a request to the counts of its row, and a complete answer to the latencies.
fn record_request(tally: &mut Tally, sent: &SentRequest, class: RequestClass) {
    let row = &mut tally.row;
    row.sent += 1;
    match &sent.result {
        SendResult::Refused { code, .. } => *row.codes.entry(code.clone()).or_default() += 1,
        SendResult::Broken { reason } => *row.causes.entry(reason.clone()).or_default() += 1,
        SendResult::Answered { verdict, .. } if !sent.is_complete() => {
            *row.causes.entry(verdict.to_string()).or_default() += 1;
        }
        SendResult::Answered { .. } => record_latency(&mut tally.first, &mut tally.between, sent),
    }
    row.in_rate += u64::from(sent.request.in_rate);
    match class {
        RequestClass::Good => row.good += 1,
        RequestClass::Late => row.late += 1,
        RequestClass::Refused => row.refused += 1,
        RequestClass::Broken => row.broken += 1,
    }
}

/// Records the time to first token of a complete answer, and its times between tokens if it is the
/// answer of a model. Other requests are not recorded.
fn record_latency(first: &mut Histogram, between: &mut Histogram, sent: &SentRequest) {
    if let SendResult::Answered { time_to_first: time, token_gaps: gaps, .. } = &sent.result
        && sent.is_complete()
    {
        first.record(*time);
        if sent.request.completion.is_some() {
            gaps.iter().for_each(|gap| between.record(*gap));
        }
    }
}

/// Counts a request in the second in which it was sent.
fn record_second(
    timeline: &mut [Second],
    sent: &SentRequest,
    class: RequestClass,
    is_within_rate: bool,
) {
    let index = usize::try_from(sent.request.at.as_secs()).unwrap_or(usize::MAX);
    let Some(second) = timeline.get_mut(index) else { return };
    let count = match class {
        RequestClass::Good => &mut second.good,
        RequestClass::Refused if !is_within_rate => &mut second.over_rate,
        RequestClass::Late => &mut second.late,
        RequestClass::Refused => &mut second.refused,
        RequestClass::Broken => &mut second.broken,
    };
    *count += 1;
}

impl Tally {
    /// Returns the row, with its classes limited to the in-rate requests in the order good, late,
    /// broken, refused.
    fn into_row(self, (organisation, route): (Arc<str>, Arc<str>)) -> Row {
        let (first, between) = (self.first.percentiles(), self.between.percentiles());
        let mut row = Row { organisation, route, first, between, ..self.row };
        let mut remaining = row.in_rate;
        for count in [&mut row.good, &mut row.late, &mut row.broken, &mut row.refused] {
            *count = (*count).min(remaining);
            remaining -= *count;
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

/// Returns the time to first token on an engine without other load: the prefill, the transfer and
/// one decode step.
fn unloaded_time_to_first_token(sent: &SentRequest) -> Duration {
    let engine = engine::Settings::default();
    let tokens = sent.request.completion.map_or(0, |completion| completion.prompt_tokens);
    let transfer = engine.kv_bytes(tokens) as f64 / engine.link_bytes_per_s as f64;
    engine.prefill_time(tokens) + Duration::from_secs_f64(transfer) + engine.step_time(1)
}

/// Returns the output tokens per second of full batches on all decode servers.
fn decode_tokens_per_s(document: &Document) -> f64 {
    let engine = engine::Settings::default();
    let servers = document.pools.iter().flat_map(|pool| &pool.servers);
    let decode = servers.filter(|server| server.role == Role::Decode);
    decode.map(|s| f64::from(s.slots) / engine.step_time(s.slots).as_secs_f64()).sum()
}

fn faults(experiment: &Experiment) -> Vec<(f64, String)> {
    let text = |what| serde_json::to_string(what).unwrap_or_default();
    experiment.faults.iter().map(|fault| (fault.at_s, text(&fault.kind))).collect()
}

/// Returns `part / whole`, or `if_empty` if `whole` is not positive.
fn ratio(part: f64, whole: f64, if_empty: f64) -> f64 {
    if whole > 0.0 { part / whole } else { if_empty }
}

//! Plans the requests of an experiment and their times before the first one is sent.

use super::bucket::Bucket;
use super::{Experiment, Range, Stream};
use chestnutrack_document::model::{Api, Document, Route};
use chestnutrack_harness::caller::Call;
use chestnutrack_standin::answer;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::json;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

/// Text that prompts are padded with. Each token has [`TOKEN_BYTES`] bytes.
const PROMPT_FILLER: &str = "rye. jam. oat. fig. plum pear milk eggs kale corn ";
/// Size of a token, in bytes.
const TOKEN_BYTES: usize = 4;
/// Range of the time from a request to its repetition, in milliseconds.
const REPEAT_DELAY_MS: Range = Range { min: 5, max: 2_000 };

/// A request that has been planned but not sent.
#[derive(Clone, Debug)]
pub struct PlannedRequest {
    /// Time at which the request is sent, from the start of the load.
    pub at: Duration,
    /// Index of the stream.
    pub stream: usize,
    /// Identifier of the request, unique in the experiment.
    pub id: Arc<str>,
    /// Organisation that sends the request.
    pub organisation: Arc<str>,
    /// Name of the route.
    pub route: Arc<str>,
    /// Prompt and output, for model routes.
    pub completion: Option<Completion>,
    /// Number of the requested item, for plain routes. It replaces the `*` at the end of the
    /// route's path.
    pub item: u32,
    /// Tokens that the request costs its organisation.
    pub tokens: u64,
    /// Whether the request is within the rate and burst of its organisation, counted over the whole
    /// fleet as requests are sent.
    pub in_rate: bool,
    /// Delay after which the request is sent again with the same idempotency key, if it is.
    pub repeat_after: Option<Duration>,
}

/// Prompt and output of a model request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Completion {
    /// Number of the shared prefix.
    pub shared_prefix: u32,
    /// Length of the shared prefix, in tokens.
    pub shared_tokens: u32,
    /// Length of the prompt, in tokens.
    pub prompt_tokens: u32,
    /// Length of the output, in tokens.
    pub output_tokens: u32,
}

/// Plans all requests of an experiment and returns them in the order in which they are sent.
pub fn schedule(experiment: &Experiment, document: &Document) -> Vec<PlannedRequest> {
    let mut planned = Vec::new();
    for (index, stream) in experiment.streams.iter().enumerate() {
        let Some(route) = document.routes.iter().find(|route| route.name == stream.route) else {
            continue;
        };
        for organisation in &stream.organisations {
            let mut rng = stream_rng(experiment.seed, &stream.name, organisation);
            let arrival_times = arrivals(stream, experiment.duration_s, &mut rng);
            for (number, at) in arrival_times.into_iter().enumerate() {
                let id = format!("{}-{organisation}-{number}", stream.name);
                planned.push(plan_request(index, stream, route, organisation, id, at, &mut rng));
            }
        }
    }
    planned.sort_by(|a, b| (a.at, &a.id).cmp(&(b.at, &b.id)));
    mark_in_rate(&mut planned, document);
    planned
}

/// Returns the random number generator for a stream and organisation. Each pair has its own, so
/// that a change of one stream leaves the requests of the others unchanged.
fn stream_rng(seed: u64, stream: &str, organisation: &str) -> ChaCha8Rng {
    let mut bytes = [0; 32];
    bytes[..8].copy_from_slice(&seed.to_le_bytes());
    for (index, byte) in stream.bytes().chain([0]).chain(organisation.bytes()).enumerate() {
        let slot = &mut bytes[8 + index % 24];
        *slot = slot.rotate_left(3) ^ byte;
    }
    ChaCha8Rng::from_seed(bytes)
}

/// Returns the times of a Poisson process whose rate follows the bursts of the stream. Arrivals are
/// drawn at the highest rate and thinned to the rate at their time.
fn arrivals(stream: &Stream, duration_s: f64, rng: &mut ChaCha8Rng) -> Vec<Duration> {
    let rate_factor = |at: f64| {
        let active = stream.rushes.iter().filter(|burst| (burst.from_s..burst.to_s).contains(&at));
        active.map(|burst| burst.times).fold(1.0, f64::max)
    };
    let max_factor = stream.rushes.iter().map(|burst| burst.times).fold(1.0, f64::max);
    let mut arrivals = Vec::new();
    let mut at = 0.0;
    loop {
        let uniform: f64 = rng.random_range(f64::MIN_POSITIVE..1.0);
        at -= uniform.ln() / (stream.rate_per_s * max_factor);
        if at >= duration_s {
            return arrivals;
        }
        if rng.random_range(0.0..max_factor) < rate_factor(at) {
            arrivals.push(Duration::from_secs_f64(at));
        }
    }
}

/// Plans one request of a stream: draws its lengths, item and repetition, and counts its tokens.
/// Whether it is in rate is marked later, by [`mark_in_rate`].
fn plan_request(
    index: usize,
    stream: &Stream,
    route: &Route,
    organisation: &Arc<str>,
    id: String,
    at: Duration,
    rng: &mut ChaCha8Rng,
) -> PlannedRequest {
    let mut sample = |range: Range| rng.random_range(range.min..=range.max);
    let completion = route.api.is_model().then(|| Completion {
        shared_prefix: sample(Range { min: 0, max: stream.shared_starts.max(1) - 1 }),
        shared_tokens: stream.shared_tokens,
        prompt_tokens: sample(stream.prompt_tokens),
        output_tokens: sample(stream.output_tokens),
    });
    let item = sample(Range { min: 0, max: stream.items.max(1) - 1 });
    let repeats = sample(Range { min: 0, max: 999 }) < stream.repeated_per_mille;
    let repeat_after = Duration::from_millis(u64::from(sample(REPEAT_DELAY_MS)));
    let mut planned = PlannedRequest {
        at,
        stream: index,
        id: id.into(),
        organisation: organisation.clone(),
        route: route.name.clone(),
        completion,
        item,
        tokens: route.cost_tokens,
        in_rate: false,
        repeat_after: repeats.then_some(repeat_after),
    };
    if let Some(completion) = completion {
        let prompt = prompt_tokens(&planned.prompt(route.api));
        planned.tokens = prompt + u64::from(completion.output_tokens);
    }
    planned
}

fn prompt_tokens(prompt: &str) -> u64 {
    prompt.len().div_ceil(TOKEN_BYTES) as u64
}

/// Marks the requests that the allowance of their organisation covers, its rate and burst, when all
/// entry hosts are counted together. Requests of an organisation that the document doesn't list are
/// marked too.
fn mark_in_rate(planned: &mut [PlannedRequest], document: &Document) {
    let bucket = |organisation: &chestnutrack_document::model::Organisation| {
        let bucket = Bucket::new(organisation.rate_tokens_per_s, organisation.burst_tokens);
        (organisation.name.clone(), bucket)
    };
    let mut buckets: HashMap<Arc<str>, Bucket> =
        document.organisations.iter().map(bucket).collect();
    for request in planned {
        let bucket = buckets.get_mut(&request.organisation);
        request.in_rate = bucket.is_none_or(|bucket| bucket.try_take(request.at, request.tokens));
    }
}

impl PlannedRequest {
    /// Returns the text that the caller sends.
    fn user_text(&self) -> String {
        let Some(completion) = self.completion else {
            return String::new();
        };
        let shared_bytes = byte_length(completion.shared_tokens);
        let prompt_bytes = byte_length(completion.prompt_tokens);
        let mut text = format!("{} start {}. ", self.organisation, completion.shared_prefix);
        pad(&mut text, shared_bytes);
        text.push_str(&self.id);
        text.push_str(". ");
        pad(&mut text, prompt_bytes);
        text
    }

    /// Returns the prompt that the engine receives.
    pub fn prompt(&self, api: Api) -> String {
        match api {
            Api::Chat => format!("user: {}\nassistant: ", self.user_text()),
            _ => self.user_text(),
        }
    }

    /// Returns the complete text that the stand-in engine generates for the request.
    pub fn expected_answer(&self, api: Api) -> String {
        let tokens = self.completion.map_or(0, |completion| completion.output_tokens);
        answer::full_text(&self.prompt(api), tokens)
    }

    /// Returns the request target of a plain call.
    pub fn target(&self, route: &Route) -> String {
        let path = match route.path.strip_suffix('*') {
            Some(start) => format!("{start}{}", self.item),
            None => route.path.to_string(),
        };
        format!("{path}?request={}", self.id)
    }

    /// Returns the HTTP call for the request.
    pub fn call(&self, route: &Route, key: &str) -> Call {
        let content_type = ("content-type".to_owned(), "application/json".to_owned());
        let mut call = Call {
            method: if route.method.as_ref() == "POST" { "POST" } else { "GET" },
            target: if route.api.is_model() { route.path.to_string() } else { self.target(route) },
            key: (!route.open).then(|| key.to_owned()),
            ..Call::default()
        };
        if call.method == "GET" {
            return call;
        }
        call.headers.push(content_type);
        if route.once {
            call.headers.push(("idempotency-key".to_owned(), self.id.to_string()));
        }
        call.body = self.json_body(route).to_string().into_bytes();
        call
    }

    /// Returns the JSON body: of a completion or chat for model routes, otherwise the request's
    /// identifier and an amount derived from its item.
    fn json_body(&self, route: &Route) -> serde_json::Value {
        let Some(completion) = self.completion else {
            return json!({ "request": self.id, "amount": 1 + self.item });
        };
        let mut body = json!({
            "model": route.model,
            "max_tokens": completion.output_tokens,
            "stream": true,
        });
        match route.api {
            Api::Chat => {
                body["messages"] = json!([{ "role": "user", "content": self.user_text() }]);
            }
            _ => body["prompt"] = json!(self.user_text()),
        }
        body
    }
}

fn byte_length(tokens: u32) -> usize {
    usize::try_from(tokens).unwrap_or(usize::MAX).saturating_mul(TOKEN_BYTES)
}

/// Pads a text to a length in bytes.
fn pad(text: &mut String, length: usize) {
    let missing = length.saturating_sub(text.len());
    text.extend(PROMPT_FILLER.chars().cycle().take(missing));
}

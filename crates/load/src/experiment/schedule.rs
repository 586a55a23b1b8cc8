//! When each request is sent, and what it is: fixed before the first one is sent.

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

/// Text that prompts are filled with; four bytes are one token.
const FILLER: &str = "rye. jam. oat. fig. plum pear milk eggs kale corn ";
/// Bytes of a token.
const TOKEN_BYTES: usize = 4;
/// Part of the time between a request's arrival and its repetition, in milliseconds.
const REPEAT_AFTER_MS: Range = Range { min: 5, max: 2_000 };

/// One request, before it is sent.
#[derive(Clone, Debug)]
pub struct Planned {
    /// When it is sent, from the start of the load.
    pub at: Duration,
    /// Number of its stream.
    pub stream: usize,
    /// Identifier within the experiment.
    pub id: Arc<str>,
    /// Organisation.
    pub organisation: Arc<str>,
    /// Route.
    pub route: Arc<str>,
    /// Prompt and answer, for model routes.
    pub completion: Option<Completion>,
    /// Item, for plain routes.
    pub item: u32,
    /// Tokens that it is debited.
    pub tokens: u64,
    /// Whether a token bucket over the whole fleet, at the caller, would admit it.
    pub in_rate: bool,
    /// When it is sent again under its idempotency key, counted from the first time.
    pub repeat: Option<Duration>,
}

/// Prompt and answer of a model request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Completion {
    /// Number of the shared start.
    pub start: u32,
    /// Length of the shared start, in tokens.
    pub shared_tokens: u32,
    /// Length of the prompt, in tokens.
    pub prompt_tokens: u32,
    /// Length of the answer, in tokens.
    pub output_tokens: u32,
}

/// All requests of an experiment, in the order in which they are sent.
pub fn schedule(experiment: &Experiment, document: &Document) -> Vec<Planned> {
    let mut planned = Vec::new();
    for (index, stream) in experiment.streams.iter().enumerate() {
        let Some(route) = document.routes.iter().find(|route| route.name == stream.route) else {
            continue;
        };
        for organisation in &stream.organisations {
            let mut random = random(experiment.seed, &stream.name, organisation);
            let times = arrivals(stream, experiment.duration_s, &mut random);
            for (number, at) in times.into_iter().enumerate() {
                let id = format!("{}-{organisation}-{number}", stream.name);
                planned.push(request(index, stream, route, organisation, id, at, &mut random));
            }
        }
    }
    planned.sort_by(|a, b| (a.at, &a.id).cmp(&(b.at, &b.id)));
    mark_in_rate(&mut planned, document);
    planned
}

/// A generator of its own for each stream and organisation, so that a change of one leaves the
/// others as they were.
fn random(seed: u64, stream: &str, organisation: &str) -> ChaCha8Rng {
    let mut bytes = [0; 32];
    bytes[..8].copy_from_slice(&seed.to_le_bytes());
    for (index, byte) in stream.bytes().chain([0]).chain(organisation.bytes()).enumerate() {
        let place = &mut bytes[8 + index % 24];
        *place = place.rotate_left(3) ^ byte;
    }
    ChaCha8Rng::from_seed(bytes)
}

/// Poisson arrivals whose rate follows the stream's rushes.
fn arrivals(stream: &Stream, duration_s: f64, random: &mut ChaCha8Rng) -> Vec<Duration> {
    let times = |at: f64| {
        let rushes = stream.rushes.iter().filter(|rush| (rush.from_s..rush.to_s).contains(&at));
        rushes.map(|rush| rush.times).fold(1.0, f64::max)
    };
    let highest = stream.rushes.iter().map(|rush| rush.times).fold(1.0, f64::max);
    let mut arrivals = Vec::new();
    let mut at = 0.0;
    loop {
        let uniform: f64 = random.random_range(f64::MIN_POSITIVE..1.0);
        at -= uniform.ln() / (stream.rate_per_s * highest);
        if at >= duration_s {
            return arrivals;
        }
        if random.random_range(0.0..highest) < times(at) {
            arrivals.push(Duration::from_secs_f64(at));
        }
    }
}

fn request(
    index: usize,
    stream: &Stream,
    route: &Route,
    organisation: &Arc<str>,
    id: String,
    at: Duration,
    random: &mut ChaCha8Rng,
) -> Planned {
    let mut between = |range: Range| random.random_range(range.min..=range.max);
    let completion = route.api.is_model().then(|| Completion {
        start: between(Range { min: 0, max: stream.shared_starts.max(1) - 1 }),
        shared_tokens: stream.shared_tokens,
        prompt_tokens: between(stream.prompt_tokens),
        output_tokens: between(stream.output_tokens),
    });
    let item = between(Range { min: 0, max: stream.items.max(1) - 1 });
    let repeats = between(Range { min: 0, max: 999 }) < stream.repeated_per_mille;
    let after = Duration::from_millis(u64::from(between(REPEAT_AFTER_MS)));
    let mut planned = Planned {
        at,
        stream: index,
        id: id.into(),
        organisation: organisation.clone(),
        route: route.name.clone(),
        completion,
        item,
        tokens: route.cost_tokens,
        in_rate: false,
        repeat: repeats.then_some(after),
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

fn mark_in_rate(planned: &mut [Planned], document: &Document) {
    let bucket = |organisation: &chestnutrack_document::model::Organisation| {
        let bucket = Bucket::new(organisation.rate_tokens_per_s, organisation.burst_tokens);
        (organisation.name.clone(), bucket)
    };
    let mut buckets: HashMap<Arc<str>, Bucket> =
        document.organisations.iter().map(bucket).collect();
    for request in planned {
        let bucket = buckets.get_mut(&request.organisation);
        request.in_rate = bucket.is_none_or(|bucket| bucket.take(request.at, request.tokens));
    }
}

impl Planned {
    /// The text that a caller sends.
    fn text(&self) -> String {
        let Some(completion) = self.completion else {
            return String::new();
        };
        let shared = bytes(completion.shared_tokens);
        let whole = bytes(completion.prompt_tokens);
        let mut text = format!("{} start {}. ", self.organisation, completion.start);
        fill(&mut text, shared);
        text.push_str(&self.id);
        text.push_str(". ");
        fill(&mut text, whole);
        text
    }

    /// The prompt that the engine gets.
    pub fn prompt(&self, api: Api) -> String {
        match api {
            Api::Chat => format!("user: {}\nassistant: ", self.text()),
            _ => self.text(),
        }
    }

    /// The text of the whole answer.
    pub fn answer(&self, api: Api) -> String {
        let tokens = self.completion.map_or(0, |completion| completion.output_tokens);
        answer::full_text(&self.prompt(api), tokens)
    }

    /// Target of a plain call.
    pub fn target(&self, route: &Route) -> String {
        let path = match route.path.strip_suffix('*') {
            Some(start) => format!("{start}{}", self.item),
            None => route.path.to_string(),
        };
        format!("{path}?request={}", self.id)
    }

    /// The call.
    pub fn call(&self, route: &Route, key: &str) -> Call {
        let json_body = ("content-type".to_owned(), "application/json".to_owned());
        let mut call = Call {
            method: if route.method.as_ref() == "POST" { "POST" } else { "GET" },
            target: if route.api.is_model() { route.path.to_string() } else { self.target(route) },
            key: (!route.open).then(|| key.to_owned()),
            ..Call::default()
        };
        if call.method == "GET" {
            return call;
        }
        call.headers.push(json_body);
        if route.once {
            call.headers.push(("idempotency-key".to_owned(), self.id.to_string()));
        }
        call.body = self.body(route).to_string().into_bytes();
        call
    }

    fn body(&self, route: &Route) -> serde_json::Value {
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
                body["messages"] = json!([{ "role": "user", "content": self.text() }]);
            }
            _ => body["prompt"] = json!(self.text()),
        }
        body
    }
}

fn bytes(tokens: u32) -> usize {
    usize::try_from(tokens).unwrap_or(usize::MAX).saturating_mul(TOKEN_BYTES)
}

/// Fills a text up to a length.
fn fill(text: &mut String, length: usize) {
    let missing = length.saturating_sub(text.len());
    text.extend(FILLER.chars().cycle().take(missing));
}

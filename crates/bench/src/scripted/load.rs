//! Generates the arrivals of a run before it starts, as Poisson processes with fixed seeds. A token
//! bucket for each organisation marks the requests within its rate and burst (in-rate); only those
//! are simulated.

use super::engine::capacity_per_s;
use super::settings::Settings;
use chestnutrack_core::time::Instant;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::sync::Arc;
use std::time::Duration;

/// Shortest and longest prompt, in tokens.
const PROMPT_TOKENS: (f64, f64) = (20.0, 16_000.0);
/// Shortest and longest output, in tokens.
const OUTPUT_TOKENS: (f64, f64) = (4.0, 1_000.0);
/// Burst of an organisation, in seconds of its rate.
const BURST_SECONDS: f64 = 4.0;

/// One request of a scripted run.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// Time of arrival.
    pub at: Instant,
    /// Index of the entry host that receives the request.
    pub entry: usize,
    /// Index of the organisation that sends the request.
    pub organisation: usize,
    /// Length of the prompt, in tokens.
    pub prompt_tokens: u32,
    /// Length of the output, in tokens.
    pub output_tokens: u32,
    /// Whether the rate and burst of its organisation cover the request.
    pub in_rate: bool,
}

/// Returns the names of the organisations.
pub fn organisations(settings: &Settings) -> Vec<Arc<str>> {
    (0..settings.organisations).map(|number| format!("organisation-{number}").into()).collect()
}

/// Generates the arrivals of all organisations, in order of time. The first organisation sends
/// `excess_factor` times its rate, the others 95% of theirs.
pub fn draw_arrivals(settings: &Settings) -> Vec<Arrival> {
    let rate_per_s = capacity_per_s(settings) * settings.offered / settings.organisations as f64;
    let mut arrivals = Vec::new();
    for organisation in 0..settings.organisations {
        let sent_per_s =
            if organisation == 0 { rate_per_s * settings.excess_factor } else { rate_per_s * 0.95 };
        let seed = settings.seed * 1_000 + organisation as u64;
        arrivals.extend(draw_organisation(settings, organisation, sent_per_s, rate_per_s, seed));
    }
    arrivals.sort_by_key(|arrival| arrival.at);
    arrivals
}

/// Generates the arrivals of one organisation, in order of time. It sends `sent_per_s` requests per
/// second; `rate_per_s` is its allowed rate.
fn draw_organisation(
    settings: &Settings,
    organisation: usize,
    sent_per_s: f64,
    rate_per_s: f64,
    seed: u64,
) -> Vec<Arrival> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut bucket = Bucket::new(rate_per_s * (settings.prompt_tokens + settings.output_tokens));
    let mut arrivals = Vec::new();
    let mut at = Instant::default();
    loop {
        at = at + Duration::from_secs_f64(exponential(&mut rng, 1.0 / sent_per_s));
        if at.since(Instant::default()) > settings.arrival_period {
            return arrivals;
        }
        let prompt = exponential(&mut rng, settings.prompt_tokens);
        let output = exponential(&mut rng, settings.output_tokens);
        let prompt_tokens = prompt.clamp(PROMPT_TOKENS.0, PROMPT_TOKENS.1) as u32;
        let output_tokens = output.clamp(OUTPUT_TOKENS.0, OUTPUT_TOKENS.1) as u32;
        arrivals.push(Arrival {
            at,
            entry: rng.random_range(0..settings.entry_hosts),
            organisation,
            prompt_tokens,
            output_tokens,
            in_rate: bucket.try_take(at, f64::from(prompt_tokens + output_tokens)),
        });
    }
}

/// Draws a value from the exponential distribution with this mean.
fn exponential(rng: &mut ChaCha8Rng, mean: f64) -> f64 {
    -mean * (1.0 - rng.random::<f64>()).ln()
}

/// A token bucket that counts the requests of an organisation at all entry hosts. It starts full,
/// with [`BURST_SECONDS`] of its rate.
struct Bucket {
    tokens_per_s: f64,
    tokens: f64,
    refilled_at: Instant,
}

impl Bucket {
    /// Creates a full bucket.
    fn new(tokens_per_s: f64) -> Bucket {
        Bucket {
            tokens_per_s,
            tokens: tokens_per_s * BURST_SECONDS,
            refilled_at: Instant::default(),
        }
    }

    /// Removes `tokens` and returns `true`, or returns `false` if the bucket holds fewer at time
    /// `now`.
    fn try_take(&mut self, now: Instant, tokens: f64) -> bool {
        let refilled = self.tokens_per_s * now.since(self.refilled_at).as_secs_f64();
        self.tokens = (self.tokens + refilled).min(self.tokens_per_s * BURST_SECONDS);
        self.refilled_at = now;
        let is_covered = self.tokens >= tokens;
        if is_covered {
            self.tokens -= tokens;
        }
        is_covered
    }
}

//! Computes the measures of a run from the outcomes of its requests.

use super::settings::Settings;
use chestnutrack_core::time::Instant;
use serde::Serialize;
use std::time::Duration;

/// Outcome of one request.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// Index of the organisation that sent the request.
    pub organisation: usize,
    /// Time of arrival.
    pub arrived: Instant,
    /// Time at which the first token reached the entry host.
    pub first_token_at: Option<Instant>,
    /// Time at which the last token so far reached the entry host.
    pub last_token_at: Option<Instant>,
    /// Tokens that reached the entry host.
    pub tokens: u32,
    /// Whether the response is complete.
    pub is_complete: bool,
    /// Whether the request was refused without having run.
    pub is_refused: bool,
}

impl Outcome {
    fn is_good(&self, settings: &Settings) -> bool {
        let (true, Some(first), Some(last)) =
            (self.is_complete, self.first_token_at, self.last_token_at)
        else {
            return false;
        };
        let gaps = u64::from(self.tokens.saturating_sub(1)).max(1);
        let mean_gap = Duration::from_micros(last.since(first).as_micros() as u64 / gaps);
        first.since(self.arrived) <= settings.first_token_target
            && mean_gap <= settings.between_tokens_target
    }
}

/// Measures of a run.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Measures {
    /// Measured requests: in-rate requests that arrived after the warm-up.
    pub requests: usize,
    /// Goodput: requests with a complete response within both latency targets, in thousandths of
    /// the measured requests.
    pub good_per_mille: f64,
    /// Refused requests, in thousandths of the measured requests.
    pub refused_per_mille: f64,
    /// Requests with a complete response, in time or not, in thousandths of the measured requests.
    pub whole_per_mille: f64,
    /// Goodput of the worst-served organisation, in thousandths of the overall goodput.
    pub worst_per_mille: f64,
    /// Prompt tokens that were prefilled but never decoded, in thousandths of all prefilled tokens.
    pub wasted_per_mille: f64,
    /// Median time to first token, in milliseconds.
    pub first_token_ms_p50: f64,
    /// 95th percentile of the time to first token, in milliseconds.
    pub first_token_ms_p95: f64,
    /// 99th percentile of the time to first token, in milliseconds.
    pub first_token_ms_p99: f64,
    /// Placement frames per admission. Token frames, heartbeats and handshakes are excluded.
    pub frames_per_request: f64,
    /// Bytes of placement frames per admission.
    pub bytes_per_request: f64,
    /// Reservations requested per admission.
    pub reserves_per_request: f64,
}

/// Counters of a run, the warm-up included.
#[derive(Clone, Debug, Default)]
pub struct Counts {
    /// Prompt tokens prefilled.
    pub prefilled_tokens: u64,
    /// Prompt tokens of the requests whose decoding began.
    pub decoded_prompt_tokens: u64,
    /// Placement frames sent.
    pub frames: u64,
    /// Bytes of the placement frames.
    pub bytes: u64,
    /// Reservations requested.
    pub reserves: u64,
    /// Admissions from the queues. A request that is requeued counts each time it is admitted.
    pub placed: u64,
}

/// Computes the measures from the outcomes of all requests and the counters.
pub fn summarize(settings: &Settings, outcomes: &[Outcome], counts: &Counts) -> Measures {
    let measured: Vec<&Outcome> = outcomes
        .iter()
        .filter(|outcome| outcome.arrived.since(Instant::default()) >= settings.warm_up)
        .collect();
    let good = |outcome: &&&Outcome| outcome.is_good(settings);
    let share = |count: usize, total: usize| 1_000.0 * count as f64 / total.max(1) as f64;
    let organisation_good_per_mille = |number: usize| {
        let outcomes: Vec<&&Outcome> =
            measured.iter().filter(|outcome| outcome.organisation == number).collect();
        share(outcomes.iter().filter(|outcome| outcome.is_good(settings)).count(), outcomes.len())
    };
    let good_per_mille = share(measured.iter().filter(good).count(), measured.len());
    let worst =
        (0..settings.organisations).map(organisation_good_per_mille).fold(f64::MAX, f64::min);
    let mut first_token_ms: Vec<f64> = measured
        .iter()
        .filter_map(|outcome| {
            Some(outcome.first_token_at?.since(outcome.arrived).as_secs_f64() * 1e3)
        })
        .collect();
    first_token_ms.sort_by(f64::total_cmp);
    let per_request = |count: u64| count as f64 / counts.placed.max(1) as f64;
    Measures {
        requests: measured.len(),
        good_per_mille,
        refused_per_mille: share(measured.iter().filter(|o| o.is_refused).count(), measured.len()),
        whole_per_mille: share(measured.iter().filter(|o| o.is_complete).count(), measured.len()),
        worst_per_mille: 1_000.0 * worst / good_per_mille.max(f64::MIN_POSITIVE),
        wasted_per_mille: share(
            (counts.prefilled_tokens - counts.decoded_prompt_tokens.min(counts.prefilled_tokens))
                as usize,
            counts.prefilled_tokens as usize,
        ),
        first_token_ms_p50: percentile(&first_token_ms, 0.50),
        first_token_ms_p95: percentile(&first_token_ms, 0.95),
        first_token_ms_p99: percentile(&first_token_ms, 0.99),
        frames_per_request: per_request(counts.frames),
        bytes_per_request: per_request(counts.bytes),
        reserves_per_request: per_request(counts.reserves),
    }
}

fn percentile(sorted: &[f64], quantile: f64) -> f64 {
    let index = (sorted.len().saturating_sub(1) as f64 * quantile).round() as usize;
    sorted.get(index).copied().unwrap_or_default()
}

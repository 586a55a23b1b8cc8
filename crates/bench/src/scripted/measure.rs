//! The four measures of a run.

use super::settings::Settings;
use chestnutrack_core::time::Instant;
use serde::Serialize;
use std::time::Duration;

/// How one request went.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// Organisation, by number.
    pub organisation: usize,
    /// When it arrived.
    pub arrived: Instant,
    /// When its first token reached the entry host.
    pub first_token_at: Option<Instant>,
    /// When its last token reached the entry host.
    pub last_token_at: Option<Instant>,
    /// Tokens that reached the entry host.
    pub tokens: u32,
    /// Whether the answer is whole.
    pub is_complete: bool,
    /// Whether it was refused, as not run.
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

/// The four measures, and what else a run counts.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Measures {
    /// In-rate requests measured.
    pub requests: usize,
    /// Of them, answered whole within both targets, in thousandths.
    pub good_per_mille: f64,
    /// Of them, refused, in thousandths.
    pub refused_per_mille: f64,
    /// Of them, answered whole at all, in thousandths.
    pub whole_per_mille: f64,
    /// The worst-served organisation's part of good requests, beside the mean, in thousandths.
    pub worst_per_mille: f64,
    /// Prefilled tokens that were never decoded, of all prefilled tokens, in thousandths.
    pub wasted_per_mille: f64,
    /// Median time to the first token, in milliseconds.
    pub first_token_ms_p50: f64,
    /// 95th percentile of the time to the first token, in milliseconds.
    pub first_token_ms_p95: f64,
    /// 99th percentile of the time to the first token, in milliseconds.
    pub first_token_ms_p99: f64,
    /// Frames of placement for each request, tokens and heartbeats left out.
    pub frames_per_request: f64,
    /// Bytes of those frames for each request.
    pub bytes_per_request: f64,
    /// Reservations asked for, for each request.
    pub reserves_per_request: f64,
}

/// Counts of a run.
#[derive(Clone, Debug, Default)]
pub struct Counts {
    /// Prompt tokens prefilled.
    pub prefilled_tokens: u64,
    /// Prompt tokens whose decoding began.
    pub decoded_prompt_tokens: u64,
    /// Frames of placement.
    pub frames: u64,
    /// Bytes of those frames.
    pub bytes: u64,
    /// Reservations asked for.
    pub reserves: u64,
    /// Requests that were placed at least once.
    pub placed: u64,
}

/// Sums a run up.
pub fn summarize(settings: &Settings, outcomes: &[Outcome], counts: &Counts) -> Measures {
    let measured: Vec<&Outcome> = outcomes
        .iter()
        .filter(|outcome| outcome.arrived.since(Instant::default()) >= settings.warm_up)
        .collect();
    let good = |outcome: &&&Outcome| outcome.is_good(settings);
    let share = |count: usize, total: usize| 1_000.0 * count as f64 / total.max(1) as f64;
    let of_organisation = |number: usize| {
        let outcomes: Vec<&&Outcome> =
            measured.iter().filter(|outcome| outcome.organisation == number).collect();
        share(outcomes.iter().filter(|outcome| outcome.is_good(settings)).count(), outcomes.len())
    };
    let good_per_mille = share(measured.iter().filter(good).count(), measured.len());
    let worst = (0..settings.organisations).map(of_organisation).fold(f64::MAX, f64::min);
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

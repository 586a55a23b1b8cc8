//! Estimates of the server's speed, from measurements.

use super::Settings;
use crate::time::Instant;
use std::time::Duration;

/// Weight of the newest sample in the moving average is `1 / SMOOTHING`.
const SMOOTHING: u64 = 8;

/// Smallest prefill that is measured, in tokens. In smaller ones, the fixed cost of an order
/// outweighs the time per token.
const MEASURED_TOKENS_MIN: u64 = 512;

/// Moving averages of the server's speed.
#[derive(Clone, Copy, Debug)]
pub(super) struct Estimates {
    /// Time between tokens, in microseconds.
    token_micros: u64,
    /// Time to prefill a token, in nanoseconds.
    prefill_nanos: u64,
    /// Size of a KV cache, in bytes per token.
    kv_bytes_per_token: u64,
    /// When the last prefill ended.
    prefill_end: Instant,
    /// Time between two slots becoming free while all are occupied, in microseconds; `None` before
    /// the first measurement.
    release_micros: Option<u64>,
    /// When all slots became occupied, or when a slot last became free while they were; `None`
    /// while a slot is free.
    full_since: Option<Instant>,
    /// Occupied slots after the last assignment.
    slots_in_use: u32,
}

impl Estimates {
    /// Creates the estimates with the values that are assumed until something is measured.
    pub(super) fn new(settings: &Settings) -> Estimates {
        Estimates {
            token_micros: u64::try_from(settings.token_time.as_micros()).unwrap_or(u64::MAX),
            prefill_nanos: 1_000_000_000 / settings.prefill_tokens_per_s.max(1),
            kv_bytes_per_token: settings.kv_bytes_per_token,
            prefill_end: Instant::default(),
            release_micros: None,
            full_since: None,
            slots_in_use: 0,
        }
    }

    /// Records the time between two tokens of an answer.
    pub(super) fn record_token_time(&mut self, elapsed: Duration) {
        let micros = u64::try_from(elapsed.as_micros()).unwrap_or(u64::MAX);
        self.token_micros = smooth(self.token_micros, micros);
    }

    /// Measures a prefill that was ordered at `since`. Time spent waiting for the previous prefill
    /// is not counted.
    pub(super) fn record_prefill(&mut self, now: Instant, tokens: u64, since: Instant) {
        let elapsed = now.since(since.max(self.prefill_end));
        self.prefill_end = now;
        if tokens < MEASURED_TOKENS_MIN {
            return;
        }
        let nanos = u64::try_from(elapsed.as_nanos()).unwrap_or(u64::MAX);
        if let Some(per_token) = nanos.checked_div(tokens) {
            self.prefill_nanos = smooth(self.prefill_nanos, per_token);
        }
    }

    /// Records the size of a KV cache that is about to be transferred.
    pub(super) fn record_kv_size(&mut self, tokens: u32, bytes: u64) {
        if let Some(per_token) =
            bytes.checked_div(u64::from(tokens)).filter(|per_token| *per_token > 0)
        {
            self.kv_bytes_per_token = smooth(self.kv_bytes_per_token, per_token);
        }
    }

    /// Returns the expected size of a KV cache, in bytes.
    pub(super) fn kv_bytes(&self, tokens: u32) -> u64 {
        self.kv_bytes_per_token.saturating_mul(u64::from(tokens))
    }

    /// Measures the rate at which slots have become free since the last assignment, while all were
    /// occupied.
    pub(super) fn record_releases(&mut self, now: Instant, slots_in_use: u32) {
        let released = u64::from(self.slots_in_use.saturating_sub(slots_in_use));
        let Some(since) = self.full_since.filter(|_| released > 0) else { return };
        let micros = u64::try_from(now.since(since).as_micros()).unwrap_or(u64::MAX) / released;
        self.release_micros =
            Some(self.release_micros.map_or(micros, |previous| smooth(previous, micros)));
        self.full_since = Some(now);
    }

    /// Records the number of occupied slots after an assignment.
    pub(super) fn record_assignment(&mut self, now: Instant, slots_in_use: u32, slots: u32) {
        self.slots_in_use = slots_in_use;
        if slots_in_use < slots {
            self.full_since = None;
        } else {
            self.full_since.get_or_insert(now);
        }
    }

    /// Returns the expected time until that many slots have become free, or `None` if the rate was
    /// not measured yet.
    pub(super) fn release_time(&self, slots: u64) -> Option<Duration> {
        self.release_micros.map(|micros| Duration::from_micros(micros.saturating_mul(slots)))
    }

    /// Returns the expected time to generate `tokens` tokens.
    pub(super) fn decode_time(&self, tokens: u64) -> Duration {
        Duration::from_micros(self.token_micros.saturating_mul(tokens))
    }

    /// Returns the expected time to prefill `tokens` tokens.
    pub(super) fn prefill_time(&self, tokens: u64) -> Duration {
        Duration::from_nanos(self.prefill_nanos.saturating_mul(tokens))
    }
}

/// Returns the moving average with a new sample.
fn smooth(previous: u64, sample: u64) -> u64 {
    (previous * (SMOOTHING - 1) + sample) / SMOOTHING
}

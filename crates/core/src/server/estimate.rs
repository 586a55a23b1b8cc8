//! Measured speeds of the server.

use super::Settings;
use crate::time::Instant;
use std::time::Duration;

/// Weight of the newest measurement: one in so many.
const SMOOTHING: u64 = 8;

/// Shortest prefill whose time says how long a token takes, in tokens; in shorter ones the cost of
/// an order by itself outweighs it.
const MEASURED_TOKENS_MIN: u64 = 512;

/// Measured speeds of the server.
#[derive(Clone, Copy, Debug)]
pub(super) struct Estimates {
    /// Time between tokens, in microseconds.
    token_micros: u64,
    /// Time to prefill a token, in nanoseconds.
    prefill_nanos: u64,
    /// Size of a KV cache, in bytes a token.
    kv_bytes_per_token: u64,
    /// When the last prefill ended.
    prefill_end: Instant,
    /// Time between two slots that become free while all are taken, in microseconds.
    release_micros: Option<u64>,
    /// Since when all slots are taken, or when one last became free while they were.
    full_since: Option<Instant>,
    /// Slots taken after the last allotment.
    slots_in_use: u32,
}

impl Estimates {
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

    pub(super) fn record_token_time(&mut self, elapsed: Duration) {
        let micros = u64::try_from(elapsed.as_micros()).unwrap_or(u64::MAX);
        self.token_micros = smooth(self.token_micros, micros);
    }

    /// Measures a prefill that began at `since`; the time that it waited for the one before it
    /// doesn't count.
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

    /// Takes the size of a KV cache that is about to be moved.
    pub(super) fn record_kv_size(&mut self, tokens: u32, bytes: u64) {
        if let Some(per_token) =
            bytes.checked_div(u64::from(tokens)).filter(|per_token| *per_token > 0)
        {
            self.kv_bytes_per_token = smooth(self.kv_bytes_per_token, per_token);
        }
    }

    /// Expected size of a KV cache, in bytes.
    pub(super) fn kv_bytes(&self, tokens: u32) -> u64 {
        self.kv_bytes_per_token.saturating_mul(u64::from(tokens))
    }

    /// Measures the slots that have become free since the last allotment.
    pub(super) fn record_releases(&mut self, now: Instant, slots_in_use: u32) {
        let released = u64::from(self.slots_in_use.saturating_sub(slots_in_use));
        let Some(since) = self.full_since.filter(|_| released > 0) else { return };
        let micros = u64::try_from(now.since(since).as_micros()).unwrap_or(u64::MAX) / released;
        self.release_micros =
            Some(self.release_micros.map_or(micros, |previous| smooth(previous, micros)));
        self.full_since = Some(now);
    }

    /// Notes how many slots are taken after an allotment.
    pub(super) fn record_assignment(&mut self, now: Instant, slots_in_use: u32, slots: u32) {
        self.slots_in_use = slots_in_use;
        if slots_in_use < slots {
            self.full_since = None;
        } else {
            self.full_since.get_or_insert(now);
        }
    }

    /// Time until so many slots have become free, if that was measured.
    pub(super) fn release_time(&self, slots: u64) -> Option<Duration> {
        self.release_micros.map(|micros| Duration::from_micros(micros.saturating_mul(slots)))
    }

    pub(super) fn decode_time(&self, tokens: u64) -> Duration {
        Duration::from_micros(self.token_micros.saturating_mul(tokens))
    }

    pub(super) fn prefill_time(&self, tokens: u64) -> Duration {
        Duration::from_nanos(self.prefill_nanos.saturating_mul(tokens))
    }
}

fn smooth(previous: u64, sample: u64) -> u64 {
    (previous * (SMOOTHING - 1) + sample) / SMOOTHING
}

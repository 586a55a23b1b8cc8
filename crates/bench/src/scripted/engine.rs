//! Model of an engine: how long a prefill, a KV-cache transfer and a decode step take, and the
//! requests that it runs.

use super::settings::Settings;
use chestnutrack_core::server::Key;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

/// Prefill rate, in prompt tokens per second.
pub const PREFILL_TOKENS_PER_S: u64 = 12_000;
/// Time of a decode step with an empty batch, in microseconds.
pub const STEP_MICROS: u64 = 8_000;
/// Time that each request in the batch adds to a step, in microseconds.
pub const STEP_MICROS_PER_REQUEST: u64 = 600;
/// Size of the KV cache for one token, in bytes.
pub const KV_BYTES_PER_TOKEN: u64 = 64 << 10;
/// Bandwidth of an engine's network link, in bytes per second.
pub const LINK_BYTES_PER_S: u64 = 10_000_000_000;
/// Time after which an exported KV cache is evicted, in milliseconds.
pub const EVICTION_DELAY_MS: u64 = 800;
/// Capacity of an engine's KV cache, in tokens.
pub const KV_CACHE_TOKENS: u64 = 400_000;

/// A request in a decode engine's batch.
#[derive(Clone, Debug)]
pub struct Generation {
    /// Key of the request in the server's table.
    pub key: Key,
    /// Identifier of the request at the engine.
    pub id: Arc<str>,
    /// Tokens generated so far.
    pub generated: u32,
    /// Tokens to generate in total.
    pub output_tokens: u32,
}

/// A queued or running prefill.
#[derive(Clone, Debug)]
pub struct Prefill {
    /// Key of the request in the server's table.
    pub key: Key,
    /// Identifier of the request at the engine.
    pub id: Arc<str>,
    /// Length of the prompt, in tokens.
    pub prompt_tokens: u32,
    /// Priority; the highest runs first.
    pub priority: i32,
}

/// State of one engine.
#[derive(Clone, Debug, Default)]
pub struct Engine {
    /// Requests in the decode batch.
    pub batch: Vec<Generation>,
    /// Whether a decode step is in progress.
    pub is_stepping: bool,
    /// Queued prefills, oldest first.
    pub waiting_prefills: VecDeque<Prefill>,
    /// The prefill in progress.
    pub running_prefill: Option<Prefill>,
}

impl Engine {
    /// Returns the duration of the next decode step.
    pub fn step_time(&self) -> Duration {
        Duration::from_micros(step_micros(self.batch.len() as u64))
    }

    /// Removes and returns the next prefill to run: the oldest among those of the highest priority.
    pub fn take_next_prefill(&mut self) -> Option<Prefill> {
        let highest = self.waiting_prefills.iter().map(|prefill| prefill.priority).max()?;
        let position =
            self.waiting_prefills.iter().position(|prefill| prefill.priority == highest)?;
        self.waiting_prefills.remove(position)
    }

    /// Removes a request from the batch and from the queued prefills. A prefill in progress
    /// continues.
    pub fn cancel(&mut self, id: &str) {
        self.batch.retain(|running| running.id.as_ref() != id);
        self.waiting_prefills.retain(|prefill| prefill.id.as_ref() != id);
    }
}

fn step_micros(batch: u64) -> u64 {
    STEP_MICROS + STEP_MICROS_PER_REQUEST * batch
}

/// Returns the duration of a prefill.
pub fn prefill_time(tokens: u32) -> Duration {
    Duration::from_micros(u64::from(tokens) * 1_000_000 / PREFILL_TOKENS_PER_S)
}

/// Returns the duration of a transfer between engines.
pub fn transfer_time(bytes: u64) -> Duration {
    Duration::from_micros(bytes * 1_000_000 / LINK_BYTES_PER_S)
}

/// Returns the requests per second that the engines can serve within both latency targets: the
/// smaller of the prefill rate and of the decode rate with the largest batches whose step meets the
/// target for the time between tokens.
pub fn capacity_per_s(settings: &Settings) -> f64 {
    let target = u64::try_from(settings.between_tokens_target.as_micros()).unwrap_or(u64::MAX);
    let meets_target = |batch: &u64| step_micros(*batch) <= target;
    let batch = (1..=u64::from(settings.slots)).rev().find(meets_target).unwrap_or(1);
    let tokens_per_s = batch as f64 * 1e6 / step_micros(batch) as f64;
    let decode_rate = settings.decode_servers as f64 * tokens_per_s / settings.output_tokens;
    let prefill_rate = PREFILL_TOKENS_PER_S as f64 / settings.prompt_tokens;
    decode_rate.min(settings.prefill_servers as f64 * prefill_rate)
}

//! Every parameter of the stand-in engine.

use std::time::Duration;

/// Settings of the stand-in. Times are the model's, before the time scale.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// Requests generated for at a time; the others wait.
    pub slots: u32,
    /// Memory for KV caches, in tokens.
    pub kv_tokens: u32,
    /// Memory for the prefix cache beside it, in tokens.
    pub cache_tokens: u32,
    /// Time of a step with an empty batch.
    pub step_base: Duration,
    /// Time that each request in the batch adds to a step.
    pub step_per_request: Duration,
    /// Prompt tokens computed a second.
    pub prefill_tokens_per_s: u32,
    /// Size of the KV cache of one token, in bytes.
    pub kv_bytes_per_token: u64,
    /// Rate of the link for exports, and of that for imports, in bytes a second.
    pub link_bytes_per_s: u64,
    /// Time after a prefill until its KV cache is evicted.
    pub evict_after: Duration,
    /// Age of load reports.
    pub load_lag: Duration,
    /// Time until a cache event shows.
    pub events_lag: Duration,
    /// Cache events that are lost, in percent.
    pub events_lost_percent: u32,
    /// Time to load a model from the weight store.
    pub model_load_time: Duration,
    /// Whether orders with an old fencing number are refused.
    pub checks_fencing: bool,
    /// Real time for each unit of the model's time.
    pub time_scale: f64,
    /// Seed of the losses.
    pub seed: u64,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            slots: 20,
            kv_tokens: 200_000,
            cache_tokens: 100_000,
            step_base: Duration::from_micros(8_000),
            step_per_request: Duration::from_micros(600),
            prefill_tokens_per_s: 12_000,
            kv_bytes_per_token: 64 << 10,
            link_bytes_per_s: 10_000_000_000,
            evict_after: Duration::from_millis(800),
            load_lag: Duration::from_millis(200),
            events_lag: Duration::from_millis(300),
            events_lost_percent: 5,
            model_load_time: Duration::from_millis(2_000),
            checks_fencing: true,
            time_scale: 1.0,
            seed: 1,
        }
    }
}

impl Settings {
    /// Real time for a time of the model.
    pub fn to_real_time(&self, time: Duration) -> Duration {
        time.mul_f64(self.time_scale)
    }

    /// Time of a step with so many requests in the batch.
    pub fn step_time(&self, running: u32) -> Duration {
        self.step_base + self.step_per_request * running
    }

    /// Time to compute so many tokens of a prompt.
    pub fn prefill_time(&self, tokens: u32) -> Duration {
        Duration::from_secs_f64(f64::from(tokens) / f64::from(self.prefill_tokens_per_s))
    }

    /// Size of the KV cache of so many tokens, in bytes.
    pub fn kv_bytes(&self, tokens: u32) -> u64 {
        u64::from(tokens) * self.kv_bytes_per_token
    }
}

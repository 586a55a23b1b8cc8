//! Settings of the stand-in engine.

use std::time::Duration;

/// Settings of the stand-in. Durations are simulated time; [`Settings::time_scale`] converts them
/// to real time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// Maximum number of requests in the decode batch; further requests wait.
    pub slots: u32,
    /// Memory for KV caches, in tokens.
    pub kv_tokens: u32,
    /// Memory for the prefix cache, in addition to the KV caches, in tokens.
    pub cache_tokens: u32,
    /// Base time of a decode step.
    pub step_base: Duration,
    /// Time that each request in the batch adds to a decode step.
    pub step_per_request: Duration,
    /// Prompt tokens computed per second.
    pub prefill_tokens_per_s: u32,
    /// Size of the KV cache of one token, in bytes.
    pub kv_bytes_per_token: u64,
    /// Bandwidth of the export link and of the import link, in bytes per second.
    pub link_bytes_per_s: u64,
    /// Time from the end of a prefill until its KV cache is evicted.
    pub evict_after: Duration,
    /// Age of load reports.
    pub load_lag: Duration,
    /// Delay until a cache event is reported.
    pub events_lag: Duration,
    /// Share of cache events that are lost, in percent.
    pub events_lost_percent: u32,
    /// Time to load a model from the weight store.
    pub model_load_time: Duration,
    /// Whether orders with an outdated fencing number are refused.
    pub checks_fencing: bool,
    /// Real time per unit of simulated time.
    pub time_scale: f64,
    /// Random seed for the lost cache events.
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
    /// Converts a simulated duration to real time.
    pub fn to_real_time(&self, time: Duration) -> Duration {
        time.mul_f64(self.time_scale)
    }

    /// Returns the simulated time of a decode step with `running` requests in the batch.
    pub fn step_time(&self, running: u32) -> Duration {
        self.step_base + self.step_per_request * running
    }

    /// Returns the simulated time to compute `tokens` tokens of a prompt.
    pub fn prefill_time(&self, tokens: u32) -> Duration {
        Duration::from_secs_f64(f64::from(tokens) / f64::from(self.prefill_tokens_per_s))
    }

    /// Returns the size of the KV cache of `tokens` tokens, in bytes.
    pub fn kv_bytes(&self, tokens: u32) -> u64 {
        u64::from(tokens) * self.kv_bytes_per_token
    }
}

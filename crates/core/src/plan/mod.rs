//! How a service's engines are split between prefilling and generating.
//!
//! Prefilling goes by the prompts' tokens a second, generating by memory: each generation holds its
//! tokens for as long as it runs. The split that serves most requests a second is the one at which
//! neither side waits for the other. Changing it takes an engine out of use for seconds, so that it
//! is changed only for a clear gain, and while the engines are in use.

#[cfg(test)]
mod tests;

/// What the requests of a service are like, on average.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Demand {
    /// Prompt tokens of a request.
    pub prompt_tokens: f64,
    /// Memory of a generation over its time, in tokens times milliseconds.
    pub token_ms: f64,
}

/// A service's engines.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Engines {
    /// Engines that prefill.
    pub prefill: usize,
    /// Engines that generate.
    pub decode: usize,
    /// Prompt tokens that one prefills in a millisecond.
    pub prefill_per_ms: f64,
    /// Memory of one, in tokens.
    pub kv_tokens: f64,
    /// Part of the generating engines' memory that is in use.
    pub memory_used: f64,
}

/// Bounds on changes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// Part of an engine's prefilling that is planned with, so that prompts seldom queue.
    pub prefill_utilisation: f64,
    /// Part of an engine's memory that is planned with.
    pub memory_utilisation: f64,
    /// Gain in requests a second below which nothing is changed.
    pub min_gain: f64,
    /// Part of the memory in use below which nothing is changed.
    pub min_memory_used: f64,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            prefill_utilisation: 0.85,
            memory_utilisation: 0.85,
            min_gain: 1.12,
            min_memory_used: 0.3,
        }
    }
}

impl Engines {
    /// Requests a millisecond that a split serves.
    fn rate(&self, prefill: usize, demand: &Demand, settings: &Settings) -> f64 {
        let decode = self.prefill + self.decode - prefill;
        let prefilled = prefill as f64 * self.prefill_per_ms * settings.prefill_utilisation;
        let held = decode as f64 * self.kv_tokens * settings.memory_utilisation;
        (prefilled / demand.prompt_tokens).min(held / demand.token_ms)
    }

    /// How many engines should prefill; absent where the split stays as it is.
    pub fn split(&self, demand: &Demand, settings: &Settings) -> Option<usize> {
        let engines = self.prefill + self.decode;
        let measured = demand.prompt_tokens > 0.0 && demand.token_ms > 0.0;
        if !measured
            || engines < 2
            || self.prefill == 0
            || self.memory_used < settings.min_memory_used
        {
            return None;
        }
        let rate = |prefill: &usize| self.rate(*prefill, demand, settings);
        let best = (1..engines).max_by(|left, right| rate(left).total_cmp(&rate(right)))?;
        let gains = rate(&best) >= rate(&self.prefill) * settings.min_gain;
        (gains && best != self.prefill).then_some(best)
    }
}

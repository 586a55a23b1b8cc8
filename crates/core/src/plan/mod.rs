//! Split of a service's engines between the stages prefill and decode.
//!
//! Prefill capacity is limited by prompt tokens per second, decode capacity by memory, since each
//! generation holds its tokens for as long as it runs. The split that serves the most requests per
//! second is the one at which neither stage waits for the other. Changing an engine's stage takes
//! it out of use for seconds, so the split changes only for a clear gain and while the engines are
//! in use.

#[cfg(test)]
mod tests;

/// Average demand of a request to a service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Demand {
    /// Length of the prompt, in tokens.
    pub prompt_tokens: f64,
    /// Memory held over the duration of a generation, in tokens times milliseconds.
    pub token_ms: f64,
}

/// Engines of a service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Engines {
    /// Number of prefill engines.
    pub prefill: usize,
    /// Number of decode engines.
    pub decode: usize,
    /// Prefill speed of an engine, in prompt tokens per millisecond.
    pub prefill_per_ms: f64,
    /// Memory of an engine, in tokens.
    pub kv_tokens: f64,
    /// Fraction of the decode engines' memory that is in use.
    pub memory_used: f64,
}

/// Parameters of the split.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// Planned utilisation of prefill engines; below 1 so that prompts seldom queue.
    pub prefill_utilisation: f64,
    /// Planned fraction of an engine's memory in use.
    pub memory_utilisation: f64,
    /// Smallest factor by which the requests served per second must grow for the split to change.
    pub min_gain: f64,
    /// Smallest fraction of the decode engines' memory in use at which the split changes.
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
    /// Returns the requests per millisecond that a split with `prefill` prefill engines serves:
    /// those that the slower of the two stages can serve.
    fn rate(&self, prefill: usize, demand: &Demand, settings: &Settings) -> f64 {
        let decode = self.prefill + self.decode - prefill;
        let prefilled = prefill as f64 * self.prefill_per_ms * settings.prefill_utilisation;
        let held = decode as f64 * self.kv_tokens * settings.memory_utilisation;
        (prefilled / demand.prompt_tokens).min(held / demand.token_ms)
    }

    /// Returns how many engines should prefill, or `None` if the split should stay as it is: the
    /// demand is not known, there are fewer than two engines or none prefills, too little memory is
    /// in use, or the gain is too small. Each stage keeps at least one engine.
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

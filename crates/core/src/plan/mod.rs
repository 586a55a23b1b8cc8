//! Split of a service's engines between the stages prefill and decode.
//!
//! Prefill capacity is limited by prompt tokens per second, decode capacity by memory and slots, since
//! each generation holds them for as long as it runs. The split that serves the most requests per
//! second is the one at which neither stage waits for the other. It follows from the average demand of
//! a request and not from the load, which changes faster than engines can.
//!
//! The split changes by a few engines at a time, and only for a clear gain, since changing an engine's
//! stage takes it out of use for seconds. Each change is followed by an observation, and a change that
//! turns out wrong is undone by the next ones.

#[cfg(test)]
mod tests;

/// Largest factor by which a demand may exceed the observed one.
const MAX_OVER_OBSERVED: f64 = 1.5;

/// Average demand of a request to a service.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Demand {
    /// Length of the prompt, in tokens.
    pub prompt_tokens: f64,
    /// Memory held over the duration of a generation, in tokens times milliseconds.
    pub token_ms: f64,
    /// Duration of a generation, in milliseconds.
    pub duration_ms: f64,
}

impl Demand {
    /// Returns the demand with the memory and the duration of a generation brought close to what was
    /// observed. An observation that is long enough for generations to end is right but for those
    /// that still run, so it is too low by a part; an estimate can be wrong by any factor.
    pub fn corrected_by(&self, observed: &Observed) -> Demand {
        let bring = |estimate: f64, observed: f64| {
            if observed > 0.0 {
                estimate.clamp(observed, observed * MAX_OVER_OBSERVED)
            } else {
                estimate
            }
        };
        Demand {
            prompt_tokens: self.prompt_tokens,
            token_ms: bring(self.token_ms, observed.token_ms),
            duration_ms: bring(self.duration_ms, observed.duration_ms),
        }
    }
}

/// Observed average demand of a request on decode engines; 0 where it was not observed for long
/// enough.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Observed {
    /// Memory in use over time for each generation placed, in tokens times milliseconds.
    pub token_ms: f64,
    /// Generations running over time for each generation placed, in milliseconds.
    pub duration_ms: f64,
}

/// Engines of a service.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Engines {
    /// Number of prefill engines.
    pub prefill: usize,
    /// Number of decode engines.
    pub decode: usize,
    /// Prefill speed of an engine, in prompt tokens per millisecond.
    pub prefill_per_ms: f64,
    /// Memory of an engine, in tokens.
    pub kv_tokens: f64,
    /// Largest number of generations on an engine.
    pub slots: f64,
    /// Requests that are admitted, per millisecond.
    pub placed_per_ms: f64,
}

/// Parameters of the split.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// Fraction of its time for which a prefill engine works in an overload.
    pub prefill_capacity: f64,
    /// Fraction of an engine's memory and slots that generations hold in an overload; the rest is left
    /// for their growth.
    pub decode_capacity: f64,
    /// Smallest factor by which the requests served per second must grow for the split to change.
    pub min_gain: f64,
    /// Smallest part of the requests that the split can serve per second at which it changes.
    pub min_used: f64,
    /// Part of all engines that change at once, as a divisor; at least one engine changes.
    pub step_divisor: usize,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            prefill_capacity: 0.95,
            decode_capacity: 0.85,
            min_gain: 1.1,
            min_used: 0.2,
            step_divisor: 6,
        }
    }
}

/// A planned number of prefill engines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Split {
    /// Number at which the engines serve the most requests per second.
    pub best: usize,
    /// Number after the next change.
    pub next: usize,
}

impl Engines {
    /// Returns the requests per millisecond that a split with `prefill` prefill engines serves:
    /// those that the slower of the two stages can serve.
    fn rate(&self, prefill: usize, demand: &Demand, settings: &Settings) -> f64 {
        let decode = (self.prefill + self.decode - prefill) as f64 * settings.decode_capacity;
        let prefill = prefill as f64 * settings.prefill_capacity;
        (prefill * self.prefill_per_ms / demand.prompt_tokens)
            .min(decode * self.kv_tokens / demand.token_ms)
            .min(decode * self.slots / demand.duration_ms)
    }

    /// Returns how many engines should prefill, or `None` if the split should stay as it is: the
    /// demand or the engines' capacity is not known, there are fewer than two engines, neither stage
    /// is busy, or the gain is too small.
    ///
    /// A stage keeps at least one engine, and gets one if it has none.
    pub fn split(&self, demand: &Demand, settings: &Settings) -> Option<Split> {
        let engines = self.prefill + self.decode;
        if engines < 2 || self.kv_tokens <= 0.0 || self.prefill_per_ms <= 0.0 {
            return None;
        }
        if self.prefill == 0 || self.decode == 0 {
            let next = if self.prefill == 0 { 1 } else { engines - 1 };
            return Some(Split { best: next, next });
        }
        let is_known =
            demand.prompt_tokens > 0.0 && demand.token_ms > 0.0 && demand.duration_ms > 0.0;
        if !is_known {
            return None;
        }
        let rate = |prefill: usize| self.rate(prefill, demand, settings);
        let best = (1..engines).max_by(|left, right| rate(*left).total_cmp(&rate(*right)))?;
        let current_rate = rate(self.prefill);
        if self.placed_per_ms < current_rate * settings.min_used
            || rate(best) < current_rate * settings.min_gain
        {
            return None;
        }
        let step = engines.div_ceil(settings.step_divisor);
        let next = best.clamp(self.prefill.saturating_sub(step), self.prefill + step);
        Some(Split { best, next })
    }
}

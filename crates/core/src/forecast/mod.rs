//! Forecast of an engine's memory from the generations that run on it.
//!
//! A generation holds its prompt and what it has made, and grows until it ends. How long an answer
//! gets is known only roughly, so its length is taken as log-logistic around an estimate: given
//! what was made already, that says how likely the generation still runs at any later time. The
//! forecast is the largest expected use over the time ahead, raised by a number of deviations.

#[cfg(test)]
mod tests;

/// A generation on an engine. All counts are in tokens.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Generation {
    /// What it holds now: its prompt and what it has made.
    pub context: f64,
    /// What it has made.
    pub generated: f64,
    /// Estimate of its whole answer.
    pub expected: f64,
    /// Longest answer that it may make.
    pub max_tokens: f64,
}

/// Bounds of a forecast.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// Shape of the distribution of lengths; larger is narrower. It is 1.8 divided by the standard
    /// deviation of the logarithm of the length around its estimate.
    pub shape: f64,
    /// Deviations that the expected use is raised by.
    pub deviations: f64,
    /// Time between two looks ahead, in milliseconds.
    pub step_ms: f64,
    /// Looks ahead.
    pub steps: u32,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings { shape: 4.0, deviations: 1.5, step_ms: 250.0, steps: 10 }
    }
}

impl Generation {
    /// The same generation after it has made more.
    pub fn grown_by(self, tokens: f64) -> Generation {
        Generation { context: self.context + tokens, generated: self.generated + tokens, ..self }
    }

    /// Tokens that it still makes, at the median.
    pub fn remaining(&self, shape: f64) -> f64 {
        let odds_ended = (self.generated / self.expected.max(1.0)).powf(shape);
        let median_length = self.expected.max(1.0) * (1.0 + 2.0 * odds_ended).powf(1.0 / shape);
        (median_length.min(self.max_tokens) - self.generated).max(0.0)
    }

    /// How likely it still runs once it has made so many tokens more.
    fn survival(&self, more: f64, shape: f64) -> f64 {
        if self.generated + more >= self.max_tokens {
            return 0.0;
        }
        let inverse_survival =
            |generated: f64| 1.0 + (generated / self.expected.max(1.0)).powf(shape);
        inverse_survival(self.generated) / inverse_survival(self.generated + more)
    }
}

/// The most that generations will hold together, in tokens, where each makes so many tokens a
/// millisecond.
pub fn peak(generations: &[Generation], tokens_per_ms: f64, settings: &Settings) -> f64 {
    let growths =
        (0..=settings.steps).map(|step| f64::from(step) * settings.step_ms * tokens_per_ms);
    growths.map(|more| use_at(generations, more, settings)).fold(0.0, f64::max)
}

fn use_at(generations: &[Generation], more: f64, settings: &Settings) -> f64 {
    let (mut mean, mut variance) = (0.0, 0.0);
    for generation in generations {
        let alive = if more > 0.0 { generation.survival(more, settings.shape) } else { 1.0 };
        let size = generation.context + more;
        mean += alive * size;
        variance += alive * (1.0 - alive) * size * size;
    }
    mean + settings.deviations * variance.sqrt()
}

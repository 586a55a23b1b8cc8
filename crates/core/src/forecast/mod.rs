//! Forecast of an engine's memory use from its running generations.
//!
//! A generation holds its prompt and the tokens it has generated, and grows until it ends. The
//! length of an answer is known only roughly and modelled as log-logistic around an estimate. Given
//! the tokens generated so far, the model yields the probability that the generation is still
//! running at a later time. The forecast is the largest expected use over the time ahead, plus a
//! number of standard deviations.

#[cfg(test)]
mod tests;

/// A generation on an engine. All counts are in tokens.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Generation {
    /// Tokens held now: the prompt and the tokens generated so far.
    pub held_tokens: f64,
    /// Tokens generated so far.
    pub generated_tokens: f64,
    /// Estimated length of the complete answer.
    pub expected_tokens: f64,
    /// Maximum length of the answer.
    pub max_tokens: f64,
}

/// Parameters of a forecast.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// Shape parameter of the distribution of lengths; a larger value is narrower. It is 1.8
    /// divided by the standard deviation of the logarithm of the length around its estimate.
    pub shape: f64,
    /// Number of standard deviations added to the expected use.
    pub deviations: f64,
    /// Time between two points of the forecast, in milliseconds.
    pub step_ms: f64,
    /// Number of points of the forecast after the current time.
    pub steps: u32,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings { shape: 4.0, deviations: 1.5, step_ms: 250.0, steps: 10 }
    }
}

impl Generation {
    /// Returns the generation as it is after `tokens` more tokens were generated.
    pub fn grown_by(self, tokens: f64) -> Generation {
        Generation {
            held_tokens: self.held_tokens + tokens,
            generated_tokens: self.generated_tokens + tokens,
            ..self
        }
    }

    /// Returns the median of the tokens still to be generated, given that the generation has not
    /// ended yet. `shape` is [`Settings::shape`].
    pub fn remaining(&self, shape: f64) -> f64 {
        let odds_ended = (self.generated_tokens / self.expected_tokens.max(1.0)).powf(shape);
        let median_length =
            self.expected_tokens.max(1.0) * (1.0 + 2.0 * odds_ended).powf(1.0 / shape);
        (median_length.min(self.max_tokens) - self.generated_tokens).max(0.0)
    }

    /// Returns the probability that the generation still runs after `more` more tokens, given that
    /// it runs now. It never runs beyond its maximum length.
    fn survival(&self, more: f64, shape: f64) -> f64 {
        if self.generated_tokens + more >= self.max_tokens {
            return 0.0;
        }
        let inverse_survival =
            |generated: f64| 1.0 + (generated / self.expected_tokens.max(1.0)).powf(shape);
        inverse_survival(self.generated_tokens) / inverse_survival(self.generated_tokens + more)
    }
}

/// Returns the largest number of tokens that the generations are forecast to hold together over the
/// time ahead, if each generates `tokens_per_ms` tokens per millisecond. Each point of the forecast
/// is the expected number plus [`Settings::deviations`] standard deviations.
pub fn forecast_peak(generations: &[Generation], tokens_per_ms: f64, settings: &Settings) -> f64 {
    let growths =
        (0..=settings.steps).map(|step| f64::from(step) * settings.step_ms * tokens_per_ms);
    growths.map(|more| use_at(generations, more, settings)).fold(0.0, f64::max)
}

/// Returns the tokens that the generations are forecast to hold together once each that still runs
/// has generated `more` tokens.
fn use_at(generations: &[Generation], more: f64, settings: &Settings) -> f64 {
    let (mut mean, mut variance) = (0.0, 0.0);
    for generation in generations {
        let alive = if more > 0.0 { generation.survival(more, settings.shape) } else { 1.0 };
        let size = generation.held_tokens + more;
        mean += alive * size;
        variance += alive * (1.0 - alive) * size * size;
    }
    mean + settings.deviations * variance.sqrt()
}

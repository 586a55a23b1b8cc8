//! Latency histograms and their percentiles.

use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Largest latency that a histogram distinguishes, in microseconds; larger ones are recorded as
/// this one.
const LATENCY_MAX_US: u64 = 600_000_000;
/// Significant decimal digits that a histogram keeps.
const SIGNIFICANT_DIGITS: u8 = 3;

/// Percentiles of latencies, in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Percentiles {
    /// Number of latencies recorded.
    pub count: u64,
    /// Median.
    pub p50_ms: f64,
    /// 95th percentile.
    pub p95_ms: f64,
    /// 99th percentile.
    pub p99_ms: f64,
}

/// A histogram of latencies, with microsecond values.
#[derive(Clone)]
pub(crate) struct Histogram(hdrhistogram::Histogram<u64>);

impl Default for Histogram {
    fn default() -> Histogram {
        let histogram = hdrhistogram::Histogram::new_with_max(LATENCY_MAX_US, SIGNIFICANT_DIGITS);
        Histogram(histogram.expect("bounds and digits are constant and allowed"))
    }
}

impl Histogram {
    pub(crate) fn record(&mut self, time: Duration) {
        let micros = u64::try_from(time.as_micros()).unwrap_or(LATENCY_MAX_US);
        self.0.saturating_record(micros);
    }

    /// Adds the latencies of another histogram.
    pub(crate) fn add(&mut self, other: &Histogram) {
        // Both have the same bounds.
        let _ = self.0.add(&other.0);
    }

    /// Returns the largest latency, in milliseconds.
    pub(crate) fn max_ms(&self) -> f64 {
        self.0.max() as f64 / 1_000.0
    }

    pub(crate) fn percentiles(&self) -> Percentiles {
        let at = |quantile: f64| self.0.value_at_quantile(quantile) as f64 / 1_000.0;
        Percentiles { count: self.0.len(), p50_ms: at(0.5), p95_ms: at(0.95), p99_ms: at(0.99) }
    }
}

//! Prometheus metrics of the program.

use prometheus::{
    Error, Histogram, HistogramOpts, IntCounter, IntCounterVec, IntGauge, Opts, Registry,
};

/// Buckets of the latency histograms, in seconds.
const LATENCY_BUCKETS_S: &[f64] =
    &[0.001, 0.002, 0.005, 0.01, 0.02, 0.04, 0.08, 0.16, 0.32, 0.63, 1.25, 2.5, 5.0, 10.0, 30.0];
/// Buckets of the histogram of the time spent in this process, in seconds.
const OWN_TIME_BUCKETS_S: &[f64] =
    &[0.000_1, 0.000_2, 0.000_5, 0.001, 0.002, 0.003, 0.005, 0.01, 0.02, 0.05, 0.1, 1.0];

/// Metrics of an entry host.
#[derive(Debug)]
pub struct Metrics {
    /// Requests, by route and outcome.
    pub requests: IntCounterVec,
    /// Refused requests, by code.
    pub refusals: IntCounterVec,
    /// Retries taken from the retry budget.
    pub retries: IntCounter,
    /// Retries denied by the retry budget.
    pub retries_denied: IntCounter,
    /// Frames discarded because they were late, duplicated or unexpected.
    pub frames_dropped: IntCounter,
    /// Answers resumed from an offset.
    pub resumes: IntCounter,
    /// Connections replaced because their heartbeat timed out.
    pub connections_silent: IntCounter,
    /// Prompt tokens prefilled.
    pub prefill_tokens: IntCounter,
    /// Prompt tokens prefilled for attempts that produced no token of an answer.
    pub prefill_tokens_wasted: IntCounter,
    /// Side processes that are reachable.
    pub links: IntGauge,
    /// Open connections of callers.
    pub connections: IntGauge,
    /// Requests in progress.
    pub in_progress: IntGauge,
    /// Time from arrival to the first token, in seconds.
    pub first_token: Histogram,
    /// Time between tokens, in seconds.
    pub between_tokens: Histogram,
    /// Part of the time to the first token that was spent in this process, in seconds.
    pub own_time: Histogram,
}

impl Metrics {
    /// Creates the metrics and registers them.
    ///
    /// # Errors
    ///
    /// If a name is already registered.
    pub fn new(registry: &Registry) -> Result<Metrics, Error> {
        Ok(Metrics {
            requests: counters(registry, "requests", "Requests", &["route", "outcome"])?,
            refusals: counters(registry, "refusals", "Refusals", &["code"])?,
            retries: counter(registry, "retries", "Attempts beyond the first")?,
            retries_denied: counter(registry, "retries_denied", "Retries beyond the budget")?,
            // Frames of an older connection or of an attempt that has ended, and duplicated or
            // unexpected frames.
            frames_dropped: counter(registry, "frames_dropped", "Late or crossed frames")?,
            resumes: counter(registry, "resumes", "Answers asked for again from an offset")?,
            connections_silent: counter(registry, "connections_silent", "Connections replaced")?,
            prefill_tokens: counter(registry, "prefill_tokens", "Prompt tokens prefilled")?,
            prefill_tokens_wasted: counter(
                registry,
                "prefill_tokens_wasted",
                "Prompt tokens prefilled without an answer",
            )?,
            links: gauge(registry, "links", "Side processes that can be reached")?,
            connections: gauge(registry, "connections", "Connections of callers")?,
            in_progress: gauge(registry, "in_progress", "Requests in progress")?,
            first_token: histogram(
                registry,
                "first_token",
                "Time to first token",
                LATENCY_BUCKETS_S,
            )?,
            between_tokens: histogram(
                registry,
                "between_tokens",
                "Time between tokens",
                LATENCY_BUCKETS_S,
            )?,
            own_time: histogram(registry, "own_time", "Time spent here", OWN_TIME_BUCKETS_S)?,
        })
    }
}

/// Returns a metric's full name.
fn name(text: &str, suffix: &str) -> String {
    format!("chestnutrack_entry_{text}{suffix}")
}

/// Registers a counter.
fn counter(registry: &Registry, text: &str, help: &str) -> Result<IntCounter, Error> {
    let counter = IntCounter::new(name(text, "_total"), help)?;
    registry.register(Box::new(counter.clone()))?;
    Ok(counter)
}

/// Registers a counter for each combination of label values.
fn counters(
    registry: &Registry,
    text: &str,
    help: &str,
    labels: &[&str],
) -> Result<IntCounterVec, Error> {
    let counters = IntCounterVec::new(Opts::new(name(text, "_total"), help), labels)?;
    registry.register(Box::new(counters.clone()))?;
    Ok(counters)
}

/// Registers a gauge.
fn gauge(registry: &Registry, text: &str, help: &str) -> Result<IntGauge, Error> {
    let gauge = IntGauge::new(name(text, ""), help)?;
    registry.register(Box::new(gauge.clone()))?;
    Ok(gauge)
}

/// Registers a histogram of times in seconds.
fn histogram(
    registry: &Registry,
    text: &str,
    help: &str,
    buckets: &[f64],
) -> Result<Histogram, Error> {
    let options = HistogramOpts::new(name(text, "_seconds"), help).buckets(buckets.to_vec());
    let histogram = Histogram::with_opts(options)?;
    registry.register(Box::new(histogram.clone()))?;
    Ok(histogram)
}

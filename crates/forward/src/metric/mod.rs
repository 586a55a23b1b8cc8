//! Counters, gauges and histograms of the program.

use prometheus::core::Collector;
use prometheus::{
    Error, Histogram, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge, Opts,
    Registry,
};

/// Bucket bounds of the time histograms, in seconds.
const BUCKETS_S: &[f64] =
    &[0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.3, 0.5, 0.9, 1.5, 3.0, 6.0, 15.0];

/// Counters, gauges and histograms of an entry host that calls backend servers directly.
#[derive(Clone, Debug)]
pub struct Metrics {
    /// Requests, by route kind and status class of the answer.
    pub requests: IntCounterVec,
    /// Refusals and failures that the router itself answered, by cause.
    pub refusals: IntCounterVec,
    /// Generations that were refused admission or evicted from the queue, by priority and reason.
    pub admission_refusals: IntCounterVec,
    /// Requests whose callers disconnected before an answer.
    pub abandoned: IntCounter,
    /// Failed attempts at backend servers, by kind of failure.
    pub failures: IntCounterVec,
    /// Answers that can't be those to the requests they came for, by reason.
    pub rejected_answers: IntCounterVec,
    /// Streams, by how they ended.
    pub streams: IntCounterVec,
    /// Retries that were sent.
    pub retries: IntCounter,
    /// Retries that the budget denied.
    pub retries_denied: IntCounter,
    /// Servers that said in an answer that they are shutting down, and requests of servers for quiet.
    pub notices: IntCounterVec,
    /// Prefilled prompt tokens that no generation used.
    pub prefill_wasted: IntCounter,
    /// Time of each stage of a request, in seconds.
    pub stages: HistogramVec,
    /// Version of the configuration in force.
    pub configuration: IntGauge,
    /// Time since the platform's store last answered, in milliseconds, by kind of object.
    pub store_age: prometheus::IntGaugeVec,
    /// Patterns of prompts in quarantine.
    pub quarantined: IntGauge,
    /// Streams of which this host knows the build.
    pub origins: IntGauge,
    /// Backend servers listed.
    pub servers: IntGauge,
    /// Reachable peers.
    pub peers: IntGauge,
    /// Share of each allowance that is reserved for unreachable peers, in thousandths.
    pub reserved_per_mille: IntGauge,
    /// Requests that wait for admission.
    pub waiting: IntGauge,
    /// Connections of callers.
    pub connections: IntGauge,
    /// Time from arrival to the first byte of an answer, in seconds.
    pub first_byte: Histogram,
}

impl Metrics {
    /// Creates the metrics and registers them.
    ///
    /// # Errors
    ///
    /// Returns an error if a metric of the same name is registered already.
    pub fn new(registry: &Registry) -> Result<Metrics, Error> {
        let counters = |name: &str, help: &str, labels: &[&str]| {
            register(registry, IntCounterVec::new(options(name, help), labels)?)
        };
        let counter = |name: &str, help: &str| {
            register(registry, IntCounter::with_opts(options(name, help))?)
        };
        let gauge =
            |name: &str, help: &str| register(registry, IntGauge::with_opts(options(name, help))?);
        let histogram = |name: &str, help: &str| {
            HistogramOpts::from(options(name, help)).buckets(BUCKETS_S.to_vec())
        };
        let stages = histogram("stage_seconds", "Time of each stage of a request");
        let first_byte = histogram("first_byte_seconds", "Time to the first byte of an answer");
        let store_age = options("store_age_ms", "Age of the store's last answer");
        Ok(Metrics {
            requests: counters("requests_total", "Requests", &["kind", "status"])?,
            refusals: counters("refusals_total", "Answers of the router's own", &["cause"])?,
            admission_refusals: counters(
                "admission_refusals_total",
                "Generations refused admission",
                &["priority", "reason"],
            )?,
            abandoned: counter("abandoned_total", "Callers that left before an answer")?,
            failures: counters("failures_total", "Attempts that failed", &["failure"])?,
            rejected_answers: counters(
                "rejected_answers_total",
                "Answers that belong to no request",
                &["reason"],
            )?,
            streams: counters("streams_total", "Streams", &["end"])?,
            retries: counter("repeats_total", "Repeats that were sent")?,
            retries_denied: counter("repeats_denied_total", "Repeats beyond the budget")?,
            notices: counters("notices_total", "What servers said of themselves", &["notice"])?,
            prefill_wasted: counter("prefill_wasted_tokens_total", "Prompt tokens in vain")?,
            stages: register(registry, HistogramVec::new(stages, &["stage"])?)?,
            configuration: gauge("configuration_version", "Version in force")?,
            store_age: register(registry, prometheus::IntGaugeVec::new(store_age, &["kind"])?)?,
            quarantined: gauge("quarantined", "Patterns of prompts in quarantine")?,
            origins: gauge("stream_builds", "Streams of which this host knows the build")?,
            servers: gauge("servers", "Backend servers listed")?,
            peers: gauge("peers", "Peers heard lately")?,
            reserved_per_mille: gauge(
                "kept_back_per_mille",
                "Allowances kept back for silent peers",
            )?,
            waiting: gauge("waiting", "Requests that wait for their turn")?,
            connections: gauge("connections", "Connections of callers")?,
            first_byte: register(registry, Histogram::with_opts(first_byte)?)?,
        })
    }
}

/// Returns the name, with the common prefix, and the help text of a metric.
fn options(name: &str, help: &str) -> Opts {
    Opts::new(format!("chestnutrack_forward_{name}"), help)
}

/// Registers a metric and returns it.
fn register<M: Collector + Clone + 'static>(registry: &Registry, metric: M) -> Result<M, Error> {
    registry.register(Box::new(metric.clone()))?;
    Ok(metric)
}

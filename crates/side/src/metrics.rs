//! Metrics of the process.

use chestnutrack_core::server::{Counter, Server};
use chestnutrack_core::time::Instant;
use chestnutrack_wire::frame::Cause;
use prometheus::{IntCounterVec, IntGauge, IntGaugeVec, Opts, Registry};
use std::collections::HashMap;

/// The process's metrics.
pub struct Metrics {
    /// Counts the table's events by kind, such as frames received, orders, calls and pauses.
    events: IntCounterVec,
    failures: IntCounterVec,
    freed: IntCounterVec,
    /// Counts frames sent.
    pub sent: prometheus::IntCounter,
    /// Counts configurations refused.
    pub refused_configurations: prometheus::IntCounter,
    slots: IntGaugeVec,
    kv_used: IntGauge,
    version: IntGauge,
    /// Value of each of the table's counters at the last update; only the increase since then is
    /// added to the metrics.
    last_values: HashMap<Counter, u64>,
}

impl Metrics {
    /// Creates and registers the metrics.
    ///
    /// # Errors
    ///
    /// Returns an error if a metric of the same name is already registered.
    pub fn new(registry: &Registry) -> Result<Metrics, prometheus::Error> {
        let metrics = Metrics {
            events: counters("events_total", "What the table decided.", &["event"])?,
            failures: counters("failures_total", "Attempts refused or failed.", &["cause", "ran"])?,
            freed: counters("freed_total", "Holds freed.", &["reason"])?,
            sent: prometheus::IntCounter::new(name("frames_sent_total"), "Frames sent.")?,
            refused_configurations: prometheus::IntCounter::new(
                name("configurations_refused_total"),
                "Configurations refused by their check.",
            )?,
            slots: IntGaugeVec::new(Opts::new(name("slots"), "Slots of the server."), &["state"])?,
            kv_used: IntGauge::new(name("kv_used_tokens"), "Engine memory in use, in tokens.")?,
            version: IntGauge::new(name("configuration_version"), "Configuration in force.")?,
            last_values: HashMap::new(),
        };
        registry.register(Box::new(metrics.events.clone()))?;
        registry.register(Box::new(metrics.failures.clone()))?;
        registry.register(Box::new(metrics.freed.clone()))?;
        registry.register(Box::new(metrics.sent.clone()))?;
        registry.register(Box::new(metrics.refused_configurations.clone()))?;
        registry.register(Box::new(metrics.slots.clone()))?;
        registry.register(Box::new(metrics.kv_used.clone()))?;
        registry.register(Box::new(metrics.version.clone()))?;
        Ok(metrics)
    }

    /// Updates the metrics from the table's counters and state.
    pub fn update(&mut self, server: &Server, now: Instant) {
        for (counter, value) in server.counts() {
            let previous = self.last_values.insert(counter, value).unwrap_or(0);
            self.add(counter, value - previous);
        }
        let state = server.view(now);
        self.slots.with_label_values(&["used"]).set(i64::from(state.used));
        self.slots.with_label_values(&["all"]).set(i64::from(state.slots));
        self.slots.with_label_values(&["waiting"]).set(i64::from(state.waiting));
        self.kv_used.set(i64::try_from(state.kv_used).unwrap_or(i64::MAX));
        self.version.set(i64::try_from(state.version).unwrap_or(i64::MAX));
    }

    /// Adds the increase of one of the table's counters to the metric that shows it.
    fn add(&self, counter: Counter, by: u64) {
        let event = match counter {
            Counter::Failed(cause, ran) => {
                let labels = [cause_label(cause), ran.as_str()];
                self.failures.with_label_values(&labels).inc_by(by);
                return;
            }
            Counter::Freed(reason) => {
                self.freed.with_label_values(&[reason.as_str()]).inc_by(by);
                return;
            }
            Counter::Frames => "frames_received",
            Counter::Granted => "granted",
            Counter::Promised => "promised",
            Counter::LateFrames => "frames_late",
            Counter::ForeignFrames => "frames_foreign",
            Counter::ProtocolViolations => "frames_protocol",
            Counter::Orders => "orders",
            Counter::Calls => "calls",
            Counter::Completed => "answers_whole",
            Counter::Resumed => "answers_resumed",
            Counter::Unclaimed => "unclaimed",
            Counter::Pauses => "pauses",
        };
        self.events.with_label_values(&[event]).inc_by(by);
    }
}

fn name(rest: &str) -> String {
    format!("chestnutrack_side_{rest}")
}

fn counters(rest: &str, help: &str, labels: &[&str]) -> Result<IntCounterVec, prometheus::Error> {
    IntCounterVec::new(Opts::new(name(rest), help), labels)
}

fn cause_label(cause: Cause) -> &'static str {
    match cause {
        Cause::Full => "full",
        Cause::Leaving => "leaving",
        Cause::Deadline => "deadline",
        Cause::ReservationLapsed => "reservation_lapsed",
        Cause::KvLost => "kv_lost",
        Cause::Backend => "backend",
        Cause::Fenced => "fenced",
        Cause::Cancelled => "cancelled",
        Cause::Unconfigured => "unconfigured",
        Cause::Protocol => "protocol",
    }
}

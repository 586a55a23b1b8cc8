//! Metrics of membership, configuration, limits and claims.

use chestnutrack_core::limit::Cause;
use prometheus::{IntCounter, IntCounterVec, IntGauge, Opts, Registry};

/// The member's metrics; cheap to clone.
#[derive(Clone, Debug)]
pub(crate) struct Metrics {
    /// Vouch requests that were sent.
    pub(crate) vouch_requests: IntCounter,
    /// Answers to vouch requests that had not expired.
    pub(crate) vouches: IntCounter,
    /// Tables of members put in force.
    pub(crate) tables: IntCounter,
    /// Connections to peers that were opened.
    pub(crate) links: IntCounter,
    /// Dialed connections to peers that ended or were closed as idle.
    pub(crate) links_lost: IntCounter,
    /// Tokens by operation: debited, refunded, lent, borrowed or lost.
    pub(crate) tokens: IntCounterVec,
    /// Loan requests by outcome.
    pub(crate) loans: IntCounterVec,
    /// Refused debits by cause.
    pub(crate) refusals: IntCounterVec,
    /// Claims by outcome.
    pub(crate) claims: IntCounterVec,
    /// Configurations put in force.
    pub(crate) configurations: IntCounter,
    /// Documents that were refused.
    pub(crate) documents_refused: IntCounter,
    /// Version of the configuration in force.
    pub(crate) configuration: IntGauge,
    /// Whether this member is current.
    pub(crate) current: IntGauge,
    /// Whether the configuration in force is trusted.
    pub(crate) trusted: IntGauge,
    /// Members of the table in force.
    pub(crate) members: IntGauge,
    /// Whether the object interface answers.
    pub(crate) platform_up: IntGauge,
}

impl Metrics {
    /// Creates the metrics and registers them.
    pub(crate) fn new(registry: &Registry) -> Result<Metrics, prometheus::Error> {
        let counter = |name: &str, help: &str| -> Result<IntCounter, prometheus::Error> {
            let counter = IntCounter::new(format!("chestnutrack_fleet_{name}"), help)?;
            registry.register(Box::new(counter.clone()))?;
            Ok(counter)
        };
        let gauge = |name: &str, help: &str| -> Result<IntGauge, prometheus::Error> {
            let gauge = IntGauge::new(format!("chestnutrack_fleet_{name}"), help)?;
            registry.register(Box::new(gauge.clone()))?;
            Ok(gauge)
        };
        let family = |name: &str, help: &str, label: &str| {
            let opts = Opts::new(format!("chestnutrack_fleet_{name}"), help);
            let family = IntCounterVec::new(opts, &[label])?;
            registry.register(Box::new(family.clone()))?;
            Ok::<_, prometheus::Error>(family)
        };
        Ok(Metrics {
            vouch_requests: counter("vouch_asks_total", "Asks for vouching that were sent.")?,
            vouches: counter("vouched_total", "Answers of peers that vouch for this member.")?,
            tables: counter("tables_total", "Tables of members put in force.")?,
            links: counter("links_total", "Connections to peers that were opened.")?,
            links_lost: counter("links_lost_total", "Connections to peers that were given up.")?,
            tokens: family("tokens_total", "Tokens, by what became of them.", "what")?,
            loans: family("loans_total", "Loans of tokens, by outcome.", "outcome")?,
            refusals: family("refusals_total", "Refusals for want of tokens.", "cause")?,
            claims: family("claims_total", "Claims, by outcome.", "outcome")?,
            configurations: counter("configurations_total", "Configurations put in force.")?,
            documents_refused: counter("documents_refused_total", "Documents refused here.")?,
            configuration: gauge("configuration_version", "Version of the configuration.")?,
            current: gauge("current", "1 while this member is current.")?,
            trusted: gauge("trusted", "1 while the configuration is trusted.")?,
            members: gauge("members", "Members of the table in force.")?,
            platform_up: gauge("platform_up", "1 while the object interface answers.")?,
        })
    }

    /// Counts a refused debit.
    pub(crate) fn record_refusal(&self, cause: Cause) {
        self.refusals.with_label_values(&[label(cause)]).inc();
    }
}

/// Returns the label of a cause.
pub(crate) fn label(cause: Cause) -> &'static str {
    match cause {
        Cause::OverRate => "over_rate",
        Cause::OverBurst => "over_burst",
        Cause::Unknown => "unknown_organisation",
        Cause::NotCurrent => "not_current",
        Cause::QueueFull => "crowded",
    }
}

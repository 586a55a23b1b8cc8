//! Counters of calls and failed calls, by kind of call. A call fails if it gets no response; a refusal is a
//! response.

use prometheus::{IntCounter, IntCounterVec, Opts, Registry};
use std::sync::Arc;

/// Kind of a call to the object interface.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallKind {
    /// Read of one object.
    Read,
    /// List of the objects of a kind.
    List,
    /// Conditional write.
    Write,
    /// Conditional deletion.
    Delete,
    /// Watch for changes to the objects of a kind.
    Watch,
    /// Read of the host list.
    Hosts,
}

/// Every kind of call with its label in the metrics. The order is that of the enum, whose
/// discriminants index [`CallCounters`].
const CALL_KINDS: [(CallKind, &str); 6] = [
    (CallKind::Read, "read"),
    (CallKind::List, "list"),
    (CallKind::Write, "write"),
    (CallKind::Delete, "delete"),
    (CallKind::Watch, "watch"),
    (CallKind::Hosts, "hosts"),
];

/// Counts calls made and calls failed, by kind. Clones share the counters.
#[derive(Clone, Debug)]
pub struct CallCounters {
    kinds: Arc<[KindCounters]>,
    /// Times that the interface's epoch has risen.
    restores: IntCounter,
}

#[derive(Debug)]
struct KindCounters {
    made: IntCounter,
    failed: IntCounter,
}

impl CallCounters {
    /// Creates the counters and registers them if a registry is given.
    pub(super) fn new(registry: Option<&Registry>) -> CallCounters {
        let made_name = "chestnutrack_platform_calls_total";
        let made = counter_vec(registry, made_name, "Calls to the object interface.");
        let failed_name = "chestnutrack_platform_calls_failed_total";
        let failed =
            counter_vec(registry, failed_name, "Calls to the object interface without an answer.");
        let kind_counters = |(_, label): &(CallKind, &str)| KindCounters {
            made: made.with_label_values(&[label]),
            failed: failed.with_label_values(&[label]),
        };
        let restores = IntCounter::new(
            "chestnutrack_platform_restores_total",
            "Times that the object interface came back from a copy.",
        );
        let restores = restores.expect("name is constant and well formed");
        if let Some(registry) = registry {
            // As for the other counters: those of a second client aren't exported.
            let _ = registry.register(Box::new(restores.clone()));
        }
        CallCounters { kinds: CALL_KINDS.iter().map(kind_counters).collect(), restores }
    }

    pub(super) fn record_call(&self, call: CallKind) {
        self.kinds[call as usize].made.inc();
    }

    pub(super) fn record_failure(&self, call: CallKind) {
        self.kinds[call as usize].failed.inc();
    }

    pub(super) fn record_restore(&self) {
        self.restores.inc();
    }

    /// Returns how often the interface's epoch has risen.
    pub fn restores(&self) -> u64 {
        self.restores.get()
    }

    /// Returns how many calls of a kind were made.
    pub fn calls(&self, call: CallKind) -> u64 {
        self.kinds[call as usize].made.get()
    }

    /// Returns how many calls of a kind got no response.
    pub fn failures(&self, call: CallKind) -> u64 {
        self.kinds[call as usize].failed.get()
    }
}

/// Creates a counter labelled by kind of call and registers it.
fn counter_vec(registry: Option<&Registry>, name: &str, help: &str) -> IntCounterVec {
    let counters = IntCounterVec::new(Opts::new(name, help), &["call"]);
    let counters = counters.expect("name and label are constant and well formed");
    if let Some(registry) = registry {
        // Registration fails for a second client of the same process: its calls are counted but
        // not exported.
        let _ = registry.register(Box::new(counters.clone()));
    }
    counters
}

//! KindCounters of calls by kind.

use prometheus::{IntCounter, IntCounterVec, Opts, Registry};
use std::sync::Arc;

/// Kind of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallKind {
    /// Read of one object.
    Read,
    /// List of a kind.
    List,
    /// Conditional write.
    Write,
    /// Conditional deletion.
    Delete,
    /// Watch of a kind.
    Watch,
    /// Host list.
    Hosts,
}

/// Every kind of call, in the order of the enum.
const CALL_KINDS: [(CallKind, &str); 6] = [
    (CallKind::Read, "read"),
    (CallKind::List, "list"),
    (CallKind::Write, "write"),
    (CallKind::Delete, "delete"),
    (CallKind::Watch, "watch"),
    (CallKind::Hosts, "hosts"),
];

/// How many calls were made and failed, by kind; cheap to clone.
#[derive(Clone, Debug)]
pub struct CallCounters(Arc<[KindCounters]>);

#[derive(Debug)]
struct KindCounters {
    made: IntCounter,
    failed: IntCounter,
}

impl CallCounters {
    pub(super) fn new(registry: Option<&Registry>) -> CallCounters {
        let made = "chestnutrack_platform_calls_total";
        let made = family(registry, made, "Calls to the object interface.");
        let failed = "chestnutrack_platform_calls_failed_total";
        let failed = family(registry, failed, "Calls to the object interface without an answer.");
        let counters = |(_, name): &(CallKind, &str)| KindCounters {
            made: made.with_label_values(&[name]),
            failed: failed.with_label_values(&[name]),
        };
        CallCounters(CALL_KINDS.iter().map(counters).collect())
    }

    pub(super) fn record_call(&self, call: CallKind) {
        self.0[call as usize].made.inc();
    }

    pub(super) fn record_failure(&self, call: CallKind) {
        self.0[call as usize].failed.inc();
    }

    /// How many calls of a kind were made.
    pub fn calls(&self, call: CallKind) -> u64 {
        self.0[call as usize].made.get()
    }

    /// How many calls of a kind got no answer.
    pub fn failures(&self, call: CallKind) -> u64 {
        self.0[call as usize].failed.get()
    }
}

fn family(registry: Option<&Registry>, name: &str, help: &str) -> IntCounterVec {
    let family = IntCounterVec::new(Opts::new(name, help), &["call"]);
    let family = family.expect("name and label are constant and well formed");
    if let Some(registry) = registry {
        // A second client of the same process counts apart.
        let _ = registry.register(Box::new(family.clone()));
    }
    family
}

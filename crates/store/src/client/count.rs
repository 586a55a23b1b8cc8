//! Counters of calls by kind.

use prometheus::{IntCounter, IntCounterVec, Opts, Registry};
use std::sync::Arc;

/// Kind of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Call {
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
const CALLS: [(Call, &str); 6] = [
    (Call::Read, "read"),
    (Call::List, "list"),
    (Call::Write, "write"),
    (Call::Delete, "delete"),
    (Call::Watch, "watch"),
    (Call::Hosts, "hosts"),
];

/// How many calls were made and failed, by kind; cheap to clone.
#[derive(Clone, Debug)]
pub struct Count(Arc<[Counters]>);

#[derive(Debug)]
struct Counters {
    made: IntCounter,
    failed: IntCounter,
}

impl Count {
    pub(super) fn new(registry: Option<&Registry>) -> Count {
        let made = "chestnutrack_platform_calls_total";
        let made = family(registry, made, "Calls to the object interface.");
        let failed = "chestnutrack_platform_calls_failed_total";
        let failed = family(registry, failed, "Calls to the object interface without an answer.");
        let counters = |(_, name): &(Call, &str)| Counters {
            made: made.with_label_values(&[name]),
            failed: failed.with_label_values(&[name]),
        };
        Count(CALLS.iter().map(counters).collect())
    }

    pub(super) fn made(&self, call: Call) {
        self.0[call as usize].made.inc();
    }

    pub(super) fn failed(&self, call: Call) {
        self.0[call as usize].failed.inc();
    }

    /// How many calls of a kind were made.
    pub fn calls(&self, call: Call) -> u64 {
        self.0[call as usize].made.get()
    }

    /// How many calls of a kind got no answer.
    pub fn failures(&self, call: Call) -> u64 {
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

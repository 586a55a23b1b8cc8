//! Collects the records of the stand-ins: the calls that plain services ran, and the counters of
//! the engines and of the object interface.

use chestnutrack_document::model::Role;
use chestnutrack_harness::Fleet;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;

/// Sums of the counters of all engines. The counts of an engine that was killed are lost.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Engines {
    /// Prompt tokens that prefills computed.
    pub prefilled_tokens: u64,
    /// Prompt tokens that were found in prefix caches.
    pub cached_tokens: u64,
    /// Prompt tokens that were computed but whose KV cache was never exported.
    pub wasted_prefill_tokens: u64,
    /// Prompt tokens whose KV cache was imported but never decoded.
    pub undecoded_tokens: u64,
    /// Output tokens that were generated.
    pub generated_tokens: u64,
}

/// Calls and counters that the stand-ins recorded.
#[derive(Debug, Default)]
pub struct Record {
    /// Counters of the engines.
    pub engines: Engines,
    /// Calls to the object interface, by kind.
    pub platform: BTreeMap<String, u64>,
    /// Target of each call that ran, by address of the plain service and number of the call.
    ran: HashMap<(SocketAddr, u64), String>,
}

#[derive(Deserialize)]
struct Log {
    seen: Vec<Call>,
}

#[derive(Deserialize)]
struct Call {
    call: u64,
    target: String,
    ran: bool,
}

impl Record {
    /// Adds the calls that plain services ran since the last poll. The services keep only their
    /// newest calls, so calls are missed if polls are too rare.
    pub(super) async fn poll(&mut self, fleet: &Fleet) {
        for address in addresses(fleet, |role| role == Role::Plain) {
            let page = fleet.get_json(address, "/control/seen").await.unwrap_or_default();
            let Ok(log) = serde_json::from_value::<Log>(page) else {
                continue;
            };
            let ran = log.seen.into_iter().filter(|call| call.ran);
            self.ran.extend(ran.map(|call| ((address, call.call), call.target)));
        }
    }

    /// Reads the counters of the engines and of the object interface.
    pub(super) async fn read_counts(&mut self, fleet: &Fleet) {
        for address in addresses(fleet, |role| role != Role::Plain) {
            let page = fleet.get_json(address, "/control/counts").await.unwrap_or_default();
            let count = |name: &str| page[name].as_u64().unwrap_or(0);
            self.engines.prefilled_tokens += count("prefilled_tokens");
            self.engines.cached_tokens += count("cached_tokens");
            self.engines.wasted_prefill_tokens += count("wasted_prefill_tokens");
            self.engines.undecoded_tokens += count("undecoded_tokens");
            self.engines.generated_tokens += count("generated_tokens");
        }
        let counts = fleet.get_json(fleet.platform(), "/control/counts").await.unwrap_or_default();
        if let Value::Object(counts) = counts {
            let counted = counts.into_iter();
            self.platform = counted.filter_map(|(name, n)| Some((name, n.as_u64()?))).collect();
        }
    }

    /// Records a call that ran; for tests.
    pub fn record_ran(&mut self, server: SocketAddr, call: u64, target: &str) {
        self.ran.insert((server, call), target.to_owned());
    }

    /// Returns how often each target ran, over all plain services.
    pub fn times_ran(&self) -> HashMap<&str, u64> {
        let mut times = HashMap::new();
        for target in self.ran.values() {
            *times.entry(target.as_str()).or_default() += 1;
        }
        times
    }
}

fn addresses(fleet: &Fleet, has_role: fn(Role) -> bool) -> Vec<SocketAddr> {
    let servers = fleet.servers().filter(|server| has_role(server.role));
    servers.map(|server| server.address).collect()
}

//! What the stand-ins have on record: what plain services ran, and what engines counted.

use chestnutrack_document::model::Role;
use chestnutrack_harness::Fleet;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;

/// Counts of the model engines together; those of engines that were killed are lost.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Engines {
    /// Tokens computed by prefills.
    pub prefilled_tokens: u64,
    /// Tokens found in prefix caches.
    pub cached_tokens: u64,
    /// Tokens computed and never exported.
    pub wasted_prefill_tokens: u64,
    /// Tokens imported and never decoded.
    pub undecoded_tokens: u64,
    /// Tokens of answers.
    pub generated_tokens: u64,
}

/// What the stand-ins have on record.
#[derive(Debug, Default)]
pub struct Record {
    /// Engines' counts.
    pub engines: Engines,
    /// Calls that the object interface counted, by kind.
    pub platform: BTreeMap<String, u64>,
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
    /// Reads what plain services ran since the last look; they keep only their newest calls.
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

    /// Reads what engines and the object interface counted.
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

    /// Notes a call that ran; for tests.
    pub fn note_ran(&mut self, server: SocketAddr, call: u64, target: &str) {
        self.ran.insert((server, call), target.to_owned());
    }

    /// How often each target ran, over all plain services.
    pub fn times_ran(&self) -> HashMap<&str, u64> {
        let mut times = HashMap::new();
        for target in self.ran.values() {
            *times.entry(target.as_str()).or_default() += 1;
        }
        times
    }
}

fn addresses(fleet: &Fleet, wanted: fn(Role) -> bool) -> Vec<SocketAddr> {
    let servers = fleet.servers().filter(|server| wanted(server.role));
    servers.map(|server| server.address).collect()
}

//! A server in need, which names how many requests a second it takes from all hosts together.

use crate::fleet::Fleet;
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use std::time::Duration;
use tokio::time::sleep;

/// Time from the start of the run until the server names its limit, in milliseconds.
const START_MS: std::ops::Range<u64> = 500..3_000;
/// Requests per second that it names.
const LIMITS: std::ops::Range<u32> = 3..20;
/// Time for which it names the limit: what is checked begins some seconds later.
const LENGTH: Duration = Duration::from_secs(10);

/// Has a server name a limit for a while.
pub async fn inject(fleet: &Fleet, mut rng: ChaCha8Rng) -> String {
    sleep(Duration::from_millis(rng.random_range(START_MS))).await;
    let per_s = rng.random_range(LIMITS);
    let servers = fleet.servers.lock().await;
    let present: Vec<_> =
        servers.iter().filter(|server| !server.entry.leaving && !server.is_crashed).collect();
    if present.is_empty() {
        return "no server to limit".to_owned();
    }
    let server = present[rng.random_range(0..present.len())];
    let name = server.entry.name.clone();
    fleet.ledger.record_limit(&name, per_s);
    server.backend.limit(Some(per_s));
    drop(servers);
    sleep(LENGTH).await;
    fleet.ledger.record_limit_end(&name);
    let servers = fleet.servers.lock().await;
    if let Some(server) = servers.iter().find(|server| server.entry.name == name) {
        server.backend.limit(None);
    }
    format!("{name} named a limit of {per_s} a second")
}

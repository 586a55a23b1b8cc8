//! Engines that start again under their names, with other software than their entries say for a while.

use crate::backend::{BUILDS, Process};
use crate::fleet::{Error, Fleet};
use crate::ledger::disturbance::Scope;
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use serde_json::json;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// Time between two restarts, in milliseconds.
const INTERVAL_MS: std::ops::Range<u64> = 1_000..4_000;
/// Time until the new process writes its entry, in milliseconds.
const ENTRY_DELAY_MS: std::ops::Range<u64> = 0..1_500;
/// Start time of the first process that starts again; lower ones belong to the first processes of servers.
const FIRST_BORN: u64 = 1_000;

/// Restarts engines, one after the other, for a while. Returns their descriptions.
///
/// # Errors
///
/// Returns an error if an entry can't be written.
pub async fn inject(
    fleet: &Fleet,
    mut rng: ChaCha8Rng,
    length: Duration,
) -> Result<Vec<String>, Error> {
    let deadline = Instant::now() + length;
    let mut descriptions = Vec::new();
    for born in FIRST_BORN.. {
        sleep(Duration::from_millis(rng.random_range(INTERVAL_MS))).await;
        if Instant::now() >= deadline {
            break;
        }
        let process = Process { build: BUILDS[rng.random_range(0..BUILDS.len())], born };
        let (choice, delay_ms) = (rng.random::<u32>(), rng.random_range(ENTRY_DELAY_MS));
        let at_ms = fleet.ledger.elapsed().as_millis();
        if let Some(name) = restart(fleet, choice as usize, process, delay_ms).await? {
            descriptions.push(format!(
                "{name} starts again as {} at {at_ms} ms, and says so after {delay_ms} ms",
                process.build
            ));
        }
    }
    Ok(descriptions)
}

/// Restarts one of the engines that neither leave nor have crashed. Returns its name, or `None` if there is none.
async fn restart(
    fleet: &Fleet,
    choice: usize,
    process: Process,
    delay_ms: u64,
) -> Result<Option<std::sync::Arc<str>>, Error> {
    let servers = fleet.servers.lock().await;
    let engines: Vec<_> = servers
        .iter()
        .filter(|server| server.entry.stage.is_some())
        .filter(|server| !server.entry.leaving && !server.is_crashed)
        .collect();
    if engines.is_empty() {
        return Ok(None);
    }
    let engine = engines[choice % engines.len()];
    let name = engine.entry.name.clone();
    let _disturbance = fleet.ledger.disturb(&name, Scope::Connections);
    engine.backend.start_again(process);
    engine.link.reset_open();
    drop(servers);
    sleep(Duration::from_millis(delay_ms)).await;
    let mut servers = fleet.servers.lock().await;
    let engine = servers.iter_mut().find(|server| server.entry.name == name);
    let entry = engine.map(|engine| {
        engine.entry.build = process.build.into();
        engine.entry.born = Some(process.born);
        engine.entry.clone()
    });
    drop(servers);
    if let Some(entry) = entry {
        fleet.write("backends", &name, &json!(entry)).await?;
    }
    Ok(Some(name))
}

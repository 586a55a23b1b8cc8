//! A part of a prompt under which each engine crashes that begins to write an answer, a request under which each server of a
//! plain service does, and the servers that come back.

use crate::fleet::{Error, Fleet};
use crate::ledger::crash::{CRASHES_MAX, SERVICE_TIME};
use crate::ledger::disturbance::Scope;
use chestnutrack_core::dispatch::Entry;
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, timeout_at};

/// Time from the start of the run to the first request with the part, in milliseconds.
const START_MS: std::ops::Range<u64> = 1_000..3_000;
/// Time for which a crashed engine is gone, in milliseconds.
const GONE_MS: std::ops::Range<u64> = 1_000..2_000;
/// Longest time until the first engine crashes.
const FIRST_CRASH_TIMEOUT: Duration = Duration::from_secs(15);
/// Time during which sound requests are measured while such with the part come.
const OBSERVATION: Duration = Duration::from_secs(5);
/// Time for which crashes may still come after the last request with the part was sent.
const LAST_CRASH_TIME: Duration = Duration::from_secs(1);
/// Number of the first engine that comes back; lower numbers belong to the other servers.
const FIRST_RESTARTED: u8 = 110;
/// End of the numbers of engines that come back: those of addresses end here.
const RESTARTED_END: u8 = 240;

/// Has requests with the part sent from a while after the start on, until all that is checked has been observed, and
/// restarts the engines that crash. `is_sent` says whether such requests are sent.
///
/// # Errors
///
/// Returns an error if an engine cannot be restarted.
pub async fn inject(
    fleet: &Arc<Fleet>,
    mut rng: ChaCha8Rng,
    part: &Arc<str>,
    is_sent: &watch::Sender<bool>,
) -> Result<String, Error> {
    let mut crashes = fleet.crashes.lock().await;
    let mut restarts = JoinSet::new();
    sleep(Duration::from_millis(rng.random_range(START_MS))).await;
    is_sent.send_replace(true);
    let mut end = Instant::now() + FIRST_CRASH_TIMEOUT;
    let (mut crashed, mut number) = (0, FIRST_RESTARTED);
    loop {
        let Ok(Some(crash)) = timeout_at(end, crashes.recv()).await else {
            if !is_sent.send_replace(false) {
                break;
            }
            fleet.ledger.record_cause_end(part);
            end = Instant::now() + LAST_CRASH_TIME;
            continue;
        };
        let Some(entry) = end_engine(fleet, &crash.server).await else { continue };
        let count = fleet.ledger.record_crash(&crash.cause);
        if crash.cause == *part {
            crashed = count;
            if crashed <= CRASHES_MAX && *is_sent.borrow() {
                end = Instant::now() + SERVICE_TIME + OBSERVATION;
            }
        }
        if !entry.leaving && number < RESTARTED_END {
            let gone = Duration::from_millis(rng.random_range(GONE_MS));
            restarts.spawn(restart(fleet.clone(), entry, gone, number));
            number += 1;
        }
    }
    while let Some(restarted) = restarts.join_next().await {
        if let Ok(Err(error)) = restarted {
            return Err(error);
        }
    }
    Ok(format!("{part} crashed {crashed} engines"))
}

/// Ends the process of a server: resets its connections and refuses new ones for good. Returns its entry in the store,
/// or `None` if it has ended already.
async fn end_engine(fleet: &Fleet, name: &Arc<str>) -> Option<Entry> {
    let mut servers = fleet.servers.lock().await;
    let mut running = servers.iter_mut().filter(|server| !server.is_crashed);
    let server = running.find(|server| server.entry.name == *name)?;
    fleet.ledger.disturb(name, Scope::Connections).keep();
    server.is_crashed = true;
    server.link.close();
    Some(server.entry.clone())
}

/// Starts a server again as a new process, after a while.
async fn restart(
    fleet: Arc<Fleet>,
    crashed: Entry,
    gone: Duration,
    number: u8,
) -> Result<(), Error> {
    sleep(gone).await;
    fleet.restart_server(number, &crashed).await
}

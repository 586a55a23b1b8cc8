//! One soak run: starts callers, injects faults, and reports the findings.

use crate::caller::{self, Caller};
use crate::fault;
use crate::fleet::{self, Error, Fleet};
use crate::ledger::{Kind, Outcome};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, timeout};

/// Number of callers without a limit, and of callers of the organisation that exceeds its allowance.
const CALLERS: (usize, usize) = (12, 3);
/// Pause of a caller between two requests, in milliseconds.
const REQUEST_INTERVAL_MS: std::ops::Range<u64> = 5..40;
/// On average, callers disconnect from one in this many requests.
const DISCONNECT_ONE_IN: u32 = 12;
/// Time between two drills, in milliseconds.
const DRILL_INTERVAL_MS: std::ops::Range<u64> = 1_000..4_000;
/// Added to the seed of a run for its drills.
const DRILL_SEED_OFFSET: u64 = 1 << 32;
/// Time between the starts of two faults, in milliseconds.
const FAULT_INTERVAL_MS: std::ops::Range<u64> = 50..900;
/// Longest time for all faults to end.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(60);
/// Wait at the end, after which the runs of requests whose callers disconnected must have ended.
const SETTLE_TIME: Duration = Duration::from_millis(2_500);

/// Settings of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Seed of the faults and of the requests.
    pub seed: u64,
    /// Time during which faults are injected.
    pub length: Duration,
    /// Number of entry hosts.
    pub hosts: u8,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings { seed: 1, length: Duration::from_secs(10), hosts: 3 }
    }
}

/// Result of a run.
#[derive(Clone, Debug, Default)]
pub struct Report {
    /// Violations of guarantees.
    pub findings: Vec<String>,
    /// Injected faults, in order.
    pub faults: Vec<String>,
    /// Number of requests by kind and outcome.
    pub counts: BTreeMap<String, u32>,
}

/// State shared by the callers.
struct Shared {
    fleet: Arc<Fleet>,
    finished: AtomicBool,
    next_id: AtomicU64,
}

/// Starts a fleet and callers, injects faults, waits for recovery and returns the findings.
///
/// # Errors
///
/// Returns an error if the run could not continue; this says nothing about the guarantees.
pub async fn execute(settings: Settings) -> Result<Report, Error> {
    let fleet = Arc::new(Fleet::start(settings.hosts).await?);
    let shared = Arc::new(Shared {
        fleet: fleet.clone(),
        finished: AtomicBool::new(false),
        next_id: AtomicU64::new(0),
    });
    let callers = start_callers(&shared, settings.seed);
    let (faults, drills) =
        tokio::join!(inject_faults(&fleet, settings), inject_drills(&fleet, settings));
    let faults = [faults?, drills?].concat();
    for host in 0..fleet.hosts.len() {
        fleet.wait_ready(host).await?;
    }
    check_recovery(&fleet).await;
    shared.finished.store(true, Ordering::Relaxed);
    callers.join_all().await;
    sleep(SETTLE_TIME).await;
    for host in &fleet.hosts {
        let mut process = host.process.lock().await;
        if let Some(exit_status) = process.exit_status() {
            fleet
                .ledger
                .record_violation(format!("{} ended by itself: {exit_status}", process.name));
        }
    }
    let findings = fleet.ledger.findings(&[fleet::allowance()]);
    let counts = fleet.ledger.counts().into_iter();
    let counts = counts.map(|((kind, outcome), count)| (format!("{kind:?} {outcome:?}"), count));
    Ok(Report { findings, faults, counts: counts.collect() })
}

/// Injects random faults for the length of the run, waits until all have ended and returns their
/// descriptions.
async fn inject_faults(fleet: &Arc<Fleet>, settings: Settings) -> Result<Vec<String>, Error> {
    let mut rng = ChaCha8Rng::seed_from_u64(settings.seed);
    let (mut running, mut descriptions) = (JoinSet::new(), Vec::new());
    let deadline = Instant::now() + settings.length;
    let mut number = 0;
    while Instant::now() < deadline {
        sleep(Duration::from_millis(rng.random_range(FAULT_INTERVAL_MS))).await;
        let servers = fleet.servers.lock().await.len();
        let (fault, duration) = fault::draw(&mut rng, fleet.hosts.len(), servers);
        descriptions.push(format!("{fault:?} for {} ms", duration.as_millis()));
        running.spawn(fault::inject(fleet.clone(), fault, duration, number));
        number += 1;
    }
    wait_until_ended(running).await?;
    Ok(descriptions)
}

/// Injects drills of the store, and servers that ask for quiet, beside the other faults. They have a
/// sequence of their own, so that a seed's other faults stay the same.
async fn inject_drills(fleet: &Arc<Fleet>, settings: Settings) -> Result<Vec<String>, Error> {
    let mut rng = ChaCha8Rng::seed_from_u64(settings.seed.wrapping_add(DRILL_SEED_OFFSET));
    let mut descriptions = Vec::new();
    let deadline = Instant::now() + settings.length;
    loop {
        sleep(Duration::from_millis(rng.random_range(DRILL_INTERVAL_MS))).await;
        if Instant::now() >= deadline {
            return Ok(descriptions);
        }
        let servers = fleet.servers.lock().await.len();
        let (fault, duration) = fault::draw_drill(&mut rng, servers);
        descriptions.push(format!("{fault:?} for {} ms", duration.as_millis()));
        fault::inject(fleet.clone(), fault, duration, 0).await?;
    }
}

/// Waits until all faults have ended.
async fn wait_until_ended(mut running: JoinSet<Result<(), Error>>) -> Result<(), Error> {
    let all_ended = async {
        while let Some(result) = running.join_next().await {
            if let Ok(Err(error)) = result {
                return Err(error);
            }
        }
        Ok(())
    };
    let not_restored = Error::NotReady("a fault".to_owned(), "it did not end in time".to_owned());
    timeout(RECOVERY_TIMEOUT, all_ended).await.unwrap_or(Err(not_restored))
}

/// Starts the callers without a limit and those that exceed their allowance.
fn start_callers(shared: &Arc<Shared>, seed: u64) -> JoinSet<()> {
    let (unlimited, flood) = fleet::callers();
    let mut callers = JoinSet::new();
    for number in 0..CALLERS.0 + CALLERS.1 {
        let caller = if number < CALLERS.0 { &unlimited } else { &flood };
        let rng = ChaCha8Rng::seed_from_u64(seed.wrapping_add(number as u64 + 1));
        callers.spawn(send_requests(shared.clone(), caller.clone(), number >= CALLERS.0, rng));
    }
    callers
}

/// Sends requests over pooled connections, each to a random host, until the run is finished.
async fn send_requests(
    shared: Arc<Shared>,
    caller: Caller,
    exceeds_allowance: bool,
    mut rng: ChaCha8Rng,
) {
    let hosts = &shared.fleet.hosts;
    let pools: Vec<_> = hosts.iter().map(|host| caller::connections(host.caller_address)).collect();
    while !shared.finished.load(Ordering::Relaxed) {
        let pool = &pools[rng.random_range(0..pools.len())];
        let kind = match exceeds_allowance {
            true => Kind::Lookup,
            false => Kind::ALL[rng.random_range(0..Kind::ALL.len())],
        };
        let id: Arc<str> = format!("r{}", shared.next_id.fetch_add(1, Ordering::Relaxed)).into();
        let disconnects = rng.random_range(0..DISCONNECT_ONE_IN) == 0;
        let disconnect_after = disconnects.then(|| Duration::from_millis(rng.random_range(1..150)));
        let outcome =
            caller::call(&shared.fleet.ledger, pool, &caller, id.clone(), kind, disconnect_after)
                .await;
        if let Outcome::Failed(status @ (400..500)) = outcome {
            // The routes and keys of the callers exist during the whole run.
            shared
                .fleet
                .ledger
                .record_violation(format!("{id}: {kind:?} was refused with {status}"));
        }
        sleep(Duration::from_millis(rng.random_range(REQUEST_INTERVAL_MS))).await;
    }
}

/// Checks that each host serves each kind of request again once all faults have ended.
async fn check_recovery(fleet: &Fleet) {
    let (caller, _) = fleet::callers();
    for (number, host) in fleet.hosts.iter().enumerate() {
        for kind in Kind::ALL {
            let deadline = Instant::now() + fleet::READY_TIMEOUT;
            for attempt in 0.. {
                let pool = caller::connections(host.caller_address);
                let id: Arc<str> =
                    format!("after-{number}-{}-{attempt}", kind.path_segment()).into();
                let outcome = caller::call(&fleet.ledger, &pool, &caller, id, kind, None).await;
                if outcome == Outcome::Whole {
                    break;
                }
                if Instant::now() > deadline {
                    let violation = format!("entry-{number} serves no {kind:?} again: {outcome:?}");
                    fleet.ledger.record_violation(violation);
                    break;
                }
                sleep(Duration::from_millis(100)).await;
            }
        }
    }
}

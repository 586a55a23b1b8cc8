//! One run: callers, faults, and what is found.

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

/// Callers without a limit, and callers of the organisation that asks for more than its allowance.
const CALLERS: (usize, usize) = (12, 3);
/// Pause of a caller between requests.
const PAUSE_MS: std::ops::Range<u64> = 5..40;
/// One request in so many is left by its caller.
const LEAVES: u32 = 12;
/// Pause between faults.
const BETWEEN_MS: std::ops::Range<u64> = 50..900;
/// Longest time for faults to be over.
const MENDED_WITHIN: Duration = Duration::from_secs(60);
/// Time at the end in which work of callers that left must have ended.
const SETTLE: Duration = Duration::from_millis(2_500);

/// Settings of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Seed of the faults.
    pub seed: u64,
    /// Time in which faults come.
    pub length: Duration,
    /// Entry hosts.
    pub hosts: u8,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings { seed: 1, length: Duration::from_secs(10), hosts: 3 }
    }
}

/// What a run found.
#[derive(Clone, Debug, Default)]
pub struct Report {
    /// Promises that were broken.
    pub findings: Vec<String>,
    /// Faults, in the order in which they came.
    pub faults: Vec<String>,
    /// Requests by kind and outcome.
    pub counts: BTreeMap<String, u32>,
}

/// What callers share.
struct Shared {
    fleet: Arc<Fleet>,
    over: AtomicBool,
    next: AtomicU64,
}

/// Plays a run.
///
/// # Errors
///
/// When it could not go on, which says nothing of the promises.
pub async fn play(settings: Settings) -> Result<Report, Error> {
    let fleet = Arc::new(Fleet::start(settings.hosts).await?);
    let shared = Arc::new(Shared {
        fleet: fleet.clone(),
        over: AtomicBool::new(false),
        next: AtomicU64::new(0),
    });
    let callers = start_callers(&shared, settings.seed);
    let faults = play_faults(&fleet, settings).await?;
    for host in 0..fleet.hosts.len() {
        fleet.wait_ready(host).await?;
    }
    serves_again(&fleet).await;
    shared.over.store(true, Ordering::Relaxed);
    callers.join_all().await;
    sleep(SETTLE).await;
    for host in &fleet.hosts {
        let mut process = host.process.lock().await;
        if let Some(end) = process.exit_status() {
            fleet.ledger.broken(format!("{} ended by itself: {end}", process.name));
        }
    }
    let findings = fleet.ledger.findings(&[fleet::allowance()]);
    let counts = fleet.ledger.counts().into_iter();
    let counts = counts.map(|((kind, outcome), count)| (format!("{kind:?} {outcome:?}"), count));
    Ok(Report { findings, faults, counts: counts.collect() })
}

async fn play_faults(fleet: &Arc<Fleet>, settings: Settings) -> Result<Vec<String>, Error> {
    let mut rng = ChaCha8Rng::seed_from_u64(settings.seed);
    let (mut playing, mut told) = (JoinSet::new(), Vec::new());
    let until = Instant::now() + settings.length;
    let mut number = 0;
    while Instant::now() < until {
        sleep(Duration::from_millis(rng.random_range(BETWEEN_MS))).await;
        let servers = fleet.servers.lock().await.len();
        let (fault, lasts) = fault::draw(&mut rng, fleet.hosts.len(), servers);
        told.push(format!("{fault:?} for {} ms", lasts.as_millis()));
        playing.spawn(fault::play(fleet.clone(), fault, lasts, number));
        number += 1;
    }
    let ended = async {
        while let Some(played) = playing.join_next().await {
            if let Ok(Err(error)) = played {
                return Err(error);
            }
        }
        Ok(())
    };
    let late = Error::NotReady("a fault".to_owned(), "it was not mended in time".to_owned());
    timeout(MENDED_WITHIN, ended).await.unwrap_or(Err(late))?;
    Ok(told)
}

fn start_callers(shared: &Arc<Shared>, seed: u64) -> JoinSet<()> {
    let (free, flood) = fleet::callers();
    let mut callers = JoinSet::new();
    for number in 0..CALLERS.0 + CALLERS.1 {
        let caller = if number < CALLERS.0 { &free } else { &flood };
        let rng = ChaCha8Rng::seed_from_u64(seed.wrapping_add(number as u64 + 1));
        callers.spawn(ask(shared.clone(), caller.clone(), number >= CALLERS.0, rng));
    }
    callers
}

/// Makes requests on connections that stay open, host after host.
async fn ask(shared: Arc<Shared>, caller: Caller, floods: bool, mut rng: ChaCha8Rng) {
    let hosts = &shared.fleet.hosts;
    let pools: Vec<_> = hosts.iter().map(|host| caller::connections(host.callers)).collect();
    while !shared.over.load(Ordering::Relaxed) {
        let pool = &pools[rng.random_range(0..pools.len())];
        let kind = match floods {
            true => Kind::Lookup,
            false => Kind::ALL[rng.random_range(0..Kind::ALL.len())],
        };
        let id: Arc<str> = format!("r{}", shared.next.fetch_add(1, Ordering::Relaxed)).into();
        let leaves = rng.random_range(0..LEAVES) == 0;
        let leave = leaves.then(|| Duration::from_millis(rng.random_range(1..150)));
        let outcome =
            caller::call(&shared.fleet.ledger, pool, &caller, id.clone(), kind, leave).await;
        if let Outcome::Failed(status @ (400..500)) = outcome {
            // The route and the key are there all the while.
            shared.fleet.ledger.broken(format!("{id}: {kind:?} was refused with {status}"));
        }
        sleep(Duration::from_millis(rng.random_range(PAUSE_MS))).await;
    }
}

/// Each host serves each kind of request again once all faults are over.
async fn serves_again(fleet: &Fleet) {
    let (caller, _) = fleet::callers();
    for (number, host) in fleet.hosts.iter().enumerate() {
        for kind in Kind::ALL {
            let until = Instant::now() + fleet::READY_WITHIN;
            for attempt in 0.. {
                let pool = caller::connections(host.callers);
                let id: Arc<str> = format!("after-{number}-{}-{attempt}", kind.path()).into();
                let outcome = caller::call(&fleet.ledger, &pool, &caller, id, kind, None).await;
                if outcome == Outcome::Whole {
                    break;
                }
                if Instant::now() > until {
                    let what = format!("entry-{number} serves no {kind:?} again: {outcome:?}");
                    fleet.ledger.broken(what);
                    break;
                }
                sleep(Duration::from_millis(100)).await;
            }
        }
    }
}

//! One soak run: starts callers, injects faults, and reports the findings.

use crate::backend::{CRASHING_PREFIX, DEADLY_PREFIX, LONG_PREFIX, RELEASE_PREFIX};
use crate::caller::{self, Call, Caller, Progress, Resumed};
use crate::fault::{self, Fault};
use crate::fleet::{self, Error, Fleet, RELEASE_SERVICES};
use crate::ledger::crash::Sharing;
use crate::ledger::resume::{ENGINES_MIN, Try};
use crate::ledger::{Kind, Outcome};
use chestnutrack_process::pool::Pool;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, timeout};

/// Number of callers of each role.
const CALLERS: [(Role, usize); 9] = [
    (Role::Any, 12),
    (Role::Flood, 3),
    (Role::LongStreams, 4),
    (Role::Sound(Sharing::Nothing), 4),
    (Role::Sound(Sharing::Caller), 4),
    (Role::Sound(Sharing::FirstPart), 4),
    (Role::Crashing, 3),
    (Role::Deadly, 1),
    // Last, so that the others keep their sequences.
    (Role::Release, 32),
];
/// Pause of a caller between two requests, in milliseconds.
const REQUEST_INTERVAL_MS: std::ops::Range<u64> = 5..40;
/// The same of a caller whose requests crash engines.
const CRASHING_INTERVAL_MS: std::ops::Range<u64> = 50..150;
/// First part of the prompts of requests that crash engines, which sound ones have too.
const FIRST_PART: &str = "family";
/// On average, callers disconnect from one in this many requests.
const DISCONNECT_ONE_IN: u32 = 12;
/// Time between two drills, in milliseconds.
const DRILL_INTERVAL_MS: std::ops::Range<u64> = 1_000..4_000;
/// Added to the seed of a run for its drills.
const DRILL_SEED_OFFSET: u64 = 1 << 32;
/// Time between two of the faults that sound servers may have, in milliseconds.
const SOUND_FAULT_INTERVAL_MS: std::ops::Range<u64> = 400..1_600;
/// Added to the seed of a run for the faults that sound servers may have, and for the part that crashes engines.
const SOUND_FAULT_SEED_OFFSET: u64 = 2 << 32;
const CRASH_SEED_OFFSET: u64 = 3 << 32;
/// Added to the seed of a run for the server that names a limit.
const LIMIT_SEED_OFFSET: u64 = 4 << 32;
/// Added to the seed of a run for the engines that start again.
const RESTART_SEED_OFFSET: u64 = 5 << 32;
/// Added to the seed of a run for its releases.
const RELEASE_SEED_OFFSET: u64 = 6 << 32;
/// Tries of a caller to resume a stream that has broken off, and the time before each, in milliseconds.
const RESUMES_MAX: u32 = 2;
const RESUME_DELAY_MS: std::ops::Range<u64> = 5..300;
/// Share of streams of the services that releases take place in which go to the one with a release.
const RELEASE_SHARE: f64 = 0.8;
/// The time before each try to resume one of these, in milliseconds, and the share of tries at a host that is out of step.
const RELEASE_RESUME_DELAY_MS: std::ops::Range<u64> = 0..20;
const OUT_OF_STEP_SHARE: f64 = 0.6;
/// Time without a fault after which the store counts as stable.
const STORE_CALM: Duration = Duration::from_secs(3);
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
    /// Number of requests by kind and outcome, and measures of the faults of engines.
    pub counts: BTreeMap<String, u32>,
    /// Logs of the processes by name, if there are findings.
    pub logs: Vec<(String, String)>,
}

/// What a caller sends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Role {
    /// Requests of all kinds.
    Any,
    /// More requests than its organisation's allowance.
    Flood,
    /// Requests for long streams.
    LongStreams,
    /// Sound requests that share something with those that crash engines.
    Sound(Sharing),
    /// Requests that crash engines, at times.
    Crashing,
    /// One request that crashes servers of the plain service, again and again at the same times.
    Deadly,
    /// Streams of the services that releases take place in.
    Release,
}

/// State shared by the callers.
struct Shared {
    fleet: Arc<Fleet>,
    finished: AtomicBool,
    next_id: AtomicU64,
    /// Part of the prompt that crashes engines.
    crashing_part: Arc<str>,
    /// What the request that crashes servers of the plain service asks for.
    deadly_resource: Arc<str>,
    /// Whether requests that crash servers are sent.
    crashing: watch::Sender<bool>,
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
        crashing_part: format!("{CRASHING_PREFIX}{}", settings.seed).into(),
        deadly_resource: format!("{DEADLY_PREFIX}{}", settings.seed).into(),
        crashing: watch::Sender::new(false),
    });
    let callers = start_callers(&shared, settings.seed);
    let rng = ChaCha8Rng::seed_from_u64(settings.seed.wrapping_add(CRASH_SEED_OFFSET));
    let limit_rng = ChaCha8Rng::seed_from_u64(settings.seed.wrapping_add(LIMIT_SEED_OFFSET));
    let restart_rng = ChaCha8Rng::seed_from_u64(settings.seed.wrapping_add(RESTART_SEED_OFFSET));
    let release_rng = ChaCha8Rng::seed_from_u64(settings.seed.wrapping_add(RELEASE_SEED_OFFSET));
    let (faults, drills, sound_faults, crashes, limit, restarts, releases) = tokio::join!(
        inject_faults(&fleet, settings),
        inject_drills(&fleet, settings),
        inject_sound_faults(&fleet, settings),
        fault::crash::inject(&fleet, rng, &shared.crashing_part, &shared.crashing),
        fault::limit::inject(&fleet, limit_rng),
        fault::restart::inject(&fleet, restart_rng, settings.length),
        fault::release::inject(&fleet, release_rng, settings.length),
    );
    let of_engines = [sound_faults?, vec![crashes?, limit], restarts?, releases?].concat();
    let faults = [faults?, drills?, of_engines].concat();
    for host in 0..fleet.hosts.len() {
        fleet.wait_ready(host).await?;
    }
    check_recovery(&fleet).await;
    shared.finished.store(true, Ordering::Relaxed);
    callers.join_all().await;
    sleep(SETTLE_TIME).await;
    let mut logs = Vec::new();
    for host in &fleet.hosts {
        let mut process = host.process.lock().await;
        if let Some(exit_status) = process.exit_status() {
            fleet
                .ledger
                .record_violation(format!("{} ended by itself: {exit_status}", process.name));
        }
        logs.push((process.name.clone(), process.log()));
    }
    let findings = fleet.ledger.findings(&[fleet::allowance()]);
    let counts = fleet.ledger.counts().into_iter();
    let counts = counts.map(|((kind, outcome), count)| (format!("{kind:?} {outcome:?}"), count));
    let counts = counts.chain(fleet.ledger.measures()).collect();
    if findings.is_empty() {
        logs.clear();
    }
    Ok(Report { findings, faults, counts, logs })
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
        let servers = server_names(fleet).await;
        let (fault, duration) = fault::draw(&mut rng, fleet.hosts.len(), servers.len());
        descriptions.push(describe(fleet, &servers, fault, duration));
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
        let servers = server_names(fleet).await;
        let (fault, duration) = fault::draw_drill(&mut rng, servers.len());
        descriptions.push(describe(fleet, &servers, fault, duration));
        fault::inject(fleet.clone(), fault, duration, 0).await?;
    }
}

/// Injects the faults that sound servers may have, for the length of the run, beside the others. They overlap, and have a
/// sequence of their own.
async fn inject_sound_faults(fleet: &Arc<Fleet>, settings: Settings) -> Result<Vec<String>, Error> {
    let mut rng = ChaCha8Rng::seed_from_u64(settings.seed.wrapping_add(SOUND_FAULT_SEED_OFFSET));
    let (mut running, mut descriptions) = (JoinSet::new(), Vec::new());
    let deadline = Instant::now() + settings.length;
    loop {
        sleep(Duration::from_millis(rng.random_range(SOUND_FAULT_INTERVAL_MS))).await;
        if Instant::now() >= deadline {
            break;
        }
        let servers = server_names(fleet).await;
        let (fault, duration) = fault::draw_sound(&mut rng, servers.len());
        descriptions.push(describe(fleet, &servers, fault, duration));
        running.spawn(fault::inject(fleet.clone(), fault, duration, 0));
    }
    wait_until_ended(running).await?;
    Ok(descriptions)
}

/// Returns the names of all servers, in the order in which faults number them.
async fn server_names(fleet: &Fleet) -> Vec<Arc<str>> {
    fleet.servers.lock().await.iter().map(|server| server.entry.name.clone()).collect()
}

/// Returns a line about a fault that begins. `servers` are the names of the servers that it may affect.
fn describe(fleet: &Fleet, servers: &[Arc<str>], fault: Fault, duration: Duration) -> String {
    let at_ms = fleet.ledger.elapsed().as_millis();
    let name = fault.server().and_then(|server| servers.get(server));
    let name = name.map(|name| format!(" ({name})")).unwrap_or_default();
    format!("{fault:?}{name} from {at_ms} ms on for {} ms", duration.as_millis())
}

/// Waits until all faults have ended.
pub(crate) async fn wait_until_ended(mut running: JoinSet<Result<(), Error>>) -> Result<(), Error> {
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

/// Starts the callers of all roles.
fn start_callers(shared: &Arc<Shared>, seed: u64) -> JoinSet<()> {
    let mut callers = JoinSet::new();
    let roles = CALLERS.into_iter().flat_map(|(role, count)| std::iter::repeat_n(role, count));
    for (number, role) in roles.enumerate() {
        let rng = ChaCha8Rng::seed_from_u64(seed.wrapping_add(number as u64 + 1));
        callers.spawn(send_requests(shared.clone(), role, rng));
    }
    callers
}

impl Role {
    /// Returns the caller's credentials.
    fn caller(self) -> Caller {
        match self {
            Role::Flood => fleet::callers().1,
            Role::Sound(Sharing::Nothing) => fleet::uninvolved_caller(),
            Role::Release => fleet::release_caller(),
            _ => fleet::callers().0,
        }
    }

    /// Returns the next request, to a random host.
    fn next_call(self, shared: &Shared, host: usize, rng: &mut ChaCha8Rng) -> Call {
        let kind = match self {
            Role::Flood | Role::Deadly => Kind::Lookup,
            Role::Any => Kind::ALL[rng.random_range(0..Kind::ALL.len())],
            Role::LongStreams | Role::Crashing => {
                if rng.random_bool(0.25) {
                    Kind::Digest
                } else {
                    Kind::Recap
                }
            }
            Role::Sound(_) | Role::Release => Kind::Recap,
        };
        let prefix = match self {
            Role::LongStreams => LONG_PREFIX,
            Role::Release => RELEASE_PREFIX,
            _ => "",
        };
        let id = format!("{prefix}r{}", shared.next_id.fetch_add(1, Ordering::Relaxed)).into();
        let mut call = Call::new(&shared.fleet.hosts[host].name, id, kind);
        match self {
            Role::Any | Role::Flood | Role::LongStreams => {
                let disconnects = rng.random_range(0..DISCONNECT_ONE_IN) == 0;
                call.disconnect_after =
                    disconnects.then(|| Duration::from_millis(rng.random_range(1..150)));
            }
            Role::Sound(sharing) => call.sharing = Some(sharing),
            Role::Deadly => call.resource = shared.deadly_resource.clone(),
            Role::Crashing => {
                call.shared_parts = vec![FIRST_PART.into(), shared.crashing_part.clone()];
            }
            Role::Release => {
                let other = rng.random_range(0..RELEASE_SERVICES);
                let current = *shared.fleet.release.borrow();
                let current = current.filter(|_| rng.random_bool(RELEASE_SHARE));
                call.route = fleet::release_service(current.map_or(other, |(service, _)| service));
            }
        }
        if self == Role::Sound(Sharing::FirstPart) {
            call.shared_parts = vec![FIRST_PART.into()];
        }
        call
    }
}

/// Sends requests over pooled connections, each to a random host, until the run is finished.
async fn send_requests(shared: Arc<Shared>, role: Role, mut rng: ChaCha8Rng) {
    let hosts = &shared.fleet.hosts;
    let pools: Vec<_> = hosts.iter().map(|host| caller::connections(host.caller_address)).collect();
    let (caller, ledger) = (role.caller(), &shared.fleet.ledger);
    let crashes_servers = matches!(role, Role::Crashing | Role::Deadly);
    let interval_ms = if crashes_servers { CRASHING_INTERVAL_MS } else { REQUEST_INTERVAL_MS };
    while !shared.finished.load(Ordering::Relaxed) {
        if crashes_servers && !*shared.crashing.borrow() {
            sleep(Duration::from_millis(interval_ms.start)).await;
            continue;
        }
        let host = rng.random_range(0..pools.len());
        let call = role.next_call(&shared, host, &mut rng);
        let sent_at = std::time::Instant::now();
        let (outcome, progress) = caller::call_stream(ledger, &pools[host], &caller, &call).await;
        if call.kind == Kind::Recap && !crashes_servers && outcome != Outcome::Left {
            record_try(&shared, &call, sent_at, (outcome, progress), true);
            if outcome == Outcome::Broken && progress.events > 0 {
                resume(&shared, &pools, &caller, (&call, progress), &mut rng).await;
            }
        }
        if let Outcome::Failed(status @ (400..500)) = outcome {
            // The routes and keys of the callers exist during the whole run.
            let Call { id, kind, .. } = &call;
            ledger.record_violation(format!("{id}: {kind:?} was refused with {status}"));
        }
        sleep(Duration::from_millis(rng.random_range(interval_ms.clone()))).await;
    }
}

/// Resumes a stream that has broken off, at random hosts, until it is whole or no try is left.
async fn resume(
    shared: &Shared,
    pools: &[Pool],
    caller: &Caller,
    (begun, mut progress): (&Call, Progress),
    rng: &mut ChaCha8Rng,
) {
    let (fleet, ledger) = (&shared.fleet, &shared.fleet.ledger);
    for _ in 0..RESUMES_MAX {
        let is_released = *begun.route != *Kind::Recap.path_segment();
        let delay_ms = if is_released { RELEASE_RESUME_DELAY_MS } else { RESUME_DELAY_MS };
        sleep(Duration::from_millis(rng.random_range(delay_ms))).await;
        let release = *fleet.release.borrow();
        let host = match release {
            Some((_, host)) if is_released && rng.random_bool(OUT_OF_STEP_SHARE) => host,
            _ => rng.random_range(0..pools.len()),
        };
        let id = format!("r{}", shared.next_id.fetch_add(1, Ordering::Relaxed)).into();
        let mut call = Call::new(&fleet.hosts[host].name, id, Kind::Recap);
        call.shared_parts = begun.shared_parts.clone();
        call.route = begun.route.clone();
        call.resumed = Some(Resumed { stream: begun.id.clone(), progress });
        let service = if is_released { &*begun.route } else { "llm" };
        let engines_before = fleet.engines_of(service, progress.build).await;
        let sent_at = std::time::Instant::now();
        let (outcome, after) = caller::call_stream(ledger, &pools[host], caller, &call).await;
        let engines = engines_before.min(fleet.engines_of(service, progress.build).await);
        let is_judged = engines >= ENGINES_MIN;
        record_try(shared, &call, sent_at, (outcome, after), is_judged);
        progress = after;
        if outcome == Outcome::Whole {
            return;
        }
    }
}

/// Records whether a request for a resumable stream went on with it.
fn record_try(
    shared: &Shared,
    call: &Call,
    sent_at: std::time::Instant,
    (outcome, progress): (Outcome, Progress),
    is_judged: bool,
) {
    let before = call.resumed.as_ref().map(|resumed| resumed.progress).unwrap_or_default();
    shared.fleet.ledger.record_try(Try {
        host: call.host.clone(),
        is_resumed: call.resumed.is_some(),
        sent_at,
        has_gone_on: outcome == Outcome::Whole || progress.events > before.events,
        is_judged: is_judged
            && outcome != Outcome::Unsent
            && shared.fleet.time_since_store_fault() >= STORE_CALM + sent_at.elapsed(),
    });
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
                let call = Call::new(&host.name, id, kind);
                let outcome = caller::call(&fleet.ledger, &pool, &caller, &call).await;
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

//! Faults, drawn at random from a seed. They overlap, and each ends after a while.

pub mod crash;
pub mod limit;
pub mod release;
pub mod restart;

use crate::backend::Behaviour;
use crate::caller::{self, Call, Caller};
use crate::fleet::{Error, Fleet, Server, route};
use crate::ledger::disturbance::Scope;
use crate::ledger::{Kind, Outcome};
use chestnutrack_core::dispatch::Stage;
use chestnutrack_forward::config;
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use serde_json::json;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::sleep;

/// Longest time for a process to exit by itself on a graceful shutdown.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(15);
/// Time after which no host uses a withdrawn key, a removed route or a leaving server any more.
const IN_FORCE_WITHIN: Duration = Duration::from_secs(5);
/// Time after a store fault during which a host that exits may fail to deregister.
const DEREGISTRATION_GRACE: Duration = Duration::from_secs(1);
/// Time during which a server that has left watches for requests, each of which is a violation.
const LEFT_OBSERVATION: Duration = Duration::from_millis(1_000);
/// Number of the first replacement server; lower numbers belong to the initial servers.
const FIRST_REPLACEMENT: u8 = 20;
/// Prefix of the keys that are added and withdrawn, of the organisation without a limit.
const GUEST_KEY_PREFIX: &str = "key-of-a-guest";

/// A fault to inject.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The process of an entry host is killed and started again.
    Kill(usize),
    /// The process of an entry host is paused.
    Stop(usize),
    /// An entry host is shut down gracefully and started again.
    Terminate(usize),
    /// The process of an entry host gets SIGHUP, on which it reads its settings again.
    HangUp(usize),
    /// Connections of an entry host to the store are disrupted.
    Store(usize, Disruption),
    /// All connections to a backend server are disrupted.
    Server(usize, Disruption),
    /// A backend server misbehaves.
    Mood(usize, Behaviour),
    /// Some engines fall silent and then go on: those from the given one on, in order. The flag says whether they
    /// answer nothing at all; otherwise only their generations are silent.
    Silence(usize, usize, bool),
    /// A backend server leaves, ends, and is replaced by another one.
    Replace(usize),
    /// The store is down for all hosts.
    Down,
    /// Answers of the store to writes are lost.
    Lose,
    /// The store is slow.
    Slow,
    /// The store comes back from a copy.
    Restore,
    /// A key is added and withdrawn again.
    Key,
    /// A route is added and removed again.
    Route,
}

impl Fault {
    /// Returns the number of the server that the fault affects, if it is one.
    pub fn server(self) -> Option<usize> {
        match self {
            Fault::Server(server, _) | Fault::Mood(server, _) | Fault::Replace(server) => {
                Some(server)
            }
            _ => None,
        }
    }
}

/// Disruption of the connections of a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Disruption {
    /// All connections are closed, and so is every new one.
    Cut,
    /// Open connections stall; new ones work.
    Silent,
    /// Open connections are reset; new ones work.
    Reset,
    /// Each write is delayed.
    Slow,
    /// Data towards the called process is held back.
    OneWay,
}

const DISRUPTIONS: [Disruption; 5] =
    [Disruption::Cut, Disruption::Silent, Disruption::Reset, Disruption::Slow, Disruption::OneWay];
const BEHAVIOURS: [Behaviour; 4] =
    [Behaviour::Hangs, Behaviour::Breaks, Behaviour::Fails, Behaviour::Full];

/// Draws a fault and its duration.
pub fn draw(rng: &mut ChaCha8Rng, hosts: usize, servers: usize) -> (Fault, Duration) {
    let (host, server) = (rng.random_range(0..hosts), rng.random_range(0..servers));
    let disruption = DISRUPTIONS[rng.random_range(0..DISRUPTIONS.len())];
    let fault = match rng.random_range(0..20) {
        0 | 1 => Fault::Kill(host),
        2 | 3 => Fault::Stop(host),
        4 | 5 => Fault::Terminate(host),
        6 => Fault::HangUp(host),
        7 => Fault::Store(host, disruption),
        8 => Fault::Server(server, disruption),
        // Likely, so that several servers misbehave at once: a request that one may have run is then
        // rejected by the next.
        9..=13 => Fault::Mood(server, BEHAVIOURS[rng.random_range(0..BEHAVIOURS.len())]),
        14 => Fault::Replace(server),
        15 => Fault::Down,
        16 => Fault::Lose,
        17 => Fault::Slow,
        18 => Fault::Key,
        _ => Fault::Route,
    };
    (fault, Duration::from_millis(rng.random_range(200..2_500)))
}

/// Draws one of the faults that are injected beside those of [`draw`], and its duration.
pub fn draw_drill(rng: &mut ChaCha8Rng, servers: usize) -> (Fault, Duration) {
    let fault = match rng.random_range(0..3) {
        0 | 1 => Fault::Restore,
        _ => Fault::Mood(rng.random_range(0..servers), Behaviour::Quiet),
    };
    (fault, Duration::from_millis(rng.random_range(200..2_500)))
}

/// Draws one of the faults of engines and of the form of answers, which sound servers may have, and its duration.
pub fn draw_sound(rng: &mut ChaCha8Rng, servers: usize) -> (Fault, Duration) {
    /// Duration of a silence, in milliseconds.
    const SILENCE_MS: std::ops::Range<u64> = 1_000..2_000;
    /// Largest number of engines that fall silent together.
    const SILENT_MAX: usize = 5;
    let first = rng.random_range(0..servers);
    let duration = Duration::from_millis(rng.random_range(SILENCE_MS));
    let fault = match rng.random_range(0..5) {
        0 => Fault::Mood(first, Behaviour::Unframed),
        1 | 2 => Fault::Silence(first, 1, rng.random_bool(0.5)),
        _ => Fault::Silence(first, rng.random_range(2..=SILENT_MAX), rng.random_bool(0.5)),
    };
    (fault, duration)
}

/// Injects a fault, waits for its duration, and ends it.
///
/// # Errors
///
/// Returns an error if the run cannot continue.
pub async fn inject(
    fleet: Arc<Fleet>,
    fault: Fault,
    duration: Duration,
    number: u8,
) -> Result<(), Error> {
    match fault {
        Fault::Kill(host) => kill(&fleet, host, duration).await,
        Fault::Stop(host) => pause(&fleet, host, duration).await,
        Fault::Terminate(host) => terminate(&fleet, host).await,
        Fault::HangUp(host) => {
            // Locked while another fault affects the process: there may be no process to signal.
            if let Ok(process) = fleet.hosts[host].process.try_lock() {
                process.hang_up()?;
            }
            Ok(())
        }
        Fault::Store(host, disruption) => {
            let store_fault = fleet.begin_store_fault();
            disrupt_link(&fleet.hosts[host].store_link, disruption, duration).await;
            drop(store_fault);
            Ok(())
        }
        Fault::Server(server, disruption) => {
            let servers = fleet.servers.lock().await;
            let Some(server) = servers.get(server) else { return Ok(()) };
            let (link, name) = (server.link.clone(), server.entry.name.clone());
            drop(servers);
            let _disturbance = fleet.ledger.disturb(&name, Scope::Connections);
            disrupt_link(&link, disruption, duration).await;
            Ok(())
        }
        Fault::Mood(server, behaviour) => {
            misbehave(&fleet, server, behaviour, duration).await;
            Ok(())
        }
        Fault::Silence(first, count, is_total) => {
            silence(&fleet, first, count, is_total, duration).await;
            Ok(())
        }
        Fault::Replace(server) => replace(&fleet, server, number).await,
        Fault::Down => {
            disrupt_store(&fleet, json!({ "down": true }), json!({ "down": false }), duration).await
        }
        Fault::Lose => {
            disrupt_store(
                &fleet,
                json!({ "lose_answers": 3 }),
                json!({ "lose_answers": 0 }),
                duration,
            )
            .await
        }
        Fault::Slow => {
            disrupt_store(&fleet, json!({ "delay_ms": 300 }), json!({ "delay_ms": 0 }), duration)
                .await
        }
        Fault::Restore => fleet.lose_writes(duration).await,
        Fault::Key => add_and_withdraw_key(&fleet, number).await,
        Fault::Route => add_and_remove_route(&fleet, number).await,
    }
}

/// Kills an entry host and starts it again after a while.
async fn kill(fleet: &Fleet, host: usize, duration: Duration) -> Result<(), Error> {
    let Ok(mut process) = fleet.hosts[host].process.try_lock() else { return Ok(()) };
    let _disturbance = fleet.ledger.disturb(&fleet.hosts[host].name, Scope::Connections);
    process.kill().await;
    sleep(duration).await;
    Ok(process.restart()?)
}

/// Pauses the process of an entry host for a while.
async fn pause(fleet: &Fleet, host: usize, duration: Duration) -> Result<(), Error> {
    let Ok(process) = fleet.hosts[host].process.try_lock() else { return Ok(()) };
    let _disturbance = fleet.ledger.disturb(&fleet.hosts[host].name, Scope::Pause);
    process.pause()?;
    sleep(duration).await;
    Ok(process.resume()?)
}

/// Shuts an entry host down gracefully and starts it again. Records a violation if the host does not
/// exit with code 0 or stays listed in the store.
async fn terminate(fleet: &Fleet, host: usize) -> Result<(), Error> {
    let Ok(mut process) = fleet.hosts[host].process.try_lock() else { return Ok(()) };
    let _disturbance = fleet.ledger.disturb(&fleet.hosts[host].name, Scope::Connections);
    process.terminate()?;
    match process.wait(SHUTDOWN_TIMEOUT).await {
        Some(0) => check_deregistered(fleet, &process.name).await,
        code => {
            fleet
                .ledger
                .record_violation(format!("entry-{host} ended with {code:?} after SIGTERM"));
            process.kill().await;
        }
    }
    Ok(process.restart()?)
}

/// Checks that a host that has shut down is no longer listed in the store, unless the store had a
/// fault shortly before.
async fn check_deregistered(fleet: &Fleet, name: &str) {
    let store_reachable = fleet.time_since_store_fault() >= DEREGISTRATION_GRACE;
    if store_reachable && fleet.store.read("entry-hosts", name).await.is_ok() {
        fleet.ledger.record_violation(format!("{name} is listed though it has shut down"));
    }
}

/// Disrupts a link for a while.
async fn disrupt_link(
    link: &chestnutrack_harness::Link,
    disruption: Disruption,
    duration: Duration,
) {
    /// Delay of each write on a slow link.
    const LINK_DELAY: Duration = Duration::from_millis(80);
    match disruption {
        Disruption::Cut => link.cut(),
        Disruption::Silent => link.stall_open(),
        Disruption::Reset => link.reset_open(),
        Disruption::Slow => link.slow(LINK_DELAY),
        Disruption::OneWay => link.cut_one_way(),
    }
    sleep(duration).await;
    link.restore();
}

/// Lets engines fall silent for a while: `count` from the number `first` on, in order. They go on by themselves.
async fn silence(fleet: &Fleet, first: usize, count: usize, is_total: bool, duration: Duration) {
    let servers = fleet.servers.lock().await;
    let engines: Vec<_> = servers.iter().filter(|server| server.entry.stage.is_some()).collect();
    for engine in engines.iter().cycle().skip(first).take(count.min(engines.len())) {
        engine.backend.fall_silent(duration, is_total);
    }
}

/// Sets the behaviour of a server for a while. The server is found by its name at the end, since its number changes
/// when others are removed.
async fn misbehave(fleet: &Fleet, server: usize, behaviour: Behaviour, duration: Duration) {
    let name = fleet.servers.lock().await.get(server).map(|server| server.entry.name.clone());
    let Some(name) = name else { return };
    let is_fault = matches!(behaviour, Behaviour::Hangs | Behaviour::Breaks | Behaviour::Fails);
    let _disturbance = is_fault.then(|| fleet.ledger.disturb(&name, Scope::Answers));
    set_named(fleet, &name, behaviour).await;
    sleep(duration).await;
    set_named(fleet, &name, Behaviour::Sound).await;
}

/// Sets faults of the store for a while.
async fn disrupt_store(
    fleet: &Fleet,
    faulty: serde_json::Value,
    restored: serde_json::Value,
    duration: Duration,
) -> Result<(), Error> {
    let _store_fault = fleet.begin_store_fault();
    fleet.set_store_faults(&faulty).await?;
    sleep(duration).await;
    fleet.set_store_faults(&restored).await
}

/// Starts a replacement server, lists the old one as leaving, has it say so in its answers, and removes it once its leaving must be
/// in force on all hosts.
async fn replace(fleet: &Fleet, server: usize, number: u8) -> Result<(), Error> {
    let (entry, stage): (_, Option<Stage>) = {
        let mut servers = fleet.servers.lock().await;
        let is_present = |server: &&mut Server| !server.entry.leaving && !server.is_crashed;
        let Some(server) = servers.get_mut(server).filter(is_present) else {
            return Ok(());
        };
        server.entry.leaving = true;
        (server.entry.clone(), server.entry.stage)
    };
    fleet.add_server(FIRST_REPLACEMENT + number, stage).await?;
    let name = entry.name.clone();
    set_named(fleet, &name, Behaviour::Leaving).await;
    fleet.write("backends", &name, &json!(entry)).await?;
    sleep(IN_FORCE_WITHIN).await;
    if fleet.time_since_store_fault() >= IN_FORCE_WITHIN {
        // Each further request is then a violation.
        set_named(fleet, &name, Behaviour::Left).await;
        sleep(LEFT_OBSERVATION).await;
    }
    fleet.ledger.disturb(&name, Scope::Connections).keep();
    fleet.servers.lock().await.retain(|server| server.entry.name != name);
    fleet.remove("backends", &name).await
}

/// Sets the behaviour of the server with a name.
async fn set_named(fleet: &Fleet, name: &str, behaviour: Behaviour) {
    let servers = fleet.servers.lock().await;
    if let Some(server) = servers.iter().find(|server| &*server.entry.name == name) {
        server.backend.set(behaviour);
    }
}

/// Adds a key, withdraws it, and checks that all hosts refuse it.
async fn add_and_withdraw_key(fleet: &Fleet, number: u8) -> Result<(), Error> {
    let guest: Arc<str> = format!("{GUEST_KEY_PREFIX}-{number}").into();
    let added = guest.clone();
    fleet.write_config(|config| config.organisations[0].keys.push(added)).await?;
    sleep(Duration::from_millis(500)).await;
    fleet.write_config(|config| config.organisations[0].keys.retain(|key| *key != guest)).await?;
    let caller = Caller { key: guest.clone(), ..crate::fleet::callers().0 };
    check_refused(fleet, &caller, Kind::Lookup, &format!("guest-{number}"), 401).await;
    Ok(())
}

/// Adds a route and removes it again. Does not check that hosts stop serving the route.
async fn add_and_remove_route(fleet: &Fleet, number: u8) -> Result<(), Error> {
    let path = format!("extra-{number}");
    let added = route(&path, config::Kind::Idempotent, "app", 1);
    fleet.write_config(|config| config.routes.push(added)).await?;
    sleep(Duration::from_millis(500)).await;
    fleet.write_config(|config| config.routes.retain(|route| *route.name != *path)).await
}

/// Sends a request to each host, which must refuse it with `status`. Status 429 or 503 (`NotRun`), an
/// unreachable host (`Unsent`) and a broken connection (`Broken`) are accepted too. Skips a host while a fault affects its process, and all hosts after a recent store fault.
async fn check_refused(fleet: &Fleet, caller: &Caller, kind: Kind, id_prefix: &str, status: u16) {
    sleep(IN_FORCE_WITHIN).await;
    if fleet.time_since_store_fault() < IN_FORCE_WITHIN {
        return;
    }
    for (number, host) in fleet.hosts.iter().enumerate() {
        let Ok(process) = host.process.try_lock() else { continue };
        let pool = caller::connections(host.caller_address);
        let id: Arc<str> = format!("{id_prefix}-at-{number}").into();
        let call = Call::new(&host.name, id, kind);
        let outcome = caller::call(&fleet.ledger, &pool, caller, &call).await;
        let expected = [Outcome::Failed(status), Outcome::NotRun, Outcome::Unsent, Outcome::Broken];
        if !expected.contains(&outcome) {
            fleet.ledger.record_violation(format!(
                "entry-{number}: {id_prefix} got {outcome:?}, not {status}"
            ));
        }
        drop(process);
    }
}

//! Releases: engines of a build that has not served before join one after the other, and those of the build before leave, or
//! the new ones do. Meanwhile a host is out of step, and streams that began at the new build break off.

use super::{Disruption, kill, pause};
use crate::backend::{Behaviour, RELEASES};
use crate::fleet::{self, Error, Fleet, RELEASE_SERVICES, RELEASE_STAGES};
use crate::ledger::disturbance::Scope;
use chestnutrack_core::dispatch::{Entry, Stage};
use chestnutrack_harness::Link;
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use serde_json::json;
use std::sync::Arc;
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep};

/// Time between the starts of two releases, in milliseconds. Each service has one in [`RELEASE_SERVICES`].
const INTERVAL_MS: std::ops::Range<u64> = 2_000..3_500;
/// Time for which callers go on to prefer a host after it was out of step.
const AFTERMATH: Duration = Duration::from_millis(300);
/// Time until the connections of a host carry data again after it stood still.
const RECONNECT_TIME: Duration = Duration::from_millis(150);
/// Silence after which both ends of a connection count it as broken.
const SILENCE_MAX: Duration = Duration::from_millis(1_500);

/// What keeps a host out of step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Absence {
    /// Nothing: the hosts only hear of the new build one after the other.
    None,
    /// It stands still.
    Stop,
    /// It stands still, and its connections to hosts and the store carry nothing until a little later.
    Suspend,
    /// The connections that it opens to other hosts, or those that others open to it, or both are closed or silent.
    Cut { is_silent: bool, are_opened: bool, are_accepted: bool },
    /// The same of all its connections to hosts and the store, which are silent.
    CutOff,
    /// Its connections to the store are disrupted.
    Store(Disruption),
}

/// One release. Times are in milliseconds.
#[derive(Clone, Debug)]
struct Release {
    service: usize,
    build: &'static str,
    host: usize,
    absence: Absence,
    absent_ms: u64,
    /// Time from the start of the absence to the first engine that joins.
    lead_ms: u64,
    /// Time between two engines that join or leave.
    step_ms: u64,
    /// Time from the last engine that joins until the first one leaves.
    overlap_ms: u64,
    /// Time from when an engine says that it leaves until it is gone.
    drain_ms: u64,
    /// Whether the new engines leave, instead of the old ones.
    is_taken_back: bool,
    /// Time from the start of the absence until new engines crash, and whether all of them do.
    crash_ms: u64,
    is_whole: bool,
    /// Another host, which is killed, and time until then.
    killed: usize,
    kill_ms: u64,
}

impl Release {
    fn draw(rng: &mut ChaCha8Rng, number: usize, hosts: usize) -> Release {
        let (is_silent, direction) = (rng.random_bool(0.6), rng.random_range(0..4));
        let (are_opened, are_accepted) = (direction != 0, direction != 1);
        let disruptions = [Disruption::Cut, Disruption::Silent, Disruption::Slow];
        let disruption = disruptions[rng.random_range(0..disruptions.len())];
        let absence = match rng.random_range(0..10) {
            0 => Absence::None,
            1 => Absence::Stop,
            2 | 3 => Absence::Suspend,
            4 | 5 => Absence::Cut { is_silent, are_opened, are_accepted },
            6..=8 => Absence::CutOff,
            _ => Absence::Store(disruption),
        };
        let absent_ms = rng.random_range(500..2_200);
        let lead_ms = rng.random_range(0..300);
        // Callers come while the host is cut off, or just as it goes on.
        let late = |rng: &mut ChaCha8Rng| match absence {
            Absence::Stop | Absence::Suspend => rng.random_range(absent_ms - 100..absent_ms + 60),
            _ => rng.random_range(lead_ms + 150..absent_ms + 300),
        };
        let (crash_ms, kill_ms) = (late(rng), late(rng));
        let host = rng.random_range(0..hosts);
        Release {
            service: number % RELEASE_SERVICES,
            build: RELEASES[number / RELEASE_SERVICES + 1],
            host,
            absence,
            absent_ms,
            lead_ms,
            step_ms: rng.random_range(10..200),
            overlap_ms: rng.random_range(0..600),
            drain_ms: rng.random_range(300..1_500),
            is_taken_back: rng.random_bool(0.3),
            crash_ms,
            is_whole: rng.random_bool(0.8),
            killed: (host + rng.random_range(1..hosts.max(2))) % hosts,
            kill_ms,
        }
    }
}

/// Has releases take place for a while. Returns their descriptions.
///
/// # Errors
///
/// Returns an error if an engine can't be started or the store's objects can't be written.
pub async fn inject(
    fleet: &Arc<Fleet>,
    mut rng: ChaCha8Rng,
    length: Duration,
) -> Result<Vec<String>, Error> {
    let deadline = Instant::now() + length;
    let (mut running, mut descriptions) = (JoinSet::new(), Vec::new());
    for number in 0..(RELEASES.len() - 1) * RELEASE_SERVICES {
        sleep(Duration::from_millis(rng.random_range(INTERVAL_MS))).await;
        if Instant::now() >= deadline {
            break;
        }
        let release = Release::draw(&mut rng, number, fleet.hosts.len());
        descriptions.push(format!("{release:?} at {} ms", fleet.ledger.elapsed().as_millis()));
        running.spawn(run(fleet.clone(), release));
    }
    crate::run::wait_until_ended(running).await?;
    Ok(descriptions)
}

/// Runs one release to its end.
async fn run(fleet: Arc<Fleet>, release: Release) -> Result<(), Error> {
    let (absent, replaced, crashed, killed) = tokio::join!(
        keep_out_of_step(&fleet, &release),
        replace(&fleet, &release),
        crash(&fleet, &release),
        async {
            sleep(Duration::from_millis(release.kill_ms)).await;
            kill(&fleet, release.killed, Duration::from_millis(release.drain_ms)).await
        },
    );
    [absent, replaced, crashed, killed].into_iter().collect()
}

/// Keeps a host out of step for a while, in which callers prefer it.
async fn keep_out_of_step(fleet: &Fleet, release: &Release) -> Result<(), Error> {
    let (host, length) = (release.host, Duration::from_millis(release.absent_ms));
    fleet.release.send_replace(Some((release.service, host)));
    let disturb = || fleet.ledger.disturb(&fleet.hosts[host].name, Scope::Connections);
    match release.absence {
        Absence::None => sleep(length).await,
        Absence::Stop => pause(fleet, host, length).await?,
        Absence::Cut { is_silent, are_opened, are_accepted } => {
            let _disturbance = disturb();
            cut(fleet.peers.of(host, are_opened, are_accepted), is_silent, length).await;
        }
        Absence::CutOff | Absence::Suspend => {
            let (_disturbance, _store_fault) = (disturb(), fleet.begin_store_fault());
            let mut links = fleet.peers.of(host, true, true);
            links.push(fleet.hosts[host].store_link.clone());
            if release.absence == Absence::CutOff {
                cut(links, true, length).await;
            } else {
                let (paused, ()) = tokio::join!(
                    pause(fleet, host, length),
                    cut(links, true, length + RECONNECT_TIME)
                );
                paused?;
            }
        }
        Absence::Store(disruption) => {
            let _store_fault = fleet.begin_store_fault();
            super::disrupt_link(&fleet.hosts[host].store_link, disruption, length).await;
        }
    }
    sleep(AFTERMATH).await;
    fleet.release.send_if_modified(|current| {
        current.take_if(|current| *current == (release.service, host)).is_some()
    });
    Ok(())
}

/// Closes connections, or has them and new ones be silent, for a while.
async fn cut(links: Vec<Link>, is_silent: bool, length: Duration) {
    match is_silent {
        true => links.iter().for_each(Link::hold),
        false => links.iter().for_each(Link::cut),
    }
    sleep(length.min(SILENCE_MAX)).await;
    if is_silent && length > SILENCE_MAX {
        links.iter().for_each(Link::reset_open);
    }
    sleep(length.saturating_sub(SILENCE_MAX)).await;
    links.iter().for_each(Link::restore);
}

/// Starts the new engines, then has those of one of the builds leave.
async fn replace(fleet: &Arc<Fleet>, release: &Release) -> Result<(), Error> {
    let step = Duration::from_millis(release.step_ms);
    let mut leaving = engines(fleet, release, |_| true).await;
    sleep(Duration::from_millis(release.lead_ms)).await;
    let mut joined = Vec::new();
    for stage in RELEASE_STAGES.into_iter().rev() {
        joined.push(fleet.add_released(stage, release.service, release.build).await?);
        sleep(step).await;
    }
    sleep(Duration::from_millis(release.overlap_ms)).await;
    if release.is_taken_back {
        leaving = joined;
    }
    let drain = Duration::from_millis(release.drain_ms);
    let mut leaves = JoinSet::new();
    for name in leaving {
        leaves.spawn(leave(fleet.clone(), name, drain));
        sleep(step).await;
    }
    leaves.join_all().await.into_iter().collect()
}

/// Returns the names of the engines of a release's service that have not crashed.
async fn engines(
    fleet: &Fleet,
    release: &Release,
    is_chosen: impl Fn(&Entry) -> bool,
) -> Vec<Arc<str>> {
    let service = fleet::release_service(release.service);
    let released = fleet.released.lock().await;
    let present = released.iter().filter(|server| !server.is_crashed).map(|server| &server.entry);
    let chosen = present.filter(|entry| entry.service == service && is_chosen(entry));
    chosen.map(|entry| entry.name.clone()).collect()
}

/// Has an engine say that it leaves, drain and end.
async fn leave(fleet: Arc<Fleet>, name: Arc<str>, drain: Duration) -> Result<(), Error> {
    let entry = {
        let mut released = fleet.released.lock().await;
        let engine = released.iter_mut().find(|server| server.entry.name == name);
        let Some(engine) = engine.filter(|server| !server.is_crashed) else { return Ok(()) };
        engine.entry.leaving = true;
        engine.backend.set(Behaviour::Leaving);
        engine.entry.clone()
    };
    fleet.write("backends", &name, &json!(entry)).await?;
    sleep(drain).await;
    end(&fleet, &name).await;
    fleet.remove("backends", &name).await
}

/// Ends the process of an engine: resets its connections and refuses new ones for good.
async fn end(fleet: &Fleet, name: &Arc<str>) {
    let mut released = fleet.released.lock().await;
    if let Some(engine) = released.iter_mut().find(|server| server.entry.name == *name) {
        fleet.ledger.disturb(name, Scope::Connections).keep();
        engine.is_crashed = true;
        engine.link.close();
    }
}

/// Crashes new engines that generate, and starts others of their build in their place unless the release is taken back.
async fn crash(fleet: &Arc<Fleet>, release: &Release) -> Result<(), Error> {
    sleep(Duration::from_millis(release.crash_ms)).await;
    let is_new = |entry: &Entry| {
        *entry.build == *release.build && entry.stage == Some(Stage::Decode) && !entry.leaving
    };
    let mut crashed = engines(fleet, release, is_new).await;
    crashed.truncate(if release.is_whole { crashed.len() } else { 1 });
    for name in &crashed {
        end(fleet, name).await;
    }
    sleep(Duration::from_millis(release.drain_ms)).await;
    for name in &crashed {
        if !release.is_taken_back {
            fleet.add_released(Stage::Decode, release.service, release.build).await?;
        }
        fleet.remove("backends", name).await?;
    }
    Ok(())
}

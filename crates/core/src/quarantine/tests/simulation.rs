//! Fleets of hosts that report to each other, with engines that crash.

use super::{START, exchange_reports, millis, parts};
use crate::quarantine::{CRASH_DELAY_MAX, Quarantine, request_part};
use crate::time::Instant;
use chestnutrack_wire::frame::{Break, QuarantineReport};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::sync::Arc;
use std::time::Duration;

/// Crash from which on a part has to be known, the time to make it known, and how many further requests with the part
/// may be sent after that.
const CRASH_LIMIT: (usize, Duration, usize) = (5, Duration::from_secs(3), 3);
/// The middle part under which engines crash.
const BAD: u64 = 0;
/// Engines. The answers that run are spread over them.
const ENGINES: u32 = 6;
/// Hosts of a cell.
const CELL_HOSTS: usize = 4;
/// Time between two reports of a cell to others, and until a report has reached them.
const CELL_REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// Crashes of a part from which on a cell reports it.
const CELL_CRASHES_MIN: usize = 2;
/// Requests of a run.
const REQUESTS: u32 = 400;
/// Requests before the first engine crashes at random.
const CALM_REQUESTS: u32 = 50;
/// Runs that each test makes.
const RUNS: u64 = 50;

/// Why engines crash.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Crashes {
    /// Each request with the middle part [`BAD`] crashes its engine after 100 ms.
    OnBadPart,
    /// A random engine crashes with one request in this many, whatever their prompts.
    AtRandom(u32),
}

/// A fleet to simulate.
#[derive(Clone, Copy, Debug)]
struct Scenario {
    crashes: Crashes,
    /// Time that an answer takes.
    answer_time: Duration,
    /// Number of family parts, of which each prompt has one.
    families: usize,
    /// Time between requests.
    request_interval: Duration,
    /// Engines that a request with the part [`BAD`] is sent to, one after the other.
    attempts: u32,
    /// Cells into which the hosts are divided. Hosts of different cells learn of each other through the store.
    cells: usize,
}

impl Default for Scenario {
    /// Returns a fleet of one cell, with a part that crashes engines.
    fn default() -> Scenario {
        Scenario {
            crashes: Crashes::OnBadPart,
            answer_time: Duration::from_millis(1_500),
            families: 3,
            request_interval: Duration::from_millis(60),
            attempts: 1,
            cells: 1,
        }
    }
}

/// A request, at a host.
#[derive(Clone, Debug)]
struct Request {
    host: usize,
    id: u32,
    began_at: Instant,
    parts: Vec<Arc<str>>,
    is_sound: bool,
}

impl Request {
    /// Returns the answer to the request that broke off at an engine.
    fn broken_at(&self, engine: &str, crashed_at: Instant) -> Break {
        let written = crashed_at.since(self.began_at).as_millis();
        Break {
            engine: engine.into(),
            born: None,
            request: self.id.into(),
            parts: self.parts.clone(),
            written_ms: u32::try_from(written).unwrap(),
        }
    }
}

/// What came of a run.
#[derive(Clone, Debug)]
struct Outcome {
    crashes: Vec<Instant>,
    /// Sound requests and those of them that were refused, by family part.
    sound: Vec<(usize, usize)>,
}

impl Outcome {
    /// Returns the crashes beyond the limit.
    fn late_crashes(&self) -> usize {
        let (limit, time, _) = CRASH_LIMIT;
        let Some(last_allowed) = self.crashes.get(limit - 1).map(|at| *at + time) else { return 0 };
        self.crashes.iter().filter(|at| **at > last_allowed).count()
    }

    /// Returns `true` if less than half of the sound requests with each family part were refused.
    fn are_sound_served(&self) -> bool {
        self.sound.iter().all(|(sent, refused)| *refused * 2 < (*sent).max(1))
    }
}

/// Plays requests at the hosts of a fleet. Prompts have a family part and one of twenty middle parts. With an engine that
/// crashes, the answers that run there break off.
fn play(seed: u64, scenario: Scenario) -> Outcome {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let host_count = CELL_HOSTS * scenario.cells;
    let mut hosts: Vec<Quarantine> = (0..host_count).map(|_| Quarantine::default()).collect();
    let mut cells_reported_at = START;
    let mut outcome = Outcome { crashes: Vec::new(), sound: vec![(0, 0); scenario.families] };
    let mut running: Vec<Request> = Vec::new();
    // Requests that are sent again, after the attempts so far.
    let mut resent: Vec<(u32, Request)> = Vec::new();
    for id in 0..REQUESTS {
        let now = START + scenario.request_interval * id;
        for (attempt, request) in std::mem::take(&mut resent) {
            hosts[request.host].poll(now);
            if hosts[request.host].time_left(now, &request.parts).is_none() {
                let crashed_at = now + millis(30);
                outcome.crashes.push(crashed_at);
                let engine = format!("engine-{}-{attempt}", request.id);
                hosts[request.host]
                    .record_break(crashed_at, request.broken_at(&engine, crashed_at));
                if attempt + 1 < scenario.attempts {
                    resent.push((attempt + 1, request));
                }
            }
        }
        let (family, middle) = (rng.random_range(0..scenario.families), rng.random_range(0..20));
        let mut parts = parts(&[&format!("family-{family}"), &format!("middle-{middle}")]);
        parts.push(request_part(id.into()));
        let host = rng.random_range(0..host_count);
        hosts[host].poll(now);
        let is_refused = hosts[host].time_left(now, &parts).is_some();
        let is_bad = scenario.crashes == Crashes::OnBadPart && middle == BAD;
        if !is_bad {
            outcome.sound[family].0 += 1;
            outcome.sound[family].1 += usize::from(is_refused);
        }
        let is_crash = match scenario.crashes {
            Crashes::OnBadPart => is_bad && !is_refused,
            Crashes::AtRandom(odds) => id >= CALM_REQUESTS && rng.random_ratio(1, odds),
        };
        if !is_refused {
            running.push(Request { host, id, began_at: now, parts, is_sound: false });
        }
        if is_crash {
            let crashed_at = now + millis(100);
            outcome.crashes.push(crashed_at);
            let engine = rng.random_range(0..ENGINES);
            let is_broken =
                |other: &mut Request| other.id % ENGINES == engine || is_bad && other.id == id;
            for request in running.extract_if(.., is_broken) {
                let answer = request.broken_at(&format!("engine-{id}"), crashed_at);
                hosts[request.host].record_break(crashed_at, answer);
                if request.id == id && scenario.attempts > 1 {
                    resent.push((1, request));
                }
            }
        }
        for request in running.iter_mut().filter(|request| !request.is_sound) {
            if now.since(request.began_at) >= CRASH_DELAY_MAX {
                request.is_sound = true;
                hosts[request.host].record_sound(now, request.began_at, &request.parts);
            }
        }
        running.retain(|request| now.since(request.began_at) < scenario.answer_time);
        for cell in hosts.chunks_mut(CELL_HOSTS) {
            exchange_reports(now + millis(100), cell);
        }
        if now.since(cells_reported_at) >= CELL_REPORT_INTERVAL {
            cells_reported_at = now;
            exchange_cell_reports(now, &mut hosts);
        }
    }
    outcome
}

/// Passes patterns, releases and the report of each cell's first host to the hosts of all other cells, as the store
/// does.
fn exchange_cell_reports(now: Instant, hosts: &mut [Quarantine]) {
    let first_hosts = hosts.chunks_mut(CELL_HOSTS).map(|cell| &cell[0]);
    let reports: Vec<_> = first_hosts
        .map(|host| {
            let QuarantineReport { held, revoked, .. } = host.report(now);
            let patterns = QuarantineReport { held, revoked, ..QuarantineReport::default() };
            (patterns, host.cell_report(now, CELL_CRASHES_MIN))
        })
        .collect();
    let arrives_at = now + CELL_REPORT_INTERVAL;
    for (cell, hosts) in hosts.chunks_mut(CELL_HOSTS).enumerate() {
        for (from, (patterns, report)) in
            reports.iter().enumerate().filter(|(from, _)| *from != cell)
        {
            for host in &mut *hosts {
                host.record_report(arrives_at, &"store".into(), patterns.clone());
                let name = format!("cell-{from}").into();
                host.record_cell_report(arrives_at, &name, CELL_REPORT_INTERVAL, report.clone());
            }
        }
    }
}

#[test]
fn a_part_that_crashes_engines_is_found_in_a_fleet_of_several_cells() {
    for (seed, interval_ms) in (0..RUNS / 2).flat_map(|seed| [(seed, 25), (seed, 50), (seed, 100)])
    {
        let request_interval = millis(interval_ms);

        let outcome = play(seed, Scenario { cells: 4, request_interval, ..Scenario::default() });

        assert!(outcome.late_crashes() <= CRASH_LIMIT.2, "seed {seed}, {interval_ms}: {outcome:?}");
        assert!(outcome.are_sound_served(), "seed {seed}, {interval_ms}: {outcome:?}");
    }
}

#[test]
fn a_part_that_crashes_engines_is_found_among_sound_requests() {
    for (seed, answer_ms) in (0..RUNS).flat_map(|seed| [(seed, 1_500), (seed, 8_000)]) {
        let scenario = Scenario { answer_time: millis(answer_ms), ..Scenario::default() };

        let outcome = play(seed, scenario);

        assert!(outcome.late_crashes() <= CRASH_LIMIT.2, "seed {seed}: {outcome:?}");
        assert!(outcome.are_sound_served(), "seed {seed}: {outcome:?}");
    }
}

// Guards against requests that are held one by one, each after three crashes, in place of the part that they share.
#[test]
fn a_part_that_crashes_engines_is_found_though_each_request_is_sent_to_several() {
    for (seed, attempts) in (0..RUNS).flat_map(|seed| [(seed, 2), (seed, 3)]) {
        let outcome = play(seed, Scenario { attempts, ..Scenario::default() });

        assert!(outcome.late_crashes() <= CRASH_LIMIT.2, "seed {seed}, {attempts}: {outcome:?}");
        assert!(outcome.are_sound_served(), "seed {seed}, {attempts}: {outcome:?}");
    }
}

#[test]
fn crashes_without_a_common_part_leave_requests_served() {
    for (seed, answer_ms) in
        (0..RUNS).flat_map(|seed| [(seed, 1_500), (seed, 4_000), (seed, 30_000)])
    {
        // An engine crashes each second.
        let (crashes, answer_time) = (Crashes::AtRandom(16), millis(answer_ms));

        let outcome = play(seed, Scenario { crashes, answer_time, ..Scenario::default() });

        assert!(outcome.are_sound_served(), "seed {seed}, {answer_ms} ms: {outcome:?}");
    }
}

#[test]
fn a_part_of_all_requests_stays_in_use_whatever_time_answers_take() {
    for (seed, answer_ms) in
        (0..RUNS).flat_map(|seed| [(seed, 1_500), (seed, 4_000), (seed, 30_000)])
    {
        let (crashes, answer_time) = (Crashes::AtRandom(16), millis(answer_ms));

        let scenario = Scenario { crashes, answer_time, families: 1, ..Scenario::default() };
        let outcome = play(seed, scenario);

        assert!(outcome.are_sound_served(), "seed {seed}, {answer_ms} ms: {outcome:?}");
    }
}

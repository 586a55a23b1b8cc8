//! Single requests that crash each server that runs them, among sound requests that break off with them: decisions, and
//! fleets of hosts in front of a few servers.

use super::{START, broken, crash, exchange_reports, millis, parts};
use crate::quarantine::{Quarantine, request_part};
use crate::time::Instant;
use chestnutrack_wire::frame::Break;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::sync::Arc;
use std::time::Duration;

/// Returns an answer to a whole request that broke off at the engine `engine`.
fn broken_request(engine: u64, request: u64) -> Break {
    Break { parts: vec![request_part(request.into())], ..broken(engine, request, &[]) }
}

fn is_held(quarantine: &Quarantine, now: Instant, request: u64) -> bool {
    quarantine.time_left(now, &[request_part(request.into())]).is_some()
}

/// Has the given requests break off at engines that crash 100 ms apart, and returns a time soon after.
fn crash_under(quarantine: &mut Quarantine, crashes: &[&[u64]]) -> Instant {
    for (engine, requests) in (0..).zip(crashes) {
        let answers = requests.iter().map(|request| broken_request(engine, *request)).collect();
        crash(quarantine, START + millis(100 * engine), answers);
    }
    START + millis(100 * crashes.len() as u64 + 100)
}

#[test]
fn a_request_that_was_at_three_crashes_is_held() {
    let mut quarantine = Quarantine::default();

    let now = crash_under(&mut quarantine, &[&[1, 2], &[1, 3], &[1]]);

    assert!(is_held(&quarantine, now, 1));
    assert!(!is_held(&quarantine, now, 2) && !is_held(&quarantine, now, 3));
}

#[test]
fn two_crashes_of_a_request_are_too_few() {
    let mut quarantine = Quarantine::default();

    let now = crash_under(&mut quarantine, &[&[1], &[1]]);

    assert!(!is_held(&quarantine, now, 1));
}

// Guards against refusing a request that was only sent on to the servers that another one crashed.
#[test]
fn of_two_requests_that_were_at_the_same_crashes_the_one_at_the_next_is_held() {
    let mut quarantine = Quarantine::default();

    let now = crash_under(&mut quarantine, &[&[1, 2], &[1, 2], &[1, 2]]);
    let early = [1, 2].map(|request| is_held(&quarantine, now, request));
    crash(&mut quarantine, START + millis(4_000), vec![broken_request(9, 1)]);
    let late = [1, 2].map(|request| is_held(&quarantine, START + millis(4_100), request));

    assert_eq!((early, late), ([false, false], [true, false]));
}

#[test]
fn a_request_that_a_server_has_survived_since_is_not_held() {
    let mut quarantine = Quarantine::default();
    crash_under(&mut quarantine, &[&[1], &[1]]);
    let began_at = START + millis(150);
    quarantine.record_sound(START + millis(210), began_at, &[request_part(1)]);

    crash(&mut quarantine, START + millis(300), vec![broken_request(7, 1)]);

    assert!(!is_held(&quarantine, START + millis(400), 1));
}

#[test]
fn servers_that_answer_later_requests_have_not_crashed() {
    let mut quarantine = Quarantine::default();
    quarantine.record_break(START, broken_request(1, 1));
    quarantine.record_break(START, broken_request(2, 1));
    quarantine.record_alive(&"engine-1".into(), Some(1), START + millis(10));

    crash(&mut quarantine, START + millis(30), vec![broken_request(3, 1)]);

    assert!(!is_held(&quarantine, START + millis(100), 1));
}

// Guards against holding a popular part responsible for one request with it that comes again.
#[test]
fn parts_that_the_request_shares_are_not_held() {
    let mut quarantine = Quarantine::default();
    let names = [&*request_part(1), "family"].map(str::to_owned);
    let names: Vec<&str> = names.iter().map(|name| &**name).collect();

    for engine in 0..6 {
        let answers = vec![broken(engine, 1, &names), broken(engine, 10 + engine, &["family"])];
        let (sound_at, at) = (START + millis(500 * engine), START + millis(500 * engine + 400));
        quarantine.record_sound(sound_at, sound_at, &parts(&["family"]));
        crash(&mut quarantine, at, answers);
    }

    let now = START + millis(4_000);
    assert!(quarantine.time_left(now, &parts(&names)).is_some());
    assert!(quarantine.time_left(now, &parts(&["family"])).is_none());
}

// Guards against crashes that are put down to each request by itself, so that the part that they share is never found.
#[test]
fn a_part_is_found_though_a_request_with_it_is_held() {
    let mut quarantine = Quarantine::default();
    let answer =
        |engine, request: u64| broken(engine, request, &["bad", &request_part(request.into())]);
    for engine in 0..3 {
        crash(&mut quarantine, START + millis(100 * engine), vec![answer(engine, 1)]);
    }
    let is_held_whole = is_held(&quarantine, START + millis(400), 1);

    crash(&mut quarantine, START + millis(500), vec![answer(3, 2)]);

    assert!(is_held_whole);
    assert!(quarantine.time_left(START + millis(600), &parts(&["bad"])).is_some());
}

// Guards against a request that peers don't hear of, since many others broke off at a server that fails.
#[test]
fn a_report_names_requests_at_several_crashes_first() {
    let mut quarantine = Quarantine::default();
    quarantine.record_break(START, broken_request(1, 1));
    quarantine.record_break(START + millis(10), broken_request(2, 1));
    for request in 10..60 {
        quarantine.record_break(START + millis(request), broken_request(3, request));
    }

    let report = quarantine.report(START + millis(100));

    let engines = report.breaks.iter().filter(|(_, answer)| answer.request == 1);
    assert_eq!(engines.count(), 2);
}

// Guards against cells of a large fleet of which each has to see three crashes itself.
#[test]
fn crashes_of_one_request_in_two_cells_are_put_together() {
    let [mut first, mut second] = [Quarantine::default(), Quarantine::default()];
    let now = crash_under(&mut first, &[&[1, 2], &[1, 3]]);
    crash(&mut second, now, vec![broken_request(7, 1)]);

    let report = first.cell_report(now, 2);
    second.record_cell_report(now + millis(900), &"cell-0".into(), millis(900), report);
    second.poll(now + millis(1_000));

    assert!(is_held(&second, now + millis(1_000), 1));
    assert!(!is_held(&second, now + millis(1_000), 2));
}

/// A fleet in front of a few servers, and callers of whom one sends a deadly request again and again.
#[derive(Clone, Copy, Debug)]
struct Scenario {
    hosts: usize,
    servers: usize,
    /// Sound requests a second, of which a third may be sent again.
    demand: f64,
    /// Different sound requests; they come again and again.
    variety: u64,
    /// Time between the deadly request's attempts.
    deadly_interval: Duration,
    seed: u64,
}

/// The request under which servers crash.
const DEADLY: u64 = u64::MAX;
impl Default for Scenario {
    fn default() -> Scenario {
        Scenario {
            hosts: 5,
            servers: 3,
            demand: 47.0,
            variety: 2_000,
            deadly_interval: Duration::from_millis(500),
            seed: 1,
        }
    }
}

const STEP: Duration = Duration::from_millis(5);
const LENGTH: Duration = Duration::from_secs(40);
/// When the deadly request first comes.
const DEADLY_FROM: Duration = Duration::from_secs(5);
/// Time that a server works on a request, and until it crashes under the deadly one.
const WORK: Duration = Duration::from_millis(60);
/// Time until a server that crashed is back.
const DOWNTIME: Duration = Duration::from_millis(3_300);
/// Time between reports of hosts, and from the third crash until retries are counted.
const REPORT_INTERVAL: Duration = Duration::from_millis(20);
const GRACE: Duration = Duration::from_secs(3);
const RETRIES_MAX: usize = 3;

/// An attempt at a server.
#[derive(Clone, Copy, Debug)]
struct Attempt {
    request: u64,
    host: usize,
    server: usize,
    sent_at: Instant,
    /// Servers that may still be tried at this host, and whether the caller sends the request again if it fails.
    servers_left: u32,
    may_return: bool,
}

/// What came of a run.
#[derive(Clone, Copy, Debug, Default)]
struct Outcome {
    crashes: usize,
    late_retries: usize,
    sound: usize,
    sound_refused: usize,
}

/// A server: how often it has started, and until when it is down.
#[derive(Clone, Copy, Debug, Default)]
struct Server {
    starts: u64,
    down_until: Instant,
}

struct Run {
    scenario: Scenario,
    rng: ChaCha8Rng,
    hosts: Vec<Quarantine>,
    servers: Vec<Server>,
    running: Vec<Attempt>,
    /// When the third server crashed.
    third_crash: Option<Instant>,
    outcome: Outcome,
}

impl Run {
    /// Places an attempt at a random server that is up, if there is one and the request is not in quarantine.
    fn place(&mut self, now: Instant, attempt: Attempt) {
        let quarantine = &mut self.hosts[attempt.host];
        quarantine.poll(now);
        if is_held(quarantine, now, attempt.request) {
            self.outcome.sound_refused += usize::from(attempt.request != DEADLY);
            return;
        }
        let up: Vec<usize> =
            (0..self.servers.len()).filter(|n| self.servers[*n].down_until <= now).collect();
        if up.is_empty() {
            return;
        }
        let server = up[self.rng.random_range(0..up.len())];
        let is_late = self.third_crash.is_some_and(|at| now.since(at) > GRACE);
        self.outcome.late_retries += usize::from(attempt.request == DEADLY && is_late);
        let servers_left = attempt.servers_left - 1;
        self.running.push(Attempt { server, sent_at: now, servers_left, ..attempt });
    }

    fn submit(&mut self, now: Instant, request: u64, may_repeat: bool) {
        let host = self.rng.random_range(0..self.hosts.len());
        let servers_left = if may_repeat { 2 } else { 1 };
        let may_return = may_repeat;
        let attempt = Attempt { request, host, server: 0, sent_at: now, servers_left, may_return };
        self.place(now, attempt);
    }

    /// Returns the name of a server's process, and its start time.
    fn process(&self, server: usize) -> (Arc<str>, Option<u64>) {
        (format!("server-{server}").into(), Some(self.servers[server].starts))
    }

    /// Ends the attempts that are due: answered, or broken off with a server that crashes under the deadly request.
    fn advance(&mut self, now: Instant) {
        let is_due = |attempt: &Attempt| now.since(attempt.sent_at) >= WORK;
        for attempt in self
            .running
            .extract_if(.., |attempt| is_due(attempt) && attempt.request != DEADLY)
            .collect::<Vec<_>>()
        {
            let (name, born) = self.process(attempt.server);
            let host = &mut self.hosts[attempt.host];
            host.record_alive(&name, born, attempt.sent_at);
            host.record_sound(now, attempt.sent_at, &[request_part(attempt.request.into())]);
        }
        while let Some(deadly) =
            self.running.iter().find(|attempt| attempt.request == DEADLY && is_due(attempt))
        {
            self.crash(now, deadly.server);
        }
    }

    fn crash(&mut self, now: Instant, server: usize) {
        let (engine, born) = self.process(server);
        self.servers[server].starts += 1;
        self.servers[server].down_until = now + DOWNTIME;
        self.outcome.crashes += 1;
        if self.outcome.crashes == 3 {
            self.third_crash = Some(now);
        }
        let broken = self.running.extract_if(.., |attempt| attempt.server == server);
        for attempt in broken.collect::<Vec<_>>() {
            let answer =
                Break { engine: engine.clone(), born, ..broken_request(0, attempt.request) };
            self.hosts[attempt.host].record_break(now, answer);
            if attempt.servers_left > 0 {
                self.place(now, attempt);
            } else if attempt.may_return {
                let host = self.rng.random_range(0..self.hosts.len());
                self.place(now, Attempt { host, servers_left: 2, may_return: false, ..attempt });
            }
        }
    }
}

fn play(scenario: Scenario) -> Outcome {
    let mut run = Run {
        scenario,
        rng: ChaCha8Rng::seed_from_u64(scenario.seed),
        hosts: (0..scenario.hosts).map(|_| Quarantine::default()).collect(),
        servers: vec![Server::default(); scenario.servers],
        running: Vec::new(),
        third_crash: None,
        outcome: Outcome::default(),
    };
    for step in 0..(LENGTH.as_millis() / STEP.as_millis()) as u64 {
        let elapsed = STEP * u32::try_from(step).unwrap();
        let now = START + elapsed;
        run.advance(now);
        if run.rng.random_bool((run.scenario.demand * STEP.as_secs_f64()).min(1.0)) {
            let request = run.rng.random_range(0..run.scenario.variety);
            run.outcome.sound += 1;
            run.submit(now, request, request.is_multiple_of(3));
        }
        let is_due = elapsed.as_millis().is_multiple_of(scenario.deadly_interval.as_millis());
        if elapsed >= DEADLY_FROM && is_due {
            run.submit(now, DEADLY, true);
        }
        if elapsed.as_millis().is_multiple_of(REPORT_INTERVAL.as_millis()) {
            exchange_reports(now, &mut run.hosts);
        }
    }
    run.outcome
}

// Guards against a request that crashes a service's servers each time they are back, and against refusing others for it.
#[test]
fn a_deadly_request_is_stopped_and_sound_ones_are_not_refused() {
    for seed in 1..=40 {
        let outcome = play(Scenario { seed, ..Scenario::default() });

        assert!(outcome.crashes >= 3, "seed {seed}: {outcome:?}");
        assert!(outcome.late_retries <= RETRIES_MAX, "seed {seed}: {outcome:?}");
        assert_eq!(outcome.sound_refused, 0, "seed {seed}: {outcome:?}");
    }
}

#[test]
fn a_deadly_request_is_stopped_among_a_few_popular_ones() {
    for seed in 1..=40 {
        let (demand, variety, deadly_interval) = (100.0, 30, Duration::from_secs(2));
        let scenario = Scenario { demand, variety, deadly_interval, seed, ..Scenario::default() };

        let outcome = play(scenario);

        assert!(outcome.late_retries <= RETRIES_MAX, "seed {seed}: {outcome:?}");
        assert!(outcome.sound_refused * 100 <= outcome.sound, "seed {seed}: {outcome:?}");
    }
}

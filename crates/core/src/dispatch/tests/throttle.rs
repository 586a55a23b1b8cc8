//! Servers that limit the requests that they take from all hosts together: single decisions, and fleets of hosts whose
//! reports are late or missing.

use super::simulation::{entry, service};
use crate::allowance;
use crate::cell::Cell;
use crate::dispatch::{
    Dispatch, Effect, Entry, LimitChange, PlainOutcome, Request, Residency, ServerKey, Settings,
};
use crate::time::Instant;
use chestnutrack_wire::frame::LimitReport;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::sync::Arc;
use std::time::Duration;

const NOW: Instant = Instant::from_millis(1_000_000);

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn plain(server: usize) -> Entry {
    Entry { stage: None, ..entry(server, false) }
}

/// Returns a host that knows `servers` plain servers, and their keys.
fn plain_host(servers: usize) -> (Dispatch<u32>, Vec<ServerKey>) {
    let mut host = Dispatch::new(Settings::default(), "a".into());
    let keys = (0..servers).map(|server| host.put(NOW, plain(server)).0).collect();
    (host, keys)
}

/// Returns how many of `count` requests at `now` are placed at a server.
fn placed(host: &mut Dispatch<u32>, now: Instant, count: usize) -> usize {
    (0..count).filter(|_| host.place_plain(now, &service(), &[]).is_some()).count()
}

/// Returns how many requests are placed in `duration`, of one that is tried each 10 ms.
fn placed_over(host: &mut Dispatch<u32>, from: Instant, duration: Duration) -> usize {
    let tries = duration.as_millis() as u64 / 10;
    (0..tries).map(|n| placed(host, from + millis(10 * n), 1)).sum()
}

fn changes(changes: &[LimitChange]) -> Vec<(&str, Option<f64>)> {
    changes.iter().map(|change| (&*change.server, change.limit)).collect()
}

#[test]
fn a_server_gets_the_requests_a_second_that_it_states() {
    let (mut host, keys) = plain_host(1);

    host.record_limit(NOW, keys[0], NOW, Some(4.4));

    let placed = placed_over(&mut host, NOW, Duration::from_secs(10));
    assert!((43..=47).contains(&placed), "{placed}");
}

#[test]
fn the_rest_goes_to_servers_without_a_limit() {
    let (mut host, keys) = plain_host(2);
    host.record_limit(NOW, keys[0], NOW, Some(4.0));

    let choices = (0..100).map(|_| host.place_plain(NOW, &service(), &[]).unwrap().key);
    let limited = choices.filter(|key| *key == keys[0]).count();

    assert!(limited <= 5, "{limited}");
}

#[test]
fn a_limit_ends_by_an_answer_to_a_later_request_and_not_by_a_late_answer() {
    let (mut host, keys) = plain_host(1);
    host.record_limit(NOW + millis(100), keys[0], NOW, Some(1.0));

    let late = host.record_limit(NOW + millis(200), keys[0], NOW + millis(50), None);
    let still = placed(&mut host, NOW + millis(200), 50);
    let ended = host.record_limit(NOW + millis(300), keys[0], NOW + millis(150), None);

    assert_eq!((late, still), (None, 1));
    assert_eq!(ended, Some(LimitChange { server: "e0".into(), limit: None }));
    assert_eq!(placed(&mut host, NOW + millis(300), 50), 50);
}

#[test]
fn another_process_under_the_same_name_has_no_limit() {
    let (mut host, keys) = plain_host(1);
    host.record_limit(NOW, keys[0], NOW, Some(1.0));
    placed(&mut host, NOW, 5);

    let (restarted, _) = host.put(NOW, Entry { born: Some(2), ..plain(0) });

    assert!(host.accepts(NOW, restarted));
    assert_eq!(placed(&mut host, NOW, 50), 50);
}

#[test]
fn a_server_that_takes_nothing_is_asked_now_and_then() {
    let (mut host, keys) = plain_host(1);
    host.record_limit(NOW, keys[0], NOW, Some(0.0));

    let placed = placed_over(&mut host, NOW, Duration::from_secs(60));

    assert!((3..=8).contains(&placed), "{placed}");
}

#[test]
fn a_server_that_disappears_from_the_list_for_a_moment_keeps_its_limit() {
    let (mut host, keys) = plain_host(1);
    host.record_limit(NOW, keys[0], NOW, Some(1.0));
    placed(&mut host, NOW, 5);

    host.remove(NOW, "e0");
    host.put(NOW + millis(100), plain(0));

    assert_eq!(placed(&mut host, NOW + millis(100), 50), 0);
}

#[test]
fn refused_callers_are_asked_to_come_back_one_after_the_other() {
    let (mut host, keys) = plain_host(1);
    host.record_limit(NOW, keys[0], NOW, Some(2.0));
    placed(&mut host, NOW, 5);

    let retries: Vec<u128> =
        (0..4).map(|_| host.throttled_retry_after(NOW, &service()).unwrap().as_millis()).collect();

    // The first time is bounded from below.
    let gaps: Vec<u128> = retries[1..].windows(2).map(|pair| pair[1] - pair[0]).collect();
    assert_eq!(gaps, [500; 2], "{retries:?}");
}

#[test]
fn a_caller_is_not_asked_to_come_back_while_a_server_has_room() {
    let (mut host, keys) = plain_host(2);
    host.record_limit(NOW, keys[0], NOW, Some(2.0));

    assert_eq!(host.throttled_retry_after(NOW, &service()), None);
}

#[test]
fn a_peer_that_was_told_tells_a_host_that_never_heard_the_server() {
    let ((mut told, keys), (mut other, _)) = (plain_host(1), plain_host(1));
    told.record_limit(NOW, keys[0], NOW, Some(3.0));

    let reports = told.limit_reports(NOW + millis(40));
    let new = other.record_peer_limits(NOW + millis(50), &"told".into(), 1, &reports);
    let again = other.record_peer_limits(NOW + millis(60), &"told".into(), 1, &reports);

    assert_eq!((changes(&new), again), (vec![("e0", Some(3.0))], vec![]));
    let placed = placed_over(&mut other, NOW + millis(50), Duration::from_secs(10));
    assert!(placed <= 33, "{placed}");
}

// Guards against a limit that hosts tell each other again and again, each time as newer.
#[test]
fn a_limit_that_has_ended_does_not_return_from_peers() {
    let ((mut first, keys), (mut second, _)) = (plain_host(1), plain_host(1));
    first.record_limit(NOW, keys[0], NOW, Some(3.0));
    let (name, mut now) = (["first".into(), "second".into()], NOW);
    for _ in 0..50 {
        now = now + millis(20);
        let reports = [first.limit_reports(now), second.limit_reports(now)];
        second.record_peer_limits(now + millis(5), &name[0], 1, &reports[0]);
        first.record_peer_limits(now + millis(5), &name[1], 1, &reports[1]);
    }

    let ended = first.record_limit(now + millis(20), keys[0], NOW + millis(100), None);
    let reports = first.limit_reports(now + millis(30));
    let at_second = second.record_peer_limits(now + millis(35), &name[0], 1, &reports);

    assert!(ended.is_some());
    assert_eq!(changes(&at_second), [("e0", None)]);
    let old = [LimitReport { statement: None, ..reports[0].clone() }];
    assert_eq!(second.record_peer_limits(now + millis(40), &name[0], 1, &old), []);
    assert_eq!(placed(&mut second, now + millis(40), 20), 20);
}

#[test]
fn limits_of_servers_that_left_long_ago_are_forgotten() {
    let (mut host, keys) = plain_host(1);
    host.record_limit(NOW, keys[0], NOW, Some(3.0));
    placed(&mut host, NOW, 1);
    host.remove(NOW, "e0");

    let soon = host.limit_reports(NOW + Duration::from_secs(50)).len();
    let late = host.limit_reports(NOW + Duration::from_secs(61)).len();

    assert_eq!((soon, late), (1, 0));
}

fn generation() -> Request {
    Request {
        service: service(),
        organisation: "orchard".into(),
        priority: 0,
        prompt_tokens: 100,
        output_tokens: 50,
        length_hint: None,
        arrived: NOW,
        first_token_by: Some(NOW + millis(900)),
        leaves_at: NOW + Duration::from_secs(14),
        deadline: NOW + Duration::from_secs(14),
        max_pause: Some(millis(300)),
        urgent: false,
        prefilled: false,
        prefixes: Arc::default(),
        resumable: false,
        build: None,
        residency: Residency::default(),
    }
}

/// Returns a host with one decode engine and one prefill engine, and their keys.
fn engines() -> (Dispatch<u32>, [ServerKey; 2]) {
    let mut host = Dispatch::new(Settings::default(), "a".into());
    host.configure_engines(&service(), 100_000, 59);
    let keys = [true, false].map(|decode| host.put(NOW, entry(usize::from(!decode), decode)).0);
    (host, keys)
}

#[test]
fn a_generation_waits_for_an_engine_that_takes_it_in_time() {
    let (mut host, [decode, _]) = engines();
    host.record_limit(NOW, decode, NOW, Some(4.0));
    let mut waiting = 0;
    while waiting == 0 {
        waiting += usize::from(host.submit(NOW, generation(), 1).is_ok());
    }

    let at_once = host.tick(NOW).len();
    let later = (1..=40).flat_map(|step| host.tick(NOW + millis(20 * step))).collect::<Vec<_>>();

    assert_eq!(at_once, 0);
    assert!(matches!(later[..], [Effect::Admit(..)]), "{later:?}");
}

#[test]
fn a_generation_that_no_engine_takes_in_time_is_refused_at_once_with_the_time() {
    let (mut host, [decode, _]) = engines();
    host.record_limit(NOW, decode, NOW, Some(0.5));
    drop(host.submit(NOW, generation(), 1));

    let refused = host.submit(NOW, generation(), 2);

    let Err(Effect::Refuse(2, refusal)) = refused else { panic!("{refused:?}") };
    assert!(refusal.retry_after >= millis(1_500), "{refusal:?}");
}

#[test]
fn prefills_and_the_router_s_own_calls_count_as_requests() {
    let (mut host, [_, prefill]) = engines();
    host.record_limit(NOW, prefill, NOW, Some(1.0));

    let Err(Effect::Admit(_, first)) = host.submit(NOW, generation(), 1) else { panic!() };
    let Err(Effect::Admit(_, second)) = host.submit(NOW, generation(), 2) else { panic!() };
    let calls = [0, 2_000, 2_000].map(|after| host.admit_call(NOW + millis(after), prefill));

    assert_eq!((first.prefill, second.prefill), (Some(prefill), None));
    assert_eq!(calls, [false, true, false]);
}

/// A fleet of hosts and one service whose servers state limits.
struct Fleet {
    hosts: usize,
    /// Limits of the servers, in requests per second; `None` for one without.
    limits: Vec<Option<f64>>,
    /// Requests a second of all callers.
    demand: f64,
    /// Time between a host's reports, and until they arrive.
    report_interval: Duration,
    report_delay: Duration,
    /// Hosts whose reports reach nobody, and that no report reaches, from [`ISOLATED_AT`] on.
    isolated: usize,
    /// Hosts that restart every 5 s, one after the other.
    restarts: bool,
    /// Simulated time.
    length: Duration,
    seed: u64,
}

/// When the limits begin, and from when on requests are counted.
const LIMITED_AT: Duration = Duration::from_secs(2);
const COUNTED_FROM: Duration = Duration::from_secs(5);
const ISOLATED_AT: Duration = Duration::from_secs(12);
const RESTART_INTERVAL: Duration = Duration::from_secs(5);
const STEP: Duration = Duration::from_millis(5);
/// Window in which requests are counted.
const WINDOW: Duration = Duration::from_secs(4);
/// Time from a request to its answer.
const ANSWER_TIME: Duration = Duration::from_millis(60);

/// What became of the requests of a simulated fleet.
struct Outcome {
    /// Most requests that each server got in 4 s, from [`COUNTED_FROM`] on.
    most: Vec<usize>,
    /// Requests a second that each server got from then on.
    mean: Vec<f64>,
    refused: usize,
}

impl Fleet {
    fn new(hosts: usize, limits: &[Option<f64>], demand: f64) -> Fleet {
        Fleet {
            hosts,
            limits: limits.to_vec(),
            demand,
            report_interval: millis(20),
            report_delay: millis(10),
            isolated: 0,
            restarts: false,
            length: Duration::from_secs(40),
            seed: 1,
        }
    }

    fn host(&self, number: usize) -> (Dispatch<u32>, Vec<ServerKey>) {
        let (mut host, keys) = plain_host(self.limits.len());
        host.set_seed(number as u64);
        let cell = Cell::of(&name(number), self.hosts);
        host.set_cell(cell);
        let others = (0..self.hosts).filter(|other| !cell.contains(&name(*other))).count();
        host.set_other_cell_hosts(NOW, others);
        (host, keys)
    }

    fn run(&self) -> Outcome {
        let mut rng = ChaCha8Rng::seed_from_u64(self.seed);
        let mut hosts: Vec<_> = (0..self.hosts).map(|number| self.host(number)).collect();
        let mut incarnations = vec![1; self.hosts];
        // Callers reach hosts unevenly.
        let weights: Vec<f64> = (0..self.hosts).map(|_| rng.random_range(0.2..1.8)).collect();
        let total: f64 = weights.iter().sum();
        let mut arrivals = vec![Vec::new(); self.limits.len()];
        let (mut answers, mut reports) = (Vec::new(), Vec::new());
        let mut refused = 0;
        for step in 0..(self.length.as_millis() / STEP.as_millis()) as u64 {
            let elapsed = STEP * u32::try_from(step).unwrap();
            let now = NOW + elapsed;
            for number in 0..self.hosts {
                let rate = self.demand * weights[number] / total;
                if !rng.random_bool((rate * STEP.as_secs_f64()).min(1.0)) {
                    continue;
                }
                let (host, keys) = &mut hosts[number];
                let Some(choice) = host.place_plain(now, &service(), &[]) else {
                    refused += 1;
                    continue;
                };
                let server = keys.iter().position(|key| *key == choice.key).unwrap();
                arrivals[server].push(elapsed);
                answers.push((now + ANSWER_TIME, number, incarnations[number], server, now));
            }
            answers.retain(|(at, number, incarnation, server, sent_at)| {
                if *at > now {
                    return true;
                }
                let (host, keys) = &mut hosts[*number];
                if *incarnation == incarnations[*number] {
                    let limit = self.limits[*server].filter(|_| elapsed >= LIMITED_AT);
                    host.record_limit(now, keys[*server], *sent_at, limit);
                    let outcome = PlainOutcome::Answered(ANSWER_TIME);
                    host.finish_plain(now, keys[*server], outcome);
                }
                false
            });
            if elapsed.as_millis().is_multiple_of(self.report_interval.as_millis()) {
                for (number, (host, _)) in hosts.iter_mut().enumerate() {
                    let content = host.limit_reports(now);
                    let arrives_at = now + self.report_delay;
                    reports.push((arrives_at, number, incarnations[number], content));
                }
            }
            reports.retain(|(at, from, incarnation, content)| {
                if *at > now {
                    return true;
                }
                let cell = Cell::of(&name(*from), self.hosts);
                for to in 0..self.hosts {
                    let is_cut =
                        elapsed >= ISOLATED_AT && (*from < self.isolated || to < self.isolated);
                    if to != *from && cell.contains(&name(to)) && !is_cut {
                        let peer: Arc<str> = name(*from).into();
                        hosts[to].0.record_peer_limits(now, &peer, *incarnation, content);
                    }
                }
                false
            });
            let is_restart = elapsed.as_millis().is_multiple_of(RESTART_INTERVAL.as_millis());
            if self.restarts && is_restart && step > 0 {
                let number = (elapsed.as_secs() / RESTART_INTERVAL.as_secs()) as usize % self.hosts;
                hosts[number] = self.host(number);
                incarnations[number] += 1;
            }
        }
        let counted: Vec<Vec<Duration>> = arrivals
            .iter()
            .map(|times| times.iter().copied().filter(|at| *at >= COUNTED_FROM).collect())
            .collect();
        let most = |times: &Vec<Duration>| {
            let count_from = |start: &Duration| {
                let is_counted = |at: &&Duration| *at >= start && **at - *start < WINDOW;
                times.iter().filter(is_counted).count()
            };
            times.iter().map(count_from).max().unwrap_or(0)
        };
        let seconds = (self.length - COUNTED_FROM).as_secs_f64();
        Outcome {
            most: counted.iter().map(most).collect(),
            mean: counted.iter().map(|times| times.len() as f64 / seconds).collect(),
            refused,
        }
    }
}

fn name(host: usize) -> String {
    format!("host-{host}")
}

/// Requests that a server with a limit may get in 4 s.
fn allowed(limit: f64) -> usize {
    (limit * 4.0 * 1.5) as usize + 5
}

/// Asserts that no server gets more than its limit allows.
fn assert_kept(fleet: &Fleet) -> Outcome {
    let outcome = fleet.run();
    for (most, limit) in outcome.most.iter().zip(&fleet.limits) {
        let Some(limit) = limit else { continue };
        let (hosts, seed) = (fleet.hosts, fleet.seed);
        assert!(*most <= allowed(*limit), "{hosts} hosts, seed {seed}: {most} at {limit} a second");
    }
    outcome
}

// Guards against hosts that each send what a server takes from all of them.
#[test]
fn a_fleet_keeps_to_the_limits_and_uses_them() {
    for (hosts, limit) in [(1, 4.4), (5, 4.4), (5, 0.5), (5, 40.0), (14, 4.4), (23, 20.0)] {
        for seed in 1..=3 {
            let limits = [Some(limit), Some(limit)];
            let fleet = Fleet { seed, ..Fleet::new(hosts, &limits, 4.0 * limit + 20.0) };
            let outcome = assert_kept(&fleet);

            let lowest = outcome.mean.iter().copied().fold(f64::MAX, f64::min);
            assert!(lowest >= limit * 0.85, "{hosts} hosts, {limit}: {:?}", outcome.mean);
        }
    }
}

#[test]
fn no_caller_is_refused_while_a_server_without_a_limit_has_room() {
    let outcome = assert_kept(&Fleet::new(5, &[Some(4.7), Some(3.1), None], 47.0));

    assert_eq!(outcome.refused, 0);
}

// Guards against cells of a large fleet of which each uses the whole limit.
#[test]
fn cells_share_a_limit() {
    for limit in [1.0, 4.4] {
        assert_kept(&Fleet {
            report_interval: millis(50),
            length: Duration::from_secs(20),
            ..Fleet::new(103, &[Some(limit); 2], 380.0)
        });
    }
}

#[test]
fn hosts_that_cannot_hear_each_other_share_a_limit() {
    for (isolated, seed) in [(1, 1), (2, 2), (4, 3), (5, 4)] {
        let limits = [Some(4.4), Some(3.4)];
        assert_kept(&Fleet { isolated, seed, ..Fleet::new(5, &limits, 47.0) });
    }
}

#[test]
fn a_limit_is_kept_while_hosts_restart() {
    for seed in 1..=3 {
        assert_kept(&Fleet { restarts: true, seed, ..Fleet::new(5, &[Some(4.4)], 47.0) });
    }
}

#[test]
fn a_limit_is_kept_though_reports_are_slow() {
    for seed in 1..=3 {
        let (report_interval, report_delay) = (millis(100), millis(150));
        let fleet = Fleet::new(5, &[Some(4.4), Some(3.4), None], 47.0);
        assert_kept(&Fleet { report_interval, report_delay, seed, ..fleet });
    }
}

#[test]
fn an_allowance_that_may_be_overdrawn_admits_while_it_holds_anything() {
    use crate::limit::Quota;
    let settings =
        allowance::Settings { overdraw: true, accrual_time: millis(100), ..Default::default() };
    let mut allowances = allowance::Allowances::new(NOW, true, settings);
    let name: Arc<str> = "e0".into();
    allowances.configure(NOW, &[Quota { name: name.clone(), rate: 1_000, burst: 0 }]);

    let first = allowances.debit(NOW, &name, 1_000).is_ok();
    let second = allowances.debit(NOW, &name, 1_000);
    let wait = allowances.time_until_filled(NOW, &name, 0.0);

    assert!(first);
    assert_eq!(second.unwrap_err().retry_after, millis(901));
    assert_eq!(wait, millis(901));
}

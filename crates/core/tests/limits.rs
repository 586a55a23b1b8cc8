//! Refusals within the rate and overshoot, with and without borrowing, for the same requests.
//!
//! `cargo test -p chestnutrack-core --test limits -- --nocapture` prints the table of
//! `docs/limits.md`.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

mod world;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::fmt::Write;
use std::time::Duration;
use world::host::Host;
use world::{Event, Settings, World};

/// Length of a run.
const RUN_S: u64 = 120;
/// Rate and burst of the organisation, in tokens a second and tokens.
const RATE: u64 = 30_000;
const BURST: u64 = 30_000;
/// Longest time that a request may wait for tokens.
const MAX_WAIT: Duration = Duration::from_millis(300);
/// Load of an organisation within its rate, as a multiple of the rate.
const LOAD_WITHIN_RATE: f64 = 0.9;
/// Seeds whose figures are summed.
const SEEDS: [u64; 3] = [1, 2, 3];

/// Distribution of an organisation's requests over three hosts by the load balancer, in percent.
const EVEN: [u32; 3] = [34, 33, 33];
const SKEWED: [u32; 3] = [70, 20, 10];
const SINGLE: [u32; 3] = [100, 0, 0];

/// One experiment.
#[derive(Clone, Copy)]
struct Case {
    name: &'static str,
    /// Requested tokens, as a multiple of the rate.
    load: f64,
    spread: [u32; 3],
    /// Events, and the second at which each is injected.
    events: &'static [(u64, Event)],
}

#[derive(Clone, Copy, Debug, Default)]
struct Figures {
    requests: u64,
    refused: u64,
    tokens: u64,
    messages: u64,
    overshoot: u64,
}

const CASES: [Case; 8] = [
    Case { name: "in rate, even", load: LOAD_WITHIN_RATE, spread: EVEN, events: &[] },
    Case { name: "in rate, 70/20/10", load: LOAD_WITHIN_RATE, spread: SKEWED, events: &[] },
    Case { name: "in rate, all on one host", load: LOAD_WITHIN_RATE, spread: SINGLE, events: &[] },
    Case { name: "five times the rate, even", load: 5.0, spread: EVEN, events: &[] },
    Case { name: "five times the rate, one host", load: 5.0, spread: SINGLE, events: &[] },
    Case {
        name: "in rate, 70/20/10, outage of two minutes",
        load: LOAD_WITHIN_RATE,
        spread: SKEWED,
        events: &[(0, Event::Outage(true))],
    },
    Case {
        name: "in rate, 70/20/10, a host killed and restarted",
        load: LOAD_WITHIN_RATE,
        spread: SKEWED,
        events: &[(30, Event::Kill(2)), (60, Event::Start(2))],
    },
    Case {
        name: "in rate, 70/20/10, a host stopped for ten seconds",
        load: LOAD_WITHIN_RATE,
        spread: SKEWED,
        events: &[(30, Event::Stop(2)), (40, Event::Continue(2))],
    },
];

fn run(case: &Case, borrows: bool, seed: u64) -> Figures {
    let settings = Settings { seed, rate: RATE, burst: BURST, borrows, ..Settings::default() };
    let mut world = World::new(settings);
    // Arrivals have their own random source, so that both variants get the same requests.
    let mut arrivals = ChaCha8Rng::seed_from_u64(seed);
    world.run(Duration::from_secs(10));
    let admitted = world.checks.admitted;
    let mut figures = Figures::default();
    for second in 0..RUN_S {
        for (_, event) in case.events.iter().filter(|(at, _)| *at == second) {
            world.apply(event);
        }
        for _ in 0..100 {
            arrive(&mut world, &mut arrivals, case);
            world.run(Duration::from_millis(10));
        }
    }
    world.run(Duration::from_secs(2));
    for outcome in world.hosts.iter().flat_map(|host| &host.outcomes) {
        figures.requests += 1;
        figures.refused += u64::from(outcome.refused.is_some());
    }
    figures.tokens = world.checks.admitted - admitted;
    figures.messages = world.checks.messages;
    figures.overshoot = world.checks.overshoot();
    assert_eq!(world.checks.findings, Vec::<String>::new(), "{}", case.name);
    figures
}

/// Sends the requests of one step: on average, the load of 10 ms.
fn arrive(world: &mut World, arrivals: &mut ChaCha8Rng, case: &Case) {
    let mean = 600.0;
    let expected = case.load * 300.0 / mean;
    let whole = expected.floor();
    let more = arrivals.random_bool(expected - whole);
    for _ in 0..(whole as u64 + u64::from(more)) {
        let tokens = arrivals.random_range(100..=1_100);
        let host = pick(arrivals, case.spread);
        if world.hosts[host].runs() {
            Host::debit(world, host, tokens, MAX_WAIT);
        } else {
            let others: Vec<_> = (0..3).filter(|index| world.hosts[*index].runs()).collect();
            Host::debit(world, others[0], tokens, MAX_WAIT);
        }
    }
}

fn pick(arrivals: &mut ChaCha8Rng, spread: [u32; 3]) -> usize {
    let draw = arrivals.random_range(0..100);
    match draw {
        _ if draw < spread[0] => 0,
        _ if draw < spread[0] + spread[1] => 1,
        _ => 2,
    }
}

fn sum(case: &Case, borrows: bool) -> Figures {
    SEEDS.iter().map(|seed| run(case, borrows, *seed)).fold(Figures::default(), |a, b| Figures {
        requests: a.requests + b.requests,
        refused: a.refused + b.refused,
        tokens: a.tokens + b.tokens,
        messages: a.messages + b.messages,
        overshoot: a.overshoot + b.overshoot,
    })
}

fn row(case: &Case, variant: &str, figures: &Figures) -> String {
    let mut row = String::new();
    let seconds = u64::try_from(SEEDS.len()).unwrap() * RUN_S;
    let percent = |part: u64, total: u64| 100.0 * part as f64 / total.max(1) as f64;
    let Figures { requests, refused, tokens, messages, overshoot, .. } = figures;
    let refused = percent(*refused, *requests);
    let used = percent(*tokens, RATE * seconds);
    let each = *messages as f64 / *requests as f64;
    let name = case.name;
    write!(row, "| {name} | {variant} | {requests} | {refused:.3} % | {used:.1} % | ").unwrap();
    write!(row, "{each:.2} | {overshoot} |").unwrap();
    row
}

#[test]
fn borrowing_refuses_little_within_the_rate_and_never_overshoots() {
    let mut shares = Vec::new();
    let mut loans = Vec::new();

    for case in &CASES {
        shares.push(sum(case, false));
        loans.push(sum(case, true));
        println!("{}", row(case, "fixed shares", shares.last().unwrap()));
        println!("{}", row(case, "borrowing", loans.last().unwrap()));
    }

    assert!(shares.iter().chain(&loans).all(|figures| figures.overshoot == 0));
    // Without faults, under 0.1 % of requests within the rate are refused.
    for figures in &loans[..3] {
        assert!(figures.refused * 1_000 < figures.requests, "{figures:?}");
    }
}

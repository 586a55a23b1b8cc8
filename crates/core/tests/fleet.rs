//! Members under random events: the invariants of rates, shares and configurations hold, and the fleet
//! recovers.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

mod world;

use quickcheck::{Arbitrary, Gen, QuickCheck};
use std::time::Duration;
use world::{Event, Settings, World};

/// Time in which a fleet recovers after its faults have ended.
const RECOVERY_TIME: Duration = Duration::from_secs(30);

impl Arbitrary for Event {
    fn arbitrary(g: &mut Gen) -> Event {
        let host = u8::arbitrary(g) % 4;
        let other = u8::arbitrary(g) % 4;
        let number = u8::arbitrary(g);
        match u8::arbitrary(g) % 24 {
            0..=7 => Event::Wait(u16::arbitrary(g) % 4_000),
            8 => Event::Kill(host),
            9 | 10 => Event::Start(host),
            11 => Event::Stop(host),
            12 | 13 => Event::Continue(host),
            14 => Event::CutStore(host),
            15 => Event::CutPair(host, other),
            16 | 17 => Event::Heal,
            18 => Event::Outage(bool::arbitrary(g)),
            19 => Event::LoseAnswers(number),
            20 => Event::Stale(bool::arbitrary(g)),
            21 => Event::Lossy(number),
            22 => Event::Edit(number),
            _ => Event::Load(host, number),
        }
    }
}

/// Runs events and returns the violated invariants.
fn run_events(settings: Settings, events: &[Event]) -> Vec<String> {
    let hosts = settings.hosts;
    let mut world = World::new(settings);
    for host in 0..hosts {
        world.apply(&Event::Load(u8::try_from(host).unwrap(), 3));
    }
    world.run(Duration::from_secs(5));
    for event in events {
        world.apply(event);
    }
    world.checks.findings
}

fn run_events_and_heal(settings: Settings, events: &[Event]) -> Vec<String> {
    let hosts = settings.hosts;
    let mut world = World::new(settings);
    world.run(Duration::from_secs(5));
    for event in events {
        world.apply(event);
    }
    world.heal();
    for host in 0..hosts {
        let host = u8::try_from(host).unwrap();
        world.apply(&Event::Continue(host));
        world.apply(&Event::Start(host));
    }
    world.run(RECOVERY_TIME);
    let now = world.now;
    let divisors = world.hosts.iter_mut().map(|host| {
        let divisor = host.divisor(now).filter(|_| host.is_current(now));
        (host.index, divisor)
    });
    let wrong = divisors.filter(|(_, divisor)| *divisor != u32::try_from(hosts).ok());
    wrong.map(|(host, divisor)| format!("host {host} ends with {divisor:?}")).collect()
}

fn settings(seed: u64) -> Settings {
    Settings { seed, hosts: 2 + usize::try_from(seed % 3).unwrap(), ..base() }
}

/// Longest generated list of events.
const MAX_EVENTS: usize = 30;

/// Number of generated lists, unless `QUICKCHECK_TESTS` is set.
const DEFAULT_TESTS: u64 = 40;

fn check() -> QuickCheck {
    let tests = std::env::var("QUICKCHECK_TESTS").ok().and_then(|text| text.parse().ok());
    QuickCheck::new().rng(Gen::new(MAX_EVENTS)).tests(tests.unwrap_or(DEFAULT_TESTS))
}

/// Events that pause one host for some milliseconds and resume it.
fn stopped_for(ms: u16) -> Vec<Event> {
    vec![Event::Stop(2), Event::Wait(ms), Event::Continue(2), Event::Wait(3_000)]
}

#[test]
fn a_stopped_host_does_not_add_to_the_rate() {
    let found: Vec<_> = [800, 1_500, 2_500, 8_000]
        .into_iter()
        .map(|ms| run_events(base(), &stopped_for(ms)))
        .collect();

    assert_eq!(found.concat(), Vec::<String>::new());
}

#[test]
fn shares_that_grow_before_the_lease_has_lapsed_are_caught() {
    let found = run_events(Settings { skip_lease_wait: true, ..base() }, &stopped_for(2_500));

    assert!(found.iter().any(|text| text.contains("shares add up")), "{found:?}");
}

#[test]
fn a_member_that_acts_without_being_vouched_for_is_caught() {
    let found = run_events(Settings { skip_vouching: true, ..base() }, &stopped_for(8_000));

    assert!(found.iter().any(|text| text.contains("shares add up")), "{found:?}");
}

/// A host is removed before it learned that another has joined, so that its share is still the larger one.
#[test]
fn a_host_removed_before_it_heard_of_another_does_not_add_to_the_rate() {
    let events = [
        Event::Stop(2),
        Event::Wait(2_843),
        Event::Continue(2),
        Event::Stop(1),
        Event::Wait(2_718),
    ];

    assert_eq!(run_events(base(), &events), Vec::<String>::new());
}

/// Joining hosts must not spend tokens until the others have reduced their shares.
#[test]
fn hosts_that_join_do_not_add_to_the_rate() {
    let found = run_events(settings(17_428_772_719_152_365_829), &[]);

    assert_eq!(found, Vec::<String>::new());
}

fn base() -> Settings {
    Settings::default()
}

#[test]
fn no_events_overdraw_a_rate_or_bring_back_a_document() {
    fn holds(seed: u64, events: Vec<Event>) -> Result<bool, String> {
        let findings = run_events(settings(seed), &events);
        if findings.is_empty() { Ok(true) } else { Err(findings.join("\n")) }
    }
    check().quickcheck(holds as fn(u64, Vec<Event>) -> Result<bool, String>);
}

#[test]
fn a_fleet_without_faults_is_whole_again() {
    fn holds(seed: u64, events: Vec<Event>) -> Result<bool, String> {
        let findings = run_events_and_heal(settings(seed), &events);
        if findings.is_empty() { Ok(true) } else { Err(findings.join("\n")) }
    }
    check().quickcheck(holds as fn(u64, Vec<Event>) -> Result<bool, String>);
}

//! What must hold whatever happens, over random lists of events.

use super::ask::{decode, forward, prefill, reserve};
use super::model::{Variant, World};
use chestnutrack_core::server::count::Reason;
use chestnutrack_core::server::settings::FREED_WITHIN;
use chestnutrack_core::server::{Counter, Event};
use chestnutrack_document::model::Role;
use chestnutrack_wire::Frame;
use chestnutrack_wire::frame::{Cause, Forward, Ran, Reserve};
use quickcheck::{Arbitrary, Gen, QuickCheck, TestResult};
use std::collections::HashSet;

/// Number of random lists for each property.
const TESTS: u64 = 400;
/// Seed of the lists.
const SEED: u64 = 1;
/// Length of the longest list.
const STEPS: usize = 100;
/// Number of requests that a list is about.
const REQUESTS: u8 = 6;

/// One thing that happens.
#[derive(Clone, Debug)]
enum Step {
    Connect(u8),
    Disconnect(u8),
    Silence(u8),
    Restart(u8),
    Ask(u8, u8),
    Decode(u8),
    Cancel(u8, bool),
    Done(u8),
    Resume(u8, u8, u8),
    Arrive(u8),
    Answer(u8, bool),
    Token(u8),
    End(u8),
    Advance(u16),
    Leaving(bool),
    Pause(u16),
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Step {
        let small = u8::arbitrary(g);
        let request = u8::arbitrary(g) % REQUESTS;
        let flag = u8::arbitrary(g).is_multiple_of(4);
        match u8::arbitrary(g) % 32 {
            0 => Step::Connect(small % 3),
            1 => Step::Disconnect(small % 3),
            2 => Step::Silence(small % 3),
            3 => Step::Restart(small % 3),
            4..=8 => Step::Ask(request, small),
            9..=11 => Step::Decode(request),
            12 | 13 => Step::Cancel(request, flag),
            14 => Step::Done(request),
            15 | 16 => Step::Resume(request, small % 3, u8::arbitrary(g) % 4),
            17..=20 => Step::Arrive(small),
            21..=24 => Step::Answer(small, flag),
            25 | 26 => Step::Token(small),
            27 => Step::End(small),
            28 | 29 => Step::Advance(u16::from(small) * 4),
            30 => Step::Leaving(flag),
            _ => Step::Pause(u16::from(small) * 8),
        }
    }
}

fn owner(request: u8) -> usize {
    usize::from(request % 3)
}

fn apply(world: &mut World, role: Role, index: usize, step: &Step) {
    let repeat = u32::try_from(index).unwrap();
    match *step {
        Step::Connect(host) => drop(world.connect(usize::from(host))),
        Step::Disconnect(host) => world.disconnect(usize::from(host)),
        Step::Silence(host) => world.hosts[usize::from(host)].pings = false,
        Step::Restart(host) => {
            world.hosts[usize::from(host)].incarnation += 1;
            world.hosts[usize::from(host)].connection = None;
            world.connect(usize::from(host));
        }
        Step::Ask(request, size) => {
            let (id, attempt) = world.id(u128::from(request), repeat);
            let tokens = 100 + u32::from(size) * 4;
            let organisation = if request % 2 == 0 { "dairy-coop" } else { "honey-shop" };
            let frame = match role {
                Role::Prefill => Frame::Prefill(id, attempt, prefill(organisation, tokens, 3_000)),
                Role::Plain => {
                    let ask = forward(u32::from(size) * 4, 1_000);
                    Frame::Forward(id, attempt, Forward { body: vec![request], ..ask })
                }
                _ => {
                    let needed_in_ms = u32::from(u8::MAX - size) * 100;
                    let ask = reserve(organisation, tokens, 500);
                    Frame::Reserve(id, attempt, Reserve { needed_in_ms, ..ask })
                }
            };
            world.frame(owner(request), frame);
        }
        Step::Decode(request) => {
            let (id, attempt) = world.id(u128::from(request), repeat);
            world.frame(owner(request), Frame::Decode(id, attempt, decode(20)));
        }
        Step::Cancel(request, foreign) => {
            let (id, attempt) = world.id(u128::from(request), 0);
            let host = owner(request + u8::from(foreign));
            world.frame(host, Frame::Cancel(id, attempt));
        }
        Step::Done(request) => {
            let (id, attempt) = world.id(u128::from(request), 0);
            world.frame(owner(request), Frame::Done(id, attempt));
        }
        Step::Resume(request, host, offset) => {
            let (id, attempt) = world.id(u128::from(request), 0);
            let frame = Frame::Resume(id, attempt, u64::from(offset));
            world.frame(usize::from(host), frame);
        }
        Step::Arrive(index) if role == Role::Plain => {
            let calls = world.calls.len().max(1);
            world.call_arrives(usize::from(index) % calls);
        }
        Step::Answer(index, lost) if role == Role::Plain => {
            let calls = world.calls.len().max(1);
            world.call_ends(usize::from(index) % calls, lost);
        }
        Step::Arrive(index) => {
            let open = world.open.len().max(1);
            world.arrive(usize::from(index) % open);
        }
        Step::Answer(index, lost) => {
            let open = world.open.len().max(1);
            world.answer(usize::from(index) % open, lost);
        }
        Step::Token(index) => world.step(usize::from(index), false),
        Step::End(index) => world.step(usize::from(index), true),
        Step::Advance(millis) => world.advance(u64::from(millis)),
        Step::Leaving(leaving) => world.configure(leaving),
        Step::Pause(millis) => {
            let late = std::time::Duration::from_millis(u64::from(millis));
            world.now = world.now + late;
            world.event(Event::Tick { delay: late });
        }
    }
}

/// Runs a list, then has every entry host die, and gives the bound's time to free everything.
fn run(role: Role, variant: Variant, steps: &[Step]) -> World {
    let mut world = World::with(role, variant);
    for (index, step) in steps.iter().enumerate() {
        apply(&mut world, role, index, step);
    }
    for host in &mut world.hosts {
        host.pings = false;
    }
    world.run(u64::try_from(FREED_WITHIN.as_millis()).unwrap());
    let used = world.server.usage().slots;
    if used > 0 {
        world.violations.push(format!("{used} slots are still taken"));
    }
    if !world.engine.is_empty() {
        let left = format!("the engine still holds {:?}", world.engine);
        world.violations.push(left);
    }
    world
}

fn holds(role: Role) -> fn(Vec<Step>) -> TestResult {
    fn verdict(world: &World) -> TestResult {
        match world.violations.first() {
            None => TestResult::passed(),
            Some(violation) => TestResult::error(violation.clone()),
        }
    }
    match role {
        Role::Prefill => |steps| verdict(&run(Role::Prefill, Variant::Whole, &steps)),
        Role::Plain => |steps| verdict(&run(Role::Plain, Variant::Whole, &steps)),
        _ => |steps| verdict(&run(Role::Decode, Variant::Whole, &steps)),
    }
}

fn check(role: Role) {
    let lists = Gen::from_size_and_seed(STEPS, SEED);
    QuickCheck::new().tests(TESTS).rng(lists).quickcheck(holds(role));
}

#[test]
fn a_decode_server_keeps_its_promises() {
    check(Role::Decode);
}

#[test]
fn a_prefill_server_keeps_its_promises() {
    check(Role::Prefill);
}

#[test]
fn a_plain_server_keeps_its_promises() {
    check(Role::Plain);
}

#[test]
fn the_lists_reach_every_stage() {
    let mut lists = Gen::from_size_and_seed(STEPS, SEED);
    let mut seen = HashSet::new();
    for _ in 0..TESTS {
        let world = run(Role::Decode, Variant::Whole, &Vec::arbitrary(&mut lists));
        seen.extend(world.server.counts().map(|(counter, _)| counter));
    }

    let expected = [
        Counter::Granted,
        Counter::Promised,
        Counter::Late,
        Counter::Foreign,
        Counter::Freed(Reason::Done),
        Counter::Freed(Reason::Cancelled),
        Counter::Freed(Reason::OwnerGone),
        Counter::Failed(Cause::Full, Ran::NotRun),
        Counter::Failed(Cause::Leaving, Ran::NotRun),
        Counter::Failed(Cause::ReservationLapsed, Ran::NotRun),
        Counter::Failed(Cause::KvLost, Ran::Ran),
        Counter::Completed,
        Counter::Resumed,
        Counter::Pauses,
    ];
    let missing: Vec<_> = expected.iter().filter(|counter| !seen.contains(counter)).collect();
    assert!(missing.is_empty(), "{missing:?}");
}

/// Violations of a fixture that leaves a mechanism out.
fn violations(variant: Variant, steps: &[Step]) -> Vec<String> {
    run(Role::Decode, variant, steps).violations
}

/// A request that is cancelled while its import is on the way and completes after that.
fn cancel_before_import() -> Vec<Step> {
    vec![
        Step::Ask(0, 0),
        Step::Decode(0),
        Step::Cancel(0, false),
        Step::Arrive(1),
        Step::Answer(1, false),
        Step::Arrive(0),
        Step::Answer(0, false),
        Step::Advance(100),
    ]
}

#[test]
fn without_leases_the_memory_of_a_dead_host_stays() {
    let steps = [Step::Ask(0, 0), Step::Decode(0)];

    assert_eq!(violations(Variant::Whole, &steps), Vec::<String>::new());
    assert_ne!(violations(Variant::NoTicks, &steps), Vec::<String>::new());
}

#[test]
fn without_a_second_cancel_a_late_import_stays() {
    let steps = cancel_before_import();

    assert_eq!(violations(Variant::Whole, &steps), Vec::<String>::new());
    assert_ne!(violations(Variant::OneCancel, &steps), Vec::<String>::new());
}

#[test]
fn without_the_true_word_a_refusal_lies() {
    let lost = [Step::Ask(0, 0), Step::Decode(0), Step::Arrive(1), Step::Answer(1, true)];

    assert_eq!(violations(Variant::Whole, &lost), Vec::<String>::new());
    assert_ne!(violations(Variant::AlwaysNotRun, &lost), Vec::<String>::new());
}

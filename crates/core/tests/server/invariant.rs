//! Invariants that must hold for any sequence of events, checked over random sequences.

use super::payload::{decode, forward, prefill, reserve};
use super::world::{Variant, World};
use chestnutrack_core::server::count::Reason;
use chestnutrack_core::server::settings::FREED_WITHIN;
use chestnutrack_core::server::{Counter, Event};
use chestnutrack_document::model::Role;
use chestnutrack_wire::Frame;
use chestnutrack_wire::frame::{Cause, Forward, Ran, Reserve};
use quickcheck::{Arbitrary, Gen, QuickCheck, TestResult};
use std::collections::HashSet;

/// Number of random sequences per property.
const CASES: u64 = 400;
/// Seed of the random sequences.
const SEED: u64 = 1;
/// Maximum length of a sequence.
const STEPS_MAX: usize = 100;
/// Number of distinct requests in a sequence.
const REQUESTS: u8 = 6;

/// A step of a random sequence.
#[derive(Clone, Debug)]
enum Step {
    Connect(u8),
    Disconnect(u8),
    StopPings(u8),
    Restart(u8),
    Request(u8, u8),
    Decode(u8),
    Cancel(u8, bool),
    Done(u8),
    Resume(u8, u8, u8),
    DeliverOrder(u8),
    DeliverAnswer(u8, bool),
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
            2 => Step::StopPings(small % 3),
            3 => Step::Restart(small % 3),
            4..=8 => Step::Request(request, small),
            9..=11 => Step::Decode(request),
            12 | 13 => Step::Cancel(request, flag),
            14 => Step::Done(request),
            15 | 16 => Step::Resume(request, small % 3, u8::arbitrary(g) % 4),
            17..=20 => Step::DeliverOrder(small),
            21..=24 => Step::DeliverAnswer(small, flag),
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
        Step::StopPings(host) => world.hosts[usize::from(host)].pings = false,
        Step::Restart(host) => {
            world.hosts[usize::from(host)].incarnation += 1;
            world.hosts[usize::from(host)].connection = None;
            world.connect(usize::from(host));
        }
        Step::Request(request, size) => {
            let (id, attempt) = world.id(u128::from(request), repeat);
            let tokens = 100 + u32::from(size) * 4;
            let organisation = if request % 2 == 0 { "dairy-coop" } else { "honey-shop" };
            let frame = match role {
                Role::Prefill => Frame::Prefill(id, attempt, prefill(organisation, tokens, 3_000)),
                Role::Plain => {
                    let payload = forward(u32::from(size) * 4, 1_000);
                    Frame::Forward(id, attempt, Forward { body: vec![request], ..payload })
                }
                _ => {
                    let needed_in_ms = u32::from(u8::MAX - size) * 100;
                    let payload = reserve(organisation, tokens, 500);
                    Frame::Reserve(id, attempt, Reserve { needed_in_ms, ..payload })
                }
            };
            world.send(owner(request), frame);
        }
        Step::Decode(request) => {
            let (id, attempt) = world.id(u128::from(request), repeat);
            world.send(owner(request), Frame::Decode(id, attempt, decode(20)));
        }
        Step::Cancel(request, foreign) => {
            let (id, attempt) = world.id(u128::from(request), 0);
            let host = owner(request + u8::from(foreign));
            world.send(host, Frame::Cancel(id, attempt));
        }
        Step::Done(request) => {
            let (id, attempt) = world.id(u128::from(request), 0);
            world.send(owner(request), Frame::Done(id, attempt));
        }
        Step::Resume(request, host, offset) => {
            let (id, attempt) = world.id(u128::from(request), 0);
            let frame = Frame::Resume(id, attempt, u64::from(offset));
            world.send(usize::from(host), frame);
        }
        Step::DeliverOrder(index) if role == Role::Plain => {
            let count = world.calls.len().max(1);
            world.deliver_call(usize::from(index) % count);
        }
        Step::DeliverAnswer(index, lost) if role == Role::Plain => {
            let count = world.calls.len().max(1);
            world.end_call(usize::from(index) % count, lost);
        }
        Step::DeliverOrder(index) => {
            let count = world.in_flight.len().max(1);
            world.deliver_order(usize::from(index) % count);
        }
        Step::DeliverAnswer(index, lost) => {
            let count = world.in_flight.len().max(1);
            world.deliver_answer(usize::from(index) % count, lost);
        }
        Step::Token(index) => world.advance_stream(usize::from(index), false),
        Step::End(index) => world.advance_stream(usize::from(index), true),
        Step::Advance(millis) => world.advance(u64::from(millis)),
        Step::Leaving(leaving) => world.configure(leaving),
        Step::Pause(millis) => {
            let delay = std::time::Duration::from_millis(u64::from(millis));
            world.now = world.now + delay;
            world.event(Event::Tick { delay });
        }
    }
}

/// Applies the steps, then stops all pings as if every entry host had died, and checks that
/// everything is freed within [`FREED_WITHIN`].
fn run(role: Role, variant: Variant, steps: &[Step]) -> World {
    let mut world = World::with_variant(role, variant);
    for (index, step) in steps.iter().enumerate() {
        apply(&mut world, role, index, step);
    }
    for host in &mut world.hosts {
        host.pings = false;
    }
    world.advance_settled(u64::try_from(FREED_WITHIN.as_millis()).unwrap());
    let used = world.server.usage().slots;
    if used > 0 {
        world.violations.push(format!("{used} slots are still taken"));
    }
    if !world.engine.is_empty() {
        let violation = format!("the engine still holds {:?}", world.engine);
        world.violations.push(violation);
    }
    world
}

fn property(role: Role) -> fn(Vec<Step>) -> TestResult {
    fn result(world: &World) -> TestResult {
        match world.violations.first() {
            None => TestResult::passed(),
            Some(violation) => TestResult::error(violation.clone()),
        }
    }
    match role {
        Role::Prefill => |steps| result(&run(Role::Prefill, Variant::Complete, &steps)),
        Role::Plain => |steps| result(&run(Role::Plain, Variant::Complete, &steps)),
        _ => |steps| result(&run(Role::Decode, Variant::Complete, &steps)),
    }
}

fn check(role: Role) {
    let generator = Gen::from_size_and_seed(STEPS_MAX, SEED);
    QuickCheck::new().tests(CASES).rng(generator).quickcheck(property(role));
}

#[test]
fn a_decode_server_keeps_the_invariants() {
    check(Role::Decode);
}

#[test]
fn a_prefill_server_keeps_the_invariants() {
    check(Role::Prefill);
}

#[test]
fn a_plain_server_keeps_the_invariants() {
    check(Role::Plain);
}

#[test]
fn random_events_reach_the_expected_counters() {
    let mut generator = Gen::from_size_and_seed(STEPS_MAX, SEED);
    let mut seen = HashSet::new();
    for _ in 0..CASES {
        let world = run(Role::Decode, Variant::Complete, &Vec::arbitrary(&mut generator));
        seen.extend(world.server.counts().map(|(counter, _)| counter));
    }

    let expected = [
        Counter::Granted,
        Counter::Promised,
        Counter::LateFrames,
        Counter::ForeignFrames,
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

/// Returns the violations found with a variant that leaves a mechanism out.
fn violations(variant: Variant, steps: &[Step]) -> Vec<String> {
    run(Role::Decode, variant, steps).violations
}

/// Cancels a request while its import is in flight, so that the import completes after the cancel.
fn cancel_before_import() -> Vec<Step> {
    vec![
        Step::Request(0, 0),
        Step::Decode(0),
        Step::Cancel(0, false),
        Step::DeliverOrder(1),
        Step::DeliverAnswer(1, false),
        Step::DeliverOrder(0),
        Step::DeliverAnswer(0, false),
        Step::Advance(100),
    ]
}

#[test]
fn without_leases_the_memory_of_a_dead_host_is_never_freed() {
    let steps = [Step::Request(0, 0), Step::Decode(0)];

    assert_eq!(violations(Variant::Complete, &steps), Vec::<String>::new());
    assert_ne!(violations(Variant::NoTicks, &steps), Vec::<String>::new());
}

#[test]
fn without_a_second_cancel_a_late_import_is_never_freed() {
    let steps = cancel_before_import();

    assert_eq!(violations(Variant::Complete, &steps), Vec::<String>::new());
    assert_ne!(violations(Variant::SingleCancel, &steps), Vec::<String>::new());
}

#[test]
fn always_reporting_not_run_is_detected() {
    let lost =
        [Step::Request(0, 0), Step::Decode(0), Step::DeliverOrder(1), Step::DeliverAnswer(1, true)];

    assert_eq!(violations(Variant::Complete, &lost), Vec::<String>::new());
    assert_ne!(violations(Variant::AlwaysNotRun, &lost), Vec::<String>::new());
}

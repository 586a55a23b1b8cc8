//! Refusals: when a request is refused, with which cause, and whether it is reported as run.

use super::payload::{decode, prefill, reserve};
use super::world::World;
use chestnutrack_core::server::{Fault, Settings};
use chestnutrack_document::model::Role;
use chestnutrack_wire::frame::{Cause, Ran, Reserve};
use chestnutrack_wire::{Attempt, Frame, Request};

const ATTEMPT: Attempt = Attempt(1);

/// Returns how a decode attempt fails if the engine answers its import with `fault`.
fn import_failure(fault: Fault) -> (Cause, Ran) {
    let mut world = World::new(Role::Decode);
    let payload = reserve("dairy-coop", 200, 1_000);
    world.send(0, Frame::Reserve(Request(1), ATTEMPT, payload));
    world.send(0, Frame::Decode(Request(1), ATTEMPT, decode(100)));
    world.in_flight[0].answer = Some(Err(fault));
    world.deliver_answer(0, false);
    world.settle();
    assert_eq!(world.server.usage().slots, 0);
    let (_, cause, ran) = world.failures()[0];
    (cause, ran)
}

#[test]
fn a_failed_import_reports_whether_it_ran() {
    let expected = [
        (Fault::Missing, (Cause::KvLost, Ran::Ran)),
        (Fault::Unknown, (Cause::KvLost, Ran::Ran)),
        (Fault::Full, (Cause::Full, Ran::NotRun)),
        (Fault::Refused, (Cause::Backend, Ran::NotRun)),
        (Fault::Unreachable, (Cause::Backend, Ran::NotRun)),
        (Fault::Stale, (Cause::Backend, Ran::NotRun)),
        (Fault::Fenced, (Cause::Fenced, Ran::NotRun)),
    ];

    for (fault, failure) in expected {
        assert_eq!(import_failure(fault), failure, "{fault:?}");
    }
}

#[test]
fn a_prefill_that_would_miss_its_deadline_is_not_started() {
    let mut world = World::new(Role::Prefill);
    for request in 1..=4 {
        let payload = prefill("dairy-coop", 400, 200);
        world.send(0, Frame::Prefill(Request(request), ATTEMPT, payload));
    }
    world.advance(180);
    let before = world.failures();

    world.deliver_order(0);
    world.deliver_answer(0, false);

    assert_eq!(before, []);
    assert_eq!(world.failures(), [(Request(4), Cause::Deadline, Ran::NotRun)]);
    assert_eq!(world.start_counts.len(), 3);
}

#[test]
fn a_request_that_could_not_be_granted_in_time_is_refused_at_once() {
    let mut world = World::new(Role::Decode);
    for request in 1..=3 {
        let payload = reserve("dairy-coop", 200, 1_000);
        world.send(0, Frame::Reserve(Request(request), ATTEMPT, payload));
    }
    world.send(0, Frame::Reserve(Request(4), ATTEMPT, reserve("dairy-coop", 200, 10_000)));
    world.advance(900);
    world.send(0, Frame::Cancel(Request(1), ATTEMPT));

    let impatient = Reserve { wait_ms: 300, ..reserve("dairy-coop", 200, 300) };
    world.send(0, Frame::Reserve(Request(5), ATTEMPT, impatient));
    world.send(0, Frame::Reserve(Request(6), ATTEMPT, reserve("dairy-coop", 200, 5_000)));

    assert_eq!(world.reserved(), [1, 2, 3, 4].map(Request));
    assert_eq!(world.failures(), [(Request(5), Cause::Full, Ran::NotRun)]);
    assert_eq!(world.server.load(world.now).waiting, 1);
}

#[test]
fn prompts_that_wait_are_bounded_in_bytes() {
    let mut world = World::new(Role::Prefill);
    let bytes = Settings::default().waiting_bytes;
    let mut payload = prefill("dairy-coop", 1_900, 60_000);
    world.send(0, Frame::Prefill(Request(1), ATTEMPT, payload.clone()));
    payload.prompt = "p".repeat(bytes / 2).into();

    for request in 2..=4 {
        world.send(0, Frame::Prefill(Request(request), ATTEMPT, payload.clone()));
    }

    assert_eq!(world.failures(), [(Request(4), Cause::Full, Ran::NotRun)]);
}

#[test]
fn short_prompts_do_not_make_a_long_one_look_late() {
    let mut world = World::new(Role::Prefill);
    for request in 1..=20 {
        let payload = prefill("dairy-coop", 10, 10_000);
        world.send(0, Frame::Prefill(Request(request), ATTEMPT, payload));
        // Fixed cost of an order, whatever its size.
        world.advance(20);
        world.settle();
        world.send(0, Frame::Done(Request(request), ATTEMPT));
        world.settle();
    }

    world.send(0, Frame::Prefill(Request(99), ATTEMPT, prefill("dairy-coop", 1_500, 600)));

    assert_eq!(world.failures(), []);
}

#[test]
fn an_idle_prefill_server_tries_a_prompt_that_looks_late() {
    let mut world = World::new(Role::Prefill);

    world.send(0, Frame::Prefill(Request(1), ATTEMPT, prefill("dairy-coop", 1_900, 20)));

    assert_eq!(world.failures(), []);
    assert_eq!(world.start_counts.len(), 1);
}

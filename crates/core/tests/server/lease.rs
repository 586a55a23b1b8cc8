//! Leases, resumes after a restart, promised slots and authority, each tested with one short
//! exchange.

use super::payload::{decode, prefill, reserve};
use super::world::{Variant, World};
use chestnutrack_core::server::settings::{
    CLAIM_TIMEOUT, HEARTBEAT_TIMEOUT, LEAVING_GRACE, PAUSE_THRESHOLD, RESUME_GRACE,
};
use chestnutrack_core::server::{Authority, Counter, Event, Settings, Task};
use chestnutrack_document::model::Role;
use chestnutrack_wire::frame::{Cause, Ran, Reserve};
use chestnutrack_wire::{Attempt, Frame, Request};
use std::time::Duration;

const ATTEMPT: Attempt = Attempt(1);

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap()
}

/// Returns a world in which requests 1 to `count` of the first entry host are decoding.
fn decoding(count: u128) -> World {
    let mut world = World::new(Role::Decode);
    for request in 1..=count {
        let payload = reserve("dairy-coop", 200, 1_000);
        world.send(0, Frame::Reserve(Request(request), ATTEMPT, payload));
        world.send(0, Frame::Decode(Request(request), ATTEMPT, decode(100)));
    }
    world.settle();
    world
}

fn sent_tokens(world: &World) -> Vec<(u32, usize)> {
    let tokens = world.sent.iter().filter_map(|(_, frame)| match frame {
        Frame::Tokens(_, _, offset, texts) => Some((*offset, texts.len())),
        _ => None,
    });
    tokens.collect()
}

#[test]
fn an_answer_resumes_at_its_offset_on_a_new_connection() {
    let mut world = decoding(1);
    world.advance_stream(0, false);
    world.disconnect(0);
    world.advance_stream(0, false);
    world.advance_settled(millis(RESUME_GRACE) / 2);

    world.connect(0);
    world.send(0, Frame::Resume(Request(1), ATTEMPT, 1));
    world.advance_stream(0, false);

    assert_eq!(sent_tokens(&world), [(0, 1), (1, 1), (2, 1)]);
}

#[test]
fn another_host_cannot_resume_an_answer() {
    let mut world = decoding(1);
    world.disconnect(0);

    world.send(1, Frame::Resume(Request(1), ATTEMPT, 0));

    assert_eq!(
        world.server.counts().find(|(c, _)| *c == Counter::ForeignFrames),
        Some((Counter::ForeignFrames, 1))
    );
    assert_eq!(sent_tokens(&world), []);
}

#[test]
fn an_unresponsive_host_is_given_up_after_timeout_and_grace() {
    let mut world = decoding(1);
    world.hosts[0].pings = false;

    world.advance_settled(millis(HEARTBEAT_TIMEOUT + RESUME_GRACE) - 100);
    let before = world.engine.len();
    world.advance_settled(200);

    assert_eq!((before, world.engine.len()), (1, 0));
}

#[test]
fn an_idle_connection_is_closed_after_a_longer_timeout() {
    let mut world = World::new(Role::Decode);
    world.connect(0);
    world.hosts[0].pings = false;

    world.advance_settled(millis(HEARTBEAT_TIMEOUT + RESUME_GRACE));
    let still_connected = world.hosts[0].connection.is_some();
    world.advance_settled(millis(Settings::default().idle_heartbeat_timeout));

    assert!(still_connected);
    assert_eq!(world.hosts[0].connection, None);
}

#[test]
fn a_new_incarnation_frees_the_holds_of_the_old_one_at_once() {
    let mut world = decoding(2);
    world.hosts[0].incarnation += 1;

    world.connect(0);
    world.settle();

    assert!(world.engine.is_empty(), "{:?}", world.engine);
    assert!(world.server.is_idle());
}

#[test]
fn an_old_incarnation_that_resumes_takes_nothing_from_the_new_one() {
    let mut world = World::new(Role::Decode);
    world.connect(0);
    world.hosts[0].incarnation += 1;
    world.connect(0);
    world.send(0, Frame::Reserve(Request(1), ATTEMPT, reserve("dairy-coop", 200, 1_000)));
    world.send(0, Frame::Decode(Request(1), ATTEMPT, decode(100)));
    world.settle();
    let live = world.hosts[0].connection;

    world.hosts[0].incarnation -= 1;
    world.connect(0);
    world.hosts[0].connection = live;
    world.advance_settled(1_000);

    assert_eq!(world.engine.len(), 1);
}

#[test]
fn a_replaced_incarnation_may_come_back_once_the_other_is_gone() {
    let mut world = World::new(Role::Decode);
    world.connect(0);
    world.hosts[0].incarnation += 1;
    world.connect(0);
    world.disconnect(0);
    world.hosts[0].incarnation -= 1;

    world.connect(0);
    world.send(0, Frame::Reserve(Request(1), ATTEMPT, reserve("dairy-coop", 200, 1_000)));

    assert_eq!(world.reserved(), [Request(1)]);
}

#[test]
fn a_reservation_given_before_leaving_may_be_used_for_a_while() {
    let mut world = World::new(Role::Decode);
    for request in 1..=2 {
        let payload = reserve("dairy-coop", 200, 1_000);
        world.send(0, Frame::Reserve(Request(request), ATTEMPT, payload));
    }
    world.configure(true);

    world.send(0, Frame::Decode(Request(1), ATTEMPT, decode(100)));
    world.advance_settled(millis(LEAVING_GRACE) + 100);
    world.send(0, Frame::Decode(Request(2), ATTEMPT, decode(100)));
    world.send(0, Frame::Reserve(Request(3), ATTEMPT, reserve("dairy-coop", 200, 1_000)));

    assert_eq!(world.engine.len(), 1);
    let refused = [Request(2), Request(2), Request(3)].map(|id| (id, Cause::Leaving, Ran::NotRun));
    assert_eq!(world.failures(), refused);
}

#[test]
fn a_leaving_server_refuses_waiting_requests_at_once() {
    let mut world = decoding(3);
    world.send(0, Frame::Reserve(Request(9), ATTEMPT, reserve("dairy-coop", 200, 60_000)));

    world.configure(true);

    assert_eq!(world.failures(), [(Request(9), Cause::Leaving, Ran::NotRun)]);
    assert_eq!(world.engine.len(), 3);
}

#[test]
fn a_server_that_misses_the_leaving_flag_accepts_new_work() {
    for variant in [Variant::Complete, Variant::NoLeaving] {
        let mut world = World::with_variant(Role::Decode, variant);
        world.configure(true);

        world.send(0, Frame::Reserve(Request(1), ATTEMPT, reserve("dairy-coop", 200, 1_000)));

        let expected = usize::from(variant == Variant::NoLeaving);
        assert_eq!(world.reserved().len(), expected, "{variant:?}");
    }
}

#[test]
fn a_terminating_process_waits_for_running_answers() {
    let mut world = decoding(1);
    world.event(Event::Terminate);
    world.advance_settled(1_000);
    let could_exit = world.server.can_exit();

    world.advance_stream(0, false);
    world.advance_stream(0, true);
    world.send(0, Frame::Done(Request(1), ATTEMPT));

    assert!(!could_exit);
    assert!(world.server.can_exit());
    assert!(world.failures().is_empty());
}

#[test]
fn an_older_configuration_never_comes_back() {
    let mut world = World::new(Role::Decode);
    world.configure(true);
    let leaving = world.server.version();
    world.config.leaving = false;

    let server = Some(world.config.clone());
    world.event(Event::Configured { version: leaving - 1, server });

    assert_eq!(world.server.version(), leaving);
    assert!(world.server.is_leaving());
}

#[test]
fn a_server_that_is_no_longer_listed_leaves() {
    let mut world = World::new(Role::Decode);

    let version = world.version + 1;
    world.event(Event::Configured { version, server: None });

    assert!(world.server.is_leaving());
}

#[test]
fn a_repeated_order_runs_once_and_is_answered_again() {
    let mut world = World::new(Role::Prefill);
    let frame = Frame::Prefill(Request(1), ATTEMPT, prefill("dairy-coop", 100, 1_000));
    world.send(0, frame.clone());
    world.send(0, frame.clone());
    world.settle();
    world.send(0, frame);
    world.settle();

    let answers = world.sent.iter().filter(|(_, frame)| matches!(frame, Frame::Prefilled(..)));
    assert_eq!(answers.count(), 2);
    assert_eq!(world.start_counts.values().copied().collect::<Vec<_>>(), [1]);
}

#[test]
fn a_repeat_with_a_new_attempt_number_runs_again() {
    for variant in [Variant::Complete, Variant::NewAttempts] {
        let mut world = World::with_variant(Role::Prefill, variant);
        for repeat in 0..2 {
            let (request, attempt) = world.id(1, repeat);
            let payload = prefill("dairy-coop", 100, 1_000);
            world.send(0, Frame::Prefill(request, attempt, payload));
        }
        world.settle();

        let expected = if variant == Variant::Complete { 1 } else { 2 };
        assert_eq!(world.start_counts.len(), expected, "{variant:?}");
    }
}

#[test]
fn a_late_order_after_its_cancel_is_dropped() {
    let mut world = World::new(Role::Decode);
    world.send(0, Frame::Cancel(Request(1), ATTEMPT));

    world.send(0, Frame::Reserve(Request(1), ATTEMPT, reserve("dairy-coop", 200, 1_000)));

    assert!(world.reserved().is_empty());
    assert!(world.server.is_idle());
}

#[test]
fn unclaimed_requests_are_freed_after_a_restart() {
    let mut world = World::new(Role::Decode);
    for name in ["00000000000000000000000000000001.1", "00000000000000000000000000000002.1"] {
        world.engine.insert(name.into(), 200);
    }
    world.advance_settled(100);

    world.send(0, Frame::Resume(Request(1), ATTEMPT, 3));
    world.advance_settled(millis(CLAIM_TIMEOUT) / 2);
    let claimable = world.engine.len();
    world.advance_settled(millis(CLAIM_TIMEOUT));

    assert_eq!(claimable, 2);
    let remaining: Vec<_> = world.engine.keys().map(AsRef::as_ref).collect();
    assert_eq!(remaining, ["00000000000000000000000000000001.1"]);
}

#[test]
fn an_order_that_the_previous_process_may_have_carried_out_is_not_reported_as_not_run() {
    let mut world = World::new(Role::Decode);
    world.engine.insert("00000000000000000000000000000001.1".into(), 200);

    world.send(0, Frame::Decode(Request(1), ATTEMPT, decode(100)));
    world.advance_settled(100);
    world.send(0, Frame::Decode(Request(1), ATTEMPT, decode(100)));
    world.send(0, Frame::Decode(Request(2), ATTEMPT, decode(100)));

    let lapsed = |request, ran| (Request(request), Cause::ReservationLapsed, ran);
    let expected = [lapsed(1, Ran::Unknown), lapsed(1, Ran::Unknown), lapsed(2, Ran::NotRun)];
    assert_eq!(world.failures(), expected);
}

#[test]
fn an_answer_can_be_claimed_before_the_engine_is_queried() {
    let mut world = World::new(Role::Decode);
    world.engine.insert("00000000000000000000000000000001.1".into(), 200);

    world.send(0, Frame::Resume(Request(1), ATTEMPT, 3));
    world.advance_settled(100);
    world.advance_stream(0, false);

    assert_eq!(sent_tokens(&world), [(3, 1)]);
}

#[test]
fn requests_missing_from_the_table_are_freed_later_too() {
    let mut world = World::new(Role::Decode);
    world.advance_settled(3_000);

    world.engine.insert("00000000000000000000000000000005.1".into(), 200);
    world.advance_settled(1_500);

    assert!(world.engine.is_empty());
}

#[test]
fn a_slot_is_promised_that_a_running_answer_frees_in_time() {
    let mut world = decoding(3);
    let in_time = Reserve { needed_in_ms: 3_100, ..reserve("dairy-coop", 200, 10_000) };
    let too_soon = Reserve { needed_in_ms: 10, ..reserve("dairy-coop", 200, 10_000) };

    world.send(0, Frame::Reserve(Request(8), ATTEMPT, in_time));
    world.send(0, Frame::Reserve(Request(9), ATTEMPT, too_soon));
    let promised = world.reserved();
    world.send(0, Frame::Decode(Request(8), ATTEMPT, decode(100)));
    let import_waits = world.in_flight.is_empty();
    world.advance_stream(0, true);

    assert_eq!(promised[3..], [Request(8)]);
    assert!(import_waits, "no import before the slot is free");
    assert!(matches!(world.in_flight[0].order.task, Task::Import { .. }));
}

#[test]
fn no_order_is_sent_after_a_pause_until_authority_is_checked() {
    let mut world = decoding(1);
    let late = PAUSE_THRESHOLD + Duration::from_millis(1);
    world.now = world.now + late;

    let pinged = Event::Frame(world.hosts[0].connection.unwrap(), Frame::Ping(1));
    let paused = world.server.handle(world.now, pinged);
    let cancel =
        Event::Frame(world.hosts[0].connection.unwrap(), Frame::Cancel(Request(1), ATTEMPT));
    let withheld = world.server.handle(world.now, cancel);
    let sent = world.server.handle(world.now, Event::Authority(Authority::Held(1)));

    let is_order = |effect: &chestnutrack_core::server::Effect| {
        matches!(effect, chestnutrack_core::server::Effect::Order(_))
    };
    assert!(paused.contains(&chestnutrack_core::server::Effect::RecheckAuthority(1)), "{paused:?}");
    assert!(!withheld.iter().any(is_order), "{withheld:?}");
    assert!(sent.iter().any(is_order), "{sent:?}");
}

#[test]
fn a_replaced_process_sends_no_order_and_refuses() {
    let mut world = decoding(1);
    world.send(0, Frame::Reserve(Request(8), ATTEMPT, reserve("dairy-coop", 200, 1_000)));

    world.event(Event::Authority(Authority::Lost));
    world.send(0, Frame::Reserve(Request(9), ATTEMPT, reserve("dairy-coop", 200, 1_000)));
    world.advance_settled(1_000);

    assert!(world.in_flight.is_empty());
    assert!(world.server.is_idle());
    let mut failures = world.failures();
    failures.sort_by_key(|(request, ..)| *request);
    assert_eq!(
        failures,
        [
            (Request(1), Cause::Fenced, Ran::Ran),
            (Request(8), Cause::Fenced, Ran::NotRun),
            (Request(9), Cause::Fenced, Ran::NotRun),
        ]
    );
}

#[test]
fn a_prefill_that_cannot_end_in_time_is_refused_at_once() {
    let mut world = World::new(Role::Prefill);
    world.send(0, Frame::Prefill(Request(1), ATTEMPT, prefill("dairy-coop", 1_000, 5_000)));

    world.send(0, Frame::Prefill(Request(2), ATTEMPT, prefill("dairy-coop", 500, 20)));

    assert_eq!(world.failures(), [(Request(2), Cause::Deadline, Ran::NotRun)]);
}

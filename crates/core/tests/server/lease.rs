//! Leases, claims, promises and authority, one exchange at a time.

use super::ask::{decode, prefill, reserve};
use super::model::{Variant, World};
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

/// A world in which requests 1 to `count` decode for the first entry host.
fn decoding(count: u128) -> World {
    let mut world = World::new(Role::Decode);
    for request in 1..=count {
        let ask = reserve("dairy-coop", 200, 1_000);
        world.frame(0, Frame::Reserve(Request(request), ATTEMPT, ask));
        world.frame(0, Frame::Decode(Request(request), ATTEMPT, decode(100)));
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
fn an_answer_goes_on_at_its_offset_on_a_new_connection() {
    let mut world = decoding(1);
    world.step(0, false);
    world.disconnect(0);
    world.step(0, false);
    world.run(millis(RESUME_GRACE) / 2);

    world.connect(0);
    world.frame(0, Frame::Resume(Request(1), ATTEMPT, 1));
    world.step(0, false);

    assert_eq!(sent_tokens(&world), [(0, 1), (1, 1), (2, 1)]);
}

#[test]
fn an_answer_is_not_followed_up_by_another_host() {
    let mut world = decoding(1);
    world.disconnect(0);

    world.frame(1, Frame::Resume(Request(1), ATTEMPT, 0));

    assert_eq!(
        world.server.counts().find(|(c, _)| *c == Counter::Foreign),
        Some((Counter::Foreign, 1))
    );
    assert_eq!(sent_tokens(&world), []);
}

#[test]
fn a_silent_host_is_given_up_after_silence_and_grace() {
    let mut world = decoding(1);
    world.hosts[0].pings = false;

    world.run(millis(HEARTBEAT_TIMEOUT + RESUME_GRACE) - 100);
    let before = world.engine.len();
    world.run(200);

    assert_eq!((before, world.engine.len()), (1, 0));
}

#[test]
fn a_connection_without_work_is_ended_after_a_longer_silence() {
    let mut world = World::new(Role::Decode);
    world.connect(0);
    world.hosts[0].pings = false;

    world.run(millis(HEARTBEAT_TIMEOUT + RESUME_GRACE));
    let kept = world.hosts[0].connection.is_some();
    world.run(millis(Settings::default().idle_heartbeat_timeout));

    assert!(kept);
    assert_eq!(world.hosts[0].connection, None);
}

#[test]
fn a_new_incarnation_frees_what_the_old_one_had_at_once() {
    let mut world = decoding(2);
    world.hosts[0].incarnation += 1;

    world.connect(0);
    world.settle();

    assert!(world.engine.is_empty(), "{:?}", world.engine);
    assert!(world.server.is_idle());
}

#[test]
fn an_old_incarnation_that_wakes_up_takes_nothing_from_the_new_one() {
    let mut world = World::new(Role::Decode);
    world.connect(0);
    world.hosts[0].incarnation += 1;
    world.connect(0);
    world.frame(0, Frame::Reserve(Request(1), ATTEMPT, reserve("dairy-coop", 200, 1_000)));
    world.frame(0, Frame::Decode(Request(1), ATTEMPT, decode(100)));
    world.settle();
    let live = world.hosts[0].connection;

    world.hosts[0].incarnation -= 1;
    world.connect(0);
    world.hosts[0].connection = live;
    world.run(1_000);

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
    world.frame(0, Frame::Reserve(Request(1), ATTEMPT, reserve("dairy-coop", 200, 1_000)));

    assert_eq!(world.reserved(), [Request(1)]);
}

#[test]
fn a_reservation_given_before_leaving_may_be_used_for_a_while() {
    let mut world = World::new(Role::Decode);
    for request in 1..=2 {
        let ask = reserve("dairy-coop", 200, 1_000);
        world.frame(0, Frame::Reserve(Request(request), ATTEMPT, ask));
    }
    world.configure(true);

    world.frame(0, Frame::Decode(Request(1), ATTEMPT, decode(100)));
    world.run(millis(LEAVING_GRACE) + 100);
    world.frame(0, Frame::Decode(Request(2), ATTEMPT, decode(100)));
    world.frame(0, Frame::Reserve(Request(3), ATTEMPT, reserve("dairy-coop", 200, 1_000)));

    assert_eq!(world.engine.len(), 1);
    let refused = [Request(2), Request(2), Request(3)].map(|id| (id, Cause::Leaving, Ran::NotRun));
    assert_eq!(world.failures(), refused);
}

#[test]
fn a_leaving_server_refuses_those_that_wait_at_once() {
    let mut world = decoding(3);
    world.frame(0, Frame::Reserve(Request(9), ATTEMPT, reserve("dairy-coop", 200, 60_000)));

    world.configure(true);

    assert_eq!(world.failures(), [(Request(9), Cause::Leaving, Ran::NotRun)]);
    assert_eq!(world.engine.len(), 3);
}

#[test]
fn without_the_news_a_leaving_server_takes_new_work() {
    for variant in [Variant::Whole, Variant::NoLeaving] {
        let mut world = World::with(Role::Decode, variant);
        world.configure(true);

        world.frame(0, Frame::Reserve(Request(1), ATTEMPT, reserve("dairy-coop", 200, 1_000)));

        let expected = usize::from(variant == Variant::NoLeaving);
        assert_eq!(world.reserved().len(), expected, "{variant:?}");
    }
}

#[test]
fn a_process_that_is_asked_to_end_waits_for_its_answers() {
    let mut world = decoding(1);
    world.event(Event::Terminate);
    world.run(1_000);
    let running = world.server.can_exit();

    world.step(0, false);
    world.step(0, true);
    world.frame(0, Frame::Done(Request(1), ATTEMPT));

    assert!(!running);
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
    let ask = Frame::Prefill(Request(1), ATTEMPT, prefill("dairy-coop", 100, 1_000));
    world.frame(0, ask.clone());
    world.frame(0, ask.clone());
    world.settle();
    world.frame(0, ask);
    world.settle();

    let answers = world.sent.iter().filter(|(_, frame)| matches!(frame, Frame::Prefilled(..)));
    assert_eq!(answers.count(), 2);
    assert_eq!(world.begun.values().copied().collect::<Vec<_>>(), [1]);
}

#[test]
fn without_attempts_told_apart_a_repeat_runs_again() {
    for variant in [Variant::Whole, Variant::NewAttempts] {
        let mut world = World::with(Role::Prefill, variant);
        for repeat in 0..2 {
            let (request, attempt) = world.id(1, repeat);
            let ask = prefill("dairy-coop", 100, 1_000);
            world.frame(0, Frame::Prefill(request, attempt, ask));
        }
        world.settle();

        let expected = if variant == Variant::Whole { 1 } else { 2 };
        assert_eq!(world.begun.len(), expected, "{variant:?}");
    }
}

#[test]
fn a_late_order_after_its_cancel_is_dropped() {
    let mut world = World::new(Role::Decode);
    world.frame(0, Frame::Cancel(Request(1), ATTEMPT));

    world.frame(0, Frame::Reserve(Request(1), ATTEMPT, reserve("dairy-coop", 200, 1_000)));

    assert!(world.reserved().is_empty());
    assert!(world.server.is_idle());
}

#[test]
fn what_nobody_claims_after_a_restart_is_freed() {
    let mut world = World::new(Role::Decode);
    for name in ["00000000000000000000000000000001.1", "00000000000000000000000000000002.1"] {
        world.engine.insert(name.into(), 200);
    }
    world.run(100);

    world.frame(0, Frame::Resume(Request(1), ATTEMPT, 3));
    world.run(millis(CLAIM_TIMEOUT) / 2);
    let claimable = world.engine.len();
    world.run(millis(CLAIM_TIMEOUT));

    assert_eq!(claimable, 2);
    let left: Vec<_> = world.engine.keys().map(AsRef::as_ref).collect();
    assert_eq!(left, ["00000000000000000000000000000001.1"]);
}

#[test]
fn an_order_that_the_process_before_may_have_carried_out_may_have_run() {
    let mut world = World::new(Role::Decode);
    world.engine.insert("00000000000000000000000000000001.1".into(), 200);

    world.frame(0, Frame::Decode(Request(1), ATTEMPT, decode(100)));
    world.run(100);
    world.frame(0, Frame::Decode(Request(1), ATTEMPT, decode(100)));
    world.frame(0, Frame::Decode(Request(2), ATTEMPT, decode(100)));

    let lapsed = |request, ran| (Request(request), Cause::ReservationLapsed, ran);
    let expected = [lapsed(1, Ran::Unknown), lapsed(1, Ran::Unknown), lapsed(2, Ran::NotRun)];
    assert_eq!(world.failures(), expected);
}

#[test]
fn an_answer_is_claimed_before_the_engine_was_asked() {
    let mut world = World::new(Role::Decode);
    world.engine.insert("00000000000000000000000000000001.1".into(), 200);

    world.frame(0, Frame::Resume(Request(1), ATTEMPT, 3));
    world.run(100);
    world.step(0, false);

    assert_eq!(sent_tokens(&world), [(3, 1)]);
}

#[test]
fn what_the_table_does_not_know_of_is_freed_later_too() {
    let mut world = World::new(Role::Decode);
    world.run(3_000);

    world.engine.insert("00000000000000000000000000000005.1".into(), 200);
    world.run(1_500);

    assert!(world.engine.is_empty());
}

#[test]
fn a_slot_is_promised_that_a_running_answer_will_have_left() {
    let mut world = decoding(3);
    let soon = Reserve { needed_in_ms: 3_100, ..reserve("dairy-coop", 200, 10_000) };
    let sooner = Reserve { needed_in_ms: 10, ..reserve("dairy-coop", 200, 10_000) };

    world.frame(0, Frame::Reserve(Request(8), ATTEMPT, soon));
    world.frame(0, Frame::Reserve(Request(9), ATTEMPT, sooner));
    let promised = world.reserved();
    world.frame(0, Frame::Decode(Request(8), ATTEMPT, decode(100)));
    let waits = world.open.is_empty();
    world.step(0, true);

    assert_eq!(promised[3..], [Request(8)]);
    assert!(waits, "no import before the slot is free");
    assert!(matches!(world.open[0].order.task, Task::Import { .. }));
}

#[test]
fn no_order_is_given_after_a_pause_until_the_authority_was_read() {
    let mut world = decoding(1);
    let late = PAUSE_THRESHOLD + Duration::from_millis(1);
    world.now = world.now + late;

    let pinged = Event::Frame(world.hosts[0].connection.unwrap(), Frame::Ping(1));
    let paused = world.server.handle(world.now, pinged);
    let cancel =
        Event::Frame(world.hosts[0].connection.unwrap(), Frame::Cancel(Request(1), ATTEMPT));
    let held_back = world.server.handle(world.now, cancel);
    let given = world.server.handle(world.now, Event::Authority(Authority::Held(1)));

    let is_order = |effect: &chestnutrack_core::server::Effect| {
        matches!(effect, chestnutrack_core::server::Effect::Order(_))
    };
    assert!(paused.contains(&chestnutrack_core::server::Effect::RecheckAuthority(1)), "{paused:?}");
    assert!(!held_back.iter().any(is_order), "{held_back:?}");
    assert!(given.iter().any(is_order), "{given:?}");
}

#[test]
fn a_process_that_was_replaced_gives_no_order_and_refuses() {
    let mut world = decoding(1);
    world.frame(0, Frame::Reserve(Request(8), ATTEMPT, reserve("dairy-coop", 200, 1_000)));

    world.event(Event::Authority(Authority::Lost));
    world.frame(0, Frame::Reserve(Request(9), ATTEMPT, reserve("dairy-coop", 200, 1_000)));
    world.run(1_000);

    assert!(world.open.is_empty());
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
    world.frame(0, Frame::Prefill(Request(1), ATTEMPT, prefill("dairy-coop", 1_000, 5_000)));

    world.frame(0, Frame::Prefill(Request(2), ATTEMPT, prefill("dairy-coop", 500, 20)));

    assert_eq!(world.failures(), [(Request(2), Cause::Deadline, Ran::NotRun)]);
}

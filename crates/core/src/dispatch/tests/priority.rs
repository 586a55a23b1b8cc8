//! Tests of priorities in admission, queueing and shedding.

use super::choice::{NOW, dispatch, place, request};
use super::load::run;
use super::simulation::{Scenario, entry, service};
use crate::dispatch::{Dispatch, Effect, Entry, RefusalReason, Request, Settings};
use crate::queue;
use crate::time::Instant;
use chestnutrack_wire::frame::News;
use std::time::Duration;

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn with_priority(priority: u8) -> Request {
    Request { priority, ..request() }
}

/// Returns a request that may wait for four seconds.
fn patient(priority: u8, arrived: Instant) -> Request {
    let first_token_by = Some(NOW + millis(4_000));
    Request { priority, arrived, first_token_by, ..request() }
}

/// Returns the state of a host whose only decode engine is full, with three generations that end
/// within about a second of each other.
fn full_dispatch(settings: Settings) -> (Dispatch<u32>, Vec<crate::dispatch::Placement>) {
    let mut dispatch: Dispatch<u32> = Dispatch::new(settings, "a".into());
    dispatch.configure_engines(&service(), 1_000_000, 59);
    dispatch.configure_priorities(&service(), &[0, 2]);
    dispatch.put(NOW, Entry { slots: 3, ..entry(0, true) });
    dispatch.put(NOW, entry(1, false));
    let placements = (0..3).map_while(|_| place(&mut dispatch, with_priority(0))).collect();
    (dispatch, placements)
}

fn admitted(effects: Vec<Effect<u32>>) -> Vec<u32> {
    let admitted = effects.into_iter().filter_map(|effect| match effect {
        Effect::Admit(item, _) => Some(item),
        Effect::Refuse(..) => None,
    });
    admitted.collect()
}

/// Returns the ranks of the waiting requests as they are reported to peers.
fn reported_ranks(dispatch: &Dispatch<u32>) -> Vec<u8> {
    let (_, ranks) = dispatch.waiting_reports(NOW);
    ranks.into_iter().map(|(_, rank)| rank).collect()
}

#[test]
fn a_waiting_request_is_admitted_before_an_older_less_urgent_one() {
    let (mut dispatch, placements) = full_dispatch(Settings::default());
    dispatch.submit(NOW, patient(2, NOW), 1).unwrap();
    let later = NOW + millis(5);
    dispatch.submit(later, patient(0, later), 2).unwrap();
    assert_eq!(reported_ranks(&dispatch), [0, 1]);

    dispatch.finish_generation(placements[0].generation, false);
    let first = admitted(dispatch.tick(later));
    dispatch.finish_generation(placements[1].generation, false);
    let at_once = admitted(dispatch.tick(later));
    let second = admitted(dispatch.tick(later + millis(2_000)));

    // Room is left for two seconds for others like the one that found none.
    assert_eq!((first, at_once, second), (vec![2], vec![], vec![1]));
}

#[test]
fn a_request_passes_less_urgent_ones_that_wait_at_this_host_and_at_peers() {
    let (mut dispatch, placements) = full_dispatch(Settings::default());
    dispatch.submit(NOW, patient(2, NOW), 1).unwrap();
    let waiting_order = vec![(service(), 1); 2];
    let news = News { waiting: vec![500; 2], waiting_order, ..News::default() };
    dispatch.update_peer(NOW, &"peer".into(), &news);
    dispatch.finish_generation(placements[0].generation, false);

    // The older ones at the peer leave no room for the one that waits here.
    assert!(admitted(dispatch.tick(NOW)).is_empty());

    assert!(place(&mut dispatch, with_priority(0)).is_some());
}

#[test]
fn a_younger_more_urgent_request_at_a_peer_goes_first() {
    let (mut dispatch, placements) = full_dispatch(Settings::default());
    dispatch.submit(NOW - millis(500), patient(2, NOW - millis(500)), 1).unwrap();
    let news = |service: &str| {
        let waiting_order = vec![(service.into(), 0)];
        News { waiting: vec![0], waiting_order, ..News::default() }
    };
    dispatch.finish_generation(placements[0].generation, false);

    dispatch.update_peer(NOW, &"peer".into(), &news("model"));
    let behind_peer = admitted(dispatch.tick(NOW));
    dispatch.update_peer(NOW, &"peer".into(), &news("another"));
    let behind_another_service = admitted(dispatch.tick(NOW));

    assert_eq!((behind_peer, behind_another_service), (vec![], vec![1]));
}

#[test]
fn a_waiting_request_that_more_urgent_ones_leave_no_time_is_refused_at_once_with_a_retry_time() {
    let (mut dispatch, _) = full_dispatch(Settings::default());
    // The three generations end in about 850 ms. A fourth request would be placed after more than a second.
    let patience = |priority, wait| Request {
        first_token_by: Some(NOW + millis(wait)),
        ..with_priority(priority)
    };
    let wait = dispatch.expected_wait(NOW, "model", 0).unwrap();
    let after_next = dispatch.expected_wait(NOW, "model", 3).unwrap();
    assert!(wait < after_next);
    let limit = u64::try_from(wait.as_millis()).unwrap() + 300;
    dispatch.submit(NOW, patience(2, limit), 1).unwrap();
    for item in 2..5 {
        let later = NOW + millis(1);
        let urgent = Request { arrived: later, ..patience(0, 30_000) };
        dispatch.submit(later, urgent, item).unwrap();
    }

    let effects = dispatch.tick(NOW + millis(1));

    let [Effect::Refuse(1, refusal)] = &effects[..] else { panic!("{effects:?}") };
    assert_eq!(refusal.reason, RefusalReason::Displaced);
    assert!(refusal.retry_after >= millis(300), "{refusal:?}");
    assert!(dispatch.tick(NOW + millis(1)).is_empty());
}

#[test]
fn when_the_queue_is_full_the_least_urgent_request_makes_room_for_a_more_urgent_one() {
    let queue = queue::Settings { max_total: 2, ..queue::Settings::default() };
    let (mut dispatch, _) = full_dispatch(Settings { queue, ..Settings::default() });
    dispatch.submit(NOW, patient(0, NOW), 1).unwrap();
    dispatch.submit(NOW, patient(2, NOW), 2).unwrap();

    let third = dispatch.submit(NOW, patient(0, NOW), 3);
    let effects = dispatch.tick(NOW);
    let fourth = dispatch.submit(NOW, patient(0, NOW), 4);

    assert!(third.is_ok());
    let [Effect::Refuse(2, refusal)] = &effects[..] else { panic!("{effects:?}") };
    assert_eq!(refusal.reason, RefusalReason::Displaced);
    let Err(Effect::Refuse(4, refusal)) = fourth else { panic!("{fourth:?}") };
    assert_eq!(refusal.reason, RefusalReason::QueueFull);
}

#[test]
fn a_peer_of_an_earlier_version_that_states_no_ranks_is_ordered_by_age() {
    let (mut dispatch, placements) = full_dispatch(Settings::default());
    dispatch.submit(NOW, patient(2, NOW), 1).unwrap();
    dispatch.finish_generation(placements[0].generation, false);

    let older = News { waiting: vec![10], ..News::default() };
    dispatch.update_peer(NOW, &"peer".into(), &older);
    let behind_older = admitted(dispatch.tick(NOW));
    let younger = News { waiting: vec![0], ..News::default() };
    dispatch.update_peer(NOW, &"peer".into(), &younger);
    let behind_younger = admitted(dispatch.tick(NOW));

    assert_eq!((behind_older, behind_younger), (vec![], vec![1]));
}

#[test]
fn a_report_with_more_ranks_than_requests_or_fewer_is_read() {
    let (mut dispatch, placements) = full_dispatch(Settings::default());
    dispatch.submit(NOW, patient(2, NOW), 1).unwrap();
    dispatch.finish_generation(placements[0].generation, false);
    let more = News { waiting_order: vec![(service(), 0); 9], ..News::default() };
    let fewer =
        News { waiting: vec![10; 2], waiting_order: vec![(service(), 255)], ..more.clone() };

    dispatch.update_peer(NOW, &"peer".into(), &fewer);
    let behind_fewer = admitted(dispatch.tick(NOW));
    dispatch.update_peer(NOW, &"peer".into(), &more);
    let behind_more = admitted(dispatch.tick(NOW));

    assert_eq!((behind_fewer, behind_more), (vec![], vec![1]));
}

#[test]
fn engines_get_three_priorities_around_their_default_and_urgent_requests_the_first() {
    let of = |priorities: &[u8], request: Request| {
        let mut dispatch = dispatch(1, 1);
        dispatch.configure_priorities(&service(), priorities);
        place(&mut dispatch, request).unwrap().engine_priority
    };
    let urgent = Request { urgent: true, ..with_priority(2) };

    assert_eq!(of(&[3, 3], with_priority(3)), None);
    assert_eq!([0, 2].map(|priority| of(&[0, 2], with_priority(priority))), [Some(4), Some(5)]);
    let six = [0, 1, 2, 3, 4, 255];
    let mapped = six.map(|priority| of(&six, with_priority(priority)).unwrap());
    assert_eq!(mapped, [4, 4, 5, 5, 6, 6]);
    assert_eq!(of(&[0, 2], urgent), Some(4));
    // A configuration that changes between its reading and the placement.
    assert_eq!(of(&[0, 2], with_priority(7)), Some(5));
}

#[test]
fn one_priority_changes_nothing_whatever_it_is() {
    let burst = Scenario { burst: (5.0, 10.0, 2.0), duration_s: 15.0, ..Scenario::default() };

    assert_eq!(run(Scenario { priorities: &[7], ..burst }), run(burst));
}

#[test]
fn in_a_burst_beyond_capacity_less_urgent_requests_are_refused_first_and_not_starved() {
    // Guards against shedding without regard to priority: two thirds of the arrivals can be served.
    let totals = run(Scenario {
        priorities: &[0, 2],
        burst: (5.0, 30.0, 1.7),
        duration_s: 30.0,
        ..Scenario::default()
    });

    let share = |(submitted, in_time): (u32, u32)| f64::from(in_time) / f64::from(submitted);
    let [urgent, less_urgent] = totals.by_priority.map(share);
    assert!(urgent >= less_urgent + 0.15, "{urgent} {less_urgent} {totals:?}");
    assert!(urgent >= 0.9, "{urgent} {less_urgent} {totals:?}");
    assert!(less_urgent >= 0.05, "{urgent} {less_urgent} {totals:?}");
}

#[test]
fn while_the_most_urgent_alone_exceed_capacity_a_part_of_the_others_is_served() {
    // Guards against starvation under lasting overload.
    let totals = run(Scenario {
        priorities: &[0, 2],
        arrivals_per_s: 30.0,
        duration_s: 20.0,
        ..Scenario::default()
    });

    let share = |(submitted, in_time): (u32, u32)| f64::from(in_time) / f64::from(submitted);
    let [urgent, less_urgent] = totals.by_priority.map(share);
    assert!(less_urgent > 0.01 && less_urgent < urgent, "{urgent} {less_urgent} {totals:?}");
}

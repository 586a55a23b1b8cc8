//! Evacuated failure domains: which servers get requests, who is refused, and which list is in force.

use super::choice::{self, NOW, request};
use super::simulation::{entry, service};
use crate::dispatch::{
    Dispatch, Effect, Entry, EvacuationChange, EvacuationList, EvacuationState, Placement, Request,
    ServerKey, Settings, Stage,
};
use std::sync::Arc;
use std::time::Duration;

/// Returns the entry of an engine in a failure domain.
fn engine(number: usize, stage: Stage, domain: &str) -> Entry {
    Entry { stage: Some(stage), failure_domain: domain.into(), ..entry(number, true) }
}

/// Returns a host that knows these engines, and their keys.
fn engines(engines: &[(Stage, &str)]) -> (Dispatch<u32>, Vec<ServerKey>) {
    let mut dispatch = choice::dispatch(0, 0);
    let entries = engines.iter().enumerate().map(|(n, (stage, domain))| engine(n, *stage, domain));
    let keys = entries.map(|entry| dispatch.put(NOW, entry).0).collect();
    (dispatch, keys)
}

/// Returns a host that knows the plain servers e0 in the domain `a` and e1 in the domain `b`, and their keys.
fn plain_servers() -> (Dispatch<u32>, [ServerKey; 2]) {
    let mut dispatch: Dispatch<u32> = Dispatch::new(Settings::default(), "a".into());
    let keys = [(0, "a"), (1, "b")].map(|(number, domain)| {
        let entry = Entry { stage: None, ..engine(number, Stage::Decode, domain) };
        dispatch.put(NOW, entry).0
    });
    (dispatch, keys)
}

/// Returns a list at a version of the store's epoch 0.
fn list(version: u64, domains: &[&str]) -> EvacuationList {
    list_in_epoch(0, version, domains)
}

fn list_in_epoch(epoch: u64, version: u64, domains: &[&str]) -> EvacuationList {
    let domains = domains.iter().map(|domain| Arc::from(*domain)).collect();
    EvacuationList { epoch, version: (epoch << 40) | version, domains }
}

fn change(domain: &str, state: EvacuationState) -> EvacuationChange {
    EvacuationChange { domain: domain.into(), state }
}

/// Returns the servers that get the next six requests.
fn chosen(dispatch: &mut Dispatch<u32>) -> [Option<ServerKey>; 6] {
    std::array::from_fn(|_| dispatch.place_plain(NOW, &service(), &[]).map(|choice| choice.key))
}

/// Returns the placement of a request that is admitted at once.
fn placed(dispatch: &mut Dispatch<u32>, request: Request) -> Placement {
    choice::place(dispatch, request).expect("admitted at once")
}

fn seconds(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

// Guards against requests to a plain service in an evacuated domain, by choice or by a look right before the send.
#[test]
fn plain_servers_of_an_evacuated_domain_get_nothing_until_the_evacuation_ends() {
    let (mut dispatch, [evacuated, other]) = plain_servers();

    let begun = dispatch.apply_evacuations(NOW, list(7, &["a"]), &[]);
    let during = chosen(&mut dispatch);
    let accepted = [evacuated, other].map(|key| dispatch.accepts(NOW, key));
    let calls = [evacuated, other].map(|key| dispatch.admit_call(NOW, key));
    let ended = dispatch.apply_evacuations(NOW, list(8, &[]), &["a".into()]);
    let after = chosen(&mut dispatch);

    assert_eq!(begun, [change("a", EvacuationState::Begun)]);
    assert_eq!(during, [Some(other); 6]);
    assert_eq!((accepted, calls), ([false, true], [false, true]));
    assert_eq!(ended, [change("a", EvacuationState::Ended)]);
    assert!(after.contains(&Some(evacuated)), "{after:?}");
}

// Guards against generations, prefills and prefills elsewhere in an evacuated domain.
#[test]
fn engines_of_an_evacuated_domain_neither_decode_nor_prefill() {
    let (mut dispatch, keys) = engines(&[
        (Stage::Decode, "a"),
        (Stage::Decode, "b"),
        (Stage::Prefill, "a"),
        (Stage::Prefill, "b"),
    ]);

    dispatch.apply_evacuations(NOW, list(7, &["a"]), &[]);
    let placements = [0, 1, 2].map(|_| placed(&mut dispatch, request()));
    let elsewhere = dispatch.prefill_elsewhere(NOW, placements[0].generation, None, &[keys[3]]);

    for placement in placements {
        assert_eq!((placement.decode, placement.prefill), (keys[1], Some(keys[3])));
    }
    assert_eq!(elsewhere, None);
}

// Guards against a prompt that finds no prefill engine: the decode engine prefills it.
#[test]
fn without_prefill_engines_outside_the_domain_the_decode_engine_prefills() {
    let (mut dispatch, keys) = engines(&[(Stage::Decode, "b"), (Stage::Prefill, "a")]);

    dispatch.apply_evacuations(NOW, list(7, &["a"]), &[]);
    let placement = placed(&mut dispatch, request());

    assert_eq!((placement.decode, placement.prefill), (keys[0], None));
}

// Guards against a stream that is resumed at, or waits for, engines of a build that are all evacuated.
#[test]
fn a_build_all_of_whose_engines_are_evacuated_is_gone() {
    let mut dispatch = choice::dispatch(0, 0);
    dispatch.put(NOW, Entry { build: "old".into(), ..engine(0, Stage::Decode, "a") });
    dispatch.put(NOW, Entry { build: "new".into(), ..engine(1, Stage::Decode, "b") });

    dispatch.apply_evacuations(NOW, list(7, &["a"]), &[]);
    let builds = ["old", "new"].map(|build| dispatch.has_build(&service(), build));
    let resumed = Request { build: Some("old".into()), ..request() };
    let result = dispatch.submit(NOW, resumed, 7);

    assert_eq!(builds, [false, true]);
    assert!(matches!(result, Err(Effect::Refuse(7, _))), "{result:?}");
}

// Load pattern: all domains are evacuated while generations run there, whose ends make no room.
#[test]
fn with_all_domains_evacuated_requests_are_refused_at_once_with_the_longest_retry_time() {
    let (mut dispatch, _) = engines(&[(Stage::Decode, "a"), (Stage::Decode, "b")]);
    placed(&mut dispatch, request());
    let (mut plain, _) = plain_servers();

    dispatch.apply_evacuations(NOW, list(7, &["a", "b"]), &[]);
    plain.apply_evacuations(NOW, list(7, &["a", "b"]), &[]);
    let result = dispatch.submit(NOW, request(), 7);

    assert!(
        matches!(result, Err(Effect::Refuse(7, refusal)) if refusal.retry_after == seconds(8)),
        "{result:?}"
    );
    assert_eq!(chosen(&mut plain), [None; 6]);
    assert_eq!(plain.evacuated_retry_after(&service(), None), Some(seconds(8)));
}

// Load pattern: a full fleet, in which a request waits, loses its domain. It must not wait until it is near its deadline.
#[test]
fn a_waiting_request_is_refused_as_soon_as_no_engine_is_left() {
    let (mut dispatch, _) = engines(&[(Stage::Decode, "a")]);
    let patient = Request {
        first_token_by: Some(NOW + seconds(60)),
        deadline: NOW + seconds(90),
        ..request()
    };
    while choice::place(&mut dispatch, patient.clone()).is_some() {}
    let before = dispatch.tick(NOW);

    dispatch.apply_evacuations(NOW, list(7, &["a"]), &[]);
    let after = dispatch.tick(NOW);

    assert!(before.is_empty() && !dispatch.has_waiting(), "{before:?}");
    assert!(matches!(after[..], [Effect::Refuse(..)]), "{after:?}");
}

// Guards against a retry time that counts on the completions of generations in an evacuated domain.
#[test]
fn generations_in_an_evacuated_domain_make_no_room_elsewhere() {
    let (mut dispatch, keys) = engines(&[(Stage::Decode, "a"), (Stage::Decode, "b")]);
    let placements: Vec<Placement> =
        std::iter::from_fn(|| choice::place(&mut dispatch, request())).collect();
    let there = placements.iter().filter(|placement| placement.decode == keys[0]).count();

    dispatch.apply_evacuations(NOW, list(7, &["a"]), &[]);
    for placement in placements.iter().filter(|placement| placement.decode == keys[1]) {
        dispatch.finish_generation(placement.generation, true);
    }

    assert!(there > 0);
    assert_eq!(dispatch.time_until_completions(NOW, &request(), 1), None);
    assert_eq!(dispatch.evacuated_in_flight(), there as u64);
}

// Guards against requests in flight that are cut off: they keep their places, and the operator sees when they have ended.
#[test]
fn requests_in_flight_keep_their_places_and_are_counted_until_they_end() {
    let (mut dispatch, [evacuated, _]) = plain_servers();
    let running = (0..).find_map(|_| {
        let choice = dispatch.place_plain(NOW, &service(), &[])?;
        (choice.key == evacuated).then_some(choice)
    });

    dispatch.apply_evacuations(NOW, list(7, &["a"]), &[]);
    let during = dispatch.evacuated_in_flight();
    dispatch.finish_plain(NOW, evacuated, crate::dispatch::PlainOutcome::Abandoned);

    assert!(running.is_some());
    assert_eq!((during, dispatch.evacuated_in_flight()), (1, 0));
}

// Guards against orders to engines of an evacuated domain.
#[test]
fn engines_of_an_evacuated_domain_do_not_count_for_the_split() {
    let (mut dispatch, keys) = engines(&[(Stage::Decode, "a"), (Stage::Decode, "b")]);

    dispatch.apply_evacuations(NOW, list(7, &["a"]), &[]);

    assert_eq!(dispatch.cell_engines(&service(), Stage::Decode), [keys[1]]);
}

#[test]
fn a_server_that_is_listed_or_moves_during_an_evacuation_is_covered() {
    let (mut dispatch, [_, moved]) = plain_servers();
    dispatch.apply_evacuations(NOW, list(7, &["a"]), &[]);

    let plain = |number, domain| Entry { stage: None, ..engine(number, Stage::Decode, domain) };
    let (new, _) = dispatch.put(NOW, plain(2, "a"));
    let (same, _) = dispatch.put(NOW, plain(1, "a"));

    assert_eq!(same, moved);
    assert_eq!([new, moved].map(|key| dispatch.accepts(NOW, key)), [false, false]);
}

// Guards against an older peer that undoes, or repeats, what a newer list says.
#[test]
fn the_list_of_the_highest_version_is_in_force_whatever_the_order() {
    let (mut dispatch, [a, b]) = plain_servers();

    dispatch.apply_evacuations(NOW, list(9, &["a", "b"]), &[]);
    let older = dispatch.apply_evacuations(NOW, list(8, &[]), &["a".into()]);
    let both = [a, b].map(|key| dispatch.accepts(NOW, key));
    let newer = dispatch.apply_evacuations(NOW, list(10, &["b"]), &[]);
    let older_again = dispatch.apply_evacuations(NOW, list(9, &["a", "b"]), &[]);

    assert_eq!((older, both), (vec![], [false, false]));
    assert_eq!(newer, [change("a", EvacuationState::Ended)]);
    assert_eq!(older_again, []);
    assert_eq!([a, b].map(|key| dispatch.accepts(NOW, key)), [true, false]);
    assert_eq!(dispatch.evacuated_domain_count(), 1);
}

// Guards against a domain that no server is in, which must neither refuse nor count requests.
#[test]
fn an_evacuated_domain_without_servers_changes_nothing_else() {
    let (mut dispatch, _) = plain_servers();

    dispatch.apply_evacuations(NOW, list(7, &["nowhere"]), &[]);

    assert!(chosen(&mut dispatch).iter().all(Option::is_some));
    assert_eq!(dispatch.evacuated_retry_after(&service(), None), None);
    assert_eq!((dispatch.evacuated_domain_count(), dispatch.evacuated_in_flight()), (1, 0));
}

// Guards against servers that are gone for other reasons and are reported as evacuated.
#[test]
fn a_service_without_other_servers_is_not_evacuated() {
    let (mut dispatch, [a, b]) = plain_servers();
    dispatch.record_leaving(a);
    dispatch.record_leaving(b);

    dispatch.apply_evacuations(NOW, list(7, &["a"]), &[]);

    assert_eq!(dispatch.evacuated_retry_after(&service(), None), None);
}

// Guards against a host that has just started and sends to an evacuated domain before it has read the list.
#[test]
fn a_host_that_starts_uses_no_server_until_a_list_is_known() {
    let (mut dispatch, [a, b]) = plain_servers();

    dispatch.wait_for_evacuations(NOW, seconds(11));
    let waiting = [a, b].map(|key| dispatch.accepts(NOW, key));
    let retry_after = dispatch.evacuated_retry_after(&service(), None);
    let changes = dispatch.apply_evacuations(NOW, list(7, &["a"]), &[]);

    assert_eq!((waiting, retry_after), ([false, false], Some(seconds(1))));
    assert_eq!(changes, [change("a", EvacuationState::Begun)]);
    assert!(!dispatch.waits_for_evacuations());
    assert_eq!([a, b].map(|key| dispatch.accepts(NOW, key)), [false, true]);
}

// Guards against an outage of the store at a start that stops service for as long as it lasts, and against an absurd bound.
#[test]
fn the_wait_of_a_host_that_starts_is_bounded() {
    for (timeout, end) in [(seconds(11), seconds(11)), (Duration::MAX, seconds(30))] {
        let (mut dispatch, [a, _]) = plain_servers();
        dispatch.wait_for_evacuations(NOW, timeout);

        dispatch.check_evacuations(NOW + end - Duration::from_millis(1));
        let before = dispatch.accepts(NOW + end, a);
        dispatch.check_evacuations(NOW + end);

        assert_eq!((before, dispatch.accepts(NOW + end, a)), (false, true));
    }
}

// Guards against a store that was restored from an older copy, in which an evacuation in force is missing.
#[test]
fn an_evacuation_that_a_restored_store_lacks_stays_in_force_for_a_time() {
    let (mut dispatch, [a, _]) = plain_servers();
    dispatch.apply_evacuations(NOW, list(900, &["a"]), &[]);

    let restored = dispatch.apply_evacuations(NOW, list_in_epoch(1, 5, &[]), &[]);
    let next = dispatch.apply_evacuations(NOW, list_in_epoch(1, 6, &[]), &[]);
    let during = dispatch.accepts(NOW, a);
    let ended = dispatch.check_evacuations(NOW + seconds(60));

    assert_eq!(restored, [change("a", EvacuationState::Retained)]);
    assert_eq!((next, during), (vec![], false));
    assert_eq!(ended, [change("a", EvacuationState::Ended)]);
    assert!(dispatch.accepts(NOW, a));
}

// Guards against an evacuation that can't be ended any more after a restore.
#[test]
fn an_evacuation_that_is_listed_again_after_a_restore_ends_with_its_object() {
    type Removal = fn(&mut Dispatch<u32>);
    let removals: [Removal; 2] = [
        |dispatch| {
            dispatch.apply_evacuations(NOW, list_in_epoch(1, 6, &["a"]), &[]);
            dispatch.apply_evacuations(NOW, list_in_epoch(1, 7, &[]), &[]);
        },
        // Written and deleted between two answers of the store.
        |dispatch| {
            dispatch.apply_evacuations(NOW, list_in_epoch(1, 7, &[]), &["a".into()]);
        },
    ];
    for remove in removals {
        let (mut dispatch, [a, _]) = plain_servers();
        dispatch.apply_evacuations(NOW, list(900, &["a"]), &[]);
        dispatch.apply_evacuations(NOW, list_in_epoch(1, 5, &[]), &[]);

        remove(&mut dispatch);

        assert!(dispatch.accepts(NOW, a));
    }
}

// Guards against a peer that has not noticed the restore and still reports the list of before.
#[test]
fn a_list_of_an_earlier_epoch_does_not_replace_one_of_a_restored_store() {
    let (mut dispatch, [a, _]) = plain_servers();
    dispatch.apply_evacuations(NOW, list_in_epoch(1, 5, &[]), &[]);

    let changes = dispatch.apply_evacuations(NOW, list(900, &["a"]), &[]);

    assert_eq!(changes, []);
    assert!(dispatch.accepts(NOW, a));
}

// Guards against servers that were cold or failing before the evacuation and are kept out after its end.
#[test]
fn an_evacuation_that_ends_while_its_servers_are_limited_leaves_the_limit_in_force() {
    let (mut dispatch, [a, b]) = plain_servers();
    dispatch.record_limit(NOW, a, NOW, Some(0.5));
    dispatch.apply_evacuations(NOW, list(7, &["a"]), &[]);

    dispatch.apply_evacuations(NOW, list(8, &[]), &[]);
    let at_once = chosen(&mut dispatch);

    assert!(dispatch.accepts(NOW, a) && dispatch.is_limited(a));
    assert!(at_once.contains(&Some(b)), "{at_once:?}");
}

// Guards against a changed behaviour of hosts whose settings don't mention evacuations.
#[test]
fn without_a_list_and_without_a_wait_all_servers_are_used() {
    let (mut dispatch, [a, b]) = plain_servers();

    let changes = dispatch.check_evacuations(NOW + seconds(90));

    assert_eq!((changes, dispatch.evacuation_list()), (vec![], None));
    assert_eq!([a, b].map(|key| dispatch.accepts(NOW, key)), [true, true]);
}

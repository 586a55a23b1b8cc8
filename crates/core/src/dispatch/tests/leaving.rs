//! Servers that say that they are leaving or ask for quiet, and a list of servers that comes from a
//! copy of the store.

use super::simulation::{entry, service};
use crate::dispatch::{Dispatch, Effect, Entry, Request, Residency, ServerKey, Settings};
use crate::origin::unlisted_build;
use crate::time::Instant;
use std::sync::Arc;
use std::time::Duration;

const NOW: Instant = Instant::from_millis(1_000_000);

/// Returns a host that knows the plain servers e0 and e1, and their keys.
fn plain_servers() -> (Dispatch<u32>, [ServerKey; 2]) {
    let mut dispatch: Dispatch<u32> = Dispatch::new(Settings::default(), "a".into());
    let keys = [0, 1].map(|server| dispatch.put(NOW, plain(server)).0);
    (dispatch, keys)
}

fn plain(server: usize) -> Entry {
    Entry { stage: None, ..entry(server, false) }
}

/// Returns the servers that get the next requests.
fn chosen(dispatch: &mut Dispatch<u32>, now: Instant) -> Vec<Option<ServerKey>> {
    let choices = (0..6).map(|_| dispatch.place_plain(now, &service(), &[]));
    choices.map(|choice| choice.map(|choice| choice.key)).collect()
}

fn seconds(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

#[test]
fn a_server_that_says_it_is_leaving_gets_nothing_more_though_the_list_says_otherwise() {
    let (mut dispatch, [leaving, other]) = plain_servers();

    let is_new = [dispatch.record_leaving(leaving), dispatch.record_leaving(leaving)];
    let at_once = chosen(&mut dispatch, NOW);
    dispatch.put(NOW, Entry { slots: 9, ..plain(0) });
    let after_stale_entry = chosen(&mut dispatch, NOW + seconds(30));

    assert_eq!(is_new, [true, false]);
    assert_eq!(at_once, [Some(other); 6]);
    assert_eq!(after_stale_entry, [Some(other); 6]);
}

#[test]
fn another_process_at_the_address_of_one_that_left_is_used() {
    let (mut dispatch, [leaving, _]) = plain_servers();
    dispatch.record_leaving(leaving);

    let (restarted, _) = dispatch.put(NOW, Entry { born: Some(2), ..plain(0) });
    let (other_name, _) = dispatch.put(NOW, Entry { name: "e9".into(), ..plain(0) });

    assert!(dispatch.accepts(NOW, restarted) && dispatch.accepts(NOW, other_name));
    assert!(!dispatch.accepts(NOW, leaving));
}

#[test]
fn peers_learn_of_a_server_that_leaves_but_only_of_the_same_process() {
    let (mut dispatch, [leaving, _]) = plain_servers();
    dispatch.record_leaving(leaving);
    let reports = dispatch.leaving_reports();
    let (mut peer, [at_peer, _]) = plain_servers();
    let (mut later_peer, _) = plain_servers();
    let (restarted, _) = later_peer.put(NOW, Entry { born: Some(2), ..plain(0) });

    let new = [peer.record_peer_leaving(&reports), peer.record_peer_leaving(&reports)];
    later_peer.record_peer_leaving(&reports);

    assert_eq!(new, [vec!["e0".into()], vec![]]);
    assert!(!peer.accepts(NOW, at_peer));
    assert!(later_peer.accepts(NOW, restarted));
}

/// Returns the entry of an engine that the list names, and that of the process that follows it, before and after the list
/// names its build.
fn restarted_engine() -> [Entry; 3] {
    let listed = entry(0, false);
    let name = listed.name.clone();
    let restarted = Entry { born: Some(2), build: unlisted_build(&name, 2), ..listed.clone() };
    let named = Entry { build: "v2".into(), ..restarted.clone() };
    [listed, restarted, named]
}

// Guards against a process that gets requests although it has said that it is leaving or wants none, or more than it takes while
// it is cold, since its entry came later.
#[test]
fn what_a_process_has_said_holds_when_its_entry_says_its_build() {
    type Record = fn(&mut Dispatch<u32>, ServerKey);
    let records: [Record; 3] = [
        |dispatch, key| _ = dispatch.record_leaving(key),
        |dispatch, key| _ = dispatch.record_backoff(NOW, key, seconds(3)),
        |dispatch, key| _ = dispatch.record_cold(NOW, key, seconds(3)),
    ];
    let states = records.map(|record| {
        let mut dispatch: Dispatch<u32> = Dispatch::new(Settings::default(), "a".into());
        let [listed, restarted, named] = restarted_engine();
        dispatch.put(NOW, listed);
        let (key, _) = dispatch.put(NOW, restarted);
        record(&mut dispatch, key);

        let (key, changed) = dispatch.put(NOW, named);

        let is_cold = dispatch.is_cold(NOW, key);
        (changed, dispatch.is_leaving(key), dispatch.accepts(NOW, key), is_cold)
    });

    let expected = [(true, false, false), (false, false, false), (false, true, true)];
    let expected = expected.map(|(leaving, accepts, cold)| (true, leaving, accepts, cold));
    assert_eq!(states, expected);
}

// Guards against a process that has ended and counts as the one that serves, since the list was read once more before the
// entry of the next process came.
#[test]
fn the_entry_of_a_process_that_another_one_has_followed_is_ignored() {
    let mut dispatch: Dispatch<u32> = Dispatch::new(Settings::default(), "a".into());
    let [listed, restarted, named] = restarted_engine();
    dispatch.put(NOW, listed.clone());
    let (key, _) = dispatch.put(NOW, restarted);
    dispatch.record_leaving(key);

    let repeated = dispatch.put(NOW + seconds(1), Entry { slots: 9, ..listed });
    let born = dispatch.entry(key).and_then(|entry| entry.born);
    let (named_key, _) = dispatch.put(NOW + seconds(2), named);

    assert_eq!((repeated, born, named_key), ((key, false), Some(2), key));
    assert!(dispatch.is_leaving(key));
}

// Guards against a process that is kept out by its entry's name, although it has said itself that it serves.
#[test]
fn a_process_that_was_asked_is_listed_though_another_one_seemed_to_follow_it() {
    let mut dispatch: Dispatch<u32> = Dispatch::new(Settings::default(), "a".into());
    let [listed, restarted, _] = restarted_engine();
    dispatch.put(NOW, listed.clone());
    dispatch.put(NOW, restarted);
    let unlisted = unlisted_build(&listed.name, 1);

    let (asked, _) =
        dispatch.put(NOW, Entry { born: listed.born, build: unlisted, ..listed.clone() });
    let (named, changed) = dispatch.put(NOW, listed.clone());

    assert_eq!((asked, changed, dispatch.entry(named)), (named, true, Some(&listed)));
}

#[test]
fn a_server_that_asks_for_quiet_gets_nothing_until_the_time_is_over() {
    let (mut dispatch, [quiet, other]) = plain_servers();

    dispatch.record_backoff(NOW, quiet, Duration::from_millis(2_500));
    // A later and shorter request does not end the time.
    dispatch.record_backoff(NOW, quiet, Duration::from_millis(100));
    let before = chosen(&mut dispatch, NOW + Duration::from_millis(2_499));
    let after = chosen(&mut dispatch, NOW + Duration::from_millis(2_500));

    assert_eq!(before, [Some(other); 6]);
    assert!(after.contains(&Some(quiet)), "{after:?}");
}

#[test]
fn when_all_servers_ask_for_quiet_the_time_of_the_first_is_known() {
    let (mut dispatch, keys) = plain_servers();

    dispatch.record_backoff(NOW, keys[0], seconds(5));
    let with_one = dispatch.backoff_left(NOW, &service(), None);
    dispatch.record_backoff(NOW, keys[1], seconds(3));

    assert_eq!(with_one, None);
    assert_eq!(chosen(&mut dispatch, NOW), [None; 6]);
    assert_eq!(dispatch.backoff_left(NOW + seconds(1), &service(), None), Some(seconds(2)));
    assert_eq!(dispatch.backoff_left(NOW + seconds(3), &service(), None), None);
}

#[test]
fn a_generation_is_refused_at_once_while_all_decode_engines_ask_for_quiet() {
    let mut dispatch: Dispatch<u32> = Dispatch::new(Settings::default(), "a".into());
    dispatch.configure_engines(&service(), 20_000, 59);
    let keys = [0, 1, 2].map(|engine| dispatch.put(NOW, entry(engine, engine < 2)).0);
    for key in &keys[..2] {
        dispatch.record_backoff(NOW, *key, seconds(4));
    }
    let request = Request {
        service: service(),
        organisation: "orchard".into(),
        priority: 0,
        prompt_tokens: 5_000,
        output_tokens: 2_000,
        length_hint: None,
        arrived: NOW,
        first_token_by: Some(NOW + seconds(9)),
        leaves_at: NOW + seconds(14),
        deadline: NOW + seconds(14),
        max_pause: None,
        urgent: false,
        prefilled: false,
        prefixes: Arc::default(),
        resumable: false,
        build: None,
        residency: Residency::default(),
    };

    let result = dispatch.submit(NOW, request, 7);

    assert!(
        matches!(result, Err(Effect::Refuse(7, refusal)) if refusal.retry_after == seconds(4)),
        "{result:?}"
    );
}

#[test]
fn an_absurd_time_of_quiet_is_bounded() {
    let (mut dispatch, [quiet, _]) = plain_servers();

    let counted = dispatch.record_backoff(NOW, quiet, Duration::MAX);

    assert_eq!(counted, seconds(60));
    assert!(dispatch.accepts(NOW + seconds(60), quiet));
}

#[test]
fn a_server_that_left_stays_out_when_a_restored_store_lists_it_again() {
    type Departure = fn(&mut Dispatch<u32>);
    let departures: [Departure; 3] = [
        |dispatch| {
            dispatch.remove(NOW, "e0");
        },
        |dispatch| {
            dispatch.put(NOW, Entry { leaving: true, ..plain(0) });
        },
        |dispatch| {
            dispatch.put(NOW, Entry { leaving: true, ..plain(0) });
            dispatch.remove(NOW, "e0");
        },
    ];
    for leave in departures {
        let (mut dispatch, [_, other]) = plain_servers();
        leave(&mut dispatch);

        dispatch.record_restore(NOW + seconds(3));
        dispatch.put(NOW + seconds(3), plain(0));
        dispatch.put(NOW + seconds(3), plain(1));

        assert_eq!(chosen(&mut dispatch, NOW + seconds(3)), [Some(other); 6]);
    }
}

#[test]
fn a_server_that_was_removed_while_it_could_not_be_heard_is_used_when_it_is_listed_again() {
    let (mut dispatch, _) = plain_servers();
    dispatch.remove(NOW, "e0");

    // No store was restored: only the server itself can have written its entry again.
    let (key, _) = dispatch.put(NOW + seconds(5), plain(0));

    assert!(dispatch.accepts(NOW + seconds(5), key));
}

#[test]
fn a_server_that_a_restored_store_had_lost_is_used_when_it_is_listed_again() {
    let (mut dispatch, _) = plain_servers();
    dispatch.record_restore(NOW);
    dispatch.remove(NOW + seconds(3), "e0");

    // The server has written its entry again.
    let (key, _) = dispatch.put(NOW + seconds(4), plain(0));

    assert!(dispatch.accepts(NOW + seconds(4), key));
}

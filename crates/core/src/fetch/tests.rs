//! A host whose peers announce newer versions.

use super::{Revision, Version, VersionFetch};
use crate::time::Instant;
use std::time::Duration;

const NONE: Duration = Duration::ZERO;

fn at(millis: u64) -> Instant {
    Instant::from_millis(100_000 + millis)
}

/// Records the answer to the pending request and the version that it holds.
fn apply_answer(fetch: &mut VersionFetch) {
    let peer_version = fetch.record_answer().expect("a request is pending");
    fetch.record_version(peer_version);
}

fn fetch() -> VersionFetch {
    VersionFetch::new(Duration::from_millis(500))
}

#[test]
fn a_peer_that_knows_an_older_list_is_not_asked_for_it() {
    let mut fetch = fetch();

    let first = fetch.try_request(at(0), 20, NONE);
    apply_answer(&mut fetch);
    let (older, same, newer) = (
        fetch.try_request(at(10), 18, NONE),
        fetch.try_request(at(20), 20, NONE),
        fetch.try_request(at(30), 21, NONE),
    );
    apply_answer(&mut fetch);
    let (soon, later) =
        (fetch.try_request(at(500), 21, NONE), fetch.try_request(at(530), 21, NONE));

    assert_eq!((first, older, same, newer), (true, false, false, true));
    assert_eq!((soon, later), (false, true));
}

#[test]
fn one_peer_is_asked_at_a_time_until_its_answer_is_overdue() {
    let mut fetch = fetch();

    let requested: Vec<bool> = [0, 100, 499, 500]
        .into_iter()
        .map(|millis| fetch.try_request(at(millis), 20, NONE))
        .collect();

    assert_eq!(requested, [true, false, false, true]);
}

#[test]
fn a_version_older_than_the_stores_is_not_requested() {
    let mut fetch = fetch();

    fetch.record_version(30);

    assert!(!fetch.try_request(at(0), 29, NONE));
    assert_eq!(fetch.own_version(), 30);
}

#[test]
fn a_host_without_a_version_sends_requests_even_to_a_peer_without_one() {
    let mut fetch = fetch();

    assert!(fetch.try_request(at(0), 0, NONE));
    fetch.record_version(5);
    assert!(!fetch.try_request(at(1_000), 0, NONE));
}

#[test]
fn a_new_version_that_all_peers_announce_at_once_is_requested_from_one() {
    // A configuration of some hundred kilobytes, 21 peers and a link of 10 Mbit/s: answers of all peers
    // would saturate the link.
    let mut fetch = fetch();

    let requested = (0..21).filter(|peer| fetch.try_request(at(*peer), 7, NONE)).count();

    assert_eq!(requested, 1);
}

#[test]
fn a_newer_version_is_requested_only_after_the_push_grace() {
    let mut fetch = fetch();
    let push_grace = Duration::from_millis(400);

    let requested_at_once = fetch.try_request(at(0), 7, push_grace);
    let requested_after_grace = fetch.try_request(at(400), 8, push_grace);
    fetch.record_version(8);
    let next_requested = fetch.try_request(at(1_000), 9, push_grace);

    assert_eq!((requested_at_once, requested_after_grace, next_requested), (false, true, false));
}

fn revision(epoch: u64, object: u64, stated: u64) -> Revision {
    Revision { stated, object, epoch }
}

// Guards against a configuration that states too high a version and shuts out all that are written after it.
#[test]
fn the_object_that_was_written_later_is_newer_whatever_version_it_states() {
    let (odd, later) = (revision(0, 10, u64::MAX), revision(0, 11, 7));

    assert!(later.is_newer_than(odd) && !odd.is_newer_than(later));
    assert!(!later.is_newer_than(later));
    assert!(later.is_newer_than(Revision::default()));
}

// Guards against a configuration that goes back with a store that was restored from a copy.
#[test]
fn the_stated_version_decides_between_epochs_and_where_an_object_is_not_known() {
    let (before, restored, next) = (revision(0, 10, 9), revision(1, 20, 5), revision(1, 21, 10));
    let (unknown, lower) = (revision(0, 0, 9), revision(0, 12, 8));

    assert!(before.is_newer_than(restored) && !restored.is_newer_than(before));
    assert!(next.is_newer_than(before) && !before.is_newer_than(next));
    assert!(unknown.is_newer_than(lower) && !lower.is_newer_than(unknown));
    assert!(before.is_newer_than(unknown) && !unknown.is_newer_than(before));
}

//! A host among peers that tell of newer versions.

use super::Inquiry;
use crate::time::Instant;
use std::time::Duration;

const NONE: Duration = Duration::ZERO;

fn at(millis: u64) -> Instant {
    Instant::from_millis(100_000 + millis)
}

/// Takes the answer in.
fn take(inquiry: &mut Inquiry) {
    let told = inquiry.answered().expect("a peer was asked");
    inquiry.note(told);
}

fn inquiry() -> Inquiry {
    Inquiry::new(Duration::from_millis(500))
}

#[test]
fn a_peer_that_knows_an_older_list_is_not_asked_for_it() {
    let mut inquiry = inquiry();

    let first = inquiry.ask(at(0), 20, NONE);
    take(&mut inquiry);
    let (older, same, newer) = (
        inquiry.ask(at(10), 18, NONE),
        inquiry.ask(at(20), 20, NONE),
        inquiry.ask(at(30), 21, NONE),
    );
    take(&mut inquiry);
    let (soon, later) = (inquiry.ask(at(500), 21, NONE), inquiry.ask(at(530), 21, NONE));

    assert_eq!((first, older, same, newer), (true, false, false, true));
    assert_eq!((soon, later), (false, true));
}

#[test]
fn one_peer_is_asked_at_a_time_until_its_answer_is_overdue() {
    let mut inquiry = inquiry();

    let asked: Vec<bool> =
        [0, 100, 499, 500].into_iter().map(|millis| inquiry.ask(at(millis), 20, NONE)).collect();

    assert_eq!(asked, [true, false, false, true]);
}

#[test]
fn what_is_older_than_the_store_itself_told_is_not_asked_of_peers() {
    let mut inquiry = inquiry();

    inquiry.note(30);

    assert!(!inquiry.ask(at(0), 29, NONE));
    assert_eq!(inquiry.known(), 30);
}

#[test]
fn a_host_that_knows_no_list_asks_also_a_peer_that_tells_no_version() {
    let mut inquiry = inquiry();

    assert!(inquiry.ask(at(0), 0, NONE));
    inquiry.note(5);
    assert!(!inquiry.ask(at(1_000), 0, NONE));
}

#[test]
fn a_new_version_of_which_all_peers_tell_at_once_is_asked_of_one() {
    // Pattern: a configuration of some hundred kilobytes, 21 peers, and a link of 10 Mbit/s.
    let mut inquiry = inquiry();

    let asked = (0..21).filter(|peer| inquiry.ask(at(*peer), 7, NONE)).count();

    assert_eq!(asked, 1);
}

#[test]
fn a_newer_version_is_given_time_to_come_by_itself() {
    let mut inquiry = inquiry();
    let by_itself = Duration::from_millis(400);

    let at_once = inquiry.ask(at(0), 7, by_itself);
    let later = inquiry.ask(at(400), 8, by_itself);
    inquiry.note(8);
    let next = inquiry.ask(at(1_000), 9, by_itself);

    assert_eq!((at_once, later, next), (false, true, false));
}

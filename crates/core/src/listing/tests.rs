use super::{Change, Listed, Listing, REAPPEARANCE_GRACE};
use crate::time::Instant;
use std::sync::Arc;
use std::time::Duration;

fn at(millis: u64) -> Instant {
    Instant::from_millis(100_000 + millis)
}

fn listed(name: &str, version: u64) -> (Arc<str>, u64, Option<Listed<u64>>) {
    (name.into(), version, Some(Some(version)))
}

fn deleted(name: &str) -> (Arc<str>, u64, Option<Listed<u64>>) {
    (name.into(), 99, None)
}

fn listing(count: u64) -> Listing {
    let mut listing = Listing::default();
    let entries = (0..count).map(|index| listed(&format!("s{index}"), index)).collect();
    listing.apply(at(0), true, entries);
    listing
}

#[test]
fn a_server_deleted_while_the_store_answers_is_removed_at_once() {
    let mut listing = listing(8);

    let changes = listing.apply(at(10), false, vec![deleted("s3")]);

    assert_eq!(changes, [Change::<u64>::Remove("s3".into())]);
}

#[test]
fn a_server_that_expired_in_an_outage_is_kept_until_it_reappears() {
    let mut listing = listing(8);
    listing.record_failure();

    let changes = listing.apply(at(5_000), false, vec![deleted("s3")]);
    let reappearance = listing.apply(at(6_000), false, vec![listed("s3", 120)]);
    let later_changes = listing.remove_expired::<u64>(at(5_000) + REAPPEARANCE_GRACE);

    assert_eq!(changes, []);
    assert_eq!(reappearance, [Change::Put("s3".into(), 120)]);
    assert_eq!(later_changes, []);
}

#[test]
fn a_server_that_does_not_reappear_after_an_outage_is_removed() {
    let mut listing = listing(8);
    listing.record_failure();
    let entries = (1..8).map(|index| listed(&format!("s{index}"), index)).collect();

    listing.apply(at(5_000), true, entries);
    let changes_in_grace =
        listing.remove_expired::<u64>(at(5_000) + REAPPEARANCE_GRACE - Duration::from_millis(1));
    let changes_after_grace = listing.remove_expired::<u64>(at(5_000) + REAPPEARANCE_GRACE);

    assert_eq!(changes_in_grace, []);
    assert_eq!(changes_after_grace, [Change::Remove("s0".into())]);
}

#[test]
fn a_server_deleted_after_the_grace_period_is_removed_at_once() {
    let mut listing = listing(8);
    listing.record_failure();
    listing.apply::<u64>(at(5_000), false, vec![]);

    let changes = listing.apply(at(5_000) + REAPPEARANCE_GRACE, false, vec![deleted("s3")]);

    assert_eq!(changes, [Change::<u64>::Remove("s3".into())]);
}

#[test]
fn servers_lost_together_are_kept_for_the_grace_period() {
    let mut listing = listing(6);

    let changes = listing.apply(at(10), false, vec![deleted("s1"), deleted("s2"), deleted("s3")]);
    let changes_after_grace = listing.remove_expired::<u64>(at(10) + REAPPEARANCE_GRACE);

    assert_eq!(changes, []);
    assert_eq!(changes_after_grace.len(), 3);
}

#[test]
fn an_unreadable_entry_removes_only_its_own_server() {
    let mut listing = listing(3);

    let changes = listing.apply::<u64>(at(10), false, vec![("s1".into(), 50, Some(None))]);

    assert_eq!(changes, [Change::Remove("s1".into())]);
    assert_eq!(listing.versions().count(), 2);
}

//! Tables, vouching and proofs of death, as handled by one member.

use super::{
    AdoptOutcome, Answer, Identity, Member, Membership, SUSPECT_AFTER, Table, TableAction,
    VOUCH_LEASE,
};
use crate::time::Instant;
use std::net::SocketAddr;
use std::time::Duration;

fn at(ms: u64) -> Instant {
    Instant::from_millis(1_000_000 + ms)
}

fn identity(name: &str) -> Identity {
    Identity { name: name.into(), incarnation: 1 }
}

/// Returns a member's address; each name has its own port.
fn address_of(name: &str) -> SocketAddr {
    ([127, 0, 0, 1], 1_000 + u16::from(name.as_bytes()[0])).into()
}

/// Address of the member under test.
fn address() -> SocketAddr {
    address_of("b")
}

fn table(version: u64, names: &[&str]) -> Table {
    let member = |name: &&str| Member { identity: identity(name), address: address_of(name) };
    Table { version, members: names.iter().map(member).collect(), former: Some(Vec::new()) }
}

/// A table whose writer did not know which removed members may still be current.
fn with_unknown_former(table: Table) -> Table {
    Table { former: None, ..table }
}

/// A table whose writer considered the removed member `name` possibly current.
fn with_former(table: Table, name: &str) -> Table {
    Table { former: Some(vec![identity(name)]), ..table }
}

/// A member with a table in force since 0 ms.
fn member(name: &str, version: u64, names: &[&str]) -> Membership {
    let mut membership = Membership::new(identity(name));
    membership.adopt_if_newer(at(0), table(version, names));
    membership
}

fn answer(sent: u64, table_version: u64) -> Answer {
    Answer { sent: at(sent), table_version, listed: true, configuration_version: 0 }
}

/// Length of the lease in milliseconds.
fn lease() -> u64 {
    u64::try_from(VOUCH_LEASE.as_millis()).unwrap()
}

#[test]
fn a_member_without_a_table_does_nothing() {
    let mut member_without_table = Membership::new(identity("a"));

    assert!(!member_without_table.is_current(at(0)));
    assert_eq!(member_without_table.divisor(at(0)), None);
    assert_eq!(member_without_table.next_action(at(0), None, address()), TableAction::None);
}

#[test]
fn the_first_member_of_all_has_the_whole_share_at_once() {
    let mut founder = Membership::new(identity("a"));

    let action = founder.next_action(at(0), Some(None), address_of("a"));
    founder.adopt_if_newer(at(0), table(1, &["a"]));

    assert_eq!(action, TableAction::Write(table(0, &["a"])));
    assert_eq!((founder.is_current(at(0)), founder.divisor(at(0))), (true, Some(1)));
}

#[test]
fn a_joining_member_has_no_share_until_the_leases_of_removed_members_have_expired() {
    let mut b = Membership::new(identity("b"));
    b.adopt_if_newer(at(0), with_former(table(2, &["a", "b"]), "x"));

    b.record_answer(at(10), &identity("a"), answer(0, 2));
    b.record_answer(at(2_000), &identity("a"), answer(1_990, 2));
    let divisor_before_expiry = b.divisor(at(9 + lease()));
    let divisor_after_expiry = b.divisor(at(10 + lease()));

    assert_eq!((divisor_before_expiry, divisor_after_expiry), (None, Some(2)));
}

#[test]
fn a_joining_member_that_does_not_know_removed_members_has_no_share_for_a_lease() {
    let mut b = Membership::new(identity("b"));
    b.adopt_if_newer(at(0), with_unknown_former(table(2, &["a", "b"])));

    b.record_answer(at(10), &identity("a"), answer(0, 2));
    let divisor_before_expiry = b.divisor(at(9 + lease()));
    let divisor_after_expiry = b.divisor(at(10 + lease()));

    assert!(b.is_current(at(20)));
    assert_eq!((divisor_before_expiry, divisor_after_expiry), (None, Some(2)));
}

#[test]
fn the_share_of_a_dead_member_is_taken_over_at_once() {
    let mut b = member("b", 2, &["a", "b"]);
    b.record_answer(at(10), &identity("a"), answer(0, 2));

    b.record_death_proof(at(500), &identity("a"));

    assert_eq!(b.divisor(at(500)), Some(1));
    assert_eq!(b.next_action(at(500), None, address()), TableAction::Write(table(2, &["b"])));
}

#[test]
fn an_answer_counts_from_when_the_request_was_sent() {
    let mut b = member("b", 2, &["a", "b"]);

    b.record_answer(at(2_000), &identity("a"), answer(500, 2));

    assert!(b.is_current(at(499 + lease())));
    assert!(!b.is_current(at(500 + lease())));
}

#[test]
fn an_answer_from_another_table_does_not_count() {
    let mut b = member("b", 2, &["a", "b"]);

    b.record_answer(at(10), &identity("a"), answer(0, 1));
    b.record_answer(at(10), &identity("a"), answer(0, 3));
    b.record_answer(at(10), &identity("a"), Answer { listed: false, ..answer(0, 2) });

    assert!(!b.is_current(at(20)));
}

#[test]
fn a_newer_table_reduces_the_share_at_once_and_an_older_one_is_ignored() {
    let mut a = Membership::new(identity("a"));
    a.next_action(at(0), Some(None), address());
    a.adopt_if_newer(at(0), table(1, &["a"]));

    a.adopt_if_newer(at(10), table(2, &["a", "b"]));
    let outcome = a.adopt_if_newer(at(10), table(1, &["a"]));

    assert_eq!((a.divisor(at(10)), outcome), (Some(2), AdoptOutcome::NotNewer));
}

#[test]
fn a_removed_members_share_is_taken_over_after_its_lease() {
    let mut a = Membership::new(identity("a"));
    a.next_action(at(0), Some(None), address());
    a.adopt_if_newer(at(0), table(1, &["a"]));
    a.adopt_if_newer(at(0), table(2, &["a", "b"]));
    a.vouch(at(1_000), &identity("b"), 2, 0);

    a.adopt_if_newer(at(1_100), table(3, &["a"]));
    let vouches = a.vouch(at(1_200), &identity("b"), 2, 0);
    let divisor_before_expiry = a.divisor(at(1_099 + lease()));
    let divisor_after_expiry = a.divisor(at(1_100 + lease()));

    assert!(!vouches);
    assert_eq!((divisor_before_expiry, divisor_after_expiry), (Some(2), Some(1)));
}

#[test]
fn an_earlier_member_does_not_depend_on_one_that_it_never_vouched_for() {
    let mut a = Membership::new(identity("a"));
    a.next_action(at(0), Some(None), address());
    a.adopt_if_newer(at(0), table(1, &["a"]));

    a.adopt_if_newer(at(0), table(2, &["a", "b"]));
    let current_before_vouching = a.is_current(at(60_000));
    a.vouch(at(60_000), &identity("b"), 2, 0);

    assert!(current_before_vouching && a.is_current(at(60_000)));
    assert!(!a.is_current(at(60_000 + lease())));
}

#[test]
fn only_a_peer_that_depends_on_this_member_is_removed_when_unreachable() {
    let mut a = member("a", 2, &["a", "b"]);
    let mut b = member("b", 2, &["a", "b"]);
    let now = at(0) + SUSPECT_AFTER * 5;

    let action_of_a = a.next_action(now, None, address());
    let action_of_b = b.next_action(now, None, address());
    b.record_answer(at(10), &identity("a"), answer(0, 2));
    let action_of_vouched_b = b.next_action(now, None, address());

    assert_eq!(action_of_a, TableAction::Write(with_former(table(2, &["a"]), "b")));
    assert_eq!(action_of_b, TableAction::None);
    assert_eq!(action_of_vouched_b, TableAction::Write(with_former(table(2, &["b"]), "a")));
}

#[test]
fn a_death_proven_soon_after_the_last_answer_needs_no_store() {
    let mut b = member("b", 2, &["a", "b"]);
    b.record_answer(at(10), &identity("a"), answer(0, 2));

    b.record_death_proof(at(500), &identity("a"));

    assert!(b.is_current(at(60_000)));
}

#[test]
fn a_death_proven_late_counts_once_the_table_was_read_again() {
    let mut b = member("b", 2, &["a", "b"]);
    b.record_answer(at(10), &identity("a"), answer(0, 2));

    b.record_death_proof(at(2_000), &identity("a"));
    let current_before_read = b.is_current(at(lease()));
    b.record_table_read(at(2_100), 2, at(1_900));
    let current_after_earlier_read = b.is_current(at(lease()));
    b.record_table_read(at(2_200), 2, at(2_100));

    assert_eq!((current_before_read, current_after_earlier_read), (false, false));
    assert!(b.is_current(at(lease())));
}

#[test]
fn a_resumed_member_does_not_count_its_peers_as_unreachable() {
    let mut a = member("a", 2, &["a", "b"]);

    a.record_resume(at(60_000));

    assert_eq!(a.next_action(at(60_000), None, address()), TableAction::None);
}

#[test]
fn an_isolated_member_waits_longer_than_the_others() {
    let mut a = member("a", 3, &["a", "b", "c"]);
    let mut b = member("b", 3, &["a", "b", "c"]);
    b.record_answer(at(10), &identity("a"), answer(0, 3));
    b.vouch(at(1_000), &identity("c"), 3, 0);
    let now = at(0) + SUSPECT_AFTER + Duration::from_millis(300);

    assert_eq!(a.next_action(now, None, address()), TableAction::None);
    let without_a = with_former(table(3, &["b", "c"]), "a");
    assert_eq!(b.next_action(now, None, address()), TableAction::Write(without_a));
}

#[test]
fn a_removed_member_joins_again_at_the_end_and_with_an_empty_bucket() {
    let mut b = member("b", 2, &["a", "b"]);
    b.record_answer(at(10), &identity("a"), answer(0, 2));

    b.adopt_if_newer(at(100), table(3, &["a"]));
    let current_while_removed = b.is_current(at(100));
    let action = b.next_action(at(100), Some(Some(&with_former(table(3, &["a"]), "b"))), address());
    b.adopt_if_newer(at(200), table(4, &["a", "b"]));
    let unvouched_divisor = b.divisor(at(200));
    b.record_answer(at(220), &identity("a"), answer(210, 4));

    assert!(!current_while_removed);
    assert_eq!(action, TableAction::Write(table(3, &["a", "b"])));
    assert_eq!((b.join_count(), unvouched_divisor, b.divisor(at(220))), (2, None, Some(2)));
}

#[test]
fn a_host_restarted_at_its_address_does_not_wait_for_its_earlier_lease() {
    let restarted = Identity { incarnation: 2, ..identity("b") };
    let mut b = Membership::new(restarted.clone());

    let TableAction::Write(joined) = b.next_action(at(0), Some(Some(&table(2, &["b"]))), address())
    else {
        panic!()
    };
    let other = Identity { incarnation: 3, ..identity("b") };
    let elsewhere = joined.with_member(Member { identity: other, address: address_of("c") });
    b.adopt_if_newer(at(0), Table { version: 3, ..joined.clone() });

    assert_eq!(joined.former, Some(Vec::new()));
    assert_eq!(elsewhere.former, Some(vec![restarted]));
    assert_eq!(b.divisor(at(0)), Some(1));
}

//! Shares, queues and loans of one member.

use super::{Cause, Debit, Effect, LOAN_LEASE, Limits, MemberState, NOT_CURRENT_WAIT, Quota};
use crate::time::Instant;
use std::sync::Arc;
use std::time::Duration;

const RATE: u64 = 1_000;
const BURST: u64 = 600;

fn at(ms: u64) -> Instant {
    Instant::from_millis(1_000_000 + ms)
}

fn acme() -> Arc<str> {
    Arc::from("acme")
}

fn quotas(rate: u64, burst: u64) -> Vec<Quota> {
    vec![Quota { name: acme(), rate, burst }]
}

fn member_state(divisor: u32, peers: &[&str]) -> MemberState {
    let peers = peers.iter().map(|name| Arc::from(*name)).collect();
    MemberState { divisor: Some(divisor), current: true, peers, join_count: 1 }
}

/// A member with an empty bucket at 0 ms.
fn limits(divisor: u32, peers: &[&str]) -> Limits {
    let mut limits = Limits::default();
    limits.configure(at(0), &quotas(RATE, BURST), true);
    limits.set_member_state(at(0), member_state(divisor, peers));
    limits
}

fn available(limits: &mut Limits, ms: u64) -> u64 {
    limits.statuses(at(ms))[0].available
}

#[test]
fn a_new_member_starts_empty_and_fills_to_its_share() {
    let mut limits = limits(2, &[]);

    let levels = [0, 100, 10_000].map(|ms| available(&mut limits, ms));

    assert_eq!(levels, [0, 50, 300]);
}

#[test]
fn a_balance_is_capped_when_the_share_shrinks_and_kept_when_it_grows() {
    let mut limits = limits(1, &[]);
    available(&mut limits, 10_000);

    limits.set_member_state(at(10_000), member_state(3, &[]));
    let available_after_cut = available(&mut limits, 10_000);
    limits.set_member_state(at(10_000), member_state(1, &[]));
    let available_after_growth = available(&mut limits, 10_000);

    assert_eq!((available_after_cut, available_after_growth), (200, 200));
}

#[test]
fn tokens_of_an_earlier_membership_are_void() {
    let mut limits = limits(1, &[]);
    available(&mut limits, 10_000);

    limits.set_member_state(at(10_000), MemberState { join_count: 2, ..member_state(1, &[]) });

    assert_eq!(available(&mut limits, 10_000), 0);
}

#[test]
fn a_request_larger_than_the_burst_is_never_possible() {
    let mut limits = limits(1, &[]);

    let refusal = limits.debit(at(0), &acme(), BURST + 1, Duration::from_secs(60)).unwrap_err();

    assert_eq!((refusal.cause, refusal.retry_after_ms), (Cause::OverBurst, 0));
}

#[test]
fn a_request_that_can_not_be_served_in_time_is_refused_at_once_with_a_retry_delay() {
    let mut limits = limits(1, &[]);

    let refusal = limits.debit(at(0), &acme(), 500, Duration::from_millis(400)).unwrap_err();

    assert_eq!((refusal.cause, refusal.retry_after_ms), (Cause::OverRate, 500));
}

#[test]
fn requests_get_tokens_in_the_order_of_arrival() {
    let mut limits = limits(1, &[]);
    let max_wait = Duration::from_secs(1);
    let Ok(Debit::Queued(first)) = limits.debit(at(0), &acme(), 300, max_wait) else { panic!() };
    let Ok(Debit::Queued(next)) = limits.debit(at(0), &acme(), 10, max_wait) else { panic!() };

    let early_effects = limits.run(at(200));
    let late_effects = limits.run(at(310));

    assert_eq!(early_effects, vec![]);
    assert_eq!(late_effects, vec![Effect::Grant(first), Effect::Grant(next)]);
}

#[test]
fn a_cancelled_request_does_not_delay_those_queued_after_it() {
    let mut limits = limits(1, &[]);
    let max_wait = Duration::from_secs(1);
    let Ok(Debit::Queued(first)) = limits.debit(at(0), &acme(), 500, max_wait) else { panic!() };
    let Ok(Debit::Queued(next)) = limits.debit(at(0), &acme(), 10, max_wait) else { panic!() };

    limits.cancel(first);

    assert_eq!(limits.run(at(10)), vec![Effect::Grant(next)]);
}

#[test]
fn a_member_with_too_few_tokens_borrows_and_spends_at_once() {
    let mut lender = limits(2, &["b"]);
    let mut borrower = limits(2, &["a"]);
    available(&mut lender, 10_000);
    let max_wait = Duration::from_secs(1);
    let Ok(Debit::Queued(waiter)) = borrower.debit(at(0), &acme(), 200, max_wait) else { panic!() };

    let effects = borrower.run(at(0));
    let Effect::Borrow { request_id, tokens, .. } = effects[0].clone() else { panic!() };
    let lent = lender.lend(at(10_000), "acme", tokens);
    borrower.record_loan(at(2), request_id, lent);

    assert_eq!((tokens, lent), (200, 200));
    assert_eq!(borrower.run(at(2)), vec![Effect::Grant(waiter)]);
    assert_eq!(available(&mut lender, 10_000), 100);
}

#[test]
fn a_lender_counts_a_loan_against_its_capacity_until_it_has_expired() {
    let mut lender = limits(2, &["b"]);
    available(&mut lender, 10_000);
    let lease = u64::try_from(LOAN_LEASE.as_millis()).unwrap();

    lender.lend(at(10_000), "acme", 300);

    assert_eq!(available(&mut lender, 10_000 + lease - 1), 0);
    assert!(available(&mut lender, 10_000 + lease + 10) > 0);
}

#[test]
fn a_loan_that_arrives_late_or_twice_is_not_used() {
    let mut borrower = limits(2, &["a"]);
    let wait = borrower.debit(at(0), &acme(), 200, Duration::from_secs(1));
    assert!(matches!(wait, Ok(Debit::Queued(_))));
    let effects = borrower.run(at(0));
    let Effect::Borrow { request_id, .. } = effects[0].clone() else { panic!() };
    let lease = u64::try_from(LOAN_LEASE.as_millis()).unwrap();

    borrower.record_loan(at(lease), request_id, 200);
    borrower.record_loan(at(lease), request_id, 200);

    assert_eq!(available(&mut borrower, lease), 125);
}

#[test]
fn a_refund_never_fills_beyond_the_capacity() {
    let mut limits = limits(2, &[]);

    limits.refund(at(0), "acme", 10_000);

    assert_eq!(available(&mut limits, 0), 300);
}

#[test]
fn a_changed_quota_shrinks_at_once_and_grows_when_settled() {
    let mut limits = limits(1, &[]);

    limits.configure(at(0), &quotas(500, 2_000), false);
    let unsettled = limits.statuses(at(0))[0].clone();
    limits.configure(at(0), &quotas(500, 2_000), true);
    let settled = limits.statuses(at(0))[0].clone();

    assert_eq!((unsettled.rate, unsettled.burst), (500, BURST));
    assert_eq!((settled.rate, settled.burst), (500, 2_000));
}

#[test]
fn a_member_that_is_not_current_neither_admits_nor_lends_and_refuses_soon() {
    let mut limits = limits(1, &["b"]);
    available(&mut limits, 10_000);
    let not_current = MemberState { current: false, ..member_state(1, &["b"]) };
    limits.set_member_state(at(10_000), not_current);

    let wait = limits.debit(at(10_000), &acme(), 10, Duration::from_secs(60));
    let lent = limits.lend(at(10_000), "acme", 10);
    let effects = limits.run(at(10_000) + NOT_CURRENT_WAIT);

    let Ok(Debit::Queued(wait)) = wait else { panic!() };
    assert_eq!(lent, 0);
    assert!(matches!(&effects[..], [Effect::Refuse(refused, refusal)]
        if *refused == wait && refusal.cause == Cause::NotCurrent));
}

#[test]
fn an_organisation_that_the_document_drops_is_unknown() {
    let mut limits = limits(1, &[]);
    let waits = limits.debit(at(0), &acme(), 100, Duration::from_secs(1));
    assert!(matches!(waits, Ok(Debit::Queued(_))));

    limits.configure(at(0), &[], true);

    let effects = limits.run(at(0));
    assert!(
        matches!(&effects[..], [Effect::Refuse(_, refusal)] if refusal.cause == Cause::Unknown)
    );
    let refusal = limits.debit(at(0), &acme(), 1, Duration::ZERO).unwrap_err();
    assert_eq!(refusal.cause, Cause::Unknown);
}

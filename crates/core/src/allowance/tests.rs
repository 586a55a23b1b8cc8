use super::{Allowances, Refusal, Spent, Told};
use crate::limit::Terms;
use crate::time::Instant;
use std::sync::Arc;
use std::time::Duration;

const RATE: u64 = 1_000;

fn at(seconds: u64) -> Instant {
    Instant::from_millis(100_000 + seconds * 1_000)
}

fn name() -> Arc<str> {
    "orchard".into()
}

fn terms(rate: u64) -> Vec<Terms> {
    vec![Terms { name: name(), rate, burst: rate }]
}

/// A host that has run for long, so that its bucket is full.
fn host() -> Allowances {
    let mut host = Allowances::new(at(0), true);
    host.configure(at(0), &terms(RATE));
    host
}

/// A peer that started with this host, or in its so-manieth incarnation.
fn told(incarnation: u64, tokens: i64) -> Told {
    Told { incarnation, age: Duration::ZERO, spent: Spent::from([(name(), tokens)]) }
}

#[test]
fn burst_and_then_rate_can_be_spent_and_no_more() {
    let mut host = host();

    let burst = host.take(at(0), &name(), RATE);
    let more = host.take(at(0), &name(), 1);
    let later = host.take(at(1), &name(), RATE);

    assert_eq!(burst, Ok(()));
    assert_eq!(more, Err(Refusal { left: 0, retry_after: Duration::from_millis(100) }));
    assert_eq!(later, Ok(()));
}

#[test]
fn what_a_peer_has_spent_is_gone_here_too_and_counts_once() {
    let mut host = host();

    host.heard(at(0), &"peer".into(), told(1, 600));
    host.heard(at(0), &"peer".into(), told(1, 600));

    assert_eq!(host.take(at(0), &name(), 400), Ok(()));
    assert!(host.take(at(0), &name(), 1).is_err());
}

#[test]
fn a_peer_that_started_anew_counts_from_nothing() {
    let mut host = host();
    host.heard(at(0), &"peer".into(), told(1, 600));

    host.heard(at(0), &"peer".into(), told(2, 100));

    assert_eq!(host.take(at(0), &name(), 300), Ok(()));
    assert!(host.take(at(0), &name(), 1).is_err());
}

#[test]
fn a_host_that_starts_beside_others_is_not_charged_for_what_they_spent_before() {
    let mut host = Allowances::new(at(0), false);
    host.configure(at(0), &terms(RATE));
    let long = Told { age: Duration::from_secs(60), ..told(1, 1_000_000) };
    host.heard(at(0), &"peer".into(), long);

    let later = Told { age: Duration::from_secs(61), ..told(1, 1_000_400) };
    host.heard(at(1), &"peer".into(), later);

    assert_eq!(host.take(at(1), &name(), 600), Ok(()));
    assert!(host.take(at(1), &name(), 1).is_err());
}

#[test]
fn a_start_that_is_not_the_first_begins_with_nothing() {
    let mut host = Allowances::new(at(0), false);
    host.configure(at(0), &terms(RATE));

    assert!(host.take(at(0), &name(), 1).is_err());
    assert_eq!(host.take(at(1), &name(), RATE), Ok(()));
}

#[test]
fn organisations_that_come_later_begin_with_their_burst() {
    let mut host = Allowances::new(at(0), false);
    host.configure(at(0), &[]);

    host.configure(at(0), &terms(RATE));

    assert_eq!(host.take(at(0), &name(), RATE), Ok(()));
}

#[test]
fn hosts_that_do_not_hear_each_other_spend_the_rate_once_between_them() {
    let mut hosts = [host(), host(), host()];
    for host in &mut hosts {
        host.heard(at(0), &"second".into(), told(1, 0));
        host.heard(at(0), &"third".into(), told(1, 0));
        host.silent(at(0), &"second".into());
        host.silent(at(0), &"third".into());
    }

    let mut total = 0;
    for second in 0..=8 {
        for host in &mut hosts {
            while host.take(at(second), &name(), 1).is_ok() {
                total += 1;
            }
        }
    }

    assert!(total <= 9 * RATE, "{total}");
    assert!(total >= 9 * RATE - 30, "{total}");
}

#[test]
fn a_peer_that_is_surely_gone_leaves_its_share_to_the_others() {
    let mut host = host();
    host.heard(at(0), &"peer".into(), told(1, 0));
    host.silent(at(0), &"peer".into());

    host.gone(at(1), &"peer".into());

    assert_eq!(host.take(at(2), &name(), RATE), Ok(()));
}

#[test]
fn a_lower_limit_binds_at_once_and_no_limit_never() {
    let mut host = host();

    host.configure(at(0), &terms(RATE / 10));
    let over = host.take(at(0), &name(), RATE / 10 + 1);
    host.configure(at(0), &terms(0));
    let unlimited = host.take(at(0), &name(), 1_000 * RATE);

    assert!(over.is_err());
    assert_eq!(unlimited, Ok(()));
}

#[test]
fn tokens_that_were_not_used_are_handed_back() {
    let mut host = host();
    host.take(at(0), &name(), RATE).unwrap();

    host.refund(at(0), &name(), RATE);

    assert_eq!(host.spent()[&name()], 0);
    assert_eq!(host.take(at(0), &name(), RATE), Ok(()));
}

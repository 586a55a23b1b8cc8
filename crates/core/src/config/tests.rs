//! Tests which document is in force, and when it is trusted.

use super::{Action, CONFIRMED_LEASE, Config};
use crate::time::Instant;
use quickcheck::quickcheck;
use std::sync::Arc;
use std::time::Duration;

fn at(ms: u64) -> Instant {
    Instant::from_millis(1_000_000 + ms)
}

fn config(version: u64) -> Config {
    let mut config = Config::default();
    config.apply(version, Arc::from([]));
    config
}

quickcheck! {
    fn the_highest_version_stays_in_force(offers: Vec<u8>) -> bool {
        let mut config = Config::default();
        let mut highest = 0;
        offers.into_iter().map(u64::from).all(|version| {
            config.apply(version, Arc::from([]));
            highest = version.max(highest);
            config.version() == highest
        })
    }
}

#[test]
fn a_stale_answer_confirms_nothing() {
    let mut config = config(5);

    config.confirm(4, at(0));

    assert!(!config.is_trusted(at(0), false));
}

#[test]
fn a_confirmation_counts_from_when_it_was_asked_for() {
    let mut config = config(5);

    config.confirm(5, at(0));

    let lease = u64::try_from(CONFIRMED_LEASE.as_millis()).unwrap();
    assert!(config.is_trusted(at(lease - 1), false));
    assert!(!config.is_trusted(at(lease), false));
}

#[test]
fn a_peers_confirmation_has_the_age_that_the_peer_reports() {
    let mut config = config(5);

    config.confirm_from_peer(5, CONFIRMED_LEASE - Duration::from_millis(10), at(0));

    assert!(config.is_trusted(at(5), false));
    assert!(!config.is_trusted(at(10), false));
}

#[test]
fn a_current_member_trusts_its_version_without_a_confirmation() {
    let config = config(5);

    assert!(config.is_trusted(at(0), true));
    assert!(!Config::default().is_trusted(at(0), true));
}

#[test]
fn a_version_is_validated_once_and_older_ones_never() {
    let mut config = config(5);

    let first_action = config.action_for(7);
    config.record_validated(7);

    assert_eq!(first_action, Action::Validate);
    assert_eq!(
        [config.action_for(7), config.action_for(4), config.action_for(8)],
        [Action::None, Action::None, Action::Validate]
    );
}

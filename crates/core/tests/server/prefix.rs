//! Tracking of cached prefixes from events that may be late or lost.

use chestnutrack_core::server::prefix::{Change, PREFIX_EXPIRY, PREFIXES_MAX, Prefixes};
use chestnutrack_core::time::Instant;
use quickcheck::{Gen, QuickCheck};
use std::collections::HashSet;
use std::time::Duration;

const NOW: Instant = Instant::from_millis(1_000);

fn change(number: u64, prefix: u64, stored: bool) -> Change {
    Change { number, prefix, stored }
}

#[test]
fn stores_and_evictions_are_applied_and_gaps_counted() {
    let mut prefixes = Prefixes::default();

    prefixes.apply(NOW, &[change(1, 10, true), change(2, 20, true)], 2);
    prefixes.apply(NOW, &[change(5, 10, false)], 6);

    assert_eq!(prefixes.iter().collect::<Vec<_>>(), [20]);
    assert_eq!((prefixes.newest(), prefixes.gaps()), (6, 3));
}

#[test]
fn a_restarted_engine_holds_nothing() {
    let mut prefixes = Prefixes::default();
    prefixes.apply(NOW, &[change(1, 10, true), change(2, 20, true)], 2);

    prefixes.apply(NOW, &[change(1, 30, true)], 1);

    assert_eq!(prefixes.iter().collect::<Vec<_>>(), [30]);
}

#[test]
fn prefixes_expire_and_their_number_is_bounded() {
    let mut prefixes = Prefixes::default();
    let many = 2 * PREFIXES_MAX as u64;
    let changes: Vec<_> = (1..=many).map(|number| change(number, number, true)).collect();

    prefixes.apply(NOW, &changes, many);
    let kept = prefixes.len();
    prefixes.apply(NOW + PREFIX_EXPIRY + Duration::from_secs(1), &[], many);

    assert_eq!((kept, prefixes.len()), (PREFIXES_MAX, 0));
}

/// Without lost events, the tracked prefixes equal those of an exact model.
fn matches_an_exact_model(steps: Vec<(u8, bool)>) -> bool {
    let mut prefixes = Prefixes::default();
    let mut exact = HashSet::new();
    for (number, (prefix, stored)) in (1..).zip(steps) {
        let prefix = u64::from(prefix % 8);
        if stored {
            exact.insert(prefix)
        } else {
            exact.remove(&prefix)
        };
        prefixes.apply(NOW, &[change(number, prefix, stored)], number);
    }
    prefixes.iter().collect::<HashSet<_>>() == exact && prefixes.gaps() == 0
}

#[test]
fn without_lost_events_the_prefixes_are_exact() {
    let property: fn(Vec<(u8, bool)>) -> bool = matches_an_exact_model;
    QuickCheck::new().rng(Gen::from_size_and_seed(100, 1)).quickcheck(property);
}

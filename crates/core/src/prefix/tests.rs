//! Tests of the prefix index.

use super::{EXPIRY, Index, Prefix};
use crate::time::Instant;
use std::time::Duration;

const NOW: Instant = Instant::from_millis(1_000_000);
/// Memory of a server, in tokens.
const CAPACITY: u64 = 10_000;

/// Returns the prefixes of a prompt with the given hashes, of 1,000 tokens more each.
fn prompt(hashes: &[u64]) -> Vec<Prefix> {
    hashes
        .iter()
        .zip(1..)
        .map(|(hash, parts)| Prefix { hash: *hash, tokens: parts * 1_000 })
        .collect()
}

#[test]
fn a_server_holds_a_prefix_only_with_all_shorter_ones() {
    let mut index = Index::default();
    index.record("both", &prompt(&[1, 2]), NOW, NOW);
    index.record("first", &prompt(&[1, 9]), NOW, NOW);
    index.record("second", &prompt(&[8, 2]), NOW, NOW);

    let held = index.holders(&prompt(&[1, 2]), NOW);

    assert_eq!((held.get("both"), held.get("first")), (Some(&2_000), Some(&1_000)));
    assert_eq!(held.get("second"), None);
}

/// Guards against a prefix that attracts requests though its server has evicted it since.
#[test]
fn the_more_a_server_prefills_the_less_it_is_expected_to_hold() {
    let mut index = Index::default();
    index.record("engine", &prompt(&[1]), NOW, NOW);
    let expected = |index: &Index<&str>| {
        index.expected_tokens(&prompt(&[1]), CAPACITY, NOW).get("engine").copied()
    };

    let at_first = expected(&index);
    index.record("engine", &prompt(&[11, 12, 13, 14, 15]), NOW, NOW);
    let after_half = expected(&index);
    index.record("engine", &prompt(&[21, 22, 23, 24, 25, 26]), NOW, NOW);
    let after_all = expected(&index);
    index.record("engine", &prompt(&[1]), NOW, NOW);

    assert_eq!((at_first, after_half, after_all), (Some(1_000.0), Some(500.0), Some(0.0)));
    assert_eq!(expected(&index), Some(1_000.0));
}

#[test]
fn a_server_that_restarts_holds_nothing_and_entries_expire() {
    let mut index = Index::default();
    index.record("engine", &prompt(&[1, 2]), NOW, NOW);
    index.record("other", &prompt(&[1, 2]), NOW, NOW);

    index.forget("engine");
    let held = index.holders(&prompt(&[1, 2]), NOW);
    index.record("third", &prompt(&[7]), NOW + EXPIRY, NOW + EXPIRY);

    assert_eq!((held.get("engine"), held.get("other")), (None, Some(&2_000)));
    assert!(index.holders(&prompt(&[1, 2]), NOW + EXPIRY).is_empty());
    assert_eq!(index.len(), 1);
}

/// Guards against memory that grows with the number of uses of a few prefixes.
#[test]
fn uses_of_the_same_prefix_are_bounded() {
    let mut index = Index::default();

    for use_index in 0..300_000 {
        let at = NOW + Duration::from_micros(use_index);
        index.record("engine", &prompt(&[1]), at, at);
    }

    assert_eq!(index.len(), 1);
    assert!(index.uses.len() <= 2 * super::ENTRIES_MAX);
}

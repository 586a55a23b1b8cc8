//! Crashes of engines, by the answers that broke off at them.

use super::evidence::{Engine, Record};
use crate::time::Instant;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Time within which crashes count as simultaneous. Engines that fail together may have a cause of their own.
const SIMULTANEOUS: Duration = Duration::from_millis(20);
/// Simultaneous crashes that count at most.
const SIMULTANEOUS_MAX: usize = 2;

/// Returns the crashes at which answers broke off, in order, and whether they are explained. Of simultaneous ones at
/// most [`SIMULTANEOUS_MAX`].
pub(super) fn list_crashes(
    records: &[&Record],
    explained: &BTreeSet<Engine<'_>>,
) -> Vec<(Instant, bool)> {
    let mut crashes: BTreeMap<Engine<'_>, Instant> = BTreeMap::new();
    for record in records {
        let at = crashes.entry(record.engine()).or_insert(record.at);
        *at = record.at.min(*at);
    }
    let mut crashes: Vec<(Instant, bool)> =
        crashes.into_iter().map(|(engine, at)| (at, explained.contains(&engine))).collect();
    crashes.sort_unstable();
    let mut group: Option<(Instant, usize)> = None;
    crashes.retain(|(at, _)| {
        let counted = match group {
            Some((first, counted)) if at.since(first) < SIMULTANEOUS => (first, counted + 1),
            _ => (*at, 1),
        };
        group = Some(counted);
        counted.1 <= SIMULTANEOUS_MAX
    });
    crashes
}

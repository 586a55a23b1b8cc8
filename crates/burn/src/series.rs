//! Counts over time: short buckets for recent hours, long ones for recent days.

use crate::RETENTION;
use crate::count::Counts;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// Length of a short bucket.
pub const SHORT: Duration = Duration::from_secs(5 * 60);
/// How long short buckets are kept before they are rolled up.
pub const SHORT_RETENTION: Duration = Duration::from_secs(6 * 3_600);
/// Length of a long bucket.
pub const LONG: Duration = Duration::from_secs(3_600);
/// Short buckets in a long one.
const SHORT_PER_LONG: u64 = LONG.as_secs() / SHORT.as_secs();

/// Name for organisations or routes whose figures were folded together.
pub const OTHER: &str = "other";

/// What is counted apart.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Key {
    /// Organisation; empty on routes that are open to all.
    pub organisation: Arc<str>,
    /// Route.
    pub route: Arc<str>,
}

impl Key {
    /// The key that figures are folded into when there are too many.
    pub fn other() -> Key {
        Key { organisation: OTHER.into(), route: OTHER.into() }
    }
}

/// A moment since the series' own zero.
pub type Moment = Duration;

/// Counts of one key over time. Buckets are numbered from the series' own zero.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Series {
    short: BTreeMap<u64, Counts>,
    long: BTreeMap<u64, Counts>,
}

impl Series {
    /// Adds counts at a moment.
    pub fn add(&mut self, at: Moment, counts: Counts) {
        *self.short.entry(bucket_number(at, SHORT)).or_default() += counts;
    }

    /// Adds counts that were kept in a long bucket at a moment.
    pub fn add_long(&mut self, at: Moment, counts: Counts) {
        *self.long.entry(bucket_number(at, LONG)).or_default() += counts;
    }

    /// Adds all counts of another series with the same zero.
    pub fn merge(&mut self, other: &Series) {
        for (number, counts) in &other.short {
            *self.short.entry(*number).or_default() += *counts;
        }
        for (number, counts) in &other.long {
            *self.long.entry(*number).or_default() += *counts;
        }
    }

    /// Rolls short buckets that are old up into long ones, and drops what is past retention.
    pub fn roll_up(&mut self, now: Moment) {
        self.coarsen(now, SHORT_RETENTION);
        let oldest = bucket_number(now.saturating_sub(RETENTION), LONG);
        self.long = self.long.split_off(&oldest);
    }

    /// Rolls short buckets older than `kept` up into long ones.
    pub fn coarsen(&mut self, now: Moment, kept: Duration) {
        let kept = bucket_number(now.saturating_sub(kept), SHORT);
        let recent = self.short.split_off(&kept);
        for (number, counts) in std::mem::replace(&mut self.short, recent) {
            *self.long.entry(number / SHORT_PER_LONG).or_default() += counts;
        }
    }

    /// Counts of every bucket that reaches into the window before `now`; a window is rounded up
    /// to whole buckets.
    pub fn within(&self, now: Moment, window: Duration) -> Counts {
        let from = now.saturating_sub(window);
        let short: Counts = self.short.range(bucket_number(from, SHORT)..).map(|(_, c)| *c).sum();
        let long: Counts = self.long.range(bucket_number(from, LONG)..).map(|(_, c)| *c).sum();
        short + long
    }

    /// Short buckets by the start of each, oldest first.
    pub fn short(&self) -> impl Iterator<Item = (Moment, Counts)> {
        self.short.iter().map(|(number, counts)| (bucket_start(*number, SHORT), *counts))
    }

    /// Long buckets by the start of each, oldest first.
    pub fn long(&self) -> impl Iterator<Item = (Moment, Counts)> {
        self.long.iter().map(|(number, counts)| (bucket_start(*number, LONG), *counts))
    }

    /// Counts by hour, numbered from the zero.
    pub fn hours(&self) -> BTreeMap<u64, Counts> {
        let mut hours = self.long.clone();
        for (number, counts) in &self.short {
            *hours.entry(number / SHORT_PER_LONG).or_default() += *counts;
        }
        hours
    }

    /// All counts that are kept.
    pub fn total(&self) -> Counts {
        self.short.values().chain(self.long.values()).copied().sum()
    }

    /// Whether nothing is kept.
    pub fn is_empty(&self) -> bool {
        self.short.is_empty() && self.long.is_empty()
    }
}

pub(crate) fn bucket_number(at: Moment, bucket: Duration) -> u64 {
    at.as_secs() / bucket.as_secs()
}

fn bucket_start(number: u64, bucket: Duration) -> Moment {
    Duration::from_secs(number.saturating_mul(bucket.as_secs()))
}

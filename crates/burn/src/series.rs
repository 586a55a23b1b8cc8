//! Counts over time: short buckets for recent hours, long buckets for recent days.
//!
//! To roll up a short bucket is to add its counts to the long bucket that contains it and to remove it.

use crate::RETENTION;
use crate::count::Counts;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// Length of a short bucket.
pub const SHORT_BUCKET: Duration = Duration::from_secs(5 * 60);
/// Age at which short buckets are rolled up into long ones.
pub const SHORT_RETENTION: Duration = Duration::from_secs(6 * 3_600);
/// Length of a long bucket.
pub const LONG_BUCKET: Duration = Duration::from_secs(3_600);
/// Number of short buckets in a long one.
const SHORT_PER_LONG: u64 = LONG_BUCKET.as_secs() / SHORT_BUCKET.as_secs();

/// Name of the organisation and route under which series are merged when there are too many.
pub const OTHER: &str = "other";

/// Key of a series: counts are kept by organisation and route.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Key {
    /// Organisation; empty on routes that need no key.
    pub organisation: Arc<str>,
    /// Route.
    pub route: Arc<str>,
}

impl Key {
    /// Returns the key under which series are merged when there are too many.
    pub fn other() -> Key {
        Key { organisation: OTHER.into(), route: OTHER.into() }
    }
}

/// Time since the series' epoch, an arbitrary point before its oldest bucket.
pub type Moment = Duration;

/// Counts of one key over time. Bucket number 0 of either length begins at the series' epoch.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Series {
    short_buckets: BTreeMap<u64, Counts>,
    long_buckets: BTreeMap<u64, Counts>,
}

impl Series {
    /// Adds counts to the short bucket that contains a moment.
    pub fn add_to_short(&mut self, moment: Moment, counts: Counts) {
        *self.short_buckets.entry(bucket_number(moment, SHORT_BUCKET)).or_default() += counts;
    }

    /// Adds counts to the long bucket that contains a moment.
    pub fn add_to_long(&mut self, moment: Moment, counts: Counts) {
        *self.long_buckets.entry(bucket_number(moment, LONG_BUCKET)).or_default() += counts;
    }

    /// Adds all counts of another series with the same epoch.
    pub fn merge(&mut self, other: &Series) {
        for (number, counts) in &other.short_buckets {
            *self.short_buckets.entry(*number).or_default() += *counts;
        }
        for (number, counts) in &other.long_buckets {
            *self.long_buckets.entry(*number).or_default() += *counts;
        }
    }

    /// Rolls up short buckets older than [`SHORT_RETENTION`] into long ones, and removes long buckets
    /// older than [`RETENTION`].
    pub fn apply_retention(&mut self, now: Moment) {
        self.roll_up_short(now, SHORT_RETENTION);
        let oldest_kept = bucket_number(now.saturating_sub(RETENTION), LONG_BUCKET);
        self.long_buckets = self.long_buckets.split_off(&oldest_kept);
    }

    /// Rolls up short buckets older than `max_age` into long ones.
    pub fn roll_up_short(&mut self, now: Moment, max_age: Duration) {
        let oldest_kept = bucket_number(now.saturating_sub(max_age), SHORT_BUCKET);
        let recent = self.short_buckets.split_off(&oldest_kept);
        for (number, counts) in std::mem::replace(&mut self.short_buckets, recent) {
            *self.long_buckets.entry(number / SHORT_PER_LONG).or_default() += counts;
        }
    }

    /// Returns the counts of all buckets that overlap the window of this length that ends at `now`. The
    /// window is thus rounded up to whole buckets.
    pub fn counts_in_window(&self, now: Moment, window: Duration) -> Counts {
        let window_start = now.saturating_sub(window);
        let short: Counts = self
            .short_buckets
            .range(bucket_number(window_start, SHORT_BUCKET)..)
            .map(|(_, counts)| *counts)
            .sum();
        let long: Counts = self
            .long_buckets
            .range(bucket_number(window_start, LONG_BUCKET)..)
            .map(|(_, counts)| *counts)
            .sum();
        short + long
    }

    /// Returns the short buckets with the start of each, oldest first.
    pub fn short_buckets(&self) -> impl Iterator<Item = (Moment, Counts)> {
        self.short_buckets
            .iter()
            .map(|(number, counts)| (bucket_start(*number, SHORT_BUCKET), *counts))
    }

    /// Returns the long buckets with the start of each, oldest first.
    pub fn long_buckets(&self) -> impl Iterator<Item = (Moment, Counts)> {
        self.long_buckets
            .iter()
            .map(|(number, counts)| (bucket_start(*number, LONG_BUCKET), *counts))
    }

    /// Returns the counts by hour, the length of a long bucket; hours are numbered like long buckets.
    pub fn hours(&self) -> BTreeMap<u64, Counts> {
        let mut hours = self.long_buckets.clone();
        for (number, counts) in &self.short_buckets {
            *hours.entry(number / SHORT_PER_LONG).or_default() += *counts;
        }
        hours
    }

    /// Returns the sum of all buckets.
    pub fn total(&self) -> Counts {
        self.short_buckets.values().chain(self.long_buckets.values()).copied().sum()
    }

    /// Returns `true` if there are no buckets.
    pub fn is_empty(&self) -> bool {
        self.short_buckets.is_empty() && self.long_buckets.is_empty()
    }
}

/// Returns the number of the bucket that contains `moment`, among buckets of the length `bucket`.
pub(crate) fn bucket_number(moment: Moment, bucket: Duration) -> u64 {
    moment.as_secs() / bucket.as_secs()
}

/// Returns the start of the bucket with this number, among buckets of the length `bucket`.
fn bucket_start(number: u64, bucket: Duration) -> Moment {
    Duration::from_secs(number.saturating_mul(bucket.as_secs()))
}

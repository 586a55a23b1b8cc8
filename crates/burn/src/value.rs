//! Compact encoding of a host's counts, bounded in size.
//!
//! A bucket is encoded as an array: its distance from the newest bucket, which contains the time of
//! writing, counted in buckets; then the counts (good, slow, failed, refused, over the rate). Trailing
//! zeros are left out, but the first count always stands. The value holds the age of its newest buckets
//! at the write, so that a reader who knows the age of the write can place every bucket in time without
//! the writer's clock.

use crate::BURN_VALUE_BYTES_MAX;
use crate::count::Counts;
use crate::series::{Key, LONG_BUCKET, Moment, SHORT_BUCKET, Series, bucket_number};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// Largest number of processes whose last write a value names.
pub const WRITERS_MAX: usize = 8;

/// Series by key.
pub type Table = BTreeMap<Key, Series>;

/// Number of counts in a bucket.
const COUNTS: usize = 5;

/// Value of a host's object.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Value {
    /// Name of the service.
    pub service: Arc<str>,
    /// Last write of each process that wrote the object, newest first. A process whose answer was lost
    /// finds here whether its write took effect.
    pub writers: Vec<Writer>,
    /// Time from the start of the newest short bucket to the write, in seconds.
    pub short_age_s: u64,
    /// Time from the start of the newest long bucket to the write, in seconds.
    pub long_age_s: u64,
    /// Series of the host.
    pub series: Vec<Entry>,
}

/// Identifies one write of one process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Writer {
    /// Random number drawn when the process started.
    pub incarnation: u64,
    /// Number of the write, counted by the process.
    pub sequence: u64,
}

/// One encoded series.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Organisation; empty on routes that need no key.
    pub organisation: Arc<str>,
    /// Route.
    pub route: Arc<str>,
    /// Short buckets.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub short: Vec<Vec<u64>>,
    /// Long buckets.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub long: Vec<Vec<u64>>,
}

impl Value {
    /// Encodes a table as a value that is written at `now`.
    pub fn from_table(
        service: &Arc<str>,
        writers: Vec<Writer>,
        table: &Table,
        now: Moment,
    ) -> Value {
        let entry = |(key, series): (&Key, &Series)| Entry {
            organisation: key.organisation.clone(),
            route: key.route.clone(),
            short: series
                .short_buckets()
                .map(|(start, counts)| encode_bucket(now, start, SHORT_BUCKET, counts))
                .collect(),
            long: series
                .long_buckets()
                .map(|(start, counts)| encode_bucket(now, start, LONG_BUCKET, counts))
                .collect(),
        };
        Value {
            service: service.clone(),
            writers,
            short_age_s: now.as_secs() % SHORT_BUCKET.as_secs(),
            long_age_s: now.as_secs() % LONG_BUCKET.as_secs(),
            series: table.iter().map(entry).collect(),
        }
    }

    /// Decodes the table of a value that was written `age` before `now`. Numbers each bucket on the same
    /// time scale as `now`, rolls up old short buckets, and drops buckets past retention.
    pub fn decode_table(&self, now: Moment, age: Duration) -> Table {
        let mut table = Table::new();
        for entry in &self.series {
            let key = Key { organisation: entry.organisation.clone(), route: entry.route.clone() };
            let series: &mut Series = table.entry(key).or_default();
            for (buckets_ago, counts) in
                entry.short.iter().filter_map(|bucket| decode_bucket(bucket))
            {
                let newest_age = age + Duration::from_secs(self.short_age_s);
                if let Some(middle) = bucket_middle(now, newest_age, buckets_ago, SHORT_BUCKET) {
                    series.add_to_short(middle, counts);
                }
            }
            for (buckets_ago, counts) in
                entry.long.iter().filter_map(|bucket| decode_bucket(bucket))
            {
                let newest_age = age + Duration::from_secs(self.long_age_s);
                if let Some(middle) = bucket_middle(now, newest_age, buckets_ago, LONG_BUCKET) {
                    series.add_to_long(middle, counts);
                }
            }
            series.apply_retention(now);
        }
        table.retain(|_, series| !series.is_empty());
        table
    }
}

/// Drops detail from a table until its value has at most `bytes_max` bytes or one series is
/// left: first rolls up short buckets older than an hour, then merges the smallest series.
pub fn fit(table: &mut Table, now: Moment, bytes_max: usize) {
    if encoded_bytes(table, now) <= bytes_max {
        return;
    }
    for series in table.values_mut() {
        series.roll_up_short(now, LONG_BUCKET);
    }
    while encoded_bytes(table, now) > bytes_max && table.len() > 1 {
        merge_smallest(table);
    }
}

/// Largest encoded table, in bytes; leaves room in the value for the service's name and the writers.
pub const TABLE_BYTES_MAX: usize = BURN_VALUE_BYTES_MAX - 1_024;

/// Returns the size of a table's value, in bytes, without the service's name and the writers.
pub fn encoded_bytes(table: &Table, now: Moment) -> usize {
    let value = Value::from_table(&Arc::from(""), Vec::new(), table, now);
    serde_json::to_vec(&value).map_or(0, |json| json.len())
}

/// Merges the smaller half of the series into the one of [`Key::other`].
fn merge_smallest(table: &mut Table) {
    let mut sizes: Vec<(u64, Key)> =
        table.iter().map(|(key, series)| (series.total().all(), key.clone())).collect();
    sizes.sort();
    let mut merged = Series::default();
    for (_, key) in sizes.iter().take(sizes.len().div_ceil(2)) {
        if let Some(series) = table.remove(key) {
            merged.merge(&series);
        }
    }
    table.entry(Key::other()).or_default().merge(&merged);
}

/// Encodes the bucket of `length` that contains `moment` as the module's head describes. A bucket that
/// is newer than `now` is encoded as the newest one, with a distance of 0.
fn encode_bucket(now: Moment, moment: Moment, length: Duration, counts: Counts) -> Vec<u64> {
    let mut bucket = vec![
        bucket_number(now, length) - bucket_number(moment, length).min(bucket_number(now, length)),
    ];
    bucket.extend(counts.as_array());
    while bucket.len() > 2 && bucket.last() == Some(&0) {
        bucket.pop();
    }
    bucket
}

/// Decodes a bucket: returns how many buckets before the newest one it lies, and its counts.
/// Returns `None` for an empty array; missing counts are zero.
fn decode_bucket(bucket: &[u64]) -> Option<(u64, Counts)> {
    let (buckets_ago, given_counts) = bucket.split_first()?;
    let mut counts = [0; COUNTS];
    for (count, given) in counts.iter_mut().zip(given_counts) {
        *count = *given;
    }
    Some((*buckets_ago, Counts::from_array(counts)))
}

/// Returns the middle of the bucket that lies `buckets_ago` buckets before the newest one, at most `now`.
/// The newest bucket began `newest_age` before `now`. A stored bucket may overlap two buckets of this
/// epoch; all its counts go to the one that contains its middle. Returns `None` if the bucket began
/// before the epoch.
fn bucket_middle(
    now: Moment,
    newest_age: Duration,
    buckets_ago: u64,
    length: Duration,
) -> Option<Moment> {
    let distance = Duration::from_secs(buckets_ago.checked_mul(length.as_secs())?);
    let start = now.checked_sub(newest_age.checked_add(distance)?)?;
    Some((start + length / 2).min(now))
}

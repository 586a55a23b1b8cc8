//! Records in the store of which build began which stream, for hosts that start after all of them were killed.
//!
//! A few hosts of the fleet, the recorders, write the records: [`Recorders`] finds the one of a stream. A [`Recorder`]
//! gathers records into segments, each of which is one object of the store. A segment takes further records until it holds
//! `SEGMENT_STREAMS`, so that few records are written more than once, and its object is used again or deleted when its
//! streams must have ended. A record names its stream, so an older copy of the store lacks records but holds no wrong one.

use super::Stream;
use crate::mix::{hash, mix};
use serde::{Deserialize, Serialize};
use std::cmp::Reverse;
use std::collections::{BTreeMap, HashSet, VecDeque};
use std::sync::Arc;

/// Hosts that write records. Each makes at most one write per batch period of 250 ms, so the fleet makes at most 16 a second.
pub(super) const RECORDERS: usize = 4;
/// Distinguishes the choice of recorders from other choices by hash of a host's name.
const RECORDERS_SEED: u64 = 0x7265_636f_7264_6572;
/// Streams from which on a segment takes no further batch.
pub(super) const SEGMENT_STREAMS: usize = 256;
/// Largest number of streams in a segment: about 260 KB, while the store takes 1 MiB.
const SEGMENT_STREAMS_MAX: usize = 16_384;
/// Largest number of records that a recorder holds. Further ones are dropped.
const RECORDS_MAX: usize = 1 << 18;
/// Digits of a stream's number in a segment.
const STREAM_DIGITS: usize = 16;

/// The hosts that write records.
#[derive(Clone, Debug, Default)]
pub struct Recorders(Vec<(u64, Arc<str>)>);

impl Recorders {
    /// Creates the recorders of a fleet of `hosts`, with this host.
    pub fn new(hosts: impl IntoIterator<Item = Arc<str>>) -> Recorders {
        let mut ranked: Vec<_> = hosts.into_iter().map(|host| (hash(&host), host)).collect();
        ranked.sort_unstable_by_key(|(hash, host)| {
            (Reverse(mix(hash ^ RECORDERS_SEED)), host.clone())
        });
        ranked.truncate(RECORDERS);
        Recorders(ranked)
    }

    /// Returns the host that writes the record of a stream.
    pub fn of(&self, stream: Stream) -> Option<&Arc<str>> {
        let ranked = self.0.iter().max_by_key(|(hash, host)| (mix(hash ^ stream.0), host));
        ranked.map(|(_, host)| host)
    }
}

/// The record that a build began a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// The stream.
    pub stream: Stream,
    /// The build that began it.
    pub build: Arc<str>,
    /// When the stream must have ended, in seconds since the epoch of Unix. It is the hosts' wall clock, since the record is
    /// read by processes that start later, also on other machines.
    pub until_s: u64,
}

/// Value of the object of a segment: by build and by end in seconds since the epoch of Unix, the hexadecimal numbers of the
/// streams, without separators.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Contents {
    streams: BTreeMap<Arc<str>, BTreeMap<u64, String>>,
}

impl Contents {
    /// Returns the contents with the given records.
    fn new<'a>(records: impl IntoIterator<Item = &'a Record>) -> Contents {
        let mut contents = Contents::default();
        for record in records {
            let by_end = contents.streams.entry(record.build.clone()).or_default();
            let numbers = by_end.entry(record.until_s).or_default();
            numbers.push_str(&format!("{:016x}", record.stream.0));
        }
        contents
    }

    /// Returns the records of streams that have not ended at `now_s`. Numbers that can't be read are left out.
    pub fn records(&self, now_s: u64) -> Vec<Record> {
        let mut records = Vec::new();
        for (build, by_end) in &self.streams {
            for (until_s, numbers) in by_end.range(now_s.saturating_add(1)..) {
                let digits = numbers.as_bytes().chunks_exact(STREAM_DIGITS);
                let numbers = digits.filter_map(|digits| {
                    u64::from_str_radix(std::str::from_utf8(digits).ok()?, 16).ok()
                });
                records.extend(numbers.map(|number| Record {
                    stream: number.into(),
                    build: build.clone(),
                    until_s: *until_s,
                }));
            }
        }
        records
    }

    /// Returns the number of records.
    pub fn len(&self) -> usize {
        let numbers = self.streams.values().flat_map(BTreeMap::values);
        numbers.map(|numbers| numbers.len() / STREAM_DIGITS).sum()
    }

    /// Returns whether there is no record.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns whether all streams have ended at `now_s`.
    pub fn is_expired(&self, now_s: u64) -> bool {
        self.streams.values().flat_map(BTreeMap::keys).all(|until_s| *until_s <= now_s)
    }
}

/// A call to the store that is due.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Write the object of a segment if it has the version; 0: if it does not exist.
    Write {
        /// Number of the segment.
        segment: usize,
        /// Version on which the write depends.
        version: u64,
        /// Value to write.
        contents: Contents,
    },
    /// Delete the object of a segment if it has the version.
    Delete {
        /// Number of the segment.
        segment: usize,
        /// Version on which the deletion depends.
        version: u64,
    },
}

/// Result of a step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StepResult {
    /// The object was written and has this version.
    Written(u64),
    /// The object was deleted, or did not exist.
    Deleted,
    /// Nothing was done, since the object has another version; 0 if it is not known or there is none.
    Conflict(u64),
    /// The call failed, and may have taken effect.
    Failed,
}

/// Records that are in one object of the store.
#[derive(Clone, Debug, Default)]
struct Segment {
    records: Vec<Record>,
    /// Version of the object; 0 if it is not known to exist.
    version: u64,
    /// Whether the object may exist.
    is_stored: bool,
    /// Whether the object lacks records.
    is_outdated: bool,
}

impl Segment {
    fn is_expired(&self, now_s: u64) -> bool {
        self.records.iter().all(|record| record.until_s <= now_s)
    }
}

/// What a recorder has to write, and has written.
#[derive(Clone, Debug, Default)]
pub struct Recorder {
    /// Records that are in no segment yet.
    pending: VecDeque<Record>,
    segments: Vec<Segment>,
    /// Segment that takes the next records.
    current: usize,
    /// Stream and build of each record, so that one that is told again is not written again.
    known: HashSet<(Stream, Arc<str>)>,
    /// Epoch of the store at the last step. A store that was restored from a copy may lack all segments.
    epoch: u64,
    dropped: u64,
}

impl Recorder {
    /// Adds a record, unless it is known. Returns whether it is to be written.
    pub fn add(&mut self, record: Record) -> bool {
        if self.known.len() >= RECORDS_MAX {
            self.dropped += 1;
            return false;
        }
        if !self.known.insert((record.stream, record.build.clone())) {
            return false;
        }
        self.pending.push_back(record);
        true
    }

    /// Returns whether nothing is to be written or deleted, now or later.
    pub fn is_idle(&self) -> bool {
        self.pending.is_empty()
            && self.segments.iter().all(|segment| !segment.is_stored && !segment.is_outdated)
    }

    /// Returns the number of records that were dropped since there were too many.
    pub fn dropped(&self) -> u64 {
        self.dropped
    }

    /// Returns the call to the store that is due, at most one per batch period. `epoch` is that of the store.
    pub fn next(&mut self, now_s: u64, epoch: u64) -> Option<Step> {
        if std::mem::replace(&mut self.epoch, epoch) != epoch {
            for segment in self.segments.iter_mut().filter(|segment| segment.is_stored) {
                segment.is_outdated = true;
            }
        }
        if !self.pending.is_empty() {
            self.fill_segment(now_s);
        }
        for segment in 0..self.segments.len() {
            if self.segments[segment].is_expired(now_s) {
                self.clear(segment);
            }
        }
        let outdated = self.segments.iter().position(|segment| segment.is_outdated);
        if let Some(number) = outdated {
            let segment = &mut self.segments[number];
            segment.is_stored = true;
            let alive = segment.records.iter().filter(|record| record.until_s > now_s);
            let contents = Contents::new(alive);
            return Some(Step::Write { segment: number, version: segment.version, contents });
        }
        let number = self
            .segments
            .iter()
            .position(|segment| segment.is_stored && segment.records.is_empty())?;
        Some(Step::Delete { segment: number, version: self.segments[number].version })
    }

    /// Records the result of a step on a segment.
    pub fn record_result(&mut self, segment: usize, result: StepResult) {
        let Some(segment) = self.segments.get_mut(segment) else { return };
        match result {
            StepResult::Written(version) => {
                segment.version = version;
                segment.is_outdated = false;
            }
            StepResult::Deleted => (segment.version, segment.is_stored) = (0, false),
            StepResult::Conflict(version) => {
                segment.version = version;
                // Without records there is nothing to write, and no version by which the object could be deleted.
                segment.is_stored = version > 0 || !segment.records.is_empty();
            }
            StepResult::Failed => {}
        }
    }

    /// Moves pending records into a segment that takes them.
    fn fill_segment(&mut self, now_s: u64) {
        let is_open =
            self.segments.get(self.current).is_some_and(|s| s.records.len() < SEGMENT_STREAMS);
        if !is_open {
            let reusable = self.segments.iter().position(|segment| segment.is_expired(now_s));
            self.current = reusable.unwrap_or(self.segments.len());
            if reusable.is_some() {
                self.clear(self.current);
            } else {
                self.segments.push(Segment::default());
            }
        }
        let segment = &mut self.segments[self.current];
        let room = SEGMENT_STREAMS_MAX - segment.records.len();
        let count = room.min(self.pending.len());
        segment.records.extend(self.pending.drain(..count));
        segment.is_outdated = true;
    }

    /// Removes the records of a segment.
    fn clear(&mut self, segment: usize) {
        let segment = &mut self.segments[segment];
        segment.is_outdated = false;
        for record in std::mem::take(&mut segment.records) {
            self.forget(&record);
        }
    }

    fn forget(&mut self, record: &Record) {
        self.known.remove(&(record.stream, record.build.clone()));
    }
}

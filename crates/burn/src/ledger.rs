//! Counts outcomes on one entry host and adds them to the host's object exactly once.
//!
//! A host's object holds its counts in the platform's store. A ledger does no I/O: it returns the reads
//! and writes of the object that are due, and the caller performs them and reports their results.
//!
//! A ledger keeps the object's content apart from the counts recorded since the last write. A write is
//! conditional on the object's last known version. If its answer is lost or the version has changed,
//! the host reads the object again and finds in its list of writers whether its own write took effect.
//! A writer is identified by its process's incarnation (a random number) and the write's sequence number.
//! Each request is therefore counted once even if answers are lost, and a process that starts under
//! the same name continues its predecessor's counts.

use crate::count::{Counts, Outcome};
use crate::series::{Key, LONG_BUCKET, Moment};
use crate::value::{TABLE_BYTES_MAX, Table, Value, WRITERS_MAX, Writer, fit};
use crate::{BURN_PERIOD, RETENTION, write_period};
use chestnutrack_core::time::Instant;
use std::sync::Arc;
use std::time::Duration;

/// Largest number of series that one host counts separately; further ones are counted under
/// [`Key::other`].
pub const SERIES_MAX: usize = 4_096;

/// A conditional write of a host's object.
#[derive(Clone, Debug, PartialEq)]
pub struct Write {
    /// Version that the object must have; 0 if it must not exist.
    pub version: u64,
    /// Value to write.
    pub value: serde_json::Value,
    /// Size of the value, in bytes.
    pub bytes: usize,
}

/// An object that was read from the platform's store.
#[derive(Clone, Debug, PartialEq)]
pub struct Read {
    /// Version of the object.
    pub version: u64,
    /// Time since the last write, by the platform's clock.
    pub age: Duration,
    /// Value of the object.
    pub value: serde_json::Value,
}

/// Next action of the host.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// Nothing is due.
    Idle,
    /// Read the host's object and pass it to [`Ledger::apply_read`].
    Read,
    /// Write the host's object, then call [`Ledger::confirm_write`] or [`Ledger::mark_write_lost`].
    Write(Write),
}

/// A write whose result is not known yet.
struct Pending {
    writer: Writer,
    /// Counts that the write adds to the object.
    counts: Table,
    /// Content that the object has if the write takes effect.
    written: Table,
}

/// Counts the outcomes of requests on one entry host.
pub struct Ledger {
    service: Arc<str>,
    incarnation: u64,
    started_at: Instant,
    /// Earliest time of the next read or write.
    due_at: Instant,
    /// Number of the last write.
    sequence: u64,
    /// Last known version of the object; `None` if it has to be read first.
    version: Option<u64>,
    /// Last known content of the object.
    stored: Table,
    /// Last write of each process that wrote the object, newest first.
    writers: Vec<Writer>,
    /// Counts recorded since the last write.
    unwritten: Table,
    /// Write whose result is not known yet.
    pending: Option<Pending>,
}

impl Ledger {
    /// Creates a ledger for a process that starts at this time.
    pub fn new(service: Arc<str>, incarnation: u64, started_at: Instant) -> Ledger {
        Ledger {
            service,
            incarnation,
            started_at,
            due_at: started_at,
            sequence: 0,
            version: None,
            stored: Table::new(),
            writers: Vec::new(),
            unwritten: Table::new(),
            pending: None,
        }
    }

    /// Records the outcome of one request under its key, or under [`Key::other`] if there are already
    /// [`SERIES_MAX`] series and none of them has this key.
    pub fn record(&mut self, now: Instant, key: Key, outcome: Outcome) {
        let now_moment = self.to_moment(now);
        let is_full = self.unwritten.len() >= SERIES_MAX && !self.unwritten.contains_key(&key);
        let key = if is_full { Key::other() } else { key };
        let mut counts = Counts::default();
        counts.increment(outcome);
        self.unwritten.entry(key).or_default().add_to_short(now_moment, counts);
    }

    /// Returns the action that is due at this time. The object is read first if its version is unknown or
    /// the result of a write is still missing; the read is repeated every [`BURN_PERIOD`]
    /// until [`Ledger::apply_read`] gets its result. Otherwise a write is returned, but only if there are
    /// new counts and the period since the last write has passed. That period is [`write_period`], which
    /// grows with the size of the value, so that the bytes written per second stay bounded.
    pub fn next_step(&mut self, now: Instant) -> Step {
        if now < self.due_at {
            return Step::Idle;
        }
        // A pending write may have changed the version, so the object has to be read before the next one.
        let Some(version) = self.version.filter(|_| self.pending.is_none()) else {
            self.due_at = now + BURN_PERIOD;
            self.apply_retention(now);
            return Step::Read;
        };
        if self.unwritten.is_empty() {
            return Step::Idle;
        }
        Step::Write(self.prepare_write(now, version))
    }

    /// Returns a write of the new counts without waiting for the period, for a process that shuts
    /// down. Returns `None` if there are no new counts or the object has to be read first.
    pub fn flush(&mut self, now: Instant) -> Option<Write> {
        let version = self.version.filter(|_| self.pending.is_none())?;
        (!self.unwritten.is_empty()).then(|| self.prepare_write(now, version))
    }

    /// Records that the pending write took effect and gave the object this version.
    pub fn confirm_write(&mut self, version: u64) {
        let Some(pending) = self.pending.take() else { return };
        self.stored = pending.written;
        self.version = Some(version);
    }

    /// Records that the answer to the pending write was lost or that the object had another version.
    /// The object is then read again.
    pub fn mark_write_lost(&mut self, now: Instant) {
        self.version = None;
        self.due_at = now;
    }

    /// Applies the result of a read: the host's object, or `None` if no object exists. If a write is
    /// pending and the object's list of writers doesn't contain the write, the write did not take effect,
    /// and its counts are added to those for the next write.
    pub fn apply_read(&mut self, now: Instant, read: Option<Read>) {
        let now_moment = self.to_moment(now);
        let value = read.as_ref().and_then(|read| {
            let value = serde_json::from_value::<Value>(read.value.clone()).ok()?;
            Some((value, read.age))
        });
        let (stored, writers) = match value {
            Some((value, age)) => (value.decode_table(now_moment, age), value.writers),
            None => Default::default(),
        };
        if let Some(pending) = self.pending.take()
            && !writers.contains(&pending.writer)
        {
            merge(&mut self.unwritten, &pending.counts);
        }
        (self.stored, self.writers) = (stored, writers);
        self.version = Some(read.map_or(0, |read| read.version));
        self.due_at = now;
    }

    /// Prepares a write of the stored and the unwritten counts, on condition that the object still has
    /// this version. The write stays pending until [`Ledger::confirm_write`] or [`Ledger::apply_read`].
    fn prepare_write(&mut self, now: Instant, version: u64) -> Write {
        let now_moment = self.to_moment(now);
        self.sequence += 1;
        let counts = std::mem::take(&mut self.unwritten);
        let mut table = self.stored.clone();
        merge(&mut table, &counts);
        for series in table.values_mut() {
            series.apply_retention(now_moment);
        }
        table.retain(|_, series| !series.is_empty());
        fit(&mut table, now_moment, TABLE_BYTES_MAX);
        let writer = Writer { incarnation: self.incarnation, sequence: self.sequence };
        self.writers.retain(|other| other.incarnation != self.incarnation);
        self.writers.insert(0, writer);
        self.writers.truncate(WRITERS_MAX);
        let value = Value::from_table(&self.service, self.writers.clone(), &table, now_moment);
        let value = serde_json::to_value(value).unwrap_or_default();
        let bytes = value.to_string().len();
        self.pending = Some(Pending { writer, counts, written: table });
        self.due_at = now + write_period(bytes);
        Write { version, value, bytes }
    }

    /// Rolls up and expires unwritten counts, so that they stay small while the object can't be read.
    fn apply_retention(&mut self, now: Instant) {
        let now_moment = self.to_moment(now);
        self.unwritten.values_mut().for_each(|series| series.apply_retention(now_moment));
        self.unwritten.retain(|_, series| !series.is_empty());
    }

    /// Converts a time to a [`Moment`] of this ledger. The offset keeps the moments of stored buckets from
    /// before the start of the process from being negative.
    fn to_moment(&self, now: Instant) -> Moment {
        RETENTION + 2 * LONG_BUCKET + now.since(self.started_at)
    }
}

/// Adds the counts of one table to another.
fn merge(target: &mut Table, added: &Table) {
    for (key, series) in added {
        target.entry(key.clone()).or_default().merge(series);
    }
}

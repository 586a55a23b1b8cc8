//! What one entry host counts, and how it gets into its object exactly once.
//!
//! A host keeps what stands in its object apart from what it has counted since. A write is
//! conditional on the version that the host last saw. Where the answer is lost, or the version is
//! another, the host reads the object again: the writers named there tell whether its own write took
//! effect. So each request is counted once whatever is lost, and a process that starts
//! under the same name carries its predecessor's figures on.

use crate::count::{Counts, Outcome};
use crate::series::{Key, LONG, Moment};
use crate::value::{TABLE_BYTES_MAX, Table, Value, WRITERS_MAX, Writer, fit};
use crate::{BURN_PERIOD, RETENTION, write_period};
use chestnutrack_core::time::Instant;
use std::sync::Arc;
use std::time::Duration;

/// Most series that are counted apart on one host.
pub const SERIES_MAX: usize = 4_096;

/// A conditional write of a host's object.
#[derive(Clone, Debug, PartialEq)]
pub struct Write {
    /// Version that the object must have; 0 if it must not exist.
    pub version: u64,
    /// The value.
    pub value: serde_json::Value,
    /// Size of the value, in bytes.
    pub bytes: usize,
}

/// An object as it was read.
#[derive(Clone, Debug, PartialEq)]
pub struct Read {
    /// Version.
    pub version: u64,
    /// Age by the platform's clock.
    pub age: Duration,
    /// Value.
    pub value: serde_json::Value,
}

/// What a host does next.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// Nothing is due.
    Idle,
    /// Read the host's object; answer by [`Ledger::apply_read`].
    Read,
    /// Write it; answer by [`Ledger::confirm_write`] or [`Ledger::mark_write_lost`].
    Write(Write),
}

struct Pending {
    writer: Writer,
    /// What was counted since the last write.
    counts: Table,
    /// What the object holds if the write takes effect.
    written: Table,
}

/// What one entry host counts.
pub struct Ledger {
    service: Arc<str>,
    incarnation: u64,
    start: Instant,
    due: Instant,
    sequence: u64,
    known: Option<u64>,
    base: Table,
    writers: Vec<Writer>,
    since: Table,
    pending: Option<Pending>,
}

impl Ledger {
    /// A ledger that starts at a moment.
    pub fn new(service: Arc<str>, incarnation: u64, start: Instant) -> Ledger {
        Ledger {
            service,
            incarnation,
            start,
            due: start,
            sequence: 0,
            known: None,
            base: Table::new(),
            writers: Vec::new(),
            since: Table::new(),
            pending: None,
        }
    }

    /// Counts one request.
    pub fn record(&mut self, now: Instant, key: Key, outcome: Outcome) {
        let at = self.moment(now);
        let full = self.since.len() >= SERIES_MAX && !self.since.contains_key(&key);
        let key = if full { Key::other() } else { key };
        let mut counts = Counts::default();
        counts.increment(outcome);
        self.since.entry(key).or_default().add(at, counts);
    }

    /// What is to be done at a tick. A write is given once a period and only if something was
    /// counted; the period grows with the value, so that the bytes a second stay bounded.
    pub fn tick(&mut self, now: Instant) -> Step {
        if now < self.due {
            return Step::Idle;
        }
        let Some(version) = self.known.filter(|_| self.pending.is_none()) else {
            self.due = now + BURN_PERIOD;
            self.roll_up(now);
            return Step::Read;
        };
        if self.since.is_empty() {
            return Step::Idle;
        }
        Step::Write(self.prepare(now, version))
    }

    /// The write of what was counted, without waiting for the period; for a process that shuts
    /// down. `None` when nothing is to be written or the object has to be read first.
    pub fn flush(&mut self, now: Instant) -> Option<Write> {
        let version = self.known.filter(|_| self.pending.is_none())?;
        (!self.since.is_empty()).then(|| self.prepare(now, version))
    }

    /// The write took effect and gave the object a version.
    pub fn confirm_write(&mut self, version: u64) {
        let Some(pending) = self.pending.take() else { return };
        self.base = pending.written;
        self.known = Some(version);
    }

    /// The write's answer was lost, or the object had another version.
    pub fn mark_write_lost(&mut self, now: Instant) {
        self.known = None;
        self.due = now;
    }

    /// The object was read; `None` where it doesn't exist.
    pub fn apply_read(&mut self, now: Instant, read: Option<Read>) {
        let at = self.moment(now);
        let value = read.as_ref().and_then(|read| {
            let value = serde_json::from_value::<Value>(read.value.clone()).ok()?;
            Some((value, read.age))
        });
        let (base, writers) = match value {
            Some((value, age)) => (value.table(at, age), value.writers),
            None => Default::default(),
        };
        if let Some(pending) = self.pending.take()
            && !writers.contains(&pending.writer)
        {
            merge(&mut self.since, &pending.counts);
        }
        (self.base, self.writers) = (base, writers);
        self.known = Some(read.map_or(0, |read| read.version));
        self.due = now;
    }

    fn prepare(&mut self, now: Instant, version: u64) -> Write {
        let at = self.moment(now);
        self.sequence += 1;
        let counts = std::mem::take(&mut self.since);
        let mut table = self.base.clone();
        merge(&mut table, &counts);
        for series in table.values_mut() {
            series.roll_up(at);
        }
        table.retain(|_, series| !series.is_empty());
        fit(&mut table, at, TABLE_BYTES_MAX);
        let writer = Writer { incarnation: self.incarnation, sequence: self.sequence };
        self.writers.retain(|other| other.incarnation != self.incarnation);
        self.writers.insert(0, writer);
        self.writers.truncate(WRITERS_MAX);
        let value = Value::from_table(&self.service, self.writers.clone(), &table, at);
        let value = serde_json::to_value(value).unwrap_or_default();
        let bytes = value.to_string().len();
        self.pending = Some(Pending { writer, counts, written: table });
        self.due = now + write_period(bytes);
        Write { version, value, bytes }
    }

    /// Keeps what was counted small while the object can't be read.
    fn roll_up(&mut self, now: Instant) {
        let at = self.moment(now);
        self.since.values_mut().for_each(|series| series.roll_up(at));
        self.since.retain(|_, series| !series.is_empty());
    }

    fn moment(&self, now: Instant) -> Moment {
        RETENTION + 2 * LONG + now.since(self.start)
    }
}

fn merge(into: &mut Table, from: &Table) {
    for (key, series) in from {
        into.entry(key.clone()).or_default().merge(series);
    }
}

//! What has been debited of the spending of other hosts' processes.
//!
//! Each process is an origin of its own: a host and its incarnation. It reports a running total for each
//! organisation, with its age as the running number. A report that is not older than the last one replaces it,
//! and only the difference is debited, whatever has been lost or repeated between them. What is known of a process
//! is kept when its host becomes unreachable or is removed, so that nothing is debited again when it comes back.

use super::Spent;
use crate::cell::HOSTS_PER_CELL;
use crate::time::Instant;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

/// Time after its last report for which a process is remembered; longer than partitions and outages last. After it,
/// a process that comes back is debited no more than a window holds.
pub(super) const RETENTION: Duration = Duration::from_secs(3_600);
/// Number of processes that are remembered at most: four for each host of a cell.
pub(super) const PROCESSES_MAX: usize = 4 * HOSTS_PER_CELL;

/// What has been debited of the spending of one process.
#[derive(Clone, Debug)]
pub(super) struct Ledger {
    /// Total spending that has been debited, by organisation.
    pub(super) debited: Spent,
    /// Age of the process at its last report.
    age: Duration,
    /// When the last report was received.
    pub(super) last_report: Instant,
    /// Time since the last report for which a share was reserved for the process, and that share of each rate.
    reserved: (Duration, f64),
}

impl Ledger {
    /// Adds time for which a share of each rate was reserved.
    pub(super) fn add_reserved_time(&mut self, time: Duration, share: f64) {
        let (reserved_time, reserved_share) = self.reserved;
        let share = if reserved_time.is_zero() { share } else { share.min(reserved_share) };
        self.reserved = (reserved_time + time, share);
    }

    /// Returns the seconds of an organisation's whole rate that were reserved since the last report, and starts anew.
    pub(super) fn take_reserved_seconds(&mut self) -> f64 {
        let (time, share) = std::mem::take(&mut self.reserved);
        time.as_secs_f64() * share
    }
}

/// The ledgers of all processes that are remembered.
#[derive(Clone, Debug, Default)]
pub(super) struct Ledgers(HashMap<(Arc<str>, u64), Ledger>);

impl Ledgers {
    /// Returns the ledger of a process.
    pub(super) fn get(&self, host: &Arc<str>, incarnation: u64) -> Option<&Ledger> {
        self.0.get(&(host.clone(), incarnation))
    }

    /// Returns the ledger of a process, to be changed.
    pub(super) fn get_mut(&mut self, host: &Arc<str>, incarnation: u64) -> Option<&mut Ledger> {
        self.0.get_mut(&(host.clone(), incarnation))
    }

    /// Records that a process has reported at an age, and returns its ledger. Creates one with `debited` for a process
    /// that is not remembered. Returns `None` if a later report of the process was received before.
    pub(super) fn record(
        &mut self,
        now: Instant,
        (host, incarnation): (&Arc<str>, u64),
        age: Duration,
        debited: impl FnOnce() -> Spent,
    ) -> Option<&mut Ledger> {
        let origin = (host.clone(), incarnation);
        if !self.0.contains_key(&origin) {
            self.make_room(now);
        }
        let ledger = self.0.entry(origin).or_insert_with(|| Ledger {
            debited: debited(),
            age,
            last_report: now,
            reserved: (Duration::ZERO, 0.0),
        });
        if age < ledger.age {
            return None;
        }
        ledger.age = age;
        Some(ledger)
    }

    /// Forgets the processes whose last reports are too old, and the one with the oldest if there are too many.
    fn make_room(&mut self, now: Instant) {
        self.0.retain(|_, ledger| now.since(ledger.last_report) < RETENTION);
        if self.0.len() >= PROCESSES_MAX {
            let oldest = self.0.iter().min_by_key(|(_, ledger)| ledger.last_report);
            let oldest = oldest.map(|(origin, _)| origin.clone());
            oldest.and_then(|origin| self.0.remove(&origin));
        }
    }

    /// Returns the number of processes that are remembered.
    #[cfg(test)]
    pub(super) fn len(&self) -> usize {
        self.0.len()
    }
}

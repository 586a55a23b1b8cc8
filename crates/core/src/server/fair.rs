//! Which waiting request is next: fair between organisations by tokens granted lately, and
//! interactive requests before those that may wait.
//!
//! Each organisation has a virtual time that grows by the tokens granted to it. The organisation
//! with the lowest is next. One that has had nothing waiting starts at the time of the last grant,
//! so that idleness earns no credit.

use super::Key;
use crate::time::Instant;
use std::collections::HashMap;
use std::sync::Arc;

/// A request that waits.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Waiter {
    /// Its hold.
    pub key: Key,
    /// Organisation that it runs for.
    pub organisation: Arc<str>,
    /// Whether it may wait behind interactive requests.
    pub may_wait: bool,
    /// When it began to wait.
    pub since: Instant,
}

/// Virtual times and the run of interactive grants.
#[derive(Clone, Debug, Default)]
pub struct Scheduler {
    times: HashMap<Arc<str>, u64>,
    floor: u64,
    interactive_run: u32,
}

impl Scheduler {
    /// The waiter to be granted next, after at most `interactive_run_max` interactive ones in a row.
    pub fn next<'a>(&self, waiters: &'a [Waiter], interactive_run_max: u32) -> Option<&'a Waiter> {
        let deferrable_next = self.interactive_run >= interactive_run_max;
        let is_eligible = |waiter: &&Waiter| waiter.may_wait == deferrable_next;
        let first = waiters.iter().filter(is_eligible).min_by_key(|waiter| self.rank(waiter));
        first.or_else(|| waiters.iter().min_by_key(|waiter| self.rank(waiter)))
    }

    fn rank(&self, waiter: &Waiter) -> (u64, Instant, Key) {
        (self.time(&waiter.organisation), waiter.since, waiter.key)
    }

    fn time(&self, organisation: &Arc<str>) -> u64 {
        self.times.get(organisation).copied().unwrap_or(0).max(self.floor)
    }

    /// Gives tokens back that an organisation was charged for and did not use.
    pub fn refund(&mut self, organisation: &Arc<str>, tokens: u64) {
        if let Some(time) = self.times.get_mut(organisation) {
            *time = time.saturating_sub(tokens);
        }
    }

    /// Charges an organisation for the grant of a waiter, one of `waiters`.
    pub fn charge(&mut self, granted: &Waiter, tokens: u64, waiters: &[Waiter]) {
        let time = self.time(&granted.organisation);
        let lowest = waiters.iter().map(|waiter| self.time(&waiter.organisation)).min();
        self.floor = self.floor.max(lowest.unwrap_or(time));
        self.times.insert(granted.organisation.clone(), time.saturating_add(tokens.max(1)));
        let floor = self.floor;
        self.times.retain(|_, time| *time > floor);
        let deferrable_waits = waiters.iter().any(|waiter| waiter.may_wait);
        let overtook = !granted.may_wait && deferrable_waits;
        self.interactive_run = if overtook { self.interactive_run + 1 } else { 0 };
    }
}

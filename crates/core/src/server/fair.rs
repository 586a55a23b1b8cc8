//! Fair scheduling of waiting requests: organisations share the server by tokens granted recently,
//! and interactive requests go before those that may wait.
//!
//! Each organisation has a virtual time that advances by the tokens granted to it. The organisation
//! with the lowest virtual time is next. An organisation that had no waiting requests starts at the
//! floor, so that being idle earns no credit.

use super::Key;
use crate::time::Instant;
use std::collections::HashMap;
use std::sync::Arc;

/// A waiting request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Waiter {
    /// Hold of the request.
    pub key: Key,
    /// Organisation that the request runs for.
    pub organisation: Arc<str>,
    /// Whether the request may wait behind interactive ones.
    pub may_wait: bool,
    /// When the request began to wait.
    pub since: Instant,
}

/// Virtual times, and the number of interactive grants in a row.
#[derive(Clone, Debug, Default)]
pub struct Scheduler {
    /// Virtual times above the floor, by organisation.
    times: HashMap<Arc<str>, u64>,
    /// Lowest virtual time; organisations without an entry in `times` are at this time.
    floor: u64,
    /// Interactive grants in a row while a request that may wait was waiting.
    interactive_run: u32,
}

impl Scheduler {
    /// Returns the waiter to grant next. After `interactive_run_max` interactive grants in a row, a
    /// request that may wait goes first.
    pub fn next<'a>(&self, waiters: &'a [Waiter], interactive_run_max: u32) -> Option<&'a Waiter> {
        let deferrable_next = self.interactive_run >= interactive_run_max;
        let is_eligible = |waiter: &&Waiter| waiter.may_wait == deferrable_next;
        let first = waiters.iter().filter(is_eligible).min_by_key(|waiter| self.rank(waiter));
        first.or_else(|| waiters.iter().min_by_key(|waiter| self.rank(waiter)))
    }

    /// Returns the waiter's rank; the lowest is next. Waiters of the same virtual time go in the
    /// order in which they began to wait.
    fn rank(&self, waiter: &Waiter) -> (u64, Instant, Key) {
        (self.time(&waiter.organisation), waiter.since, waiter.key)
    }

    /// Returns an organisation's virtual time, which is at least the floor.
    fn time(&self, organisation: &Arc<str>) -> u64 {
        self.times.get(organisation).copied().unwrap_or(0).max(self.floor)
    }

    /// Credits an organisation with tokens that it was charged for but did not use.
    pub fn refund(&mut self, organisation: &Arc<str>, tokens: u64) {
        if let Some(time) = self.times.get_mut(organisation) {
            *time = time.saturating_sub(tokens);
        }
    }

    /// Charges the organisation of `granted`, which is one of `waiters`, for the grant. Raises the
    /// floor to the lowest virtual time of the waiters before the charge.
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

//! One organisation's tokens on one member: its share of rate and burst, and loans.

use crate::time::Instant;
use std::collections::VecDeque;
use std::time::Duration;

/// How long a loan may be used, from when the borrower asked, and how long its lender counts it
/// against its own capacity, from when it lent.
pub const LOAN_LEASE: Duration = Duration::from_millis(250);

/// Millionths of a token in a token.
const MICROTOKENS: u64 = 1_000_000;

/// Tokens that exist for a while outside a bucket's balance.
#[derive(Clone, Copy, Debug)]
struct Loan {
    until: Instant,
    microtokens: u64,
}

/// A share of an organisation's rate and burst. Amounts are in millionths of a token.
#[derive(Clone, Debug)]
pub(super) struct Bucket {
    rate: u64,
    burst: u64,
    divisor: Option<u32>,
    balance: u64,
    refilled_at: Instant,
    /// Lent to peers, who may not have spent it yet.
    lent: VecDeque<Loan>,
    /// Borrowed beyond the own capacity.
    borrowed: VecDeque<Loan>,
}

impl Bucket {
    /// An empty bucket.
    pub(super) fn new(now: Instant, rate: u64, burst: u64) -> Bucket {
        Bucket {
            rate,
            burst,
            divisor: None,
            balance: 0,
            refilled_at: now,
            lent: VecDeque::new(),
            borrowed: VecDeque::new(),
        }
    }

    /// Burst over the whole fleet, in tokens.
    pub(super) fn burst(&self) -> u64 {
        self.burst
    }

    /// Sets rate and burst over the whole fleet. A balance over the new capacity is cut.
    pub(super) fn set_limits(&mut self, now: Instant, rate: u64, burst: u64) {
        self.refill(now);
        self.rate = rate;
        self.burst = burst;
        self.cap_balance();
    }

    /// Rate and burst over the whole fleet, in tokens a second and tokens.
    pub(super) fn limits(&self) -> (u64, u64) {
        (self.rate, self.burst)
    }

    /// Sets by how many rate and burst are divided. A balance over the new capacity is cut.
    pub(super) fn set_divisor(&mut self, now: Instant, divisor: Option<u32>) {
        self.refill(now);
        self.divisor = divisor;
        self.cap_balance();
    }

    /// Drops every token.
    pub(super) fn clear(&mut self, now: Instant) {
        self.refill(now);
        self.balance = 0;
        self.borrowed.clear();
    }

    /// The share's rate, in tokens a second.
    pub(super) fn share_per_s(&self) -> u64 {
        self.divisor.map_or(0, |divisor| self.rate / u64::from(divisor.max(1)))
    }

    /// The share's burst, in millionths of a token.
    fn share_burst(&self) -> u64 {
        let share =
            |divisor: u32| self.burst.saturating_mul(MICROTOKENS) / u64::from(divisor.max(1));
        self.divisor.map_or(0, share)
    }

    /// Tokens that can be spent now.
    pub(super) fn available(&mut self, now: Instant) -> u64 {
        self.refill(now);
        self.total() / MICROTOKENS
    }

    /// Takes tokens if there are enough: those that lapse first.
    pub(super) fn debit(&mut self, now: Instant, tokens: u64) -> bool {
        self.refill(now);
        let mut remaining = tokens.saturating_mul(MICROTOKENS);
        if self.total() < remaining {
            return false;
        }
        for loan in &mut self.borrowed {
            let used = loan.microtokens.min(remaining);
            loan.microtokens -= used;
            remaining -= used;
        }
        self.balance -= remaining;
        true
    }

    /// Adds tokens, up to the capacity; returns how many found no room, in millionths.
    pub(super) fn add(&mut self, now: Instant, tokens: u64) -> u64 {
        self.refill(now);
        let microtokens = tokens.saturating_mul(MICROTOKENS);
        let room = self.capacity().saturating_sub(self.balance);
        self.balance += microtokens.min(room);
        microtokens - microtokens.min(room)
    }

    /// Lends up to so many whole tokens; returns how many.
    pub(super) fn lend(&mut self, now: Instant, tokens: u64) -> u64 {
        self.refill(now);
        let lent = tokens.min(self.balance / MICROTOKENS);
        if lent > 0 {
            self.balance -= lent * MICROTOKENS;
            self.lent.push_back(Loan { until: now + LOAN_LEASE, microtokens: lent * MICROTOKENS });
        }
        lent
    }

    /// Takes a loan that was asked for at `asked`: into the balance, and what is over for as long
    /// as the lender counts it.
    pub(super) fn borrow(&mut self, now: Instant, tokens: u64, requested_at: Instant) {
        let until = requested_at + LOAN_LEASE;
        if now >= until {
            return;
        }
        let excess = self.add(now, tokens);
        if excess > 0 {
            self.borrowed.push_back(Loan { until, microtokens: excess });
        }
    }

    fn total(&self) -> u64 {
        self.balance + self.borrowed.iter().map(|loan| loan.microtokens).sum::<u64>()
    }

    fn capacity(&self) -> u64 {
        let lent = self.lent.iter().map(|loan| loan.microtokens).sum();
        self.share_burst().saturating_sub(lent)
    }

    fn cap_balance(&mut self) {
        self.balance = self.balance.min(self.capacity());
    }

    fn refill(&mut self, now: Instant) {
        let elapsed = now.since(self.refilled_at).as_micros();
        let divisor = u128::from(self.divisor.unwrap_or(1).max(1));
        let rate = if self.divisor.is_some() { u128::from(self.rate) } else { 0 };
        let microtokens = u64::try_from(elapsed * rate / divisor).unwrap_or(u64::MAX);
        self.refilled_at = self.refilled_at.max(now);
        self.lent.retain(|loan| now < loan.until);
        self.borrowed.retain(|loan| now < loan.until && loan.microtokens > 0);
        let room = self.capacity().saturating_sub(self.balance);
        self.balance += microtokens.min(room);
    }
}

//! Token bucket of one organisation on one member: its share of rate and burst, and loans.

use crate::time::Instant;
use std::collections::VecDeque;
use std::time::Duration;

/// How long a borrower may use a loan, from when it sent the request, and how long the lender counts the
/// loan against its own capacity, from when it lent.
pub const LOAN_LEASE: Duration = Duration::from_millis(250);

/// Microtokens per token.
const MICROTOKENS_PER_TOKEN: u64 = 1_000_000;

/// Tokens that are outside a bucket's balance until they expire.
#[derive(Clone, Copy, Debug)]
struct Loan {
    until: Instant,
    microtokens: u64,
}

/// A share of an organisation's rate and burst. The balance and the loans are in microtokens.
#[derive(Clone, Debug)]
pub(super) struct Bucket {
    rate: u64,
    burst: u64,
    divisor: Option<u32>,
    balance: u64,
    refilled_at: Instant,
    /// Loans to peers, which may not have spent them yet.
    lent: VecDeque<Loan>,
    /// Loans from peers that exceed the bucket's capacity.
    borrowed: VecDeque<Loan>,
}

impl Bucket {
    /// Creates an empty bucket.
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

    /// Returns the burst over the whole fleet, in tokens.
    pub(super) fn burst(&self) -> u64 {
        self.burst
    }

    /// Sets rate and burst over the whole fleet, and caps the balance to the new capacity.
    pub(super) fn set_limits(&mut self, now: Instant, rate: u64, burst: u64) {
        self.refill(now);
        self.rate = rate;
        self.burst = burst;
        self.cap_balance();
    }

    /// Returns rate and burst over the whole fleet, in tokens per second and tokens.
    pub(super) fn limits(&self) -> (u64, u64) {
        (self.rate, self.burst)
    }

    /// Sets the number by which rate and burst are divided, and caps the balance to the new capacity.
    pub(super) fn set_divisor(&mut self, now: Instant, divisor: Option<u32>) {
        self.refill(now);
        self.divisor = divisor;
        self.cap_balance();
    }

    /// Drops all tokens, including borrowed ones.
    pub(super) fn clear(&mut self, now: Instant) {
        self.refill(now);
        self.balance = 0;
        self.borrowed.clear();
    }

    /// Returns the share's rate, in tokens per second.
    pub(super) fn share_per_s(&self) -> u64 {
        self.divisor.map_or(0, |divisor| self.rate / u64::from(divisor.max(1)))
    }

    /// Returns the share's burst, in microtokens.
    fn share_burst(&self) -> u64 {
        let share = |divisor: u32| {
            self.burst.saturating_mul(MICROTOKENS_PER_TOKEN) / u64::from(divisor.max(1))
        };
        self.divisor.map_or(0, share)
    }

    /// Returns the tokens that can be spent now.
    pub(super) fn available(&mut self, now: Instant) -> u64 {
        self.refill(now);
        self.total() / MICROTOKENS_PER_TOKEN
    }

    /// Debits tokens if there are enough, borrowed ones first because they expire. Returns `true` if they
    /// were debited.
    pub(super) fn debit(&mut self, now: Instant, tokens: u64) -> bool {
        self.refill(now);
        let mut remaining = tokens.saturating_mul(MICROTOKENS_PER_TOKEN);
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

    /// Adds tokens up to the capacity. Returns the microtokens that exceed it.
    pub(super) fn add(&mut self, now: Instant, tokens: u64) -> u64 {
        self.refill(now);
        let microtokens = tokens.saturating_mul(MICROTOKENS_PER_TOKEN);
        let headroom = self.capacity().saturating_sub(self.balance);
        self.balance += microtokens.min(headroom);
        microtokens - microtokens.min(headroom)
    }

    /// Lends up to `tokens` whole tokens and returns how many.
    pub(super) fn lend(&mut self, now: Instant, tokens: u64) -> u64 {
        self.refill(now);
        let lent = tokens.min(self.balance / MICROTOKENS_PER_TOKEN);
        if lent > 0 {
            self.balance -= lent * MICROTOKENS_PER_TOKEN;
            self.lent.push_back(Loan {
                until: now + LOAN_LEASE,
                microtokens: lent * MICROTOKENS_PER_TOKEN,
            });
        }
        lent
    }

    /// Adds a loan that was requested at `requested_at` to the balance. Tokens that exceed the capacity can
    /// be used until the lease ends.
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
        let headroom = self.capacity().saturating_sub(self.balance);
        self.balance += microtokens.min(headroom);
    }
}

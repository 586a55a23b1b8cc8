//! Token bucket of one organisation on one member: the member's share of the organisation's rate and burst,
//! the tokens lent to peers (other members), and the tokens borrowed from them.

use crate::time::Instant;
use std::collections::VecDeque;
use std::time::Duration;

/// How long a borrower may use a loan, from when it sent the request, and how long the lender counts the
/// loan against its own capacity, from when it lent.
pub const LOAN_LEASE: Duration = Duration::from_millis(250);

/// Microtokens per token.
const MICROTOKENS_PER_TOKEN: u64 = 1_000_000;

/// Tokens lent or borrowed that are not part of the bucket's balance.
#[derive(Clone, Copy, Debug)]
struct Loan {
    /// When the borrower can't use the tokens any more.
    expires_at: Instant,
    microtokens: u64,
}

/// A share of an organisation's rate and burst. Rates and bursts are in tokens, the balance and the loans in
/// microtokens.
#[derive(Clone, Debug)]
pub(super) struct Bucket {
    /// Rate over the whole fleet, in tokens per second.
    rate: u64,
    /// Burst over the whole fleet, in tokens.
    burst: u64,
    /// Number of members between which rate and burst are divided; `None` if this member has no share.
    divisor: Option<u32>,
    balance_microtokens: u64,
    refilled_at: Instant,
    /// Loans to peers, which may not have spent them yet. Until they expire, the bucket's capacity is
    /// reduced by them.
    lent: VecDeque<Loan>,
    /// The parts of loans from peers that exceed the bucket's capacity.
    borrowed: VecDeque<Loan>,
}

impl Bucket {
    /// Creates an empty bucket without a share of `rate`, in tokens per second, and `burst`, in tokens, both
    /// over the whole fleet.
    pub(super) fn new(now: Instant, rate: u64, burst: u64) -> Bucket {
        Bucket {
            rate,
            burst,
            divisor: None,
            balance_microtokens: 0,
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

    /// Sets the number of members that share rate and burst, and caps the balance to the new capacity.
    pub(super) fn set_divisor(&mut self, now: Instant, divisor: Option<u32>) {
        self.refill(now);
        self.divisor = divisor;
        self.cap_balance();
    }

    /// Drops all tokens, including borrowed ones.
    pub(super) fn clear(&mut self, now: Instant) {
        self.refill(now);
        self.balance_microtokens = 0;
        self.borrowed.clear();
    }

    /// Returns the share's rate, in tokens per second.
    pub(super) fn share_per_s(&self) -> u64 {
        self.divisor.map_or(0, |divisor| self.rate / u64::from(divisor.max(1)))
    }

    /// Returns the share's burst, in microtokens.
    fn share_burst_microtokens(&self) -> u64 {
        let share = |divisor: u32| {
            self.burst.saturating_mul(MICROTOKENS_PER_TOKEN) / u64::from(divisor.max(1))
        };
        self.divisor.map_or(0, share)
    }

    /// Returns the tokens that can be spent now.
    pub(super) fn available(&mut self, now: Instant) -> u64 {
        self.refill(now);
        self.spendable_microtokens() / MICROTOKENS_PER_TOKEN
    }

    /// Debits tokens if there are enough, borrowed ones first because they expire. Returns `true` if they
    /// were debited.
    pub(super) fn debit(&mut self, now: Instant, tokens: u64) -> bool {
        self.refill(now);
        let mut remaining = tokens.saturating_mul(MICROTOKENS_PER_TOKEN);
        if self.spendable_microtokens() < remaining {
            return false;
        }
        for loan in &mut self.borrowed {
            let used = loan.microtokens.min(remaining);
            loan.microtokens -= used;
            remaining -= used;
        }
        self.balance_microtokens -= remaining;
        true
    }

    /// Adds tokens up to the capacity. Returns the microtokens that exceed it.
    pub(super) fn add(&mut self, now: Instant, tokens: u64) -> u64 {
        self.refill(now);
        let microtokens = tokens.saturating_mul(MICROTOKENS_PER_TOKEN);
        let headroom = self.capacity_microtokens().saturating_sub(self.balance_microtokens);
        self.balance_microtokens += microtokens.min(headroom);
        microtokens - microtokens.min(headroom)
    }

    /// Lends up to `tokens` whole tokens of the balance to a peer and returns how many. The peer may spend
    /// them until the loan expires, so until then they reduce this bucket's capacity.
    pub(super) fn lend(&mut self, now: Instant, tokens: u64) -> u64 {
        self.refill(now);
        let lent = tokens.min(self.balance_microtokens / MICROTOKENS_PER_TOKEN);
        if lent > 0 {
            self.balance_microtokens -= lent * MICROTOKENS_PER_TOKEN;
            self.lent.push_back(Loan {
                expires_at: now + LOAN_LEASE,
                microtokens: lent * MICROTOKENS_PER_TOKEN,
            });
        }
        lent
    }

    /// Adds a loan that was requested at `requested_at` to the balance. Tokens that exceed the capacity can
    /// be used until the lease ends. A loan that arrives after its lease is ignored.
    pub(super) fn borrow(&mut self, now: Instant, tokens: u64, requested_at: Instant) {
        let expires_at = requested_at + LOAN_LEASE;
        if now >= expires_at {
            return;
        }
        let excess = self.add(now, tokens);
        if excess > 0 {
            self.borrowed.push_back(Loan { expires_at, microtokens: excess });
        }
    }

    /// Returns the balance and the borrowed tokens beyond it, in microtokens.
    fn spendable_microtokens(&self) -> u64 {
        self.balance_microtokens + self.borrowed.iter().map(|loan| loan.microtokens).sum::<u64>()
    }

    /// Returns the most microtokens that the balance may hold: the share's burst without the tokens lent.
    fn capacity_microtokens(&self) -> u64 {
        let lent = self.lent.iter().map(|loan| loan.microtokens).sum();
        self.share_burst_microtokens().saturating_sub(lent)
    }

    fn cap_balance(&mut self) {
        self.balance_microtokens = self.balance_microtokens.min(self.capacity_microtokens());
    }

    /// Drops expired loans, and adds the tokens that have accrued since the last refill, up to the capacity.
    /// Without a share, none accrue.
    fn refill(&mut self, now: Instant) {
        let elapsed = now.since(self.refilled_at).as_micros();
        let divisor = u128::from(self.divisor.unwrap_or(1).max(1));
        let rate = if self.divisor.is_some() { u128::from(self.rate) } else { 0 };
        let microtokens = u64::try_from(elapsed * rate / divisor).unwrap_or(u64::MAX);
        self.refilled_at = self.refilled_at.max(now);
        self.lent.retain(|loan| now < loan.expires_at);
        self.borrowed.retain(|loan| now < loan.expires_at && loan.microtokens > 0);
        let headroom = self.capacity_microtokens().saturating_sub(self.balance_microtokens);
        self.balance_microtokens += microtokens.min(headroom);
    }
}

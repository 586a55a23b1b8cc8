//! Fleet-wide rate limits: equal shares, borrowing between members, and requests queued for tokens.
//!
//! Every member holds an equal share of each organisation's rate and burst. A member with too few tokens
//! borrows from peers, which debit their own shares before they lend. So no token exists twice, whichever
//! messages are lost.
//!
//! A member is current while all peers that it depends on vouch for it; see [`crate::member`]. Only a
//! current member admits requests and lends.

mod bucket;
mod estimate;
#[cfg(test)]
mod tests;

pub use bucket::LOAN_LEASE;

use crate::time::Instant;
use bucket::Bucket;
use estimate::{Estimates, Share};
use slotmap::{SlotMap, new_key_type};
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

/// Longest time that requests are queued while the member isn't current.
pub const NOT_CURRENT_WAIT: Duration = Duration::from_secs(1);
/// Retry delay for requests refused by a member that isn't current, in milliseconds.
pub const NOT_CURRENT_RETRY_MS: u64 = 1_000;
/// Most requests of one organisation that may be queued for tokens on one member.
pub const QUEUE_MAX: usize = 4_096;

new_key_type! {
    /// Identifies a request that is queued for tokens.
    pub struct WaiterKey;
}

/// Why a request was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// The organisation's tokens are spent on the whole fleet, as far as this member knows.
    OverRate,
    /// The request is larger than the organisation's burst and can never be admitted.
    OverBurst,
    /// The document in force doesn't name the organisation.
    Unknown,
    /// This member isn't current.
    NotCurrent,
    /// Too many requests of the organisation are queued already.
    QueueFull,
}

/// A request refused because it can't get its tokens in time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Reason.
    pub cause: Cause,
    /// Retry delay in milliseconds; 0 if a retry is pointless.
    pub retry_after_ms: u64,
}

/// Result of a debit that was not refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Debit {
    /// The tokens are debited.
    Granted,
    /// The request is queued; an [`Effect`] will grant or refuse it.
    Queued(WaiterKey),
}

/// An action that the caller must carry out, or an event that it may count.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Admit a queued request: its tokens are debited.
    Grant(WaiterKey),
    /// Refuse a queued request.
    Refuse(WaiterKey, Refusal),
    /// Request a loan of tokens from a peer.
    Borrow {
        /// The peer's name.
        peer: Arc<str>,
        /// Number of the loan request.
        request_id: u64,
        /// Organisation.
        organisation: Arc<str>,
        /// Tokens to borrow.
        tokens: u64,
    },
    /// A requested loan has not arrived in time and is considered lost.
    LoanLost {
        /// The peer's name.
        peer: Arc<str>,
    },
}

/// An organisation's limits, as stated in the document.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Quota {
    /// Name of the organisation.
    pub name: Arc<str>,
    /// Rate over the whole fleet, in tokens per second.
    pub rate: u64,
    /// Burst over the whole fleet, in tokens.
    pub burst: u64,
}

/// An organisation's state on this member, for operators.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Status {
    /// Name of the organisation.
    pub name: Arc<str>,
    /// Tokens that can be spent on this member now.
    pub available: u64,
    /// Rate over the whole fleet that is in force on this member, in tokens per second.
    pub rate: u64,
    /// Burst over the whole fleet that is in force on this member, in tokens.
    pub burst: u64,
    /// Number of requests queued for tokens.
    pub waiting: usize,
}

/// The parts of a member's state that its limits depend on.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct MemberState {
    /// Number by which rates and bursts are divided; `None` before the member has a share.
    pub divisor: Option<u32>,
    /// Whether the member is current, so that it may admit requests and lend.
    pub current: bool,
    /// Peers that may lend.
    pub peers: Vec<Arc<str>>,
    /// How many times the member has joined the table. Tokens from before the last join are void.
    pub join_count: u64,
}

#[derive(Clone, Debug)]
struct Waiter {
    organisation: Arc<str>,
    tokens: u64,
    deadline: Instant,
}

#[derive(Clone, Debug)]
struct LoanRequest {
    peer: Arc<str>,
    organisation: Arc<str>,
    tokens: u64,
    sent: Instant,
}

#[derive(Clone, Debug)]
struct Organisation {
    bucket: Bucket,
    queue: VecDeque<WaiterKey>,
    queued_tokens: u64,
    estimates: Estimates,
}

/// All organisations' shares on one member.
#[derive(Clone, Debug)]
pub struct Limits {
    organisations: BTreeMap<Arc<str>, Organisation>,
    waiters: SlotMap<WaiterKey, Waiter>,
    loan_requests: BTreeMap<u64, LoanRequest>,
    next_request_id: u64,
    member_state: MemberState,
    not_current_since: Option<Instant>,
    borrows: bool,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            organisations: BTreeMap::new(),
            waiters: SlotMap::with_key(),
            loan_requests: BTreeMap::new(),
            next_request_id: 1,
            member_state: MemberState::default(),
            not_current_since: None,
            borrows: true,
        }
    }
}

impl Limits {
    /// Creates the limits of a member. One that doesn't borrow serves for comparison.
    pub fn new(borrows: bool) -> Limits {
        Limits { borrows, ..Limits::default() }
    }

    /// Applies the quotas of the document in force.
    ///
    /// Until every member is known to have the document (`settled`), an organisation whose quota changed
    /// has the lower of its old and new rate and of its old and new burst.
    pub fn configure(&mut self, now: Instant, quotas: &[Quota], settled: bool) {
        let named = |name: &Arc<str>| quotas.iter().any(|quota| quota.name == *name);
        let gone: Vec<_> = self.organisations.keys().filter(|name| !named(name)).cloned().collect();
        for name in gone {
            self.organisations.remove(&name);
        }
        for quota in quotas {
            let divisor = self.member_state.divisor;
            let organisation = self.organisations.entry(quota.name.clone()).or_insert_with(|| {
                let mut bucket = Bucket::new(now, quota.rate, quota.burst);
                bucket.set_divisor(now, divisor);
                let (queue, estimates) = (VecDeque::new(), Estimates::default());
                Organisation { bucket, queue, queued_tokens: 0, estimates }
            });
            let (rate, burst) = organisation.bucket.limits();
            let (rate, burst) = match settled {
                true => (quota.rate, quota.burst),
                false => (quota.rate.min(rate), quota.burst.min(burst)),
            };
            organisation.bucket.set_limits(now, rate, burst);
            organisation.set_peers(now, &self.member_state.peers);
        }
    }

    /// Applies the member's present state. Tokens are void after a new join, and balances are
    /// capped to the new shares.
    pub fn set_member_state(&mut self, now: Instant, member_state: MemberState) {
        self.not_current_since =
            if member_state.current { None } else { self.not_current_since.or(Some(now)) };
        if member_state == self.member_state {
            return;
        }
        for organisation in self.organisations.values_mut() {
            if member_state.join_count != self.member_state.join_count {
                organisation.bucket.clear(now);
            }
            organisation.bucket.set_divisor(now, member_state.divisor);
            organisation.set_peers(now, &member_state.peers);
        }
        self.member_state = member_state;
    }

    /// Debits tokens, or queues the request for at most `within`.
    ///
    /// # Errors
    ///
    /// Returns a [`Refusal`] if the request can't get its tokens in time, as far as this member can tell.
    pub fn debit(
        &mut self,
        now: Instant,
        name: &Arc<str>,
        tokens: u64,
        within: Duration,
    ) -> Result<Debit, Refusal> {
        let organisation = self.organisations.get_mut(name).ok_or(Refusal::UNKNOWN)?;
        if tokens > organisation.bucket.burst() {
            return Err(Refusal::OVER_BURST);
        }
        if self
            .not_current_since
            .is_some_and(|not_current_since| now.since(not_current_since) >= NOT_CURRENT_WAIT)
        {
            return Err(Refusal::NOT_CURRENT);
        }
        if self.member_state.current
            && organisation.queue.is_empty()
            && organisation.bucket.debit(now, tokens)
        {
            return Ok(Debit::Granted);
        }
        if organisation.queue.len() >= QUEUE_MAX {
            let retry_after_ms = organisation.wait_ms(now, 0, self.borrows);
            return Err(Refusal { cause: Cause::QueueFull, retry_after_ms });
        }
        let wait_ms = organisation.wait_ms(now, tokens, self.borrows);
        if self.member_state.current && u128::from(wait_ms) > within.as_millis() {
            return Err(Refusal::over_rate(wait_ms));
        }
        let waiter = Waiter { organisation: name.clone(), tokens, deadline: now + within };
        let key = self.waiters.insert(waiter);
        organisation.queue.push_back(key);
        organisation.queued_tokens += tokens;
        Ok(Debit::Queued(key))
    }

    /// Removes a request from the queue.
    pub fn cancel(&mut self, key: WaiterKey) {
        let Some(waiter) = self.waiters.remove(key) else {
            return;
        };
        if let Some(organisation) = self.organisations.get_mut(&waiter.organisation) {
            organisation.queue.retain(|queued| *queued != key);
            organisation.queued_tokens -= waiter.tokens;
        }
    }

    /// Refunds tokens that were debited and not used.
    pub fn refund(&mut self, now: Instant, name: &str, tokens: u64) {
        if let Some(organisation) = self.organisations.get_mut(name) {
            organisation.bucket.add(now, tokens);
        }
    }

    /// Lends tokens to a peer and returns how many. Lends none while requests are queued here.
    pub fn lend(&mut self, now: Instant, name: &str, tokens: u64) -> u64 {
        let Some(organisation) = self.organisations.get_mut(name) else {
            return 0;
        };
        if !self.member_state.current || !organisation.queue.is_empty() {
            return 0;
        }
        organisation.bucket.lend(now, tokens)
    }

    /// Records the tokens that a peer lent in answer to a loan request. Returns `true` if the answer
    /// arrived in time.
    pub fn record_loan(&mut self, now: Instant, request_id: u64, tokens: u64) -> bool {
        let Some(request) = self.loan_requests.remove(&request_id) else {
            return false;
        };
        let Some(organisation) = self.organisations.get_mut(&request.organisation) else {
            return false;
        };
        if tokens < request.tokens {
            organisation.estimates.record_shortfall(now, &request.peer);
        }
        organisation.bucket.borrow(now, tokens.min(request.tokens), request.sent);
        now < request.sent + LOAN_LEASE
    }

    /// Grants queued requests for which there are tokens, refuses those past their deadlines, and borrows.
    pub fn run(&mut self, now: Instant) -> Vec<Effect> {
        let mut effects = Vec::new();
        self.drop_lost_requests(now, &mut effects);
        self.refuse_overdue(now, &mut effects);
        if self.member_state.current {
            self.grant(now, &mut effects);
            self.borrow(now, &mut effects);
        }
        effects
    }

    /// Returns every organisation's state.
    pub fn statuses(&mut self, now: Instant) -> Vec<Status> {
        let status = |(name, organisation): (&Arc<str>, &mut Organisation)| {
            let (rate, burst) = organisation.bucket.limits();
            let available = organisation.bucket.available(now);
            let waiting = organisation.queue.len();
            Status { name: name.clone(), available, rate, burst, waiting }
        };
        self.organisations.iter_mut().map(status).collect()
    }

    fn drop_lost_requests(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        while let Some(entry) = self.loan_requests.first_entry() {
            if now < entry.get().sent + LOAN_LEASE {
                return;
            }
            let request = entry.remove();
            if let Some(organisation) = self.organisations.get_mut(&request.organisation) {
                organisation.estimates.record_shortfall(now, &request.peer);
            }
            effects.push(Effect::LoanLost { peer: request.peer });
        }
    }

    fn refuse_overdue(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        let wait_expired = self
            .not_current_since
            .is_some_and(|not_current_since| now.since(not_current_since) >= NOT_CURRENT_WAIT);
        let is_overdue = |waiter: &Waiter| {
            wait_expired
                || now >= waiter.deadline
                || !self.organisations.contains_key(&waiter.organisation)
        };
        let overdue: Vec<_> = self
            .waiters
            .iter()
            .filter(|(_, waiter)| is_overdue(waiter))
            .map(|(key, _)| key)
            .collect();
        for key in overdue {
            let refusal = self.refusal(now, key);
            self.cancel(key);
            effects.push(Effect::Refuse(key, refusal));
        }
    }

    fn refusal(&mut self, now: Instant, key: WaiterKey) -> Refusal {
        let Some(waiter) = self.waiters.get(key) else {
            return Refusal::UNKNOWN;
        };
        let Some(organisation) = self.organisations.get_mut(&waiter.organisation) else {
            return Refusal::UNKNOWN;
        };
        if !self.member_state.current {
            return Refusal::NOT_CURRENT;
        }
        Refusal::over_rate(organisation.wait_ms(now, 0, self.borrows).max(1))
    }

    fn grant(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        for organisation in self.organisations.values_mut() {
            while let Some(&key) = organisation.queue.front() {
                let Some(waiter) = self.waiters.get(key) else {
                    organisation.queue.pop_front();
                    continue;
                };
                if !organisation.bucket.debit(now, waiter.tokens) {
                    break;
                }
                organisation.queue.pop_front();
                organisation.queued_tokens -= waiter.tokens;
                self.waiters.remove(key);
                effects.push(Effect::Grant(key));
            }
        }
    }

    fn borrow(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        if !self.borrows {
            return;
        }
        for (name, organisation) in &mut self.organisations {
            if organisation.queue.is_empty() {
                continue;
            }
            let requested =
                self.loan_requests.values().filter(|request| request.organisation == *name);
            let requested: u64 = requested.map(|request| request.tokens).sum();
            let available = organisation.bucket.available(now);
            let mut shortfall = organisation.queued_tokens.saturating_sub(available + requested);
            let share = organisation.share();
            for (peer, estimated) in organisation.estimates.lenders(now, share) {
                if shortfall == 0 {
                    break;
                }
                let tokens = shortfall.min(estimated);
                shortfall -= tokens;
                organisation.estimates.record_request(now, &peer, tokens, share);
                let request_id = self.next_request_id;
                self.next_request_id += 1;
                let organisation = name.clone();
                let request = LoanRequest { peer: peer.clone(), organisation, tokens, sent: now };
                self.loan_requests.insert(request_id, request);
                effects.push(Effect::Borrow {
                    peer,
                    request_id,
                    organisation: name.clone(),
                    tokens,
                });
            }
        }
    }
}

impl Organisation {
    fn set_peers(&mut self, now: Instant, peers: &[Arc<str>]) {
        let share = self.share();
        self.estimates.set_peers(now, peers, share);
    }

    /// Returns a member's share, estimated to be the same on every member.
    fn share(&self) -> Share {
        let (rate, burst) = self.bucket.limits();
        let members = self.estimates.count() + 1;
        Share { per_s: rate / members, burst: burst / members }
    }

    /// Returns the time in milliseconds until `tokens` can be debited after all queued requests.
    fn wait_ms(&mut self, now: Instant, tokens: u64, borrows: bool) -> u64 {
        let share = self.share();
        let mut available = self.bucket.available(now);
        let mut per_s = self.bucket.share_per_s();
        if borrows {
            let lenders = self.estimates.lenders(now, share);
            available += lenders.iter().map(|(_, tokens)| tokens).sum::<u64>();
            per_s += share.per_s * self.estimates.available_lender_count(now);
        }
        let shortfall = (self.queued_tokens + tokens).saturating_sub(available);
        if shortfall == 0 {
            return 0;
        }
        let per_s = per_s.max(1);
        shortfall.saturating_mul(1_000).div_ceil(per_s)
    }
}

impl Refusal {
    const UNKNOWN: Refusal = Refusal { cause: Cause::Unknown, retry_after_ms: 0 };
    const OVER_BURST: Refusal = Refusal { cause: Cause::OverBurst, retry_after_ms: 0 };
    const NOT_CURRENT: Refusal =
        Refusal { cause: Cause::NotCurrent, retry_after_ms: NOT_CURRENT_RETRY_MS };

    fn over_rate(retry_after_ms: u64) -> Refusal {
        Refusal { cause: Cause::OverRate, retry_after_ms }
    }
}

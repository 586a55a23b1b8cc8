//! Limits over the fleet: shares, borrowing, and requests that wait for tokens.
//!
//! Every member holds an equal share of each organisation's rate and burst. One that is short asks
//! peers for tokens; they debit their own shares first. So whatever is lost, no token exists twice.

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

/// How long requests wait for a member that is not current to become so.
pub const NOT_CURRENT_WAIT: Duration = Duration::from_secs(1);
/// When to come back to a member that is not current.
pub const NOT_CURRENT_RETRY_MS: u64 = 1_000;
/// Requests of one organisation that may wait for tokens on one member.
pub const QUEUE_MAX: usize = 4_096;

new_key_type! {
    /// A request that waits for tokens.
    pub struct WaiterKey;
}

/// Why tokens can't be had.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// The organisation's tokens are spent, over the fleet as far as this member knows.
    OverRate,
    /// The request is larger than the organisation's burst: it never can be admitted.
    OverBurst,
    /// The document in force doesn't name the organisation.
    Unknown,
    /// This member is not current.
    NotCurrent,
    /// Too many requests of the organisation wait already.
    QueueFull,
}

/// Tokens could not be had in time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Why.
    pub cause: Cause,
    /// When to come back, in milliseconds; 0 where that is never.
    pub retry_after_ms: u64,
}

/// What became of a debit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Debit {
    /// The tokens are debited.
    Granted,
    /// The request waits; an [`Effect`] tells its end.
    Queued(WaiterKey),
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Tokens were debited for a request that waited.
    Grant(WaiterKey),
    /// A request that waited is refused.
    Refuse(WaiterKey, Refusal),
    /// Ask a peer for tokens.
    Borrow {
        /// The peer's name.
        peer: Arc<str>,
        /// Number of the ask.
        request_id: u64,
        /// Organisation.
        organisation: Arc<str>,
        /// Tokens wanted.
        tokens: u64,
    },
    /// A loan that was asked for has not come and is taken for lost.
    LoanLost {
        /// The peer's name.
        peer: Arc<str>,
    },
}

/// An organisation's limits, as the document states them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Quota {
    /// Name.
    pub name: Arc<str>,
    /// Rate over the whole fleet, in tokens a second.
    pub rate: u64,
    /// Burst over the whole fleet, in tokens.
    pub burst: u64,
}

/// An organisation's state on this member, for operators.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Status {
    /// Name.
    pub name: Arc<str>,
    /// Tokens that can be spent here now.
    pub available: u64,
    /// Rate over the whole fleet that is in force here, in tokens a second.
    pub rate: u64,
    /// Burst over the whole fleet that is in force here, in tokens.
    pub burst: u64,
    /// Requests that wait for tokens.
    pub waiting: usize,
}

/// How a member stands, as far as limits go.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct MemberState {
    /// By how many rates and bursts are divided; absent before the member has a share.
    pub divisor: Option<u32>,
    /// Whether it may admit requests and lend.
    pub current: bool,
    /// Peers that may lend.
    pub peers: Vec<Arc<str>>,
    /// How often it has come into the table; tokens of an earlier time are void.
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
    queued: u64,
    estimates: Estimates,
}

/// Every organisation's share on one member.
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
    /// Limits of a member that borrows or, for comparison, one that doesn't.
    pub fn new(borrows: bool) -> Limits {
        Limits { borrows, ..Limits::default() }
    }

    /// Takes the terms of the document in force.
    ///
    /// Until every member is seen with it (`settled`), an organisation whose terms changed has the
    /// lower of its old and new rate and burst.
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
                Organisation { bucket, queue, queued: 0, estimates }
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

    /// Takes how the member stands now.
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

    /// Debits tokens, or queues the request for them for as long as `within`.
    ///
    /// # Errors
    ///
    /// When the tokens can't be had in time, as far as this member can tell.
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
        organisation.queued += tokens;
        Ok(Debit::Queued(key))
    }

    /// Forgets a request that does not wait any more.
    pub fn cancel(&mut self, key: WaiterKey) {
        let Some(waiter) = self.waiters.remove(key) else {
            return;
        };
        if let Some(organisation) = self.organisations.get_mut(&waiter.organisation) {
            organisation.queue.retain(|queued| *queued != key);
            organisation.queued -= waiter.tokens;
        }
    }

    /// Hands back tokens that were debited and not used.
    pub fn refund(&mut self, now: Instant, name: &str, tokens: u64) {
        if let Some(organisation) = self.organisations.get_mut(name) {
            organisation.bucket.add(now, tokens);
        }
    }

    /// Lends tokens to a peer, unless requests wait for them here; returns how many.
    pub fn lend(&mut self, now: Instant, name: &str, tokens: u64) -> u64 {
        let Some(organisation) = self.organisations.get_mut(name) else {
            return 0;
        };
        if !self.member_state.current || !organisation.queue.is_empty() {
            return 0;
        }
        organisation.bucket.lend(now, tokens)
    }

    /// Takes a peer's answer to an ask; says whether it was still waited for.
    pub fn record_loan(&mut self, now: Instant, number: u64, tokens: u64) -> bool {
        let Some(request) = self.loan_requests.remove(&number) else {
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

    /// Grants what can be granted, refuses what has waited too long, and borrows.
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

    /// Every organisation's state.
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
        let overdue = |waiter: &Waiter| {
            wait_expired
                || now >= waiter.deadline
                || !self.organisations.contains_key(&waiter.organisation)
        };
        let over: Vec<_> =
            self.waiters.iter().filter(|(_, waiter)| overdue(waiter)).map(|(key, _)| key).collect();
        for key in over {
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
                organisation.queued -= waiter.tokens;
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
            let mut shortfall = organisation.queued.saturating_sub(available + requested);
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
                let sent = LoanRequest { peer: peer.clone(), organisation, tokens, sent: now };
                self.loan_requests.insert(request_id, sent);
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

    /// A member's share, taken to be the same on each.
    fn share(&self) -> Share {
        let (rate, burst) = self.bucket.limits();
        let members = self.estimates.count() + 1;
        Share { per_s: rate / members, burst: burst / members }
    }

    /// Time until so many more tokens than those waited for can be had, in milliseconds.
    fn wait_ms(&mut self, now: Instant, tokens: u64, borrows: bool) -> u64 {
        let share = self.share();
        let mut here = self.bucket.available(now);
        let mut per_s = self.bucket.share_per_s();
        if borrows {
            let lenders = self.estimates.lenders(now, share);
            here += lenders.iter().map(|(_, tokens)| tokens).sum::<u64>();
            per_s += share.per_s * self.estimates.available_lender_count(now);
        }
        let shortfall = (self.queued + tokens).saturating_sub(here);
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

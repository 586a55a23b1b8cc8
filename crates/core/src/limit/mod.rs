//! Fleet-wide rate limits: equal shares, borrowing between members, and requests queued for tokens.
//!
//! A request costs tokens of the organisation that sends it. Every member (a process listed in the
//! table of members) holds an equal share of each organisation's rate and burst. A member with too few
//! tokens borrows from peers (the other members), which debit their own shares before they lend. So no
//! token exists twice, whichever messages are lost.
//!
//! A member is current while all peers that it depends on vouch for it, which means that they confirm
//! that their tables list it; see [`crate::member`]. Only a current member admits requests and lends.
//!
//! The document is the service's configuration, which states the organisations' quotas.

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

/// Time for which requests are queued after the member has stopped being current. Then they are refused.
pub const NOT_CURRENT_WAIT: Duration = Duration::from_secs(1);
/// Retry delay for requests refused by a member that isn't current, in milliseconds.
pub const NOT_CURRENT_RETRY_MS: u64 = 1_000;
/// Maximum number of requests of one organisation that may be queued for tokens on one member.
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
    /// Number of members between which rates and bursts are divided; `None` before the member has a
    /// share.
    pub divisor: Option<u32>,
    /// Whether the member is current, so that it may admit requests and lend.
    pub current: bool,
    /// Peers that may lend.
    pub peers: Vec<Arc<str>>,
    /// How many times the member has joined the table. Tokens from before the last join can't be spent.
    pub join_count: u64,
}

/// A request that is queued for tokens.
#[derive(Clone, Debug)]
struct Waiter {
    organisation: Arc<str>,
    tokens: u64,
    deadline: Instant,
}

/// A request to a peer for a loan, which has not been answered.
#[derive(Clone, Debug)]
struct LoanRequest {
    peer: Arc<str>,
    organisation: Arc<str>,
    tokens: u64,
    sent_at: Instant,
}

/// One organisation's share on this member, and its queued requests.
#[derive(Clone, Debug)]
struct Organisation {
    bucket: Bucket,
    queue: VecDeque<WaiterKey>,
    /// Tokens that the queued requests need in total.
    queued_tokens: u64,
    /// Estimates of the peers' balances for this organisation.
    estimates: Estimates,
}

/// All organisations' shares on one member.
#[derive(Clone, Debug)]
pub struct Limits {
    organisations: BTreeMap<Arc<str>, Organisation>,
    waiters: SlotMap<WaiterKey, Waiter>,
    /// Unanswered loan requests by number, so that the oldest is the first.
    loan_requests: BTreeMap<u64, LoanRequest>,
    next_request_id: u64,
    member_state: MemberState,
    /// When the member stopped being current; `None` while it is current.
    not_current_since: Option<Instant>,
    /// Whether this member borrows from peers.
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
    /// Creates the limits of a member. A member that doesn't borrow is used only for comparison.
    pub fn new(borrows: bool) -> Limits {
        Limits { borrows, ..Limits::default() }
    }

    /// Applies the quotas of the document in force.
    ///
    /// `settled` tells whether every member is known to have the document. Until then, an organisation
    /// whose quota changed has the lower of its old and new rate and of its old and new burst.
    pub fn configure(&mut self, now: Instant, quotas: &[Quota], settled: bool) {
        let is_configured = |name: &Arc<str>| quotas.iter().any(|quota| quota.name == *name);
        let removed_names: Vec<_> =
            self.organisations.keys().filter(|name| !is_configured(name)).cloned().collect();
        for name in removed_names {
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

    /// Applies a change of the member's state. If the member has joined again, its tokens are dropped. A new
    /// divisor changes its shares; a balance that exceeds the new share is capped to it.
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

    /// Debits tokens, or queues the request for at most `max_wait`.
    ///
    /// # Errors
    ///
    /// Returns a [`Refusal`] if the organisation is unknown, the request is larger than the burst, the queue
    /// is full, the member has not been current for [`NOT_CURRENT_WAIT`], or the expected wait for the
    /// tokens exceeds `max_wait`.
    pub fn debit(
        &mut self,
        now: Instant,
        organisation_name: &Arc<str>,
        tokens: u64,
        max_wait: Duration,
    ) -> Result<Debit, Refusal> {
        let organisation = self.organisations.get_mut(organisation_name).ok_or(Refusal::UNKNOWN)?;
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
        if self.member_state.current && u128::from(wait_ms) > max_wait.as_millis() {
            return Err(Refusal::over_rate(wait_ms));
        }
        let waiter =
            Waiter { organisation: organisation_name.clone(), tokens, deadline: now + max_wait };
        let key = self.waiters.insert(waiter);
        organisation.queue.push_back(key);
        organisation.queued_tokens += tokens;
        Ok(Debit::Queued(key))
    }

    /// Removes a request from the queue. Does nothing if the request isn't queued any more.
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
    pub fn refund(&mut self, now: Instant, organisation_name: &str, tokens: u64) {
        if let Some(organisation) = self.organisations.get_mut(organisation_name) {
            organisation.bucket.add(now, tokens);
        }
    }

    /// Lends up to `tokens` tokens to a peer and returns how many. Lends none while this member isn't
    /// current or has requests of the organisation in its queue.
    pub fn lend(&mut self, now: Instant, organisation_name: &str, tokens: u64) -> u64 {
        let Some(organisation) = self.organisations.get_mut(organisation_name) else {
            return 0;
        };
        if !self.member_state.current || !organisation.queue.is_empty() {
            return 0;
        }
        organisation.bucket.lend(now, tokens)
    }

    /// Records the tokens that a peer lent in answer to a loan request. Returns `true` if the answer
    /// arrived before the loan's lease ended; otherwise the loan is not used.
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
        organisation.bucket.borrow(now, tokens.min(request.tokens), request.sent_at);
        now < request.sent_at + LOAN_LEASE
    }

    /// Drops loan requests whose answers are overdue and refuses queued requests past their deadlines.
    /// If the member is current, also grants queued requests for which there are tokens, and requests loans
    /// for the others.
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

    /// Removes loan requests that have not been answered within [`LOAN_LEASE`]. Each counts as a shortfall
    /// of its peer.
    fn drop_lost_requests(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        while let Some(entry) = self.loan_requests.first_entry() {
            if now < entry.get().sent_at + LOAN_LEASE {
                return;
            }
            let request = entry.remove();
            if let Some(organisation) = self.organisations.get_mut(&request.organisation) {
                organisation.estimates.record_shortfall(now, &request.peer);
            }
            effects.push(Effect::LoanLost { peer: request.peer });
        }
    }

    /// Refuses queued requests that are past their deadlines, that belong to organisations without a quota,
    /// or, once the member has not been current for [`NOT_CURRENT_WAIT`], all of them.
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

    /// Returns the refusal for a queued request that can't wait any longer. It must still be in the queue:
    /// the retry delay is the time until all queued requests can be granted, its own tokens included. The
    /// delay is at least 1 ms, since 0 means that a retry is pointless.
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

    /// Debits the tokens of queued requests in the order of each queue, until the next request needs more
    /// tokens than are available.
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

    /// Requests loans for each organisation with queued requests. They cover the tokens that its queue needs
    /// beyond those available and those requested already, and go first to the peers estimated to have the
    /// most tokens.
    fn borrow(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        if !self.borrows {
            return;
        }
        for (name, organisation) in &mut self.organisations {
            if organisation.queue.is_empty() {
                continue;
            }
            let pending_requests =
                self.loan_requests.values().filter(|request| request.organisation == *name);
            let requested_tokens: u64 = pending_requests.map(|request| request.tokens).sum();
            let available = organisation.bucket.available(now);
            let mut shortfall =
                organisation.queued_tokens.saturating_sub(available + requested_tokens);
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
                let request =
                    LoanRequest { peer: peer.clone(), organisation, tokens, sent_at: now };
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
    /// Sets the peers whose balances are estimated.
    fn set_peers(&mut self, now: Instant, peers: &[Arc<str>]) {
        let share = self.share();
        self.estimates.set_peers(now, peers, share);
    }

    /// Returns the share of a member, estimated as an equal part for this member and each of its peers.
    fn share(&self) -> Share {
        let (rate, burst) = self.bucket.limits();
        let members = self.estimates.peer_count() + 1;
        Share { per_s: rate / members, burst: burst / members }
    }

    /// Returns the estimated time in milliseconds until `tokens` can be debited after all queued requests;
    /// with 0 tokens, until all queued requests can be granted. If `borrows` is `true`, it counts the
    /// estimated tokens and the rates of the peers without a recent shortfall.
    fn wait_ms(&mut self, now: Instant, tokens: u64, borrows: bool) -> u64 {
        let share = self.share();
        let mut available = self.bucket.available(now);
        let mut refill_per_s = self.bucket.share_per_s();
        if borrows {
            let lenders = self.estimates.lenders(now, share);
            available += lenders.iter().map(|(_, tokens)| tokens).sum::<u64>();
            refill_per_s += share.per_s * self.estimates.available_lender_count(now);
        }
        let shortfall = (self.queued_tokens + tokens).saturating_sub(available);
        if shortfall == 0 {
            return 0;
        }
        let refill_per_s = refill_per_s.max(1);
        shortfall.saturating_mul(1_000).div_ceil(refill_per_s)
    }
}

impl Refusal {
    const UNKNOWN: Refusal = Refusal { cause: Cause::Unknown, retry_after_ms: 0 };
    const OVER_BURST: Refusal = Refusal { cause: Cause::OverBurst, retry_after_ms: 0 };
    const NOT_CURRENT: Refusal =
        Refusal { cause: Cause::NotCurrent, retry_after_ms: NOT_CURRENT_RETRY_MS };

    /// Returns the refusal of a request for which there are too few tokens.
    fn over_rate(retry_after_ms: u64) -> Refusal {
        Refusal { cause: Cause::OverRate, retry_after_ms }
    }
}

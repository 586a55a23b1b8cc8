//! Limits over the fleet: shares, borrowing, and requests that wait for tokens.
//!
//! Every member holds an equal share of each organisation's rate and burst. One that is short asks
//! peers for tokens; they debit their own shares first. So whatever is lost, no token exists twice.

mod bucket;
mod credit;
#[cfg(test)]
mod tests;

pub use bucket::LOAN_LEASE;

use crate::time::Instant;
use bucket::Bucket;
use credit::{Credits, Share};
use slotmap::{SlotMap, new_key_type};
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

/// How long requests wait for a member that is not current to become so.
pub const LAPSE_WAIT: Duration = Duration::from_secs(1);
/// When to come back to a member that is not current.
pub const LAPSE_RETRY_MS: u64 = 1_000;
/// Requests of one organisation that may wait for tokens on one member.
pub const WAITS_MAX: usize = 4_096;

new_key_type! {
    /// A request that waits for tokens.
    pub struct Wait;
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
    Crowded,
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
    Waits(Wait),
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Tokens were debited for a request that waited.
    Grant(Wait),
    /// A request that waited is refused.
    Refuse(Wait, Refusal),
    /// Ask a peer for tokens.
    Borrow {
        /// The peer's name.
        peer: Arc<str>,
        /// Number of the ask.
        ask: u64,
        /// Organisation.
        organisation: Arc<str>,
        /// Tokens wanted.
        tokens: u64,
    },
    /// A loan that was asked for has not come and is taken for lost.
    Lost {
        /// The peer's name.
        peer: Arc<str>,
    },
}

/// An organisation's limits, as the document states them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Terms {
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
pub struct Standing {
    /// By how many rates and bursts are divided; absent before the member has a share.
    pub divisor: Option<u32>,
    /// Whether it may admit requests and lend.
    pub current: bool,
    /// Peers that may lend.
    pub peers: Vec<Arc<str>>,
    /// How often it has come into the table; tokens of an earlier time are void.
    pub joins: u64,
}

#[derive(Clone, Debug)]
struct Waiting {
    organisation: Arc<str>,
    tokens: u64,
    deadline: Instant,
}

#[derive(Clone, Debug)]
struct Ask {
    peer: Arc<str>,
    organisation: Arc<str>,
    tokens: u64,
    sent: Instant,
}

#[derive(Clone, Debug)]
struct Organisation {
    bucket: Bucket,
    queue: VecDeque<Wait>,
    queued: u64,
    credits: Credits,
}

/// Every organisation's share on one member.
#[derive(Clone, Debug)]
pub struct Limits {
    organisations: BTreeMap<Arc<str>, Organisation>,
    waits: SlotMap<Wait, Waiting>,
    asks: BTreeMap<u64, Ask>,
    next_ask: u64,
    standing: Standing,
    lapsed: Option<Instant>,
    borrows: bool,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            organisations: BTreeMap::new(),
            waits: SlotMap::with_key(),
            asks: BTreeMap::new(),
            next_ask: 1,
            standing: Standing::default(),
            lapsed: None,
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
    pub fn configure(&mut self, now: Instant, terms: &[Terms], settled: bool) {
        let named = |name: &Arc<str>| terms.iter().any(|term| term.name == *name);
        let gone: Vec<_> = self.organisations.keys().filter(|name| !named(name)).cloned().collect();
        for name in gone {
            self.organisations.remove(&name);
        }
        for term in terms {
            let divisor = self.standing.divisor;
            let organisation = self.organisations.entry(term.name.clone()).or_insert_with(|| {
                let mut bucket = Bucket::new(now, term.rate, term.burst);
                bucket.set_divisor(now, divisor);
                let (queue, credits) = (VecDeque::new(), Credits::default());
                Organisation { bucket, queue, queued: 0, credits }
            });
            let (rate, burst) = organisation.bucket.limits();
            let (rate, burst) = match settled {
                true => (term.rate, term.burst),
                false => (term.rate.min(rate), term.burst.min(burst)),
            };
            organisation.bucket.set_limits(now, rate, burst);
            organisation.keep_peers(now, &self.standing.peers);
        }
    }

    /// Takes how the member stands now.
    pub fn stand(&mut self, now: Instant, standing: Standing) {
        self.lapsed = if standing.current { None } else { self.lapsed.or(Some(now)) };
        if standing == self.standing {
            return;
        }
        for organisation in self.organisations.values_mut() {
            if standing.joins != self.standing.joins {
                organisation.bucket.empty(now);
            }
            organisation.bucket.set_divisor(now, standing.divisor);
            organisation.keep_peers(now, &standing.peers);
        }
        self.standing = standing;
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
        if self.lapsed.is_some_and(|lapsed| now.since(lapsed) >= LAPSE_WAIT) {
            return Err(Refusal::NOT_CURRENT);
        }
        if self.standing.current
            && organisation.queue.is_empty()
            && organisation.bucket.take(now, tokens)
        {
            return Ok(Debit::Granted);
        }
        if organisation.queue.len() >= WAITS_MAX {
            let retry_after_ms = organisation.wait_ms(now, 0, self.borrows);
            return Err(Refusal { cause: Cause::Crowded, retry_after_ms });
        }
        let wait_ms = organisation.wait_ms(now, tokens, self.borrows);
        if self.standing.current && u128::from(wait_ms) > within.as_millis() {
            return Err(Refusal::over_rate(wait_ms));
        }
        let waiting = Waiting { organisation: name.clone(), tokens, deadline: now + within };
        let wait = self.waits.insert(waiting);
        organisation.queue.push_back(wait);
        organisation.queued += tokens;
        Ok(Debit::Waits(wait))
    }

    /// Forgets a request that does not wait any more.
    pub fn cancel(&mut self, wait: Wait) {
        let Some(waiting) = self.waits.remove(wait) else {
            return;
        };
        if let Some(organisation) = self.organisations.get_mut(&waiting.organisation) {
            organisation.queue.retain(|queued| *queued != wait);
            organisation.queued -= waiting.tokens;
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
        if !self.standing.current || !organisation.queue.is_empty() {
            return 0;
        }
        organisation.bucket.lend(now, tokens)
    }

    /// Takes a peer's answer to an ask; says whether it was still waited for.
    pub fn lent(&mut self, now: Instant, number: u64, tokens: u64) -> bool {
        let Some(ask) = self.asks.remove(&number) else {
            return false;
        };
        let Some(organisation) = self.organisations.get_mut(&ask.organisation) else {
            return false;
        };
        if tokens < ask.tokens {
            organisation.credits.short(now, &ask.peer);
        }
        organisation.bucket.borrow(now, tokens.min(ask.tokens), ask.sent);
        now < ask.sent + LOAN_LEASE
    }

    /// Grants what can be granted, refuses what has waited too long, and borrows.
    pub fn run(&mut self, now: Instant) -> Vec<Effect> {
        let mut effects = Vec::new();
        self.drop_lost_asks(now, &mut effects);
        self.refuse_overdue(now, &mut effects);
        if self.standing.current {
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

    fn drop_lost_asks(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        while let Some(entry) = self.asks.first_entry() {
            if now < entry.get().sent + LOAN_LEASE {
                return;
            }
            let ask = entry.remove();
            if let Some(organisation) = self.organisations.get_mut(&ask.organisation) {
                organisation.credits.short(now, &ask.peer);
            }
            effects.push(Effect::Lost { peer: ask.peer });
        }
    }

    fn refuse_overdue(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        let lapsed = self.lapsed.is_some_and(|lapsed| now.since(lapsed) >= LAPSE_WAIT);
        let overdue = |waiting: &Waiting| {
            lapsed
                || now >= waiting.deadline
                || !self.organisations.contains_key(&waiting.organisation)
        };
        let over: Vec<_> =
            self.waits.iter().filter(|(_, w)| overdue(w)).map(|(wait, _)| wait).collect();
        for wait in over {
            let refusal = self.refusal(now, wait);
            self.cancel(wait);
            effects.push(Effect::Refuse(wait, refusal));
        }
    }

    fn refusal(&mut self, now: Instant, wait: Wait) -> Refusal {
        let Some(waiting) = self.waits.get(wait) else {
            return Refusal::UNKNOWN;
        };
        let Some(organisation) = self.organisations.get_mut(&waiting.organisation) else {
            return Refusal::UNKNOWN;
        };
        if !self.standing.current {
            return Refusal::NOT_CURRENT;
        }
        Refusal::over_rate(organisation.wait_ms(now, 0, self.borrows).max(1))
    }

    fn grant(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        for organisation in self.organisations.values_mut() {
            while let Some(&wait) = organisation.queue.front() {
                let Some(waiting) = self.waits.get(wait) else {
                    organisation.queue.pop_front();
                    continue;
                };
                if !organisation.bucket.take(now, waiting.tokens) {
                    break;
                }
                organisation.queue.pop_front();
                organisation.queued -= waiting.tokens;
                self.waits.remove(wait);
                effects.push(Effect::Grant(wait));
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
            let asked = self.asks.values().filter(|ask| ask.organisation == *name);
            let asked: u64 = asked.map(|ask| ask.tokens).sum();
            let available = organisation.bucket.available(now);
            let mut short = organisation.queued.saturating_sub(available + asked);
            let share = organisation.share();
            for (peer, believed) in organisation.credits.lenders(now, share) {
                if short == 0 {
                    break;
                }
                let tokens = short.min(believed);
                short -= tokens;
                organisation.credits.asked(now, &peer, tokens, share);
                let ask = self.next_ask;
                self.next_ask += 1;
                let organisation = name.clone();
                let sent = Ask { peer: peer.clone(), organisation, tokens, sent: now };
                self.asks.insert(ask, sent);
                effects.push(Effect::Borrow { peer, ask, organisation: name.clone(), tokens });
            }
        }
    }
}

impl Organisation {
    fn keep_peers(&mut self, now: Instant, peers: &[Arc<str>]) {
        let share = self.share();
        self.credits.keep(now, peers, share);
    }

    /// A member's share, taken to be the same on each.
    fn share(&self) -> Share {
        let (rate, burst) = self.bucket.limits();
        let members = self.credits.count() + 1;
        Share { per_s: rate / members, burst: burst / members }
    }

    /// Time until so many more tokens than those waited for can be had, in milliseconds.
    fn wait_ms(&mut self, now: Instant, tokens: u64, borrows: bool) -> u64 {
        let share = self.share();
        let mut here = self.bucket.available(now);
        let mut per_s = self.bucket.share_per_s();
        if borrows {
            let lenders = self.credits.lenders(now, share);
            here += lenders.iter().map(|(_, tokens)| tokens).sum::<u64>();
            per_s += share.per_s * self.credits.able(now);
        }
        let short = (self.queued + tokens).saturating_sub(here);
        if short == 0 {
            return 0;
        }
        let per_s = per_s.max(1);
        short.saturating_mul(1_000).div_ceil(per_s)
    }
}

impl Refusal {
    const UNKNOWN: Refusal = Refusal { cause: Cause::Unknown, retry_after_ms: 0 };
    const OVER_BURST: Refusal = Refusal { cause: Cause::OverBurst, retry_after_ms: 0 };
    const NOT_CURRENT: Refusal =
        Refusal { cause: Cause::NotCurrent, retry_after_ms: LAPSE_RETRY_MS };

    fn over_rate(retry_after_ms: u64) -> Refusal {
        Refusal { cause: Cause::OverRate, retry_after_ms }
    }
}

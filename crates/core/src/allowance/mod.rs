//! Token allowances of organisations, shared by hosts that report their spending to each other.
//!
//! Each host keeps the whole allowance as one token bucket. It debits its own spending at once and the
//! spending of its peers (the other hosts of its cell) when their reports arrive, so a request is refused only
//! when the fleet as a whole has no tokens left. The spending of an unreachable peer is unknown: until the
//! peer is reachable again, an equal share of the rate is reserved for it, and the burst is reduced by the
//! same share. When it reports again, what it has spent is set off against what was reserved, and only the rest
//! is debited.
//!
//! An allowance is also bounded by a sliding window, in which no more is spent than the rate and the burst
//! allow. Within the window, the bucket admits bursts of requests but keeps an organisation from spending
//! the whole window at once: its capacity is the burst plus the tokens of a short time at the rate.
//!
//! In a fleet of several cells (groups of hosts that report only to each other; see [`crate::cell`]), each
//! cell spends its own part. A request larger than the capacity of that part is admitted by overdrawing the
//! bucket, within the part's window. A host that doesn't know the spending before its start admits such a
//! request once that many tokens have accrued.
//!
//! Backend servers that limit the requests that they take from all hosts together have allowances too (see
//! [`crate::dispatch`]): the server then stands for the organisation, and its requests are the tokens.
//!
//! A bucket starts full only when the whole fleet starts for the first time. A host that joins a running
//! fleet copies the accounts of a peer. If no host knows what was spent, the bucket starts empty; the
//! spending in a window may then exceed the limit by the tokens that accrue beyond the burst.

mod ledger;
#[cfg(test)]
mod partition_tests;
#[cfg(test)]
mod tests;
mod window;

use crate::cell::HOSTS_PER_CELL;
use crate::limit::Quota;
use crate::time::Instant;
use ledger::Ledgers;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;
use window::Window;

/// Minimum retry delay for a refused caller.
const RETRY_MIN: Duration = Duration::from_millis(100);
/// Retry delay for a caller refused by an isolated host. By then the caller reaches another host, or this
/// host has contact with the others again.
const RETRY_ISOLATED: Duration = Duration::from_millis(1_000);

/// Share that is reserved while the other hosts are not known: all but that of one host in a cell of average size.
const UNKNOWN_FLEET_RESERVE: f64 = 1.0 - 1.0 / HOSTS_PER_CELL as f64;
/// Part of what a new stream would leave in a full bucket that it has to leave to streams that are resumed, while the
/// spending before this host's start is unknown.
const RESUMED_SHARE: f64 = 0.5;
/// Longest time for which tokens are promised to callers that resume their streams; few of them can wait for longer.
const PROMISE_MAX: Duration = Duration::from_secs(4);
/// Time after its start for which a host counts as joining the fleet, if there is no window.
const JOINING_TIME_MIN: Duration = Duration::from_secs(1);

/// Parameters of the accounting.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Settings {
    /// Length of the sliding window that bounds spending to rate and burst. If zero, only the bucket
    /// bounds it.
    pub window: Duration,
    /// Time whose tokens, accrued at the rate, the bucket can hold in addition to the burst.
    pub accrual_time: Duration,
    /// Time without a report after which a peer counts as unreachable, even if this process itself was
    /// paused in that time. If `None`, peers become unreachable only by [`Allowances::mark_unreachable`].
    pub unreachable_after: Option<Duration>,
    /// Whether any request may overdraw a bucket that holds some tokens, since this host's part of an allowance may
    /// be less than one request costs.
    pub overdraw: bool,
}

/// What the tokens of a request are spent for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Purpose {
    /// A stream that begins.
    BeginStream,
    /// A stream that was broken off.
    ResumeStream,
    /// A request without a stream.
    Other,
}

/// A request refused because too few tokens remain.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Refusal {
    /// Tokens that remain for the organisation.
    pub remaining: u64,
    /// The organisation's rate, in tokens per second.
    pub rate: f64,
    /// The organisation's burst, in tokens.
    pub burst: f64,
    /// Share of rate and burst that is reserved for unreachable peers and other cells, from 0 to 1.
    pub reserved_share: f64,
    /// Time until enough tokens are available if no other request spends any.
    pub retry_after: Duration,
}

/// Tokens that a host has spent since it started, by organisation, net of refunds.
pub type Spent = HashMap<Arc<str>, i64>;

/// The token bucket and the sliding window of one organisation.
#[derive(Clone, Debug)]
struct Bucket {
    /// Rate over the whole fleet, in tokens per second.
    rate: f64,
    /// Burst over the whole fleet, in tokens.
    burst: f64,
    /// Tokens in the bucket; negative if it is overdrawn.
    level: f64,
    refilled_at: Instant,
    /// By when the tokens have accrued of the streams that could not be resumed so far.
    promised_until: Instant,
    /// Spending of the recent past.
    window: Window,
}

/// Another host that spends.
#[derive(Clone, Debug, Default)]
struct Peer {
    /// Incarnation of the process that reported last; `None` before the first report.
    incarnation: Option<u64>,
    /// Since when the peer's reports haven't arrived, so that its share is reserved, and that share of each rate.
    reserved_since: Option<(Instant, f64)>,
    last_report: Instant,
}

/// All organisations' allowances, as known to one host.
#[derive(Clone, Debug)]
pub struct Allowances {
    settings: Settings,
    buckets: HashMap<Arc<str>, Bucket>,
    own_spent: Spent,
    peers: HashMap<Arc<str>, Peer>,
    /// What has been debited of the spending of peers' processes, also of those that have left.
    ledgers: Ledgers,
    /// Number of hosts in other cells, which spend their own part.
    other_cell_hosts: usize,
    /// Whether other hosts may have been spending when this host's process started.
    joins_fleet: bool,
    /// Whether this host knows which other hosts there are.
    fleet_known: bool,
    /// Whether new buckets start full.
    starts_full: bool,
    /// Whether the spending of the whole window is known from the fleet's first start or a peer's accounts.
    history_known: bool,
    /// When this host's process started.
    started: Instant,
    /// When this host must stop spending, unless it regains contact with the others.
    spend_until: Option<Instant>,
}

/// An organisation's recent spending.
#[derive(Clone, Debug, PartialEq)]
pub struct Account {
    /// The organisation.
    pub organisation: Arc<str>,
    /// Tokens in its bucket; negative if overdrawn.
    pub level: f64,
    /// Spending in the window, as pairs of age and tokens, oldest first.
    pub spent: Vec<(Duration, f64)>,
}

/// A peer's report of its spending.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Report {
    /// Incarnation of the peer's process: a number drawn at its start.
    pub incarnation: u64,
    /// Time since that process started.
    pub age: Duration,
    /// Total spending since that start.
    pub spent: Spent,
}

impl Allowances {
    /// Creates allowances without organisations, at the start of the process. `first_start` is `true` if
    /// the whole fleet starts for the first time.
    pub fn new(now: Instant, first_start: bool, settings: Settings) -> Allowances {
        Allowances {
            settings,
            buckets: HashMap::new(),
            own_spent: Spent::new(),
            peers: HashMap::new(),
            ledgers: Ledgers::default(),
            other_cell_hosts: 0,
            joins_fleet: !first_start,
            fleet_known: true,
            starts_full: first_start,
            history_known: first_start,
            started: now,
            spend_until: None,
        }
    }

    /// Applies the organisations' quotas. A rate of 0 means unlimited.
    pub fn configure(&mut self, now: Instant, quotas: &[Quota]) {
        let (reserved_share, accrual_time) = (self.reserved_share(), self.settings.accrual_time);
        let limited = quotas.iter().filter(|quota| quota.rate > 0);
        let mut buckets = HashMap::new();
        for quota in limited {
            let bucket = self.buckets.remove(&quota.name);
            let bucket = self.configured(now, quota, bucket, (reserved_share, accrual_time));
            buckets.insert(quota.name.clone(), bucket);
        }
        self.buckets = buckets;
        // Organisations that are added later have spent nothing yet.
        self.starts_full = true;
    }

    /// Applies the quota of one organisation, and leaves the others. A rate of 0 means unlimited.
    pub fn configure_one(&mut self, now: Instant, quota: &Quota) {
        let bucket = self.buckets.remove(&quota.name);
        if quota.rate > 0 {
            let shares = (self.reserved_share(), self.settings.accrual_time);
            let bucket = self.configured(now, quota, bucket, shares);
            self.buckets.insert(quota.name.clone(), bucket);
        }
    }

    /// Returns an organisation's bucket under a quota: the one that it has, or a new one.
    fn configured(
        &self,
        now: Instant,
        quota: &Quota,
        bucket: Option<Bucket>,
        (reserved_share, accrual_time): (f64, Duration),
    ) -> Bucket {
        let (rate, burst) = (quota.rate as f64, quota.burst as f64);
        match bucket {
            Some(mut bucket) => {
                bucket.refill(now, reserved_share, accrual_time);
                let bucket = Bucket { rate, burst, ..bucket };
                Bucket {
                    level: bucket.level.min(bucket.capacity(reserved_share, accrual_time)),
                    ..bucket
                }
            }
            None => {
                let window = Window::new(self.settings.window);
                let promised_until = Instant::default();
                let bucket =
                    Bucket { rate, burst, level: 0.0, refilled_at: now, promised_until, window };
                let level = if self.starts_full {
                    bucket.capacity(reserved_share, accrual_time)
                } else {
                    0.0
                };
                Bucket { level, ..bucket }
            }
        }
    }

    /// Debits tokens of an organisation. Organisations without a limit are never refused.
    ///
    /// # Errors
    ///
    /// Returns a [`Refusal`] if too few tokens are available and the request may not overdraw the bucket, or
    /// if this host must not spend any more because it is isolated.
    pub fn debit(
        &mut self,
        now: Instant,
        organisation: &Arc<str>,
        tokens: u64,
    ) -> Result<(), Refusal> {
        self.debit_for(now, organisation, tokens, Purpose::Other)
    }

    /// Debits the tokens of a request with a purpose, like [`Allowances::debit`]. While the spending before this host's
    /// start is unknown, streams that begin leave a part of the bucket to those that are resumed: most callers notice
    /// that theirs was broken off only after new ones have come.
    ///
    /// # Errors
    ///
    /// Returns a [`Refusal`] like [`Allowances::debit`].
    pub fn debit_for(
        &mut self,
        now: Instant,
        organisation: &Arc<str>,
        tokens: u64,
        purpose: Purpose,
    ) -> Result<(), Refusal> {
        self.mark_timed_out_peers(now);
        let (reserved_share, settings) = (self.reserved_share(), self.settings);
        let is_history_known = self.is_history_known(now);
        let may_overdraw = self.other_cell_hosts > 0 && is_history_known;
        let hosts = self.peers.len() as f64 + 1.0;
        let uptime = now.since(self.started);
        let Some(bucket) = self.buckets.get_mut(organisation) else { return Ok(()) };
        if self.spend_until.is_some_and(|spend_until| spend_until <= now) {
            let (rate, burst) = (bucket.rate, bucket.burst);
            return Err(Refusal {
                remaining: 0,
                rate,
                burst,
                reserved_share: 1.0,
                retry_after: RETRY_ISOLATED,
            });
        }
        bucket.refill(now, reserved_share, settings.accrual_time);
        let cost = tokens as f64;
        let capacity = bucket.capacity(reserved_share, settings.accrual_time);
        let due = match purpose {
            Purpose::BeginStream if !is_history_known => {
                cost + (capacity - cost).max(0.0) * RESUMED_SHARE
            }
            _ => cost,
        };
        let remaining = bucket.available(now, reserved_share, &settings);
        let overdraws = match may_overdraw {
            _ if settings.overdraw => remaining > 0.0,
            true => bucket.may_overdraw(now, cost, reserved_share, &settings),
            false => {
                self.other_cell_hosts > 0 && bucket.has_accrued(now, uptime, due, reserved_share)
            }
        };
        if remaining < due && !overdraws {
            let min_level = if may_overdraw || settings.overdraw { due.min(1.0) } else { due };
            let mut retry_after = bucket
                .time_until_available(now, (min_level, cost), reserved_share, &settings)
                .max(RETRY_MIN);
            if purpose == Purpose::ResumeStream && !is_history_known {
                retry_after = bucket.promise(now, retry_after, cost * hosts, reserved_share);
            }
            let (remaining, rate, burst) = (remaining.max(0.0) as u64, bucket.rate, bucket.burst);
            return Err(Refusal { remaining, rate, burst, reserved_share, retry_after });
        }
        bucket.spend(now, cost);
        let spent = self.own_spent.entry(organisation.clone()).or_default();
        *spent = spent.saturating_add_unsigned(tokens);
        Ok(())
    }

    /// Returns the time until an organisation's bucket holds some tokens, and a fraction of its capacity, if nobody spends
    /// any: zero if it does now, or there is no limit.
    pub fn time_until_filled(&self, now: Instant, organisation: &str, fraction: f64) -> Duration {
        let Some(bucket) = self.buckets.get(organisation) else { return Duration::ZERO };
        let (reserved_share, accrual_time) = (self.reserved_share(), self.settings.accrual_time);
        let level = bucket.level_at(now, reserved_share, accrual_time);
        let due = bucket.capacity(reserved_share, accrual_time) * fraction;
        let missing = if level > 0.0 { due - level } else { due.max(1.0) - level };
        refill_time(missing, bucket.rate * (1.0 - reserved_share))
    }

    /// Returns an organisation's rate without the share that is reserved for others, in tokens per second; `None` if it
    /// has no limit.
    pub fn rate(&self, organisation: &str) -> Option<f64> {
        self.buckets.get(organisation).map(|bucket| bucket.rate * (1.0 - self.reserved_share()))
    }

    /// Returns the tokens of an organisation that a peer has spent according to its last report.
    pub fn peer_spent(&self, peer: &str, organisation: &str) -> Option<i64> {
        let (name, peer) = self.peers.get_key_value(peer)?;
        self.ledgers.get(name, peer.incarnation?)?.debited.get(organisation).copied()
    }

    /// Forgets what this host has spent of an allowance that will not come back.
    pub fn forget(&mut self, organisation: &str) {
        self.own_spent.remove(organisation);
    }

    /// Returns `true` if an organisation's bucket is less than half full, so that spending should be
    /// reported to peers at once.
    pub fn is_below_half(&self, organisation: &str) -> bool {
        let (reserved_share, accrual_time) = (self.reserved_share(), self.settings.accrual_time);
        self.buckets.get(organisation).is_some_and(|bucket| {
            bucket.level < bucket.capacity(reserved_share, accrual_time) / 2.0
        })
    }

    /// Refunds tokens that a request did not use.
    pub fn refund(&mut self, now: Instant, organisation: &Arc<str>, tokens: u64) {
        let (reserved_share, accrual_time) = (self.reserved_share(), self.settings.accrual_time);
        let Some(bucket) = self.buckets.get_mut(organisation) else { return };
        bucket.refill(now, reserved_share, accrual_time);
        bucket.refund(tokens as f64, accrual_time);
        let spent = self.own_spent.entry(organisation.clone()).or_default();
        *spent = spent.saturating_sub_unsigned(tokens);
    }

    /// Returns `true` if the spending of the whole window is known: since the fleet's first start, from a
    /// peer's accounts, or because this host has run for at least a window.
    pub fn is_history_known(&self, now: Instant) -> bool {
        self.history_known || !self.is_joining(now)
    }

    /// Returns `true` if this host has run for less than a window.
    fn is_joining(&self, now: Instant) -> bool {
        now.since(self.started) < self.settings.window.max(JOINING_TIME_MIN)
    }

    /// Returns the organisations' recent spending, for a host that starts.
    pub fn accounts(&mut self, now: Instant) -> Vec<Account> {
        let (reserved_share, accrual_time) = (self.reserved_share(), self.settings.accrual_time);
        let accounts = self.buckets.iter_mut().map(|(name, bucket)| {
            bucket.refill(now, reserved_share, accrual_time);
            bucket.window.expire_and_total(now);
            let spent = bucket.window.slots(now).collect();
            Account { organisation: name.clone(), level: bucket.level, spent }
        });
        accounts.collect()
    }

    /// Replaces this host's bucket levels and windows by a peer's accounts, from which this host's own
    /// spending is subtracted. Does so only if this host doesn't know the spending of the whole window.
    /// Returns `true` if the accounts were applied.
    pub fn adopt(&mut self, now: Instant, accounts: &[Account]) -> bool {
        if self.buckets.is_empty() || self.is_history_known(now) {
            return false;
        }
        self.history_known = true;
        let (reserved_share, accrual_time) = (self.reserved_share(), self.settings.accrual_time);
        for account in accounts {
            let Some(bucket) = self.buckets.get_mut(&account.organisation) else { continue };
            // The peer may not have received reports of this host's own spending yet.
            let own_tokens =
                self.own_spent.get(&account.organisation).map_or(0.0, |tokens| *tokens as f64);
            bucket.refill(now, reserved_share, accrual_time);
            bucket.level =
                (account.level - own_tokens).min(bucket.capacity(reserved_share, accrual_time));
            let mut window = Window::new(self.settings.window);
            account.spent.iter().for_each(|(age, tokens)| window.add(now - *age, *tokens));
            window.add(now, own_tokens);
            bucket.window = window;
        }
        true
    }

    /// Returns the tokens that this host itself has spent since it started.
    pub fn spent(&self) -> &Spent {
        &self.own_spent
    }

    /// Records a peer's report, debits what the peer has spent since its previous report, and marks the peer
    /// reachable. A report that was overtaken by a later one changes nothing.
    pub fn record_report(&mut self, now: Instant, peer_name: &Arc<str>, report: Report) {
        let (reserved_share, settings) = (self.reserved_share(), self.settings);
        let Report { incarnation, age, spent } = report;
        let is_known = self.ledgers.get(peer_name, incarnation).is_some();
        // The earlier spending of a peer that started before this host doesn't concern a bucket that
        // started empty.
        let started_earlier = now - age < self.started;
        let initial = || if started_earlier { spent.clone() } else { Spent::new() };
        if self.ledgers.record(now, (peer_name, incarnation), age, initial).is_none() {
            return;
        }
        self.stop_reserving(now, peer_name);
        let peer = self.peers.entry(peer_name.clone()).or_default();
        (peer.incarnation, peer.last_report) = (Some(incarnation), now);
        let Some(ledger) = self.ledgers.get_mut(peer_name, incarnation) else { return };
        let reserved_s = ledger.take_reserved_seconds();
        let spent_since = if is_known { ledger.last_report } else { now - age };
        ledger.last_report = now;
        ledger.debited.retain(|organisation, _| spent.contains_key(organisation));
        for (organisation, total) in spent {
            let previous_total = ledger.debited.insert(organisation.clone(), total).unwrap_or(0);
            let Some(bucket) = self.buckets.get_mut(&organisation) else { continue };
            bucket.refill(now, reserved_share, settings.accrual_time);
            let change = total.saturating_sub(previous_total);
            if change < 0 {
                bucket.refund(change.unsigned_abs() as f64, settings.accrual_time);
            } else if is_known && reserved_s <= 0.0 {
                bucket.spend(now, change as f64);
            } else {
                bucket.debit_unheard(now, change as f64, reserved_s, spent_since, &settings);
            }
        }
    }

    /// Marks a peer as unreachable. It may still be spending, so its share is reserved.
    pub fn mark_unreachable(&mut self, now: Instant, peer_name: &Arc<str>) {
        let reserved_before = self.reserved_share();
        self.peers.entry(peer_name.clone()).or_default();
        let share = 1.0 / self.host_count() as f64;
        if let Some(peer) = self.peers.get_mut(peer_name) {
            peer.reserved_since.get_or_insert((now, share));
        }
        self.cap_levels(now, reserved_before);
    }

    /// Reserves the share of a host that was just learned of until its first report, if this host joins a running fleet.
    /// Its buckets start empty then, so that this costs little. A host that has run for longer reserves a share once
    /// the peer counts as unreachable: until then a peer that starts spends little itself.
    pub fn expect_peer(&mut self, now: Instant, peer_name: &Arc<str>) {
        if self.joins_fleet && self.is_joining(now) && !self.peers.contains_key(peer_name) {
            self.mark_unreachable(now, peer_name);
        }
    }

    /// Sets whether this host knows which other hosts there are. While a host that joins a running fleet doesn't, it
    /// spends no more than the share of one host of a cell.
    pub fn set_fleet_known(&mut self, now: Instant, is_known: bool) {
        let reserved_before = self.reserved_share();
        let is_known = is_known || !self.joins_fleet;
        if std::mem::replace(&mut self.fleet_known, is_known) != is_known {
            self.cap_levels(now, reserved_before);
        }
    }

    /// Marks the peers whose last reports are too old as unreachable. After a long pause of this process these
    /// are all peers: it doesn't know what they spent in the meantime.
    fn mark_timed_out_peers(&mut self, now: Instant) {
        let Some(unreachable_after) = self.settings.unreachable_after else { return };
        let reserved_before = self.reserved_share();
        let share = 1.0 / self.host_count() as f64;
        for peer in self.peers.values_mut() {
            if now.since(peer.last_report) >= unreachable_after {
                peer.reserved_since.get_or_insert((now, share));
            }
        }
        if self.reserved_share() > reserved_before {
            self.cap_levels(now, reserved_before);
        }
    }

    /// Stops to reserve a peer's share, and records for how long it was reserved.
    fn stop_reserving(&mut self, now: Instant, peer_name: &Arc<str>) {
        let host_count = self.host_count() as f64;
        let Some(peer) = self.peers.get_mut(peer_name) else { return };
        let (Some((since, share)), incarnation) = (peer.reserved_since.take(), peer.incarnation)
        else {
            return;
        };
        if let Some(ledger) = incarnation.and_then(|it| self.ledgers.get_mut(peer_name, it)) {
            ledger.add_reserved_time(now.since(since), share.min(1.0 / host_count));
        }
    }

    /// Sets when this host must stop spending; `None` for never. The other hosts may have taken over the
    /// share of a host that is isolated.
    pub fn set_spend_until(&mut self, spend_until: Option<Instant>) {
        self.spend_until = spend_until;
    }

    /// Sets the number of hosts in other cells, which spend their own part of each allowance.
    pub fn set_other_cell_hosts(&mut self, now: Instant, other_cell_hosts: usize) {
        let reserved_before = self.reserved_share();
        self.other_cell_hosts = other_cell_hosts;
        self.cap_levels(now, reserved_before);
    }

    /// Refills the buckets with `reserved_before` as the reserved share, and caps their levels to the
    /// capacity under the share now in force.
    fn cap_levels(&mut self, now: Instant, reserved_before: f64) {
        let (reserved_share, accrual_time) = (self.reserved_share(), self.settings.accrual_time);
        for bucket in self.buckets.values_mut() {
            bucket.refill(now, reserved_before, accrual_time);
            bucket.level = bucket.level.min(bucket.capacity(reserved_share, accrual_time));
        }
    }

    /// Removes a peer that is known to spend nothing more. What has been debited of its spending is kept for when it
    /// comes back.
    pub fn remove_peer(&mut self, now: Instant, peer_name: &Arc<str>) {
        let (reserved_share, accrual_time) = (self.reserved_share(), self.settings.accrual_time);
        self.buckets
            .values_mut()
            .for_each(|bucket| bucket.refill(now, reserved_share, accrual_time));
        self.stop_reserving(now, peer_name);
        self.peers.remove(peer_name);
    }

    /// Returns the number of hosts that spend, including this one, unreachable ones and those of other
    /// cells.
    pub fn host_count(&self) -> usize {
        self.peers.len() + 1 + self.other_cell_hosts
    }

    /// Returns the share of each rate that is reserved for unreachable hosts and hosts of other cells, from
    /// 0 to 1.
    pub fn reserved_share(&self) -> f64 {
        let unreachable = self.peers.values().filter(|peer| peer.reserved_since.is_some()).count()
            + self.other_cell_hosts;
        let share = unreachable as f64 / self.host_count() as f64;
        if self.fleet_known { share } else { share.max(UNKNOWN_FLEET_RESERVE) }
    }
}

impl Bucket {
    /// Returns the most tokens that the bucket can hold while `reserved_share` of the allowance is reserved
    /// for others.
    fn capacity(&self, reserved_share: f64, accrual_time: Duration) -> f64 {
        (self.burst + self.rate * accrual_time.as_secs_f64()) * (1.0 - reserved_share)
    }

    /// Adds the tokens that have accrued since the last refill.
    fn refill(&mut self, now: Instant, reserved_share: f64, accrual_time: Duration) {
        self.level = self.level_at(now, reserved_share, accrual_time);
        self.refilled_at = self.refilled_at.max(now);
    }

    /// Returns the level with the tokens that have accrued since the last refill, up to the capacity. A level above the
    /// capacity stays.
    fn level_at(&self, now: Instant, reserved_share: f64, accrual_time: Duration) -> f64 {
        let seconds = now.since(self.refilled_at).as_secs_f64();
        let accrued = seconds * self.rate * (1.0 - reserved_share);
        let capacity = self.capacity(reserved_share, accrual_time);
        if self.level < capacity { (self.level + accrued).min(capacity) } else { self.level }
    }

    /// Debits tokens, also if the bucket holds fewer: its level is then negative.
    fn spend(&mut self, now: Instant, tokens: f64) {
        self.level -= tokens;
        self.window.add(now, tokens);
    }

    /// Debits tokens that a peer spent since `spent_since`, while its reports did not arrive. Of the rate of this time,
    /// `reserved_s` seconds were reserved for them and have not accrued here; only the rest lowers the level. No more is
    /// debited than can have been spent in a window: earlier spending has accrued again.
    fn debit_unheard(
        &mut self,
        now: Instant,
        tokens: f64,
        reserved_s: f64,
        spent_since: Instant,
        settings: &Settings,
    ) {
        let mut span = now.since(spent_since);
        if !settings.window.is_zero() {
            span = span.min(settings.window);
        }
        let most = self.capacity(0.0, settings.accrual_time) + self.rate * span.as_secs_f64();
        self.level -= (tokens - self.rate * reserved_s).clamp(0.0, most);
        let whole = now.since(spent_since).as_secs_f64().max(span.as_secs_f64());
        let in_window = if whole > 0.0 { tokens * span.as_secs_f64() / whole } else { tokens };
        self.window.add_evenly(now - span, now, in_window.min(most));
    }

    /// Returns the time after which a refused caller is to come back so that the tokens of callers that were refused
    /// before it have accrued by then, too. `retry_after` is the time without these, and `tokens` what it and those
    /// that are refused by the other hosts need.
    fn promise(
        &mut self,
        now: Instant,
        retry_after: Duration,
        tokens: f64,
        reserved_share: f64,
    ) -> Duration {
        let retry_at = (now + retry_after).max(self.promised_until);
        let next = retry_at + refill_time(tokens, self.rate * (1.0 - reserved_share));
        self.promised_until = next.min(now + PROMISE_MAX);
        retry_at.since(now)
    }

    /// Adds refunded tokens, up to the capacity without any reserved share.
    fn refund(&mut self, tokens: f64, accrual_time: Duration) {
        self.level = (self.level + tokens).min(self.capacity(0.0, accrual_time));
        self.window.refund(tokens);
    }

    /// Returns the most tokens that may be spent in a window while `reserved_share` of the allowance is
    /// reserved for others.
    fn window_limit(&self, reserved_share: f64, settings: &Settings) -> f64 {
        (self.rate * settings.window.as_secs_f64() + self.burst) * (1.0 - reserved_share)
    }

    /// Returns the tokens that may be spent now; the bucket must have been refilled.
    fn available(&mut self, now: Instant, reserved_share: f64, settings: &Settings) -> f64 {
        if settings.window.is_zero() {
            return self.level;
        }
        self.level
            .min(self.window_limit(reserved_share, settings) - self.window.expire_and_total(now))
    }

    /// Returns `true` if a request that costs `cost` tokens may overdraw the bucket: the bucket holds some
    /// tokens, and the request fits in the window or is the only one in it. A cell's part of a small allowance
    /// may never hold enough for a large request; the window still bounds the spending.
    fn may_overdraw(
        &mut self,
        now: Instant,
        cost: f64,
        reserved_share: f64,
        settings: &Settings,
    ) -> bool {
        let spent = self.window.expire_and_total(now);
        let fits = spent <= 0.0 || spent + cost <= self.window_limit(reserved_share, settings);
        !settings.window.is_zero() && self.level > 0.0 && fits
    }

    /// Returns `true` if the tokens that have accrued in the host's `uptime` are enough for a request that
    /// costs `cost`, in addition to those spent. A host that doesn't know the earlier spending may then admit
    /// the request, even if the bucket can never hold that many tokens.
    fn has_accrued(
        &mut self,
        now: Instant,
        uptime: Duration,
        cost: f64,
        reserved_share: f64,
    ) -> bool {
        let accrued = self.rate * (1.0 - reserved_share) * uptime.as_secs_f64();
        self.window.expire_and_total(now) + cost <= accrued
    }

    /// Returns the time until a request that costs `cost` tokens can be admitted, if no other request spends
    /// any: the bucket must hold at least `min_level` tokens, and enough spending must have left the window.
    fn time_until_available(
        &mut self,
        now: Instant,
        (min_level, cost): (f64, f64),
        reserved_share: f64,
        settings: &Settings,
    ) -> Duration {
        let refill_time = refill_time(min_level - self.level, self.rate * (1.0 - reserved_share));
        if settings.window.is_zero() {
            return refill_time;
        }
        let spent = self.window.expire_and_total(now);
        let excess = (spent + cost - self.window_limit(reserved_share, settings)).min(spent);
        match excess > 0.0 {
            true => refill_time.max(self.window.time_until_expired(now, excess)),
            false => refill_time,
        }
    }
}

/// Returns the time in which `tokens` accrue at a rate in tokens per second.
fn refill_time(tokens: f64, rate: f64) -> Duration {
    /// Longest time for which the refill is awaited, in seconds.
    const MAX_RETRY_S: f64 = 3_600.0;
    Duration::from_secs_f64((tokens / rate.max(1.0)).clamp(0.0, MAX_RETRY_S))
}

//! Allowances of organisations, in tokens, over hosts that tell each other what they spend.
//!
//! Each host keeps the whole allowance as one bucket and takes from it what it spends itself, at
//! once, and what its peers say they have spent, as soon as it hears. So a request is refused only
//! where the fleet as a whole has nothing left. What a peer spends while it can't be heard is unknown:
//! for as long, its even share of the rate is kept back, and burst is cut in the same measure.
//!
//! An allowance holds over a window: in none is more spent than its rate and its burst allow. Within the
//! window the bucket lets clumps of requests pass, and keeps an organisation from taking the whole window
//! at once: it holds the burst and what a short time at the rate gives.
//!
//! In a fleet of several cells, each spends its part. A request that is larger than the part's bucket is
//! let in once and paid for later, within the part's window; after a start that knows nothing, once the rate
//! has given as much.
//!
//! A bucket starts full only when the whole fleet starts for the first time. A host that starts beside
//! others takes their accounts over. Where nobody knows what was spent, the bucket starts empty: a window
//! may then hold more by what can be saved up.

#[cfg(test)]
mod tests;
mod window;

use crate::limit::Quota;
use crate::time::Instant;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;
use window::Window;

/// Shortest time after which a caller that was refused is asked to come back.
const RETRY_MIN: Duration = Duration::from_millis(100);
/// Time after which a caller is asked to come back whom a host refused that is cut off: it then meets
/// another host, or this one has heard the others again.
const RETRY_ISOLATED: Duration = Duration::from_millis(1_000);

/// How allowances are counted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Settings {
    /// Window in which no more than the rate and the burst may be spent; without one, the bucket
    /// alone counts.
    pub window: Duration,
    /// Time at the rate that a bucket can save up beyond the burst.
    pub accrual_time: Duration,
    /// Silence after which a peer counts as one that can't be heard, also where this process itself was
    /// stopped meanwhile; without one, only [`Allowances::silent`] says so.
    pub unreachable_after: Option<Duration>,
}

/// Not enough tokens are left.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Refusal {
    /// Tokens that are left.
    pub remaining: u64,
    /// Tokens that the organisation may spend a second.
    pub rate: f64,
    /// Tokens that it may spend at once.
    pub burst: f64,
    /// Part of both that is kept back for peers that can't be heard.
    pub reserved: f64,
    /// When there will be enough if nobody else spends any.
    pub retry_after: Duration,
}

/// Tokens that a host has spent since it started, by organisation, less those handed back.
pub type Spent = HashMap<Arc<str>, i64>;

#[derive(Clone, Debug)]
struct Bucket {
    rate: f64,
    burst: f64,
    level: f64,
    at: Instant,
    window: Window,
}

#[derive(Clone, Debug, Default)]
struct Peer {
    incarnation: u64,
    spent: Spent,
    unreachable: bool,
    last_report: Instant,
}

/// Allowances, as one host sees them.
#[derive(Clone, Debug)]
pub struct Allowances {
    settings: Settings,
    buckets: HashMap<Arc<str>, Bucket>,
    own: Spent,
    peers: HashMap<Arc<str>, Peer>,
    /// Hosts of other cells, which spend their own part.
    other_cell_hosts: usize,
    /// Whether new buckets start full.
    starts_full: bool,
    /// Whether it is known what was spent in the window.
    history_known: bool,
    started: Instant,
    /// Until when this host may spend, unless it hears more of the others.
    spend_until: Option<Instant>,
}

/// What an organisation has spent lately.
#[derive(Clone, Debug, PartialEq)]
pub struct Account {
    /// The organisation.
    pub organisation: Arc<str>,
    /// Tokens left in its bucket; negative where more were spent.
    pub level: f64,
    /// What was spent in the window: how long ago, and tokens; the newest is last.
    pub spent: Vec<(Duration, f64)>,
}

/// What a peer tells of its spending.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Report {
    /// Number drawn at the start of its process.
    pub incarnation: u64,
    /// How long that process has run.
    pub age: Duration,
    /// What it has spent since.
    pub spent: Spent,
}

impl Allowances {
    /// Without organisations, at the start of the process; `first_start` says that the whole fleet
    /// starts for the first time.
    pub fn new(now: Instant, first_start: bool, settings: Settings) -> Allowances {
        Allowances {
            settings,
            buckets: HashMap::new(),
            own: Spent::new(),
            peers: HashMap::new(),
            other_cell_hosts: 0,
            starts_full: first_start,
            history_known: first_start,
            started: now,
            spend_until: None,
        }
    }

    /// Puts limits in force. A rate of 0 is no limit.
    pub fn configure(&mut self, now: Instant, quotas: &[Quota]) {
        let (reserved, accrual_time) = (self.reserved_share(), self.settings.accrual_time);
        let limited = quotas.iter().filter(|quota| quota.rate > 0);
        let mut buckets = HashMap::new();
        for quota in limited {
            let (rate, burst) = (quota.rate as f64, quota.burst as f64);
            let bucket = match self.buckets.remove(&quota.name) {
                Some(mut bucket) => {
                    bucket.refill(now, reserved, accrual_time);
                    let bucket = Bucket { rate, burst, ..bucket };
                    Bucket {
                        level: bucket.level.min(bucket.capacity(reserved, accrual_time)),
                        ..bucket
                    }
                }
                None => {
                    let window = Window::new(self.settings.window);
                    let bucket = Bucket { rate, burst, level: 0.0, at: now, window };
                    let level = if self.starts_full {
                        bucket.capacity(reserved, accrual_time)
                    } else {
                        0.0
                    };
                    Bucket { level, ..bucket }
                }
            };
            buckets.insert(quota.name.clone(), bucket);
        }
        self.buckets = buckets;
        // An organisation that is added later has spent nothing yet.
        self.starts_full = true;
    }

    /// Takes tokens.
    ///
    /// # Errors
    ///
    /// When there are not enough.
    pub fn debit(&mut self, now: Instant, name: &Arc<str>, tokens: u64) -> Result<(), Refusal> {
        self.mark_timed_out_peers(now);
        let (reserved, settings) = (self.reserved_share(), self.settings);
        let may_overdraw = self.other_cell_hosts > 0 && self.is_history_known(now);
        let uptime = now.since(self.started);
        let Some(bucket) = self.buckets.get_mut(name) else { return Ok(()) };
        if self.spend_until.is_some_and(|spend_until| spend_until <= now) {
            let (rate, burst) = (bucket.rate, bucket.burst);
            return Err(Refusal {
                remaining: 0,
                rate,
                burst,
                reserved: 1.0,
                retry_after: RETRY_ISOLATED,
            });
        }
        bucket.refill(now, reserved, settings.accrual_time);
        let wanted = tokens as f64;
        let remaining = bucket.available(now, reserved, &settings);
        let may_overdraw_now = match may_overdraw {
            true => bucket.may_overdraw(now, wanted, reserved, &settings),
            false => self.other_cell_hosts > 0 && bucket.has_accrued(now, uptime, wanted, reserved),
        };
        if remaining < wanted && !may_overdraw_now {
            let needed = if may_overdraw { wanted.min(1.0) } else { wanted };
            let retry_after = bucket
                .time_until_available(now, (needed, wanted), reserved, &settings)
                .max(RETRY_MIN);
            let (remaining, rate, burst) = (remaining.max(0.0) as u64, bucket.rate, bucket.burst);
            return Err(Refusal { remaining, rate, burst, reserved, retry_after });
        }
        bucket.spend(now, wanted);
        *self.own.entry(name.clone()).or_default() += tokens as i64;
        Ok(())
    }

    /// Whether so little is left of an organisation's bucket that peers should hear at once of what is
    /// spent.
    pub fn is_below_half(&self, name: &str) -> bool {
        let (reserved, accrual_time) = (self.reserved_share(), self.settings.accrual_time);
        self.buckets
            .get(name)
            .is_some_and(|bucket| bucket.level < bucket.capacity(reserved, accrual_time) / 2.0)
    }

    /// Hands tokens back that a request did not use.
    pub fn refund(&mut self, now: Instant, name: &Arc<str>, tokens: u64) {
        let (reserved, accrual_time) = (self.reserved_share(), self.settings.accrual_time);
        let Some(bucket) = self.buckets.get_mut(name) else { return };
        bucket.refill(now, reserved, accrual_time);
        bucket.refund(tokens as f64, accrual_time);
        *self.own.entry(name.clone()).or_default() -= tokens as i64;
    }

    /// Whether it is known what was spent in the window: from the first start, from a peer, or since
    /// the host has run for as long.
    pub fn is_history_known(&self, now: Instant) -> bool {
        /// Time that counts where there is no window.
        const MIN_RUN_TIME: Duration = Duration::from_secs(1);
        self.history_known || now.since(self.started) >= self.settings.window.max(MIN_RUN_TIME)
    }

    /// What organisations have spent lately, for a host that starts.
    pub fn accounts(&mut self, now: Instant) -> Vec<Account> {
        let (reserved, accrual_time) = (self.reserved_share(), self.settings.accrual_time);
        let accounts = self.buckets.iter_mut().map(|(name, bucket)| {
            bucket.refill(now, reserved, accrual_time);
            bucket.window.spent(now);
            let spent = bucket.window.slots(now).collect();
            Account { organisation: name.clone(), level: bucket.level, spent }
        });
        accounts.collect()
    }

    /// Takes over what a peer knows, at a start that knows nothing; whether it was taken.
    pub fn adopt(&mut self, now: Instant, accounts: &[Account]) -> bool {
        if self.buckets.is_empty() || self.is_history_known(now) {
            return false;
        }
        self.history_known = true;
        let (reserved, accrual_time) = (self.reserved_share(), self.settings.accrual_time);
        for account in accounts {
            let Some(bucket) = self.buckets.get_mut(&account.organisation) else { continue };
            // The peer may not have heard of this host's own spending yet.
            let own = self.own.get(&account.organisation).map_or(0.0, |own| *own as f64);
            bucket.refill(now, reserved, accrual_time);
            bucket.level = (account.level - own).min(bucket.capacity(reserved, accrual_time));
            let mut window = Window::new(self.settings.window);
            account.spent.iter().for_each(|(ago, tokens)| window.add(now - *ago, *tokens));
            window.add(now, own);
            bucket.window = window;
        }
        true
    }

    /// What this host has spent.
    pub fn spent(&self) -> &Spent {
        &self.own
    }

    /// Takes in what a peer has spent in all.
    pub fn record_report(&mut self, now: Instant, name: &Arc<str>, report: Report) {
        let (reserved, accrual_time) = (self.reserved_share(), self.settings.accrual_time);
        let is_older = now - report.age < self.started;
        let peer = self.peers.entry(name.clone()).or_default();
        if peer.incarnation != report.incarnation {
            // What one that started before this host spent until now is no concern of a bucket that
            // started empty.
            let spent = if is_older { report.spent.clone() } else { Spent::new() };
            *peer = Peer {
                incarnation: report.incarnation,
                spent,
                unreachable: false,
                last_report: now,
            };
        }
        (peer.unreachable, peer.last_report) = (false, now);
        for (organisation, total) in report.spent {
            let before = peer.spent.insert(organisation.clone(), total).unwrap_or(0);
            if let Some(bucket) = self.buckets.get_mut(&organisation) {
                bucket.refill(now, reserved, accrual_time);
                match total - before {
                    more @ 0.. => bucket.spend(now, more as f64),
                    less => bucket.refund(-less as f64, accrual_time),
                }
            }
        }
    }

    /// Notes that a peer can't be heard, though it may go on spending.
    pub fn mark_unreachable(&mut self, now: Instant, name: &Arc<str>) {
        let before = self.reserved_share();
        self.peers.entry(name.clone()).or_default().unreachable = true;
        self.cap_levels(now, before);
    }

    /// Notes which peers have been silent for too long. A process that was stopped knows nothing of
    /// what they spent meanwhile.
    fn mark_timed_out_peers(&mut self, now: Instant) {
        let Some(unreachable_after) = self.settings.unreachable_after else { return };
        let before = self.reserved_share();
        for peer in self.peers.values_mut() {
            peer.unreachable |= now.since(peer.last_report) >= unreachable_after;
        }
        if self.reserved_share() > before {
            self.cap_levels(now, before);
        }
    }

    /// Sets until when this host may spend, if not for good: one that is cut off may have lost its part
    /// to the others.
    pub fn set_spend_until(&mut self, spend_until: Option<Instant>) {
        self.spend_until = spend_until;
    }

    /// Sets how many hosts belong to other cells: they spend their own part of each allowance.
    pub fn set_other_cell_hosts(&mut self, now: Instant, other_cell_hosts: usize) {
        let before = self.reserved_share();
        self.other_cell_hosts = other_cell_hosts;
        self.cap_levels(now, before);
    }

    /// Cuts buckets to what this host may hold, of which a part was kept back before.
    fn cap_levels(&mut self, now: Instant, before: f64) {
        let (reserved, accrual_time) = (self.reserved_share(), self.settings.accrual_time);
        for bucket in self.buckets.values_mut() {
            bucket.refill(now, before, accrual_time);
            bucket.level = bucket.level.min(bucket.capacity(reserved, accrual_time));
        }
    }

    /// Notes that a peer surely spends nothing: its process is gone.
    pub fn remove_peer(&mut self, now: Instant, name: &Arc<str>) {
        let (reserved, accrual_time) = (self.reserved_share(), self.settings.accrual_time);
        self.buckets.values_mut().for_each(|bucket| bucket.refill(now, reserved, accrual_time));
        self.peers.remove(name);
    }

    /// Hosts that spend, this one, those that may be silent and those of other cells included.
    pub fn host_count(&self) -> usize {
        self.peers.len() + 1 + self.other_cell_hosts
    }

    /// The part of each rate that is kept back for hosts that aren't heard.
    pub fn reserved_share(&self) -> f64 {
        let unreachable =
            self.peers.values().filter(|peer| peer.unreachable).count() + self.other_cell_hosts;
        unreachable as f64 / self.host_count() as f64
    }
}

impl Bucket {
    /// The most that it holds where a part is kept back.
    fn capacity(&self, reserved: f64, accrual_time: Duration) -> f64 {
        (self.burst + self.rate * accrual_time.as_secs_f64()) * (1.0 - reserved)
    }

    fn refill(&mut self, now: Instant, reserved: f64, accrual_time: Duration) {
        let seconds = now.since(self.at).as_secs_f64();
        self.at = self.at.max(now);
        let capacity = self.capacity(reserved, accrual_time);
        if self.level < capacity {
            self.level = (self.level + seconds * self.rate * (1.0 - reserved)).min(capacity);
        }
    }

    fn spend(&mut self, now: Instant, tokens: f64) {
        self.level -= tokens;
        self.window.add(now, tokens);
    }

    fn refund(&mut self, tokens: f64, accrual_time: Duration) {
        self.level = (self.level + tokens).min(self.capacity(0.0, accrual_time));
        self.window.refund(tokens);
    }

    /// What a window may hold where a part is kept back.
    fn window_limit(&self, reserved: f64, settings: &Settings) -> f64 {
        (self.rate * settings.window.as_secs_f64() + self.burst) * (1.0 - reserved)
    }

    /// What may be spent now, once refilled.
    fn available(&mut self, now: Instant, reserved: f64, settings: &Settings) -> f64 {
        if settings.window.is_zero() {
            return self.level;
        }
        self.level.min(self.window_limit(reserved, settings) - self.window.spent(now))
    }

    /// Whether a request may be let in that the bucket pays for later: a cell's part of a small
    /// allowance may never hold enough for a large request, and the window bounds it all the same.
    fn may_overdraw(
        &mut self,
        now: Instant,
        wanted: f64,
        reserved: f64,
        settings: &Settings,
    ) -> bool {
        let spent = self.window.spent(now);
        let fits = spent <= 0.0 || spent + wanted <= self.window_limit(reserved, settings);
        !settings.window.is_zero() && self.level > 0.0 && fits
    }

    /// Whether the rate has given as much since the start as a request wants, beside what was spent: a
    /// host that does not know what was spent before may let it in, though the bucket never holds so much.
    fn has_accrued(&mut self, now: Instant, since: Duration, wanted: f64, reserved: f64) -> bool {
        let accrued = self.rate * (1.0 - reserved) * since.as_secs_f64();
        self.window.spent(now) + wanted <= accrued
    }

    /// How long until a request may be let in that needs so many tokens of the bucket and spends so
    /// many, if nobody else spends any.
    fn time_until_available(
        &mut self,
        now: Instant,
        (needed, wanted): (f64, f64),
        reserved: f64,
        settings: &Settings,
    ) -> Duration {
        /// Longest time that a caller is asked to stay away.
        const MAX_RETRY_S: f64 = 3_600.0;
        let seconds = (needed - self.level) / (self.rate * (1.0 - reserved)).max(1.0);
        let refilled = Duration::from_secs_f64(seconds.clamp(0.0, MAX_RETRY_S));
        if settings.window.is_zero() {
            return refilled;
        }
        let spent = self.window.spent(now);
        let over = (spent + wanted - self.window_limit(reserved, settings)).min(spent);
        match over > 0.0 {
            true => refilled.max(self.window.time_until_expired(now, over)),
            false => refilled,
        }
    }
}

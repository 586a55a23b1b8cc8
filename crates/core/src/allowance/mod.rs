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

use crate::limit::Terms;
use crate::time::Instant;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;
use window::Window;

/// Shortest time after which a caller that was refused is asked to come back.
const RETRY_MIN: Duration = Duration::from_millis(100);
/// Time after which a caller is asked to come back whom a host refused that is cut off: it then meets
/// another host, or this one has heard the others again.
const RETRY_CUT_OFF: Duration = Duration::from_millis(1_000);

/// How allowances are counted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Settings {
    /// Window in which no more than the rate and the burst may be spent; without one, the bucket
    /// alone counts.
    pub window: Duration,
    /// Time at the rate that a bucket can save up beyond the burst.
    pub saved: Duration,
    /// Silence after which a peer counts as one that can't be heard, also where this process itself was
    /// stopped meanwhile; without one, only [`Allowances::silent`] says so.
    pub silence: Option<Duration>,
}

/// Not enough tokens are left.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Refusal {
    /// Tokens that are left.
    pub left: u64,
    /// Tokens that the organisation may spend a second.
    pub rate: f64,
    /// Tokens that it may spend at once.
    pub burst: f64,
    /// Part of both that is kept back for peers that can't be heard.
    pub kept: f64,
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
    silent: bool,
    heard: Instant,
}

/// Allowances, as one host sees them.
#[derive(Clone, Debug)]
pub struct Allowances {
    settings: Settings,
    buckets: HashMap<Arc<str>, Bucket>,
    own: Spent,
    peers: HashMap<Arc<str>, Peer>,
    /// Hosts of other cells, which spend their own part.
    others: usize,
    /// Whether new buckets start full.
    full: bool,
    /// Whether it is known what was spent in the window.
    known: bool,
    started: Instant,
    /// Until when this host may spend, unless it hears more of the others.
    until: Option<Instant>,
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
pub struct Told {
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
            others: 0,
            full: first_start,
            known: first_start,
            started: now,
            until: None,
        }
    }

    /// Puts limits in force. A rate of 0 is no limit.
    pub fn configure(&mut self, now: Instant, terms: &[Terms]) {
        let (kept, saved) = (self.kept_share(), self.settings.saved);
        let limited = terms.iter().filter(|terms| terms.rate > 0);
        let mut buckets = HashMap::new();
        for terms in limited {
            let (rate, burst) = (terms.rate as f64, terms.burst as f64);
            let bucket = match self.buckets.remove(&terms.name) {
                Some(mut bucket) => {
                    bucket.refill(now, kept, saved);
                    let bucket = Bucket { rate, burst, ..bucket };
                    Bucket { level: bucket.level.min(bucket.most(kept, saved)), ..bucket }
                }
                None => {
                    let window = Window::new(self.settings.window);
                    let bucket = Bucket { rate, burst, level: 0.0, at: now, window };
                    let level = if self.full { bucket.most(kept, saved) } else { 0.0 };
                    Bucket { level, ..bucket }
                }
            };
            buckets.insert(terms.name.clone(), bucket);
        }
        self.buckets = buckets;
        // An organisation that is added later has spent nothing yet.
        self.full = true;
    }

    /// Takes tokens.
    ///
    /// # Errors
    ///
    /// When there are not enough.
    pub fn take(&mut self, now: Instant, name: &Arc<str>, tokens: u64) -> Result<(), Refusal> {
        self.look_for_silent(now);
        let (kept, settings) = (self.kept_share(), self.settings);
        let may_owe = self.others > 0 && self.is_known(now);
        let earning = now.since(self.started);
        let Some(bucket) = self.buckets.get_mut(name) else { return Ok(()) };
        if self.until.is_some_and(|until| until <= now) {
            let (rate, burst) = (bucket.rate, bucket.burst);
            return Err(Refusal { left: 0, rate, burst, kept: 1.0, retry_after: RETRY_CUT_OFF });
        }
        bucket.refill(now, kept, settings.saved);
        let wanted = tokens as f64;
        let left = bucket.left(now, kept, &settings);
        let owes = match may_owe {
            true => bucket.may_owe(now, wanted, kept, &settings),
            false => self.others > 0 && bucket.has_earned(now, earning, wanted, kept),
        };
        if left < wanted && !owes {
            let needed = if may_owe { wanted.min(1.0) } else { wanted };
            let retry_after = bucket.room_in(now, (needed, wanted), kept, &settings).max(RETRY_MIN);
            let (left, rate, burst) = (left.max(0.0) as u64, bucket.rate, bucket.burst);
            return Err(Refusal { left, rate, burst, kept, retry_after });
        }
        bucket.spend(now, wanted);
        *self.own.entry(name.clone()).or_default() += tokens as i64;
        Ok(())
    }

    /// Whether so little is left of an organisation's bucket that peers should hear at once of what is
    /// spent.
    pub fn is_tight(&self, name: &str) -> bool {
        let (kept, saved) = (self.kept_share(), self.settings.saved);
        self.buckets.get(name).is_some_and(|bucket| bucket.level < bucket.most(kept, saved) / 2.0)
    }

    /// Hands tokens back that a request did not use.
    pub fn refund(&mut self, now: Instant, name: &Arc<str>, tokens: u64) {
        let (kept, saved) = (self.kept_share(), self.settings.saved);
        let Some(bucket) = self.buckets.get_mut(name) else { return };
        bucket.refill(now, kept, saved);
        bucket.give_back(tokens as f64, saved);
        *self.own.entry(name.clone()).or_default() -= tokens as i64;
    }

    /// Whether it is known what was spent in the window: from the first start, from a peer, or since
    /// the host has run for as long.
    pub fn is_known(&self, now: Instant) -> bool {
        /// Time that counts where there is no window.
        const LEAST: Duration = Duration::from_secs(1);
        self.known || now.since(self.started) >= self.settings.window.max(LEAST)
    }

    /// What organisations have spent lately, for a host that starts.
    pub fn accounts(&mut self, now: Instant) -> Vec<Account> {
        let (kept, saved) = (self.kept_share(), self.settings.saved);
        let accounts = self.buckets.iter_mut().map(|(name, bucket)| {
            bucket.refill(now, kept, saved);
            bucket.window.spent(now);
            let spent = bucket.window.parts(now).collect();
            Account { organisation: name.clone(), level: bucket.level, spent }
        });
        accounts.collect()
    }

    /// Takes over what a peer knows, at a start that knows nothing; whether it was taken.
    pub fn adopt(&mut self, now: Instant, accounts: &[Account]) -> bool {
        if self.buckets.is_empty() || self.is_known(now) {
            return false;
        }
        self.known = true;
        let (kept, saved) = (self.kept_share(), self.settings.saved);
        for account in accounts {
            let Some(bucket) = self.buckets.get_mut(&account.organisation) else { continue };
            // The peer may not have heard of this host's own spending yet.
            let own = self.own.get(&account.organisation).map_or(0.0, |own| *own as f64);
            bucket.refill(now, kept, saved);
            bucket.level = (account.level - own).min(bucket.most(kept, saved));
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
    pub fn heard(&mut self, now: Instant, name: &Arc<str>, told: Told) {
        let (kept, saved) = (self.kept_share(), self.settings.saved);
        let is_older = now - told.age < self.started;
        let peer = self.peers.entry(name.clone()).or_default();
        if peer.incarnation != told.incarnation {
            // What one that started before this host spent until now is no concern of a bucket that
            // started empty.
            let spent = if is_older { told.spent.clone() } else { Spent::new() };
            *peer = Peer { incarnation: told.incarnation, spent, silent: false, heard: now };
        }
        (peer.silent, peer.heard) = (false, now);
        for (organisation, total) in told.spent {
            let before = peer.spent.insert(organisation.clone(), total).unwrap_or(0);
            if let Some(bucket) = self.buckets.get_mut(&organisation) {
                bucket.refill(now, kept, saved);
                match total - before {
                    more @ 0.. => bucket.spend(now, more as f64),
                    less => bucket.give_back(-less as f64, saved),
                }
            }
        }
    }

    /// Notes that a peer can't be heard, though it may go on spending.
    pub fn silent(&mut self, now: Instant, name: &Arc<str>) {
        let before = self.kept_share();
        self.peers.entry(name.clone()).or_default().silent = true;
        self.cut(now, before);
    }

    /// Notes which peers have been silent for too long. A process that was stopped knows nothing of
    /// what they spent meanwhile.
    fn look_for_silent(&mut self, now: Instant) {
        let Some(silence) = self.settings.silence else { return };
        let before = self.kept_share();
        for peer in self.peers.values_mut() {
            peer.silent |= now.since(peer.heard) >= silence;
        }
        if self.kept_share() > before {
            self.cut(now, before);
        }
    }

    /// Sets until when this host may spend, if not for good: one that is cut off may have lost its part
    /// to the others.
    pub fn set_until(&mut self, until: Option<Instant>) {
        self.until = until;
    }

    /// Sets how many hosts belong to other cells: they spend their own part of each allowance.
    pub fn set_others(&mut self, now: Instant, others: usize) {
        let before = self.kept_share();
        self.others = others;
        self.cut(now, before);
    }

    /// Cuts buckets to what this host may hold, of which a part was kept back before.
    fn cut(&mut self, now: Instant, before: f64) {
        let (kept, saved) = (self.kept_share(), self.settings.saved);
        for bucket in self.buckets.values_mut() {
            bucket.refill(now, before, saved);
            bucket.level = bucket.level.min(bucket.most(kept, saved));
        }
    }

    /// Notes that a peer surely spends nothing: its process is gone.
    pub fn gone(&mut self, now: Instant, name: &Arc<str>) {
        let (kept, saved) = (self.kept_share(), self.settings.saved);
        self.buckets.values_mut().for_each(|bucket| bucket.refill(now, kept, saved));
        self.peers.remove(name);
    }

    /// Hosts that spend, this one, those that may be silent and those of other cells included.
    pub fn hosts(&self) -> usize {
        self.peers.len() + 1 + self.others
    }

    /// The part of each rate that is kept back for hosts that aren't heard.
    pub fn kept_share(&self) -> f64 {
        let silent = self.peers.values().filter(|peer| peer.silent).count() + self.others;
        silent as f64 / self.hosts() as f64
    }
}

impl Bucket {
    /// The most that it holds where a part is kept back.
    fn most(&self, kept: f64, saved: Duration) -> f64 {
        (self.burst + self.rate * saved.as_secs_f64()) * (1.0 - kept)
    }

    fn refill(&mut self, now: Instant, kept: f64, saved: Duration) {
        let seconds = now.since(self.at).as_secs_f64();
        self.at = self.at.max(now);
        let most = self.most(kept, saved);
        if self.level < most {
            self.level = (self.level + seconds * self.rate * (1.0 - kept)).min(most);
        }
    }

    fn spend(&mut self, now: Instant, tokens: f64) {
        self.level -= tokens;
        self.window.add(now, tokens);
    }

    fn give_back(&mut self, tokens: f64, saved: Duration) {
        self.level = (self.level + tokens).min(self.most(0.0, saved));
        self.window.take_back(tokens);
    }

    /// What a window may hold where a part is kept back.
    fn bound(&self, kept: f64, settings: &Settings) -> f64 {
        (self.rate * settings.window.as_secs_f64() + self.burst) * (1.0 - kept)
    }

    /// What may be spent now, once refilled.
    fn left(&mut self, now: Instant, kept: f64, settings: &Settings) -> f64 {
        if settings.window.is_zero() {
            return self.level;
        }
        self.level.min(self.bound(kept, settings) - self.window.spent(now))
    }

    /// Whether a request may be let in that the bucket pays for later: a cell's part of a small
    /// allowance may never hold enough for a large request, and the window bounds it all the same.
    fn may_owe(&mut self, now: Instant, wanted: f64, kept: f64, settings: &Settings) -> bool {
        let spent = self.window.spent(now);
        let fits = spent <= 0.0 || spent + wanted <= self.bound(kept, settings);
        !settings.window.is_zero() && self.level > 0.0 && fits
    }

    /// Whether the rate has given as much since the start as a request wants, beside what was spent: a
    /// host that does not know what was spent before may let it in, though the bucket never holds so much.
    fn has_earned(&mut self, now: Instant, since: Duration, wanted: f64, kept: f64) -> bool {
        let earned = self.rate * (1.0 - kept) * since.as_secs_f64();
        self.window.spent(now) + wanted <= earned
    }

    /// How long until a request may be let in that needs so many tokens of the bucket and spends so
    /// many, if nobody else spends any.
    fn room_in(
        &mut self,
        now: Instant,
        (needed, wanted): (f64, f64),
        kept: f64,
        settings: &Settings,
    ) -> Duration {
        /// Longest time that a caller is asked to stay away.
        const MOST_S: f64 = 3_600.0;
        let seconds = (needed - self.level) / (self.rate * (1.0 - kept)).max(1.0);
        let refilled = Duration::from_secs_f64(seconds.clamp(0.0, MOST_S));
        if settings.window.is_zero() {
            return refilled;
        }
        let spent = self.window.spent(now);
        let over = (spent + wanted - self.bound(kept, settings)).min(spent);
        match over > 0.0 {
            true => refilled.max(self.window.leaves_in(now, over)),
            false => refilled,
        }
    }
}

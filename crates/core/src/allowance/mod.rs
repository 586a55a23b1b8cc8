//! Allowances of organisations, in tokens, over hosts that tell each other what they spend.
//!
//! Each host keeps the whole allowance as one bucket and takes from it what it spends itself, at
//! once, and what its peers say they have spent, as soon as it hears. So a request is refused only
//! where the fleet as a whole has nothing left. What a peer spends while it can't be heard is unknown:
//! for as long, its even share of the rate is kept back, and burst is cut in the same measure.
//!
//! A bucket starts full only when the whole fleet starts for the first time. After any other start
//! it is empty, since what was spent before isn't known.

#[cfg(test)]
mod tests;

use crate::limit::Terms;
use crate::time::Instant;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

/// Shortest time after which a caller that was refused is asked to come back.
const RETRY_MIN: Duration = Duration::from_millis(100);

/// Not enough tokens are left.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Tokens that are left.
    pub left: u64,
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
}

#[derive(Clone, Debug, Default)]
struct Peer {
    incarnation: u64,
    spent: Spent,
    silent: bool,
}

/// Allowances, as one host sees them.
#[derive(Clone, Debug)]
pub struct Allowances {
    buckets: HashMap<Arc<str>, Bucket>,
    own: Spent,
    peers: HashMap<Arc<str>, Peer>,
    /// Whether new buckets start full.
    full: bool,
    started: Instant,
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
    pub fn new(now: Instant, first_start: bool) -> Allowances {
        Allowances {
            buckets: HashMap::new(),
            own: Spent::new(),
            peers: HashMap::new(),
            full: first_start,
            started: now,
        }
    }

    /// Puts limits in force. A rate of 0 is no limit.
    pub fn configure(&mut self, now: Instant, terms: &[Terms]) {
        let kept = self.kept_share();
        let limited = terms.iter().filter(|terms| terms.rate > 0);
        let mut buckets = HashMap::new();
        for terms in limited {
            let (rate, burst) = (terms.rate as f64, terms.burst as f64);
            let bucket = match self.buckets.remove(&terms.name) {
                Some(mut bucket) => {
                    bucket.refill(now, kept);
                    Bucket { rate, burst, level: bucket.level.min(burst), ..bucket }
                }
                None => {
                    let level = if self.full { burst } else { 0.0 };
                    Bucket { rate, burst, level, at: now }
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
        let kept = self.kept_share();
        let Some(bucket) = self.buckets.get_mut(name) else { return Ok(()) };
        bucket.refill(now, kept);
        let wanted = tokens as f64;
        if bucket.level < wanted {
            let seconds = (wanted - bucket.level) / (bucket.rate * (1.0 - kept)).max(1.0);
            let retry_after = Duration::from_secs_f64(seconds.min(3_600.0)).max(RETRY_MIN);
            return Err(Refusal { left: bucket.level.max(0.0) as u64, retry_after });
        }
        bucket.level -= wanted;
        *self.own.entry(name.clone()).or_default() += tokens as i64;
        Ok(())
    }

    /// Hands tokens back that a request did not use.
    pub fn refund(&mut self, now: Instant, name: &Arc<str>, tokens: u64) {
        let kept = self.kept_share();
        let Some(bucket) = self.buckets.get_mut(name) else { return };
        bucket.refill(now, kept);
        bucket.level = (bucket.level + tokens as f64).min(bucket.burst);
        *self.own.entry(name.clone()).or_default() -= tokens as i64;
    }

    /// What this host has spent.
    pub fn spent(&self) -> &Spent {
        &self.own
    }

    /// Takes in what a peer has spent in all.
    pub fn heard(&mut self, now: Instant, name: &Arc<str>, told: Told) {
        let kept = self.kept_share();
        let is_older = now - told.age < self.started;
        let peer = self.peers.entry(name.clone()).or_default();
        if peer.incarnation != told.incarnation {
            // What one that started before this host spent until now is no concern of a bucket that
            // started empty.
            let spent = if is_older { told.spent.clone() } else { Spent::new() };
            *peer = Peer { incarnation: told.incarnation, spent, silent: false };
        }
        peer.silent = false;
        for (organisation, total) in told.spent {
            let before = peer.spent.insert(organisation.clone(), total).unwrap_or(0);
            if let Some(bucket) = self.buckets.get_mut(&organisation) {
                bucket.refill(now, kept);
                bucket.level = (bucket.level - (total - before) as f64).min(bucket.burst);
            }
        }
    }

    /// Notes that a peer can't be heard, though it may go on spending.
    pub fn silent(&mut self, now: Instant, name: &Arc<str>) {
        let before = self.kept_share();
        self.peers.entry(name.clone()).or_default().silent = true;
        let kept = self.kept_share();
        for bucket in self.buckets.values_mut() {
            bucket.refill(now, before);
            bucket.level = bucket.level.min(bucket.burst * (1.0 - kept));
        }
    }

    /// Notes that a peer surely spends nothing: its process is gone.
    pub fn gone(&mut self, now: Instant, name: &Arc<str>) {
        let kept = self.kept_share();
        self.buckets.values_mut().for_each(|bucket| bucket.refill(now, kept));
        self.peers.remove(name);
    }

    /// Hosts that spend, this one and those that may be silent included.
    pub fn hosts(&self) -> usize {
        self.peers.len() + 1
    }

    /// The part of each rate that is kept back for peers that can't be heard.
    pub fn kept_share(&self) -> f64 {
        let silent = self.peers.values().filter(|peer| peer.silent).count();
        silent as f64 / self.hosts() as f64
    }
}

impl Bucket {
    fn refill(&mut self, now: Instant, kept: f64) {
        let seconds = now.since(self.at).as_secs_f64();
        self.at = self.at.max(now);
        let most = self.burst * (1.0 - kept);
        if self.level < most {
            self.level = (self.level + seconds * self.rate * (1.0 - kept)).min(most);
        }
    }
}

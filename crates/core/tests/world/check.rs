//! What must hold in the world at every moment.

use super::World;
use chestnutrack_core::time::Instant;
use rand::Rng;
use std::collections::BTreeMap;
use std::time::Duration;

/// Time in which an accepted document is in force on each host that acts.
pub(crate) const PROPAGATION: Duration = Duration::from_secs(5);

/// Millionths of a token in a token.
const MICRO: u64 = 1_000_000;

/// One bucket for the whole fleet, which no set of hosts may overdraw, and what was seen last.
pub(crate) struct Checks {
    level: u64,
    at: Instant,
    /// Terms in force at some host within the bound, with when they were last the newest.
    terms: Vec<(Instant, u64, u64)>,
    overdrawn: u64,
    reported: u64,
    refundable: u64,
    /// When each version was accepted.
    accepted: BTreeMap<u64, Instant>,
    versions: BTreeMap<(usize, u64), u64>,
    pub(crate) messages: u64,
    pub(crate) admitted: u64,
    pub(crate) findings: Vec<String>,
}

impl Checks {
    pub(crate) fn new(rate: u64, burst: u64) -> Checks {
        Checks {
            level: burst * MICRO,
            at: Instant::default(),
            terms: vec![(Instant::default(), rate, burst)],
            overdrawn: 0,
            reported: 0,
            refundable: 0,
            accepted: BTreeMap::new(),
            versions: BTreeMap::new(),
            messages: 0,
            admitted: 0,
            findings: Vec::new(),
        }
    }

    /// Tokens were debited for a request.
    pub(crate) fn admit(world: &mut World, tokens: u64) {
        Checks::fill(world);
        world.checks.take(tokens);
    }

    fn take(&mut self, tokens: u64) {
        self.admitted += tokens;
        self.refundable += tokens;
        let wanted = tokens * MICRO;
        // A thousandth of a token is left for rounding.
        self.overdrawn += wanted.saturating_sub(self.level + MICRO / 1_000);
        self.level = self.level.saturating_sub(wanted);
    }

    /// How many tokens a request hands back.
    pub(crate) fn refundable(&mut self, rng: &mut impl Rng) -> u64 {
        let refund = rng.random_range(0..=self.refundable.min(50));
        self.refundable -= refund;
        refund
    }

    /// Tokens were handed back.
    pub(crate) fn refund(world: &mut World, tokens: u64) {
        Checks::fill(world);
        let checks = &mut world.checks;
        checks.level = (checks.level + tokens * MICRO).min(checks.burst() * MICRO);
    }

    /// Tokens admitted beyond rate and burst.
    pub(crate) fn overshoot(&self) -> u64 {
        self.overdrawn.div_ceil(MICRO)
    }

    fn burst(&self) -> u64 {
        self.terms.iter().map(|(_, _, burst)| *burst).max().unwrap_or(0)
    }

    /// Runs the checks of one step.
    pub(crate) fn run(world: &mut World) {
        Checks::fill(world);
        Checks::shares(world);
        Checks::configurations(world);
        let before = world.checks.reported;
        world.checks.reported = world.checks.overshoot();
        if before == 0 && world.checks.reported > 0 {
            let text = format!("{} tokens too many", world.checks.reported);
            Checks::find(world, text);
        }
    }

    fn find(world: &mut World, text: String) {
        let at = world.now.since(Instant::from_millis(1_000_000));
        world.checks.findings.push(format!("after {at:?}: {text}"));
    }

    fn fill(world: &mut World) {
        let now = world.now;
        let newest = world.terms.get(&world.store.accepted).copied();
        let checks = &mut world.checks;
        if let Some((rate, burst)) = newest {
            checks.terms.retain(|(_, r, b)| (*r, *b) != (rate, burst));
            checks.terms.push((now, rate, burst));
        }
        checks.terms.retain(|(at, _, _)| now.since(*at) <= PROPAGATION);
        let rate = checks.terms.iter().map(|(_, rate, _)| *rate).max().unwrap_or(0);
        let elapsed = now.since(checks.at).as_micros();
        let gained = u64::try_from(elapsed).unwrap_or(0).saturating_mul(rate);
        checks.level = checks.level.saturating_add(gained).min(checks.burst() * MICRO);
        checks.at = now;
    }

    /// The shares of all hosts that may act, or may do so when they wake, are at most one.
    fn shares(world: &mut World) {
        let now = world.now;
        let mut sum = 0.0;
        let mut shares = Vec::new();
        for host in world.hosts.iter_mut().filter(|host| !host.dead) {
            let current = host.is_current(now);
            if let Some(divisor) = host.divisor(now).filter(|_| current) {
                sum += 1.0 / f64::from(divisor);
                shares.push((host.index, divisor, host.membership.version()));
            }
        }
        if sum > 1.000_001 && world.checks.findings.len() < 5 {
            let text = format!("shares add up to {sum}: (host, divisor, table) {shares:?}");
            Checks::find(world, text);
        }
    }

    /// No host goes back to an older document, nor acts on one that should be gone by now.
    fn configurations(world: &mut World) {
        let now = world.now;
        let newest = world.store.accepted;
        world.checks.accepted.entry(newest).or_insert(now);
        let mut texts = Vec::new();
        for host in world.hosts.iter().filter(|host| host.runs()) {
            let version = host.config.version();
            let key = (host.index, host.me().incarnation);
            let before = world.checks.versions.insert(key, version).unwrap_or(0);
            if version < before {
                texts.push(format!("host {} went from {before} to {version}", host.index));
            }
            let newer = world.checks.accepted.range(version + 1..).next();
            let late = newer.is_some_and(|(_, at)| now.since(*at) > PROPAGATION);
            let newest_known = !host.membership.knows_newer_configuration(version);
            let trusted = newest_known && host.config.is_trusted(now, host.is_current(now));
            if late && trusted {
                texts.push(format!("host {} still acts on {version}", host.index));
            }
        }
        for text in texts.into_iter().take(5usize.saturating_sub(world.checks.findings.len())) {
            Checks::find(world, text);
        }
    }
}

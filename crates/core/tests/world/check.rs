//! Invariants that are checked in every step of the simulation.

use super::World;
use chestnutrack_core::time::Instant;
use rand::Rng;
use std::collections::BTreeMap;
use std::time::Duration;

/// Longest time until an accepted document is in force on every host that may act.
pub(crate) const PROPAGATION: Duration = Duration::from_secs(5);

/// Microtokens per token.
const MICRO: u64 = 1_000_000;

/// A token bucket for the whole fleet, which the hosts together must not overdraw, and the last observed
/// state.
pub(crate) struct Checks {
    level: u64,
    refilled_at: Instant,
    /// Rates and bursts that may still be in force on some host, with the time at which each was last the
    /// newest.
    quotas: Vec<(Instant, u64, u64)>,
    overdrawn: u64,
    reported_overshoot: u64,
    refundable: u64,
    /// When each version of the document was accepted.
    accepted_at: BTreeMap<u64, Instant>,
    versions: BTreeMap<(usize, u64), u64>,
    pub(crate) messages: u64,
    pub(crate) admitted: u64,
    pub(crate) findings: Vec<String>,
}

impl Checks {
    pub(crate) fn new(rate: u64, burst: u64) -> Checks {
        Checks {
            level: burst * MICRO,
            refilled_at: Instant::default(),
            quotas: vec![(Instant::default(), rate, burst)],
            overdrawn: 0,
            reported_overshoot: 0,
            refundable: 0,
            accepted_at: BTreeMap::new(),
            versions: BTreeMap::new(),
            messages: 0,
            admitted: 0,
            findings: Vec::new(),
        }
    }

    /// Records that tokens were debited for a request.
    pub(crate) fn admit(world: &mut World, tokens: u64) {
        Checks::refill(world);
        world.checks.debit(tokens);
    }

    fn debit(&mut self, tokens: u64) {
        self.admitted += tokens;
        self.refundable += tokens;
        let wanted = tokens * MICRO;
        // Tolerates a thousandth of a token for rounding.
        self.overdrawn += wanted.saturating_sub(self.level + MICRO / 1_000);
        self.level = self.level.saturating_sub(wanted);
    }

    /// Returns a random number of tokens that a request refunds.
    pub(crate) fn refundable(&mut self, rng: &mut impl Rng) -> u64 {
        let refund = rng.random_range(0..=self.refundable.min(50));
        self.refundable -= refund;
        refund
    }

    /// Records that tokens were refunded.
    pub(crate) fn refund(world: &mut World, tokens: u64) {
        Checks::refill(world);
        let checks = &mut world.checks;
        checks.level = (checks.level + tokens * MICRO).min(checks.burst() * MICRO);
    }

    /// Returns the tokens that were admitted beyond rate and burst.
    pub(crate) fn overshoot(&self) -> u64 {
        self.overdrawn.div_ceil(MICRO)
    }

    fn burst(&self) -> u64 {
        self.quotas.iter().map(|(_, _, burst)| *burst).max().unwrap_or(0)
    }

    /// Runs all checks of one step.
    pub(crate) fn run(world: &mut World) {
        Checks::refill(world);
        Checks::check_shares(world);
        Checks::check_configurations(world);
        let before = world.checks.reported_overshoot;
        world.checks.reported_overshoot = world.checks.overshoot();
        if before == 0 && world.checks.reported_overshoot > 0 {
            let text = format!("{} tokens too many", world.checks.reported_overshoot);
            Checks::add_finding(world, text);
        }
    }

    fn add_finding(world: &mut World, text: String) {
        let at = world.now.since(Instant::from_millis(1_000_000));
        world.checks.findings.push(format!("after {at:?}: {text}"));
    }

    fn refill(world: &mut World) {
        let now = world.now;
        let newest = world.quotas.get(&world.store.accepted).copied();
        let checks = &mut world.checks;
        if let Some((rate, burst)) = newest {
            checks.quotas.retain(|(_, r, b)| (*r, *b) != (rate, burst));
            checks.quotas.push((now, rate, burst));
        }
        checks.quotas.retain(|(at, _, _)| now.since(*at) <= PROPAGATION);
        let rate = checks.quotas.iter().map(|(_, rate, _)| *rate).max().unwrap_or(0);
        let elapsed = now.since(checks.refilled_at).as_micros();
        let gained = u64::try_from(elapsed).unwrap_or(0).saturating_mul(rate);
        checks.level = checks.level.saturating_add(gained).min(checks.burst() * MICRO);
        checks.refilled_at = now;
    }

    /// Checks that the shares of all hosts that may act, or may do so once resumed, add up to at most one.
    fn check_shares(world: &mut World) {
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
            Checks::add_finding(world, text);
        }
    }

    /// Checks that no host returns to an older document or acts on one that must have been replaced by now.
    fn check_configurations(world: &mut World) {
        let now = world.now;
        let newest = world.store.accepted;
        world.checks.accepted_at.entry(newest).or_insert(now);
        let mut texts = Vec::new();
        for host in world.hosts.iter().filter(|host| host.runs()) {
            let version = host.config.version();
            let key = (host.index, host.me().incarnation);
            let before = world.checks.versions.insert(key, version).unwrap_or(0);
            if version < before {
                texts.push(format!("host {} went from {before} to {version}", host.index));
            }
            let newer = world.checks.accepted_at.range(version + 1..).next();
            let late = newer.is_some_and(|(_, at)| now.since(*at) > PROPAGATION);
            let newest_known = !host.membership.knows_newer_configuration(version);
            let trusted = newest_known && host.config.is_trusted(now, host.is_current(now));
            if late && trusted {
                texts.push(format!("host {} still acts on {version}", host.index));
            }
        }
        for text in texts.into_iter().take(5usize.saturating_sub(world.checks.findings.len())) {
            Checks::add_finding(world, text);
        }
    }
}

//! Servers that limit the requests that they take from all hosts together.
//!
//! A server in need states in its answers how many requests a second it takes. The hosts share that rate as they share the
//! allowance of an organisation ([`crate::allowance`]): each host counts its own requests when they are placed at the
//! server, and those of its peers when they report them. A server whose rate is used up gets no requests until more has
//! accrued. Since a report takes some time, each host waits for more or less of it, so that not all hosts send at once. The
//! limit ends when the server answers a request without stating one that was sent after its last statement.

use super::admission::PendingRetries;
use super::peer::REPORT_OVERDUE_AFTER;
use super::{Dispatch, ServerKey, Stage, shuffle};
use crate::allowance::{self, Allowances, Report};
use crate::limit::Quota;
use crate::mix::mix;
use crate::time::Instant;
use chestnutrack_wire::frame::{LimitReport, LimitStatement};
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

/// Tokens of an allowance that one request costs. Limits may be fractions of a request a second.
const TOKENS_PER_REQUEST: u64 = 1_000;
/// Lowest and highest limit that is followed, in requests per second. A server that takes none at all still gets a request
/// now and then, whose answer tells whether its limit has ended.
const LIMIT_RANGE: (f64, f64) = (0.1, 1_000_000.0);
/// Time whose requests, accrued at the limit, may be sent at once. Hosts that wait for different parts of it are further
/// apart than the delay of their reports.
const ACCRUAL_TIME: Duration = Duration::from_secs(1);
/// How long a limit is remembered that has ended, or whose server has left.
const RETENTION: Duration = Duration::from_secs(60);
/// Longest retry time given to callers refused because of limits.
const RETRY_MAX: Duration = Duration::from_secs(8);

/// A change of the limit that a server states.
#[derive(Clone, Debug, PartialEq)]
pub struct LimitChange {
    /// Name of the server.
    pub server: Arc<str>,
    /// Requests per second that the server takes from now on; `None` if it states no limit any more.
    pub limit: Option<f64>,
}

/// What a server has said of its limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Statement {
    /// Limit in tokens per second; `None` if it has ended.
    rate: Option<u64>,
    /// When the answer that says so was received.
    received_at: Instant,
}

/// The limit of one process of a server.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Limit {
    /// When the process started. Distinguishes restarts under the same name.
    born: Option<u64>,
    /// Last statement that this host or a peer received.
    last: Statement,
    /// Last statement that this host received itself. Only those are reported to peers, so that none returns with another
    /// age to where it came from.
    own: Option<Statement>,
    /// Part of the accrued requests that this host waits for before it sends one, from 0 to 1. It is drawn anew after each
    /// request of any host.
    threshold: f64,
}

/// Limits of servers, and what the hosts have sent under them.
#[derive(Debug)]
pub(super) struct Throttle {
    /// Ordered by name, so that runs are reproducible.
    limits: BTreeMap<Arc<str>, Limit>,
    /// One allowance for each server that has a limit.
    allowances: Allowances,
    /// When callers refused because of limits were asked to retry, by service.
    pending_retries: HashMap<Arc<str>, PendingRetries>,
    /// Numbers from which thresholds are drawn. They differ between hosts.
    thresholds: shuffle::Sequence,
}

impl Default for Throttle {
    fn default() -> Throttle {
        let settings = allowance::Settings {
            accrual_time: ACCRUAL_TIME,
            unreachable_after: Some(REPORT_OVERDUE_AFTER),
            overdraw: true,
            ..allowance::Settings::default()
        };
        Throttle {
            limits: BTreeMap::new(),
            // A server that states a limit has room for a few requests, or refuses them.
            allowances: Allowances::new(Instant::default(), true, settings),
            pending_retries: HashMap::new(),
            thresholds: shuffle::Sequence::default(),
        }
    }
}

impl Throttle {
    /// Returns the time until a server may get a request; zero if it may get one now.
    fn wait(&self, now: Instant, server: &str) -> Duration {
        let threshold = self.limits.get(server).map_or(0.0, |limit| limit.threshold);
        self.allowances.time_until_filled(now, server, threshold)
    }

    /// Returns whether a server may get a request now.
    pub(super) fn has_room(&self, now: Instant, server: &str) -> bool {
        self.wait(now, server).is_zero()
    }

    /// Counts a request to a server. Returns `false`, and counts nothing, if the server may not get it now.
    pub(super) fn take(&mut self, now: Instant, server: &Arc<str>) -> bool {
        self.draw_threshold(server);
        self.allowances.debit(now, server, TOKENS_PER_REQUEST).is_ok()
    }

    /// Draws anew which part of a server's accrued requests this host waits for.
    fn draw_threshold(&mut self, server: &str) {
        let Some(limit) = self.limits.get_mut(server) else { return };
        limit.threshold = mix(self.thresholds.next()) as f64 / u64::MAX as f64;
    }

    /// Replaces the limit of a server. Returns whether its rate has changed.
    fn set(&mut self, now: Instant, server: &Arc<str>, limit: Limit) -> bool {
        let previous = self.limits.insert(server.clone(), limit);
        let changed = previous.and_then(|previous| previous.last.rate) != limit.last.rate;
        if changed {
            self.forget_old(now);
            self.configure(now);
        }
        changed
    }

    /// Forgets the limit of another process under the same name.
    pub(super) fn record_start(&mut self, now: Instant, server: &str, born: Option<u64>) {
        if self.limits.get(server).is_some_and(|limit| limit.born != born) {
            self.limits.remove(server);
            self.configure(now);
        }
    }

    /// Applies the limits to the allowances.
    fn configure(&mut self, now: Instant) {
        let quotas = self.limits.iter().filter_map(|(name, limit)| {
            Some(Quota { name: name.clone(), rate: limit.last.rate?, burst: 0 })
        });
        let quotas: Vec<Quota> = quotas.collect();
        self.allowances.configure(now, &quotas);
    }

    /// Forgets limits that ended long ago.
    fn forget_old(&mut self, now: Instant) {
        let is_old = |limit: &Limit| {
            limit.last.rate.is_none() && now.since(limit.last.received_at) >= RETENTION
        };
        let old = self.limits.iter().filter(|(_, limit)| is_old(limit));
        let old: Vec<Arc<str>> = old.map(|(name, _)| name.clone()).collect();
        for name in old {
            self.limits.remove(&name);
            self.allowances.forget(&name);
        }
    }

    /// Forgets the limits of servers that left long ago. `is_listed` says of a name whether the server is listed.
    fn forget_unlisted(&mut self, now: Instant, is_listed: impl Fn(&str) -> bool) {
        let is_gone = |name: &Arc<str>, limit: &Limit| {
            !is_listed(name) && now.since(limit.last.received_at) >= RETENTION
        };
        let gone = self.limits.iter_mut().filter(|(name, limit)| is_gone(name, limit));
        if gone.fold(false, |changed, (_, limit)| changed | limit.last.rate.take().is_some()) {
            self.configure(now);
        }
        self.forget_old(now);
    }

    /// Removes a peer whose process has ended.
    pub(super) fn remove_peer(&mut self, now: Instant, peer: &Arc<str>) {
        self.allowances.remove_peer(now, peer);
    }
}

/// Returns a limit in tokens per second. `limit` is in requests per second.
fn to_rate(limit: f64) -> u64 {
    let (lowest, highest) = LIMIT_RANGE;
    (limit.clamp(lowest, highest) * TOKENS_PER_REQUEST as f64) as u64
}

/// Returns a rate in requests per second.
fn to_limit(rate: u64) -> f64 {
    rate as f64 / TOKENS_PER_REQUEST as f64
}

impl<T> Dispatch<T> {
    /// Sets the seed of the decisions in which hosts must differ.
    pub fn set_seed(&mut self, seed: u64) {
        self.throttle.thresholds = shuffle::Sequence::new(seed);
        self.floor_draws = super::priority::floor_draws(seed);
    }

    /// Records the limit that a server stated in its answer to a request sent at `sent_at`, in requests per second, or that
    /// it stated none. Returns the change, if any.
    pub fn record_limit(
        &mut self,
        now: Instant,
        key: ServerKey,
        sent_at: Instant,
        limit: Option<f64>,
    ) -> Option<LimitChange> {
        let entry = &self.servers.get(key)?.entry;
        let known = self.throttle.limits.get(&entry.name);
        let known = known.filter(|known| known.born == entry.born);
        // An answer without a limit may have been written before the server stated one.
        let ends = known
            .is_some_and(|known| known.last.rate.is_some() && known.last.received_at < sent_at);
        if limit.is_none() && !ends {
            return None;
        }
        let statement = Statement { rate: limit.map(to_rate), received_at: now };
        let threshold = known.map_or(0.0, |known| known.threshold);
        let own = Some(statement);
        let limit = Limit { born: entry.born, last: statement, own, threshold };
        let server = entry.name.clone();
        let changed = self.throttle.set(now, &server, limit);
        changed.then(|| LimitChange { server, limit: statement.rate.map(to_limit) })
    }

    /// Counts a call of the router's own to a server. Returns `false` if the server must not get it now.
    pub fn admit_call(&mut self, now: Instant, key: ServerKey) -> bool {
        let Some(server) = self.servers.get(key) else { return false };
        server.accepts(now) && self.throttle.take(now, &server.entry.name)
    }

    /// Returns whether a server limits its requests.
    pub fn is_limited(&self, key: ServerKey) -> bool {
        let server = self.servers.get(key);
        server.is_some_and(|server| self.throttle.allowances.rate(&server.entry.name).is_some())
    }

    /// Returns the servers' limits and what this host has sent under them, for the report to peers.
    pub fn limit_reports(&mut self, now: Instant) -> Vec<LimitReport> {
        let names = &self.keys_by_name;
        self.throttle.forget_unlisted(now, |name| names.contains_key(name));
        let sent = self.throttle.allowances.spent();
        let age_ms = |at: Instant| u32::try_from(now.since(at).as_millis()).unwrap_or(u32::MAX);
        let reports = self.throttle.limits.iter().map(|(server, limit)| LimitReport {
            server: server.clone(),
            born: limit.born,
            statement: limit
                .own
                .map(|own| LimitStatement { rate: own.rate, age_ms: age_ms(own.received_at) }),
            sent: sent.get(server).copied().unwrap_or_default(),
        });
        reports.collect()
    }

    /// Records what a peer's process reports of servers' limits, and what it has sent under them. Returns the changes.
    pub fn record_peer_limits(
        &mut self,
        now: Instant,
        peer: &Arc<str>,
        incarnation: u64,
        reports: &[LimitReport],
    ) -> Vec<LimitChange> {
        let mut changes = Vec::new();
        for report in reports {
            let Some(&key) = self.keys_by_name.get(&report.server) else { continue };
            let Some(statement) = &report.statement else { continue };
            if self.servers[key].entry.born != report.born {
                continue;
            }
            let received_at = now - Duration::from_millis(statement.age_ms.into());
            let last = Statement { rate: statement.rate, received_at };
            let known = self.throttle.limits.get(&report.server).copied();
            let known = known.filter(|known| known.born == report.born);
            if known.is_some_and(|known| received_at <= known.last.received_at) {
                continue;
            }
            let own = known.and_then(|known| known.own);
            let threshold = known.map_or(0.0, |known| known.threshold);
            let limit = Limit { born: report.born, last, own, threshold };
            if self.throttle.set(now, &report.server, limit) {
                let (server, limit) = (report.server.clone(), last.rate.map(to_limit));
                changes.push(LimitChange { server, limit });
            }
        }
        for report in reports {
            if self.throttle.allowances.peer_spent(peer, &report.server) != Some(report.sent) {
                self.throttle.draw_threshold(&report.server);
            }
        }
        let spent = reports.iter().map(|report| (report.server.clone(), report.sent));
        // What a process has sent before its first report isn't debited: it may have been long ago.
        let age = Duration::MAX;
        let report = Report { incarnation, age, spent: spent.collect() };
        self.throttle.allowances.record_report(now, peer, report);
        changes
    }

    /// Reserves a part of the limits for a peer that can't be heard and may still be sending.
    pub fn mark_unreachable(&mut self, now: Instant, peer: &Arc<str>) {
        self.throttle.allowances.mark_unreachable(now, peer);
    }

    /// Sets the number of hosts in other cells, which use their own part of each limit.
    pub fn set_other_cell_hosts(&mut self, now: Instant, hosts: usize) {
        self.throttle.allowances.set_other_cell_hosts(now, hosts);
    }

    /// Returns the time until the limits of a service's servers, or of its engines of a stage, allow one more request after
    /// `ahead` others. Returns `None` if one of the servers may get a request now, or none of them accepts requests.
    pub(super) fn throttled_for(
        &self,
        now: Instant,
        service: &str,
        stage: Option<Stage>,
        ahead: usize,
    ) -> Option<Duration> {
        let servers = self.servers.values().filter(|server| {
            &*server.entry.service == service && server.entry.stage == stage && server.accepts(now)
        });
        let names: Vec<&Arc<str>> = servers.map(|server| &server.entry.name).collect();
        let first = names.iter().map(|name| self.throttle.wait(now, name)).min()?;
        let rates = names.iter().filter_map(|name| self.throttle.allowances.rate(name));
        let requests_per_s = (rates.sum::<f64>() / TOKENS_PER_REQUEST as f64).max(LIMIT_RANGE.0);
        let wait = first + Duration::from_secs_f64(ahead as f64 / requests_per_s);
        (!first.is_zero()).then_some(wait)
    }

    /// Returns the retry time for a refused caller of a plain service whose servers have all reached their limits, behind
    /// those who were refused before; `None` if a server may get a request now, or none of them accepts requests.
    pub fn throttled_retry_after(&mut self, now: Instant, service: &Arc<str>) -> Option<Duration> {
        let hosts = self.peers.len() + 1;
        let pending = self.throttle.pending_retries.get_mut(service);
        let ahead = pending.map_or(0, |pending| pending.pending(now)) * hosts;
        let wait = self.throttled_for(now, service, None, ahead)?;
        let retry_after = wait.clamp(self.settings.retry_after.0, RETRY_MAX);
        let pending = self.throttle.pending_retries.entry(service.clone()).or_default();
        pending.add(now + retry_after);
        Some(retry_after)
    }
}

//! Limits per organisation, service and caller: token allowances, retry budgets and recently
//! refused callers.
//!
//! An allowance is the tokens that an organisation may spend over time, on all hosts together. An
//! account is the record of its recent spending. A caller is identified by a hash of what it
//! requests.

use super::App;
use chestnutrack_core::allowance::{Account, Purpose, Refusal};
use chestnutrack_core::retry::{self, Budget};
use chestnutrack_core::time::Instant;
use chestnutrack_process::clock;
use chestnutrack_wire::frame::AccountReport;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// Retries earned by each thousand requests. This is less than the platform's share of 0.2, because
/// each host counts its requests on its own.
const RETRIES_PER_MILLE: u32 = 150;
/// Part of the fleet's burst of retries that hosts share, in per cent.
const RETRY_BURST_SHARE_PERCENT: u64 = 70;
/// Highest number of retries of one request: a generation may be sent again three times, each with a new prefill.
const RETRIES_PER_REQUEST: u32 = 6;
/// Shortest time between two gossip messages that are sent only because tokens were spent, for each
/// host of the fleet. Twenty hosts on links of 10 Mbit/s have no bandwidth to spare for more; they
/// report spending with their heartbeats.
const SPENDING_REPORT_INTERVAL_PER_HOST: Duration = Duration::from_millis(25);
/// How long the refusal of a caller is reported to peers.
const REFUSAL_REPORT_PERIOD: Duration = Duration::from_secs(2);

impl App {
    /// Debits tokens from an organisation's allowance, for a request without a stream; see [`App::debit_for`].
    ///
    /// # Errors
    ///
    /// Returns the refusal if the allowance does not cover the tokens.
    pub fn debit(&self, organisation: &Arc<str>, tokens: u64) -> Result<(), Refusal> {
        self.debit_for(organisation, tokens, Purpose::Other)
    }

    /// Debits tokens from an organisation's allowance. If less than half of it remains, the
    /// spending is reported to peers soon rather than with the next heartbeat, unless that was done
    /// shortly before.
    ///
    /// # Errors
    ///
    /// Returns the refusal if the allowance does not cover the tokens.
    pub fn debit_for(
        &self,
        organisation: &Arc<str>,
        tokens: u64,
        purpose: Purpose,
    ) -> Result<(), Refusal> {
        let now = clock::now();
        let mut state = self.state();
        let result = state.allowances.debit_for(now, organisation, tokens, purpose);
        let hosts = u32::try_from(state.allowances.host_count()).unwrap_or(u32::MAX);
        let is_due = now.since(state.spending_reported_at)
            >= SPENDING_REPORT_INTERVAL_PER_HOST.saturating_mul(hosts);
        if result.is_ok() && is_due && state.allowances.is_below_half(organisation) {
            state.spending_reported_at = now;
            self.gossip_due.notify_one();
        }
        result
    }

    /// Credits tokens that were debited but not used.
    pub fn refund(&self, organisation: &Arc<str>, tokens: u64) {
        self.state().allowances.refund(clock::now(), organisation, tokens);
    }

    /// Returns `true` if this host knows what organisations have spent recently.
    pub(crate) fn knows_accounts(&self) -> bool {
        self.state().allowances.is_history_known(clock::now())
    }

    /// Returns the accounts of what organisations have spent recently, for a peer that has just
    /// started: the tokens that remain (`level`), and the spending with its age.
    pub(crate) fn accounts(&self) -> Vec<AccountReport> {
        let accounts = self.state().allowances.accounts(clock::now());
        let millis = |age: Duration| u32::try_from(age.as_millis()).unwrap_or(u32::MAX);
        let reports = accounts.into_iter().map(|account| AccountReport {
            organisation: account.organisation,
            level: account.level as i64,
            spent: account.spent.iter().map(|(age, spent)| (millis(*age), *spent as u64)).collect(),
        });
        reports.collect()
    }

    /// Adopts a peer's accounts of what organisations have spent, unless this host knows that
    /// already.
    pub(crate) fn adopt_accounts(&self, peer: &str, reports: &[AccountReport]) {
        let duration = |age_ms: u32| Duration::from_millis(u64::from(age_ms));
        let accounts = reports.iter().map(|report| Account {
            organisation: report.organisation.clone(),
            level: report.level as f64,
            spent: report
                .spent
                .iter()
                .map(|(age_ms, spent)| (duration(*age_ms), *spent as f64))
                .collect(),
        });
        let accounts: Vec<Account> = accounts.collect();
        let adopted = self.state().allowances.adopt(clock::now(), &accounts);
        tracing::info!(peer, accounts = accounts.len(), adopted, "accounts received from a peer");
    }

    /// Credits a request to the retry budget of its service.
    pub fn earn_retry(&self, service: &Arc<str>) {
        self.with_retry_budget(service, Budget::earn);
    }

    /// Debits a retry of a request that was retried `retries_so_far` times before. Returns `false`
    /// if the budget denies it.
    pub fn spend_retry(&self, service: &Arc<str>, retries_so_far: u32) -> bool {
        let granted = self.with_retry_budget(service, |budget| budget.spend(retries_so_far));
        let counter = if granted { &self.metrics.retries } else { &self.metrics.retries_denied };
        counter.inc();
        granted
    }

    /// Returns `true` if the budget allows a retry of a request that was retried `retries_so_far` times before.
    pub fn allows_retry(&self, service: &Arc<str>, retries_so_far: u32) -> bool {
        self.with_retry_budget(service, |budget| budget.allows(retries_so_far))
    }

    /// Runs `action` on a service's retry budget, after adapting it to the current burst and number
    /// of hosts.
    fn with_retry_budget<R>(&self, service: &Arc<str>, action: impl FnOnce(&mut Budget) -> R) -> R {
        let mut state = self.state();
        let hosts = u32::try_from(state.allowances.host_count()).unwrap_or(u32::MAX);
        let burst = u64::from(self.retry_burst.load(Ordering::Relaxed));
        let share = burst * RETRY_BURST_SHARE_PERCENT / 100 / u64::from(hosts);
        let settings = retry::Settings {
            per_mille: RETRIES_PER_MILLE,
            burst: u32::try_from(share).unwrap_or(u32::MAX),
            per_request: RETRIES_PER_REQUEST,
        };
        let budget =
            state.retry_budgets.entry(service.clone()).or_insert_with(|| Budget::new(settings));
        budget.set_settings(settings);
        action(budget)
    }

    /// Returns when a caller that was refused recently first sent its request. `caller` is the hash
    /// of what it requests.
    pub fn first_seen(&self, caller: u64) -> Option<Instant> {
        self.state().refused_callers.first_seen(clock::now(), caller)
    }

    /// Records the refusal of a caller. The caller's first request arrived at `first_arrived_at`.
    pub fn record_refusal(&self, caller: u64, first_arrived_at: Instant) {
        let now = clock::now();
        let mut state = self.state();
        state.refused_callers.record(now, caller, first_arrived_at);
        state
            .recent_refusals
            .retain(|(.., refused_at)| now.since(*refused_at) < REFUSAL_REPORT_PERIOD);
        state.recent_refusals.push_back((caller, first_arrived_at, now));
        drop(state);
        self.gossip_due.notify_one();
    }

    /// Returns the recently refused callers and the ages of their first requests, in milliseconds.
    pub(crate) fn recent_refusals(&self) -> Vec<(u64, u32)> {
        let now = clock::now();
        let state = self.state();
        let recent = state
            .recent_refusals
            .iter()
            .filter(|(.., refused_at)| now.since(*refused_at) < REFUSAL_REPORT_PERIOD);
        let age_ms = |first_arrived_at: Instant| {
            u32::try_from(now.since(first_arrived_at).as_millis()).unwrap_or(u32::MAX)
        };
        recent.map(|(caller, first_arrived_at, _)| (*caller, age_ms(*first_arrived_at))).collect()
    }

    /// Records the callers that a peer reports as refused, with the ages of their first requests in
    /// milliseconds, so that a caller that retries at this host is recognised.
    pub(crate) fn record_peer_refusals(&self, refused: &[(u64, u32)]) {
        let now = clock::now();
        let mut state = self.state();
        for (caller, age_ms) in refused {
            let first_arrived_at = now - Duration::from_millis(u64::from(*age_ms));
            state.refused_callers.record(now, *caller, first_arrived_at);
        }
    }
}

//! Allowances of organisations, the budget of repeats, and callers that come back.

use super::App;
use chestnutrack_core::allowance::{Account, Refusal};
use chestnutrack_core::retry::{self, Budget};
use chestnutrack_core::time::Instant;
use chestnutrack_process::clock;
use chestnutrack_wire::frame::AccountReport;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// Repeats earned by each thousand requests; below the platform's share of 0.2, since hosts count
/// for themselves.
const REPEATS_PER_MILLE: u32 = 150;
/// Part of the fleet's extra repeats that hosts share, in per cent.
const REPEATS_PART: u32 = 70;
/// Repeats of one request.
const REPEATS_PER_REQUEST: u32 = 3;
/// Time between two news for spending alone, for each host of the fleet: twenty hosts on links of 10 Mbit/s
/// have none to spare for them, and tell it with their heartbeats.
const TELL_SPENDING_PER_HOST: Duration = Duration::from_millis(25);
/// How long peers are told of a refused caller.
const REFUSED_TOLD: Duration = Duration::from_secs(2);

impl App {
    /// Takes an organisation's tokens.
    ///
    /// # Errors
    ///
    /// When there are not enough.
    pub fn debit(&self, organisation: &Arc<str>, tokens: u64) -> Result<(), Refusal> {
        let now = clock::now();
        let mut state = self.state();
        let taken = state.allowances.debit(now, organisation, tokens);
        let hosts = u32::try_from(state.allowances.host_count()).unwrap_or(u32::MAX);
        let due = now.since(state.spending_told) >= TELL_SPENDING_PER_HOST.saturating_mul(hosts);
        if taken.is_ok() && due && state.allowances.is_below_half(organisation) {
            state.spending_told = now;
            self.news.notify_one();
        }
        taken
    }

    /// Hands tokens back that were not used.
    pub fn refund(&self, organisation: &Arc<str>, tokens: u64) {
        self.state().allowances.refund(clock::now(), organisation, tokens);
    }

    /// Whether this host knows what organisations have spent lately.
    pub(crate) fn knows_accounts(&self) -> bool {
        self.state().allowances.is_history_known(clock::now())
    }

    /// What organisations have spent lately, for a peer that starts.
    pub(crate) fn accounts(&self) -> Vec<AccountReport> {
        let accounts = self.state().allowances.accounts(clock::now());
        let millis = |ago: Duration| u32::try_from(ago.as_millis()).unwrap_or(u32::MAX);
        let news = accounts.into_iter().map(|account| AccountReport {
            organisation: account.organisation,
            level: account.level as i64,
            spent: account.spent.iter().map(|(ago, spent)| (millis(*ago), *spent as u64)).collect(),
        });
        news.collect()
    }

    /// Takes over what a peer knows of organisations' spending.
    pub(crate) fn adopt_accounts(&self, peer: &str, news: &[AccountReport]) {
        let millis = |ago: u32| Duration::from_millis(u64::from(ago));
        let accounts = news.iter().map(|news| Account {
            organisation: news.organisation.clone(),
            level: news.level as f64,
            spent: news.spent.iter().map(|(ago, spent)| (millis(*ago), *spent as f64)).collect(),
        });
        let accounts: Vec<Account> = accounts.collect();
        let adopted = self.state().allowances.adopt(clock::now(), &accounts);
        tracing::info!(peer, accounts = accounts.len(), adopted, "accounts heard from a peer");
    }

    /// Notes a request in its service's budget of repeats.
    pub fn earn_repeat(&self, service: &Arc<str>) {
        self.with_budget(service, Budget::earn);
    }

    /// Takes a repeat of a request that was repeated `before` times.
    pub fn spend_repeat(&self, service: &Arc<str>, before: u32) -> bool {
        let taken = self.with_budget(service, |budget| budget.spend(before));
        let counter = if taken { &self.metrics.repeats } else { &self.metrics.repeats_denied };
        counter.inc();
        taken
    }

    fn with_budget<R>(&self, service: &Arc<str>, act: impl FnOnce(&mut Budget) -> R) -> R {
        let mut state = self.state();
        let hosts = u32::try_from(state.allowances.host_count()).unwrap_or(u32::MAX);
        let settings = retry::Settings {
            per_mille: REPEATS_PER_MILLE,
            burst: self.repeats.load(Ordering::Relaxed) * REPEATS_PART / 100 / hosts,
            per_request: REPEATS_PER_REQUEST,
        };
        let budget = state.budgets.entry(service.clone()).or_insert_with(|| Budget::new(settings));
        budget.set_settings(settings);
        act(budget)
    }

    /// When a caller came first that is known by what it asks for.
    pub fn first_seen(&self, caller: u64) -> Option<Instant> {
        self.state().callers.first_seen(clock::now(), caller)
    }

    /// Notes that a caller was refused that came first at `first`.
    pub fn note_refused(&self, caller: u64, first: Instant) {
        let now = clock::now();
        let mut state = self.state();
        state.callers.record(now, caller, first);
        state.refused.retain(|(.., at)| now.since(*at) < REFUSED_TOLD);
        state.refused.push_back((caller, first, now));
        drop(state);
        self.news.notify_one();
    }

    /// Callers refused lately, and how long ago they came first, in milliseconds.
    pub(crate) fn refused_lately(&self) -> Vec<(u64, u32)> {
        let now = clock::now();
        let state = self.state();
        let fresh = state.refused.iter().filter(|(.., at)| now.since(*at) < REFUSED_TOLD);
        let age = |first: Instant| u32::try_from(now.since(first).as_millis()).unwrap_or(u32::MAX);
        fresh.map(|(caller, first, _)| (*caller, age(*first))).collect()
    }

    /// Takes in what a peer tells of callers it refused.
    pub(crate) fn hear_refused(&self, refused: &[(u64, u32)]) {
        let now = clock::now();
        let mut state = self.state();
        for (caller, age) in refused {
            let first = now - Duration::from_millis(u64::from(*age));
            state.callers.record(now, *caller, first);
        }
    }
}

//! A member's estimates of its peers' balances for one organisation.

use crate::time::Instant;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// How long a peer that lent less than requested is considered to have no tokens to lend.
pub(super) const SHORTFALL_PERIOD: Duration = Duration::from_millis(40);

#[derive(Clone, Copy, Debug)]
struct Estimate {
    tokens: u64,
    updated_at: Instant,
    shortfall_at: Option<Instant>,
}

/// Estimates by peer.
#[derive(Clone, Debug, Default)]
pub(super) struct Estimates(BTreeMap<Arc<str>, Estimate>);

/// A peer's share of the organisation's rate and burst.
#[derive(Clone, Copy, Debug)]
pub(super) struct Share {
    pub(super) per_s: u64,
    pub(super) burst: u64,
}

impl Estimates {
    /// Drops the estimates of all other peers. New peers are estimated to have a full share.
    pub(super) fn set_peers(&mut self, now: Instant, peers: &[Arc<str>], share: Share) {
        self.0.retain(|name, _| peers.contains(name));
        for peer in peers {
            let full = Estimate { tokens: share.burst, updated_at: now, shortfall_at: None };
            self.0.entry(peer.clone()).or_insert(full);
        }
    }

    /// Returns the number of peers.
    pub(super) fn count(&self) -> u64 {
        u64::try_from(self.0.len()).unwrap_or(u64::MAX)
    }

    /// Returns the peers estimated to have tokens and their estimates, the largest first.
    pub(super) fn lenders(&self, now: Instant, share: Share) -> Vec<(Arc<str>, u64)> {
        let available = |(_, estimate): &(&Arc<str>, &Estimate)| !estimate.had_shortfall(now);
        let estimated =
            |(name, estimate): (&Arc<str>, &Estimate)| (name.clone(), estimate.tokens(now, share));
        let mut lenders: Vec<_> = self.0.iter().filter(available).map(estimated).collect();
        lenders.retain(|(_, tokens)| *tokens > 0);
        lenders.sort_by_key(|(_, tokens)| std::cmp::Reverse(*tokens));
        lenders
    }

    /// Returns the number of peers without a recent shortfall.
    pub(super) fn available_lender_count(&self, now: Instant) -> u64 {
        let available = self.0.values().filter(|estimate| !estimate.had_shortfall(now)).count();
        u64::try_from(available).unwrap_or(u64::MAX)
    }

    /// Subtracts tokens requested from a peer.
    pub(super) fn record_request(&mut self, now: Instant, peer: &str, tokens: u64, share: Share) {
        if let Some(estimate) = self.0.get_mut(peer) {
            estimate.tokens = estimate.tokens(now, share).saturating_sub(tokens);
            estimate.updated_at = now;
        }
    }

    /// Records that a peer lent less than requested, or did not answer.
    pub(super) fn record_shortfall(&mut self, now: Instant, peer: &str) {
        if let Some(estimate) = self.0.get_mut(peer) {
            *estimate = Estimate { tokens: 0, updated_at: now, shortfall_at: Some(now) };
        }
    }
}

impl Estimate {
    fn had_shortfall(&self, now: Instant) -> bool {
        self.shortfall_at.is_some_and(|at| now.since(at) < SHORTFALL_PERIOD)
    }

    fn tokens(&self, now: Instant, share: Share) -> u64 {
        let elapsed = now.since(self.updated_at).as_micros();
        let grown = elapsed * u128::from(share.per_s) / 1_000_000;
        let grown = u64::try_from(grown).unwrap_or(u64::MAX);
        self.tokens.saturating_add(grown).min(share.burst)
    }
}

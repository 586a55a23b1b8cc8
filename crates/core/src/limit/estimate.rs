//! A member's estimates of its peers' balances for one organisation.
//!
//! An estimate grows at the rate of a peer's share and shrinks by what this member requests from the peer. It
//! is 0 after a shortfall: the peer lent less than requested or did not answer.

use crate::time::Instant;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// How long a peer that lent less than requested is considered to have no tokens to lend.
pub(super) const SHORTFALL_PERIOD: Duration = Duration::from_millis(40);

/// The estimated balance of one peer.
#[derive(Clone, Copy, Debug)]
struct Estimate {
    /// Tokens at `updated_at`.
    tokens: u64,
    updated_at: Instant,
    /// When the last shortfall was recorded.
    shortfall_at: Option<Instant>,
}

/// Estimates by peer.
#[derive(Clone, Debug, Default)]
pub(super) struct Estimates(BTreeMap<Arc<str>, Estimate>);

/// A peer's share of the organisation's rate and burst.
#[derive(Clone, Copy, Debug)]
pub(super) struct Share {
    /// Tokens per second.
    pub(super) per_s: u64,
    /// Tokens.
    pub(super) burst: u64,
}

impl Estimates {
    /// Replaces the set of peers by `peers`. Peers that remain keep their estimates; a new peer is estimated
    /// to have the whole burst of its share.
    pub(super) fn set_peers(&mut self, now: Instant, peers: &[Arc<str>], share: Share) {
        self.0.retain(|name, _| peers.contains(name));
        for peer in peers {
            let full_share = Estimate { tokens: share.burst, updated_at: now, shortfall_at: None };
            self.0.entry(peer.clone()).or_insert(full_share);
        }
    }

    /// Returns the number of peers.
    pub(super) fn peer_count(&self) -> u64 {
        u64::try_from(self.0.len()).unwrap_or(u64::MAX)
    }

    /// Returns the peers estimated to have tokens and their estimates, the largest first, without the peers
    /// that had a shortfall recently.
    pub(super) fn lenders(&self, now: Instant, share: Share) -> Vec<(Arc<str>, u64)> {
        let may_lend = |(_, estimate): &(&Arc<str>, &Estimate)| !estimate.had_shortfall(now);
        let estimated =
            |(name, estimate): (&Arc<str>, &Estimate)| (name.clone(), estimate.tokens(now, share));
        let mut lenders: Vec<_> = self.0.iter().filter(may_lend).map(estimated).collect();
        lenders.retain(|(_, tokens)| *tokens > 0);
        lenders.sort_by_key(|(_, tokens)| std::cmp::Reverse(*tokens));
        lenders
    }

    /// Returns the number of peers without a recent shortfall.
    pub(super) fn available_lender_count(&self, now: Instant) -> u64 {
        let lender_count = self.0.values().filter(|estimate| !estimate.had_shortfall(now)).count();
        u64::try_from(lender_count).unwrap_or(u64::MAX)
    }

    /// Subtracts tokens requested from a peer from its estimate.
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
    /// Returns `true` if a shortfall was recorded within [`SHORTFALL_PERIOD`].
    fn had_shortfall(&self, now: Instant) -> bool {
        self.shortfall_at.is_some_and(|shortfall_at| now.since(shortfall_at) < SHORTFALL_PERIOD)
    }

    /// Returns the estimated balance now: it has grown since the last update, up to the share's burst.
    fn tokens(&self, now: Instant, share: Share) -> u64 {
        let elapsed = now.since(self.updated_at).as_micros();
        let accrued = elapsed * u128::from(share.per_s) / 1_000_000;
        let accrued = u64::try_from(accrued).unwrap_or(u64::MAX);
        self.tokens.saturating_add(accrued).min(share.burst)
    }
}

//! What a member believes of its peers' balances for one organisation.

use crate::time::Instant;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// How long a peer that lent less than asked is taken to have nothing to spare.
pub(super) const SHORT: Duration = Duration::from_millis(40);

#[derive(Clone, Copy, Debug)]
struct Credit {
    tokens: u64,
    at: Instant,
    short: Option<Instant>,
}

/// Beliefs, by peer.
#[derive(Clone, Debug, Default)]
pub(super) struct Credits(BTreeMap<Arc<str>, Credit>);

/// A peer's share of the organisation's rate and burst.
#[derive(Clone, Copy, Debug)]
pub(super) struct Share {
    pub(super) per_s: u64,
    pub(super) burst: u64,
}

impl Credits {
    /// Keeps beliefs for these peers only. A new one is taken to have a full share.
    pub(super) fn keep(&mut self, now: Instant, peers: &[Arc<str>], share: Share) {
        self.0.retain(|name, _| peers.contains(name));
        for peer in peers {
            let fresh = Credit { tokens: share.burst, at: now, short: None };
            self.0.entry(peer.clone()).or_insert(fresh);
        }
    }

    /// How many peers there are.
    pub(super) fn count(&self) -> u64 {
        u64::try_from(self.0.len()).unwrap_or(u64::MAX)
    }

    /// Peers that may have tokens and how many, richest first.
    pub(super) fn lenders(&self, now: Instant, share: Share) -> Vec<(Arc<str>, u64)> {
        let able = |(_, credit): &(&Arc<str>, &Credit)| !credit.is_short(now);
        let believed =
            |(name, credit): (&Arc<str>, &Credit)| (name.clone(), credit.tokens(now, share));
        let mut lenders: Vec<_> = self.0.iter().filter(able).map(believed).collect();
        lenders.retain(|(_, tokens)| *tokens > 0);
        lenders.sort_by_key(|(_, tokens)| std::cmp::Reverse(*tokens));
        lenders
    }

    /// How many peers have not been short lately.
    pub(super) fn able(&self, now: Instant) -> u64 {
        let able = self.0.values().filter(|credit| !credit.is_short(now)).count();
        u64::try_from(able).unwrap_or(u64::MAX)
    }

    /// Notes that a peer was asked.
    pub(super) fn asked(&mut self, now: Instant, peer: &str, tokens: u64, share: Share) {
        if let Some(credit) = self.0.get_mut(peer) {
            credit.tokens = credit.tokens(now, share).saturating_sub(tokens);
            credit.at = now;
        }
    }

    /// Notes that a peer lent less than it was asked for, or did not answer.
    pub(super) fn short(&mut self, now: Instant, peer: &str) {
        if let Some(credit) = self.0.get_mut(peer) {
            *credit = Credit { tokens: 0, at: now, short: Some(now) };
        }
    }
}

impl Credit {
    fn is_short(&self, now: Instant) -> bool {
        self.short.is_some_and(|short| now.since(short) < SHORT)
    }

    fn tokens(&self, now: Instant, share: Share) -> u64 {
        let elapsed = now.since(self.at).as_micros();
        let grown = elapsed * u128::from(share.per_s) / 1_000_000;
        let grown = u64::try_from(grown).unwrap_or(u64::MAX);
        self.tokens.saturating_add(grown).min(share.burst)
    }
}

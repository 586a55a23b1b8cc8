//! Index of the prompt prefixes whose KV cache each server is believed to hold, bounded and with expiry.
//!
//! A prefix is the beginning of a prompt, up to the end of one of its pieces or parts. Its hash covers everything from the
//! start of the prompt, so equal hashes mean equal prefixes. A server holds a prefix only if it holds all shorter ones of
//! the same prompt.
//!
//! Servers evict what was not used for longest, and don't say so in time. So the index counts the tokens that each server
//! has prefilled since a prefix was last used there: the more they are in relation to the server's memory, the less
//! likely it still holds the prefix.

#[cfg(test)]
mod tests;

use crate::time::Instant;
use std::collections::{HashMap, VecDeque};
use std::hash::Hash;
use std::time::Duration;

/// Maximum number of entries (a prefix on a server) in an index.
const ENTRIES_MAX: usize = 65_536;
/// Time after which an entry expires unless it is used again.
const EXPIRY: Duration = Duration::from_secs(60);

/// The beginning of a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Prefix {
    /// Hash of the prompt from its start to the end of the prefix.
    pub hash: u64,
    /// Length of the prefix, in tokens.
    pub tokens: u64,
}

/// Last use of a prefix on a server.
#[derive(Clone, Copy, Debug)]
struct Use {
    at: Instant,
    /// Tokens that the server had prefilled by then.
    prefilled_before: u64,
}

/// Maps prefixes of prompts to the servers that are believed to hold them. `K` identifies a server.
#[derive(Debug)]
pub struct Index<K> {
    /// Last use of each prefix on each server.
    last_used: HashMap<(u64, K), Use>,
    /// Servers that hold each prefix.
    servers: HashMap<u64, Vec<K>>,
    /// Uses of prefixes, oldest first, for eviction. A prefix that was used again has several.
    uses: VecDeque<(u64, K, Instant)>,
    /// Tokens that each server has prefilled, as far as they were recorded.
    prefilled: HashMap<K, u64>,
}

impl<K> Default for Index<K> {
    fn default() -> Index<K> {
        Index {
            last_used: HashMap::new(),
            servers: HashMap::new(),
            uses: VecDeque::new(),
            prefilled: HashMap::new(),
        }
    }
}

impl<K: Copy + Eq + Hash> Index<K> {
    /// Records that a prompt with these prefixes, shortest first, is prefilled at a server at `at`, which must not be later
    /// than `now`.
    pub fn record(&mut self, server: K, prefixes: &[Prefix], at: Instant, now: Instant) {
        let prefilled = self.prefilled.entry(server).or_default();
        *prefilled = prefilled.saturating_add(prefixes.last().map_or(0, |longest| longest.tokens));
        let prefilled_before = *prefilled;
        for Prefix { hash, .. } in prefixes {
            let last_use = Use { at, prefilled_before };
            if self.last_used.insert((*hash, server), last_use).is_none() {
                self.servers.entry(*hash).or_default().push(server);
            }
            self.uses.push_back((*hash, server, at));
        }
        self.evict(now);
    }

    /// Returns the number of the prompt's tokens that each server is believed to hold: up to the longest prefix that the
    /// server holds with all shorter ones. `prefixes` are those of the prompt, shortest first.
    pub fn holders(&self, prefixes: &[Prefix], now: Instant) -> HashMap<K, u64> {
        let mut held: HashMap<K, u64> = HashMap::new();
        let mut shorter_tokens = 0;
        for prefix in prefixes {
            for server in self.servers.get(&prefix.hash).into_iter().flatten() {
                let is_current = self
                    .last_used
                    .get(&(prefix.hash, *server))
                    .is_some_and(|last_use| now.since(last_use.at) < EXPIRY);
                let total = held.entry(*server).or_insert(0);
                if is_current && *total == shorter_tokens {
                    *total = prefix.tokens;
                }
            }
            shorter_tokens = prefix.tokens;
        }
        held.retain(|_, tokens| *tokens > 0);
        held
    }

    /// Returns the number of the prompt's tokens that each server, whose memory takes `capacity` tokens, is expected to hold:
    /// those that it is believed to hold, times the probability that they have not been evicted.
    pub fn expected_tokens(
        &self,
        prefixes: &[Prefix],
        capacity: u64,
        now: Instant,
    ) -> HashMap<K, f64> {
        let expected = self.holders(prefixes, now).into_iter().map(|(server, tokens)| {
            let longest = prefixes.iter().find(|prefix| prefix.tokens == tokens);
            let last_use = longest.and_then(|prefix| self.last_used.get(&(prefix.hash, server)));
            let prefilled = self.prefilled.get(&server).copied().unwrap_or_default();
            let since = last_use.map_or(u64::MAX, |last_use| prefilled - last_use.prefilled_before);
            let retained = 1.0 - since as f64 / capacity.max(1) as f64;
            (server, tokens as f64 * retained.max(0.0))
        });
        expected.collect()
    }

    /// Removes all prefixes of a server, for example because it restarted.
    pub fn forget(&mut self, server: K) {
        self.last_used.retain(|(_, key), _| *key != server);
        for servers in self.servers.values_mut() {
            servers.retain(|key| *key != server);
        }
        self.servers.retain(|_, servers| !servers.is_empty());
        self.prefilled.remove(&server);
    }

    /// Returns the number of entries: prefixes, counted once for each server that holds them.
    pub fn len(&self) -> usize {
        self.last_used.len()
    }

    /// Returns `true` if there are no entries.
    pub fn is_empty(&self) -> bool {
        self.last_used.is_empty()
    }

    /// Removes uses that have expired, and the oldest ones while there are too many entries or uses. An entry is
    /// removed with its latest use. Since a prefix that is used often has many uses, their number is bounded
    /// too, to twice the number of entries.
    fn evict(&mut self, now: Instant) {
        while let Some((hash, server, recorded_at)) = self.uses.front().copied() {
            let has_expired = now.since(recorded_at) >= EXPIRY;
            if !has_expired
                && self.last_used.len() <= ENTRIES_MAX
                && self.uses.len() <= 2 * ENTRIES_MAX
            {
                return;
            }
            self.uses.pop_front();
            if self.last_used.get(&(hash, server)).is_some_and(|last| last.at == recorded_at) {
                self.remove(hash, server);
            }
        }
    }

    /// Removes a prefix of one server.
    fn remove(&mut self, hash: u64, server: K) {
        self.last_used.remove(&(hash, server));
        let Some(servers) = self.servers.get_mut(&hash) else { return };
        servers.retain(|key| *key != server);
        if servers.is_empty() {
            self.servers.remove(&hash);
        }
    }
}

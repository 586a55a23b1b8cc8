//! The choices themselves.

use super::prefix::PrefixIndex;
use super::table::{Key, Server, Table};
use crate::time::Instant;
use chestnutrack_document::model::Role;
use rand::Rng;
use rand::seq::IndexedRandom;
use std::cmp::Reverse;
use std::sync::Arc;

/// Candidates that one choice looks at.
pub const SAMPLE_SIZE: usize = 4;
/// Requests that may wait at one server beyond its slots, so that a slot that falls free is used
/// at once.
const QUEUE_AHEAD_MAX: u64 = 1;
/// Loads closer than this share of the slots count as equal, in thousandths.
const EQUAL_LOAD_MILLI: u64 = 50;
/// Prompt tokens by which a queue may be longer for a prefix held elsewhere in the same measure.
const EQUAL_WORK_TOKENS: u64 = 128;

/// What is asked of a server.
#[derive(Clone, Debug, Default)]
pub struct Query {
    /// Pool.
    pub pool: Arc<str>,
    /// KV cache that the request holds at its end, in tokens.
    pub kv_tokens: u64,
    /// Prompt, in tokens.
    pub prompt_tokens: u64,
    /// Hashes of the prompt's pieces; see [`super::prefix::pieces`].
    pub pieces: Vec<u64>,
    /// Failure domain to prefer when loads are equal.
    pub preferred_domain: Arc<str>,
    /// Servers that failed this request; they are chosen only when no other is open.
    pub avoided: Vec<Arc<str>>,
}

/// Chooses the server that a request decodes on, or `None` while all are full.
pub fn decode(table: &Table, query: &Query, now: Instant, rng: &mut impl Rng) -> Option<Key> {
    least_loaded(table, query, Role::Decode, now, rng)
}

/// Chooses the plain service that a call goes to, or `None` while all are full.
pub fn plain(table: &Table, query: &Query, now: Instant, rng: &mut impl Rng) -> Option<Key> {
    least_loaded(table, query, Role::Plain, now, rng)
}

fn least_loaded(
    table: &Table,
    query: &Query,
    role: Role,
    now: Instant,
    rng: &mut impl Rng,
) -> Option<Key> {
    let fits = |server: &Server| {
        let room = u64::from(server.slots) + QUEUE_AHEAD_MAX;
        let kv_fits = role == Role::Plain || query.kv_tokens <= server.kv_tokens;
        let free = server.expected_used_milli(now) < room * 1_000;
        kv_fits && free && server.full_until <= now && server.is_healthy(now)
    };
    let candidates = eligible(table, query, role, fits);
    let sampled = candidates.choose_multiple(rng, SAMPLE_SIZE);
    sampled.copied().min_by_key(|key| {
        let server = &table[*key];
        let slots = u64::from(server.slots.max(1));
        let fill = server.expected_used_milli(now) / slots / EQUAL_LOAD_MILLI;
        (fill, server.failure_domain != query.preferred_domain)
    })
}

/// Chooses the server that a prompt is prefilled on: the least work before it and in it, where
/// pieces that it holds already are no work.
pub fn prefill(
    table: &Table,
    prefixes: &PrefixIndex,
    query: &Query,
    now: Instant,
    rng: &mut impl Rng,
) -> Option<Key> {
    let candidates = prefill_candidates(table, query, now);
    let sampled: Vec<Key> = candidates.choose_multiple(rng, SAMPLE_SIZE).copied().collect();
    let holders = prefixes.holders(&query.pieces, now);
    let holding = candidates.iter().copied().filter(|key| holders.contains_key(key));
    sampled.iter().copied().chain(holding).min_by_key(|key| {
        let server = &table[*key];
        let held = holders.get(key).copied().unwrap_or(0);
        let work = work(server, query, held);
        (work / EQUAL_WORK_TOKENS, server.failure_domain != query.preferred_domain, Reverse(held))
    })
}

/// Prompt tokens that must be computed, at the best prefill server, before a prompt's KV cache is
/// ready; `None` while there is no such server.
pub fn prefill_work(
    table: &Table,
    prefixes: &PrefixIndex,
    query: &Query,
    now: Instant,
) -> Option<u64> {
    let holders = prefixes.holders(&query.pieces, now);
    let candidates = prefill_candidates(table, query, now).into_iter();
    let held = |key: &Key| holders.get(key).copied().unwrap_or(0);
    candidates.map(|key| work(&table[key], query, held(&key))).min()
}

fn prefill_candidates(table: &Table, query: &Query, now: Instant) -> Vec<Key> {
    let fits = |server: &Server| server.full_until <= now && server.is_healthy(now);
    eligible(table, query, Role::Prefill, fits)
}

fn work(server: &Server, query: &Query, held: u64) -> u64 {
    server.expected_queue_tokens() + query.prompt_tokens.saturating_sub(held)
}

fn eligible(table: &Table, query: &Query, role: Role, fits: impl Fn(&Server) -> bool) -> Vec<Key> {
    let of_pool = |server: &Server| server.role == role && server.pool == query.pool;
    let open = table.iter().filter(|(_, server)| of_pool(server) && server.is_available());
    let (avoided, wanted): (Vec<_>, Vec<_>) =
        open.partition(|(_, server)| query.avoided.contains(&server.name));
    let left = if wanted.is_empty() { avoided } else { wanted };
    left.into_iter().filter(|(_, server)| fits(server)).map(|(key, _)| key).collect()
}

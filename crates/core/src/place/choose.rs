//! Chooses a server for a request among random candidates.

use super::prefix::PrefixIndex;
use super::table::{Key, Server, Table};
use crate::time::Instant;
use chestnutrack_document::model::Role;
use rand::Rng;
use rand::seq::IndexedRandom;
use std::cmp::Reverse;
use std::sync::Arc;

/// Number of random candidates that a choice compares.
pub const SAMPLE_SIZE: usize = 4;
/// Requests that may wait at a server in excess of its slots, so that a slot that becomes free is
/// used at once.
const QUEUE_AHEAD_MAX: u64 = 1;
/// Loads are compared in steps of this many thousandths of the slots; within a step they count as
/// equal.
const EQUAL_LOAD_MILLI: u64 = 50;
/// Amounts of work are compared in steps of this many prompt tokens; within a step the failure
/// domain and the held prefix decide.
const EQUAL_WORK_TOKENS: u64 = 128;

/// What a request needs from a server.
#[derive(Clone, Debug, Default)]
pub struct Query {
    /// Pool to choose from.
    pub pool: Arc<str>,
    /// Size of the request's KV cache at its end, in tokens.
    pub kv_tokens: u64,
    /// Length of the prompt, in tokens.
    pub prompt_tokens: u64,
    /// Hashes of the prompt's pieces; see [`super::prefix::pieces`].
    pub pieces: Vec<u64>,
    /// Failure domain that is preferred between equal candidates.
    pub preferred_domain: Arc<str>,
    /// Servers that failed this request; they are chosen only if no other server is available.
    pub avoided: Vec<Arc<str>>,
}

/// Chooses the server on which a request is decoded. Returns `None` if no server has room.
pub fn choose_decode(
    table: &Table,
    query: &Query,
    now: Instant,
    rng: &mut impl Rng,
) -> Option<Key> {
    least_loaded(table, query, Role::Decode, now, rng)
}

/// Chooses the plain service that a call goes to. Returns `None` if no server has room.
pub fn choose_plain(table: &Table, query: &Query, now: Instant, rng: &mut impl Rng) -> Option<Key> {
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
        let limit = u64::from(server.slots) + QUEUE_AHEAD_MAX;
        let kv_fits = role == Role::Plain || query.kv_tokens <= server.kv_tokens;
        let free = server.expected_used_milli(now) < limit * 1_000;
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

/// Chooses the server on which a prompt is prefilled: the one with the least work queued and in the
/// prompt itself, where pieces that the server already holds count as no work.
pub fn choose_prefill(
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

/// Returns the number of prompt tokens that the best prefill server must compute before the
/// prompt's KV cache is ready. Returns `None` if there is no such server.
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
    let in_pool = |server: &Server| server.role == role && server.pool == query.pool;
    let available = table.iter().filter(|(_, server)| in_pool(server) && server.is_available());
    let (avoided, preferred): (Vec<_>, Vec<_>) =
        available.partition(|(_, server)| query.avoided.contains(&server.name));
    let remaining = if preferred.is_empty() { avoided } else { preferred };
    remaining.into_iter().filter(|(_, server)| fits(server)).map(|(key, _)| key).collect()
}

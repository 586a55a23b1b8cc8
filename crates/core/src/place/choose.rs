//! Chooses a server for a request among random candidates.
//!
//! A piece is a part of a prompt of fixed size. A server that still holds the KV cache of a prompt's first
//! pieces, its prefix, needn't compute them again.

use super::PrefixIndex;
use super::table::{Key, Server, Table};
use crate::prefix::Prefix;
use crate::time::Instant;
use chestnutrack_document::model::Role;
use rand::Rng;
use rand::seq::IndexedRandom;
use std::cmp::Reverse;
use std::sync::Arc;

/// Number of random candidates that a choice compares. Several hosts choose concurrently based on stale load
/// reports, so they don't compare all.
pub const SAMPLE_SIZE: usize = 4;
/// Number of requests that may wait at a server in addition to those in its slots, so that a slot that
/// becomes free is used at once.
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
    /// Prefixes of the prompt, up to the end of each piece; see [`super::prefix::pieces`].
    pub pieces: Vec<Prefix>,
    /// Failure domain that is preferred between equal candidates.
    pub preferred_domain: Arc<str>,
    /// Servers that failed this request; they are chosen only if no other server is available.
    pub avoided: Vec<Arc<str>>,
}

/// Chooses the least loaded of a few random servers on which a request can be decoded. Between equal loads,
/// it prefers the request's failure domain. Returns `None` if no server has room.
pub fn choose_decode(
    table: &Table,
    query: &Query,
    now: Instant,
    rng: &mut impl Rng,
) -> Option<Key> {
    least_loaded(table, query, Role::Decode, now, rng)
}

/// Chooses the server of a plain service that a call goes to, by the rules of [`choose_decode`]. Returns
/// `None` if no server has room.
pub fn choose_plain(table: &Table, query: &Query, now: Instant, rng: &mut impl Rng) -> Option<Key> {
    least_loaded(table, query, Role::Plain, now, rng)
}

/// Chooses the server with the lowest load among [`SAMPLE_SIZE`] random ones that have room. Except for plain
/// services, a server must also have engine memory for the request's whole KV cache. The load is the number of
/// slots expected to be occupied or requested, per slot, compared in steps of [`EQUAL_LOAD_MILLI`]; within a
/// step, the preferred failure domain decides.
fn least_loaded(
    table: &Table,
    query: &Query,
    role: Role,
    now: Instant,
    rng: &mut impl Rng,
) -> Option<Key> {
    let can_take = |server: &Server| {
        let request_limit = u64::from(server.slots) + QUEUE_AHEAD_MAX;
        let kv_fits = role == Role::Plain || query.kv_tokens <= server.kv_tokens;
        let has_room = server.expected_used_milli(now) < request_limit * 1_000;
        kv_fits && has_room && server.full_until <= now && server.is_healthy(now)
    };
    let candidates = eligible(table, query, role, can_take);
    let sampled = candidates.choose_multiple(rng, SAMPLE_SIZE);
    sampled.copied().min_by_key(|key| {
        let server = &table[*key];
        let slots = u64::from(server.slots.max(1));
        let load_step = server.expected_used_milli(now) / slots / EQUAL_LOAD_MILLI;
        (load_step, server.failure_domain != query.preferred_domain)
    })
}

/// Chooses the server on which a prompt is prefilled: the one with the least work.
///
/// The work is the number of prompt tokens queued at the server plus those of this prompt, without the pieces
/// that the server already holds. Compared are [`SAMPLE_SIZE`] random candidates and all that hold a prefix of
/// the prompt. Work is compared in steps of [`EQUAL_WORK_TOKENS`]; within a step, a server in the preferred
/// failure domain is chosen, and then the one that holds the longest prefix. Returns `None` if no server is
/// available.
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
    let prefix_holders = candidates.iter().copied().filter(|key| holders.contains_key(key));
    sampled.iter().copied().chain(prefix_holders).min_by_key(|key| {
        let server = &table[*key];
        let held_tokens = holders.get(key).copied().unwrap_or(0);
        let work = work_tokens(server, query, held_tokens);
        (
            work / EQUAL_WORK_TOKENS,
            server.failure_domain != query.preferred_domain,
            Reverse(held_tokens),
        )
    })
}

/// Returns the least number of prompt tokens that any prefill server must compute before the prompt's KV cache
/// is ready: those queued at the server, and those of this prompt that it doesn't hold. Returns `None` if no
/// server is available.
pub fn prefill_work(
    table: &Table,
    prefixes: &PrefixIndex,
    query: &Query,
    now: Instant,
) -> Option<u64> {
    let holders = prefixes.holders(&query.pieces, now);
    let candidates = prefill_candidates(table, query, now).into_iter();
    let held_tokens = |key: &Key| holders.get(key).copied().unwrap_or(0);
    candidates.map(|key| work_tokens(&table[key], query, held_tokens(&key))).min()
}

/// Returns the eligible prefill servers that may be chosen despite their recent refusals and failures.
fn prefill_candidates(table: &Table, query: &Query, now: Instant) -> Vec<Key> {
    let can_take = |server: &Server| server.full_until <= now && server.is_healthy(now);
    eligible(table, query, Role::Prefill, can_take)
}

/// Returns the prompt tokens that a server must compute before the prompt's KV cache is ready, if it already
/// holds the first `held_tokens` tokens.
fn work_tokens(server: &Server, query: &Query, held_tokens: u64) -> u64 {
    server.expected_queue_tokens() + query.prompt_tokens.saturating_sub(held_tokens)
}

/// Returns the available servers of a role in the request's pool for which `can_take` holds. Avoided servers
/// are considered only if no other is available.
fn eligible(
    table: &Table,
    query: &Query,
    role: Role,
    can_take: impl Fn(&Server) -> bool,
) -> Vec<Key> {
    let is_in_pool = |server: &Server| server.role == role && server.pool == query.pool;
    let available = table.iter().filter(|(_, server)| is_in_pool(server) && server.is_available());
    let (avoided, not_avoided): (Vec<_>, Vec<_>) =
        available.partition(|(_, server)| query.avoided.contains(&server.name));
    let considered = if not_avoided.is_empty() { avoided } else { not_avoided };
    considered.into_iter().filter(|(_, server)| can_take(server)).map(|(key, _)| key).collect()
}

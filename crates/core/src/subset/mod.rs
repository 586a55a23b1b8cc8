//! Which servers of a pool an entry host keeps connections to.
//!
//! In a large fleet no entry host can talk to every server. Servers stand in the order of their
//! names' hashes; each entry host, by the rank of its name's hash among the members, takes a window
//! of that order. Windows start evenly spaced, so that every server stands in the same number of
//! windows, give or take one, and one more or fewer member moves each window by a few servers.

#[cfg(test)]
mod tests;

use std::sync::Arc;

/// Servers of one role in one pool that an entry host keeps connections to.
pub const SUBSET_SIZE: usize = 48;

/// The servers that the entry host `own` keeps connections to, at most `size` of them.
///
/// All servers where the pool is no larger than `size`, or where `own` is no member.
pub fn choose(own: &str, members: &[Arc<str>], servers: &[Arc<str>], size: usize) -> Vec<Arc<str>> {
    if servers.len() <= size || !members.iter().any(|member| member.as_ref() == own) {
        return servers.to_vec();
    }
    let own_hash = hash(own);
    let rank = members.iter().filter(|member| hash(member) < own_hash).count();
    let start = rank * servers.len() / members.len();
    let mut order: Vec<&Arc<str>> = servers.iter().collect();
    order.sort_by_cached_key(|server| hash(server));
    order.iter().cycle().skip(start).take(size).map(|server| Arc::clone(server)).collect()
}

fn hash(name: &str) -> [u8; 32] {
    *blake3::hash(name.as_bytes()).as_bytes()
}

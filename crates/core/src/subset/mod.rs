//! Deterministic subsetting: selects the servers of a pool to which an entry host keeps connections.
//!
//! In a large fleet, an entry host can't connect to every server. Servers are ordered by the hashes of
//! their names. Each entry host uses a window of that order, whose start is given by the rank of the host's
//! own hash among those of the members: all entry hosts of the fleet. The windows are evenly spaced, so the
//! numbers of windows that contain each server differ by at most one, and adding or removing a member shifts
//! each window by only a few servers.

#[cfg(test)]
mod tests;

use std::sync::Arc;

/// Number of servers of one role in one pool to which an entry host keeps connections.
pub const SUBSET_SIZE: usize = 48;

/// Returns the servers, at most `size`, to which the entry host named `own` keeps connections.
///
/// `members` are the names of all entry hosts of the fleet. Returns all servers if there are at most `size`, or
/// if `own` isn't in `members`.
pub fn choose_servers(
    own: &str,
    members: &[Arc<str>],
    servers: &[Arc<str>],
    size: usize,
) -> Vec<Arc<str>> {
    if servers.len() <= size || !members.iter().any(|member| member.as_ref() == own) {
        return servers.to_vec();
    }
    let own_hash = hash(own);
    let rank = members.iter().filter(|member| hash(member) < own_hash).count();
    let start = rank * servers.len() / members.len();
    let mut ordered_servers: Vec<&Arc<str>> = servers.iter().collect();
    ordered_servers.sort_by_cached_key(|server| hash(server));
    ordered_servers.iter().cycle().skip(start).take(size).map(|server| Arc::clone(server)).collect()
}

/// Returns the hash by which servers and entry hosts are ordered.
fn hash(name: &str) -> [u8; 32] {
    *blake3::hash(name.as_bytes()).as_bytes()
}

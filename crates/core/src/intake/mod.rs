//! Which connections of a listener are closed, and which request bodies are given up, when callers take more
//! connections or memory than the process has.
//!
//! A connection belongs to a [`Phase`]. Where room is needed, a connection without progress gives way first, then one
//! of the kind of which there are most: whatever a crowd does, it competes with itself, and callers that do
//! something else keep their connections. Callers that do the same as the crowd are told from it by their progress.

#[cfg(test)]
mod tests;

use crate::time::Instant;
use slotmap::{SlotMap, new_key_type};
use std::cmp::Reverse;
use std::collections::HashMap;
use std::net::IpAddr;
use std::time::Duration;

/// Time without progress after which a connection or body gives way before others. A head arrives in one piece, and
/// the pieces of a body within a few round trips, so this is several times what an ordinary caller needs.
pub const STALLED_AFTER: Duration = Duration::from_millis(1_000);
/// Rate below which a body counts as making no progress, in bytes per second.
pub const BODY_RATE_MIN: u64 = 1 << 10;
/// Longest time for a body to arrive while memory or connections are tight.
pub const BODY_TIME_TIGHT: Duration = Duration::from_millis(5_000);
/// Longest time for which a caller may take nothing of its answer. A caller that reads 1 KiB per second may free no
/// room that this host sees for about half of this, since systems report room in steps of their buffers.
pub const READER_TIMEOUT: Duration = Duration::from_millis(30_000);
/// Longest time for which a caller may take nothing of its answer while memory or connections are tight.
pub const READER_TIMEOUT_TIGHT: Duration = Duration::from_millis(5_000);
/// Longest time for the refusal of a request whose body was given up to be sent.
const REFUSAL_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Bodies larger than this may use only [`LARGE_SHARE`] of the memory, so that small requests always find some.
pub const SMALL_BODY_BYTES: usize = 64 << 10;
/// Share of the memory for requests that larger ones may use, as a fraction.
const LARGE_SHARE: (usize, usize) = (3, 4);
/// Share of connections or memory in use from which they count as tight, as a fraction.
const TIGHT_SHARE: (usize, usize) = (3, 4);

/// Connections that are accepted at once while the bound is reached: one part in this many of it.
const BURST_SHARE: usize = 16;
/// Connections that are evicted at once: one part in this many of the bound.
const EVICTED_AT_ONCE: usize = 64;
/// Memory for requests that is made free beyond what is needed: one part in this many.
const SPARE_SHARE: usize = 16;

new_key_type! {
    /// Identifies a connection.
    pub struct Key;
}

/// Bounds of one listener.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Most connections that are open at once.
    pub connections: usize,
    /// Most bytes that requests may hold at once.
    pub request_bytes: usize,
}

/// What a connection does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// No request is in progress.
    Idle,
    /// The head of a request has begun to arrive.
    Head,
    /// The body of a request is arriving.
    Body,
    /// A request has arrived and is being served.
    Running,
    /// The caller takes no more of its answer for now: the system's buffer is full.
    Blocked,
}

/// Kinds of connections that compete with each other, in the order in which they give way.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Group {
    /// Nothing was served yet, and no request has arrived.
    Opening,
    /// A body is arriving.
    Body,
    /// The caller takes no more of its answer.
    Blocked,
    /// No request is in progress, and one was served before.
    Idle,
}

/// All groups.
const GROUPS: [Group; 4] = [Group::Opening, Group::Body, Group::Blocked, Group::Idle];

/// Why a connection is closed or a body given up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// No progress, and its connection is needed.
    Stalled,
    /// The least useful of the kind of which there are most, and its connection is needed.
    Crowded,
    /// Its memory is needed.
    Memory,
    /// The body did not arrive in time while memory or connections were tight.
    SlowBody,
    /// The caller took nothing of its answer for too long.
    SlowReader,
}

impl Reason {
    /// Returns the name in metrics and logs.
    pub fn name(self) -> &'static str {
        match self {
            Reason::Stalled => "stalled",
            Reason::Crowded => "crowded",
            Reason::Memory => "memory",
            Reason::SlowBody => "slow_body",
            Reason::SlowReader => "slow_reader",
        }
    }
}

/// A decision to give up a connection, or the body that arrives on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Eviction {
    /// The connection.
    pub key: Key,
    /// Address of the caller.
    pub address: IpAddr,
    /// Why.
    pub reason: Reason,
    /// Whether a body is arriving, so that its request can be refused as not run before the connection is closed.
    pub refuse: bool,
}

/// One connection.
#[derive(Clone, Copy, Debug)]
struct Connection {
    address: IpAddr,
    phase: Phase,
    /// When the phase began.
    since: Instant,
    /// When bytes were last received or taken.
    progress_at: Instant,
    /// Bytes received in this phase.
    received: u64,
    /// Whether a backend server has answered a request of this connection.
    is_served: bool,
    /// Bytes that its request holds.
    held: usize,
    /// When it was evicted.
    evicted_at: Option<Instant>,
}

impl Connection {
    /// Returns the connections with which this one competes, or `None` if it does not give way: its request may run.
    fn group(&self) -> Option<Group> {
        match self.phase {
            _ if self.evicted_at.is_some() => None,
            Phase::Idle if self.is_served => Some(Group::Idle),
            Phase::Idle | Phase::Head => Some(Group::Opening),
            Phase::Body => Some(Group::Body),
            Phase::Blocked => Some(Group::Blocked),
            Phase::Running => None,
        }
    }

    /// Returns `true` if the connection has made no progress for [`STALLED_AFTER`]. One that is idle after a
    /// request was served is not expected to.
    fn is_stalled(&self, now: Instant) -> bool {
        let elapsed = now.since(self.since);
        match self.group() {
            Some(Group::Opening) => elapsed >= STALLED_AFTER,
            Some(Group::Body) => {
                let least = elapsed.as_millis() as u64 * BODY_RATE_MIN / 1_000;
                let is_silent = now.since(self.progress_at) >= STALLED_AFTER;
                elapsed >= STALLED_AFTER && (is_silent || self.received < least)
            }
            Some(Group::Blocked) => now.since(self.progress_at) >= STALLED_AFTER,
            Some(Group::Idle) | None => false,
        }
    }

    /// Returns the time from which the connection's age within its group counts.
    fn age_from(&self) -> Instant {
        if self.phase == Phase::Blocked { self.progress_at } else { self.since }
    }
}

/// What the callers at one address use.
#[derive(Clone, Copy, Debug, Default)]
struct Usage {
    connections: usize,
    held: usize,
}

/// The open connections of a listener, and what their requests hold.
#[derive(Debug)]
pub struct Table {
    settings: Settings,
    connections: SlotMap<Key, Connection>,
    addresses: HashMap<IpAddr, Usage>,
    /// Connections that are not evicted.
    remaining: usize,
    /// Bytes that all requests hold.
    held: usize,
}

impl Table {
    /// Creates the table of a listener without connections.
    pub fn new(settings: Settings) -> Table {
        Table {
            settings,
            connections: SlotMap::with_key(),
            addresses: HashMap::new(),
            remaining: 0,
            held: 0,
        }
    }

    /// Returns whether a connection was evicted.
    pub fn is_evicted(&self, key: Key) -> bool {
        self.connections.get(key).is_none_or(|connection| connection.evicted_at.is_some())
    }

    /// Returns the number of open connections, those that are to be closed included.
    pub fn len(&self) -> usize {
        self.connections.len()
    }

    /// Returns `true` if no connection is open.
    pub fn is_empty(&self) -> bool {
        self.connections.is_empty()
    }

    /// Returns how many connections may be accepted before those already accepted must have been read, so that a burst
    /// does not evict connections of which nothing has been read.
    pub fn burst(&self) -> usize {
        let free = self.settings.connections.saturating_sub(self.remaining);
        free.max(self.settings.connections / BURST_SHARE).max(1)
    }

    /// Returns the bytes that requests hold.
    pub fn held(&self) -> usize {
        self.held
    }

    /// Adds a connection from an address. Returns which ones give way for it, if the bound is exceeded. That may be
    /// the new one, if requests run on all others.
    pub fn open(&mut self, now: Instant, address: IpAddr) -> (Key, Vec<Eviction>) {
        let key = self.connections.insert(Connection {
            address,
            phase: Phase::Idle,
            since: now,
            progress_at: now,
            received: 0,
            is_served: false,
            held: 0,
            evicted_at: None,
        });
        self.addresses.entry(address).or_default().connections += 1;
        self.remaining += 1;
        if self.remaining <= self.settings.connections {
            return (key, Vec::new());
        }
        (key, self.evict_connections(now))
    }

    /// Removes a connection that was closed, and releases what its request held.
    pub fn close(&mut self, key: Key) {
        let Some(connection) = self.connections.remove(key) else { return };
        self.held = self.held.saturating_sub(connection.held);
        self.remaining -= usize::from(connection.evicted_at.is_none());
        if let Some(usage) = self.addresses.get_mut(&connection.address) {
            usage.connections = usage.connections.saturating_sub(1);
            usage.held = usage.held.saturating_sub(connection.held);
            if usage.connections == 0 {
                self.addresses.remove(&connection.address);
            }
        }
    }

    /// Records what a connection does now.
    pub fn set_phase(&mut self, now: Instant, key: Key, phase: Phase) {
        if let Some(connection) = self.connections.get_mut(key)
            && connection.phase != phase
        {
            connection.phase = phase;
            connection.since = now;
            connection.progress_at = now;
            connection.received = 0;
        }
    }

    /// Records that the caller took a part of its answer.
    pub fn record_taken(&mut self, now: Instant, key: Key) {
        if let Some(connection) = self.connections.get_mut(key) {
            connection.progress_at = now;
        }
    }

    /// Records that a backend server answered a request of a connection.
    pub fn record_served(&mut self, key: Key) {
        if let Some(connection) = self.connections.get_mut(key) {
            connection.is_served = true;
        }
    }

    /// Records that `received` bytes of a body arrived, to hold which `bytes` more of memory are needed. Returns whether
    /// they may be held, and which bodies give way for them.
    pub fn hold(
        &mut self,
        now: Instant,
        key: Key,
        received: usize,
        bytes: usize,
    ) -> (bool, Vec<Eviction>) {
        let mut evictions = Vec::new();
        let Some(connection) = self.connections.get_mut(key) else { return (false, evictions) };
        connection.received += received as u64;
        connection.progress_at = now;
        if connection.evicted_at.is_some() {
            return (false, evictions);
        }
        let held = connection.held + bytes;
        let (part, whole) = LARGE_SHARE;
        let limit = match held > SMALL_BODY_BYTES {
            true => self.settings.request_bytes / whole * part,
            false => self.settings.request_bytes,
        };
        if bytes > 0 && self.held + bytes > limit {
            evictions = self.evict_bodies(now, key, held, bytes, limit);
            if self.held + bytes > limit {
                return (false, evictions);
            }
        }
        self.held += bytes;
        if let Some(connection) = self.connections.get_mut(key) {
            connection.held += bytes;
            self.addresses.entry(connection.address).or_default().held += bytes;
        }
        (true, evictions)
    }

    /// Releases bytes that the request of a connection held. Does nothing if they were released with the connection.
    pub fn release(&mut self, key: Key, bytes: usize) {
        let Some(connection) = self.connections.get_mut(key) else { return };
        let bytes = bytes.min(connection.held);
        connection.held -= bytes;
        self.held = self.held.saturating_sub(bytes);
        if let Some(usage) = self.addresses.get_mut(&connection.address) {
            usage.held = usage.held.saturating_sub(bytes);
        }
    }

    /// Returns `true` if most of the connections or of the memory is in use.
    pub fn is_tight(&self) -> bool {
        let (part, whole) = TIGHT_SHARE;
        self.held > self.settings.request_bytes / whole * part
            || self.remaining > self.settings.connections / whole * part
    }

    /// Evicts callers that have taken nothing of their answers, or of a refusal, for too long and, while connections or memory are tight,
    /// bodies that have been arriving too slowly or for too long.
    pub fn sweep(&mut self, now: Instant) -> Vec<Eviction> {
        let is_tight = self.is_tight();
        let reader_timeout = if is_tight { READER_TIMEOUT_TIGHT } else { READER_TIMEOUT };
        let overdue = |connection: &Connection| match connection.group() {
            None => {
                let evicted_at = connection.evicted_at?;
                (now.since(evicted_at) >= REFUSAL_TIMEOUT).then_some(Reason::SlowReader)
            }
            Some(Group::Blocked) if now.since(connection.progress_at) >= reader_timeout => {
                Some(Reason::SlowReader)
            }
            Some(Group::Body)
                if is_tight
                    && (connection.is_stalled(now)
                        || now.since(connection.since) >= BODY_TIME_TIGHT) =>
            {
                Some(Reason::SlowBody)
            }
            _ => None,
        };
        let overdue: Vec<_> = self
            .connections
            .iter()
            .filter_map(|(key, connection)| overdue(connection).map(|reason| (key, reason)))
            .collect();
        overdue.into_iter().filter_map(|(key, reason)| self.evict(now, key, reason)).collect()
    }

    /// Evicts the caller that has not taken anything of its answer for the longest time, if any waits: the memory of its
    /// answer is needed.
    pub fn evict_reader(&mut self, now: Instant) -> Option<Eviction> {
        let blocked = self
            .connections
            .iter()
            .filter(|(_, connection)| connection.group() == Some(Group::Blocked));
        let (key, _) = blocked.min_by_key(|(_, connection)| connection.progress_at)?;
        self.evict(now, key, Reason::Memory)
    }

    /// Evicts the least useful connections: as many as [`EVICTED_AT_ONCE`] says, so that a burst does not cost a search for
    /// each. Evicts none if a request runs on each.
    fn evict_connections(&mut self, now: Instant) -> Vec<Eviction> {
        let count = (self.settings.connections / EVICTED_AT_ONCE).max(1);
        let mut stalled: Vec<_> = self
            .connections
            .iter()
            .filter(|(_, connection)| connection.is_stalled(now))
            .map(|(key, connection)| {
                let weight = Reverse(self.weight(connection));
                ((weight, connection.group(), connection.age_from()), key)
            })
            .collect();
        if !stalled.is_empty() {
            stalled.sort_unstable();
            let keys = stalled.into_iter().take(count);
            return keys.filter_map(|(_, key)| self.evict(now, key, Reason::Stalled)).collect();
        }
        let mut counts = [0_usize; GROUPS.len()];
        for group in self.connections.values().filter_map(Connection::group) {
            counts[group as usize] += 1;
        }
        let order = |group: &Group| (counts[*group as usize], Reverse(*group));
        let largest = GROUPS.into_iter().max_by_key(order).filter(|group| order(group).0 > 0);
        let mut members: Vec<_> = self
            .connections
            .iter()
            .filter(|(_, connection)| largest.is_some() && connection.group() == largest)
            .map(|(key, connection)| {
                ((Reverse(self.weight(connection)), connection.age_from()), key)
            })
            .collect();
        members.sort_unstable();
        // The newest of the group may only just have begun.
        let count = count.min(members.len().div_ceil(2));
        let keys = members.into_iter().take(count);
        keys.filter_map(|(_, key)| self.evict(now, key, Reason::Crowded)).collect()
    }

    /// Returns the order of magnitude of the connections from the address of a connection. Between addresses that
    /// differ less, other criteria decide.
    fn weight(&self, connection: &Connection) -> u32 {
        let usage = self.addresses.get(&connection.address).copied().unwrap_or_default();
        usage.connections.checked_ilog2().unwrap_or(0)
    }

    /// Gives up bodies for one of `held` bytes until `bytes` more fit into `limit`, with some room to spare so that a burst
    /// does not cost a search for each part: those without progress first, then the largest of the addresses that hold most,
    /// if they are larger than that one.
    fn evict_bodies(
        &mut self,
        now: Instant,
        key: Key,
        held: usize,
        bytes: usize,
        limit: usize,
    ) -> Vec<Eviction> {
        let mut bodies: Vec<_> = self
            .connections
            .iter()
            .filter(|(other, connection)| {
                let is_body = connection.group() == Some(Group::Body);
                let is_less_useful = connection.held > held || connection.is_stalled(now);
                *other != key && is_body && connection.held > 0 && is_less_useful
            })
            .map(|(other, connection)| {
                let usage = self.addresses.get(&connection.address).copied().unwrap_or_default();
                let size = (usage.held.checked_ilog2(), connection.held);
                (Reverse((connection.is_stalled(now), size, Reverse(connection.since))), other)
            })
            .collect();
        bodies.sort_unstable();
        let spare = self.settings.request_bytes / SPARE_SHARE;
        let mut evictions = Vec::new();
        for (_, other) in bodies {
            if self.held + bytes + spare <= limit {
                break;
            }
            evictions.extend(self.evict(now, other, Reason::Memory));
        }
        evictions
    }

    /// Marks a connection as one that is to be closed. What its request held counts as released.
    fn evict(&mut self, now: Instant, key: Key, reason: Reason) -> Option<Eviction> {
        let connection = self.connections.get_mut(key)?;
        let (address, refuse) = (connection.address, connection.phase == Phase::Body);
        let held = std::mem::take(&mut connection.held);
        self.remaining -= usize::from(connection.evicted_at.replace(now).is_none());
        self.held = self.held.saturating_sub(held);
        if let Some(usage) = self.addresses.get_mut(&address) {
            usage.held = usage.held.saturating_sub(held);
        }
        Some(Eviction { key, address, reason, refuse })
    }
}

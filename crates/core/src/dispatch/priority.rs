//! Priorities of the requests of one service.
//!
//! Decisions go by the rank of a priority among those that the configuration gives to the service's
//! requests; rank 0 is the most urgent. All requests of a service with one priority are of rank 0,
//! so its priorities change nothing.

use super::admission::{Effect, RefusalReason, Request};
use super::{Dispatch, shuffle};
use crate::mix::mix;
use crate::time::Instant;
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

/// Highest rank; further priorities share it.
const MAX_RANK: u8 = 127;
/// One in this many less urgent requests is drawn to wait among the most urgent ones, so that under
/// lasting overload no priority, organisation or length of prompt is left without service. The share
/// that is served of a less urgent priority can't exceed that of a more urgent one by this.
const FLOOR_ONE_IN: u64 = 16;
/// Priority that the most urgent requests have at engines, whose default is 5. Resumed or prefilled
/// requests have it as well, so that no other preempts them.
const FIRST_ENGINE_PRIORITY: u8 = 4;
/// Time for which a request that found no room makes less urgent ones leave room for such as it. In
/// spans of this length a more urgent kind is to be served no worse than a less urgent one.
const SHORTAGE_RETENTION: Duration = Duration::from_secs(2);
/// Number of different priorities that a service's requests have at engines.
const ENGINE_PRIORITIES: usize = 3;

/// Priorities of each service whose requests have more than one, in ascending order.
#[derive(Clone, Debug, Default)]
pub(super) struct Priorities(BTreeMap<Arc<str>, Vec<u8>>);

impl Priorities {
    /// Returns whether the requests of any service have more than one priority.
    pub(super) fn is_any(&self) -> bool {
        !self.0.is_empty()
    }

    /// Returns the rank of a request's priority. A priority that is not configured has the rank of
    /// the next less urgent one.
    pub(super) fn rank(&self, request: &Request) -> u8 {
        let priorities = self.0.get(&request.service).map(Vec::as_slice).unwrap_or_default();
        let last = priorities.len().saturating_sub(1);
        let rank = priorities.partition_point(|other| *other < request.priority).min(last);
        u8::try_from(rank).unwrap_or(MAX_RANK).min(MAX_RANK)
    }

    /// Returns the priority that a request has at its engines, or `None` if all requests of its
    /// service have the same.
    pub(super) fn engine_priority(&self, request: &Request) -> Option<u8> {
        let count = self.0.get(&request.service)?.len();
        if request.urgent {
            return Some(FIRST_ENGINE_PRIORITY);
        }
        let step =
            usize::from(self.rank(request)) * ENGINE_PRIORITIES / count.max(ENGINE_PRIORITIES);
        Some(FIRST_ENGINE_PRIORITY + u8::try_from(step).unwrap_or_default())
    }
}

/// Requests of this host that found no room when they came: time, service and rank.
#[derive(Clone, Debug, Default)]
pub(super) struct Shortage(VecDeque<(Instant, Arc<str>, u8)>);

impl Shortage {
    /// Records a request that found no room.
    pub(super) fn record(&mut self, now: Instant, service: &Arc<str>, rank: u8) {
        self.0.retain(|(at, ..)| now.since(*at) < SHORTAGE_RETENTION);
        self.0.push_back((now, service.clone(), rank));
    }

    /// Returns the number of recent requests of a service that found no room and are more urgent
    /// than `rank`.
    fn more_urgent(&self, now: Instant, service: &str, rank: u8) -> usize {
        let recent = self.0.iter().filter(|(at, of, short_rank)| {
            now.since(*at) < SHORTAGE_RETENTION && **of == *service && *short_rank < rank
        });
        recent.count()
    }
}

impl<T> Dispatch<T> {
    /// Records a request that found no room when it came, if it is not of the only priority.
    pub(super) fn record_shortage(&mut self, now: Instant, request: &Request, rank: u8) {
        if self.priorities.0.contains_key(&request.service) {
            self.shortage.record(now, &request.service, rank);
        }
    }

    /// Returns for how many more urgent requests one of `rank` must leave room, besides those that
    /// are known to wait: as many as recently found none, estimated as this host's number times the
    /// number of hosts. A generation occupies its place for longer than a request may wait, so the
    /// order of waiting requests alone would let less urgent ones take the places beforehand.
    pub(super) fn room_to_leave(&self, now: Instant, service: &str, rank: u8) -> usize {
        self.shortage.more_urgent(now, service, rank) * (self.peers.len() + 1)
    }

    /// Sets the priorities that the requests of a service may have.
    pub fn configure_priorities(&mut self, service: &Arc<str>, priorities: &[u8]) {
        let mut priorities = priorities.to_vec();
        priorities.sort_unstable();
        priorities.dedup();
        match priorities.len() {
            0 | 1 => self.priorities.0.remove(service),
            _ => self.priorities.0.insert(service.clone(), priorities),
        };
    }

    /// Returns the rank with which a new request waits: that of its priority, or for
    /// one in [`FLOOR_ONE_IN`] the first. An urgent request is of the first rank.
    pub(super) fn draw_rank(&mut self, request: &Request) -> u8 {
        let rank = self.priorities.rank(request);
        if rank == 0 || request.urgent {
            return 0;
        }
        let is_drawn = mix(self.floor_draws.next()).is_multiple_of(FLOOR_ONE_IN);
        if is_drawn { 0 } else { rank }
    }

    /// Refuses the waiting requests that can no longer be served in time because more urgent ones
    /// came after them, on this host or a peer.
    pub(super) fn evict_displaced(&mut self, now: Instant) -> Vec<Effect<T>> {
        let mut effects = Vec::new();
        if !self.priorities.is_any() {
            return effects;
        }
        // The least urgent and youngest first: each one that goes makes room for the others.
        let mut waiting: Vec<_> = self
            .queue
            .iter()
            .filter(|(_, waiting)| !waiting.returned && !waiting.item.0.is_late())
            .map(|(key, waiting)| (waiting.rank, waiting.arrived, key))
            .collect();
        waiting.sort_unstable();
        while let Some((rank, arrived, key)) = waiting.pop() {
            let Some(entry) = self.queue.get(key).filter(|_| rank > 0) else { break };
            let (deadline, service) = (entry.deadline, entry.item.0.service.clone());
            let ahead = waiting.iter().filter_map(|(.., other)| self.queue.get(*other));
            let ahead = ahead.filter(|other| other.item.0.service == service);
            let is_displaced = ahead.clone().any(|other| other.arrived > arrived);
            let ahead = ahead.count();
            let more_urgent_at_peers: usize =
                self.peers.values().map(|peer| peer.waiting_up_to(&service, rank - 1)).sum();
            if !is_displaced && more_urgent_at_peers == 0 {
                continue;
            }
            let ahead = ahead + self.waiting_before_at_peers(now, &service, rank, arrived);
            let wait = self.expected_wait(now, &service, ahead);
            if wait.is_none_or(|wait| now + wait > deadline) {
                effects.extend(self.refuse_waiting(now, key, RefusalReason::Displaced));
            }
        }
        effects
    }
}

/// Returns the draws that decide which less urgent requests wait among the most urgent.
pub(super) fn floor_draws(seed: u64) -> shuffle::Sequence {
    shuffle::Sequence::new(mix(seed))
}

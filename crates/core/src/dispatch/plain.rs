//! Load balancing for plain services (backend servers without an engine): the power of two choices.
//!
//! Requests to plain services are too short to be reported between hosts. Each host therefore goes
//! by the recent answers it got from a server and its own requests in flight to it. It compares
//! only two random servers, because hosts that all chose the best one would overload it.

use super::{Dispatch, Residency, Server, ServerKey, shuffle};
use crate::time::Instant;
use std::time::Duration;

/// Servers that one choice compares.
const SAMPLE_SIZE: usize = 2;
/// Assumed time to answer until one was measured, in milliseconds.
const DEFAULT_ANSWER_MS: f64 = 50.0;
/// Weight of a new answer in the moving averages.
const SMOOTHING: f64 = 0.15;
/// Additional cost of a server whose answers are all errors, in multiples of its answer time.
const ERROR_COST: f64 = 8.0;
/// Time after which the weight of statistics without a new answer halves.
const HALF_LIFE: Duration = Duration::from_secs(2);
/// How long a server that reported no room is avoided.
const FULL_BACKOFF: Duration = Duration::from_millis(100);

/// How a request to a plain service ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlainOutcome {
    /// The server answered after this time.
    Answered(Duration),
    /// The server failed after this time: an error status, no answer or a broken one.
    Failed(Duration),
    /// The server had no room for the request.
    Full,
    /// The caller disconnected.
    Abandoned,
}

/// A chosen server, and the estimates that the choice is based on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Choice {
    /// Key of the server.
    pub key: ServerKey,
    /// Requests of this host in flight to the server, before this one.
    pub in_flight: u32,
    /// Expected cost of one more request to the server, in milliseconds.
    pub cost_ms: u32,
    /// Number of servers that could have been chosen.
    pub candidates: usize,
}

/// Moving averages of a server's recent answers to this host.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Stats {
    /// Average time to answer, in milliseconds.
    answer_ms: Option<f64>,
    /// Fraction of answers that were errors.
    error_rate: f64,
    updated_at: Instant,
    /// End of the backoff after the server reported no room.
    full_until: Instant,
}

impl Stats {
    /// Records an answer, or an error, and the time that it took.
    fn record(&mut self, now: Instant, elapsed: Duration, is_error: bool) {
        let elapsed_ms = elapsed.as_secs_f64() * 1_000.0;
        let previous = self.answer_ms.unwrap_or(elapsed_ms);
        self.answer_ms = Some(previous + SMOOTHING * (elapsed_ms - previous));
        self.error_rate += SMOOTHING * (f64::from(u8::from(is_error)) - self.error_rate);
        self.updated_at = now;
    }

    /// Returns the expected cost of one more request, in milliseconds: the time to answer, times
    /// the requests in flight including the new one, plus a penalty for errors. `typical_ms` is the
    /// average time to answer over all servers; the statistics decay towards it with age.
    fn cost(&self, now: Instant, in_flight: u32, typical_ms: f64) -> f64 {
        let half_lives = now.since(self.updated_at).as_secs_f64() / HALF_LIFE.as_secs_f64();
        let weight = 0.5_f64.powf(half_lives);
        let expected_ms = typical_ms + weight * (self.answer_ms.unwrap_or(typical_ms) - typical_ms);
        expected_ms * f64::from(in_flight + 1) * (1.0 + ERROR_COST * weight * self.error_rate)
    }
}

impl<T> Dispatch<T> {
    /// Chooses a server of a plain service for a request that may go to any region, as
    /// [`Dispatch::place_plain_within`] does.
    pub fn place_plain(
        &mut self,
        now: Instant,
        service: &str,
        excluded: &[ServerKey],
    ) -> Option<Choice> {
        self.place_plain_within(now, service, excluded, &Residency::default())
    }

    /// Chooses a server of a plain service that is not in `excluded` and that a residency allows,
    /// and counts a request in flight to it. Returns `None` if there is no such server.
    ///
    /// Servers are preferred that are not failing, then warm ones if any has room, then those in this
    /// host's cell (the part of the fleet that it uses first), then those that no peer avoids, then
    /// those that have not just reported that they have no room. Two random servers of the best group
    /// are compared by cost.
    pub fn place_plain_within(
        &mut self,
        now: Instant,
        service: &str,
        excluded: &[ServerKey],
        residency: &Residency,
    ) -> Option<Choice> {
        let shuffle_seed = self.shuffle_seeds.next();
        let candidates = self.servers.iter().filter(|(key, server)| {
            let may_get_it = server.accepts(now)
                && residency.allows(server)
                && self.throttle.has_room(now, &server.entry.name);
            &*server.entry.service == service && may_get_it && !excluded.contains(key)
        });
        let mut candidates: Vec<(ServerKey, &Server)> = candidates.collect();
        let is_warm_with_room = |server: &Server| {
            !server.is_cold(now) && server.health.may_try(now) && server.stats.full_until <= now
        };
        let has_warm_room = candidates.iter().any(|(_, server)| is_warm_with_room(server));
        let preference = |server: &Server| {
            let is_failing = !server.health.may_try(now);
            let is_avoided_by_peer = self.is_avoided_by_peer(now, server);
            // Cold servers come after the warm ones with room, and before those without.
            let is_second_choice = server.is_cold(now) == has_warm_room;
            let is_full = server.stats.full_until > now;
            (is_failing, is_second_choice, !server.in_cell, is_avoided_by_peer, is_full)
        };
        candidates
            .sort_by_key(|(key, server)| (preference(server), shuffle::rank(*key, shuffle_seed)));
        let best = preference(candidates.first()?.1);
        let measured_ms: Vec<f64> =
            candidates.iter().filter_map(|(_, s)| s.stats.answer_ms).collect();
        let typical_ms = match measured_ms.len() {
            0 => DEFAULT_ANSWER_MS,
            count => measured_ms.iter().sum::<f64>() / count as f64,
        };
        let count = candidates.len();
        let sampled = candidates.into_iter().take(SAMPLE_SIZE);
        let usable = sampled.filter(|(_, server)| preference(server) == best);
        let cost = |server: &Server| server.stats.cost(now, server.in_flight, typical_ms);
        let (key, chosen) = usable.min_by(|(_, a), (_, b)| cost(a).total_cmp(&cost(b)))?;
        let (in_flight, cost_ms) = (chosen.in_flight, cost(chosen) as u32);
        self.servers[key].in_flight += 1;
        self.servers[key].health.record_request(now);
        self.throttle.take(now, &self.servers[key].entry.name);
        Some(Choice { key, in_flight, cost_ms, candidates: count })
    }

    /// Ends a request in flight to a server, and records how it ended.
    pub fn finish_plain(&mut self, now: Instant, key: ServerKey, outcome: PlainOutcome) {
        let Some(server) = self.servers.get_mut(key) else { return };
        server.in_flight -= 1;
        match outcome {
            // A request that was answered by a cold server says nothing about its speed.
            PlainOutcome::Answered(elapsed) | PlainOutcome::Failed(elapsed)
                if server.is_cold(now - elapsed) => {}
            PlainOutcome::Answered(elapsed) => server.stats.record(now, elapsed, false),
            PlainOutcome::Failed(elapsed) => server.stats.record(now, elapsed, true),
            PlainOutcome::Full => server.stats.full_until = now + FULL_BACKOFF,
            PlainOutcome::Abandoned => {}
        }
    }
}

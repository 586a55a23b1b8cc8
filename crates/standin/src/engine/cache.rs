//! Prefix cache, which stores prompts in pieces and reports its changes as events with a delay and
//! gaps.
//!
//! A piece is a run of [`PIECE_TOKENS`] prompt tokens, identified by the hash of the prompt up to
//! its end.

use chestnutrack_engine::order::{Event, Events, PIECE_TOKENS};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{HashMap, VecDeque};
use std::time::Duration;
use tokio::time::Instant;

/// Maximum number of events kept.
const EVENTS_MAX: usize = 10_000;

/// Least-recently-used cache of prompt pieces, with the events of its changes.
pub(super) struct Cache {
    /// Capacity, in pieces.
    pieces_max: usize,
    /// Each piece with the value of `use_count` at its last use.
    pieces: HashMap<u64, u64>,
    /// Number of uses of any piece so far; orders the pieces by their last use.
    use_count: u64,
    /// Time of each event, the event, and whether it is lost.
    events: VecDeque<(Instant, Event, bool)>,
    /// Number of the newest event, 0 before the first.
    newest_event: u64,
    /// Share of events that are lost, in percent.
    lost_percent: u32,
    random: ChaCha8Rng,
}

impl Cache {
    /// Creates an empty cache with a capacity of `tokens` tokens.
    pub(super) fn new(tokens: u32, lost_percent: u32, seed: u64) -> Cache {
        Cache {
            pieces_max: (tokens / PIECE_TOKENS) as usize,
            pieces: HashMap::new(),
            use_count: 0,
            events: VecDeque::new(),
            newest_event: 0,
            lost_percent,
            random: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Returns how many tokens at the start of a prompt are cached, and marks their pieces as used.
    pub(super) fn lookup(&mut self, piece_hashes: &[u64]) -> u32 {
        let cached =
            piece_hashes.iter().take_while(|piece| self.pieces.contains_key(piece)).count();
        for piece in &piece_hashes[..cached] {
            self.use_count += 1;
            self.pieces.insert(*piece, self.use_count);
        }
        u32::try_from(cached).unwrap_or(u32::MAX) * PIECE_TOKENS
    }

    /// Stores a prompt's pieces and evicts the least recently used ones beyond the capacity.
    pub(super) fn store(&mut self, piece_hashes: &[u64]) {
        for piece in piece_hashes.iter().take(self.pieces_max) {
            self.use_count += 1;
            if self.pieces.insert(*piece, self.use_count).is_none() {
                self.record_event(*piece, true);
            }
        }
        while self.pieces.len() > self.pieces_max {
            let Some((&least_recent, _)) =
                self.pieces.iter().min_by_key(|(_, last_use)| **last_use)
            else {
                return;
            };
            self.pieces.remove(&least_recent);
            self.record_event(least_recent, false);
        }
    }

    /// Records that a piece was stored or evicted; the event is lost at random.
    fn record_event(&mut self, prefix: u64, stored: bool) {
        self.newest_event += 1;
        let is_lost = self.random.random_ratio(self.lost_percent.min(100), 100);
        let event = Event { number: self.newest_event, prefix, stored };
        if self.events.len() == EVENTS_MAX {
            self.events.pop_front();
        }
        self.events.push_back((Instant::now(), event, is_lost));
    }

    /// Returns the events numbered above `after` that are at least `lag` old and not lost.
    pub(super) fn events(&self, after_number: u64, lag: Duration) -> Events {
        let visible =
            || self.events.iter().take_while(|(recorded_at, ..)| recorded_at.elapsed() >= lag);
        let delivered =
            visible().filter(|(_, event, is_lost)| event.number > after_number && !is_lost);
        Events {
            events: delivered.map(|(_, event, _)| *event).collect(),
            newest: visible().last().map_or(0, |(_, event, _)| event.number),
        }
    }
}

//! The prefix cache, in pieces, and its late events with gaps.

use chestnutrack_engine::order::{Event, Events, PIECE_TOKENS};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{HashMap, VecDeque};
use std::time::Duration;
use tokio::time::Instant;

/// Most events kept.
const EVENTS_MAX: usize = 10_000;

/// Pieces of prompts that were computed lately.
pub(super) struct Cache {
    pieces_max: usize,
    /// Each piece with when it was used last, by a counter.
    pieces: HashMap<u64, u64>,
    uses: u64,
    events: VecDeque<(Instant, Event, bool)>,
    number: u64,
    lost_percent: u32,
    random: ChaCha8Rng,
}

impl Cache {
    pub(super) fn new(tokens: u32, lost_percent: u32, seed: u64) -> Cache {
        Cache {
            pieces_max: (tokens / PIECE_TOKENS) as usize,
            pieces: HashMap::new(),
            uses: 0,
            events: VecDeque::new(),
            number: 0,
            lost_percent,
            random: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Tokens at the start of a prompt that are in the cache.
    pub(super) fn lookup(&mut self, names: &[u64]) -> u32 {
        let found = names.iter().take_while(|name| self.pieces.contains_key(name)).count();
        for name in &names[..found] {
            self.uses += 1;
            self.pieces.insert(*name, self.uses);
        }
        u32::try_from(found).unwrap_or(u32::MAX) * PIECE_TOKENS
    }

    /// Stores a prompt's pieces; those used least lately make room.
    pub(super) fn store(&mut self, names: &[u64]) {
        for name in names.iter().take(self.pieces_max) {
            self.uses += 1;
            if self.pieces.insert(*name, self.uses).is_none() {
                self.note(*name, true);
            }
        }
        while self.pieces.len() > self.pieces_max {
            let Some((&oldest, _)) = self.pieces.iter().min_by_key(|(_, used)| **used) else {
                return;
            };
            self.pieces.remove(&oldest);
            self.note(oldest, false);
        }
    }

    fn note(&mut self, prefix: u64, stored: bool) {
        self.number += 1;
        let lost = self.random.random_ratio(self.lost_percent.min(100), 100);
        let event = Event { number: self.number, prefix, stored };
        if self.events.len() == EVENTS_MAX {
            self.events.pop_front();
        }
        self.events.push_back((Instant::now(), event, lost));
    }

    /// Events after a number that are old enough to show.
    pub(super) fn events(&self, after: u64, lag: Duration) -> Events {
        let shown = || self.events.iter().take_while(|(made, ..)| made.elapsed() >= lag);
        let kept = shown().filter(|(_, event, lost)| event.number > after && !lost);
        Events {
            events: kept.map(|(_, event, _)| *event).collect(),
            newest: shown().last().map_or(0, |(_, event, _)| event.number),
        }
    }
}

//! The server's link for KV transfers: each takes its turn.

use super::Key;
use crate::time::Instant;
use std::time::Duration;

/// One transfer's turn.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Turn {
    /// Whose it is.
    pub hold: Key,
    /// When it begins.
    pub start: Instant,
    /// When it ends.
    pub end: Instant,
}

/// Turns on the link, in the order of their start.
#[derive(Clone, Debug, Default)]
pub struct Link {
    bytes_per_s: u64,
    turns: Vec<Turn>,
}

impl Link {
    /// Sets the link's rate, in bytes a second; 0 for a link without a limit.
    pub fn rate(&mut self, bytes_per_s: u64) {
        self.bytes_per_s = bytes_per_s;
    }

    /// Time that a transfer takes.
    pub fn time(&self, bytes: u64) -> Duration {
        let micros = bytes.saturating_mul(1_000_000).checked_div(self.bytes_per_s).unwrap_or(0);
        Duration::from_micros(micros)
    }

    /// Books the first free turn at or after `earliest`.
    pub fn book(&mut self, hold: Key, earliest: Instant, bytes: u64) -> Turn {
        let length = self.time(bytes);
        let mut start = earliest;
        for turn in &self.turns {
            if start + length <= turn.start {
                break;
            }
            start = start.max(turn.end);
        }
        let turn = Turn { hold, start, end: start + length };
        self.insert(turn);
        turn
    }

    /// Moves a turn to the present, because its transfer begins.
    pub fn begin(&mut self, hold: Key, now: Instant) {
        let Some(turn) = self.turn(hold) else { return };
        self.release(hold);
        self.insert(Turn { hold, start: now, end: now + turn.end.since(turn.start) });
    }

    /// The turn of a hold.
    pub fn turn(&self, hold: Key) -> Option<Turn> {
        self.turns.iter().find(|turn| turn.hold == hold).copied()
    }

    /// Gives a turn back.
    pub fn release(&mut self, hold: Key) {
        self.turns.retain(|turn| turn.hold != hold);
    }

    /// When the link is free of every booked turn.
    pub fn free_at(&self) -> Option<Instant> {
        self.turns.iter().map(|turn| turn.end).max()
    }

    fn insert(&mut self, turn: Turn) {
        let at = self.turns.partition_point(|other| other.start <= turn.start);
        self.turns.insert(at, turn);
    }
}

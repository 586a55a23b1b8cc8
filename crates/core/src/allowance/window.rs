//! Tokens spent in a sliding window of time, counted in slots: short parts of the window whose spending
//! leaves it at once.

use crate::time::Instant;
use std::collections::VecDeque;
use std::time::Duration;

/// Number of slots that a window is divided into. Spending leaves the window up to one slot late.
const SLOTS: u32 = 32;

/// Tokens spent in each slot of a sliding window.
#[derive(Clone, Debug, Default)]
pub(super) struct Window {
    length: Duration,
    /// Start of each slot and the tokens spent in the slot, oldest first.
    slots: VecDeque<(Instant, f64)>,
    /// Tokens spent in all slots.
    total: f64,
}

impl Window {
    /// Creates an empty window.
    pub(super) fn new(length: Duration) -> Window {
        Window { length, ..Window::default() }
    }

    fn slot_length(&self) -> Duration {
        self.length / SLOTS
    }

    /// Adds tokens that were spent now to the latest slot, or to a new one if that has ended. A window of no length holds
    /// nothing.
    pub(super) fn add(&mut self, now: Instant, tokens: f64) {
        if self.length.is_zero() {
            return;
        }
        let slot_length = self.slot_length();
        match self.slots.back_mut().filter(|(slot_start, _)| now.since(*slot_start) < slot_length) {
            Some((_, spent)) => *spent += tokens,
            None => self.slots.push_back((now, tokens)),
        }
        self.total += tokens;
    }

    /// Adds tokens that were spent evenly from one time until now.
    pub(super) fn add_evenly(&mut self, from: Instant, now: Instant, tokens: f64) {
        let slot_length = self.slot_length();
        if self.length.is_zero() || now.since(from) < slot_length {
            return self.add(now, tokens);
        }
        let parts = (now.since(from).as_micros() / slot_length.as_micros().max(1))
            .clamp(1, u128::from(SLOTS)) as u32;
        for part in 0..parts {
            let spent_at = now - slot_length * (parts - 1 - part);
            let next = self.slots.partition_point(|(slot_start, _)| *slot_start <= spent_at);
            let slot = next.checked_sub(1).and_then(|index| self.slots.get_mut(index));
            match slot.filter(|(slot_start, _)| spent_at.since(*slot_start) < slot_length) {
                Some((_, spent)) => *spent += tokens / f64::from(parts),
                None => self.slots.insert(next, (spent_at, tokens / f64::from(parts))),
            }
        }
        self.total += tokens;
    }

    /// Removes refunded tokens, beginning with those spent last.
    pub(super) fn refund(&mut self, tokens: f64) {
        let mut remaining = tokens;
        for (_, spent) in self.slots.iter_mut().rev() {
            let removed = remaining.min(*spent);
            *spent -= removed;
            self.total -= removed;
            remaining -= removed;
        }
    }

    /// Removes expired slots and returns the tokens spent in the window that ends now.
    pub(super) fn expire_and_total(&mut self, now: Instant) -> f64 {
        let retention = self.length + self.slot_length();
        while let Some((slot_start, spent)) = self.slots.front().copied()
            && now.since(slot_start) >= retention
        {
            self.slots.pop_front();
            self.total -= spent;
        }
        if self.slots.is_empty() {
            self.total = 0.0;
        }
        self.total
    }

    /// Returns the age and the spent tokens of each slot, oldest first.
    pub(super) fn slots(&self, now: Instant) -> impl Iterator<Item = (Duration, f64)> {
        self.slots.iter().map(move |(slot_start, spent)| (now.since(*slot_start), *spent))
    }

    /// Returns the time until slots with at least `tokens` spent tokens in total have left the window.
    pub(super) fn time_until_expired(&self, now: Instant, tokens: f64) -> Duration {
        let mut remaining = tokens;
        for (slot_start, spent) in &self.slots {
            remaining -= spent;
            if remaining <= 0.0 {
                return (*slot_start + self.length + self.slot_length()).since(now);
            }
        }
        self.length
    }
}

//! Tokens spent in a sliding window.

use crate::time::Instant;
use std::collections::VecDeque;
use std::time::Duration;

/// Number of slots that a window is divided into. Spending leaves the window up to one slot late.
const SLOTS: u32 = 32;

/// Tokens spent in each slot of a sliding window.
#[derive(Clone, Debug, Default)]
pub(super) struct Window {
    length: Duration,
    /// Start of each slot and the tokens spent in it, oldest first.
    slots: VecDeque<(Instant, f64)>,
    sum: f64,
}

impl Window {
    /// Creates an empty window.
    pub(super) fn new(length: Duration) -> Window {
        Window { length, ..Window::default() }
    }

    fn slot_length(&self) -> Duration {
        self.length / SLOTS
    }

    /// Adds tokens that were spent.
    pub(super) fn add(&mut self, now: Instant, tokens: f64) {
        let slot_length = self.slot_length();
        match self.slots.back_mut().filter(|(began, _)| now.since(*began) < slot_length) {
            Some((_, spent)) => *spent += tokens,
            None => self.slots.push_back((now, tokens)),
        }
        self.sum += tokens;
    }

    /// Removes refunded tokens, beginning with those spent last.
    pub(super) fn refund(&mut self, tokens: f64) {
        let mut remaining = tokens;
        for (_, spent) in self.slots.iter_mut().rev() {
            let taken = remaining.min(*spent);
            *spent -= taken;
            self.sum -= taken;
            remaining -= taken;
        }
    }

    /// Removes expired slots and returns the tokens spent in the window that ends now.
    pub(super) fn spent(&mut self, now: Instant) -> f64 {
        let retention = self.length + self.slot_length();
        while let Some((began, spent)) = self.slots.front().copied()
            && now.since(began) >= retention
        {
            self.slots.pop_front();
            self.sum -= spent;
        }
        if self.slots.is_empty() {
            self.sum = 0.0;
        }
        self.sum
    }

    /// Returns the age and the spent tokens of each slot, oldest first.
    pub(super) fn slots(&self, now: Instant) -> impl Iterator<Item = (Duration, f64)> {
        self.slots.iter().map(move |(began, spent)| (now.since(*began), *spent))
    }

    /// Returns the time until `tokens` of the spent tokens have left the window.
    pub(super) fn time_until_expired(&self, now: Instant, tokens: f64) -> Duration {
        let mut remaining = tokens;
        for (began, spent) in &self.slots {
            remaining -= spent;
            if remaining <= 0.0 {
                return (*began + self.length + self.slot_length()).since(now);
            }
        }
        self.length
    }
}

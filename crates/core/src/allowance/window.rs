//! Tokens spent in the time just past.

use crate::time::Instant;
use std::collections::VecDeque;
use std::time::Duration;

/// Parts that a window is counted in; what was spent leaves it a part late.
const SLOTS: u32 = 32;

/// Tokens spent in each part of a window that moves with time.
#[derive(Clone, Debug, Default)]
pub(super) struct Window {
    length: Duration,
    /// When each part began, and what was spent in it; the newest is last.
    slots: VecDeque<(Instant, f64)>,
    sum: f64,
}

impl Window {
    /// A window of a length, in which nothing was spent.
    pub(super) fn new(length: Duration) -> Window {
        Window { length, ..Window::default() }
    }

    fn slot_length(&self) -> Duration {
        self.length / SLOTS
    }

    /// Notes spending.
    pub(super) fn add(&mut self, now: Instant, tokens: f64) {
        let slot_length = self.slot_length();
        match self.slots.back_mut().filter(|(began, _)| now.since(*began) < slot_length) {
            Some((_, spent)) => *spent += tokens,
            None => self.slots.push_back((now, tokens)),
        }
        self.sum += tokens;
    }

    /// Notes that tokens were handed back, the last that were spent.
    pub(super) fn refund(&mut self, tokens: f64) {
        let mut remaining = tokens;
        for (_, spent) in self.slots.iter_mut().rev() {
            let taken = remaining.min(*spent);
            *spent -= taken;
            self.sum -= taken;
            remaining -= taken;
        }
    }

    /// What was spent in the window that ends now.
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

    /// What was spent in each part, and how long ago the part began; the newest is last.
    pub(super) fn slots(&self, now: Instant) -> impl Iterator<Item = (Duration, f64)> {
        self.slots.iter().map(move |(began, spent)| (now.since(*began), *spent))
    }

    /// How long until so many of the tokens have left the window.
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

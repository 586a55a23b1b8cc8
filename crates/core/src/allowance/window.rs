//! Tokens spent in the time just past.

use crate::time::Instant;
use std::collections::VecDeque;
use std::time::Duration;

/// Parts that a window is counted in; what was spent leaves it a part late.
const PARTS: u32 = 32;

/// Tokens spent in each part of a window that moves with time.
#[derive(Clone, Debug, Default)]
pub(super) struct Window {
    length: Duration,
    /// When each part began, and what was spent in it; the newest is last.
    parts: VecDeque<(Instant, f64)>,
    sum: f64,
}

impl Window {
    /// A window of a length, in which nothing was spent.
    pub(super) fn new(length: Duration) -> Window {
        Window { length, ..Window::default() }
    }

    fn part(&self) -> Duration {
        self.length / PARTS
    }

    /// Notes spending.
    pub(super) fn add(&mut self, now: Instant, tokens: f64) {
        let part = self.part();
        match self.parts.back_mut().filter(|(began, _)| now.since(*began) < part) {
            Some((_, spent)) => *spent += tokens,
            None => self.parts.push_back((now, tokens)),
        }
        self.sum += tokens;
    }

    /// Notes that tokens were handed back, the last that were spent.
    pub(super) fn take_back(&mut self, tokens: f64) {
        let mut left = tokens;
        for (_, spent) in self.parts.iter_mut().rev() {
            let taken = left.min(*spent);
            *spent -= taken;
            self.sum -= taken;
            left -= taken;
        }
    }

    /// What was spent in the window that ends now.
    pub(super) fn spent(&mut self, now: Instant) -> f64 {
        let kept = self.length + self.part();
        while let Some((began, spent)) = self.parts.front().copied()
            && now.since(began) >= kept
        {
            self.parts.pop_front();
            self.sum -= spent;
        }
        if self.parts.is_empty() {
            self.sum = 0.0;
        }
        self.sum
    }

    /// What was spent in each part, and how long ago the part began; the newest is last.
    pub(super) fn parts(&self, now: Instant) -> impl Iterator<Item = (Duration, f64)> {
        self.parts.iter().map(move |(began, spent)| (now.since(*began), *spent))
    }

    /// How long until so many of the tokens have left the window.
    pub(super) fn leaves_in(&self, now: Instant, tokens: f64) -> Duration {
        let mut left = tokens;
        for (began, spent) in &self.parts {
            left -= spent;
            if left <= 0.0 {
                return (*began + self.length + self.part()).since(now);
            }
        }
        self.length
    }
}

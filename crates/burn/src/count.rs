//! How requests ended, and counts of it.

use serde::{Deserialize, Serialize};
use std::ops::{Add, AddAssign};

/// How a request ended, as the objective sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Outcome {
    /// Answered whole, within both latency targets where they apply, else within its deadline.
    Good,
    /// Answered whole, but late.
    Slow,
    /// Not answered whole, or its outcome is unknown.
    Failed,
    /// Refused although it was within its organisation's rate.
    Refused,
    /// Refused because its organisation was over its rate; spends no budget.
    OverRate,
}

/// Counts of how requests ended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// [`Outcome::Good`].
    pub good: u64,
    /// [`Outcome::Slow`].
    pub slow: u64,
    /// [`Outcome::Failed`].
    pub failed: u64,
    /// [`Outcome::Refused`].
    pub refused: u64,
    /// [`Outcome::OverRate`].
    pub over_rate: u64,
}

impl Counts {
    /// Counts one request.
    pub fn increment(&mut self, outcome: Outcome) {
        let count = match outcome {
            Outcome::Good => &mut self.good,
            Outcome::Slow => &mut self.slow,
            Outcome::Failed => &mut self.failed,
            Outcome::Refused => &mut self.refused,
            Outcome::OverRate => &mut self.over_rate,
        };
        *count = count.saturating_add(1);
    }

    /// Requests that count against the objective.
    pub fn eligible(&self) -> u64 {
        self.good.saturating_add(self.bad())
    }

    /// Requests that spent budget.
    pub fn bad(&self) -> u64 {
        self.slow.saturating_add(self.failed).saturating_add(self.refused)
    }

    /// All requests, those over their organisation's rate included.
    pub fn all(&self) -> u64 {
        self.eligible().saturating_add(self.over_rate)
    }

    pub(crate) fn as_array(&self) -> [u64; 5] {
        [self.good, self.slow, self.failed, self.refused, self.over_rate]
    }

    pub(crate) fn from_array(array: [u64; 5]) -> Counts {
        let [good, slow, failed, refused, over_rate] = array;
        Counts { good, slow, failed, refused, over_rate }
    }
}

impl Add for Counts {
    type Output = Counts;

    fn add(self, other: Counts) -> Counts {
        let (left, right) = (self.as_array(), other.as_array());
        Counts::from_array(std::array::from_fn(|i| left[i].saturating_add(right[i])))
    }
}

impl AddAssign for Counts {
    fn add_assign(&mut self, other: Counts) {
        *self = *self + other;
    }
}

impl std::iter::Sum for Counts {
    fn sum<I: Iterator<Item = Counts>>(counts: I) -> Counts {
        counts.fold(Counts::default(), Counts::add)
    }
}

//! Outcomes of requests with regard to the service-level objective, and their counts.
//!
//! The error budget is the share of eligible requests that may be bad. Eligible are all requests but
//! those refused because their organisation exceeded its rate.

use serde::{Deserialize, Serialize};
use std::ops::{Add, AddAssign};

/// Outcome of a request with regard to the service-level objective.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Outcome {
    /// Answered completely, within both latency targets where they apply, else within its deadline.
    Good,
    /// Answered completely, but late.
    Slow,
    /// Not answered completely, or with an unknown outcome.
    Failed,
    /// Refused although its organisation was within its rate.
    Refused,
    /// Refused because its organisation exceeded its rate; spends no error budget.
    OverRate,
}

/// Number of requests by outcome.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Requests that ended as [`Outcome::Good`].
    pub good: u64,
    /// Requests that ended as [`Outcome::Slow`].
    pub slow: u64,
    /// Requests that ended as [`Outcome::Failed`].
    pub failed: u64,
    /// Requests that ended as [`Outcome::Refused`].
    pub refused: u64,
    /// Requests that ended as [`Outcome::OverRate`].
    pub over_rate: u64,
}

impl Counts {
    /// Counts one request with this outcome.
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

    /// Returns the number of requests to which the objective applies: all but those over their rate.
    pub fn eligible(&self) -> u64 {
        self.good.saturating_add(self.bad())
    }

    /// Returns the number of requests that spent error budget.
    pub fn bad(&self) -> u64 {
        self.slow.saturating_add(self.failed).saturating_add(self.refused)
    }

    /// Returns the number of all requests, including those over their organisation's rate.
    pub fn all(&self) -> u64 {
        self.eligible().saturating_add(self.over_rate)
    }

    /// Returns the counts in the order of the fields, which is also their order in a stored value.
    pub(crate) fn as_array(&self) -> [u64; 5] {
        [self.good, self.slow, self.failed, self.refused, self.over_rate]
    }

    /// Inverse of [`Counts::as_array`].
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

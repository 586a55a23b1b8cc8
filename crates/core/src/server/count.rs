//! Counters of what a server's table has decided.

use chestnutrack_wire::frame::{Cause, Ran};
use std::collections::HashMap;

/// What is counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Counter {
    /// Frames received.
    Frames,
    /// Holds given a slot.
    Granted,
    /// Holds promised a slot that is not free yet.
    Promised,
    /// Attempts refused or failed.
    Failed(Cause, Ran),
    /// Frames dropped as late or repeated.
    Late,
    /// Frames dropped since their sender doesn't own the request.
    Foreign,
    /// Frames that don't fit the protocol.
    Protocol,
    /// Holds freed.
    Freed(Reason),
    /// Orders given to the engine.
    Orders,
    /// Plain calls made.
    Calls,
    /// Answers ended whole.
    Completed,
    /// Answers continued on a new connection.
    Resumed,
    /// Requests found on the engine that nobody claimed.
    Unclaimed,
    /// Times that this process was stopped.
    Pauses,
}

/// Why a hold was freed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Reason {
    /// The answer arrived.
    Done,
    /// It was cancelled.
    Cancelled,
    /// It failed or was refused.
    Failed,
    /// Its owner was gone.
    OwnerGone,
    /// Its lease lapsed.
    Lapsed,
}

impl Reason {
    /// The metric's label.
    pub fn as_str(self) -> &'static str {
        match self {
            Reason::Done => "done",
            Reason::Cancelled => "cancelled",
            Reason::Failed => "failed",
            Reason::OwnerGone => "owner_gone",
            Reason::Lapsed => "lapsed",
        }
    }
}

/// Values of the counters.
#[derive(Clone, Debug, Default)]
pub struct Counts(HashMap<Counter, u64>);

impl Counts {
    /// Counts one.
    pub fn add(&mut self, counter: Counter) {
        *self.0.entry(counter).or_default() += 1;
    }

    /// Value of a counter.
    pub fn get(&self, counter: Counter) -> u64 {
        self.0.get(&counter).copied().unwrap_or(0)
    }

    /// Every counter that is not zero.
    pub fn iter(&self) -> impl Iterator<Item = (Counter, u64)> + '_ {
        self.0.iter().map(|(counter, value)| (*counter, *value))
    }
}

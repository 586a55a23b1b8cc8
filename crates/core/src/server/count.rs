//! Counters of the decisions of a server's table of holds. A hold is the resources that one attempt
//! of a request occupies on the server.

use chestnutrack_wire::frame::{Cause, Ran};
use std::collections::HashMap;

/// An event that is counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Counter {
    /// Frames received.
    Frames,
    /// Holds granted a slot.
    Granted,
    /// Holds promised a slot that is not free yet.
    Promised,
    /// Attempts refused or failed, by cause and by whether they had run.
    Failed(Cause, Ran),
    /// Frames that were late, repeated or received on a connection that is not registered. At most,
    /// the earlier reply is sent again.
    LateFrames,
    /// Frames dropped because their sender doesn't own the request, or was replaced by another
    /// incarnation that is connected.
    ForeignFrames,
    /// Frames that violate the protocol.
    ProtocolViolations,
    /// Holds freed, by reason.
    Freed(Reason),
    /// Orders sent to the engine.
    Orders,
    /// Calls made to the plain service.
    Calls,
    /// Answers that reached their end.
    Completed,
    /// Answers resumed by an entry host.
    Resumed,
    /// Requests found on the engine that no entry host claimed, and that were cancelled.
    Unclaimed,
    /// Times that this process was found to have been paused.
    Pauses,
}

/// Reason why a hold was freed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Reason {
    /// The entry host confirmed that it received the answer.
    Done,
    /// The entry host cancelled the request.
    Cancelled,
    /// The request failed or was refused.
    Failed,
    /// The owner of the hold, which is the entry host that requested it, is gone.
    OwnerGone,
    /// The lease of the hold expired.
    Lapsed,
}

impl Reason {
    /// Returns the value of the metric's label.
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

/// Current values of the counters.
#[derive(Clone, Debug, Default)]
pub struct Counts(HashMap<Counter, u64>);

impl Counts {
    /// Increments a counter.
    pub fn add(&mut self, counter: Counter) {
        *self.0.entry(counter).or_default() += 1;
    }

    /// Returns the value of a counter.
    pub fn get(&self, counter: Counter) -> u64 {
        self.0.get(&counter).copied().unwrap_or(0)
    }

    /// Iterates over the counters that are not zero.
    pub fn iter(&self) -> impl Iterator<Item = (Counter, u64)> + '_ {
        self.0.iter().map(|(counter, value)| (*counter, *value))
    }
}

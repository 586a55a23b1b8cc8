//! Faults, counts and what was seen.

use crate::request_log::Log;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Faults in force.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Faults {
    /// Nothing is computed, moved or answered until this ends.
    pub(super) freeze: bool,
    /// Prefills still to come that fail with status 500 after their time.
    pub(super) fail_prefills: u64,
    /// Orders still to come that take effect and whose connection is then cut.
    pub(super) lose_answers: u64,
    /// Transfers don't move until this ends.
    pub(super) stall: bool,
    /// Cuts the connections of the streams that are open now; it doesn't last.
    pub(super) cut_streams: bool,
}

/// Counts since the start; tokens are those of prompts unless said otherwise.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub(super) struct Counts {
    pub(super) prefills: u64,
    /// Tokens computed by prefills, also by those that were cancelled.
    pub(super) prefilled_tokens: u64,
    /// Tokens found in the prefix cache.
    pub(super) cached_tokens: u64,
    /// Tokens computed and evicted or cancelled before an export took them.
    pub(super) wasted_prefill_tokens: u64,
    pub(super) exports: u64,
    pub(super) exported_tokens: u64,
    pub(super) imports: u64,
    pub(super) imported_tokens: u64,
    /// Tokens imported and cancelled before generation was ordered.
    pub(super) undecoded_tokens: u64,
    /// Tokens of answers.
    pub(super) generated_tokens: u64,
    /// Steps of the batch.
    pub(super) steps: u64,
    /// Time by which steps ended later than the model says, in microseconds; it grows when the
    /// host is too busy to keep the model's time.
    pub(super) late_us: u64,
    /// Answers generated whole.
    pub(super) answers: u64,
    /// Requests cancelled that held something.
    pub(super) cancelled: u64,
    /// Largest batch.
    pub(super) batch_max: u32,
    /// Orders refused for their fencing number.
    pub(super) fenced: u64,
}

/// One order, as `/control/seen` shows it.
#[derive(Clone, Debug, Serialize)]
pub(super) struct Seen {
    pub(super) call: &'static str,
    pub(super) id: Arc<str>,
    pub(super) fence: u64,
    /// Absent until it was answered.
    pub(super) status: Option<u16>,
}

/// The highest fencing number, faults, and what was seen.
pub(super) struct Control {
    pub(super) faults: Faults,
    pub(super) seen: Log<Seen>,
    pub(super) fence: u64,
    pub(super) model: Option<Arc<str>>,
    pub(super) role: Option<Arc<str>>,
    pub(super) loading: bool,
}

impl Control {
    pub(super) fn new() -> Control {
        Control {
            faults: Faults::default(),
            seen: Log::default(),
            fence: 0,
            model: None,
            role: None,
            loading: false,
        }
    }

    /// Whether the answer to an order that took effect is lost.
    pub(super) fn lose_answer(&mut self) -> bool {
        let lost = self.faults.lose_answers > 0;
        self.faults.lose_answers = self.faults.lose_answers.saturating_sub(1);
        lost
    }

    /// Takes one from the prefills still to fail.
    pub(super) fn fail_prefill(&mut self) -> bool {
        let fails = self.faults.fail_prefills > 0;
        self.faults.fail_prefills = self.faults.fail_prefills.saturating_sub(1);
        fails
    }
}

//! Injected faults, counters, the log of orders, and the state that orders set.
//!
//! Tests set the faults and read the counters and the log on the control pages. An order is a call
//! that changes what the engine does; its fencing number tells a current sender from an outdated
//! one.

use crate::request_log::Log;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Faults that are injected now.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Faults {
    /// While set, the engine is paused: it computes, transfers and answers nothing.
    pub(super) freeze: bool,
    /// Number of next prefills that fail with status 500 after their computation.
    pub(super) fail_prefills: u64,
    /// Number of next orders that take effect but whose connection is then cut without a response.
    pub(super) lose_answers: u64,
    /// While set, transfers make no progress.
    pub(super) stall: bool,
    /// Cuts the streams that are open now; resets itself at once.
    pub(super) cut_streams: bool,
}

/// Counters since the start. Tokens are prompt tokens unless stated otherwise.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub(super) struct Counts {
    pub(super) prefills: u64,
    /// Tokens computed by prefills, including cancelled ones.
    pub(super) prefilled_tokens: u64,
    /// Tokens found in the prefix cache.
    pub(super) cached_tokens: u64,
    /// Tokens computed but evicted or cancelled before they were exported.
    pub(super) wasted_prefill_tokens: u64,
    pub(super) exports: u64,
    pub(super) exported_tokens: u64,
    pub(super) imports: u64,
    pub(super) imported_tokens: u64,
    /// Tokens imported but cancelled before a decode order.
    pub(super) undecoded_tokens: u64,
    /// Tokens generated for answers.
    pub(super) generated_tokens: u64,
    /// Decode steps.
    pub(super) steps: u64,
    /// Total delay of decode steps beyond their simulated end, in microseconds; grows when the host
    /// is too busy to keep up with the simulated time.
    pub(super) late_us: u64,
    /// Answers generated completely.
    pub(super) answers: u64,
    /// Cancelled requests that held a prompt or an answer.
    pub(super) cancelled: u64,
    /// Largest size of the decode batch.
    pub(super) batch_max: u32,
    /// Orders refused because of an outdated fencing number.
    pub(super) fenced: u64,
}

/// One order, as shown on `/control/seen`.
#[derive(Clone, Debug, Serialize)]
pub(super) struct LoggedOrder {
    /// Kind of the order, for instance `prefill`.
    pub(super) call: &'static str,
    /// Id of the request that the order concerns; empty for a change of role or model.
    pub(super) id: Arc<str>,
    /// Fencing number of the order.
    pub(super) fence: u64,
    /// Status of the response; `None` until it is known.
    pub(super) status: Option<u16>,
}

/// Injected faults and the log of orders, with the engine's state that orders set: the highest
/// fencing number, the model and the role.
pub(super) struct Control {
    pub(super) faults: Faults,
    pub(super) log: Log<LoggedOrder>,
    /// Highest fencing number of any order received, including refused ones.
    pub(super) highest_fence: u64,
    /// Model that was loaded last; `None` until the first such order.
    pub(super) model: Option<Arc<str>>,
    /// Role assigned last, for instance `prefill`; `None` until the first such order. It is only
    /// shown.
    pub(super) role: Option<Arc<str>>,
    /// Whether a model is being loaded.
    pub(super) loading: bool,
}

impl Control {
    /// Creates the state without faults, orders, model or role.
    pub(super) fn new() -> Control {
        Control {
            faults: Faults::default(),
            log: Log::default(),
            highest_fence: 0,
            model: None,
            role: None,
            loading: false,
        }
    }

    /// Returns `true` if the response to an order that took effect must be lost, and decrements the
    /// fault's number of orders.
    pub(super) fn lose_answer(&mut self) -> bool {
        let lost = self.faults.lose_answers > 0;
        self.faults.lose_answers = self.faults.lose_answers.saturating_sub(1);
        lost
    }

    /// Returns `true` if a prefill must fail, and decrements the fault's number of prefills.
    pub(super) fn fail_prefill(&mut self) -> bool {
        let must_fail = self.faults.fail_prefills > 0;
        self.faults.fail_prefills = self.faults.fail_prefills.saturating_sub(1);
        must_fail
    }
}

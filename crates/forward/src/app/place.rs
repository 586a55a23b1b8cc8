//! Placement of requests to plain services, whose servers run no model.

use super::{App, Target};
use chestnutrack_core::dispatch::{Choice, PlainOutcome, Residency, ServerKey};
use chestnutrack_process::clock;
use std::sync::Arc;

/// A place at a server of a plain service: one of this host's requests in flight there. Dropping
/// the value frees the place; unless [`PlainPlacement::finish`] was called, the request counts as
/// abandoned.
pub struct PlainPlacement {
    app: Arc<App>,
    /// Server that was chosen.
    pub target: Target,
    /// Estimates on which the server was chosen.
    pub choice: Choice,
    outcome: PlainOutcome,
}

impl PlainPlacement {
    /// Frees the place and records how the request ended.
    pub fn finish(mut self, outcome: PlainOutcome) {
        self.outcome = outcome;
    }
}

impl Drop for PlainPlacement {
    fn drop(&mut self) {
        let mut state = self.app.state();
        state.dispatch.finish_plain(clock::now(), self.target.key, self.outcome);
    }
}

impl App {
    /// Reserves a place at a server of a plain service that is not in `excluded` and that a residency
    /// allows. Returns `None` if there is none.
    pub fn place_plain(
        self: &Arc<App>,
        service: &str,
        excluded: &[ServerKey],
        residency: &Residency,
    ) -> Option<PlainPlacement> {
        let mut state = self.state();
        let choice =
            state.dispatch.place_plain_within(clock::now(), service, excluded, residency)?;
        let key = choice.key;
        if state.dispatch.is_limited(key) {
            self.gossip_due.notify_one();
        }
        let target = state.target(key);
        if target.is_none() {
            state.dispatch.finish_plain(clock::now(), key, PlainOutcome::Abandoned);
        }
        drop(state);
        Some(PlainPlacement {
            app: self.clone(),
            target: target?,
            choice,
            outcome: PlainOutcome::Abandoned,
        })
    }
}

//! Admission of generations: queues them, places them at engines and frees the places again.
//!
//! A place is what a generation occupies at an engine: a slot, and KV cache for its tokens. A
//! waiting request has a ticket in the dispatcher's queue and a [`Waiter`], which receives its
//! result.

use super::App;
use chestnutrack_core::dispatch::{
    Effect, Entry, Placement, PlacementBasis, Refusal, Request, ServerKey, Ticket,
};
use chestnutrack_process::clock;
use chestnutrack_process::pool::Pool;
use chestnutrack_process::timer::Timer;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::oneshot;

/// Time between two checks of the queue. Waiting requests may reach their deadlines in between.
const ADMISSION_INTERVAL: Duration = Duration::from_millis(20);

/// Sends a waiting request its result.
pub(super) type Waiter = oneshot::Sender<Result<Admission, Refusal>>;

/// A backend server chosen for a request.
#[derive(Clone)]
pub struct Target {
    /// Key of the backend server in the dispatcher.
    pub key: ServerKey,
    /// Entry of the backend server in the platform's store.
    pub entry: Entry,
    /// Connection pool of the backend server.
    pub pool: Pool,
}

/// Places of an admitted generation at its engines. Dropping the value frees them.
pub struct Admission {
    app: Arc<App>,
    placement: Placement,
    /// Engine that decodes.
    pub decode: Target,
    /// Engine that prefills; `None` if the decode engine does so itself.
    pub prefill: Option<Target>,
    is_completed: bool,
}

impl Admission {
    /// Returns the estimates on which the engines were chosen.
    pub fn basis(&self) -> PlacementBasis {
        self.placement.basis
    }

    /// Returns the priority of the request at its engines, or `None` if all requests of the service
    /// have the same.
    pub fn engine_priority(&self) -> Option<u8> {
        self.placement.engine_priority
    }

    /// Records how long the prefill of the prompt took, or with `None` that it was given up.
    pub fn finish_prefill(&self, took: Option<Duration>) {
        self.app.state().dispatch.finish_prefill(self.placement.generation, took);
        self.app.gossip_due.notify_one();
    }

    /// Returns `true` if the prompt may be prefilled at an engine other than those in `in_flight`,
    /// which already prefill it.
    pub fn may_prefill_elsewhere(&self, in_flight: &[ServerKey]) -> bool {
        let state = self.app.state();
        state.dispatch.may_prefill_elsewhere(clock::now(), self.placement.generation, in_flight)
    }

    /// Selects another engine for the prefill of the prompt and returns it, or `None` if there is
    /// none. `took` is the time that the last prefill took, or `None` if it was given up.
    pub fn prefill_elsewhere(
        &mut self,
        took: Option<Duration>,
        in_flight: &[ServerKey],
    ) -> Option<Target> {
        let mut state = self.app.state();
        let generation = self.placement.generation;
        let prefill =
            state.dispatch.prefill_elsewhere(clock::now(), generation, took, in_flight)?;
        self.prefill = state.target(prefill.engine);
        drop(state);
        let basis = &mut self.placement.basis;
        (basis.expected_prefill_time, basis.queued) =
            (prefill.expected_prefill_time, prefill.queued);
        self.app.urgent_gossip_due.notify_one();
        self.prefill.clone()
    }

    /// Records that the answer has `tokens` tokens so far.
    pub fn record_tokens(&self, tokens: u64) {
        self.app.state().dispatch.record_tokens(clock::now(), self.placement.generation, tokens);
    }

    /// Ends the generation as complete, since its whole answer was sent, and frees its places. An
    /// admission that is only dropped counts as not completed.
    pub fn complete(mut self) {
        self.is_completed = true;
    }
}

impl Drop for Admission {
    fn drop(&mut self) {
        self.app.state().dispatch.finish_generation(self.placement.generation, self.is_completed);
        self.app.gossip_due.notify_one();
        self.app.admit_waiting();
    }
}

/// Removes a waiting request from the queue when its caller disconnects.
struct WaitGuard<'a> {
    app: &'a App,
    ticket: Ticket,
}

impl Drop for WaitGuard<'_> {
    fn drop(&mut self) {
        self.app.state().dispatch.cancel(self.ticket);
    }
}

impl App {
    /// Queues a generation and waits until it is placed at engines.
    ///
    /// # Errors
    ///
    /// Returns the refusal if the generation can't be served in time.
    pub async fn admit(self: &Arc<App>, request: Request) -> Result<Admission, Refusal> {
        let (sender, receiver) = oneshot::channel();
        let submitted = self.state().dispatch.submit(clock::now(), request, sender);
        let _guard = match submitted {
            Ok(ticket) => {
                self.request_queued.notify_one();
                self.gossip_due.notify_one();
                // Refuses less urgent requests that have lost their place to this one.
                self.admit_waiting();
                Some(WaitGuard { app: self, ticket })
            }
            Err(effect) => {
                self.resolve(vec![effect]);
                None
            }
        };
        receiver.await.unwrap_or(Err(Refusal::default()))
    }

    /// Admits the waiting requests for which engines are free and refuses those that can't be
    /// served in time.
    pub fn admit_waiting(self: &Arc<App>) {
        let mut state = self.state();
        if !state.dispatch.has_waiting() {
            return;
        }
        let effects = state.dispatch.tick(clock::now());
        drop(state);
        self.resolve(effects);
    }

    /// Sends waiting requests the results that the dispatcher decided.
    fn resolve(self: &Arc<App>, effects: Vec<Effect<Waiter>>) {
        for effect in effects {
            match effect {
                Effect::Admit(waiter, placement) => {
                    let admission = self.admission_for(placement).ok_or(Refusal::default());
                    // If the caller has disconnected meanwhile, the admission is dropped here and
                    // frees its places.
                    drop(waiter.send(admission));
                }
                Effect::Refuse(waiter, refusal) => drop(waiter.send(Err(refusal))),
            }
        }
    }

    /// Returns the admission for a placement. If the decode engine has been removed meanwhile,
    /// frees the places and returns `None`.
    fn admission_for(self: &Arc<App>, placement: Placement) -> Option<Admission> {
        let state = self.state();
        let decode = state.target(placement.decode);
        let prefill = placement.prefill.and_then(|key| state.target(key));
        drop(state);
        self.urgent_gossip_due.notify_one();
        let Some(decode) = decode else {
            self.state().dispatch.finish_generation(placement.generation, false);
            return None;
        };
        Some(Admission { app: self.clone(), placement, decode, prefill, is_completed: false })
    }

    /// Admits queued requests at intervals while requests wait, for the lifetime of the process.
    pub async fn run_admission(self: Arc<App>, timer: Timer) {
        loop {
            self.request_queued.notified().await;
            let mut ticks = timer.subscribe(ADMISSION_INTERVAL);
            while ticks.recv().await.is_some() {
                self.admit_waiting();
                if !self.state().dispatch.has_waiting() {
                    break;
                }
            }
        }
    }
}

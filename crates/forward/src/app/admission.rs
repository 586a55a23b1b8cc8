//! Turns of generations.

use super::App;
use chestnutrack_core::dispatch::{
    Basis, Effect, Entry, Placement, Refusal, Request, ServerKey, Ticket,
};
use chestnutrack_process::clock;
use chestnutrack_process::pool::Pool;
use chestnutrack_process::timer::Timer;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::oneshot;

/// Time between looks at requests that wait, in which their time may run out.
const LOOK_EVERY: Duration = Duration::from_millis(20);

/// Where a waiting request learns its end.
pub(super) type Waiter = oneshot::Sender<Result<Admission, Refusal>>;

/// A backend server that a request was given.
#[derive(Clone)]
pub struct Target {
    /// The backend server.
    pub key: ServerKey,
    /// What the platform lists.
    pub entry: Entry,
    /// Connections to it.
    pub pool: Pool,
}

/// A generation's places at engines, given back when it is dropped.
pub struct Admission {
    app: Arc<App>,
    placement: Placement,
    /// The engine that generates.
    pub decode: Target,
    /// The engine that prefills; where there is none, the one that generates does.
    pub prefill: Option<Target>,
    whole: bool,
}

impl Admission {
    /// What the choice of engines went by.
    pub fn basis(&self) -> Basis {
        self.placement.basis
    }

    /// Notes that the prompt was prefilled in so long, or that its prefill is given up.
    pub fn finish_prefill(&self, took: Option<Duration>) {
        self.app.state().dispatch.finish_prefill(self.placement.generation, took);
        self.app.gossip_due.notify_one();
    }

    /// Whether the prompt may be prefilled at another engine than those that have it under way.
    pub fn may_prefill_elsewhere(&self, under_way: &[ServerKey]) -> bool {
        let state = self.app.state();
        state.dispatch.may_prefill_elsewhere(clock::now(), self.placement.generation, under_way)
    }

    /// Has the prompt prefilled at another engine, where there is one: the last took so long, or is given
    /// up.
    pub fn prefill_elsewhere(
        &mut self,
        took: Option<Duration>,
        under_way: &[ServerKey],
    ) -> Option<Target> {
        let mut state = self.app.state();
        let generation = self.placement.generation;
        let prefill =
            state.dispatch.prefill_elsewhere(clock::now(), generation, took, under_way)?;
        self.prefill = state.target(prefill.engine);
        drop(state);
        let basis = &mut self.placement.basis;
        (basis.prefilled_in, basis.queued) = (prefill.done_in, prefill.queued);
        self.app.urgent_gossip_due.notify_one();
        self.prefill.clone()
    }

    /// Notes that the answer has so many tokens.
    pub fn record_tokens(&self, tokens: u64) {
        self.app.state().dispatch.record_tokens(clock::now(), self.placement.generation, tokens);
    }

    /// Ends it with the whole answer.
    pub fn complete(mut self) {
        self.whole = true;
    }
}

impl Drop for Admission {
    fn drop(&mut self) {
        self.app.state().dispatch.finish_generation(self.placement.generation, self.whole);
        self.app.gossip_due.notify_one();
        self.app.admit_waiting();
    }
}

/// Takes a waiting request back where its caller goes.
struct Waiting<'a> {
    app: &'a App,
    ticket: Ticket,
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.app.state().dispatch.cancel(self.ticket);
    }
}

impl App {
    /// Waits for a generation's turn.
    ///
    /// # Errors
    ///
    /// When it can't be served in time.
    pub async fn admit(self: &Arc<App>, request: Request) -> Result<Admission, Refusal> {
        let (sender, receiver) = oneshot::channel();
        let asked = self.state().dispatch.submit(clock::now(), request, sender);
        let _waiting = match asked {
            Ok(ticket) => {
                self.request_queued.notify_one();
                self.gossip_due.notify_one();
                Some(Waiting { app: self, ticket })
            }
            Err(effect) => {
                self.resolve(vec![effect]);
                None
            }
        };
        receiver.await.unwrap_or(Err(Refusal::default()))
    }

    /// Gives turns to requests that wait.
    pub fn admit_waiting(self: &Arc<App>) {
        let mut state = self.state();
        if !state.dispatch.has_waiting() {
            return;
        }
        let effects = state.dispatch.tick(clock::now());
        drop(state);
        self.resolve(effects);
    }

    fn resolve(self: &Arc<App>, effects: Vec<Effect<Waiter>>) {
        for effect in effects {
            match effect {
                Effect::Admit(waiter, placement) => {
                    let turn = self.turn_of(placement).ok_or(Refusal::default());
                    // Where the caller has gone meanwhile, its turn ends here.
                    drop(waiter.send(turn));
                }
                Effect::Refuse(waiter, refusal) => drop(waiter.send(Err(refusal))),
            }
        }
    }

    fn turn_of(self: &Arc<App>, placement: Placement) -> Option<Admission> {
        let state = self.state();
        let decode = state.target(placement.decode);
        let prefill = placement.prefill.and_then(|key| state.target(key));
        drop(state);
        self.urgent_gossip_due.notify_one();
        let Some(decode) = decode else {
            self.state().dispatch.finish_generation(placement.generation, false);
            return None;
        };
        Some(Admission { app: self.clone(), placement, decode, prefill, whole: false })
    }

    /// Looks after requests that wait, until the process ends.
    pub async fn run_admission(self: Arc<App>, timer: Timer) {
        loop {
            self.request_queued.notified().await;
            let mut ticks = timer.subscribe(LOOK_EVERY);
            while ticks.recv().await.is_some() {
                self.admit_waiting();
                if !self.state().dispatch.has_waiting() {
                    break;
                }
            }
        }
    }
}

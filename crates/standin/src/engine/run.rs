//! The loops of the engine: prefills one at a time, steps of the batch, samples of the load.

use super::Engine;
use super::state::Work;
use chestnutrack_engine::order::{Load, PIECE_TOKENS};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, sleep, sleep_until};

/// Time between two samples of the load.
const SAMPLE: Duration = Duration::from_millis(20);

/// Runs prefills by priority, one at a time.
pub(super) async fn prefill(engine: Arc<Engine>) {
    loop {
        let queued = engine.queued.notified();
        engine.thawed().await;
        let work = engine.state().begin_prefill();
        match work {
            Some(work) => compute(&engine, work).await,
            None => queued.await,
        }
    }
}

async fn compute(engine: &Arc<Engine>, work: Work) {
    let mut left = work.tokens;
    while left > 0 && engine.state().has_prompt(&work.id, work.number) {
        let piece = left.min(PIECE_TOKENS);
        sleep(engine.settings.to_real_time(engine.settings.prefill_time(piece))).await;
        engine.thawed().await;
        left -= piece;
    }
    let failed = engine.control().fail_prefill();
    let done = Work { tokens: work.tokens - left, ..work };
    if engine.state().end_prefill(&done, failed) {
        tokio::spawn(evict(Arc::clone(engine), done));
    }
}

async fn evict(engine: Arc<Engine>, work: Work) {
    sleep(engine.settings.to_real_time(engine.settings.evict_after)).await;
    engine.state().evict(&work.id, work.number);
}

/// Runs the batch, a step at a time.
pub(super) async fn decode(engine: Arc<Engine>) {
    let mut due = Instant::now();
    loop {
        let ready = engine.ready.notified();
        engine.thawed().await;
        let size = engine.state().fill_batch();
        if size == 0 {
            ready.await;
            due = Instant::now();
            continue;
        }
        // Makes up for what is lost to the timer's resolution, but never for more than a step.
        due = due.max(Instant::now() - engine.settings.step_base);
        due += engine.settings.to_real_time(engine.settings.step_time(size));
        sleep_until(due).await;
        let late = due.elapsed();
        engine.thawed().await;
        engine.state().step(late);
    }
}

/// Samples the load, so that reports show it with a lag.
pub(super) async fn sample(engine: Arc<Engine>) {
    loop {
        let load = engine.state().load();
        engine.sampled(load);
        sleep(SAMPLE).await;
    }
}

impl Engine {
    fn sampled(&self, load: Load) {
        let lag = self.settings.to_real_time(self.settings.load_lag);
        let mut samples = self.samples();
        samples.push_back((Instant::now(), load));
        // Keeps one sample that is old enough to show.
        while samples.get(1).is_some_and(|(taken, _)| taken.elapsed() >= lag) {
            samples.pop_front();
        }
    }

    /// The newest load report that is old enough to show.
    pub(super) fn load(&self) -> Load {
        let samples = self.samples();
        let shown = samples.front().map(|(taken, load)| {
            let age_ms = u64::try_from(taken.elapsed().as_millis()).unwrap_or(u64::MAX);
            Load { age_ms, ..*load }
        });
        shown.unwrap_or_default()
    }
}

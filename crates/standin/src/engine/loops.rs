//! Background tasks of the engine: one runs the prefills, one the decode batch, and one samples the
//! load.
//!
//! A task that finds its queue empty waits for a notification. Its `Notify` keeps one
//! notification that nothing waits for, so that one between the check and the wait isn't missed.

use super::Engine;
use super::state::PrefillJob;
use chestnutrack_engine::order::{Load, PIECE_TOKENS};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, sleep, sleep_until};

/// Interval between two samples of the load.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(20);

/// Runs the queued prefills one at a time, in descending order of priority.
pub(super) async fn run_prefills(engine: Arc<Engine>) {
    loop {
        let prefill_notified = engine.prefill_queued.notified();
        engine.wait_while_paused().await;
        let job = engine.state().begin_prefill();
        match job {
            Some(job) => compute_prefill(&engine, job).await,
            None => prefill_notified.await,
        }
    }
}

/// Computes a prefill in steps of one piece, so that a cancelled one ends early.
async fn compute_prefill(engine: &Arc<Engine>, job: PrefillJob) {
    let mut remaining_tokens = job.tokens;
    while remaining_tokens > 0 && engine.state().has_prompt(&job.id, job.serial) {
        let piece_tokens = remaining_tokens.min(PIECE_TOKENS);
        sleep(engine.settings.to_real_time(engine.settings.prefill_time(piece_tokens))).await;
        engine.wait_while_paused().await;
        remaining_tokens -= piece_tokens;
    }
    let fails = engine.control().fail_prefill();
    let finished = PrefillJob { tokens: job.tokens - remaining_tokens, ..job };
    if engine.state().end_prefill(&finished, fails) {
        tokio::spawn(evict_later(Arc::clone(engine), finished));
    }
}

/// Evicts the KV cache of a prefill after the time set by `evict_after`, unless it was freed
/// before.
async fn evict_later(engine: Arc<Engine>, job: PrefillJob) {
    sleep(engine.settings.to_real_time(engine.settings.evict_after)).await;
    engine.state().evict(&job.id, job.serial);
}

/// Runs the decode batch step by step; each step generates a token for each request in the batch.
pub(super) async fn run_batch(engine: Arc<Engine>) {
    let mut step_ends_at = Instant::now();
    loop {
        let decode_notified = engine.decode_queued.notified();
        engine.wait_while_paused().await;
        let batch_size = engine.state().fill_batch();
        if batch_size == 0 {
            decode_notified.await;
            step_ends_at = Instant::now();
            continue;
        }
        // Catches up on delays caused by the timer's resolution, by one base step at most.
        step_ends_at = step_ends_at.max(Instant::now() - engine.settings.step_base);
        step_ends_at += engine.settings.to_real_time(engine.settings.step_time(batch_size));
        sleep_until(step_ends_at).await;
        let lateness = step_ends_at.elapsed();
        engine.wait_while_paused().await;
        engine.state().step(lateness);
    }
}

/// Samples the load at a fixed interval, so that load reports can show an earlier load.
pub(super) async fn sample_load(engine: Arc<Engine>) {
    loop {
        let load = engine.state().load();
        engine.record_sample(load);
        sleep(SAMPLE_INTERVAL).await;
    }
}

impl Engine {
    /// Adds a sample and removes those older than the one that is reported now.
    fn record_sample(&self, load: Load) {
        let lag = self.settings.to_real_time(self.settings.load_lag);
        let mut samples = self.samples();
        samples.push_back((Instant::now(), load));
        // Keeps the newest sample that is old enough to be reported.
        while samples.get(1).is_some_and(|(taken_at, _)| taken_at.elapsed() >= lag) {
            samples.pop_front();
        }
    }

    /// Returns the newest sample that is at least as old as `load_lag`, or the oldest one if none
    /// is.
    pub(super) fn load(&self) -> Load {
        let samples = self.samples();
        let reported = samples.front().map(|(taken_at, load)| {
            let age_ms = u64::try_from(taken_at.elapsed().as_millis()).unwrap_or(u64::MAX);
            Load { age_ms, ..*load }
        });
        reported.unwrap_or_default()
    }
}

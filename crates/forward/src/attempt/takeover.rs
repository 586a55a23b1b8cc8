//! Replaces an engine that has fallen silent.
//!
//! A silent engine may be sound and go on. So its connection stays open until another engine has the request, and
//! whichever of the two goes on first is used.

use super::generation::{PendingAttempt, PreparedGeneration, StartPoint, admit, prefill};
use super::{Failure, Job, RetryState};
use crate::app::Target;
use std::ops::ControlFlow;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::sleep;

/// Longest time for which a silent engine keeps the request after it was sent to another one. Within it the silent
/// engine can still go on, or keep the request if the other one fails; beyond it, two engines could work on the request.
const OVERLAP_MAX: Duration = Duration::from_millis(300);

/// Which engine has the request after one has fallen silent.
pub(super) enum Takeover<Old, T, E> {
    /// The silent engine has gone on.
    Continued(Old, T),
    /// No other engine has taken the request; the silent one may still go on.
    Kept(Old),
    /// Another engine has the request, and the connection to the silent one is closed.
    Replaced(Box<PendingAttempt>),
    /// The silent engine has failed, and no other one has taken the request.
    Failed(Old, E),
}

/// Looks for another engine for the request that the engine `silent` has. `old` is what holds the connection to
/// that engine, and `next` waits for what comes from it. If the silent engine fails meanwhile, the other one is
/// still used.
pub(super) async fn run<Old, T, E>(
    job: &Arc<Job>,
    retry_state: &mut RetryState,
    start: &StartPoint,
    silent: &Target,
    mut old: Old,
    mut next: impl AsyncFnMut(&mut Old) -> Result<T, E>,
) -> Takeover<Old, T, E> {
    retry_state.record_silence(job, silent);
    let mut error = None;
    let search = {
        let prepared = prepare(job, retry_state, start, silent);
        tokio::pin!(prepared);
        tokio::select! {
            progress = next(&mut old) => match progress {
                Ok(progress) => ControlFlow::Break(progress),
                Err(failed) => {
                    error = Some(failed);
                    ControlFlow::Continue(prepared.await)
                }
            },
            prepared = &mut prepared => ControlFlow::Continue(prepared),
        }
    };
    match (search, error) {
        (ControlFlow::Break(progress), _) => {
            retry_state.record_progress(job, silent);
            Takeover::Continued(old, progress)
        }
        (ControlFlow::Continue(Ok(prepared)), None) => {
            let attempt = PendingAttempt::send(job, prepared, start.last_event);
            hand_over(job, retry_state, silent, old, next, attempt).await
        }
        (ControlFlow::Continue(Ok(prepared)), Some(_)) => {
            let attempt = PendingAttempt::send(job, prepared, start.last_event);
            replaced(job, retry_state, silent, attempt)
        }
        (ControlFlow::Continue(Err(cause)), None) => {
            log_kept(job, retry_state, silent, cause);
            Takeover::Kept(old)
        }
        (ControlFlow::Continue(Err(_)), Some(error)) => {
            retry_state.is_silent = false;
            Takeover::Failed(old, error)
        }
    }
}

/// Waits until the silent engine or the one that gets the request by `attempt` goes on. The connection to one of them is
/// closed at the latest [`OVERLAP_MAX`] after the request was sent: to the silent one, unless no retry is left with which
/// the request could be sent on if the other one, which is silent as well, refuses it.
async fn hand_over<Old, T, E>(
    job: &Job,
    retry_state: &mut RetryState,
    silent: &Target,
    mut old: Old,
    mut next: impl AsyncFnMut(&mut Old) -> Result<T, E>,
    mut attempt: PendingAttempt,
) -> Takeover<Old, T, E> {
    let mut sent = attempt.sent();
    let mut overlap_sent = sent.clone();
    let overlap = async {
        // An attempt whose sender is gone has ended.
        drop(overlap_sent.wait_for(|is_sent| *is_sent).await);
        sleep(OVERLAP_MAX).await;
    };
    tokio::select! {
        progress = next(&mut old) => if let Ok(progress) = progress {
            if *sent.borrow_and_update() {
                retry_state.count(Failure::Silent);
            }
            retry_state.record_progress(job, silent);
            return Takeover::Continued(old, progress);
        },
        begun = attempt.begun() => if let Err(failure) = begun {
            retry_state.count(failure);
            log_kept(job, retry_state, silent, failure.name());
            return Takeover::Kept(old);
        },
        () = overlap => if !retry_state.has_retry(job) {
            retry_state.count(Failure::Silent);
            log_kept(job, retry_state, silent, "both_silent");
            return Takeover::Kept(old);
        },
    }
    replaced(job, retry_state, silent, attempt)
}

/// Records that another engine has the request of a silent one.
fn replaced<Old, T, E>(
    job: &Job,
    retry_state: &mut RetryState,
    silent: &Target,
    attempt: PendingAttempt,
) -> Takeover<Old, T, E> {
    retry_state.count(Failure::Silent);
    retry_state.is_silent = false;
    let (id, server) = (job.head.id.as_deref(), &silent.entry.name);
    let (by, sent) = (&attempt.engine().entry.name, retry_state.sent);
    tracing::info!(id, %server, %by, sent, after_ms = job.age_ms(), "silent engine replaced");
    Takeover::Replaced(Box::new(attempt))
}

/// Prepares the generation at an engine other than `silent`: reserves places and prefills the prompt.
///
/// # Errors
///
/// Returns why that is not possible.
async fn prepare(
    job: &Arc<Job>,
    retry_state: &mut RetryState,
    start: &StartPoint,
    silent: &Target,
) -> Result<PreparedGeneration, &'static str> {
    if let Some(obstacle) = retry_state.obstacle(job) {
        return Err(obstacle);
    }
    if !retry_state.has_retry(job) {
        return Err("retry_budget");
    }
    let admission = admit(job, start, false).await;
    let mut admission = admission.map_err(|refusal| refusal.cause.name())?;
    if admission.decode.key == silent.key {
        return Err("no_other_engine");
    }
    if !retry_state.spend_retry(job) {
        return Err("retry_budget");
    }
    let cache = prefill(job, &mut admission, retry_state, start.last_event).await;
    let cache = cache.map_err(|_| "prefill")?;
    Ok(PreparedGeneration { admission, cache })
}

/// Logs why a silent engine keeps the request.
fn log_kept(job: &Job, retry_state: &RetryState, silent: &Target, cause: &str) {
    let (id, server) = (job.head.id.as_deref(), &silent.entry.name);
    let (sent, attempts) = (retry_state.sent, job.route.attempts);
    tracing::info!(id, %server, cause, sent, attempts, after_ms = job.age_ms(), "silent engine kept");
}

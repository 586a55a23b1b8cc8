//! Serves requests to plain services, whose servers run no model: one exchange with one server at a time, with
//! retries.

use super::body::read_whole;
use super::{FULL_RETRY_AFTER, Failure, Job, RetryState, response_headers};
use crate::answer::{self, Body, Cause, Refusal};
use crate::app::{PlainPlacement, Target};
use chestnutrack_core::dispatch::{Choice, PlainOutcome};
use chestnutrack_process::clock;
use hyper::Response;

/// Sends a request to the servers of a plain service, one after another and each at most once, until one answers or
/// no retry is left. If all servers have asked for quiet or have reached the limits that they state, refuses at once until
/// the first accepts requests. Records each attempt's outcome with the time it took, on which later choices of a server are
/// based. An answer with a status of 500 or more is passed to the caller, but counts as a failure of the server.
pub(super) async fn run(job: &Job) -> Result<Response<Body>, Refusal> {
    let mut tried = Vec::new();
    let mut last_refusal = None;
    let mut retry_state = RetryState::default();
    loop {
        let Some(placement) = job.app.place_plain(&job.service, &tried, &job.residency) else {
            return Err(last_refusal.unwrap_or_else(|| refusal_of_all(job)));
        };
        log_placement(job, &placement);
        tried.push(placement.target.key);
        let started_at = clock::now();
        let answer = send_once(job, &placement.target).await;
        let took = clock::now().since(started_at);
        placement.finish(match &answer {
            Ok(response) if response.status().is_server_error() => PlainOutcome::Failed(took),
            Ok(_) => PlainOutcome::Answered(took),
            Err(Failure::NotRun) => PlainOutcome::Full,
            Err(_) => PlainOutcome::Failed(took),
        });
        let failure = match answer {
            Ok(response) => return Ok(response),
            Err(failure) => failure,
        };
        let may_retry = retry_state.record_failure(job, failure);
        let refusal = retry_state.refusal(failure.refusal());
        if !may_retry {
            return Err(refusal);
        }
        last_refusal = Some(refusal);
    }
}

/// Returns the refusal for a request that no server may get now.
fn refusal_of_all(job: &Job) -> Refusal {
    if let Some(retry_after) = job.app.evacuated_retry_after(&job.service, None) {
        return Refusal::with_retry_after(Cause::Evacuated, retry_after);
    }
    if let Some(retry_after) = job.app.excluded_retry_after(&job.service, None, &job.residency) {
        return Refusal::with_retry_after(Cause::Region, retry_after);
    }
    if let Some(left) = job.app.backoff_left(&job.service) {
        return Refusal::with_retry_after(Cause::Full, left);
    }
    match job.app.throttled_retry_after(&job.service) {
        Some(retry_after) => Refusal::with_retry_after(Cause::Throttled, retry_after),
        None => Refusal::with_retry_after(Cause::NoServer, FULL_RETRY_AFTER),
    }
}

/// Logs the chosen server and the estimates that the choice is based on.
fn log_placement(job: &Job, placement: &PlainPlacement) {
    // The log lists the calls in flight under the key `running`, which is the variable's name.
    let Choice { in_flight: running, cost_ms, candidates, .. } = placement.choice;
    let (id, server) = (job.head.id.as_deref(), &placement.target.entry.name);
    let (version, after_ms) = (job.version(), job.age_ms());
    tracing::info!(id, %server, running, cost_ms, candidates, version, after_ms, "placed");
}

/// Sends the request to one server and returns the answer after reading it whole, so that an answer that breaks off
/// is still a failed attempt.
async fn send_once(job: &Job, target: &Target) -> Result<Response<Body>, Failure> {
    let sent_at = clock::now();
    let response = job.send(target, &job.added_values(target)).await?;
    let (head, mut stream) = response.into_parts();
    let body = read_whole(job, target, &mut stream).await?;
    // A server that fails may not have run the request.
    if !head.status.is_server_error() {
        job.record_sound(sent_at);
    }
    job.record_answer(target, head.status.as_u16());
    let mut response = Response::new(answer::full(body));
    *response.status_mut() = head.status;
    *response.headers_mut() = response_headers(&head.headers);
    Ok(response)
}

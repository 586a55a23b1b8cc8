//! Requests to plain services.

use super::{FULL_RETRY, Failure, Job, Tries, passed_on};
use crate::answer::{self, Body, Cause, Refusal};
use crate::app::{PlainPlacement, Target};
use chestnutrack_core::dispatch::{Choice, PlainOutcome};
use chestnutrack_process::clock;
use hyper::Response;

/// Sends a request to a plain service until it has an answer.
pub(super) async fn run(job: &Job) -> Result<Response<Body>, Refusal> {
    let mut passed_over = Vec::new();
    let mut last = Refusal::until(Cause::NoServer, FULL_RETRY);
    let mut tries = Tries::default();
    loop {
        let Some(place) = job.app.place_plain(&job.service, &passed_over) else { return Err(last) };
        note_place(job, &place);
        passed_over.push(place.target.key);
        let started = clock::now();
        let answer = once(job, &place.target).await;
        let took = clock::now().since(started);
        place.finish(match &answer {
            Ok(response) if response.status().is_server_error() => PlainOutcome::Failed(took),
            Ok(_) => PlainOutcome::Answered(took),
            Err(Failure::NotRun) => PlainOutcome::Full,
            Err(_) => PlainOutcome::Failed(took),
        });
        let failure = match answer {
            Ok(response) => return Ok(response),
            Err(failure) => failure,
        };
        let again = tries.again(job, failure);
        last = tries.refusal(failure.refusal());
        if !again {
            return Err(last);
        }
    }
}

fn note_place(job: &Job, place: &PlainPlacement) {
    let Choice { in_flight: running, cost_ms, candidates, .. } = place.choice;
    let (id, server) = (job.ask.id.as_deref(), &place.target.entry.name);
    let (version, after_ms) = (job.version(), job.age_ms());
    tracing::info!(id, %server, running, cost_ms, candidates, version, after_ms, "placed");
}

async fn once(job: &Job, target: &Target) -> Result<Response<Body>, Failure> {
    let response = job.send(target, &job.onward(target)).await?;
    let (head, mut stream) = response.into_parts();
    let limit = job.in_force.table.config().limits.body_bytes;
    let body = match tokio::time::timeout(job.left(), stream.read(limit)).await {
        Ok(Ok(body)) => body,
        Ok(Err(error)) => {
            let server = &target.entry.name;
            tracing::info!(id = job.ask.id.as_deref(), %server, %error, "answer broken off");
            return Err(Failure::Unknown);
        }
        Err(_) => return Err(Failure::TimedOut),
    };
    job.note_answer(target, head.status.as_u16());
    let mut response = Response::new(answer::full(body));
    *response.status_mut() = head.status;
    *response.headers_mut() = passed_on(&head.headers);
    Ok(response)
}

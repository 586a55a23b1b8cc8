//! Requests to plain services.

use super::{Failure, Job, passed_on};
use crate::answer::{self, Body, Cause, Refusal};
use crate::server::{Key, Place};
use hyper::Response;

/// Sends a request to a plain service until it has an answer.
pub(super) async fn run(job: &Job) -> Result<Response<Body>, Refusal> {
    let mut passed_over = Vec::new();
    let mut last = Refusal::until(Cause::NoServer, super::FULL_RETRY);
    for _ in 0..job.route.attempts.max(1) {
        let Some(place) = place(job, &passed_over) else { return Err(last) };
        passed_over.push(place.target.key);
        match once(job, &place).await {
            Ok(response) => return Ok(response),
            Err(failure) => {
                last = failure.refusal();
                let again = failure == Failure::NotRun || job.route.kind.may_repeat();
                if !again || failure == Failure::TimedOut {
                    return Err(last);
                }
            }
        }
    }
    Err(last)
}

fn place(job: &Job, passed_over: &[Key]) -> Option<Place> {
    job.app
        .servers
        .place(0, |server| {
            let fresh = job.suits(server);
            fresh.then(|| {
                let busy = server.running >= server.entry.slots / 2;
                (busy, !job.is_near(server), server.running)
            })
        })
        .filter(|place| !passed_over.contains(&place.target.key))
}

async fn once(job: &Job, place: &Place) -> Result<Response<Body>, Failure> {
    let response = job.send(place, &job.onward(place)).await?;
    let (head, mut stream) = response.into_parts();
    let limit = job.table.config().limits.body_bytes;
    let body = match tokio::time::timeout(job.left(), stream.read(limit)).await {
        Ok(Ok(body)) => body,
        Ok(Err(_)) => return Err(Failure::Unknown),
        Err(_) => return Err(Failure::TimedOut),
    };
    let mut response = Response::new(answer::full(body));
    *response.status_mut() = head.status;
    *response.headers_mut() = passed_on(&head.headers);
    Ok(response)
}

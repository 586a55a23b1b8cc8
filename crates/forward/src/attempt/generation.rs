//! Requests to model engines: prefilled at one, generated at another.

use super::{Failure, Job, passed_on};
use crate::answer::{self, Body, Cause, Refusal};
use crate::config::Engine;
use crate::dialect::{Generation, Handle, Onward, Step};
use crate::server::{Place, Stage};
use bytes::Bytes;
use chestnutrack_process::pool::{Pool, Stream};
use hyper::Response;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;

/// Parts of an answer that may wait for a slow caller.
const PARTS: usize = 64;
/// Longest body of an answer to a prefill, in bytes.
const HANDLE_BYTES: usize = 64 << 10;
/// Longest time to free a handle.
const FREE_WITHIN: Duration = Duration::from_millis(500);

/// A KV cache that is freed unless it is taken.
struct Kept {
    job: Arc<Job>,
    pool: Pool,
    handle: Handle,
    taken: bool,
}

impl Drop for Kept {
    fn drop(&mut self) {
        if self.taken {
            return;
        }
        let (method, target) = (self.job.app.dialect.free)(&self.handle);
        let Ok(request) = chestnutrack_process::http::request(method, &target, Bytes::new()) else {
            return;
        };
        let pool = self.pool.clone();
        tokio::spawn(async move {
            if let Err(error) = pool.call(request, FREE_WITHIN, HANDLE_BYTES).await {
                tracing::warn!(%error, "handle not freed; it lapses by itself");
            }
        });
    }
}

/// Prefills and generates.
pub(super) async fn run(job: Arc<Job>, engine: Engine) -> Result<Response<Body>, Refusal> {
    let generation = job.ask.generation.clone().unwrap_or_default();
    let tokens = generation.prompt_tokens + generation.output_tokens;
    let decode = place(&job, Stage::Decode, tokens, engine.kv_tokens)
        .ok_or(Refusal::until(Cause::Full, super::FULL_RETRY))?;
    let step = match prefill(&job, &generation).await.map_err(Failure::refusal)? {
        Some(kept) => kept,
        None => return Err(Refusal::until(Cause::NoServer, super::FULL_RETRY)),
    };
    let mut kept = step;
    let onward = Onward { step: Step::Generate(kept.handle.clone()), ..job.onward(&decode) };
    let response = job.send(&decode, &onward).await.map_err(Failure::refusal)?;
    kept.taken = true;
    drop(kept);
    let (head, stream) = response.into_parts();
    let (sender, receiver) = mpsc::channel(PARTS);
    tokio::spawn(relay(job, decode, stream, sender));
    let mut response = Response::new(answer::parts(receiver));
    *response.status_mut() = head.status;
    *response.headers_mut() = passed_on(&head.headers);
    Ok(response)
}

fn place(job: &Job, stage: Stage, tokens: u64, most: u64) -> Option<Place> {
    job.app.servers.place(tokens, |server| {
        let fits = server.entry.stage == Some(stage) && server.tokens + tokens <= most;
        (fits && job.suits(server)).then_some((server.tokens, !job.is_near(server)))
    })
}

async fn prefill(job: &Arc<Job>, generation: &Generation) -> Result<Option<Kept>, Failure> {
    let Some(place) = place(job, Stage::Prefill, generation.prompt_tokens, u64::MAX) else {
        return Ok(None);
    };
    let onward = Onward { step: Step::Prefill, last_event: None, ..job.onward(&place) };
    let response = job.send(&place, &onward).await?;
    let (head, mut stream) = response.into_parts();
    let read = tokio::time::timeout(job.left(), stream.read(HANDLE_BYTES)).await;
    let body = read.map_err(|_| Failure::NotRun)?.map_err(|_| Failure::NotRun)?;
    if !head.status.is_success() {
        return Err(Failure::NotRun);
    }
    let address = place.target.entry.address;
    let handle = (job.app.dialect.handle)(address, &body).ok_or(Failure::NotRun)?;
    let pool = place.target.pool.clone();
    Ok(Some(Kept { job: job.clone(), pool, handle, taken: false }))
}

/// Passes a stream on until it ends or its caller is gone.
async fn relay(job: Arc<Job>, place: Place, mut stream: Stream, caller: mpsc::Sender<Bytes>) {
    loop {
        let chunk = tokio::select! {
            chunk = stream.chunk() => chunk,
            () = caller.closed() => {
                stream.fail();
                return;
            }
        };
        match chunk {
            Ok(Some(bytes)) if bytes.is_empty() => {}
            Ok(Some(bytes)) => {
                if caller.send(bytes).await.is_err() {
                    stream.fail();
                    return;
                }
            }
            Ok(None) => {
                let _ = caller.send(Bytes::new()).await;
                return;
            }
            Err(error) => {
                let server = &place.target.entry.name;
                tracing::warn!(id = job.ask.id.as_deref(), %server, %error, "stream broken off");
                return;
            }
        }
    }
}

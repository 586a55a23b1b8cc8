//! Requests to model engines: prefilled at one, generated at another.

use super::{Failure, Job, RESUME_SILENCE, Tries, passed_on, relay};
use crate::answer::{self, Body, Cause, Refusal};
use crate::app::{Admission, Target};
use crate::config::Engine;
use crate::dialect::{Handle, Onward, Step};
use bytes::Bytes;
use chestnutrack_core::dispatch::{self, Basis, Outcome, ServerKey};
use chestnutrack_core::time::Instant;
use chestnutrack_process::clock;
use chestnutrack_process::pool::Stream;
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use hyper::Response;
use hyper::http::response;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::timeout;

/// Parts of an answer that may wait for a slow caller.
const PARTS: usize = 64;
/// Longest body of an answer to a prefill, in bytes.
const HANDLE_BYTES: usize = 64 << 10;
/// Longest time to free a handle.
const FREE_WITHIN: Duration = Duration::from_millis(500);
/// How long a turn is waited for where work was done already.
const URGENT_WITHIN: Duration = Duration::from_millis(1_500);
/// How much longer than expected a prefill may take before it is asked for elsewhere: so many times, and
/// so much beyond that. Its answer may be lost, and it is no run. Of the prompts prefilled in a burst
/// 98 in 100 take less.
const PREFILL_LATE: (f64, Duration) = (1.5, Duration::from_millis(150));
/// Time for which a prefill that is overdue is waited for where no other engine may be asked, after which its
/// answer counts as lost: that of the silence of a stream.
const PREFILL_LOST: Duration = RESUME_SILENCE;
/// Time for which the last prefill that may be asked is waited for: callers with a target of 0.9 s leave
/// after four times as long.
const PREFILL_GIVEN_UP: Duration = Duration::from_millis(3_000);
/// Part of a handle's lifetime that its way to the next engine may take.
const HANDLE_MARGIN: Duration = Duration::from_millis(100);

/// A generation that an engine has begun to answer.
pub(super) struct Answering {
    /// Head of the engine's answer.
    pub(super) head: response::Parts,
    /// Its body.
    pub(super) stream: Stream,
    /// Places at engines.
    pub(super) turn: Admission,
}

/// A KV cache that is freed unless it is taken.
struct Kept {
    job: Arc<Job>,
    target: Target,
    handle: Handle,
    tokens: u64,
    since: Instant,
    taken: bool,
}

impl Kept {
    /// Whether another engine can still be given it.
    fn is_fresh(&self, engine: &Engine) -> bool {
        let age = clock::now().since(self.since);
        !self.taken && age + HANDLE_MARGIN < engine.handle_ttl
    }
}

impl Drop for Kept {
    fn drop(&mut self) {
        if self.taken {
            return;
        }
        self.job.app.metrics.prefill_wasted.inc_by(self.tokens);
        let (method, target) = (self.job.app.dialect.free)(&self.handle);
        let Ok(request) = chestnutrack_process::http::request(method, &target, Bytes::new()) else {
            return;
        };
        let (pool, job) = (self.target.pool.clone(), self.job.clone());
        tokio::spawn(async move {
            if let Err(error) = pool.call(request, FREE_WITHIN, HANDLE_BYTES).await {
                let id = job.ask.id.as_deref();
                tracing::warn!(id, %error, "handle not freed; it lapses by itself");
            }
        });
    }
}

/// Prefills and generates, and passes the stream on.
pub(super) async fn run(job: Arc<Job>, engine: Engine) -> Result<Response<Body>, Refusal> {
    let mut tries = Tries::default();
    let last = job.ask.last_event;
    let answering = answer(&job, &engine, &mut tries, last, 0).await;
    let answering = answering.map_err(|refusal| tries.refusal(refusal))?;
    job.note_answer(&answering.turn.decode, answering.head.status.as_u16());
    let mut response = Response::new(());
    *response.status_mut() = answering.head.status;
    *response.headers_mut() = passed_on(&answering.head.headers);
    let (sender, receiver) = mpsc::channel(PARTS);
    tokio::spawn(relay::run(job, engine, tries, answering, sender));
    Ok(response.map(|()| answer::parts(receiver)))
}

/// Finds an engine that answers the request, or that goes on after the last event that the caller
/// has, of a stream that has made so many tokens.
pub(super) async fn answer(
    job: &Arc<Job>,
    engine: &Engine,
    tries: &mut Tries,
    last_event: Option<u64>,
    made: u64,
) -> Result<Answering, Refusal> {
    let mut kept: Option<Kept> = None;
    loop {
        kept = kept.filter(|kept| kept.is_fresh(engine));
        let mut turn = turn(job, made, kept.is_some()).await?;
        if kept.is_none() {
            kept = match prefill(job, &mut turn, tries, last_event).await {
                Ok(kept) => kept,
                Err(Prefilling::Again) => continue,
                // A prefill is no run.
                Err(Prefilling::Failed) => return Err(Failure::NotRun.refusal()),
            };
        }
        match generate(job, &turn, kept.as_mut(), last_event).await {
            Ok((head, stream)) => return Ok(Answering { head, stream, turn }),
            Err(failure) if tries.again(job, failure) => {}
            Err(failure) => return Err(failure.refusal()),
        }
    }
}

/// How long a prefill's answer is waited for before another engine is asked.
fn patience(turn: &Admission) -> Duration {
    let (times, more) = PREFILL_LATE;
    turn.basis().prefilled_in.mul_f64(times) + more
}

/// Waits for the turn of a request whose stream has made so many tokens already, and whose prompt
/// may be prefilled already.
async fn turn(job: &Arc<Job>, made: u64, prefilled: bool) -> Result<Admission, Refusal> {
    let generation = job.ask.generation.clone().unwrap_or_default();
    let now = clock::now();
    let urgent = made > 0 || prefilled;
    let first_by = match urgent {
        true => now + URGENT_WITHIN,
        false => job.first + job.route.target,
    };
    let ask = dispatch::Request {
        service: job.service.clone(),
        organisation: job.organisation.as_ref().map(|o| o.name.clone()).unwrap_or_default(),
        prompt_tokens: generation.prompt_tokens + made,
        output_tokens: generation.output_tokens.saturating_sub(made),
        hint: generation.hint.map(|hint| hint.saturating_sub(made)),
        arrived: job.arrived,
        first_token_by: (first_by > now).then_some(first_by),
        deadline: job.deadline,
        max_pause: job.route.pause,
        urgent,
        prefilled,
    };
    let turn = job.app.admit(ask).await;
    let waited_ms = clock::now().since(now).as_millis() as u64;
    let (id, tokens) = (job.ask.id.as_deref(), generation.prompt_tokens);
    match turn {
        Ok(turn) => {
            let decode = &turn.decode.entry.name;
            let prefill = turn.prefill.as_ref().map(|target| &*target.entry.name);
            let Basis { generations: runs, peak, report_age: news_age, prefilled_in, .. } =
                turn.basis();
            let (version, news_ms) = (job.version(), news_age.as_millis() as u64);
            let prefilled_ms = prefilled_in.as_millis() as u64;
            tracing::info!(
                id, %decode, prefill, waited_ms, tokens, urgent, runs, peak, prefilled_ms,
                news_ms, version,
                "placed"
            );
            job.app.metrics.stages.with_label_values(&["turn"]).observe(waited_ms as f64 / 1e3);
            Ok(turn)
        }
        Err(refusal) => {
            let (ahead, late) = (refusal.ahead, first_by <= now);
            tracing::info!(id, ahead, late, waited_ms, tokens, urgent, "no room in time");
            Err(Refusal::until(Cause::Full, refusal.retry_after))
        }
    }
}

/// Has the answer generated from the KV cache that is kept for it, where there is one.
async fn generate(
    job: &Arc<Job>,
    turn: &Admission,
    kept: Option<&mut Kept>,
    last_event: Option<u64>,
) -> Result<(response::Parts, Stream), Failure> {
    let step = kept.as_ref().map_or(Step::Whole, |kept| Step::Generate(kept.handle.clone()));
    let onward = Onward { step, last_event, ..job.onward(&turn.decode) };
    // The engine may have begun to leave while the prompt was prefilled.
    let sent = match job.app.is_open(&turn.decode) {
        true if job.route.kind.may_repeat() => {
            let head = timeout(RESUME_SILENCE, job.send(&turn.decode, &onward)).await;
            head.unwrap_or_else(|_| {
                job.app.record_outcome(&turn.decode, Outcome::Failure);
                Err(Failure::Silent)
            })
        }
        true => job.send(&turn.decode, &onward).await,
        false => Err(Failure::Unsent),
    };
    // A handle is spent, unless the engine surely never saw it or says that it had no room.
    let taken = match &sent {
        Ok(_) => true,
        Err(Failure::NotRun | Failure::Misdirected) => false,
        Err(failure) => !failure.is_unsent(),
    };
    if let Some(kept) = kept {
        kept.taken = taken;
    }
    sent.map(Response::into_parts)
}

/// Why a prompt is not prefilled.
enum Prefilling {
    /// It may be tried with a new turn.
    Again,
    /// No more may be tried.
    Failed,
}

/// How long the next answer to a prefill is waited for, and what follows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Wait {
    /// Until it is overdue; then another engine may be asked.
    Patient,
    /// No other engine may be asked: until its answer counts as lost, and the same one is asked again.
    Only,
    /// No more may be asked: until the request is given up.
    Last,
}

impl Wait {
    fn limit(self, turn: &Admission) -> Duration {
        match self {
            Wait::Patient => patience(turn),
            Wait::Only => PREFILL_LOST,
            Wait::Last => patience(turn).max(PREFILL_GIVEN_UP),
        }
    }
}

/// Has the prompt prefilled where the turn says; nothing where the engine that generates does it. One that
/// fails or is overdue is asked of another engine while the turn stays. The first that comes counts: one
/// that is overdue may still come before another, and is waited for where there is no other.
async fn prefill(
    job: &Arc<Job>,
    turn: &mut Admission,
    tries: &mut Tries,
    last_event: Option<u64>,
) -> Result<Option<Kept>, Prefilling> {
    let Some(first) = turn.prefill.clone() else { return Ok(None) };
    let mut asked = FuturesUnordered::new();
    let mut under_way = vec![first.key];
    asked.push(prefill_timed(job, first, last_event));
    let mut wait = if tries.may_prefill() { Wait::Patient } else { Wait::Last };
    loop {
        let limit = wait.limit(turn).min(job.left());
        let (failure, took) = match timeout(limit, asked.next()).await {
            Ok(Some((key, took, Ok(kept)))) => {
                let is_last = turn.prefill.as_ref().is_some_and(|target| target.key == key);
                turn.finish_prefill(is_last.then_some(took));
                job.app.metrics.stages.with_label_values(&["prefill"]).observe(took.as_secs_f64());
                return Ok(Some(kept));
            }
            Ok(Some((key, _, Err(failure)))) => {
                under_way.retain(|other| *other != key);
                if !under_way.is_empty() {
                    continue;
                }
                (failure, None)
            }
            Ok(None) => (Failure::Unknown, None),
            Err(_) => {
                note_overdue(job, turn, limit);
                // One that is overdue took at least so long.
                match wait {
                    _ if job.left().is_zero() => (Failure::TimedOut, None),
                    Wait::Patient if turn.may_prefill_elsewhere(&under_way) => {
                        (Failure::Silent, Some(limit))
                    }
                    Wait::Patient => {
                        wait = Wait::Only;
                        continue;
                    }
                    Wait::Only => {
                        under_way.clear();
                        (Failure::Silent, Some(limit))
                    }
                    Wait::Last => {
                        turn.finish_prefill(None);
                        return Err(Prefilling::Failed);
                    }
                }
            }
        };
        let again = tries.prefill_again(job, failure);
        wait = if again && tries.may_prefill() { Wait::Patient } else { Wait::Last };
        let other = if again { turn.prefill_elsewhere(took, &under_way) } else { None };
        match other {
            Some(other) => {
                let (id, server) = (job.ask.id.as_deref(), &other.entry.name);
                let prefilled_ms = turn.basis().prefilled_in.as_millis() as u64;
                tracing::info!(id, %server, prefilled_ms, after_ms = job.age_ms(), "prefilled elsewhere");
                under_way.push(other.key);
                asked.push(prefill_timed(job, other, last_event));
            }
            None if !under_way.is_empty() => {}
            None => {
                turn.finish_prefill(None);
                return Err(if again { Prefilling::Again } else { Prefilling::Failed });
            }
        }
    }
}

fn note_overdue(job: &Job, turn: &Admission, limit: Duration) {
    let Some(target) = &turn.prefill else { return };
    // Behind others it may just be slow; peers would crowd the engines that are left.
    if !turn.basis().queued {
        job.app.record_outcome(target, Outcome::Failure);
    }
    let (id, server, limit_ms) = (job.ask.id.as_deref(), &target.entry.name, limit.as_millis());
    tracing::info!(id, %server, limit_ms = limit_ms as u64, after_ms = job.age_ms(), "prefill overdue");
}

/// As [`prefill_once`], with the engine and the time that it took.
async fn prefill_timed(
    job: &Arc<Job>,
    target: Target,
    last_event: Option<u64>,
) -> (ServerKey, Duration, Result<Kept, Failure>) {
    let started = clock::now();
    let kept = prefill_once(job, &target, last_event).await;
    (target.key, clock::now().since(started), kept)
}

async fn prefill_once(
    job: &Arc<Job>,
    target: &Target,
    last_event: Option<u64>,
) -> Result<Kept, Failure> {
    let step = Step::Prefill;
    let onward = Onward { step, last_event, ..job.onward(target) };
    let response = job.send(target, &onward).await?;
    let (head, mut stream) = response.into_parts();
    let read = timeout(job.left(), stream.read(HANDLE_BYTES)).await;
    let body = read.map_err(|_| Failure::TimedOut)?.map_err(|_| Failure::Unknown)?;
    let handle = (job.app.dialect.handle)(target.entry.address, &body);
    let handle = handle.filter(|_| head.status.is_success()).ok_or(Failure::Unknown)?;
    let tokens = job.ask.generation.as_ref().map_or(0, |generation| generation.prompt_tokens);
    let (job, target, since) = (job.clone(), target.clone(), clock::now());
    Ok(Kept { job, target, handle, tokens, since, taken: false })
}

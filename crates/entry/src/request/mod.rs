//! Handles a request from its arrival to its end: checks it, claims it if it must run at most once,
//! debits its tokens, runs its attempts, and refunds the tokens that it did not use.
//!
//! A claim records in the platform's store that a request is being run, and later how it ended. An
//! attempt is one try to run a request on backend servers. Model requests run on engines (servers
//! that run a model), plain calls are forwarded to a plain service (any other HTTP service).

pub mod admit;
pub mod body;
pub mod claim;
pub mod credential;
pub mod exchange;
pub mod refusal;
pub mod route;

use crate::answer::{Answer, Reply, WatchedBody, openai};
use crate::app::App;
use crate::attempt;
use crate::explain::StepKind;
use admit::{CheckedRequest, Work};
use chestnutrack_burn::{Key, Outcome};
use chestnutrack_core::time::Instant;
use chestnutrack_wire::Request as RequestId;
use chestnutrack_wire::frame::Ran;
use exchange::{Admitted, Exchange};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::{Request, Response};
use refusal::{Code, Refusal};
use std::sync::Arc;
use std::time::{SystemTime, UNIX_EPOCH};
use tokio::sync::{oneshot, watch};

/// Handles one request of a caller. The request runs in a task of its own. Dropping this future, or
/// the response body before its end, tells that task that the caller has disconnected.
pub async fn handle(app: Arc<App>, request: Request<Incoming>) -> Response<Answer> {
    let id = RequestId(rand::random());
    let (response_sender, response) = oneshot::channel();
    let (close_sender, close_signal) = watch::channel(());
    let exchange = Exchange::new(id, Reply::new(id.to_string().into(), response_sender));
    tokio::spawn(serve(app, exchange, request, close_signal));
    let failed =
        || Refusal::new(Code::BackendFailed, "the request failed here").with_ran(Ran::Unknown);
    let response = response.await.unwrap_or_else(|_| failed().response());
    response.map(|body| WatchedBody { body, close_sender }.boxed())
}

/// Serves one request: checks it, runs it if no check fails, and records how it ended. The checks
/// stop when the caller disconnects; [`run_checked`] says when the rest does.
async fn serve(
    app: Arc<App>,
    exchange: Exchange,
    request: Request<Incoming>,
    mut close_signal: watch::Receiver<()>,
) {
    app.metrics.in_progress.inc();
    app.recent_requests.start(exchange.request_id);
    exchange.record_step(&app, StepKind::Arrived, None, None);
    let checking = admit::check_request(&app, &exchange, request);
    let result = tokio::select! {
        result = checking => result,
        () = caller_gone(&mut close_signal) => Err(caller_gone_refusal(&exchange)),
    };
    match result {
        Ok(checked) => {
            let outcome = run_checked(&app, &exchange, &checked, close_signal).await;
            finish(&app, &exchange, Some(&checked.admitted), outcome).await;
        }
        Err(refusal) => finish(&app, &exchange, None, Err(refusal)).await,
    }
    app.metrics.in_progress.dec();
}

/// Debits and runs a request that passed all checks, under a claim if it must run at most once.
/// Without a claim the request is stopped when its caller disconnects or, if it is a model request,
/// when its key is withdrawn.
async fn run_checked(
    app: &App,
    exchange: &Exchange,
    checked: &CheckedRequest,
    mut close_signal: watch::Receiver<()>,
) -> Result<(), Refusal> {
    let CheckedRequest { admitted, work, claim } = checked;
    if let Some(claim_request) = claim {
        // A claimed request keeps running after its caller disconnects, so that a repeated request
        // gets its answer.
        return claim::run(app, exchange, admitted, work, claim_request.clone()).await;
    }
    let running = async {
        admit::debit(app, exchange, admitted, work.tokens()).await?;
        run_attempts(app, exchange, admitted, work).await
    };
    tokio::select! {
        outcome = running => outcome,
        () = caller_gone(&mut close_signal) => Err(caller_gone_refusal(exchange)),
        refusal = key_withdrawn(app, admitted, work) => Err(refusal.with_ran(exchange.ran())),
    }
}

/// Runs the attempts of a request whose tokens were debited, until it is answered.
async fn run_attempts(
    app: &App,
    exchange: &Exchange,
    admitted: &Admitted,
    work: &Work,
) -> Result<(), Refusal> {
    match work {
        Work::Model(call) => {
            let encoder = openai::Encoder {
                api: admitted.route.api,
                request: exchange.request_id,
                model: call.model.clone(),
                created: unix_seconds(),
            };
            attempt::model::run(app, exchange, admitted, call, &encoder).await
        }
        Work::Plain(call, _) => attempt::plain::run(app, exchange, admitted, call).await,
    }
}

/// Returns the current time in seconds since the Unix epoch.
fn unix_seconds() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_secs())
}

/// Completes when the caller has disconnected: the sender of the signal was dropped, together with
/// the response.
async fn caller_gone(close_signal: &mut watch::Receiver<()>) {
    while close_signal.changed().await.is_ok() {}
}

/// Returns the refusal that is recorded for a request whose caller has disconnected.
fn caller_gone_refusal(exchange: &Exchange) -> Refusal {
    Refusal::new(Code::CallerGone, "the caller is gone").with_ran(exchange.ran())
}

/// Completes when the request's key is withdrawn or moves to another organisation. Never completes
/// on routes open to all, nor for a plain call: one that was forwarded runs to its end, and each
/// attempt checks the key before it starts.
async fn key_withdrawn(app: &App, admitted: &Admitted, work: &Work) -> Refusal {
    let (Some(credential), Work::Model(_)) = (&admitted.credential, work) else {
        return std::future::pending().await;
    };
    let mut snapshots = app.authority.snapshots.clone();
    loop {
        let snapshot = snapshots.borrow_and_update().clone();
        if let Err(refusal) = credential.check(&snapshot) {
            return refusal;
        }
        if snapshots.changed().await.is_err() {
            return std::future::pending().await;
        }
    }
}

/// Refunds unused tokens, records the outcome and, if the request failed, sends the refusal. If a
/// part of the answer was sent before, a model stream ends with the refusal as an event, and a
/// plain answer is aborted. `admitted` is `None` for a request that failed a
/// check or whose caller disconnected during the checks.
async fn finish(
    app: &App,
    exchange: &Exchange,
    admitted: Option<&Admitted>,
    outcome: Result<(), Refusal>,
) {
    let outcome = outcome.map_err(|refusal| {
        let ran = exchange.ran_with(refusal.ran);
        refusal.with_ran(ran)
    });
    if let Some(admitted) = admitted {
        settle_tokens(app, exchange, admitted, outcome.as_ref().err());
    }
    record_outcome(app, exchange, admitted, outcome.as_ref().err());
    let why = outcome.as_ref().err().map_or("answered", |refusal| refusal.code.as_str());
    exchange.record_step(app, StepKind::Ended, None, Some(why));
    let Err(refusal) = outcome else { return };
    if exchange.reply.refuse(&refusal) {
        return;
    }
    if admitted.is_some_and(|admitted| admitted.route.api.is_model()) {
        exchange.reply.send(openai::event(&refusal.json())).await;
        exchange.reply.end();
    } else {
        exchange.reply.abort();
    }
}

/// Refunds unused tokens and adds the used ones to the usage counters. A request that did not run
/// used none.
fn settle_tokens(app: &App, exchange: &Exchange, admitted: &Admitted, refusal: Option<&Refusal>) {
    if refusal.is_some_and(|refusal| refusal.ran == Ran::NotRun) {
        exchange.set_used_tokens(0);
    }
    let used = exchange.used_tokens();
    let unused = exchange.take_unused_tokens();
    if let Some(credential) = &admitted.credential
        && unused > 0
    {
        (app.authority.refund)(&credential.organisation, unused);
    }
    app.ledger.update(&admitted.organisation(), &admitted.route.name, |counters| {
        counters.tokens += used;
    });
}

/// Counts the outcome in the metrics and, for an admitted request, in the usage and service-level
/// counters.
fn record_outcome(
    app: &App,
    exchange: &Exchange,
    admitted: Option<&Admitted>,
    refusal: Option<&Refusal>,
) {
    let route = admitted.map_or("", |admitted| &admitted.route.name);
    let outcome = refusal.map_or("answered", |refusal| refusal.code.as_str());
    app.metrics.requests.with_label_values(&[route, outcome]).inc();
    if let Some(refusal) = refusal {
        app.metrics.refusals.with_label_values(&[refusal.code.as_str()]).inc();
    }
    let Some(admitted) = admitted else { return };
    let in_time = refusal.is_none() && exchange.is_in_time(admitted);
    if let Some(outcome) = objective_outcome(refusal, in_time) {
        let route = admitted.route.name.clone();
        app.burn.record(Key { organisation: admitted.organisation(), route }, outcome);
    }
    app.ledger.update(&admitted.organisation(), &admitted.route.name, |counters| {
        counters.requests += 1;
        counters.answered += u64::from(refusal.is_none());
        counters.within_targets += u64::from(in_time);
        if let Some(refusal) = refusal {
            *counters.refused.entry(refusal.code.as_str()).or_default() += 1;
        }
    });
}

/// Returns the outcome that counts towards the service-level objective, or `None` if the request
/// ended because of its caller: it disconnected, sent no key or one that is not in force for the
/// organisation, or repeated an idempotency key while the first request ran or with another
/// request.
fn objective_outcome(refusal: Option<&Refusal>, in_time: bool) -> Option<Outcome> {
    let Some(refusal) = refusal else {
        return Some(if in_time { Outcome::Good } else { Outcome::Slow });
    };
    match refusal.code {
        Code::OverRate | Code::OverBurst => Some(Outcome::OverRate),
        Code::CallerGone
        | Code::KeyRefused
        | Code::KeyMoved
        | Code::KeyMissing
        | Code::StillRunning
        | Code::IdempotencyKeyReused => None,
        _ if refusal.ran == Ran::NotRun => Some(Outcome::Refused),
        _ => Some(Outcome::Failed),
    }
}

/// Returns the deadline of a request that arrived at `arrived`.
fn deadline_of(arrived: Instant, deadline_ms: u64) -> Instant {
    arrived + std::time::Duration::from_millis(deadline_ms)
}

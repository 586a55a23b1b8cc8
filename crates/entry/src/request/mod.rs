//! The life of a request: arrival, admission, claim, attempts, answer, release.

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
use chestnutrack_wire::Request as Id;
use chestnutrack_wire::frame::Ran;
use exchange::{Admitted, Exchange};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::{Request, Response};
use refusal::{Code, Refusal};
use std::sync::Arc;
use std::time::{SystemTime, UNIX_EPOCH};
use tokio::sync::{oneshot, watch};

/// Handles one request of a caller. Dropping the future, or the answer's body before its end,
/// means that the caller is gone.
pub async fn handle(app: Arc<App>, request: Request<Incoming>) -> Response<Answer> {
    let id = Id(rand::random());
    let (head, response) = oneshot::channel();
    let (close_signal, gone) = watch::channel(());
    let exchange = Exchange::new(id, Reply::new(id.to_string().into(), head));
    tokio::spawn(live(app, exchange, request, gone));
    let failed =
        || Refusal::new(Code::BackendFailed, "the request failed here").with_ran(Ran::Unknown);
    let response = response.await.unwrap_or_else(|_| failed().response());
    response.map(|body| WatchedBody { body, close_signal }.boxed())
}

async fn live(
    app: Arc<App>,
    exchange: Exchange,
    request: Request<Incoming>,
    mut gone: watch::Receiver<()>,
) {
    app.metrics.in_progress.inc();
    app.ring.start(exchange.request);
    exchange.record_step(&app, StepKind::Arrived, None, None);
    let arriving = admit::check_request(&app, &exchange, request);
    let arrived = tokio::select! {
        arrived = arriving => arrived,
        () = caller_gone(&mut gone) => Err(gone_refusal(&exchange)),
    };
    match arrived {
        Ok(arrival) => {
            let outcome = proceed(&app, &exchange, &arrival, gone).await;
            finish(&app, &exchange, Some(&arrival.admitted), outcome).await;
        }
        Err(refusal) => finish(&app, &exchange, None, Err(refusal)).await,
    }
    app.metrics.in_progress.dec();
}

/// Debits, claims and runs an admitted request.
async fn proceed(
    app: &App,
    exchange: &Exchange,
    arrival: &CheckedRequest,
    mut gone: watch::Receiver<()>,
) -> Result<(), Refusal> {
    let CheckedRequest { admitted, work, claim } = arrival;
    if let Some(claim_request) = claim {
        // A claimed request goes on without its caller, so that a repeat gets its answer.
        return claim::run(app, exchange, admitted, work, claim_request.clone()).await;
    }
    let running = async {
        admit::debit(app, exchange, admitted, work.tokens()).await?;
        run(app, exchange, admitted, work).await
    };
    tokio::select! {
        outcome = running => outcome,
        () = caller_gone(&mut gone) => Err(gone_refusal(exchange)),
        refusal = withdrawn(app, admitted, work) => Err(refusal.with_ran(exchange.ran())),
    }
}

/// Runs a request that was debited.
async fn run(
    app: &App,
    exchange: &Exchange,
    admitted: &Admitted,
    work: &Work,
) -> Result<(), Refusal> {
    match work {
        Work::Model(call) => {
            let encoder = openai::Encoder {
                api: admitted.route.api,
                request: exchange.request,
                model: call.model.clone(),
                created: unix_seconds(),
            };
            attempt::model::run(app, exchange, admitted, call, &encoder).await
        }
        Work::Plain(call, _) => attempt::plain::run(app, exchange, admitted, call).await,
    }
}

fn unix_seconds() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_secs())
}

async fn caller_gone(gone: &mut watch::Receiver<()>) {
    while gone.changed().await.is_ok() {}
}

fn gone_refusal(exchange: &Exchange) -> Refusal {
    Refusal::new(Code::CallerGone, "the caller is gone").with_ran(exchange.ran())
}

/// Ends when the request's key is withdrawn or moved. A plain call that has been passed on is
/// left to end by itself; an attempt checks the key before it starts.
async fn withdrawn(app: &App, admitted: &Admitted, work: &Work) -> Refusal {
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

/// Hands back what was not used, counts the request and tells its caller how it ended.
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
    count(app, exchange, admitted, outcome.as_ref().err());
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

fn settle_tokens(app: &App, exchange: &Exchange, admitted: &Admitted, refusal: Option<&Refusal>) {
    if refusal.is_some_and(|refusal| refusal.ran == Ran::NotRun) {
        exchange.set_used(0);
    }
    let used = exchange.used();
    let unused = exchange.take_unused();
    if let Some(credential) = &admitted.credential
        && unused > 0
    {
        (app.authority.refund)(&credential.organisation, unused);
    }
    app.ledger.update(&admitted.organisation(), &admitted.route.name, |counters| {
        counters.tokens += used;
    });
}

fn count(app: &App, exchange: &Exchange, admitted: Option<&Admitted>, refusal: Option<&Refusal>) {
    let route = admitted.map_or("", |admitted| &admitted.route.name);
    let outcome = refusal.map_or("answered", |refusal| refusal.code.as_str());
    app.metrics.requests.with_label_values(&[route, outcome]).inc();
    if let Some(refusal) = refusal {
        app.metrics.refusals.with_label_values(&[refusal.code.as_str()]).inc();
    }
    let Some(admitted) = admitted else { return };
    let within = refusal.is_none() && exchange.is_in_time(admitted);
    if let Some(outcome) = for_objective(refusal, within) {
        let route = admitted.route.name.clone();
        app.burn.record(Key { organisation: admitted.organisation(), route }, outcome);
    }
    app.ledger.update(&admitted.organisation(), &admitted.route.name, |counters| {
        counters.requests += 1;
        counters.answered += u64::from(refusal.is_none());
        counters.within_targets += u64::from(within);
        if let Some(refusal) = refusal {
            *counters.refused.entry(refusal.code.as_str()).or_default() += 1;
        }
    });
}

/// How a request ended, as the objective sees it; `None` where its caller caused the end.
fn for_objective(refusal: Option<&Refusal>, in_time: bool) -> Option<Outcome> {
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

/// Time from arrival to a route's deadline.
fn deadline_of(arrived: Instant, deadline_ms: u64) -> Instant {
    arrived + std::time::Duration::from_millis(deadline_ms)
}

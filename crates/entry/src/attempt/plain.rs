//! Runs plain calls: forwards them to a plain service, a backend server that runs no model, and
//! relays its answer.

use super::{
    Error, begin_retry, error_from_event, millis_left, until_deadline, wait_for_placement,
};
use crate::answer::reply::Header;
use crate::app::App;
use crate::explain::StepKind;
use crate::link::{AttemptHandle, Event, Stage};
use crate::request::exchange::{Admitted, Exchange, check_runnable};
use crate::request::refusal::Refusal;
use crate::scheduler::{Outcome, Placement};
use chestnutrack_core::place::Query;
use chestnutrack_document::model::Role;
use chestnutrack_process::header::is_hop_by_hop;
use chestnutrack_wire::Attempt;
use chestnutrack_wire::frame::{Forward, Frame, Ran};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::timeout;

/// Maximum time between two parts of an answer before the attempt fails.
const BODY_IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Prefix of the names of headers that only the router may set.
const ROUTER_HEADER_PREFIX: &str = "x-chestnutrack-";

/// A call as it is forwarded.
#[derive(Clone, Debug)]
pub struct Call {
    /// Method.
    pub method: Arc<str>,
    /// Path and query, without credentials.
    pub target: Arc<str>,
    /// Headers, without credentials.
    pub headers: Vec<Header>,
    /// Body.
    pub body: Vec<u8>,
}

/// Runs a call until it is answered.
///
/// # Errors
///
/// The refusal that the caller gets. If a part of the answer was sent, the caller's connection is
/// closed instead.
pub async fn run(
    app: &App,
    exchange: &Exchange,
    admitted: &Admitted,
    call: &Call,
) -> Result<(), Refusal> {
    let mut query = Query {
        pool: admitted.route.pool.clone(),
        kv_tokens: admitted.route.cost_tokens,
        preferred_domain: app.failure_domain.clone(),
        ..Query::default()
    };
    let mut attempt_number = 1;
    loop {
        let error =
            match run_attempt(app, exchange, admitted, call, &query, Attempt(attempt_number)).await
            {
                Ok(()) => return Ok(()),
                Err(error) => error,
            };
        begin_retry(app, exchange, admitted, &error)?;
        query.avoided.extend(error.server_to_avoid());
        attempt_number += 1;
    }
}

/// Runs one attempt: places the call on a server, forwards it and relays the answer. The call
/// may wait for its placement, and again at the side process, until its deadline.
async fn run_attempt(
    app: &App,
    exchange: &Exchange,
    admitted: &Admitted,
    call: &Call,
    query: &Query,
    attempt: Attempt,
) -> Result<(), Error> {
    let placement =
        wait_for_placement(app, exchange, admitted, Role::Plain, query.clone(), attempt.0 > 1);
    let placement = placement.await.map_err(Error::without_retry)?;
    check_runnable(app, admitted).map_err(Error::without_retry)?;
    let time_left_ms = millis_left(admitted);
    let organisation =
        admitted.credential.as_ref().map(|credential| credential.organisation.clone());
    let frame = Frame::Forward(
        exchange.request_id,
        attempt,
        Forward {
            organisation,
            may_wait: admitted.route.may_wait,
            once: admitted.route.once,
            method: call.method.clone(),
            target: call.target.clone(),
            headers: call.headers.clone(),
            body: call.body.clone(),
            wait_ms: time_left_ms,
            deadline_ms: time_left_ms,
        },
    );
    exchange.mark_dispatched();
    let mut handle = placement.link.open((exchange.request_id, attempt), Stage::Answering, frame);
    let next = exchange.wait_external(handle.next());
    let first = until_deadline(admitted, &placement.server, Ran::Unknown, next).await?;
    let Event::Head(status, headers) = first else {
        return Err(error_from_event(&placement, first));
    };
    exchange.record_step(app, StepKind::Answering, Some(&placement.server), None);
    placement.in_flight.report(Outcome::Answered);
    exchange.set_used_tokens(admitted.route.cost_tokens);
    exchange.record_tokens(app, 1);
    exchange.reply.start(status, relayed_headers(headers));
    relay(exchange, &placement, &mut handle).await?;
    handle.finish();
    Ok(())
}

/// Relays the body of the answer until its end. Fails if the side process reports a failure or
/// sends nothing for `BODY_IDLE_TIMEOUT`.
async fn relay(
    exchange: &Exchange,
    placement: &Placement,
    handle: &mut AttemptHandle,
) -> Result<(), Error> {
    loop {
        let next = timeout(BODY_IDLE_TIMEOUT, handle.next()).await;
        match next.unwrap_or(Event::Lost(Ran::Ran)) {
            Event::Body(bytes) => exchange.reply.send(bytes).await,
            Event::BodyEnd => {
                exchange.reply.end();
                return Ok(());
            }
            event => return Err(error_from_event(placement, event)),
        }
    }
}

/// Returns the headers of the answer that the caller gets: no hop-by-hop headers, and none that
/// only the router may set.
fn relayed_headers(headers: Vec<Header>) -> Vec<Header> {
    let is_relayed = |name: &str| {
        let name = name.to_ascii_lowercase();
        !is_hop_by_hop(&name) && !name.starts_with(ROUTER_HEADER_PREFIX)
    };
    headers.into_iter().filter(|(name, _)| is_relayed(name)).collect()
}

//! Plain calls: passed through to a plain service.

use super::{Trouble, again, millis_left, trouble, turn, until_deadline};
use crate::answer::reply::Header;
use crate::app::App;
use crate::explain::What;
use crate::link::{AttemptHandle, Event, Stage};
use crate::request::exchange::{Admitted, Exchange, check};
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

/// Longest silence within an answer before it is given up.
const BODY_WITHIN: Duration = Duration::from_secs(30);
/// Start of the names of headers that only the router sets.
const OWN_HEADERS: &str = "x-chestnutrack-";

/// What is passed on.
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
/// What the caller is told; where a part of the answer has gone, its connection is broken off.
pub async fn run(
    app: &App,
    exchange: &Exchange,
    admitted: &Admitted,
    call: &Call,
) -> Result<(), Refusal> {
    let mut ask = Query {
        pool: admitted.route.pool.clone(),
        kv_tokens: admitted.route.cost_tokens,
        preferred_domain: app.failure_domain.clone(),
        ..Query::default()
    };
    let mut attempt = 1;
    loop {
        let trouble = match once(app, exchange, admitted, call, &ask, Attempt(attempt)).await {
            Ok(()) => return Ok(()),
            Err(trouble) => trouble,
        };
        again(app, exchange, admitted, &trouble)?;
        ask.avoided.extend(trouble.to_pass_over());
        attempt += 1;
    }
}

async fn once(
    app: &App,
    exchange: &Exchange,
    admitted: &Admitted,
    call: &Call,
    ask: &Query,
    attempt: Attempt,
) -> Result<(), Trouble> {
    let turn = turn(app, exchange, admitted, Role::Plain, ask.clone(), attempt.0 > 1);
    let turn = turn.await.map_err(Trouble::last)?;
    check(app, admitted).map_err(Trouble::last)?;
    let left_ms = millis_left(admitted);
    let organisation = admitted.credential.as_ref().map(|owner| owner.organisation.clone());
    let frame = Frame::Forward(
        exchange.request,
        attempt,
        Forward {
            organisation,
            may_wait: admitted.route.may_wait,
            once: admitted.route.once,
            method: call.method.clone(),
            target: call.target.clone(),
            headers: call.headers.clone(),
            body: call.body.clone(),
            wait_ms: left_ms,
            deadline_ms: left_ms,
        },
    );
    exchange.note_ordered();
    let mut open = turn.link.open((exchange.request, attempt), Stage::Answering, frame);
    let next = exchange.outside(open.next());
    let first = until_deadline(admitted, &turn.server, Ran::Unknown, next).await?;
    let Event::Head(status, headers) = first else {
        return Err(trouble(&turn, first));
    };
    exchange.note(app, What::Answering, Some(&turn.server), None);
    turn.in_flight.report(Outcome::Answered);
    exchange.note_used(admitted.route.cost_tokens);
    exchange.note_tokens(app, 1);
    exchange.reply.start(status, passed_on(headers));
    relay(exchange, &turn, &mut open).await?;
    open.finish();
    Ok(())
}

async fn relay(
    exchange: &Exchange,
    turn: &Placement,
    open: &mut AttemptHandle,
) -> Result<(), Trouble> {
    loop {
        let next = timeout(BODY_WITHIN, open.next()).await;
        match next.unwrap_or(Event::Lost(Ran::Ran)) {
            Event::Body(bytes) => exchange.reply.send(bytes).await,
            Event::BodyEnd => {
                exchange.reply.end();
                return Ok(());
            }
            event => return Err(trouble(turn, event)),
        }
    }
}

fn passed_on(headers: Vec<Header>) -> Vec<Header> {
    let kept = |name: &str| {
        let name = name.to_ascii_lowercase();
        !is_hop_by_hop(&name) && !name.starts_with(OWN_HEADERS)
    };
    headers.into_iter().filter(|(name, _)| kept(name)).collect()
}

//! A caller's request, from its head to its answer.

use crate::answer::{Body, Cause, Refusal};
use crate::app::{App, Held};
use crate::attempt::{self, Job};
use crate::config::{Limits, Organisation, Route, Table};
use crate::dialect::{Ask, Generation};
use bytes::{Bytes, BytesMut};
use chestnutrack_core::time::Instant;
use chestnutrack_process::clock;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::header::HOST;
use hyper::http::request::Parts;
use hyper::{Request, Response};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::timeout;

/// When to come back to a host that knows no configuration yet.
const UNCONFIGURED_RETRY: Duration = Duration::from_millis(500);
/// When to come back to a host that holds too many bodies.
const CROWDED_RETRY: Duration = Duration::from_millis(500);
/// Route and identifier in a log line of a request that has none.
const NONE: &str = "-";

/// Answers a request.
pub async fn handle(app: Arc<App>, request: Request<Incoming>) -> Response<Body> {
    let arrived = clock::now();
    let (parts, body) = request.into_parts();
    let ask = (app.dialect.ask)(&parts.headers);
    let id = ask.as_ref().ok().and_then(|ask| ask.id.clone()).unwrap_or_else(|| NONE.into());
    let version = app.version();
    let unanswered = Unanswered { app: app.clone(), id: id.clone(), arrived, answered: false };
    let answer = match ask {
        Ok(ask) => admit(app.clone(), arrived, parts, body, ask).await,
        Err(header) => {
            tracing::info!(%id, header, "head can't be read");
            Err(Refusal::new(Cause::BadHead))
        }
    };
    unanswered.end();
    answer.unwrap_or_else(|refusal| {
        let (status, retry_after_ms) =
            (refusal.status().as_u16(), refusal.retry_after.map(|after| after.as_millis() as u64));
        let after_ms = clock::now().since(arrived).as_millis() as u64;
        let cause = refusal.cause.name();
        tracing::info!(%id, status, cause, retry_after_ms, after_ms, version, "refused");
        app.metrics.refusals.with_label_values(&[cause]).inc();
        refusal.response()
    })
}

/// A request without an answer: where it is dropped, its caller has left.
struct Unanswered {
    app: Arc<App>,
    id: Arc<str>,
    arrived: Instant,
    answered: bool,
}

impl Unanswered {
    fn end(mut self) {
        self.answered = true;
    }
}

impl Drop for Unanswered {
    fn drop(&mut self) {
        if self.answered {
            return;
        }
        let after_ms = clock::now().since(self.arrived).as_millis() as u64;
        tracing::info!(id = %self.id, after_ms, "caller left before an answer");
        self.app.metrics.abandoned.inc();
    }
}

async fn admit(
    app: Arc<App>,
    arrived: Instant,
    parts: Parts,
    body: Incoming,
    ask: Ask,
) -> Result<Response<Body>, Refusal> {
    let Some(in_force) = app.in_force() else {
        return Err(Refusal::until(Cause::Unconfigured, UNCONFIGURED_RETRY));
    };
    let table = &in_force.table;
    let route = route(table, &parts)?.clone();
    let organisation = owner(table, &route, ask.key.as_deref())?.cloned();
    let limit = ask.deadline.unwrap_or(route.timeout).min(route.timeout);
    let (body, _held) = read(&app, body, &table.config().limits, limit).await?;
    let service = route.service(rand::random()).cloned().ok_or(Refusal::new(Cause::NoServer))?;
    let caller = ask.generation.as_ref().and_then(caller);
    let first = caller.and_then(|caller| app.first_seen(caller)).unwrap_or(arrived);
    let tokens = cost(&ask, organisation.as_ref());
    if let Some(owner) = &organisation {
        app.debit(&owner.name, tokens).map_err(|refusal| {
            let (id, organisation) = (ask.id.as_deref(), &owner.name);
            let chestnutrack_core::allowance::Refusal {
                remaining: left,
                rate,
                burst,
                reserved: kept,
                ..
            } = refusal;
            tracing::info!(id, %organisation, tokens, left, rate, burst, kept, "over its allowance");
            Refusal::until(Cause::OverRate, refusal.retry_after)
        })?;
    }
    app.earn_repeat(&service);
    let job = Arc::new(Job {
        app: app.clone(),
        in_force: in_force.clone(),
        route,
        service,
        organisation,
        parts,
        body,
        ask,
        arrived,
        first,
        deadline: arrived + limit,
    });
    let answer = attempt::run(job.clone()).await;
    if let Err(refusal) = &answer
        && refusal.not_run()
    {
        if let Some(owner) = &job.organisation {
            app.refund(&owner.name, tokens);
        }
        if let Some(caller) = caller {
            app.note_refused(caller, first);
        }
    }
    answer
}

fn route<'a>(table: &'a Table, parts: &Parts) -> Result<&'a Route, Refusal> {
    let host = parts.headers.get(HOST).and_then(|host| host.to_str().ok());
    let host = host.or(parts.uri.host()).unwrap_or_default();
    table.route(host, parts.uri.path()).ok_or(Refusal::new(Cause::NoRoute))
}

/// The organisation for which a request runs; none on an open route.
fn owner<'a>(
    table: &'a Table,
    route: &Route,
    key: Option<&str>,
) -> Result<Option<&'a Organisation>, Refusal> {
    if !table.needs_key() {
        return Ok(None);
    }
    let owner = key.and_then(|key| table.organisation(key));
    if owner.is_none() && !route.open {
        return Err(Refusal::new(Cause::NoKey));
    }
    Ok(owner)
}

/// Tokens that a request counts for in its organisation's allowance.
fn cost(ask: &Ask, organisation: Option<&Organisation>) -> u64 {
    match (&ask.generation, organisation) {
        (Some(generation), _) => generation.prompt_tokens + generation.output_tokens,
        (None, Some(organisation)) => organisation.plain_tokens,
        (None, None) => 0,
    }
}

/// What a caller is known by when it comes back: the part of the prompt that is its own.
fn caller(generation: &Generation) -> Option<u64> {
    let own = generation.parts.last()?;
    let mut hasher = DefaultHasher::new();
    (&own.id, own.tokens).hash(&mut hasher);
    Some(hasher.finish())
}

/// A request's body, and the memory that it holds.
async fn read(
    app: &App,
    body: Incoming,
    limits: &Limits,
    within: Duration,
) -> Result<(Bytes, Held), Refusal> {
    let whole = timeout(within, collect(app, body, limits.body_bytes)).await;
    whole.unwrap_or(Err(Refusal::new(Cause::BodyLate)))
}

async fn collect(app: &App, mut body: Incoming, most: usize) -> Result<(Bytes, Held), Refusal> {
    let mut held = app.hold();
    let mut whole = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| Refusal::new(Cause::BodyLate))?;
        let Ok(bytes) = frame.into_data() else { continue };
        if whole.len() + bytes.len() > most {
            return Err(Refusal::new(Cause::TooLarge));
        }
        if !held.grow(bytes.len(), app.settings.body_bytes) {
            return Err(Refusal::until(Cause::Crowded, CROWDED_RETRY));
        }
        whole.extend_from_slice(&bytes);
    }
    Ok((whole.freeze(), held))
}

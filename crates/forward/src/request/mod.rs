//! A caller's request, from its head to its answer.

use crate::answer::{Body, Cause, Refusal};
use crate::app::App;
use crate::attempt::{self, Job};
use crate::config::{Limits, Organisation, Route, Table};
use bytes::Bytes;
use chestnutrack_process::{clock, http};
use hyper::body::Incoming;
use hyper::header::HOST;
use hyper::http::request::Parts;
use hyper::{Request, Response};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::timeout;

/// When to come back to a host that knows no configuration yet.
const UNCONFIGURED_RETRY: Duration = Duration::from_millis(500);

/// Answers a request.
pub async fn handle(app: Arc<App>, request: Request<Incoming>) -> Response<Body> {
    let (parts, body) = request.into_parts();
    match admit(app, parts, body).await {
        Ok(response) => response,
        Err(refusal) => refusal.response(),
    }
}

async fn admit(app: Arc<App>, parts: Parts, body: Incoming) -> Result<Response<Body>, Refusal> {
    let arrived = clock::now();
    let Some(table) = app.table() else {
        return Err(Refusal::until(Cause::Unconfigured, UNCONFIGURED_RETRY));
    };
    let host = parts.headers.get(HOST).and_then(|host| host.to_str().ok());
    let host = host.or(parts.uri.host()).unwrap_or_default();
    let route = table.route(host, parts.uri.path()).ok_or(Refusal::new(Cause::NoRoute))?.clone();
    let ask = (app.dialect.ask)(&parts.headers).map_err(|_| Refusal::new(Cause::BadHead))?;
    let organisation = owner(&table, &route, ask.key.as_deref())?.cloned();
    let limit = ask.deadline.unwrap_or(route.timeout).min(route.timeout);
    let body = read(body, &table.config().limits, limit).await?;
    let service = route.service(rand::random()).cloned().ok_or(Refusal::new(Cause::NoServer))?;
    let job = Job {
        app,
        table,
        route,
        service,
        organisation,
        parts,
        body,
        ask,
        deadline: arrived + limit,
    };
    attempt::run(Arc::new(job)).await
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

async fn read(body: Incoming, limits: &Limits, within: Duration) -> Result<Bytes, Refusal> {
    match timeout(within, http::read(body, limits.body_bytes)).await {
        Ok(Ok(body)) => Ok(body),
        Ok(Err(http::Error::TooLarge(_))) => Err(Refusal::new(Cause::TooLarge)),
        Ok(Err(_)) | Err(_) => Err(Refusal::new(Cause::BodyLate)),
    }
}

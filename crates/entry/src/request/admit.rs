//! Admission: bounds, key, route, body, tokens.

use super::body;
use super::credential::{self, Credential};
use super::exchange::{Admitted, Exchange, unconfirmed};
use super::refusal::{Code, Refusal};
use super::{deadline_of, route};
use crate::app::App;
use crate::attempt::plain;
use crate::authority::time_until;
use crate::explain::What;
use bytes::Bytes;
use chestnutrack_document::Document;
use chestnutrack_document::model::Route;
use chestnutrack_fleet::{Snapshot, claim, limit};
use chestnutrack_process::http::{self, HEAD_BYTES_MAX};
use hyper::body::{Body, Incoming};
use hyper::http::request::Parts;
use hyper::{HeaderMap, Request};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::timeout;

/// Longest time for a body to come.
const BODY_WITHIN: Duration = Duration::from_secs(30);
/// Longest idempotency key, in bytes.
const IDEMPOTENCY_KEY_BYTES_MAX: usize = 256;
/// Header that carries an idempotency key.
const IDEMPOTENCY_KEY: &str = "idempotency-key";

/// What an admitted request asks for.
#[derive(Clone, Debug)]
pub enum Work {
    /// A model request.
    Model(body::Call),
    /// A plain call and its cost, in tokens.
    Plain(plain::Call, u64),
}

impl Work {
    /// The most tokens that it can use.
    pub fn tokens(&self) -> u64 {
        match self {
            Work::Model(call) => u64::from(call.prompt_tokens) + u64::from(call.max_tokens),
            Work::Plain(_, cost) => *cost,
        }
    }
}

/// A request that may run.
pub struct Arrival {
    /// Route, organisation and deadline.
    pub admitted: Admitted,
    /// What it asks for.
    pub work: Work,
    /// What to claim before it runs, where it must land once and has an idempotency key.
    pub once: Option<claim::ClaimRequest>,
}

/// Reads and checks a request.
///
/// # Errors
///
/// Says what is wrong and where; nothing ran.
pub async fn arrive(
    app: &App,
    exchange: &Exchange,
    request: Request<Incoming>,
) -> Result<Arrival, Refusal> {
    app.earn_retry();
    let (parts, incoming) = request.into_parts();
    check_head(&parts)?;
    let snapshot = app.authority.snapshot();
    let document = in_force(&snapshot)?;
    let path = parts.uri.path();
    let routes = route::find(document, parts.method.as_str(), path)?;
    // The key is dropped at the end of this function; only its hash goes on.
    let key = credential::key(&parts.headers);
    let owner = owner(&snapshot, key);
    if let Err(refusal) = &owner
        && !routes.iter().any(|route| route.open)
    {
        return Err(refusal.clone());
    }
    let bytes = read(incoming, document.bounds.body_bytes).await?;
    credential::check_body(&bytes, key)?;
    let (route, work) = read_work(document, &routes, &parts, &bytes, key)?;
    let credential = if route.open { None } else { Some(owner?) };
    let admitted = Admitted {
        route: route.clone(),
        credential,
        bounds: document.bounds,
        targets: document.targets,
        deadline: deadline_of(exchange.arrived, route.deadline_ms),
    };
    let organisation = admitted.credential.as_ref().map(|owner| &owner.organisation);
    app.ring.describe(exchange.request, &route.name, organisation);
    let once = once(exchange, &admitted, &parts, &bytes, key)?;
    Ok(Arrival { admitted, work, once })
}

fn check_head(parts: &Parts) -> Result<(), Refusal> {
    let headers: usize =
        parts.headers.iter().map(|(name, value)| name.as_str().len() + value.len() + 4).sum();
    let line = parts.uri.path_and_query().map_or(0, |target| target.as_str().len());
    if headers + line <= HEAD_BYTES_MAX {
        return Ok(());
    }
    let place = if line > headers { "path" } else { "headers" };
    let message = format!("{} bytes; at most {HEAD_BYTES_MAX} are allowed", headers + line);
    Err(Refusal::new(Code::HeadTooLarge, message).at(place))
}

fn in_force(snapshot: &Snapshot) -> Result<&Document, Refusal> {
    match &snapshot.document {
        Some(document) if snapshot.trusted => Ok(document),
        _ => Err(unconfirmed()),
    }
}

/// Whose key came.
fn owner(snapshot: &Snapshot, key: Option<&str>) -> Result<Credential, Refusal> {
    let missing = || {
        let message = "a key is needed: `authorization: Bearer KEY`";
        Refusal::new(Code::KeyMissing, message).at("authorization")
    };
    Credential::of(snapshot, key.ok_or_else(missing)?)
}

async fn read(incoming: Incoming, most: usize) -> Result<Bytes, Refusal> {
    let too_large = || {
        let message = format!("larger than the {most} bytes that are allowed");
        Refusal::new(Code::BodyTooLarge, message).at("body")
    };
    if incoming.size_hint().lower() > most as u64 {
        return Err(too_large());
    }
    match timeout(BODY_WITHIN, http::read_body(incoming, most)).await {
        Ok(Ok(bytes)) => Ok(bytes),
        Ok(Err(http::Error::TooLarge(_))) => Err(too_large()),
        Ok(Err(_)) => Err(Refusal::new(Code::InvalidRequest, "the body is broken").at("body")),
        Err(_) => Err(Refusal::new(Code::BodyTimeout, "the body did not come").at("body")),
    }
}

fn read_work<'a>(
    document: &Document,
    routes: &[&'a Route],
    parts: &Parts,
    bytes: &Bytes,
    key: Option<&str>,
) -> Result<(&'a Route, Work), Refusal> {
    if let Some(route) = routes.iter().find(|route| !route.api.is_model()) {
        let call = plain::Call {
            method: parts.method.as_str().into(),
            target: credential::forwarded_target(parts.uri.path(), parts.uri.query(), key)?,
            headers: credential::forwarded_headers(&parts.headers, key),
            body: bytes.to_vec(),
        };
        return Ok((*route, Work::Plain(call, route.cost_tokens)));
    }
    let fields = body::object(bytes)?;
    let route = route::of_model(routes, body::model(&fields)?)?;
    let call = body::call(route.api, &fields, &document.bounds)?;
    credential::check_body(call.prompt.as_bytes(), key)?;
    Ok((route, Work::Model(call)))
}

fn once(
    exchange: &Exchange,
    admitted: &Admitted,
    parts: &Parts,
    bytes: &Bytes,
    key: Option<&str>,
) -> Result<Option<claim::ClaimRequest>, Refusal> {
    let Some(credential) = &admitted.credential else { return Ok(None) };
    if !admitted.route.once {
        return Ok(None);
    }
    let Some(idempotency_key) = idempotency_key(&parts.headers)? else { return Ok(None) };
    let target = credential::forwarded_target(parts.uri.path(), parts.uri.query(), key)?;
    let mut hasher = blake3::Hasher::new();
    for part in [parts.method.as_str().as_bytes(), target.as_bytes(), bytes] {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    Ok(Some(claim::ClaimRequest {
        organisation: credential.organisation.clone(),
        route: admitted.route.name.clone(),
        key: idempotency_key,
        body: *hasher.finalize().as_bytes(),
        request: exchange.request.0,
    }))
}

fn idempotency_key(headers: &HeaderMap) -> Result<Option<Arc<str>>, Refusal> {
    let mut values = headers.get_all(IDEMPOTENCY_KEY).iter();
    let Some(value) = values.next() else { return Ok(None) };
    let text = value.to_str().unwrap_or_default();
    if text.is_empty() || text.len() > IDEMPOTENCY_KEY_BYTES_MAX || values.next().is_some() {
        let message = format!("must be one text of 1 to {IDEMPOTENCY_KEY_BYTES_MAX} bytes");
        return Err(Refusal::new(Code::InvalidField, message).at(IDEMPOTENCY_KEY));
    }
    Ok(Some(text.into()))
}

/// Debits a request's tokens, waiting for them as long as its first token can come in time.
///
/// # Errors
///
/// When they can't be had in time; nothing ran.
pub async fn debit(
    app: &App,
    exchange: &Exchange,
    admitted: &Admitted,
    tokens: u64,
) -> Result<(), Refusal> {
    let Some(credential) = &admitted.credential else { return Ok(()) };
    let within = token_wait(app, exchange, admitted);
    let debited = (app.authority.debit)(credential.organisation.clone(), tokens, within);
    exchange.outside(debited).await.map_err(short_of_tokens)?;
    exchange.note_debit(tokens);
    exchange.note(app, What::Debited, None, None);
    Ok(())
}

/// Longest wait for tokens: for interactive model requests half of the time until their turn must
/// come, so that one which had to wait can still be good; the deadline for all others.
fn token_wait(app: &App, exchange: &Exchange, admitted: &Admitted) -> Duration {
    let until_target = time_until(exchange.target(app, admitted));
    if admitted.has_targets() { until_target / 2 } else { until_target }
}

fn short_of_tokens(refused: limit::Refusal) -> Refusal {
    let refusal = match (refused.cause, refused.over_rate) {
        (limit::Cause::OverBurst, _) => {
            Refusal::new(Code::OverBurst, "the request is larger than the organisation's burst")
        }
        (_, true) => Refusal::new(Code::OverRate, "the organisation is over its rate"),
        (_, false) => {
            let message = "this host can't get the organisation's tokens in time";
            Refusal::new(Code::TokensUnavailable, message)
        }
    };
    match refused.retry_after_ms {
        0 => refusal,
        millis => refusal.retry_after(millis),
    }
}

//! Admits requests: checks size, key, route and body, and debits the organisation's tokens.
//!
//! The document is the configuration of the service; the fleet's [`Snapshot`] holds the document in
//! force, and says whether it was confirmed recently enough to be acted on. A key is the secret
//! with which a caller authenticates. Each organisation has an allowance of tokens, from which a
//! request is debited before it runs.

use super::body;
use super::credential::{self, Credential};
use super::exchange::{Admitted, Exchange, unconfirmed_refusal};
use super::refusal::{Code, Refusal};
use super::{deadline_of, route};
use crate::app::App;
use crate::attempt::plain;
use crate::authority::time_until;
use crate::explain::StepKind;
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

/// Time in which the whole request body must arrive.
const BODY_TIMEOUT: Duration = Duration::from_secs(30);
/// Maximum length of an idempotency key, in bytes.
const IDEMPOTENCY_KEY_BYTES_MAX: usize = 256;
/// Header that carries an idempotency key.
const IDEMPOTENCY_KEY: &str = "idempotency-key";

/// Work that a request asks for.
#[derive(Clone, Debug)]
pub enum Work {
    /// A model request.
    Model(body::Call),
    /// A call of a plain service (one that runs no model), and its cost in tokens.
    Plain(plain::Call, u64),
}

impl Work {
    /// Returns the maximum number of tokens that the work can use; this many are debited.
    pub fn tokens(&self) -> u64 {
        match self {
            Work::Model(call) => u64::from(call.prompt_tokens) + u64::from(call.max_tokens),
            Work::Plain(_, cost) => *cost,
        }
    }
}

/// A request that passed all checks of [`check_request`]. Its tokens are not debited yet.
pub struct CheckedRequest {
    /// Route, credential, bounds, latency targets and deadline.
    pub admitted: Admitted,
    /// Work that it asks for.
    pub work: Work,
    /// Claim to make before it runs; `None` unless it has an idempotency key and its route runs
    /// requests at most once and is not open to all.
    pub claim: Option<claim::ClaimRequest>,
}

/// Reads a request and checks its size, key, route and body.
///
/// The body is read only if the key is in force or one of the routes at the path is open to all.
/// Which of several routes applies depends on the model that the body names, so that the key's
/// check counts only once the route is known.
///
/// # Errors
///
/// If a check fails. The refusal names the place at fault and says that the request has not run.
pub async fn check_request(
    app: &App,
    exchange: &Exchange,
    request: Request<Incoming>,
) -> Result<CheckedRequest, Refusal> {
    app.earn_retry();
    let (parts, incoming) = request.into_parts();
    check_head(&parts)?;
    let snapshot = app.authority.snapshot();
    let document = confirmed_document(&snapshot)?;
    let path = parts.uri.path();
    let routes = route::find(document, parts.method.as_str(), path)?;
    // The key is dropped at the end of this function; only its hash is kept.
    let key = credential::bearer_key(&parts.headers);
    let credential = authenticate(&snapshot, key);
    if let Err(refusal) = &credential
        && !routes.iter().any(|route| route.open)
    {
        return Err(refusal.clone());
    }
    let bytes = read_body(incoming, document.bounds.body_bytes).await?;
    credential::check_body(&bytes, key)?;
    let (route, work) = parse_work(document, &routes, &parts, &bytes, key)?;
    let credential = if route.open { None } else { Some(credential?) };
    let admitted = Admitted {
        route: route.clone(),
        credential,
        bounds: document.bounds,
        targets: document.targets,
        deadline: deadline_of(exchange.arrived_at, route.deadline_ms),
    };
    let organisation = admitted.credential.as_ref().map(|credential| &credential.organisation);
    app.recent_requests.describe(exchange.request_id, &route.name, organisation);
    let claim = claim_request(exchange, &admitted, &parts, &bytes, key)?;
    Ok(CheckedRequest { admitted, work, claim })
}

/// Checks the total size of the request target (path and query) and headers. If it is too large,
/// the larger of the two is named as the place at fault.
fn check_head(parts: &Parts) -> Result<(), Refusal> {
    let header_bytes: usize =
        parts.headers.iter().map(|(name, value)| name.as_str().len() + value.len() + 4).sum();
    let target_bytes = parts.uri.path_and_query().map_or(0, |target| target.as_str().len());
    if header_bytes + target_bytes <= HEAD_BYTES_MAX {
        return Ok(());
    }
    let place = if target_bytes > header_bytes { "path" } else { "headers" };
    let message =
        format!("{} bytes; at most {HEAD_BYTES_MAX} are allowed", header_bytes + target_bytes);
    Err(Refusal::new(Code::HeadTooLarge, message).with_place(place))
}

/// Returns the document in force, if it is confirmed.
fn confirmed_document(snapshot: &Snapshot) -> Result<&Document, Refusal> {
    match &snapshot.document {
        Some(document) if snapshot.trusted => Ok(document),
        _ => Err(unconfirmed_refusal()),
    }
}

/// Returns the identity of the caller that sent `key`, the bearer key of its request.
fn authenticate(snapshot: &Snapshot, key: Option<&str>) -> Result<Credential, Refusal> {
    let missing = || {
        let message = "a key is needed: `authorization: Bearer KEY`";
        Refusal::new(Code::KeyMissing, message).with_place("authorization")
    };
    Credential::lookup(snapshot, key.ok_or_else(missing)?)
}

/// Reads the request body, which may have at most `bytes_max` bytes and must arrive within
/// `BODY_TIMEOUT`. A body that announces a larger size is refused without being read.
async fn read_body(incoming: Incoming, bytes_max: usize) -> Result<Bytes, Refusal> {
    let too_large = || {
        let message = format!("larger than the {bytes_max} bytes that are allowed");
        Refusal::new(Code::BodyTooLarge, message).with_place("body")
    };
    if incoming.size_hint().lower() > bytes_max as u64 {
        return Err(too_large());
    }
    match timeout(BODY_TIMEOUT, http::read_body(incoming, bytes_max)).await {
        Ok(Ok(bytes)) => Ok(bytes),
        Ok(Err(http::Error::TooLarge(_))) => Err(too_large()),
        Ok(Err(_)) => {
            Err(Refusal::new(Code::InvalidRequest, "the body is broken").with_place("body"))
        }
        Err(_) => Err(Refusal::new(Code::BodyTimeout, "the body did not come").with_place("body")),
    }
}

/// Selects the route among `routes`, those at the request's path, and parses the request into the
/// work that it asks for. A plain route is selected by path and method alone, a model route by the
/// model that the body names as well.
fn parse_work<'a>(
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
    let fields = body::parse_object(bytes)?;
    let route = route::for_model(routes, body::model_name(&fields)?)?;
    let call = body::parse_call(route.api, &fields, &document.bounds)?;
    credential::check_body(call.prompt.as_bytes(), key)?;
    Ok((route, Work::Model(call)))
}

/// Returns the claim to make before a request runs. Only a request that has an idempotency key
/// needs one, on a route that runs requests at most once (`once`) and is not open to all. `key` is
/// the caller's API key, which the forwarded target must not contain. The claim's `body` is a hash
/// of method, target and body, each preceded by its length, so that a different request with the
/// same idempotency key is detected.
fn claim_request(
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
        request: exchange.request_id.0,
    }))
}

/// Returns the idempotency key of a request, if it has one. Refuses one that is empty, too long,
/// not text or given twice.
fn idempotency_key(headers: &HeaderMap) -> Result<Option<Arc<str>>, Refusal> {
    let mut values = headers.get_all(IDEMPOTENCY_KEY).iter();
    let Some(value) = values.next() else { return Ok(None) };
    let text = value.to_str().unwrap_or_default();
    if text.is_empty() || text.len() > IDEMPOTENCY_KEY_BYTES_MAX || values.next().is_some() {
        let message = format!("must be one text of 1 to {IDEMPOTENCY_KEY_BYTES_MAX} bytes");
        return Err(Refusal::new(Code::InvalidField, message).with_place(IDEMPOTENCY_KEY));
    }
    Ok(Some(text.into()))
}

/// Debits a request's tokens from its organisation's allowance. Waits for them at most as long as
/// `token_wait` allows. A request on a route open to all is not debited.
///
/// # Errors
///
/// If the tokens are not available in time. The request has not run.
pub async fn debit(
    app: &App,
    exchange: &Exchange,
    admitted: &Admitted,
    tokens: u64,
) -> Result<(), Refusal> {
    let Some(credential) = &admitted.credential else { return Ok(()) };
    let max_wait = token_wait(app, exchange, admitted);
    let debited = (app.authority.debit)(credential.organisation.clone(), tokens, max_wait);
    exchange.wait_external(debited).await.map_err(debit_refusal)?;
    exchange.set_debited_tokens(tokens);
    exchange.record_step(app, StepKind::Debited, None, None);
    Ok(())
}

/// Returns the maximum time that a request waits for tokens. An interactive model request waits for
/// half of the time until it must be placed, so that it can still meet its latency targets after
/// the wait. Other requests wait until their deadline.
fn token_wait(app: &App, exchange: &Exchange, admitted: &Admitted) -> Duration {
    let time_left = time_until(exchange.placement_deadline(app, admitted));
    if admitted.has_targets() { time_left / 2 } else { time_left }
}

/// Converts a refused debit into the refusal that the caller gets: the request is larger than the
/// burst, the organisation is over its rate, or this host can't get the tokens in time.
fn debit_refusal(refused: limit::Refusal) -> Refusal {
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
        millis => refusal.with_retry_after(millis),
    }
}

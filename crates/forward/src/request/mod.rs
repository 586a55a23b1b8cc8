//! Handles a caller's request: parses the head, finds the route, authenticates the key, reads the body, debits
//! the allowance and passes the request to [`attempt`] as a [`Job`].
//!
//! An allowance is the number of tokens that an organisation may spend over time. A refused caller is recognised by
//! the fingerprint of its request when it retries, so that the latency target counts from its first request.

use crate::answer::{Body, Cause, Refusal};
use crate::app::{App, Counted, Identity};
use crate::attempt::{self, Job};
use crate::config::{Kind, Limits, Organisation, Route, Table};
use crate::dialect::{Generation, RequestHead};
use bytes::Bytes;
use chestnutrack_core::allowance::{self, Purpose};
use chestnutrack_core::dispatch::Residency;
use chestnutrack_core::intake::Phase;
use chestnutrack_core::time::Instant;
use chestnutrack_process::clock;
use chestnutrack_process::intake::{Connection, Memory};
use http_body_util::BodyExt;
use hyper::body::{Body as _, Incoming};
use hyper::header::HOST;
use hyper::http::request::Parts;
use hyper::{HeaderMap, Request, Response};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::Arc;
use std::time::Duration;
use tokio::task::yield_now;
use tokio::time::timeout;

/// Retry time given to callers while this host has no configuration.
const UNCONFIGURED_RETRY_AFTER: Duration = Duration::from_millis(500);
/// Retry time given to callers while the request bodies in memory exceed this host's limit.
const CROWDED_RETRY_AFTER: Duration = Duration::from_millis(500);
/// Retry time given to callers of a host that is shutting down: they reach another host.
const SHUTDOWN_RETRY_AFTER: Duration = Duration::from_millis(100);
/// Memory of one field of a parsed head besides its bytes: an entry of a hash table, and its share of the table's spare
/// room.
const FIELD_BYTES: usize = 160;
/// Bytes of a body that are read before other connections have their turn. A caller that sends without a pause would
/// otherwise be read for milliseconds at a time.
const TURN_BYTES: usize = 64 << 10;
/// Smallest capacity for a body that grows, in bytes.
const BODY_CAPACITY_MIN: usize = 1 << 10;
/// Logged in place of the identifier of a request that has none.
const MISSING_ID: &str = "-";

/// Answers a request, with a refusal if no backend server answers it. Logs and counts refusals, and requests whose
/// callers disconnect.
pub async fn handle(
    app: Arc<App>,
    request: Request<Incoming>,
    connection: &Connection,
) -> Response<Body> {
    let arrived_at = clock::now();
    let (parts, body) = request.into_parts();
    let head = (app.dialect.parse_request_head)(&parts.headers);
    let id =
        head.as_ref().ok().and_then(|head| head.id.clone()).unwrap_or_else(|| MISSING_ID.into());
    let version = app.version();
    let guard = AbandonGuard { app: app.clone(), id: id.clone(), arrived_at, is_answered: false };
    let answer = match head {
        Ok(head) => check_and_serve(app.clone(), arrived_at, parts, body, head, connection).await,
        Err(header) => {
            tracing::info!(%id, header, "request header can't be parsed");
            Err(Refusal::new(Cause::BadHead))
        }
    };
    guard.disarm();
    if answer.is_ok() {
        connection.record_served();
    }
    answer.unwrap_or_else(|refusal| {
        let (status, retry_after_ms) =
            (refusal.status().as_u16(), refusal.retry_after.map(|after| after.as_millis() as u64));
        let after_ms = clock::now().since(arrived_at).as_millis() as u64;
        let cause = refusal.cause.name();
        tracing::info!(%id, status, cause, retry_after_ms, after_ms, version, "refused");
        app.metrics.refusals.with_label_values(&[cause]).inc();
        refusal.response()
    })
}

/// Records an abandoned request if dropped before it is disarmed: a handler that is dropped before its answer
/// means that the caller disconnected.
struct AbandonGuard {
    app: Arc<App>,
    id: Arc<str>,
    arrived_at: Instant,
    is_answered: bool,
}

impl AbandonGuard {
    /// Marks the request as answered, so that dropping the guard records nothing.
    fn disarm(mut self) {
        self.is_answered = true;
    }
}

impl Drop for AbandonGuard {
    /// Logs and counts the request as abandoned, unless it was answered. After a panic, the listener logs the end of the
    /// connection.
    fn drop(&mut self) {
        if self.is_answered || std::thread::panicking() {
            return;
        }
        let after_ms = clock::now().since(self.arrived_at).as_millis() as u64;
        tracing::info!(id = %self.id, after_ms, "caller left before an answer");
        self.app.metrics.abandoned.inc();
    }
}

/// Checks a request, debits its tokens and has it served by [`attempt::run`]. Returns its answer. If the request was
/// refused without having run, refunds the tokens and records the caller as refused, so that a retry counts from
/// `first_arrived_at`.
async fn check_and_serve(
    app: Arc<App>,
    arrived_at: Instant,
    parts: Parts,
    body: Incoming,
    head: RequestHead,
    connection: &Connection,
) -> Result<Response<Body>, Refusal> {
    let Some(active_config) = app.active_config() else {
        return Err(Refusal::with_retry_after(Cause::Unconfigured, UNCONFIGURED_RETRY_AFTER));
    };
    let table = &active_config.table;
    let route = find_route(table, &parts)?.clone();
    let organisation = authenticate(table, &route, head.key.as_deref())?.cloned();
    // The shorter of the caller's and the route's time limit.
    let time_limit = head.deadline.unwrap_or(route.timeout).min(route.timeout);
    let deadline = arrived_at + time_limit;
    check_shutdown(&app, deadline)?;
    let body =
        read_body(connection, &parts.headers, body, &table.config().limits, time_limit).await?;
    // The body may have arrived slowly.
    check_shutdown(&app, deadline)?;
    let owner = organisation.as_ref().map(|owner| &*owner.name);
    let identity = Identity::new(&parts, owner, head.generation.as_ref(), &body);
    if let Some(left) = app.quarantine_left(&identity) {
        return Err(Refusal::with_retry_after(Cause::Quarantined, left));
    }
    let service = route.service(rand::random()).cloned().ok_or(Refusal::new(Cause::NoServer))?;
    let fingerprint = head.generation.as_ref().and_then(caller_fingerprint);
    let first_arrived_at =
        fingerprint.and_then(|fingerprint| app.first_seen(fingerprint)).unwrap_or(arrived_at);
    let tokens = token_cost(&head, organisation.as_ref());
    if let Some(owner) = &organisation {
        let (resumes, last) = (head.resumes.as_deref(), head.last_event);
        let purpose = match route.kind {
            Kind::Stream { .. } if resumes.is_some() || last.is_some() => Purpose::ResumeStream,
            Kind::Stream { .. } => Purpose::BeginStream,
            Kind::Once | Kind::Idempotent => Purpose::Other,
        };
        app.debit_for(&owner.name, tokens, purpose).map_err(|refusal| {
            let (id, organisation) = (head.id.as_deref(), &owner.name);
            // The names of these variables are keys in the log.
            let allowance::Refusal { remaining: left, rate, burst, reserved_share: kept, .. } =
                refusal;
            tracing::info!(
                id,
                resumes,
                last,
                %organisation,
                tokens,
                left,
                rate,
                burst,
                kept,
                "over its allowance"
            );
            Refusal::with_retry_after(Cause::OverRate, refusal.retry_after)
        })?;
    }
    app.earn_retry(&service);
    let owner_regions = organisation.as_ref().and_then(|owner| owner.regions.as_deref());
    let residency = Residency::new([route.regions.as_deref(), owner_regions]);
    let job = Arc::new(Job {
        app: app.clone(),
        active_config: active_config.clone(),
        route,
        service,
        organisation,
        residency,
        parts,
        body,
        head,
        identity,
        arrived_at,
        first_arrived_at,
        deadline,
        sent_to: Default::default(),
    });
    let answer = attempt::run(job.clone()).await;
    if let Err(refusal) = &answer
        && refusal.is_not_run()
    {
        if let Some(owner) = &job.organisation {
            app.refund(&owner.name, tokens);
        }
        if let Some(fingerprint) = fingerprint {
            app.record_refusal(fingerprint, first_arrived_at);
        }
    }
    answer
}

/// Refuses a request that could be cut off by the end of the process.
fn check_shutdown(app: &App, deadline: Instant) -> Result<(), Refusal> {
    let refusal = Refusal::with_retry_after(Cause::ShuttingDown, SHUTDOWN_RETRY_AFTER);
    if app.may_begin(deadline) { Ok(()) } else { Err(refusal) }
}

/// Returns the route for the request's host and path.
fn find_route<'a>(table: &'a Table, parts: &Parts) -> Result<&'a Route, Refusal> {
    let host = parts.headers.get(HOST).and_then(|host| host.to_str().ok());
    let host = host.or(parts.uri.host()).unwrap_or_default();
    table.route(host, parts.uri.path()).ok_or(Refusal::new(Cause::NoRoute))
}

/// Returns the organisation that a key belongs to. Returns `None` if the configuration needs no keys, or for
/// an unknown or missing key on an open route.
fn authenticate<'a>(
    table: &'a Table,
    route: &Route,
    key: Option<&str>,
) -> Result<Option<&'a Organisation>, Refusal> {
    if !table.needs_key() {
        return Ok(None);
    }
    let organisation = key.and_then(|key| table.organisation(key));
    if organisation.is_none() && !route.open {
        return Err(Refusal::new(Cause::NoKey));
    }
    Ok(organisation)
}

/// Returns the tokens to debit from the organisation's allowance for a request: the prompt and the longest answer of
/// a generation, or the organisation's fixed number for a request to a plain service, which states none.
fn token_cost(head: &RequestHead, organisation: Option<&Organisation>) -> u64 {
    match (&head.generation, organisation) {
        (Some(generation), _) => generation.prompt_tokens.saturating_add(generation.output_tokens),
        (None, Some(organisation)) => organisation.plain_tokens,
        (None, None) => 0,
    }
}

/// Returns a hash that recognises a caller when it retries: that of the last prompt part, which belongs to the
/// request or its session alone. Returns `None` if the prompt's parts are unknown.
fn caller_fingerprint(generation: &Generation) -> Option<u64> {
    let last_part = generation.parts.last()?;
    let mut hasher = DefaultHasher::new();
    (&last_part.id, last_part.tokens).hash(&mut hasher);
    Some(hasher.finish())
}

/// Reads a request's body within a time limit, or until its memory is needed for others. The memory of the body and of
/// the head is counted until the body is dropped. Refuses a body that states a length over the limit without reading it.
async fn read_body(
    connection: &Connection,
    headers: &HeaderMap,
    body: Incoming,
    limits: &Limits,
    time_limit: Duration,
) -> Result<Bytes, Refusal> {
    let crowded = || Refusal::with_retry_after(Cause::Crowded, CROWDED_RETRY_AFTER);
    if body.size_hint().lower() > limits.body_bytes as u64 {
        return Err(Refusal::new(Cause::TooLarge));
    }
    let mut memory = connection.memory();
    connection.set_phase(Phase::Body);
    let head_bytes = head_memory(headers);
    let result = match memory.hold(head_bytes, head_bytes) {
        true => tokio::select! {
            biased;
            () = connection.wait_for_refusal() => Err(crowded()),
            body = timeout(time_limit, collect_body(memory, body, limits.body_bytes)) => {
                body.unwrap_or(Err(Refusal::new(Cause::BodyLate)))
            }
        },
        false => Err(crowded()),
    };
    connection.set_phase(Phase::Running);
    result
}

/// Returns the bytes that the parsed head of a request holds. Short fields take far more memory than they have bytes.
fn head_memory(headers: &HeaderMap) -> usize {
    headers.iter().map(|(name, value)| FIELD_BYTES + name.as_str().len() + value.len()).sum()
}

/// Reads a body, and reserves memory for each part before it is stored. Refuses a body larger than `max_bytes`, and
/// one for which there is no memory.
async fn collect_body(
    mut memory: Memory,
    mut body: Incoming,
    max_bytes: usize,
) -> Result<Bytes, Refusal> {
    let expected = body.size_hint().exact().and_then(|bytes| usize::try_from(bytes).ok());
    let capacity_max = expected.unwrap_or(max_bytes);
    let (mut bytes, mut turn) = (Vec::new(), 0);
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| Refusal::new(Cause::BodyLate))?;
        let Ok(part) = frame.into_data() else { continue };
        let length = bytes.len() + part.len();
        if length > max_bytes {
            return Err(Refusal::new(Cause::TooLarge));
        }
        let mut growth = 0;
        if length > bytes.capacity() {
            let doubled = (bytes.capacity() * 2).max(BODY_CAPACITY_MIN);
            growth = length.max(doubled.min(capacity_max)) - bytes.capacity();
        }
        if !memory.hold(part.len(), growth) {
            return Err(Refusal::with_retry_after(Cause::Crowded, CROWDED_RETRY_AFTER));
        }
        if growth > 0 {
            bytes.reserve_exact(bytes.capacity() + growth - bytes.len());
        }
        bytes.extend_from_slice(&part);
        turn += part.len();
        if turn >= TURN_BYTES {
            turn = 0;
            yield_now().await;
        }
    }
    Ok(Counted { bytes, memory }.into_bytes())
}

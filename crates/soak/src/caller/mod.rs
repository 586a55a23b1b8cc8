//! Callers that keep connections open, check their answers and record them.

use crate::backend;
use crate::ledger::{Kind, Ledger, Outcome};
use bytes::Bytes;
use chestnutrack_forward::native::{DEADLINE, REQUEST, TOKENS};
use chestnutrack_process::http::{Error, request};
use chestnutrack_process::pool::{self, Pool};
use hyper::header::{AUTHORIZATION, HOST, HeaderName, HeaderValue};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::timeout;

/// Host name of all routes.
pub const ROUTE_HOST: &str = "shop.example";
/// Deadline of a request.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(3);
/// Tolerated delay of an answer past its deadline, for a busy machine.
const ANSWER_SLACK: Duration = Duration::from_secs(2);
/// Largest accepted answer, in bytes.
const MAX_ANSWER_BYTES: usize = 1 << 20;

/// Credentials of a caller.
#[derive(Clone, Debug)]
pub struct Caller {
    /// Organisation that the key belongs to.
    pub organisation: Arc<str>,
    /// API key.
    pub key: Arc<str>,
}

/// Returns a connection pool to one entry host.
pub fn connections(address: std::net::SocketAddr) -> Pool {
    let settings = pool::Settings {
        connect_timeout: Duration::from_secs(1),
        idle_timeout: Duration::from_secs(4),
        ..pool::Settings::default()
    };
    Pool::new(address, settings)
}

/// Sends a request, checks and records its outcome, and disconnects early if a time is given.
pub async fn call(
    ledger: &Ledger,
    pool: &Pool,
    caller: &Caller,
    id: Arc<str>,
    kind: Kind,
    disconnect_after: Option<Duration>,
) -> Outcome {
    ledger.record_request(&id, kind, &caller.organisation);
    let limit = disconnect_after.unwrap_or(ANSWER_TIMEOUT + ANSWER_SLACK);
    let outcome = match timeout(limit, answer(ledger, pool, caller, &id, kind)).await {
        Ok(outcome) => outcome,
        Err(_) => {
            if disconnect_after.is_none() {
                ledger.record_violation(format!(
                    "{id}: {kind:?} had no final answer within its time"
                ));
            }
            Outcome::Left
        }
    };
    ledger.record_outcome(&id, outcome);
    outcome
}

/// Sends a request and returns its outcome. Statuses 429 and 503 mean that the request has not run.
async fn answer(
    ledger: &Ledger,
    pool: &Pool,
    caller: &Caller,
    id: &Arc<str>,
    kind: Kind,
) -> Outcome {
    let method = if kind == Kind::Lookup { "GET" } else { "POST" };
    let target = format!("/{}/{id}", kind.path_segment());
    let Ok(mut request) = request(method, &target, Bytes::new()) else { return Outcome::Unsent };
    let deadline_ms = ANSWER_TIMEOUT.as_millis().to_string();
    let bearer = format!("Bearer {}", caller.key);
    let mut headers = vec![
        (HOST, ROUTE_HOST),
        (AUTHORIZATION, &*bearer),
        (HeaderName::from_static(REQUEST), &**id),
        (HeaderName::from_static(DEADLINE), &*deadline_ms),
    ];
    if kind.is_stream() {
        headers.push((HeaderName::from_static(TOKENS), "50,50"));
    }
    for (name, value) in headers {
        match HeaderValue::from_str(value) {
            Ok(value) => drop(request.headers_mut().insert(name, value)),
            Err(_) => return Outcome::Unsent,
        }
    }
    let response = match pool.call_streaming(request, ANSWER_TIMEOUT + ANSWER_SLACK).await {
        Ok(response) => response,
        Err(Error::Connect(..) | Error::Request(_)) => return Outcome::Unsent,
        Err(_) => return Outcome::Broken,
    };
    let (head, mut stream) = response.into_parts();
    let status = head.status.as_u16();
    let body = stream.read(MAX_ANSWER_BYTES).await;
    match (status, body) {
        (200, Ok(body)) => check_whole(ledger, id, kind, &body),
        (200, Err(_)) => Outcome::Broken,
        (429 | 503, _) => Outcome::NotRun,
        (status, _) => Outcome::Failed(status),
    }
}

/// Checks the body of an answer that was received whole.
fn check_whole(ledger: &Ledger, id: &str, kind: Kind, body: &[u8]) -> Outcome {
    let expected = match kind.is_stream() {
        true => (1..=backend::events(id)).map(|number| backend::event(id, number)).collect(),
        false => backend::body(id),
    };
    if body != expected.as_bytes() {
        let body = String::from_utf8_lossy(body);
        ledger.record_violation(format!("{id}: {kind:?} was answered as whole by {body:?}"));
    }
    Outcome::Whole
}

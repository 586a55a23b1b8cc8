//! Callers that keep connections open, check their answers and record them.

use crate::backend::{self, BUILDS, RELEASE_PREFIX, RELEASES};
use crate::ledger::crash::Sharing;
use crate::ledger::{Kind, Ledger, Outcome, Sent};
use bytes::Bytes;
use chestnutrack_forward::native::{DEADLINE, PARTS, REQUEST, RESUMES, TOKENS};
use chestnutrack_process::http::{Error, request};
use chestnutrack_process::pool::{self, Pool, Stream};
use hyper::header::{AUTHORIZATION, HOST, HeaderName, HeaderValue};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::timeout;

/// Host name of all routes.
pub const ROUTE_HOST: &str = "shop.example";
/// Time within which a caller needs an answer, and one that is a long stream.
const ANSWER_TIMEOUTS: (Duration, Duration) = (Duration::from_secs(3), Duration::from_secs(8));
/// The same for a stream of a service that releases take place in: the timeout of its route.
const RELEASE_ANSWER_TIMEOUT: Duration = Duration::from_secs(2);
/// Part of that time that is kept from the deadline which the host is told.
const DEADLINE_MARGIN: Duration = Duration::from_millis(500);
/// Tolerated delay of an answer past that time, for a busy machine.
const ANSWER_SLACK: Duration = Duration::from_secs(2);
/// Time for a host to answer late after it has stood still at its caller's deadline.
const STILL: Duration = Duration::from_millis(500);
/// Largest accepted body of an answer without success, in bytes.
const MAX_FAILURE_BYTES: usize = 1 << 20;
/// Time for which an unused connection is kept. Longer than a run: callers close connections only with a process.
const IDLE_TIMEOUT: Duration = Duration::from_secs(600);
/// Numbers of tokens in the prompt of a stream, and highest number in its answer.
const STREAM_TOKENS: &str = "50,300";

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
        idle_timeout: IDLE_TIMEOUT,
        ..pool::Settings::default()
    };
    Pool::new(address, settings)
}

/// A request that a caller sends.
#[derive(Clone, Debug)]
pub struct Call {
    /// Identifier of the request.
    pub id: Arc<str>,
    /// Kind of the request.
    pub kind: Kind,
    /// First segment of its path, which stands for its route.
    pub route: Arc<str>,
    /// Last segment of its path: what it asks for.
    pub resource: Arc<str>,
    /// Name of the entry host that it is sent to.
    pub host: Arc<str>,
    /// Parts of the prompt before the request's own, in order.
    pub shared_parts: Vec<Arc<str>>,
    /// What the request has in common with those that crash engines, if it is sent to measure that.
    pub sharing: Option<Sharing>,
    /// Time after which the caller disconnects.
    pub disconnect_after: Option<Duration>,
    /// Stream that is resumed, if it is one.
    pub resumed: Option<Resumed>,
}

/// Part of a stream that its caller has.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Progress {
    /// Number of its events.
    pub events: u64,
    /// Build that wrote them.
    pub build: Option<&'static str>,
}

/// A stream that is resumed.
#[derive(Clone, Debug)]
pub struct Resumed {
    /// Identifier of the request that brought its first event.
    pub stream: Arc<str>,
    /// What the caller has of it.
    pub progress: Progress,
}

impl Call {
    /// Returns a request that shares nothing with others and that is waited for.
    pub fn new(host: &Arc<str>, id: Arc<str>, kind: Kind) -> Call {
        let (host, shared_parts) = (host.clone(), Vec::new());
        let resource = id.clone();
        Call {
            id,
            kind,
            route: kind.path_segment().into(),
            resource,
            host,
            shared_parts,
            sharing: None,
            disconnect_after: None,
            resumed: None,
        }
    }

    /// Returns the identifier of the request that began the stream.
    fn stream(&self) -> &Arc<str> {
        self.resumed.as_ref().map_or(&self.id, |resumed| &resumed.stream)
    }

    /// Returns what the caller has of the stream before the request.
    fn progress(&self) -> Progress {
        self.resumed.as_ref().map(|resumed| resumed.progress).unwrap_or_default()
    }

    /// Returns the time within which the caller needs the answer.
    fn answer_timeout(&self) -> Duration {
        match self.kind.is_stream() {
            true if backend::is_long(self.stream()) => ANSWER_TIMEOUTS.1,
            true if self.stream().starts_with(RELEASE_PREFIX) => RELEASE_ANSWER_TIMEOUT,
            _ => ANSWER_TIMEOUTS.0,
        }
    }

    /// Returns the time until the deadline that the host is told.
    fn deadline(&self) -> Duration {
        self.answer_timeout() - DEADLINE_MARGIN
    }

    /// Returns the value of the header with the parts of the prompt; `None` if it shares none with others.
    fn parts(&self) -> Option<String> {
        /// Length of each part of a prompt, in tokens.
        const PART_TOKENS: u64 = 20;
        let own = format!("own-{}:{PART_TOKENS}", self.id);
        let shared = self.shared_parts.iter().map(|part| format!("{part}:{PART_TOKENS}"));
        (!self.shared_parts.is_empty()).then(|| shared.chain([own]).collect::<Vec<_>>().join(","))
    }
}

/// Sends a request, checks and records its outcome, and disconnects early if a time is given.
pub async fn call(ledger: &Ledger, pool: &Pool, caller: &Caller, call: &Call) -> Outcome {
    call_stream(ledger, pool, caller, call).await.0
}

/// Sends a request as [`call`] does, and also returns what the caller then has of the stream, if it is one.
pub async fn call_stream(
    ledger: &Ledger,
    pool: &Pool,
    caller: &Caller,
    call: &Call,
) -> (Outcome, Progress) {
    let Call { id, kind, host, sharing, disconnect_after, .. } = call;
    let sent = Sent {
        kind: *kind,
        organisation: caller.organisation.clone(),
        host: host.clone(),
        deadline: call.deadline(),
        sharing: *sharing,
    };
    ledger.record_request(id, sent);
    let limit = disconnect_after.unwrap_or(call.answer_timeout() + ANSWER_SLACK);
    let mut progress = call.progress();
    let answered = async {
        let answer = answer(ledger, pool, caller, call, &mut progress);
        tokio::pin!(answer);
        let mut answered = timeout(limit, &mut answer).await;
        // A host that stood still twice has had no time to answer.
        while answered.is_err() && disconnect_after.is_none() && ledger.has_paused(host, STILL) {
            answered = timeout(STILL, &mut answer).await;
        }
        answered
    };
    let outcome = match answered.await {
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
    ledger.record_outcome(id, outcome);
    (outcome, progress)
}

/// Sends a request and returns its outcome. Statuses 429 and 503 mean that the request has not run.
async fn answer(
    ledger: &Ledger,
    pool: &Pool,
    caller: &Caller,
    call: &Call,
    progress: &mut Progress,
) -> Outcome {
    let Call { id, kind, route, resource, .. } = call;
    let method = if *kind == Kind::Lookup { "GET" } else { "POST" };
    let target = format!("/{route}/{resource}");
    let Ok(mut request) = request(method, &target, Bytes::new()) else { return Outcome::Unsent };
    let deadline_ms = call.deadline().as_millis().to_string();
    let bearer = format!("Bearer {}", caller.key);
    let parts = call.parts();
    let mut headers = vec![
        (HOST, ROUTE_HOST),
        (AUTHORIZATION, &*bearer),
        (HeaderName::from_static(REQUEST), &**id),
        (HeaderName::from_static(DEADLINE), &*deadline_ms),
    ];
    if kind.is_stream() {
        headers.push((HeaderName::from_static(TOKENS), STREAM_TOKENS));
    }
    if let Some(parts) = &parts {
        headers.push((HeaderName::from_static(PARTS), parts));
    }
    let last_event = progress.events.to_string();
    if let Some(resumed) = &call.resumed {
        headers.push((HeaderName::from_static("last-event-id"), &last_event));
        headers.push((HeaderName::from_static(RESUMES), &resumed.stream));
    }
    for (name, value) in headers {
        match HeaderValue::from_str(value) {
            Ok(value) => drop(request.headers_mut().insert(name, value)),
            Err(_) => return Outcome::Unsent,
        }
    }
    let response = match pool.call_streaming(request, call.answer_timeout() + ANSWER_SLACK).await {
        Ok(response) => response,
        Err(Error::Connect(..) | Error::Request(_)) => return Outcome::Unsent,
        Err(_) => return Outcome::Broken,
    };
    let (head, mut stream) = response.into_parts();
    match head.status.as_u16() {
        200 => read_answer(ledger, call, &mut stream, progress).await,
        status => {
            // Read so that the connection can be used again.
            drop(stream.read(MAX_FAILURE_BYTES).await);
            match status {
                429 | 503 => Outcome::NotRun,
                status => Outcome::Failed(status),
            }
        }
    }
}

/// Reads the body of an answer, and records a violation if it is not what was to be answered: from its start, in order,
/// of one build, and up to its end if it is complete. Sets `progress` to what the caller then has of a stream.
async fn read_answer(
    ledger: &Ledger,
    call: &Call,
    stream: &mut Stream,
    progress: &mut Progress,
) -> Outcome {
    let Call { id, kind, .. } = call;
    let before = *progress;
    // Any build may begin a stream, and only the one that began it may go on.
    let mut expected: Vec<(Option<&str>, String)> = match kind.is_stream() {
        true => builds()
            .filter(|build| before.build.is_none_or(|began| began == *build))
            .map(|build| (Some(build), events(call.stream(), before.events, build)))
            .collect(),
        false => vec![(None, backend::body(id))],
    };
    let mut body = Vec::new();
    loop {
        let outcome = match stream.chunk().await {
            Ok(Some(bytes)) => {
                body.extend_from_slice(&bytes);
                None
            }
            Ok(None) => Some(Outcome::Whole),
            Err(_) => Some(Outcome::Broken),
        };
        let is_whole = outcome == Some(Outcome::Whole);
        expected.retain(|(_, text)| match is_whole {
            true => text.as_bytes() == body,
            false => text.as_bytes().starts_with(&body),
        });
        let Some((build, _)) = expected.first() else {
            let (body, began) = (String::from_utf8_lossy(&body), before.build);
            let end = if is_whole { "as whole " } else { "" };
            ledger.record_violation(format!(
                "{id}: {kind:?}, begun by {began:?}, was answered {end}by {body:?}"
            ));
            return outcome.unwrap_or(Outcome::Broken);
        };
        let ended = body.windows(2).filter(|pair| pair == b"\n\n").count() as u64;
        if kind.is_stream() && ended > 0 {
            *progress = Progress {
                events: before.events + ended,
                build: builds().find(|known| Some(*known) == *build),
            };
        }
        if let Some(outcome) = outcome {
            return outcome;
        }
    }
}

/// Returns all builds of engines.
fn builds() -> impl Iterator<Item = &'static str> {
    BUILDS.into_iter().chain(RELEASES)
}

/// Returns the events of a stream after the first `last` ones, as a build writes them.
fn events(stream: &str, last: u64, build: &str) -> String {
    (last + 1..=backend::events(stream))
        .map(|number| backend::event(stream, number, build))
        .collect()
}

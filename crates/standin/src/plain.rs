//! Stand-in of a plain service, a service whose backend servers aren't model engines: logs every
//! call and echoes it in the response.
//!
//! A call has run when its service time has passed. Injected faults make calls fail before they
//! run, or cut the connection after they have run.

use crate::faults;
use crate::http::{self, Body, Failure, Reply, failure};
use crate::request_log::Log;
use bytes::Bytes;
use hyper::body::Incoming;
use hyper::http::request::Parts;
use hyper::{HeaderMap, Request, Response};
use serde::{Deserialize, Serialize};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::{Semaphore, watch};

/// Maximum length of a logged body; the rest is cut off.
const LOGGED_BODY_BYTES_MAX: usize = 4 << 10;

/// Settings of the stand-in.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// Maximum number of calls served concurrently; further calls wait.
    pub slots: usize,
    /// Time to serve one call.
    pub service_time: Duration,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings { slots: 32, service_time: Duration::from_millis(5) }
    }
}

/// Faults that are injected now.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Faults {
    /// While set, calls wait before they are served.
    pub hang: bool,
    /// Number of next calls that get status 500 and don't run.
    pub fail: u64,
    /// Number of next calls that run but whose connection is then cut without a response.
    pub drop_after: u64,
}

/// One call, as shown on `/control/seen`.
#[derive(Serialize)]
struct LoggedCall {
    /// Number of the call, counted from 1.
    call: u64,
    method: String,
    /// Path and query.
    target: String,
    headers: Vec<(String, String)>,
    body: String,
    /// Whether the call has run.
    ran: bool,
}

/// Number of calls by outcome.
#[derive(Default, Serialize)]
struct Counts {
    /// Calls received.
    calls: u64,
    /// Calls that have run, including those counted as `dropped`.
    ran: u64,
    /// Calls that got status 500 and didn't run.
    failed: u64,
    /// Calls that have run but whose connection was cut without a response.
    dropped: u64,
}

/// Injected faults, and what is known of the calls so far.
#[derive(Default)]
struct State {
    faults: Faults,
    counts: Counts,
    log: Log<LoggedCall>,
}

/// The simulated plain service.
struct Service {
    settings: Settings,
    state: Mutex<State>,
    /// A permit for each call that may be served now.
    slots: Semaphore,
    /// The `hang` fault; wakes the calls that wait for its end.
    hang: watch::Sender<bool>,
}

/// Serves the stand-in.
pub async fn serve(listener: TcpListener, settings: Settings) {
    let service = Arc::new(Service {
        settings,
        state: Mutex::default(),
        slots: Semaphore::new(settings.slots),
        hang: watch::Sender::new(false),
    });
    http::serve(listener, move |request| handle(Arc::clone(&service), request)).await;
}

/// Answers a control page at once, and runs any other call.
async fn handle(service: Arc<Service>, request: Request<Incoming>) -> Reply {
    let (head, body) = request.into_parts();
    let body = http::read_body(body).await?;
    if let Some(page) = head.uri.path().strip_prefix("/control/") {
        return service.control_page(head.method.as_str(), page, &body);
    }
    // A separate task, so that the call completes even if its caller disconnects.
    let running = tokio::spawn(async move { service.run(head, body).await });
    running.await.unwrap_or(Err(Failure::Cut))
}

impl Service {
    /// Locks the state.
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Runs a call, as far as the injected faults let it: logs it, waits while the service hangs
    /// and for a slot, sleeps for the service time and echoes the call.
    async fn run(&self, head: Parts, body: Bytes) -> Reply {
        let call_number = self.record(&head, &body);
        let _ = self.hang.subscribe().wait_for(|hang| !hang).await;
        let _slot = self.slots.acquire().await.map_err(|_| Failure::Cut)?;
        if consume_one(&mut self.state().faults.fail) {
            self.state().counts.failed += 1;
            return Err(failure(500, "service", "failed"));
        }
        tokio::time::sleep(self.settings.service_time).await;
        self.mark_run(call_number)?;
        echo(&head, &body, call_number)
    }

    /// Counts and logs a call; returns its number, which is its number in the log.
    fn record(&self, head: &Parts, body: &Bytes) -> u64 {
        let mut state = self.state();
        state.counts.calls += 1;
        let logged_body = &body[..body.len().min(LOGGED_BODY_BYTES_MAX)];
        let call = state.log.total() + 1;
        state.log.push(LoggedCall {
            call,
            method: head.method.to_string(),
            target: head.uri.to_string(),
            headers: header_pairs(&head.headers),
            body: String::from_utf8_lossy(logged_body).into_owned(),
            ran: false,
        })
    }

    /// Counts a call that has run and marks it in the log.
    ///
    /// # Errors
    ///
    /// [`Failure::Cut`] if the injected fault `drop_after` applies to the call.
    fn mark_run(&self, call_number: u64) -> Result<(), Failure> {
        let mut state = self.state();
        state.counts.ran += 1;
        if let Some(logged) = state.log.get_mut(call_number) {
            logged.ran = true;
        }
        if !consume_one(&mut state.faults.drop_after) {
            return Ok(());
        }
        state.counts.dropped += 1;
        Err(Failure::Cut)
    }

    /// Reads or sets the faults, or returns the counters or the log of calls.
    fn control_page(&self, method: &str, page: &str, body: &Bytes) -> Reply {
        match (method, page) {
            ("POST", "faults") => {
                let mut state = self.state();
                state.faults = faults::merge(&state.faults, body)?;
                self.hang.send_replace(state.faults.hang);
                http::json(&state.faults)
            }
            ("GET", "faults") => http::json(&self.state().faults),
            ("GET", "counts") => http::json(&self.state().counts),
            ("GET", "seen") => http::json(&self.state().log),
            _ => Err(http::unknown_call(method, page)),
        }
    }
}

/// Returns the response that describes the call.
fn echo(head: &Parts, body: &Bytes, call_number: u64) -> Result<Response<Body>, Failure> {
    http::json(&serde_json::json!({
        "method": head.method.as_str(),
        "path": head.uri.to_string(),
        "body_bytes": body.len(),
        "call": call_number,
    }))
}

/// Returns the headers as pairs of name and value.
fn header_pairs(headers: &HeaderMap) -> Vec<(String, String)> {
    let text = |value: &[u8]| String::from_utf8_lossy(value).into_owned();
    headers.iter().map(|(name, value)| (name.to_string(), text(value.as_bytes()))).collect()
}

/// Returns `true` if a fault affects this call, and decrements the number of calls that it still
/// affects.
fn consume_one(remaining: &mut u64) -> bool {
    let consumed = *remaining > 0;
    *remaining = remaining.saturating_sub(1);
    consumed
}

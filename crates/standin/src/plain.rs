//! A stand-in of a plain service: it records every call and answers with what it got.

use crate::faults;
use crate::http::{self, Body, Refusal, Reply, refusal};
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

/// Longest body kept of a call that was seen, in bytes.
const BODY_KEPT_BYTES: usize = 4 << 10;

/// Settings of the stand-in.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// Calls served at a time; the others wait.
    pub slots: usize,
    /// Time to serve a call.
    pub service_time: Duration,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings { slots: 32, service_time: Duration::from_millis(5) }
    }
}

/// Faults in force.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Faults {
    /// No call is served or answered until this ends.
    pub hang: bool,
    /// Calls still to come that get status 500 and don't run.
    pub fail: u64,
    /// Calls still to come that run and whose connection is then cut.
    pub drop_after: u64,
}

#[derive(Serialize)]
struct Seen {
    call: u64,
    method: String,
    target: String,
    headers: Vec<(String, String)>,
    body: String,
    /// Whether it has run.
    ran: bool,
}

#[derive(Default, Serialize)]
struct Counts {
    calls: u64,
    ran: u64,
    failed: u64,
    dropped: u64,
}

#[derive(Default)]
struct State {
    faults: Faults,
    counts: Counts,
    seen: Log<Seen>,
}

struct Plain {
    settings: Settings,
    state: Mutex<State>,
    slots: Semaphore,
    hang: watch::Sender<bool>,
}

/// Serves the stand-in.
pub async fn serve(listener: TcpListener, settings: Settings) {
    let plain = Arc::new(Plain {
        settings,
        state: Mutex::default(),
        slots: Semaphore::new(settings.slots),
        hang: watch::Sender::new(false),
    });
    http::serve(listener, move |request| answer(Arc::clone(&plain), request)).await;
}

async fn answer(plain: Arc<Plain>, request: Request<Incoming>) -> Reply {
    let (head, body) = request.into_parts();
    let body = http::read_body(body).await?;
    if let Some(page) = head.uri.path().strip_prefix("/control/") {
        return plain.control(head.method.as_str(), page, &body);
    }
    // The call runs to its end also when its caller goes away.
    let running = tokio::spawn(async move { plain.run(head, body).await });
    running.await.unwrap_or(Err(Refusal::Cut))
}

impl Plain {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn run(&self, head: Parts, body: Bytes) -> Reply {
        let call = self.saw(&head, &body);
        let _ = self.hang.subscribe().wait_for(|hang| !hang).await;
        let _slot = self.slots.acquire().await.map_err(|_| Refusal::Cut)?;
        if take(&mut self.state().faults.fail) {
            self.state().counts.failed += 1;
            return Err(refusal(500, "service", "failed"));
        }
        tokio::time::sleep(self.settings.service_time).await;
        self.end(call)?;
        echo(&head, &body, call)
    }

    fn saw(&self, head: &Parts, body: &Bytes) -> u64 {
        let mut state = self.state();
        state.counts.calls += 1;
        let kept = &body[..body.len().min(BODY_KEPT_BYTES)];
        let call = state.seen.total() + 1;
        state.seen.push(Seen {
            call,
            method: head.method.to_string(),
            target: head.uri.to_string(),
            headers: pairs(&head.headers),
            body: String::from_utf8_lossy(kept).into_owned(),
            ran: false,
        })
    }

    /// The call has run; its answer may be lost.
    fn end(&self, call: u64) -> Result<(), Refusal> {
        let mut state = self.state();
        state.counts.ran += 1;
        if let Some(seen) = state.seen.get_mut(call) {
            seen.ran = true;
        }
        if !take(&mut state.faults.drop_after) {
            return Ok(());
        }
        state.counts.dropped += 1;
        Err(Refusal::Cut)
    }

    fn control(&self, method: &str, page: &str, body: &Bytes) -> Reply {
        match (method, page) {
            ("POST", "faults") => {
                let mut state = self.state();
                state.faults = faults::merge(&state.faults, body)?;
                self.hang.send_replace(state.faults.hang);
                http::json(&state.faults)
            }
            ("GET", "faults") => http::json(&self.state().faults),
            ("GET", "counts") => http::json(&self.state().counts),
            ("GET", "seen") => http::json(&self.state().seen),
            _ => Err(http::unknown_call(method, page)),
        }
    }
}

fn echo(head: &Parts, body: &Bytes, call: u64) -> Result<Response<Body>, Refusal> {
    http::json(&serde_json::json!({
        "method": head.method.as_str(),
        "path": head.uri.to_string(),
        "body_bytes": body.len(),
        "call": call,
    }))
}

fn pairs(headers: &HeaderMap) -> Vec<(String, String)> {
    let text = |value: &[u8]| String::from_utf8_lossy(value).into_owned();
    headers.iter().map(|(name, value)| (name.to_string(), text(value.as_bytes()))).collect()
}

/// Takes one from a number of calls still to come.
fn take(left: &mut u64) -> bool {
    let taken = *left > 0;
    *left = left.saturating_sub(1);
    taken
}

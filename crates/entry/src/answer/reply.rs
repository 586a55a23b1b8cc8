//! The way back to one caller.

use super::{Answer, StreamedBody, append_header, set_header};
use crate::request::refusal::Refusal;
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::{Response, StatusCode};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};
use tokio::time::timeout;

/// Parts of an answer that may wait for a slow caller.
const PARTS: usize = 64;
/// Longest time that a part of an answer waits for a slow caller.
const SEND_WITHIN: Duration = Duration::from_secs(30);

/// Name and value of a header.
pub type Header = (Arc<str>, Arc<str>);

/// An answer that is kept until it is whole.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Buffered {
    /// Status.
    pub status: u16,
    /// Headers.
    pub headers: Vec<Header>,
    /// Body.
    pub body: Vec<u8>,
}

enum State {
    /// Nothing has been sent.
    Fresh(oneshot::Sender<Response<Answer>>),
    /// Nothing is sent before the answer is whole.
    Buffering(oneshot::Sender<Response<Answer>>, Option<Buffered>),
    /// The head has been sent, the body goes on.
    Streaming(mpsc::Sender<Bytes>, Arc<AtomicBool>),
    /// All has been sent.
    Over,
}

/// The way back to one caller: exactly one answer can be sent on it.
pub struct Reply {
    request: Arc<str>,
    state: Mutex<State>,
}

impl Reply {
    /// A way back that sends at once.
    pub fn new(request: Arc<str>, head: oneshot::Sender<Response<Answer>>) -> Reply {
        Reply { request, state: Mutex::new(State::Fresh(head)) }
    }

    fn state(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn replace(&self, with: State) -> State {
        std::mem::replace(&mut *self.state(), with)
    }

    /// From now on, keeps the answer until it is released.
    pub fn buffer(&self) {
        let mut state = self.state();
        *state = match std::mem::replace(&mut *state, State::Over) {
            State::Fresh(head) => State::Buffering(head, None),
            other => other,
        };
    }

    /// Whether a part of the answer has gone to the caller, or is kept for it.
    pub fn is_started(&self) -> bool {
        !matches!(*self.state(), State::Fresh(_) | State::Buffering(_, None))
    }

    /// Sends the head.
    pub fn start(&self, status: u16, headers: Vec<Header>) {
        let mut state = self.state();
        *state = match std::mem::replace(&mut *state, State::Over) {
            State::Fresh(head) => {
                let (parts, body) = mpsc::channel(PARTS);
                let is_complete = Arc::new(AtomicBool::new(false));
                let body = StreamedBody { parts: body, is_complete: is_complete.clone() }.boxed();
                let _ = head.send(self.response(status, &headers, body));
                State::Streaming(parts, is_complete)
            }
            State::Buffering(head, None) => {
                State::Buffering(head, Some(Buffered { status, headers, body: Vec::new() }))
            }
            other => other,
        };
    }

    fn response(&self, status: u16, headers: &[Header], body: Answer) -> Response<Answer> {
        let mut response = Response::new(body);
        *response.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
        for (name, value) in headers {
            append_header(&mut response, name, value);
        }
        set_header(&mut response, "x-chestnutrack-request", &self.request);
        response
    }

    /// Sends a part of the body, waiting for a slow caller. One that is too slow is broken off.
    pub async fn send(&self, bytes: Bytes) {
        let parts = match &mut *self.state() {
            State::Streaming(parts, _) => parts.clone(),
            State::Buffering(_, Some(kept)) => {
                kept.body.extend_from_slice(&bytes);
                return;
            }
            _ => return,
        };
        if timeout(SEND_WITHIN, parts.send(bytes)).await.is_err() {
            self.abort();
        }
    }

    /// Ends a streamed answer as whole.
    pub fn end(&self) {
        let mut state = self.state();
        if let State::Streaming(_, is_complete) = &*state {
            is_complete.store(true, Ordering::Release);
            *state = State::Over;
        }
    }

    /// Breaks the caller's connection off, since the answer can't be completed.
    pub fn abort(&self) {
        let mut state = self.state();
        if matches!(*state, State::Streaming(..)) {
            *state = State::Over;
        }
    }

    /// Sends a refusal in place of an answer; false when a part of an answer has gone already.
    pub fn refuse(&self, refusal: &Refusal) -> bool {
        match self.replace(State::Over) {
            State::Fresh(head) | State::Buffering(head, _) => {
                let mut response = refusal.response();
                set_header(&mut response, "x-chestnutrack-request", &self.request);
                let _ = head.send(response);
                true
            }
            other => {
                *self.state() = other;
                false
            }
        }
    }

    /// What has been kept so far.
    pub fn buffered(&self) -> Option<Buffered> {
        match &*self.state() {
            State::Buffering(_, kept) => kept.clone(),
            _ => None,
        }
    }

    /// Sends a kept answer.
    pub fn send_buffered(&self, kept: Buffered) {
        match self.replace(State::Over) {
            State::Fresh(head) | State::Buffering(head, _) => {
                let body = super::full_body(kept.body);
                let _ = head.send(self.response(kept.status, &kept.headers, body));
            }
            other => *self.state() = other,
        }
    }
}

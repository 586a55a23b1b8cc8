//! Sends the answer to one caller, at once or buffered until it is complete.
//!
//! A streamed answer begins with [`Reply::start`], continues with [`Reply::send`] and ends with
//! [`Reply::end`] or [`Reply::abort`]. A buffered one is collected by the same calls and sent by
//! [`Reply::send_buffered`].

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

/// Maximum number of parts of an answer that are queued for a slow caller.
const QUEUED_PARTS_MAX: usize = 64;
/// Time after which a part that the caller has not taken aborts the answer.
const SEND_TIMEOUT: Duration = Duration::from_secs(30);

/// Name and value of a header.
pub type Header = (Arc<str>, Arc<str>);

/// An answer that is not sent until it is complete.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Buffered {
    /// Status.
    pub status: u16,
    /// Headers.
    pub headers: Vec<Header>,
    /// Body.
    pub body: Vec<u8>,
}

/// Progress of the answer.
enum State {
    /// Nothing has been sent.
    Unsent(oneshot::Sender<Response<Answer>>),
    /// Nothing is sent before the answer is complete; holds what has arrived so far.
    Buffering(oneshot::Sender<Response<Answer>>, Option<Buffered>),
    /// Status and headers have been sent, the body is being streamed.
    Streaming(mpsc::Sender<Bytes>, Arc<AtomicBool>),
    /// The answer has been sent, refused or aborted.
    Closed,
}

/// Sender of the answer to one caller. At most one answer can be sent.
pub struct Reply {
    request: Arc<str>,
    state: Mutex<State>,
}

impl Reply {
    /// Creates a reply that sends without buffering.
    pub fn new(request: Arc<str>, sender: oneshot::Sender<Response<Answer>>) -> Reply {
        Reply { request, state: Mutex::new(State::Unsent(sender)) }
    }

    /// Locks the state.
    fn state(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sets the state and returns the previous one.
    fn replace(&self, new: State) -> State {
        std::mem::replace(&mut *self.state(), new)
    }

    /// Switches to buffering, if nothing has been sent: the answer is held until
    /// [`Reply::send_buffered`].
    pub fn buffer(&self) {
        let mut state = self.state();
        *state = match std::mem::replace(&mut *state, State::Closed) {
            State::Unsent(sender) => State::Buffering(sender, None),
            other => other,
        };
    }

    /// Returns whether a part of the answer, at least its status, was sent or buffered.
    pub fn is_started(&self) -> bool {
        !matches!(*self.state(), State::Unsent(_) | State::Buffering(_, None))
    }

    /// Sends or buffers the status and headers. Does nothing if that was done before.
    pub fn start(&self, status: u16, headers: Vec<Header>) {
        let mut state = self.state();
        *state = match std::mem::replace(&mut *state, State::Closed) {
            State::Unsent(sender) => {
                let (part_sender, part_receiver) = mpsc::channel(QUEUED_PARTS_MAX);
                let is_complete = Arc::new(AtomicBool::new(false));
                let body =
                    StreamedBody { parts: part_receiver, is_complete: is_complete.clone() }.boxed();
                let _ = sender.send(self.response(status, &headers, body));
                State::Streaming(part_sender, is_complete)
            }
            State::Buffering(sender, None) => {
                State::Buffering(sender, Some(Buffered { status, headers, body: Vec::new() }))
            }
            other => other,
        };
    }

    /// Returns a response with the given status, headers and body, and the request's identifier as
    /// a header. An invalid status becomes 502.
    fn response(&self, status: u16, headers: &[Header], body: Answer) -> Response<Answer> {
        let mut response = Response::new(body);
        *response.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
        for (name, value) in headers {
            append_header(&mut response, name, value);
        }
        set_header(&mut response, "x-chestnutrack-request", &self.request);
        response
    }

    /// Sends or buffers a part of the body. Waits for a slow caller, and aborts the answer after
    /// `SEND_TIMEOUT`. Does nothing if the answer was not started or has ended.
    pub async fn send(&self, bytes: Bytes) {
        let part_sender = match &mut *self.state() {
            State::Streaming(part_sender, _) => part_sender.clone(),
            State::Buffering(_, Some(buffered)) => {
                buffered.body.extend_from_slice(&bytes);
                return;
            }
            _ => return,
        };
        if timeout(SEND_TIMEOUT, part_sender.send(bytes)).await.is_err() {
            self.abort();
        }
    }

    /// Ends a streamed answer and marks it as complete, so that the caller sees a regular end. Does
    /// nothing if no answer is being streamed: a buffered answer is sent later by
    /// [`Reply::send_buffered`].
    pub fn end(&self) {
        let mut state = self.state();
        if let State::Streaming(_, is_complete) = &*state {
            is_complete.store(true, Ordering::Release);
            *state = State::Closed;
        }
    }

    /// Aborts a streamed answer that can't be completed, which closes the caller's connection. Does
    /// nothing if no answer is being streamed.
    pub fn abort(&self) {
        let mut state = self.state();
        if matches!(*state, State::Streaming(..)) {
            *state = State::Closed;
        }
    }

    /// Sends a refusal in place of the answer. Returns `false` and sends nothing if the answer has
    /// been started or sent already; a buffered part is discarded.
    pub fn refuse(&self, refusal: &Refusal) -> bool {
        match self.replace(State::Closed) {
            State::Unsent(sender) | State::Buffering(sender, _) => {
                let mut response = refusal.response();
                set_header(&mut response, "x-chestnutrack-request", &self.request);
                let _ = sender.send(response);
                true
            }
            other => {
                *self.state() = other;
                false
            }
        }
    }

    /// Returns the buffered answer, if it has been started.
    pub fn buffered(&self) -> Option<Buffered> {
        match &*self.state() {
            State::Buffering(_, buffered) => buffered.clone(),
            _ => None,
        }
    }

    /// Sends a complete answer: the buffered one, or one that was stored for repeated requests.
    /// Does nothing if an answer has been started without buffering or was sent already.
    pub fn send_buffered(&self, answer: Buffered) {
        match self.replace(State::Closed) {
            State::Unsent(sender) | State::Buffering(sender, _) => {
                let body = super::full_body(answer.body);
                let _ = sender.send(self.response(answer.status, &answer.headers, body));
            }
            other => *self.state() = other,
        }
    }
}

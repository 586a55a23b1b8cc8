//! Answers to callers: whole, streamed or broken off.

pub mod openai;
pub mod reply;

pub use reply::Reply;

use bytes::Bytes;
use displaydoc::Display;
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Frame, SizeHint};
use hyper::header::{HeaderName, HeaderValue};
use hyper::{Response, StatusCode};
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll};
use tokio::sync::{mpsc, watch};

/// the answer can't be completed
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub struct Aborted;

impl std::error::Error for Aborted {}

/// Body of an answer. An error breaks the caller's connection, so that a truncated answer never
/// looks whole.
pub type Answer = BoxBody<Bytes, Aborted>;

/// A whole body.
pub fn full_body(bytes: impl Into<Bytes>) -> Answer {
    Full::new(bytes.into()).map_err(|never| match never {}).boxed()
}

/// A whole answer.
pub fn full_response(
    status: u16,
    headers: &[(&str, String)],
    body: impl Into<Bytes>,
) -> Response<Answer> {
    let mut response = Response::new(full_body(body));
    *response.status_mut() =
        StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    for (name, value) in headers {
        set_header(&mut response, name, value);
    }
    response
}

/// Sets a header; one that can't be written is left out.
pub fn set_header<B>(response: &mut Response<B>, name: &str, value: &str) {
    let name = HeaderName::from_bytes(name.as_bytes());
    if let (Ok(name), Ok(value)) = (name, HeaderValue::from_str(value)) {
        response.headers_mut().insert(name, value);
    }
}

/// Adds a header beside others of its name; one that can't be written is left out.
pub fn append_header<B>(response: &mut Response<B>, name: &str, value: &str) {
    let name = HeaderName::from_bytes(name.as_bytes());
    if let (Ok(name), Ok(value)) = (name, HeaderValue::from_str(value)) {
        response.headers_mut().append(name, value);
    }
}

/// A body whose parts come one by one. It is broken unless it was marked as whole.
pub struct StreamedBody {
    /// The parts.
    pub parts: mpsc::Receiver<Bytes>,
    /// Whether the parts that came are all.
    pub is_complete: Arc<AtomicBool>,
}

impl Body for StreamedBody {
    type Data = Bytes;
    type Error = Aborted;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Aborted>>> {
        let part = std::task::ready!(self.parts.poll_recv(context));
        let broken = || (!self.is_complete.load(Ordering::Acquire)).then_some(Err(Aborted));
        Poll::Ready(part.map(|part| Ok(Frame::data(part))).or_else(broken))
    }
}

/// A body that tells, by being dropped, that its caller is gone or has all of it.
pub struct WatchedBody {
    /// The body itself.
    pub body: Answer,
    /// Dropped with it.
    pub close_signal: watch::Sender<()>,
}

impl Body for WatchedBody {
    type Data = Bytes;
    type Error = Aborted;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Aborted>>> {
        Pin::new(&mut self.body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

//! Builds the responses that callers get, complete or streamed. A part is a piece of a streamed
//! body.

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

/// Body of a response. An error closes the caller's connection, so that a truncated answer is never
/// taken for a complete one.
pub type Answer = BoxBody<Bytes, Aborted>;

/// Returns a body that is sent at once.
pub fn full_body(bytes: impl Into<Bytes>) -> Answer {
    Full::new(bytes.into()).map_err(|never| match never {}).boxed()
}

/// Returns a response with a body that is sent at once.
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

/// Sets a header. An invalid name or value is ignored.
pub fn set_header<B>(response: &mut Response<B>, name: &str, value: &str) {
    let name = HeaderName::from_bytes(name.as_bytes());
    if let (Ok(name), Ok(value)) = (name, HeaderValue::from_str(value)) {
        response.headers_mut().insert(name, value);
    }
}

/// Appends a header and keeps others of the same name. An invalid name or value is ignored.
pub fn append_header<B>(response: &mut Response<B>, name: &str, value: &str) {
    let name = HeaderName::from_bytes(name.as_bytes());
    if let (Ok(name), Ok(value)) = (name, HeaderValue::from_str(value)) {
        response.headers_mut().append(name, value);
    }
}

/// A streamed body. It ends with an error unless it was marked as complete.
pub struct StreamedBody {
    /// Parts, in order.
    pub parts: mpsc::Receiver<Bytes>,
    /// Whether all parts have been sent; set before the sender of the parts is dropped.
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
        let aborted = || (!self.is_complete.load(Ordering::Acquire)).then_some(Err(Aborted));
        Poll::Ready(part.map(|part| Ok(Frame::data(part))).or_else(aborted))
    }
}

/// A body that signals when it is dropped: the caller has disconnected or has received all of it.
pub struct WatchedBody {
    /// Wrapped body.
    pub body: Answer,
    /// Sender whose drop, together with the body, is the signal.
    pub close_sender: watch::Sender<()>,
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

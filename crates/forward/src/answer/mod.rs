//! Answers to callers: bodies, and refusals.

use bytes::Bytes;
use displaydoc::Display;
use futures_util::stream::poll_fn;
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::Frame;
use hyper::header::{HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};
use std::time::Duration;
use tokio::sync::mpsc;

/// the backend server broke off
#[derive(Clone, Copy, Debug, Display)]
pub struct Incomplete;

impl std::error::Error for Incomplete {}

/// Body of an answer. An error in it breaks the caller's connection off.
pub type Body = BoxBody<Bytes, Incomplete>;

/// A whole body.
pub fn full(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into()).map_err(|never| match never {}).boxed()
}

/// A body that comes in parts. It is broken off where the sender goes without the last part, which
/// is an empty one.
pub fn streaming(mut parts: mpsc::Receiver<Bytes>) -> Body {
    let mut over = false;
    let stream = poll_fn(move |context| {
        if over {
            return std::task::Poll::Ready(None);
        }
        parts.poll_recv(context).map(|part| match part {
            Some(part) if part.is_empty() => {
                over = true;
                None
            }
            Some(part) => Some(Ok(Frame::data(part))),
            None => {
                over = true;
                Some(Err(Incomplete))
            }
        })
    });
    BodyExt::boxed(StreamBody::new(stream))
}

/// Why a request gets no server's answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
pub enum Cause {
    /// no configuration is known yet
    Unconfigured,
    /// no route leads there
    NoRoute,
    /// the key is missing or unknown
    NoKey,
    /// the request's head can't be understood
    BadHead,
    /// the body is too large
    TooLarge,
    /// the body did not come in time
    BodyLate,
    /// this host holds too many bodies
    Crowded,
    /// the organisation's allowance is spent
    OverRate,
    /// no backend server has room in time
    Full,
    /// no backend server is known
    NoServer,
    /// a backend server may have run the request, and its answer is lost
    Lost,
    /// the deadline passed while a backend server had the request
    TimedOut,
}

impl Cause {
    /// Name in metrics.
    pub fn name(self) -> &'static str {
        match self {
            Cause::Unconfigured => "unconfigured",
            Cause::NoRoute => "no_route",
            Cause::NoKey => "no_key",
            Cause::BadHead => "bad_head",
            Cause::TooLarge => "too_large",
            Cause::BodyLate => "body_late",
            Cause::Crowded => "crowded",
            Cause::OverRate => "over_rate",
            Cause::Full => "full",
            Cause::NoServer => "no_server",
            Cause::Lost => "lost",
            Cause::TimedOut => "timed_out",
        }
    }
}

/// A final answer of the router's own.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Why.
    pub cause: Cause,
    /// When to come back.
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// A refusal that doesn't say when to come back.
    pub fn new(cause: Cause) -> Refusal {
        Refusal { cause, retry_after: None }
    }

    /// A refusal that says when to come back.
    pub fn with_retry_after(cause: Cause, retry_after: Duration) -> Refusal {
        Refusal { cause, retry_after: Some(retry_after) }
    }

    /// Whether it promises that the request has not run and never will.
    pub fn is_not_run(&self) -> bool {
        !matches!(self.cause, Cause::Lost | Cause::TimedOut)
    }

    /// The status. Those that promise that the request has not run and never will are given only
    /// where that is certain.
    pub fn status(&self) -> StatusCode {
        match self.cause {
            Cause::NoRoute => StatusCode::NOT_FOUND,
            Cause::NoKey => StatusCode::UNAUTHORIZED,
            Cause::BadHead => StatusCode::BAD_REQUEST,
            Cause::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Cause::BodyLate => StatusCode::REQUEST_TIMEOUT,
            Cause::OverRate => StatusCode::TOO_MANY_REQUESTS,
            Cause::Unconfigured | Cause::Crowded | Cause::Full | Cause::NoServer => {
                StatusCode::SERVICE_UNAVAILABLE
            }
            Cause::Lost => StatusCode::BAD_GATEWAY,
            Cause::TimedOut => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    /// The answer.
    pub fn response(&self) -> Response<Body> {
        let mut response = Response::new(full(self.cause.to_string()));
        *response.status_mut() = self.status();
        if let Some(after) = self.retry_after {
            let seconds = format!("{:.3}", after.as_secs_f64());
            if let Ok(value) = HeaderValue::from_str(&seconds) {
                response.headers_mut().insert(RETRY_AFTER, value);
            }
        }
        response
    }
}

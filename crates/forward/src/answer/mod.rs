//! Answers to callers: response bodies and refusals. A refusal is an answer by the router itself, in place of a
//! backend server's.

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

/// the backend server ended its response early
#[derive(Clone, Copy, Debug, Display)]
pub struct Incomplete;

impl std::error::Error for Incomplete {}

/// Body of an answer. An error in it aborts the caller's connection.
pub type Body = BoxBody<Bytes, Incomplete>;

/// Returns a body that is complete.
pub fn full(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into()).map_err(|never| match never {}).boxed()
}

/// Returns a body whose parts arrive through a channel. An empty part ends it; if the sender is dropped before,
/// the body fails with [`Incomplete`].
pub fn streaming(mut parts: mpsc::Receiver<Bytes>) -> Body {
    let mut is_ended = false;
    let stream = poll_fn(move |context| {
        if is_ended {
            return std::task::Poll::Ready(None);
        }
        parts.poll_recv(context).map(|part| match part {
            Some(part) if part.is_empty() => {
                is_ended = true;
                None
            }
            Some(part) => Some(Ok(Frame::data(part))),
            None => {
                is_ended = true;
                Some(Err(Incomplete))
            }
        })
    });
    BodyExt::boxed(StreamBody::new(stream))
}

/// Why the router refuses a request instead of forwarding a server's answer. The doc comments of the variants are
/// the bodies that callers receive.
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
    // The request's time limit passed, or the caller's connection broke, before the whole body had arrived.
    /// the body did not come in time
    BodyLate,
    // The request bodies in the memory of this host exceed its limit.
    /// this host holds too many bodies
    Crowded,
    // This host is shutting down, and the request could outlast its process.
    /// this host is shutting down
    ShuttingDown,
    /// the organisation's allowance is spent
    OverRate,
    // No server had room in time, or none of those that were tried ran the request.
    /// no backend server has room in time
    Full,
    // The servers state how many requests they take, and have got as many.
    /// the backend servers take no more requests now
    Throttled,
    // Or it has just started, and does not know yet which domains are evacuated.
    /// the failure domains of the backend servers are evacuated
    Evacuated,
    // The route or the organisation allows certain regions only, and none of their servers accepts requests.
    /// no backend server in an allowed region takes requests
    Region,
    // Engines have crashed under requests with the same parts of the prompt.
    /// backend servers fail under a part of the prompt
    Quarantined,
    // The route leads to no service, or the service has no server that may be tried.
    /// no backend server is known
    NoServer,
    // What two builds write does not fit together, so the stream goes on nowhere rather than at any.
    /// it is not known which version of the backend servers began the stream
    BuildUnknown,
    // No engine of the build that began the stream takes requests.
    /// no backend server of the version that began the stream is known
    BuildGone,
    // An answer was lost, unusable or overdue, and the request may not be sent again.
    /// a backend server may have run the request, and its answer is lost
    Lost,
    // Like `Lost`, but the deadline of the request ended the wait for the server.
    /// the deadline passed while a backend server had the request
    TimedOut,
}

impl Cause {
    /// Returns the cause's name in metrics and logs.
    pub fn name(self) -> &'static str {
        match self {
            Cause::Unconfigured => "unconfigured",
            Cause::NoRoute => "no_route",
            Cause::NoKey => "no_key",
            Cause::BadHead => "bad_head",
            Cause::TooLarge => "too_large",
            Cause::BodyLate => "body_late",
            Cause::Crowded => "crowded",
            Cause::ShuttingDown => "shutting_down",
            Cause::OverRate => "over_rate",
            Cause::Full => "full",
            Cause::Throttled => "throttled",
            Cause::Evacuated => "evacuated",
            Cause::Region => "region",
            Cause::Quarantined => "quarantined",
            Cause::NoServer => "no_server",
            Cause::BuildUnknown => "build_unknown",
            Cause::BuildGone => "build_gone",
            Cause::Lost => "lost",
            Cause::TimedOut => "timed_out",
        }
    }
}

/// An answer by the router itself, in place of a backend server's.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Reason for the refusal.
    pub cause: Cause,
    /// Time after which the caller may retry, if known.
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// Returns a refusal without a retry time.
    pub fn new(cause: Cause) -> Refusal {
        Refusal { cause, retry_after: None }
    }

    /// Returns a refusal with a retry time.
    pub fn with_retry_after(cause: Cause, retry_after: Duration) -> Refusal {
        Refusal { cause, retry_after: Some(retry_after) }
    }

    /// Returns `true` if the refusal promises that the request has not run and never will.
    pub fn is_not_run(&self) -> bool {
        !matches!(self.cause, Cause::Lost | Cause::TimedOut)
    }

    /// Returns the HTTP status. A status that promises that the request has not run and never will is used only
    /// for causes where that is certain.
    pub fn status(&self) -> StatusCode {
        match self.cause {
            Cause::NoRoute => StatusCode::NOT_FOUND,
            Cause::NoKey => StatusCode::UNAUTHORIZED,
            Cause::BadHead => StatusCode::BAD_REQUEST,
            Cause::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Cause::BodyLate => StatusCode::REQUEST_TIMEOUT,
            Cause::OverRate => StatusCode::TOO_MANY_REQUESTS,
            Cause::Unconfigured
            | Cause::Crowded
            | Cause::ShuttingDown
            | Cause::Full
            | Cause::Throttled
            | Cause::Evacuated
            | Cause::Region
            | Cause::Quarantined
            | Cause::NoServer
            | Cause::BuildUnknown
            | Cause::BuildGone => StatusCode::SERVICE_UNAVAILABLE,
            Cause::Lost => StatusCode::BAD_GATEWAY,
            Cause::TimedOut => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    /// Returns the response for the caller.
    pub fn response(&self) -> Response<Body> {
        let mut response = Response::new(full(self.cause.to_string()));
        *response.status_mut() = self.status();
        if let Some(retry_after) = self.retry_after {
            let seconds = format!("{:.3}", retry_after.as_secs_f64());
            if let Ok(value) = HeaderValue::from_str(&seconds) {
                response.headers_mut().insert(RETRY_AFTER, value);
            }
        }
        response
    }
}

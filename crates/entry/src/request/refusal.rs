//! Errors that callers get: their codes, HTTP statuses, headers and bodies.
//!
//! An error says whether the request ran, that is, had an effect: `not-run`, `ran` or `unknown`.

use crate::answer::{self, Answer};
use chestnutrack_wire::frame::{Cause, Failure, Ran};
use hyper::Response;
use serde_json::json;

/// Reason why a request was refused or failed; the field `code` of the error body.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Code {
    /// The body is not JSON.
    InvalidJson,
    /// A field is missing or out of bounds.
    InvalidField,
    /// The request itself is malformed.
    InvalidRequest,
    /// No route at this path serves the model.
    UnknownModel,
    /// No route has this path.
    UnknownRoute,
    /// The path has routes, but none with this method.
    MethodNotAllowed,
    /// The body is too large.
    BodyTooLarge,
    /// The request target and headers are too large.
    HeadTooLarge,
    /// The body did not arrive in time.
    BodyTimeout,
    /// The request has no key, and the route is not open to all.
    KeyMissing,
    /// The key is not in force.
    KeyRefused,
    /// The key now belongs to another organisation.
    KeyMoved,
    /// The path or body contains the key, which would reach a backend server with it.
    KeyExposed,
    /// The organisation is over its rate.
    OverRate,
    /// The request is larger than the organisation's burst, so that it can never run.
    OverBurst,
    /// This host can't get the organisation's tokens in time.
    TokensUnavailable,
    /// The configuration is not confirmed.
    ConfigurationUnconfirmed,
    /// Too many requests are waiting.
    TooManyWaiting,
    /// Too many connections are open.
    TooManyConnections,
    /// The deadline can't be met.
    DeadlineUnmet,
    /// A request with this idempotency key is running.
    StillRunning,
    /// It is not known whether the request ran, or it ran and its answer was not stored.
    OutcomeUnknown,
    /// The idempotency key was used before with a different request.
    IdempotencyKeyReused,
    /// The claim can't be made now.
    ClaimUnavailable,
    /// The backend server failed.
    BackendFailed,
    /// The caller has disconnected.
    CallerGone,
}

impl Code {
    /// Returns the value of `code` in the error body, and the HTTP status.
    pub fn name_and_status(self) -> (&'static str, u16) {
        match self {
            Code::InvalidJson => ("invalid_json", 400),
            Code::InvalidField => ("invalid_field", 400),
            Code::InvalidRequest => ("invalid_request", 400),
            Code::UnknownModel => ("unknown_model", 404),
            Code::UnknownRoute => ("unknown_route", 404),
            Code::MethodNotAllowed => ("method_not_allowed", 405),
            Code::BodyTooLarge => ("body_too_large", 413),
            Code::HeadTooLarge => ("head_too_large", 431),
            Code::BodyTimeout => ("body_timeout", 408),
            Code::KeyMissing => ("key_missing", 401),
            Code::KeyRefused => ("key_refused", 401),
            Code::KeyMoved => ("key_moved", 403),
            Code::KeyExposed => ("key_exposed", 400),
            Code::OverRate => ("over_rate", 429),
            Code::OverBurst => ("over_burst", 429),
            Code::TokensUnavailable => ("tokens_unavailable", 503),
            Code::ConfigurationUnconfirmed => ("configuration_unconfirmed", 503),
            Code::TooManyWaiting => ("too_many_waiting", 503),
            Code::TooManyConnections => ("too_many_connections", 503),
            Code::DeadlineUnmet => ("deadline_unmet", 503),
            Code::StillRunning => ("still_running", 409),
            Code::OutcomeUnknown => ("outcome_unknown", 409),
            Code::IdempotencyKeyReused => ("idempotency_key_reused", 422),
            Code::ClaimUnavailable => ("claim_unavailable", 503),
            Code::BackendFailed => ("backend_failed", 502),
            Code::CallerGone => ("caller_gone", 499),
        }
    }

    /// Returns the value of `code` in the error body.
    pub fn as_str(self) -> &'static str {
        self.name_and_status().0
    }
}

/// Error that a caller gets for a request that was refused or failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Reason.
    pub code: Code,
    /// Explanation: what is wrong, and what is allowed.
    pub message: String,
    /// Place in the request that is at fault, such as a field or header.
    pub place: Option<String>,
    /// Whether the request had an effect.
    pub ran: Ran,
    /// Time after which the caller may retry, in milliseconds.
    pub retry_after_ms: Option<u64>,
}

impl Refusal {
    /// Creates the refusal of a request that did not run.
    pub fn new(code: Code, message: impl Into<String>) -> Refusal {
        let message = message.into();
        Refusal { code, message, place: None, ran: Ran::NotRun, retry_after_ms: None }
    }

    /// Names the part of the request that is at fault, such as a field or header.
    pub fn with_place(self, place: impl Into<String>) -> Refusal {
        Refusal { place: Some(place.into()), ..self }
    }

    /// Sets the time after which the caller may retry, at least one millisecond.
    pub fn with_retry_after(self, millis: u64) -> Refusal {
        Refusal { retry_after_ms: Some(millis.max(1)), ..self }
    }

    /// Sets whether the request ran.
    pub fn with_ran(self, ran: Ran) -> Refusal {
        Refusal { ran, ..self }
    }

    /// Converts a failure that a side process reported. Only a missed deadline and a full server
    /// become [`Code::DeadlineUnmet`]; the rest is [`Code::BackendFailed`].
    pub fn from_failure(failure: Failure) -> Refusal {
        let (code, message) = match failure.cause {
            Cause::Deadline => (Code::DeadlineUnmet, "the deadline can't be met"),
            Cause::Full => (Code::DeadlineUnmet, "no server has room in time"),
            Cause::Leaving => (Code::BackendFailed, "the server is leaving"),
            Cause::ReservationLapsed => (Code::BackendFailed, "the reservation has lapsed"),
            Cause::KvLost => (Code::BackendFailed, "the KV cache was lost"),
            Cause::Backend => (Code::BackendFailed, "the backend server failed"),
            Cause::Fenced => (Code::BackendFailed, "the side process was replaced"),
            Cause::Cancelled => (Code::BackendFailed, "the request was cancelled"),
            Cause::Unconfigured => (Code::BackendFailed, "the side process is not configured"),
            Cause::Protocol => (Code::BackendFailed, "the side process refused a frame"),
        };
        let refusal = Refusal::new(code, message).with_ran(failure.ran);
        match failure.retry_after_ms {
            0 => refusal,
            millis => refusal.with_retry_after(u64::from(millis)),
        }
    }

    /// Returns the error as JSON, for a response body or a server-sent event.
    pub fn json(&self) -> serde_json::Value {
        let mut error = json!({
            "code": self.code.as_str(),
            "message": self.message,
            "ran": self.ran.as_str(),
        });
        if let Some(place) = &self.place {
            error["place"] = json!(place);
        }
        if let Some(millis) = self.retry_after_ms {
            error["retry_after_ms"] = json!(millis);
        }
        json!({ "error": error })
    }

    /// Returns the headers of the error response.
    pub fn headers(&self) -> Vec<(&'static str, String)> {
        let mut headers = vec![
            ("content-type", "application/json".to_owned()),
            ("x-chestnutrack-ran", self.ran.as_str().to_owned()),
        ];
        if let Some(millis) = self.retry_after_ms {
            headers.push(("retry-after", millis.div_ceil(1_000).to_string()));
            headers.push(("x-chestnutrack-retry-after-ms", millis.to_string()));
        }
        headers
    }

    /// Returns the error response.
    pub fn response(&self) -> Response<Answer> {
        let (_, status) = self.code.name_and_status();
        answer::full_response(status, &self.headers(), self.json().to_string())
    }
}

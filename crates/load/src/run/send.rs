//! Sends one planned request and classifies its result.

use super::balancer::Balancer;
use crate::call::{self, Reply, Verdict};
use crate::experiment::PlannedRequest;
use chestnutrack_document::model::{Document, Route};
use chestnutrack_harness::Deployment;
use std::sync::Arc;
use std::time::Duration;

/// Result of a request.
#[derive(Clone, Debug, PartialEq)]
pub enum SendResult {
    /// A response with a success status was received to its end.
    Answered {
        /// Result of checking the response.
        verdict: Verdict,
        /// Time to first token, or to the first byte of a plain response.
        time_to_first: Duration,
        /// Times between successive events that carry tokens.
        token_gaps: Vec<Duration>,
        /// Body of a plain response.
        body: Option<bytes::Bytes>,
    },
    /// The request was refused.
    Refused {
        /// Error code.
        code: String,
        /// Whether the request had an effect: `not-run`, `ran` or `unknown`.
        ran: String,
    },
    /// The call failed, or the stream ended with an error.
    Broken {
        /// Cause of the failure.
        reason: String,
    },
}

/// A request that was sent, and its result.
#[derive(Clone, Debug)]
pub struct SentRequest {
    /// The planned request.
    pub request: Arc<PlannedRequest>,
    /// Whether this is the repetition of the request.
    pub repeated: bool,
    /// Identifier that the entry host assigned; empty if the call failed.
    pub request_id: String,
    /// Result of the request.
    pub result: SendResult,
}

impl SentRequest {
    /// Returns `true` if a complete response was received.
    pub fn is_complete(&self) -> bool {
        matches!(self.result, SendResult::Answered { verdict: Verdict::Complete, .. })
    }
}

/// Data that sending a request needs.
pub(super) struct Context {
    pub(super) document: Document,
    pub(super) deployment: Deployment,
    pub(super) balancer: Balancer,
}

impl Context {
    pub(super) async fn send(&self, request: Arc<PlannedRequest>, repeated: bool) -> SentRequest {
        let route = self.document.routes.iter().find(|route| route.name == request.route);
        let missing = || SendResult::Broken { reason: "the document has no such route".to_owned() };
        let (request_id, result) = match route {
            Some(route) => self.call(&request, route).await,
            None => (String::new(), missing()),
        };
        SentRequest { request, repeated, request_id, result }
    }

    async fn call(&self, request: &PlannedRequest, route: &Route) -> (String, SendResult) {
        let key = self.deployment.key(&request.organisation);
        let call = request.call(route, &key);
        match call::send(self.balancer.pick(), &call).await {
            Ok(reply) => (reply.request().to_owned(), classify(request, route, reply)),
            Err(error) => (String::new(), SendResult::Broken { reason: error.to_string() }),
        }
    }
}

/// Checks a reply against the expected answer and returns the result of its request. A stream that
/// ends with an error counts as broken.
fn classify(request: &PlannedRequest, route: &Route, reply: Reply) -> SendResult {
    let verdict = match request.completion {
        Some(_) => call::check_completion(&reply, &request.expected_answer(route.api)),
        None => call::check_plain(&reply, &request.target(route)),
    };
    if verdict == Verdict::Refused {
        return SendResult::Refused { code: reply.code(), ran: reply.ran().to_owned() };
    }
    if verdict == Verdict::Aborted {
        let code = reply.stream_error().unwrap_or_default();
        return SendResult::Broken { reason: format!("stream ended with {code}") };
    }
    let body = request.completion.is_none().then_some(reply.answer.body);
    SendResult::Answered {
        verdict,
        time_to_first: reply.time_to_first,
        token_gaps: reply.token_gaps,
        body,
    }
}

//! Sends one request and notes how it ended.

use super::balancer::Balancer;
use crate::call::{self, Reply, Verdict};
use crate::experiment::Planned;
use chestnutrack_document::model::{Document, Route};
use chestnutrack_harness::Deployment;
use std::sync::Arc;
use std::time::Duration;

/// How a request ended.
#[derive(Clone, Debug, PartialEq)]
pub enum Ended {
    /// An answer came.
    Answered {
        /// What it was.
        verdict: Verdict,
        /// Time to the first token, or to a plain answer's first byte.
        first: Duration,
        /// Times between the tokens.
        between: Vec<Duration>,
        /// Body of a plain answer.
        body: Option<bytes::Bytes>,
    },
    /// It was refused.
    Refused {
        /// Code.
        code: String,
        /// Whether it ran: `not-run`, `ran` or `unknown`.
        ran: String,
    },
    /// No whole answer came.
    Broken {
        /// Why.
        why: String,
    },
}

/// One request that was sent.
#[derive(Clone, Debug)]
pub struct Sent {
    /// The request.
    pub request: Arc<Planned>,
    /// Whether this was its repetition.
    pub repeated: bool,
    /// Identifier that the entry host gave it; empty where no answer began.
    pub given: String,
    /// How it ended.
    pub ended: Ended,
}

impl Sent {
    /// Whether the whole answer came.
    pub fn is_whole(&self) -> bool {
        matches!(self.ended, Ended::Answered { verdict: Verdict::Whole, .. })
    }
}

/// What sending needs.
pub(super) struct Context {
    pub(super) document: Document,
    pub(super) deployment: Deployment,
    pub(super) balancer: Balancer,
}

impl Context {
    pub(super) async fn send(&self, request: Arc<Planned>, repeated: bool) -> Sent {
        let route = self.document.routes.iter().find(|route| route.name == request.route);
        let missing = || Ended::Broken { why: "the document has no such route".to_owned() };
        let (given, ended) = match route {
            Some(route) => self.exchange(&request, route).await,
            None => (String::new(), missing()),
        };
        Sent { request, repeated, given, ended }
    }

    async fn exchange(&self, request: &Planned, route: &Route) -> (String, Ended) {
        let key = self.deployment.key(&request.organisation);
        let call = request.call(route, &key);
        match call::send(self.balancer.pick(), &call).await {
            Ok(reply) => (reply.request().to_owned(), judge(request, route, reply)),
            Err(error) => (String::new(), Ended::Broken { why: error.to_string() }),
        }
    }
}

fn judge(request: &Planned, route: &Route, reply: Reply) -> Ended {
    let verdict = match request.completion {
        Some(_) => call::judge(&reply, &request.answer(route.api)),
        None => call::judge_plain(&reply, &request.target(route)),
    };
    if verdict == Verdict::Refused {
        return Ended::Refused { code: reply.code(), ran: reply.ran().to_owned() };
    }
    if verdict == Verdict::BrokenOff {
        let code = reply.stream_error().unwrap_or_default();
        return Ended::Broken { why: format!("stream ended with {code}") };
    }
    let body = request.completion.is_none().then_some(reply.answer.body);
    Ended::Answered { verdict, first: reply.first, between: reply.between, body }
}

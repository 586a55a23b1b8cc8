//! What a dialect of the platform reads from and writes into requests and answers.
//!
//! The request path decides; a dialect only translates names and forms. Each function is pure.

use bytes::Bytes;
use chestnutrack_core::dispatch::Stage;
use chestnutrack_process::http;
use http_body_util::Full;
use hyper::{HeaderMap, Request, StatusCode};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// What a caller says of a request in its head.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RequestHead {
    /// Identifier of the request; absent where the caller gave none.
    pub id: Option<Arc<str>>,
    /// How long the caller waits.
    pub deadline: Option<Duration>,
    /// The caller's key.
    pub key: Option<Arc<str>>,
    /// What it asks of a model; absent for a plain request.
    pub generation: Option<Generation>,
    /// The last event that the caller has seen of a stream that it resumes.
    pub last_event: Option<u64>,
}

/// What a request asks of a model.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Generation {
    /// Model; weights are shared only between requests for the same one.
    pub model: Arc<str>,
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Tokens of the answer, at most.
    pub output_tokens: u64,
    /// Tokens that the caller expects of the answer; often far off.
    pub hint: Option<u64>,
    /// Parts of the prompt in order; the last belongs to the request or its session alone.
    pub parts: Vec<Part>,
}

/// A part of a prompt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Part {
    /// Identifier; equal parts have the same one.
    pub id: Arc<str>,
    /// Its tokens.
    pub tokens: u64,
}

/// What the router states in a request to a backend server.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ForwardHead {
    /// The backend server that it is meant for; any other refuses it.
    pub server: Arc<str>,
    /// Time left until the deadline.
    pub deadline: Duration,
    /// Organisation of the caller's key.
    pub organisation: Option<Arc<str>>,
    /// What is asked of an engine.
    pub step: Step,
    /// The last event that the caller has, where the stream goes on after it.
    pub last_event: Option<u64>,
    /// Rank among requests that wait at an engine.
    pub priority: Option<u8>,
}

/// What is asked of an engine.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum Step {
    /// The whole request.
    #[default]
    Whole,
    /// Only to prefill the prompt.
    Prefill,
    /// To generate from a KV cache that was prefilled at another engine.
    Generate(Handle),
}

/// A KV cache that an engine keeps for its transfer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Handle {
    /// Address of the engine that keeps it.
    pub address: SocketAddr,
    /// Its name there.
    pub id: Arc<str>,
}

/// What a backend server says of its answer in its head.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ResponseHead {
    /// The request did not run and never will.
    pub not_run: bool,
    /// Another backend server stands at the address.
    pub misdirected: bool,
    /// The request that it answers, where it says so.
    pub id: Option<Arc<str>>,
    /// The body is not what the server made, but an encoding of it.
    pub encoded: bool,
    /// The answer bears the server's signature.
    pub signed: bool,
}

/// What an engine says of itself.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// What it does.
    pub stage: Option<Stage>,
    /// Whether it carries an order out.
    pub busy: bool,
    /// Orders that it has taken since it started.
    pub orders: u64,
}

/// An order to an engine to change its stage.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// The engine.
    pub server: Arc<str>,
    /// Its new stage.
    pub stage: Stage,
    /// Who gives it.
    pub holder: Arc<str>,
    /// Fencing number of who gives it.
    pub epoch: u64,
    /// Orders that the engine has taken; it refuses this one where that is another number.
    pub orders: u64,
}

/// Calls that the router makes by itself.
#[derive(Clone, Copy, Debug)]
pub struct Dialect {
    /// Reads what a caller says; fails with what is wrong.
    pub parse_request: fn(&HeaderMap) -> Result<RequestHead, &'static str>,
    /// The headers for a backend server, from the caller's and what the router states.
    pub forward_headers: fn(&HeaderMap, &ForwardHead) -> HeaderMap,
    /// Reads the head of a backend server's answer.
    pub parse_response: fn(StatusCode, &HeaderMap) -> ResponseHead,
    /// The handle, from the body of an answer to a prefill.
    pub parse_handle: fn(SocketAddr, &[u8]) -> Option<Handle>,
    /// Method and target of the call that frees a handle.
    pub free_request: fn(&Handle) -> (&'static str, String),
    /// Target of the call that asks an engine for its report.
    pub report_path: &'static str,
    /// The report, from its answer's body.
    pub parse_report: fn(&[u8]) -> Option<Report>,
    /// The call that gives an engine an order.
    pub order_request: fn(&Order) -> Result<Request<Full<Bytes>>, http::Error>,
    /// Path at which the platform asks whether this host is ready.
    pub ready_path: &'static str,
}

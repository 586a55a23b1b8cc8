//! Interface of a dialect: how one platform spells headers, bodies and paths of requests and answers.
//!
//! Requests and answers are translated into [`RequestHead`] and [`ResponseHead`]; [`AddedValues`] is what the router
//! adds to a caller's headers when it forwards a request.
//!
//! A dialect only translates names and formats; all decisions are made in the request path. Its functions are
//! pure.

use bytes::Bytes;
use chestnutrack_core::dispatch::Stage;
use chestnutrack_core::mix::{hash, mix};
use chestnutrack_core::prefix::Prefix;
use chestnutrack_process::http;
use http_body_util::Full;
use hyper::{HeaderMap, Request, StatusCode};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Maximum number of prefixes of a prompt that are looked up. Longer ones are rarely shared.
const PREFIXES_MAX: usize = 16;

/// Values parsed from the headers of a caller's request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RequestHead {
    /// Identifier of the request; `None` if the caller gave none.
    pub id: Option<Arc<str>>,
    /// Time that the caller allows for the request.
    pub deadline: Option<Duration>,
    /// Key that authenticates the caller.
    pub key: Option<Arc<str>>,
    /// Parameters of the generation; `None` for a plain request.
    pub generation: Option<Generation>,
    /// Identifier of the last event that the caller received, if it resumes a stream.
    pub last_event: Option<u64>,
    /// Identifier of the request that brought the caller the first event of the stream that it resumes.
    pub resumes: Option<Arc<str>>,
}

/// Parameters of a request for a generation by a model.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Generation {
    /// Name of the model. Only requests for the same model share weights.
    pub model: Arc<str>,
    /// Number of tokens in the prompt.
    pub prompt_tokens: u64,
    /// Highest number of tokens in the answer.
    pub output_tokens: u64,
    /// Number of tokens that the caller expects in the answer; often far off.
    pub hint: Option<u64>,
    /// Parts of the prompt in order; the last one belongs to this request or its session alone.
    pub parts: Vec<Part>,
}

impl Generation {
    /// Returns the prefixes of the prompt, up to the end of each of its first parts, shortest first. Only requests for the
    /// same model share prefixes.
    pub fn prefixes(&self) -> Arc<[Prefix]> {
        let mut prefix = Prefix { hash: hash(&self.model), tokens: 0 };
        let prefixes = self.parts.iter().take(PREFIXES_MAX).map(|part| {
            let tokens = prefix.tokens.saturating_add(part.tokens).min(self.prompt_tokens);
            prefix = Prefix { hash: mix(prefix.hash ^ hash(&part.id)), tokens };
            prefix
        });
        prefixes.collect()
    }

    /// Returns the identifiers of the parts that other requests may have too: all but the last one.
    pub fn shared_parts(&self) -> impl Iterator<Item = &Arc<str>> {
        let shared = self.parts.split_last().map_or(&[][..], |(_, shared)| shared);
        shared.iter().map(|part| &part.id)
    }
}

/// A part of a prompt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Part {
    /// Identifier; parts with the same content have the same identifier.
    pub id: Arc<str>,
    /// Number of tokens in the part.
    pub tokens: u64,
}

/// Parses the parts of a prompt from `ID:TOKENS` entries separated by commas. Malformed entries are left out.
pub fn parse_parts(text: &str) -> Vec<Part> {
    let parts = text.split(',').filter_map(|part| {
        let (id, tokens) = part.trim().split_once(':')?;
        Some(Part { id: id.into(), tokens: tokens.parse().ok()? })
    });
    parts.collect()
}

/// Values that the router adds to a request for a backend server.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AddedValues {
    /// Name of the intended backend server; any other server refuses the request.
    pub server: Arc<str>,
    /// Time left until the deadline.
    pub deadline: Duration,
    /// Organisation that the caller's key belongs to.
    pub organisation: Option<Arc<str>>,
    /// Part of a generation that the engine is to run; [`Step::Whole`] for a plain service.
    pub step: Step,
    /// Identifier of the last event that the caller has, if the stream is resumed after it.
    pub last_event: Option<u64>,
    /// Priority among the requests that wait at an engine.
    pub priority: Option<u8>,
}

/// Part of a generation that an engine is to run.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum Step {
    /// The whole request; for an engine, prefill and generate.
    #[default]
    Whole,
    /// Only prefill the prompt.
    Prefill,
    /// Generate from a KV cache that another engine prefilled.
    Generate(Handle),
}

/// Reference to a KV cache that an engine keeps until another engine fetches it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Handle {
    /// Address of the engine that keeps it.
    pub address: SocketAddr,
    /// Name of the KV cache at that engine.
    pub id: Arc<str>,
}

/// Values parsed from the head of a backend server's response.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ResponseHead {
    /// The server states that the request did not run and never will.
    pub not_run: bool,
    /// Another backend server than the intended one has the address. It did not run the request.
    pub misdirected: bool,
    /// Identifier of the request that is answered, if the response states it.
    pub id: Option<Arc<str>>,
    /// The body has a content encoding, so it is not what the server produced.
    pub encoded: bool,
    /// The server says that it is shutting down.
    pub leaving: bool,
    /// Time for which the server, which refused the request, wants no requests from this host.
    pub backoff: Option<Duration>,
    /// Requests per second that the server takes from all hosts together, if it limits them.
    pub limit: Option<f64>,
    /// How much longer the server stays cold, if it says so.
    pub cold: Option<Duration>,
    /// Whether the response bears the server's signature; `true` in a dialect without signatures.
    pub signed: bool,
}

/// An engine's report on its own state.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Current stage.
    pub stage: Option<Stage>,
    /// Whether the engine is carrying out an order.
    pub busy: bool,
    /// Number of orders that the engine accepted since it started.
    pub orders: u64,
    /// When the engine's process started, in milliseconds since 1970, if it says so.
    #[serde(default)]
    pub born: Option<u64>,
}

/// An order to an engine to change its stage.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Name of the engine.
    pub server: Arc<str>,
    /// Stage to change to.
    pub stage: Stage,
    /// Host that sends the order.
    pub holder: Arc<str>,
    /// Fencing number of that host's lease.
    pub epoch: u64,
    /// Number of orders that the engine has accepted, from its report. The engine refuses the order if the
    /// number differs.
    pub orders: u64,
}

/// Functions and paths of one dialect.
#[derive(Clone, Copy, Debug)]
pub struct Dialect {
    /// Parses the headers of a caller's request. If a header can't be parsed, fails with its name.
    pub parse_request_head: fn(&HeaderMap) -> Result<RequestHead, &'static str>,
    /// Returns the headers of a request to a backend server: those of the caller's headers that may be forwarded,
    /// without the caller's key, and headers for the values that the router adds.
    pub forward_headers: fn(&HeaderMap, &AddedValues) -> HeaderMap,
    /// Parses the status and the headers of a backend server's response.
    pub parse_response_head: fn(StatusCode, &HeaderMap) -> ResponseHead,
    /// Parses the handle from the body of an engine's answer to a prefill. The address is that of the engine.
    pub parse_handle: fn(SocketAddr, &[u8]) -> Option<Handle>,
    /// Returns method and path of the call that frees a handle.
    pub free_request: fn(&Handle) -> (&'static str, String),
    /// Path at which an engine serves its report.
    pub report_path: &'static str,
    /// Parses an engine's report from the body of the answer.
    pub parse_report: fn(&[u8]) -> Option<Report>,
    /// Returns the call that sends an order to an engine.
    pub order_request: fn(&Order) -> Result<Request<Full<Bytes>>, http::Error>,
    /// Path at which the platform asks whether this host is ready.
    pub ready_path: &'static str,
}

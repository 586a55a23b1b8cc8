//! Types of the document, the configuration of one service, as they appear in its JSON.

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::sync::Arc;

/// The configuration of one service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Document {
    /// Name of the service; the document is the object `documents/<service>`.
    pub service: Arc<str>,
    /// Salt for the hashes of callers' keys; 16 to 128 characters.
    pub key_salt: Arc<str>,
    /// Latency targets of interactive requests.
    #[serde(default)]
    pub targets: Targets,
    /// Limits on requests.
    #[serde(default)]
    pub bounds: Bounds,
    /// Organisations and their keys.
    pub organisations: Vec<Organisation>,
    /// Pools of backend servers.
    pub pools: Vec<Pool>,
    /// Routes that callers may use.
    pub routes: Vec<Route>,
}

/// Latency targets and the share of requests that must meet them; by default 950 in a thousand.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Targets {
    /// Time to the first token, in milliseconds.
    pub first_token_ms: u64,
    /// Time between tokens, in milliseconds.
    pub between_tokens_ms: u64,
    /// Requests per thousand that must meet both targets.
    pub objective_per_mille: u32,
}

impl Default for Targets {
    fn default() -> Targets {
        Targets { first_token_ms: 630, between_tokens_ms: 40, objective_per_mille: 950 }
    }
}

/// Limits on the size of requests, on the number of requests that wait for a backend server, and on the
/// number of callers' connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Bounds {
    /// Largest request body, in bytes.
    pub body_bytes: usize,
    /// Largest prompt, in tokens.
    pub prompt_tokens: u32,
    /// Largest answer, in tokens.
    pub output_tokens: u32,
    /// Largest number of requests that one organisation may have waiting on one entry host.
    pub waiting_per_organisation: u32,
    /// Largest number of callers' connections that one entry host serves at once.
    pub connections: u32,
}

impl Default for Bounds {
    fn default() -> Bounds {
        Bounds {
            body_bytes: 1 << 20,
            prompt_tokens: 65_536,
            output_tokens: 4_096,
            waiting_per_organisation: 256,
            connections: 4_096,
        }
    }
}

/// An organisation, which owns keys and pays for a rate.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Organisation {
    /// Name, unique within the document.
    pub name: Arc<str>,
    /// Valid keys.
    pub keys: Vec<Key>,
    /// Rate over the whole fleet, in tokens a second.
    pub rate_tokens_per_s: u64,
    /// Burst over the whole fleet, in tokens.
    pub burst_tokens: u64,
}

/// A caller's key, stored only as a hash.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Key {
    /// Identifier for operators and logs; not secret.
    pub id: Arc<str>,
    /// Keyed hash of the key, as 64 hexadecimal digits; see [`crate::key::Hash`].
    pub hash: String,
}

/// A pool of backend servers that provide the same service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Pool {
    /// Name, unique within the document.
    pub name: Arc<str>,
    /// Kind of its backend servers.
    pub kind: Kind,
    /// The pool's backend servers.
    pub servers: Vec<Server>,
}

/// Kind of a pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// Model engines, split into prefill and decode servers.
    Model,
    /// Plain services.
    Plain,
}

/// Role of a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Computes a prompt's KV cache.
    Prefill,
    /// Generates tokens from an imported KV cache.
    Decode,
    /// Answers calls to a plain service.
    Plain,
}

/// A backend server and the side process beside it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Server {
    /// Name, unique within the document.
    pub name: Arc<str>,
    /// Address of the side process.
    pub side: SocketAddr,
    /// Address of the backend server itself.
    pub address: SocketAddr,
    /// Host on which both run, by its name in the platform's host list.
    pub host: Arc<str>,
    /// Failure domain of the host.
    pub failure_domain: Arc<str>,
    /// Role within the pool.
    pub role: Role,
    /// Whether the server itself refuses orders with an outdated fencing number.
    #[serde(default)]
    pub checks_fencing: bool,
    /// Number of requests that the server can run at once.
    pub slots: u32,
    /// Engine memory for KV caches, in tokens; unused for plain services.
    #[serde(default)]
    pub kv_tokens: u64,
    /// Bandwidth of the server's link for KV transfers, in bytes a second; unused for plain services.
    #[serde(default)]
    pub link_bytes_per_s: u64,
    /// Whether the server is draining and must get no new work.
    #[serde(default)]
    pub leaving: bool,
}

/// A route that callers may use.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// Name for reports, unique within the document.
    pub name: Arc<str>,
    /// HTTP method, in upper case.
    pub method: Arc<str>,
    /// Path; `*` as the last segment matches any remainder.
    pub path: Arc<str>,
    /// Format of the request body and of the answer.
    pub api: Api,
    /// Name of the pool that serves the route.
    pub pool: Arc<str>,
    /// Model name in requests; for model routes only.
    #[serde(default)]
    pub model: Option<Arc<str>>,
    /// Whether interactive requests take precedence over requests on this route.
    #[serde(default)]
    pub may_wait: bool,
    /// Longest time from a request's arrival to the start of its answer, in milliseconds.
    pub deadline_ms: u64,
    /// Whether a request must take effect at most once.
    #[serde(default)]
    pub once: bool,
    /// Whether a request that runs more than once has the same effect as one that runs once.
    #[serde(default)]
    pub idempotent: bool,
    /// Whether callers without a key are allowed.
    #[serde(default)]
    pub open: bool,
    /// Tokens debited for a call to a plain service; model calls are debited by prompt and output
    /// tokens.
    #[serde(default = "one")]
    pub cost_tokens: u64,
}

/// Returns the default of [`Route::cost_tokens`].
fn one() -> u64 {
    1
}

/// Request and answer format of a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Api {
    /// OpenAI-compatible completions.
    Completions,
    /// OpenAI-compatible chat completions.
    Chat,
    /// The body is forwarded unchanged to a plain service.
    Plain,
}

impl Api {
    /// Returns `true` if model engines serve the route.
    pub fn is_model(self) -> bool {
        matches!(self, Api::Completions | Api::Chat)
    }
}

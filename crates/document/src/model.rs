//! The document's types, as they stand in its JSON.

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::sync::Arc;

/// A service's whole document.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Document {
    /// Name of the service; the document is the object `documents/<service>`.
    pub service: Arc<str>,
    /// Salt under which callers' keys are hashed; 16 to 128 characters.
    pub key_salt: Arc<str>,
    /// Latency targets of interactive requests.
    #[serde(default)]
    pub targets: Targets,
    /// Bounds on what callers may send.
    #[serde(default)]
    pub bounds: Bounds,
    /// Organisations and their keys.
    pub organisations: Vec<Organisation>,
    /// Pools of backend servers.
    pub pools: Vec<Pool>,
    /// Routes that callers may use.
    pub routes: Vec<Route>,
}

/// Latency targets; 95 in 100 requests meet them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Targets {
    /// Time to the first token, in milliseconds.
    pub first_token_ms: u64,
    /// Time between tokens, in milliseconds.
    pub between_tokens_ms: u64,
    /// Requests in a thousand that meet both targets.
    pub objective_per_mille: u32,
}

impl Default for Targets {
    fn default() -> Targets {
        Targets { first_token_ms: 630, between_tokens_ms: 40, objective_per_mille: 950 }
    }
}

/// Bounds on what callers may send and hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Bounds {
    /// Largest request body, in bytes.
    pub body_bytes: usize,
    /// Largest prompt, in tokens.
    pub prompt_tokens: u32,
    /// Largest answer, in tokens.
    pub output_tokens: u32,
    /// Requests that one organisation may have waiting on one entry host.
    pub waiting_per_organisation: u32,
    /// Connections that one entry host serves at once.
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

/// An organisation: who pays, and for what rate.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Organisation {
    /// Name, unique within the document.
    pub name: Arc<str>,
    /// Keys in force.
    pub keys: Vec<Key>,
    /// Rate over the whole fleet, in tokens a second.
    pub rate_tokens_per_s: u64,
    /// Burst over the whole fleet, in tokens.
    pub burst_tokens: u64,
}

/// A caller's key, kept only as a hash.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Key {
    /// Identifier for people and logs; not secret.
    pub id: Arc<str>,
    /// Keyed hash of the key, as 64 hexadecimal digits; see [`crate::key::Hash`].
    pub hash: String,
}

/// A pool of backend servers that serve the same thing.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Pool {
    /// Name, unique within the document.
    pub name: Arc<str>,
    /// What kind of backend server it holds.
    pub kind: Kind,
    /// The pool's backend servers.
    pub servers: Vec<Server>,
}

/// Kind of a pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// Model engines, split into prefill and decode.
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
    /// Answers plain calls.
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
    /// Host on which both run, as the platform's host list names it.
    pub host: Arc<str>,
    /// Failure domain of the host.
    pub failure_domain: Arc<str>,
    /// Role within the pool.
    pub role: Role,
    /// Whether the server itself refuses orders with an old fencing number.
    #[serde(default)]
    pub checks_fencing: bool,
    /// Requests that it can run at once.
    pub slots: u32,
    /// Engine memory for KV cache, in tokens; not used for plain services.
    #[serde(default)]
    pub kv_tokens: u64,
    /// Rate of the server's link for KV transfers, in bytes a second; not used for plain services.
    #[serde(default)]
    pub link_bytes_per_s: u64,
    /// Whether the server is leaving and must get no new work.
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
    /// Path; a last segment of `*` matches any rest.
    pub path: Arc<str>,
    /// How the body is read and the answer written.
    pub api: Api,
    /// Pool that serves it.
    pub pool: Arc<str>,
    /// Model name that callers state; for model routes only.
    #[serde(default)]
    pub model: Option<Arc<str>>,
    /// Whether requests may wait behind interactive ones.
    #[serde(default)]
    pub may_wait: bool,
    /// Longest time from arrival to the answer's start, in milliseconds.
    pub deadline_ms: u64,
    /// Whether a request must take effect at most once.
    #[serde(default)]
    pub once: bool,
    /// Whether a request may be run again without harm.
    #[serde(default)]
    pub idempotent: bool,
    /// Whether the route is open to all, without a key.
    #[serde(default)]
    pub open: bool,
    /// Tokens debited for a plain call; model calls are debited by prompt and output.
    #[serde(default = "one")]
    pub cost_tokens: u64,
}

fn one() -> u64 {
    1
}

/// Interface that a route offers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Api {
    /// OpenAI-compatible completions.
    Completions,
    /// OpenAI-compatible chat completions.
    Chat,
    /// The body passes through to a plain service.
    Plain,
}

impl Api {
    /// Whether the route is served by model engines.
    pub fn is_model(self) -> bool {
        matches!(self, Api::Completions | Api::Chat)
    }
}

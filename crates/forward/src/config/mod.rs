//! The configuration in force: routes, services and organisations.

mod millis;
mod table;

pub use table::Table;

use serde::{Deserialize, Serialize};
use std::sync::Arc;
use std::time::Duration;

/// A whole configuration.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Config {
    /// Version; it only grows.
    pub version: u64,
    /// Routes.
    pub routes: Vec<Route>,
    /// Services that routes lead to.
    pub services: Vec<Service>,
    /// Organisations; where there are none, requests need no key.
    pub organisations: Vec<Organisation>,
    /// Bounds on what callers may send.
    pub limits: Limits,
}

/// What a request to a route may do.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// It may run more than once.
    Idempotent,
    /// It runs at most once.
    Once,
    /// Its answer is a stream of events; it runs at most once, unless it may be resumed.
    Stream {
        /// Another server may go on with a stream that broke.
        resumable: bool,
    },
}

impl Kind {
    /// Whether a request may run again.
    pub fn may_repeat(self) -> bool {
        matches!(self, Kind::Idempotent | Kind::Stream { resumable: true })
    }

    /// Whether the answer is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Kind::Stream { .. })
    }
}

/// A route.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// Name.
    pub name: Arc<str>,
    /// Host that callers name, without a port.
    pub host: Arc<str>,
    /// Path prefix; begins and ends with a slash.
    pub prefix: Arc<str>,
    /// What a request may do.
    pub kind: Kind,
    /// Longest time from arrival to the end of the answer.
    #[serde(rename = "timeout_ms", with = "millis")]
    pub timeout: Duration,
    /// Time within which an answer, or a stream's first event, is on time.
    #[serde(rename = "target_ms", with = "millis")]
    pub target: Duration,
    /// Longest pause between events of a stream that is in time.
    #[serde(rename = "pause_ms", with = "millis::optional", default)]
    pub pause: Option<Duration>,
    /// Rank; 0 is the most urgent.
    pub priority: u8,
    /// Services with their weights.
    pub split: Vec<(Arc<str>, u32)>,
    /// Most backend servers that one request may be sent to.
    pub attempts: u32,
    /// Whether the route needs no key.
    pub open: bool,
}

/// A service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Name.
    pub name: Arc<str>,
    /// Path of its health probe.
    pub health_path: Arc<str>,
    /// Connections that one of its backend servers takes from all callers.
    pub connections: u32,
    /// What its model engines can do; absent for a plain service.
    pub engine: Option<Engine>,
}

/// A model engine, as far as the router needs to know it.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Engine {
    /// Requests that one engine runs at once.
    pub slots: u32,
    /// KV cache of one engine, in tokens.
    pub kv_tokens: u64,
    /// Output tokens in one event of a stream, at most.
    pub tokens_per_event: u32,
    /// How long a KV cache that was prefilled is kept for its transfer.
    #[serde(rename = "handle_ttl_ms", with = "millis")]
    pub handle_ttl: Duration,
    /// How long an engine that changes its stage is out of use.
    #[serde(rename = "stage_switch_ms", with = "millis")]
    pub stage_switch: Duration,
}

/// An organisation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Organisation {
    /// Name.
    pub name: Arc<str>,
    /// Keys of its callers.
    pub keys: Vec<Arc<str>>,
    /// Rank that goes before that of the route.
    pub priority: Option<u8>,
    /// Tokens a second over all hosts; 0 for no limit.
    pub rate: u64,
    /// Tokens that may be spent at once beyond the rate.
    pub burst: u64,
    /// Tokens of a request that states none.
    pub plain_tokens: u64,
}

/// Bounds on what callers may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Largest request head, in bytes.
    pub head_bytes: usize,
    /// Largest request body, in bytes.
    pub body_bytes: usize,
    /// Longest time for a request's head to come.
    #[serde(rename = "head_within_ms", with = "millis")]
    pub head_within: Duration,
    /// Longest time that a connection stays unused.
    #[serde(rename = "idle_ms", with = "millis")]
    pub idle: Duration,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            head_bytes: 16 << 10,
            body_bytes: 4 << 20,
            head_within: Duration::from_secs(3),
            idle: Duration::from_secs(15),
        }
    }
}

//! The configuration in force: routes, services and organisations.
//!
//! A plain service's servers run no model; the others' are model engines. The allowance of an
//! organisation is stated by its rate and burst.

pub mod check;
mod millis;
mod table;

pub use table::Table;

use serde::{Deserialize, Serialize};
use std::sync::Arc;
use std::time::Duration;

/// A configuration.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Config {
    /// Version, which only increases.
    pub version: u64,
    /// Routes.
    pub routes: Vec<Route>,
    /// Services to which routes lead.
    pub services: Vec<Service>,
    /// Organisations. If there are none, requests need no key.
    pub organisations: Vec<Organisation>,
    /// Limits on what callers may send.
    pub limits: Limits,
}

/// How often a request to a route may run, and whether its answer is a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// The request may run more than once.
    Idempotent,
    /// The request runs at most once.
    Once,
    /// The answer is a stream of events. The request runs at most once, unless the stream may be
    /// resumed.
    Stream {
        /// Whether another server may continue a stream that broke off.
        resumable: bool,
    },
}

impl Kind {
    /// Returns `true` if a request may run more than once.
    pub fn may_repeat(self) -> bool {
        self == Kind::Idempotent || self.may_resume()
    }

    /// Returns `true` if another server may continue an answer that broke off.
    pub fn may_resume(self) -> bool {
        self == Kind::Stream { resumable: true }
    }

    /// Returns `true` if the answer is a stream of events.
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
    /// Host name that callers use, without a port.
    pub host: Arc<str>,
    /// Path prefix; begins and ends with a slash.
    pub prefix: Arc<str>,
    /// How often a request may run, and whether its answer is a stream.
    pub kind: Kind,
    /// Longest time from arrival to the end of the answer.
    #[serde(rename = "timeout_ms", with = "millis")]
    pub timeout: Duration,
    /// Latency target of an answer, or of the first event of a stream.
    #[serde(rename = "target_ms", with = "millis")]
    pub target_latency: Duration,
    /// Target of the longest pause between events of a stream, if any.
    #[serde(rename = "pause_ms", with = "millis::optional", default)]
    pub max_pause: Option<Duration>,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// Services with their weights.
    pub split: Vec<(Arc<str>, u32)>,
    /// Highest number of backend servers to which one request may be sent.
    pub attempts: u32,
    /// Whether the route is open to callers without a key.
    pub open: bool,
    /// Whether its requests share parts of their prompts, so that engines that hold them are preferred.
    #[serde(default)]
    pub sticky: bool,
    /// Regions whose backend servers may get requests; `None` for all.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub regions: Option<Vec<Arc<str>>>,
}

/// A service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Name.
    pub name: Arc<str>,
    /// Path of its health probe.
    pub health_path: Arc<str>,
    /// Highest number of connections that one backend server of the service accepts, from all hosts
    /// together.
    pub connections: u32,
    /// Properties of its model engines; `None` for a plain service.
    pub engine: Option<Engine>,
    /// How its servers start, if they have a limit for the time after.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub cold_start: Option<ColdStart>,
}

/// How servers of a service start during traffic.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ColdStart {
    /// Time for which a server is cold.
    #[serde(rename = "duration_ms", with = "millis")]
    pub duration: Duration,
    /// Requests per second that a cold server sustains, from all hosts together; `None` if there is no such limit.
    pub per_s: Option<f64>,
}

/// Properties of a service's model engines that the router needs.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Engine {
    /// Requests that one engine runs at once.
    pub slots: u32,
    /// KV cache of one engine, in tokens.
    pub kv_tokens: u64,
    /// Highest number of output tokens in one event of a stream.
    pub tokens_per_event: u32,
    /// How long the engine that prefilled a prompt keeps the KV cache, under a handle, for the
    /// engine that generates.
    #[serde(rename = "handle_ttl_ms", with = "millis")]
    pub handle_ttl: Duration,
    /// How long an engine that changes its stage is unavailable.
    #[serde(rename = "stage_switch_ms", with = "millis")]
    pub stage_switch_time: Duration,
}

/// An organisation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Organisation {
    /// Name.
    pub name: Arc<str>,
    /// API keys of its callers.
    pub keys: Vec<Arc<str>>,
    /// Priority that overrides that of the route.
    pub priority: Option<u8>,
    /// Tokens per second over all hosts; 0 for no limit.
    pub rate: u64,
    /// Tokens that may be spent at once beyond the rate.
    pub burst: u64,
    /// Tokens charged for a request that states no token count, as requests to plain services do
    /// not.
    pub plain_tokens: u64,
    /// Regions whose backend servers may get requests; `None` for all.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub regions: Option<Vec<Arc<str>>>,
}

/// Limits on what callers may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Largest request head, in bytes.
    pub head_bytes: usize,
    /// Largest request body, in bytes.
    pub body_bytes: usize,
    /// Longest time until the head of a request has arrived.
    #[serde(rename = "head_within_ms", with = "millis")]
    pub head_timeout: Duration,
    /// Longest time for which a connection may stay idle.
    #[serde(rename = "idle_ms", with = "millis")]
    pub idle_timeout: Duration,
}

impl Default for Limits {
    /// Returns the limits in force where no configuration states any.
    fn default() -> Limits {
        Limits {
            head_bytes: 16 << 10,
            body_bytes: 4 << 20,
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

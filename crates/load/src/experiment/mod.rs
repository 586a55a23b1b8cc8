//! Experiments: the load and the faults to apply, and the deployment to apply them to.

mod bucket;
mod check;
mod schedule;

pub use check::parse;
pub use schedule::{PlannedRequest, schedule};

use chestnutrack_harness::Deployment;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// An experiment, as defined in its JSON file.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Experiment {
    /// Name, for reports.
    pub name: Arc<str>,
    /// Deployment to start.
    pub deployment: DeploymentKind,
    /// Seed for the times, prompts and lengths of requests.
    pub seed: u64,
    /// Number of entry hosts.
    pub entries: u8,
    /// Time during which requests are sent, in seconds.
    pub duration_s: f64,
    /// Time at the start whose requests are not measured, in seconds.
    #[serde(default)]
    pub warm_up_s: f64,
    /// Whether connections to side processes pass through relays that faults can interrupt.
    #[serde(default)]
    pub links: bool,
    /// Additional arguments of every stand-in engine.
    #[serde(default)]
    pub engine_arguments: Vec<String>,
    /// Streams of requests that make up the load.
    pub streams: Vec<Stream>,
    /// Faults to inject, with their times.
    #[serde(default)]
    pub faults: Vec<Fault>,
}

/// Deployment of the harness that an experiment starts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DeploymentKind {
    /// Lakeshore Larder Software.
    Larder,
    /// Lignées Armor Numérique.
    Skrid,
}

impl DeploymentKind {
    /// Returns the corresponding deployment of the harness.
    pub fn deployment(self) -> Deployment {
        match self {
            DeploymentKind::Larder => Deployment::Larder,
            DeploymentKind::Skrid => Deployment::Skrid,
        }
    }
}

/// A stream of requests to one route, from each of several organisations.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Stream {
    /// Name, for reports.
    pub name: Arc<str>,
    /// Name of the route in the document.
    pub route: Arc<str>,
    /// Organisations that send requests, each at the rate of the stream.
    pub organisations: Vec<Arc<str>>,
    /// Mean rate of one organisation, in requests per second.
    pub rate_per_s: f64,
    /// Bursts: intervals in which the rate is higher.
    #[serde(default)]
    pub rushes: Vec<Burst>,
    /// Lengths of prompts, in tokens; for model routes.
    #[serde(default = "no_tokens")]
    pub prompt_tokens: Range,
    /// Length of the prefix that a prompt shares with others of its organisation, in tokens.
    #[serde(default)]
    pub shared_tokens: u32,
    /// Number of different shared prefixes for each organisation.
    #[serde(default = "one")]
    pub shared_starts: u32,
    /// Lengths of outputs, in tokens; for model routes.
    #[serde(default = "no_tokens")]
    pub output_tokens: Range,
    /// Number of different items that plain calls request; the item replaces the `*` at the end of
    /// the route's path.
    #[serde(default = "one")]
    pub items: u32,
    /// Requests that are sent a second time with the same idempotency key, in thousandths; for
    /// routes whose requests must take effect only once.
    #[serde(default)]
    pub repeated_per_mille: u32,
}

/// A range of lengths, both ends included.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Range {
    /// Smallest length.
    pub min: u32,
    /// Largest length.
    pub max: u32,
}

/// An interval in which the rate of a stream is higher.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Burst {
    /// Start, in seconds from the start of the load.
    pub from_s: f64,
    /// End, in seconds from the start of the load.
    pub to_s: f64,
    /// Factor by which the rate is multiplied.
    pub times: f64,
}

/// A fault and the time at which it is injected.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Fault {
    /// Time from the start of the load, in seconds.
    pub at_s: f64,
    /// Kind of the fault.
    #[serde(flatten)]
    pub kind: FaultKind,
}

/// A fault of a process, a server or the object interface, or the end of one.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "do", rename_all = "snake_case")]
pub enum FaultKind {
    /// Kills a process.
    Kill {
        /// Name of the process: `entry-N`, `side-SERVER` or `backend-SERVER`.
        process: Arc<str>,
    },
    /// Restarts a process that has ended.
    Restart {
        /// Name of the process.
        process: Arc<str>,
    },
    /// Pauses a process with SIGSTOP.
    Stop {
        /// Name of the process.
        process: Arc<str>,
    },
    /// Resumes a paused process.
    Continue {
        /// Name of the process.
        process: Arc<str>,
    },
    /// Asks a process to shut down.
    Terminate {
        /// Name of the process.
        process: Arc<str>,
    },
    /// Makes the object interface unavailable.
    Outage,
    /// Makes the object interface available again.
    OutageEnds,
    /// Delays each call to the object interface.
    Slow {
        /// Delay of each call, in milliseconds.
        delay_ms: u64,
    },
    /// Marks a server as leaving in the document.
    Leave {
        /// Name of the server.
        server: Arc<str>,
    },
    /// Permanently stops traffic on the open connections to a side process; new connections work.
    Silence {
        /// Name of the server of the side process.
        server: Arc<str>,
    },
}

fn no_tokens() -> Range {
    Range { min: 0, max: 0 }
}

fn one() -> u32 {
    1
}

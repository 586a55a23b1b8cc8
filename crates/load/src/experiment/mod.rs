//! An experiment: which load and faults, on which fleet.

mod bucket;
mod check;
mod schedule;

pub use check::parse;
pub use schedule::{PlannedRequest, schedule};

use chestnutrack_harness::Deployment;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// An experiment, as it stands in its JSON file.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Experiment {
    /// Name, for reports.
    pub name: Arc<str>,
    /// Which deployment.
    pub deployment: DeploymentKind,
    /// Seed of arrivals, prompts and lengths.
    pub seed: u64,
    /// Number of entry hosts.
    pub entries: u8,
    /// Time in which requests are sent, in seconds.
    pub duration_s: f64,
    /// Time at the start that is not measured, in seconds.
    #[serde(default)]
    pub warm_up_s: f64,
    /// Whether links that can be cut stand before side processes.
    #[serde(default)]
    pub links: bool,
    /// Further arguments of every stand-in engine.
    #[serde(default)]
    pub engine_arguments: Vec<String>,
    /// Load.
    pub streams: Vec<Stream>,
    /// Faults on a timetable.
    #[serde(default)]
    pub faults: Vec<Fault>,
}

/// Which deployment.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DeploymentKind {
    /// Lakeshore Larder Software.
    Larder,
    /// Lignées Armor Numérique.
    Skrid,
}

impl DeploymentKind {
    /// The harness's deployment.
    pub fn deployment(self) -> Deployment {
        match self {
            DeploymentKind::Larder => Deployment::Larder,
            DeploymentKind::Skrid => Deployment::Skrid,
        }
    }
}

/// Requests of one kind, from each of some organisations.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Stream {
    /// Name, for reports.
    pub name: Arc<str>,
    /// Route, as the document names it.
    pub route: Arc<str>,
    /// Organisations that send it, each at the stream's rate.
    pub organisations: Vec<Arc<str>>,
    /// Mean rate of one organisation, in requests a second.
    pub rate_per_s: f64,
    /// Times when the rate is higher.
    #[serde(default)]
    pub rushes: Vec<Burst>,
    /// Length of prompts, in tokens; for model routes.
    #[serde(default = "no_tokens")]
    pub prompt_tokens: Range,
    /// Tokens at a prompt's start that it shares with others of its organisation.
    #[serde(default)]
    pub shared_tokens: u32,
    /// Different shared starts for each organisation.
    #[serde(default = "one")]
    pub shared_starts: u32,
    /// Length of answers, in tokens; for model routes.
    #[serde(default = "no_tokens")]
    pub output_tokens: Range,
    /// Items that plain calls ask for: the last segment of the target.
    #[serde(default = "one")]
    pub items: u32,
    /// Requests in a thousand that are sent again under their idempotency key; for routes that
    /// must land once.
    #[serde(default)]
    pub repeated_per_mille: u32,
}

/// A range of lengths, both ends included.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Range {
    /// Least.
    pub min: u32,
    /// Most.
    pub max: u32,
}

/// A time when a stream's rate is higher.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Burst {
    /// Start, in seconds.
    pub from_s: f64,
    /// End, in seconds.
    pub to_s: f64,
    /// Factor on the rate.
    pub times: f64,
}

/// A fault at a time.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Fault {
    /// Time from the start of the load, in seconds.
    pub at_s: f64,
    /// What happens.
    #[serde(flatten)]
    pub what: FaultKind,
}

/// What happens to a process, a server or the object interface.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "do", rename_all = "snake_case")]
pub enum FaultKind {
    /// A process is killed.
    Kill {
        /// `entry-N`, `side-SERVER` or `backend-SERVER`.
        process: Arc<str>,
    },
    /// A process that has ended is started again.
    Restart {
        /// The process.
        process: Arc<str>,
    },
    /// A process is stopped, so that it can be continued.
    Stop {
        /// The process.
        process: Arc<str>,
    },
    /// A stopped process is continued.
    Continue {
        /// The process.
        process: Arc<str>,
    },
    /// A process is asked to shut down.
    Terminate {
        /// The process.
        process: Arc<str>,
    },
    /// The object interface is down.
    Outage,
    /// The object interface is up again.
    OutageEnds,
    /// The object interface is slow.
    Slow {
        /// Delay of each call, in milliseconds.
        delay_ms: u64,
    },
    /// The document says that a server is leaving.
    Leave {
        /// The server.
        server: Arc<str>,
    },
    /// Open connections to a side process go silent for good; new ones work.
    Silence {
        /// The server beside the side process.
        server: Arc<str>,
    },
}

fn no_tokens() -> Range {
    Range { min: 0, max: 0 }
}

fn one() -> u32 {
    1
}

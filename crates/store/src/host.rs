//! Types of the platform's host list.

use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// State of a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// In use.
    Live,
    /// About to be removed by the platform.
    Leaving,
}

/// One host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Host {
    /// Name.
    pub name: Arc<str>,
    /// Failure domain.
    pub failure_domain: Arc<str>,
    /// State.
    pub state: State,
}

/// The hosts known to the platform. The list lags behind the actual state.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct List {
    /// The hosts.
    pub hosts: Vec<Host>,
}

//! Which build began a stream, so that it goes on at that build only.
//!
//! A build is a version of the software of a service's engines. Engines of several builds may serve side by side, and
//! what two of them write does not fit together. A stream that breaks off is resumed by its host, which knows the build,
//! or by its caller, at any host. So while several builds serve, each host tells a few others, the keepers of
//! the stream, which build began it: [`Keepers`] finds them from the stream's identifier at any host. [`Origins`] is what a
//! host knows of streams, [`Builds`] what it knows of the builds that may have begun one.

mod announcement;
mod builds;
#[cfg(test)]
mod record_tests;
mod records;
mod registry;
#[cfg(test)]
mod simulation_tests;
#[cfg(test)]
mod tests;

pub use announcement::{FIRST_STREAM_DELAY, Hosts};
pub use builds::{Builds, KNOWLEDGE_LEASE, Possible};
pub use records::{Contents, Record, Recorder, Recorders, Step, StepResult};
pub use registry::{Known, Origins};

use crate::mix::{hash, mix};
use std::cmp::Reverse;
use std::sync::Arc;

/// Number of hosts that are told which build began a stream.
pub const KEEPERS: usize = 3;

/// Identifies a stream on all hosts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Stream(u64);

impl Stream {
    /// Returns the stream whose first event was brought by the request with an identifier.
    pub fn begun_by(request: &str) -> Stream {
        Stream(hash(request))
    }

    /// Returns the number by which a stream is named between hosts.
    pub fn number(self) -> u64 {
        self.0
    }
}

impl From<u64> for Stream {
    fn from(number: u64) -> Stream {
        Stream(number)
    }
}

/// Returns what stands for the build of a process that started at `born` under the name of a server, until the server's
/// entry says which it is. It is the same on all hosts.
pub fn unlisted_build(server: &str, born: u64) -> Arc<str> {
    format!("{server}@{born}").into()
}

/// The hosts among which the keepers of streams are found.
#[derive(Clone, Debug, Default)]
pub struct Keepers(Vec<(u64, Arc<str>)>);

impl Keepers {
    /// Creates the keepers of a host that knows the other hosts `hosts`.
    pub fn new(hosts: impl IntoIterator<Item = Arc<str>>) -> Keepers {
        Keepers(hosts.into_iter().map(|host| (hash(&host), host)).collect())
    }

    /// Returns the hosts that are told which build began a stream, up to [`KEEPERS`]. If a host comes or goes, at most one
    /// of them changes.
    pub fn of(&self, stream: Stream) -> impl Iterator<Item = &Arc<str>> {
        let ranked = self.0.iter().map(|(hash, host)| (Reverse(mix(hash ^ stream.0)), host));
        let mut ranked: Vec<_> = ranked.collect();
        ranked.sort_unstable();
        ranked.into_iter().take(KEEPERS).map(|(_, host)| host)
    }
}

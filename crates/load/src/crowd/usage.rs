//! Resources that a host uses, as the system reports them.

use serde::Serialize;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// Time between samples.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(250);

/// Resources of a process, and of the connections at its address for callers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Usage {
    /// Memory of the process, in bytes.
    pub rss_bytes: u64,
    /// Open file descriptors of the process.
    pub descriptors: u64,
    /// Connections of callers.
    pub connections: u64,
    /// Bytes that the system has received from callers and the process has not read.
    pub unread_bytes: u64,
    /// Bytes that the process has written and callers have not taken.
    pub unsent_bytes: u64,
}

impl Usage {
    /// Returns the higher use of each resource.
    fn max(self, other: Usage) -> Usage {
        Usage {
            rss_bytes: self.rss_bytes.max(other.rss_bytes),
            descriptors: self.descriptors.max(other.descriptors),
            connections: self.connections.max(other.connections),
            unread_bytes: self.unread_bytes.max(other.unread_bytes),
            unsent_bytes: self.unsent_bytes.max(other.unsent_bytes),
        }
    }
}

/// Returns the highest use of each resource until `end`.
pub(super) async fn peak_until(pid: Option<u32>, address: SocketAddr, end: Instant) -> Usage {
    let mut peak = Usage::default();
    while Instant::now() < end {
        peak = peak.max(sample(pid, address));
        sleep(SAMPLE_INTERVAL).await;
    }
    peak
}

/// Returns the resources in use now. What can't be read counts as 0.
pub(super) fn sample(pid: Option<u32>, address: SocketAddr) -> Usage {
    let mut usage = Usage::default();
    if let Some(pid) = pid {
        let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
        let rss = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let kilobytes = rss.and_then(|text| text.trim().trim_end_matches(" kB").parse().ok());
        usage.rss_bytes = kilobytes.unwrap_or(0_u64) << 10;
        usage.descriptors = std::fs::read_dir(format!("/proc/{pid}/fd"))
            .map_or(0, |entries| entries.count() as u64);
    }
    let connections = std::fs::read_to_string("/proc/net/tcp").unwrap_or_default();
    for line in connections.lines() {
        add_connection(&mut usage, line, address);
    }
    usage
}

/// Adds a line of `/proc/net/tcp`, if it is an established connection at an IPv4 address.
fn add_connection(usage: &mut Usage, line: &str, address: SocketAddr) {
    /// State of established connections in the table.
    const ESTABLISHED: &str = "01";
    let SocketAddr::V4(address) = address else { return };
    let ip = u32::from_ne_bytes(address.ip().octets());
    let local = format!("{ip:08X}:{:04X}", address.port());
    let fields: Vec<&str> = line.split_whitespace().collect();
    let [_, from, _, state, queues, ..] = fields[..] else { return };
    if from != local || state != ESTABLISHED {
        return;
    }
    let Some((unsent, unread)) = queues.split_once(':') else { return };
    usage.connections += 1;
    usage.unsent_bytes += u64::from_str_radix(unsent, 16).unwrap_or(0);
    usage.unread_bytes += u64::from_str_radix(unread, 16).unwrap_or(0);
}

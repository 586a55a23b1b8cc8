//! Options of sockets.

use nix::sys::socket::{setsockopt, sockopt};
use std::os::fd::AsFd;
use std::time::Duration;

/// Keep-alive probes that go unanswered before a connection is broken.
const PROBES: u32 = 2;
/// Shortest time between two probes, in seconds: the option's unit.
const PROBE_S_MIN: u32 = 1;

/// Has the system break a connection whose other end has been silent for about so long, whether
/// bytes are under way or not.
///
/// # Errors
///
/// The system's error when an option can't be set.
pub fn set_peer_timeout(socket: &impl AsFd, silence: Duration) -> nix::Result<()> {
    let millis = u32::try_from(silence.as_millis()).unwrap_or(u32::MAX);
    let probe_s = (millis / 1_000 / (PROBES + 1)).max(PROBE_S_MIN);
    setsockopt(socket, sockopt::KeepAlive, &true)?;
    setsockopt(socket, sockopt::TcpKeepIdle, &probe_s)?;
    setsockopt(socket, sockopt::TcpKeepInterval, &probe_s)?;
    setsockopt(socket, sockopt::TcpKeepCount, &PROBES)?;
    setsockopt(socket, sockopt::TcpUserTimeout, &millis)
}

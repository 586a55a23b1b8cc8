//! Socket options and addresses.

use nix::sys::socket::{setsockopt, sockopt};
use std::net::{IpAddr, SocketAddr};
use std::os::fd::AsFd;
use std::time::Duration;

/// Unanswered keep-alive probes after which the system closes a connection.
const PROBES: u32 = 2;
/// Shortest interval between two probes, in seconds, the unit of the socket option.
const PROBE_INTERVAL_S_MIN: u32 = 1;

/// Makes the system close a connection whose peer has not responded for about `timeout`, both while
/// data is in flight and while the connection is idle.
///
/// # Errors
///
/// The system's error if an option can't be set.
pub fn set_peer_timeout(socket: &impl AsFd, timeout: Duration) -> nix::Result<()> {
    let millis = u32::try_from(timeout.as_millis()).unwrap_or(u32::MAX);
    let probe_s = (millis / 1_000 / (PROBES + 1)).max(PROBE_INTERVAL_S_MIN);
    setsockopt(socket, sockopt::KeepAlive, &true)?;
    setsockopt(socket, sockopt::TcpKeepIdle, &probe_s)?;
    setsockopt(socket, sockopt::TcpKeepInterval, &probe_s)?;
    setsockopt(socket, sockopt::TcpKeepCount, &PROBES)?;
    setsockopt(socket, sockopt::TcpUserTimeout, &millis)
}

/// Bounds the system's buffers for received and for sent bytes of a socket, or of the connections that a listening
/// socket accepts. The system may double the size for its own bookkeeping.
///
/// # Errors
///
/// The system's error if an option can't be set.
pub fn set_buffers(socket: &impl AsFd, bytes: usize) -> nix::Result<()> {
    setsockopt(socket, sockopt::RcvBuf, &bytes)?;
    setsockopt(socket, sockopt::SndBuf, &bytes)
}

/// Returns `true` if a process may listen at an address: it has a port, and is the address of one machine.
pub fn is_dialable(address: SocketAddr) -> bool {
    let is_broadcast = matches!(address.ip(), IpAddr::V4(ip) if ip.is_broadcast());
    let ip = address.ip();
    address.port() != 0 && !ip.is_unspecified() && !ip.is_multicast() && !is_broadcast
}

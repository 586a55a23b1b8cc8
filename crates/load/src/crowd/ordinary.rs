//! Ordinary callers, and readiness checks, beside a crowd.

use super::{Crowd, kind};
use crate::measure::latency::Histogram;
use serde::Serialize;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep, timeout};

/// Pause of an ordinary caller between two requests.
const REQUEST_PAUSE: Duration = Duration::from_millis(100);
/// Bytes of an ordinary body.
const BODY_BYTES: usize = 2 << 10;
/// Requests after which an ordinary caller opens a new connection.
const REQUESTS_PER_CONNECTION: u64 = 10;
/// Longest time for a request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);
/// Time between readiness checks.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Longest time for a readiness check.
const CHECK_TIMEOUT: Duration = Duration::from_secs(2);

/// What ordinary callers got.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Counts {
    /// Requests.
    pub sent: u64,
    /// Requests answered with status 200.
    pub served: u64,
    /// Requests answered with another status.
    pub refused: u64,
    /// Requests without an answer.
    pub failed: u64,
    /// Requests sent again on a new connection, since the one that was open had been closed.
    pub reconnected: u64,
}

impl Counts {
    /// Adds the counts of another caller.
    pub(super) fn add(&mut self, other: &Counts) {
        self.sent += other.sent;
        self.served += other.served;
        self.refused += other.refused;
        self.failed += other.failed;
        self.reconnected += other.reconnected;
    }

    /// Returns the share of requests that were served.
    pub(super) fn served_share(&self) -> f64 {
        self.served as f64 / self.sent.max(1) as f64
    }
}

/// Returns an empty histogram.
pub(super) fn histogram() -> Histogram {
    Histogram::default()
}

/// Sends requests until `end`. Returns the counts and latencies of those sent from `from` on.
pub(super) async fn call_until(
    crowd: Arc<Crowd>,
    number: usize,
    from: Instant,
    end: Instant,
) -> (Counts, Histogram) {
    let fields = format!("content-length: {BODY_BYTES}\r\n");
    let mut request = kind::head(&crowd, "POST", &crowd.path, &fields).into_bytes();
    request.resize(request.len() + BODY_BYTES, b'o');
    let (mut counts, mut latencies) = (Counts::default(), Histogram::default());
    let mut connection: Option<TcpStream> = None;
    sleep(REQUEST_PAUSE.mul_f64(number as f64 / crowd.ordinary as f64)).await;
    for sent in 0_u64.. {
        if Instant::now() >= end {
            break;
        }
        if sent.is_multiple_of(REQUESTS_PER_CONNECTION) {
            connection = None;
        }
        let sent_at = Instant::now();
        let mut reconnected = false;
        let exchanged = async {
            if let Some(open) = &mut connection {
                if let Ok(status) = exchange(open, &request).await {
                    return Ok(status);
                }
                reconnected = true;
            }
            let mut open = TcpStream::connect(crowd.entry).await?;
            let status = exchange(&mut open, &request).await;
            connection = Some(open);
            status
        };
        let status = timeout(REQUEST_TIMEOUT, exchanged).await;
        if sent_at >= from {
            counts.sent += 1;
            counts.reconnected += u64::from(reconnected);
            match status {
                Ok(Ok(200)) => {
                    counts.served += 1;
                    latencies.record(sent_at.elapsed());
                }
                Ok(Ok(_)) => counts.refused += 1,
                Ok(Err(_)) | Err(_) => counts.failed += 1,
            }
        }
        if !matches!(status, Ok(Ok(200))) {
            connection = None;
        }
        sleep(REQUEST_PAUSE).await;
    }
    (counts, latencies)
}

/// Checks readiness until `end`. Returns the failed checks, and the latencies of the others, from `from` on.
pub(super) async fn check_until(
    address: SocketAddr,
    from: Instant,
    end: Instant,
) -> (u64, Histogram) {
    let (mut failed, mut latencies) = (0, Histogram::default());
    while Instant::now() < end {
        let sent_at = Instant::now();
        let check = async {
            let mut tcp = TcpStream::connect(address).await?;
            exchange(&mut tcp, b"GET /readyz HTTP/1.1\r\nhost: check\r\n\r\n").await
        };
        let status = timeout(CHECK_TIMEOUT, check).await;
        if sent_at >= from {
            match status {
                Ok(Ok(200)) => latencies.record(sent_at.elapsed()),
                _ => failed += 1,
            }
        }
        sleep(CHECK_INTERVAL).await;
    }
    (failed, latencies)
}

/// Sends a request and reads the answer, which states its length. Returns its status.
async fn exchange(tcp: &mut TcpStream, request: &[u8]) -> io::Result<u16> {
    tcp.write_all(request).await?;
    let malformed = || io::Error::from(io::ErrorKind::InvalidData);
    let mut received = Vec::new();
    loop {
        if tcp.read_buf(&mut received).await? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let Some(end) = received.windows(4).position(|window| window == b"\r\n\r\n") else {
            continue;
        };
        let head = String::from_utf8_lossy(&received[..end]).to_lowercase();
        let length = head.lines().find_map(|line| line.strip_prefix("content-length: "));
        let length: usize = length.and_then(|text| text.parse().ok()).ok_or_else(malformed)?;
        let status = head.get(9..12).and_then(|text| text.parse().ok()).ok_or_else(malformed)?;
        while received.len() < end + 4 + length {
            if tcp.read_buf(&mut received).await? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        return Ok(status);
    }
}

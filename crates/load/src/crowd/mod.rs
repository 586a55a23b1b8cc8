//! Crowds of misbehaving callers beside a few ordinary ones, on loopback and bounded in count and time.

pub mod kind;
pub mod ordinary;
pub mod target;
pub mod usage;

use crate::measure::latency::Percentiles;
use kind::Kind;
use ordinary::Counts;
use serde::Serialize;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, sleep_until, timeout};
use usage::Usage;

/// Most connections of a crowd.
pub const CONNECTIONS_MAX: usize = 20_000;
/// Longest time of a crowd.
pub const TIME_MAX: Duration = Duration::from_secs(300);
/// Time after the crowd within which a host must have released what it held for it.
const RELEASE_TIME: Duration = Duration::from_secs(10);
/// Time for which ordinary callers run alone before the crowd.
const LEAD_TIME: Duration = Duration::from_secs(2);
/// Pause of a misbehaving caller before it connects again, after the host closed its connection.
const RECONNECT_PAUSE: Duration = Duration::from_millis(500);

/// A crowd, and the host against which it is played.
#[derive(Clone, Debug)]
pub struct Crowd {
    /// Address for callers.
    pub entry: SocketAddr,
    /// Address for readiness checks.
    pub readiness: Option<SocketAddr>,
    /// Process of the host.
    pub pid: Option<u32>,
    /// Kinds of misbehaving callers, of which there are as many of each.
    pub kinds: Vec<Kind>,
    /// Connections of the crowd.
    pub connections: usize,
    /// Time for which the crowd stays.
    pub time: Duration,
    /// Ordinary callers.
    pub ordinary: usize,
    /// Value of the `host` header.
    pub host: String,
    /// Path that a route serves.
    pub path: String,
    /// Key of the callers, if the host needs one.
    pub key: Option<String>,
    /// Bytes of a body of legal size.
    pub body_bytes: usize,
}

/// What a crowd did to a host.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// Kinds of the crowd.
    pub kinds: Vec<&'static str>,
    /// Connections of the crowd.
    pub connections: usize,
    /// Ordinary requests while the crowd was there.
    pub ordinary: Counts,
    /// Share of these that were served.
    pub served_share: f64,
    /// Latency of those that were served.
    pub latency: Percentiles,
    /// Readiness checks that failed.
    pub readiness_failed: u64,
    /// Latency of readiness checks.
    pub readiness: Percentiles,
    /// Longest readiness check, in milliseconds.
    pub readiness_max_ms: f64,
    /// Resources of the host before the crowd.
    pub before: Usage,
    /// Highest use of each resource.
    pub peak: Usage,
    /// Resources of the host at the end of the time for their release.
    pub after: Usage,
}

impl Crowd {
    /// Plays the crowd beside ordinary callers, and reports what these got and what the host used.
    pub async fn play(self) -> Report {
        let crowd = Arc::new(self);
        let crowd_from = Instant::now() + LEAD_TIME;
        let end = crowd_from + crowd.time;
        let mut callers = JoinSet::new();
        for number in 0..crowd.ordinary {
            callers.spawn(ordinary::call_until(crowd.clone(), number, crowd_from, end));
        }
        let mut checks = JoinSet::new();
        if let Some(address) = crowd.readiness {
            checks.spawn(ordinary::check_until(address, crowd_from, end));
        }
        let watched = (crowd.pid, crowd.entry);
        let sampling = tokio::spawn(usage::peak_until(watched.0, watched.1, end));
        sleep_until(crowd_from).await;
        let before = usage::sample(watched.0, watched.1);
        let mut misbehaving = JoinSet::new();
        for number in 0..crowd.connections {
            misbehaving.spawn(misbehave(crowd.clone(), number, end));
        }
        let (mut counts, mut latency) = (Counts::default(), ordinary::histogram());
        while let Some(Ok((of_caller, latencies))) = callers.join_next().await {
            counts.add(&of_caller);
            latency.add(&latencies);
        }
        let (mut readiness_failed, mut readiness) = (0, ordinary::histogram());
        while let Some(Ok((failed, latencies))) = checks.join_next().await {
            readiness_failed += failed;
            readiness.add(&latencies);
        }
        misbehaving.shutdown().await;
        let peak = sampling.await.unwrap_or_default();
        sleep(RELEASE_TIME).await;
        Report {
            kinds: crowd.kinds.iter().map(|kind| kind.name()).collect(),
            connections: crowd.connections,
            served_share: counts.served_share(),
            ordinary: counts,
            latency: latency.percentiles(),
            readiness_failed,
            readiness_max_ms: readiness.max_ms(),
            readiness: readiness.percentiles(),
            before,
            peak,
            after: usage::sample(watched.0, watched.1),
        }
    }
}

/// Plays one connection of the crowd again and again until `end`.
async fn misbehave(crowd: Arc<Crowd>, number: usize, end: Instant) {
    let kind = crowd.kinds[number % crowd.kinds.len()];
    let played = async {
        loop {
            // Errors are those of a connection that the host closed.
            let _ = kind.play(&crowd, number / crowd.kinds.len()).await;
            sleep(RECONNECT_PAUSE).await;
        }
    };
    let _ = timeout(end.saturating_duration_since(Instant::now()), played).await;
}

impl Report {
    /// Returns the report as text.
    pub fn text(&self) -> String {
        let Report { ordinary, latency, readiness, .. } = self;
        let usage = |name: &str, usage: &Usage| {
            format!(
                "{name}: rss {:.1} MiB, descriptors {}, connections {}, unread {:.1} MiB, unsent {:.1} MiB\n",
                usage.rss_bytes as f64 / f64::from(1 << 20),
                usage.descriptors,
                usage.connections,
                usage.unread_bytes as f64 / f64::from(1 << 20),
                usage.unsent_bytes as f64 / f64::from(1 << 20),
            )
        };
        format!(
            "crowd: {} connections, {}\nordinary: {} sent, {} served ({:.4}), {} refused, {} failed, {} reconnected; p50 {:.1} ms, p95 {:.1} ms, p99 {:.1} ms\nreadiness: {} checks, {} failed; p50 {:.1} ms, p99 {:.1} ms, max {:.1} ms\n{}{}{}",
            self.connections,
            self.kinds.join(" "),
            ordinary.sent,
            ordinary.served,
            self.served_share,
            ordinary.refused,
            ordinary.failed,
            ordinary.reconnected,
            latency.p50_ms,
            latency.p95_ms,
            latency.p99_ms,
            readiness.count + self.readiness_failed,
            self.readiness_failed,
            readiness.p50_ms,
            readiness.p99_ms,
            self.readiness_max_ms,
            usage("before", &self.before),
            usage("peak", &self.peak),
            usage("after 10 s", &self.after),
        )
    }
}

//! Load balancer of the platform: distributes requests round-robin over the entry hosts that report
//! ready.

use chestnutrack_harness::Fleet;
use chestnutrack_process::http;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;
use tokio::task::JoinHandle;

/// Interval between readiness polls of an entry host.
const POLL_INTERVAL: Duration = Duration::from_millis(250);
/// Timeout of a readiness poll.
const POLL_TIMEOUT: Duration = Duration::from_millis(500);
/// Largest response to a readiness poll, in bytes.
const RESPONSE_BYTES_MAX: usize = 1_024;

/// An entry host and its last known readiness.
struct EntryHost {
    address: SocketAddr,
    ready: Arc<AtomicBool>,
    poll_task: JoinHandle<()>,
}

/// Round-robin load balancer. Its polls stop when it is dropped.
pub(super) struct Balancer {
    entries: Vec<EntryHost>,
    next: AtomicUsize,
}

impl Balancer {
    pub(super) fn start(fleet: &Fleet) -> Balancer {
        let entry = |index: u8| {
            let ready = Arc::new(AtomicBool::new(true));
            let poll_task = tokio::spawn(poll_readiness(fleet.entry_admin(index), ready.clone()));
            EntryHost { address: fleet.entry(index), ready, poll_task }
        };
        let entries = (0..fleet.settings.entries).map(entry).collect();
        Balancer { entries, next: AtomicUsize::new(0) }
    }

    /// Returns the address of the next ready entry host in round-robin order, or of the next one if
    /// none is ready.
    pub(super) fn pick(&self) -> SocketAddr {
        let start = self.next.fetch_add(1, Ordering::Relaxed);
        let in_order = || self.entries.iter().cycle().skip(start % self.entries.len());
        let ready =
            in_order().take(self.entries.len()).find(|entry| entry.ready.load(Ordering::Relaxed));
        let picked = ready.or_else(|| in_order().next());
        picked.map_or(SocketAddr::from(([127, 0, 0, 1], 0)), |entry| entry.address)
    }
}

impl Drop for Balancer {
    fn drop(&mut self) {
        self.entries.iter().for_each(|entry| entry.poll_task.abort());
    }
}

async fn poll_readiness(admin: SocketAddr, ready: Arc<AtomicBool>) {
    loop {
        ready.store(is_ready(admin).await, Ordering::Relaxed);
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

async fn is_ready(admin: SocketAddr) -> bool {
    let Ok(request) = http::request("GET", "/readyz", "") else {
        return false;
    };
    let answer = http::call(admin, request, POLL_TIMEOUT, RESPONSE_BYTES_MAX).await;
    answer.is_ok_and(|answer| answer.status() == hyper::StatusCode::OK)
}

//! The platform's balancer: it sends callers to entry hosts that say that they are ready.

use chestnutrack_harness::Fleet;
use chestnutrack_process::http;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;
use tokio::task::JoinHandle;

/// Time between two looks at an entry host.
const PERIOD: Duration = Duration::from_millis(250);
/// Longest time for an entry host to say that it is ready.
const LIMIT: Duration = Duration::from_millis(500);
/// Largest answer, in bytes.
const ANSWER_BYTES_MAX: usize = 1_024;

struct Entry {
    callers: SocketAddr,
    ready: Arc<AtomicBool>,
    watch: JoinHandle<()>,
}

/// The balancer; it stops looking when it is dropped.
pub(super) struct Balancer {
    entries: Vec<Entry>,
    next: AtomicUsize,
}

impl Balancer {
    pub(super) fn start(fleet: &Fleet) -> Balancer {
        let entry = |index: u8| {
            let ready = Arc::new(AtomicBool::new(true));
            let watch = tokio::spawn(watch(fleet.entry_admin(index), ready.clone()));
            Entry { callers: fleet.entry(index), ready, watch }
        };
        let entries = (0..fleet.settings.entries).map(entry).collect();
        Balancer { entries, next: AtomicUsize::new(0) }
    }

    /// The next entry host in turn that is ready; the next in turn where none is.
    pub(super) fn pick(&self) -> SocketAddr {
        let turn = self.next.fetch_add(1, Ordering::Relaxed);
        let inorder = || self.entries.iter().cycle().skip(turn % self.entries.len());
        let ready =
            inorder().take(self.entries.len()).find(|entry| entry.ready.load(Ordering::Relaxed));
        let picked = ready.or_else(|| inorder().next());
        picked.map_or(SocketAddr::from(([127, 0, 0, 1], 0)), |entry| entry.callers)
    }
}

impl Drop for Balancer {
    fn drop(&mut self) {
        self.entries.iter().for_each(|entry| entry.watch.abort());
    }
}

async fn watch(admin: SocketAddr, ready: Arc<AtomicBool>) {
    loop {
        ready.store(is_ready(admin).await, Ordering::Relaxed);
        tokio::time::sleep(PERIOD).await;
    }
}

async fn is_ready(admin: SocketAddr) -> bool {
    let Ok(request) = http::request("GET", "/readyz", "") else {
        return false;
    };
    let answer = http::call(admin, request, LIMIT, ANSWER_BYTES_MAX).await;
    answer.is_ok_and(|answer| answer.status() == hyper::StatusCode::OK)
}

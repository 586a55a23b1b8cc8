//! Servers that name the requests a second that they take from all hosts together.

use crate::fixture::backend::{Backend, ReceivedRequest, Step, answer, send};
use crate::fixture::caller::{Answer, call, request};
use crate::fixture::store::{register, start_store};
use crate::fixture::{Host, host_with_settings, plain, settings, wait_until};
use chestnutrack_core::dispatch::Entry;
use chestnutrack_forward::follow::Registration;
use futures_util::future::join_all;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::time::sleep;

/// Requests a second that a limited server names.
const LIMIT: f64 = 4.0;
/// Window in which arrivals are counted.
const WINDOW: Duration = Duration::from_secs(4);
/// Time after the first answer with a limit from which on arrivals are counted.
const GRACE: Duration = Duration::from_millis(500);
/// Time that a server without a limit works on a request. Those with one are faster, so that they are preferred.
const WORK: Duration = Duration::from_millis(40);
/// Pause between the requests of one caller.
const PACE: Duration = Duration::from_millis(25);

/// Returns the requests that a server with a limit may get in [`WINDOW`].
fn allowed() -> usize {
    (LIMIT * WINDOW.as_secs_f64() * 1.5) as usize + 5
}

/// Returns an answer that names [`LIMIT`].
fn answer_with_limit(received: &ReceivedRequest) -> Vec<Step> {
    let id = received.header("x-chestnutrack-request").unwrap_or("-");
    let head = format!(
        "HTTP/1.1 200 OK\r\nx-chestnutrack-request: {id}\r\nx-chestnutrack-limit: {LIMIT}\r\ncontent-length: 0\r\n\r\n"
    );
    vec![send(head)]
}

fn answer_ok(received: &ReceivedRequest) -> Vec<Step> {
    vec![Step::Wait(WORK), answer(received, "200 OK", "fine")]
}

/// When requests arrived at a server.
type Arrivals = Arc<Mutex<Vec<Instant>>>;

/// Starts a server with a limit, and returns when requests arrive there.
async fn limited_server() -> (Backend, Arrivals) {
    let arrivals = Arrivals::default();
    let recorded = arrivals.clone();
    let backend = Backend::start(move |received| {
        recorded.lock().unwrap().push(Instant::now());
        answer_with_limit(received)
    });
    (backend.await, arrivals)
}

/// Returns the most arrivals in any [`WINDOW`] that begins [`GRACE`] after the first one or later.
fn most_in_window(arrivals: &Arrivals) -> usize {
    let arrivals = arrivals.lock().unwrap();
    let Some(first) = arrivals.first() else { return 0 };
    let counted: Vec<&Instant> = arrivals.iter().filter(|at| **at - *first >= GRACE).collect();
    let in_window = |start: &Instant| {
        counted.iter().filter(|at| ***at >= *start && ***at - *start < WINDOW).count()
    };
    counted.iter().map(|start| in_window(start)).max().unwrap_or(0)
}

/// Hosts that report to each other.
struct Fleet {
    hosts: Vec<Host>,
    _registrations: Vec<Arc<Registration>>,
}

impl Fleet {
    /// Starts `count` hosts that know the given servers.
    async fn start(count: usize, servers: &[Entry]) -> Fleet {
        let client = start_store().await;
        let (mut hosts, mut registrations) = (Vec::new(), Vec::new());
        for n in 0..count {
            let host = host_with_settings(settings(&format!("host-{n}")), servers.to_vec()).await;
            registrations.push(register(&host.app, &client).await);
            hosts.push(host);
        }
        for host in &hosts {
            wait_until(|| host.app.metrics.peers.get() == count as i64 - 1).await;
        }
        Fleet { hosts, _registrations: registrations }
    }

    /// Has each host serve one caller that sends a request every [`PACE`] for `duration`, and returns the answers.
    async fn send_for(&self, duration: Duration, text: &str) -> Vec<Answer> {
        let until = Instant::now() + duration;
        let callers = self.hosts.iter().map(async |host| {
            let mut answers = Vec::new();
            while Instant::now() < until {
                answers.push(call(host.address, text).await);
                sleep(PACE).await;
            }
            answers
        });
        join_all(callers).await.into_iter().flatten().collect()
    }
}

// Guards against hosts that send a server more requests than it takes from all of them together.
#[tokio::test]
async fn a_server_gets_no_more_requests_from_all_hosts_than_it_names() {
    let (limited, arrivals) = limited_server().await;
    let other = Backend::start(answer_ok).await;
    let fleet = Fleet::start(2, &[plain("app-1", &limited), plain("app-2", &other)]).await;

    let answers = fleet.send_for(GRACE + WINDOW, &request("GET", "/look/1", "", "")).await;

    let most = most_in_window(&arrivals);
    assert!(most <= allowed(), "{most} requests in 4 s, {} allowed", allowed());
    assert!(most as f64 >= LIMIT * WINDOW.as_secs_f64() / 2.0, "only {most} requests in 4 s");
    assert!(answers.iter().all(|answer| answer.status == 200));
}

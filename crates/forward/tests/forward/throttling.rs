//! Servers that name the requests a second that they take from all hosts together.

use crate::fixture::backend::{Backend, ReceivedRequest, Step, answer, event, send, stream_end};
use crate::fixture::caller::{Answer, call, generation, request};
use crate::fixture::store::{register, start_store};
use crate::fixture::{Host, decode, host_with_settings, plain, prefill, settings, wait_until};
use chestnutrack_core::dispatch::Entry;
use chestnutrack_forward::follow::Registration;
use futures_util::future::join_all;
use std::sync::atomic::{AtomicBool, Ordering};
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

/// Returns an answer that names a limit.
fn answer_with_limit(received: &ReceivedRequest, limit: &str, body: &str) -> Vec<Step> {
    let id = received.header("x-chestnutrack-request").unwrap_or("-");
    let length = body.len();
    vec![send(format!(
        "HTTP/1.1 200 OK\r\nx-chestnutrack-request: {id}\r\nx-chestnutrack-limit: {limit}\r\ncontent-length: {length}\r\n\r\n{body}"
    ))]
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
        answer_with_limit(received, &LIMIT.to_string(), "")
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

// Guards against requests that are held, or refused without a time, when no server takes them.
#[tokio::test]
async fn callers_that_no_server_takes_are_told_at_once_when_to_come_back() {
    let (limited, _) = limited_server().await;
    let host = host_with_settings(settings("host"), vec![plain("app-1", &limited)]).await;
    let text = request("POST", "/pay/1", "", "");
    let mut answer = call(host.address, &text).await;
    while answer.status == 200 {
        answer = call(host.address, &text).await;
    }

    let asked_at = Instant::now();
    let refused = call(host.address, &text).await;

    let retry_after: f64 = refused.header("retry-after").unwrap().parse().unwrap();
    assert_eq!(refused.status, 503);
    assert!(asked_at.elapsed() < Duration::from_millis(500));
    assert!((0.2..=8.0).contains(&retry_after), "{retry_after}");
}

// Guards against a limit that outlasts the server's need.
#[tokio::test]
async fn a_server_that_names_its_limit_no_more_is_used_again() {
    let needy = Arc::new(AtomicBool::new(true));
    let is_needy = needy.clone();
    let backend = Backend::start(move |received| match is_needy.load(Ordering::Relaxed) {
        true => answer_with_limit(received, "2", ""),
        false => vec![answer(received, "200 OK", "fine")],
    })
    .await;
    let fleet = Fleet::start(2, &[plain("app-1", &backend)]).await;
    let text = request("GET", "/look/1", "", "");
    let limited = fleet.send_for(Duration::from_secs(2), &text).await;

    needy.store(false, Ordering::Relaxed);
    fleet.send_for(Duration::from_secs(2), &text).await;
    let answers = fleet.send_for(Duration::from_secs(1), &text).await;

    assert!(limited.iter().any(|answer| answer.status == 503));
    assert!(answers.iter().all(|answer| answer.status == 200));
}

// Guards against a host that starts and sends a limited server as much as any other.
#[tokio::test]
async fn a_host_that_joins_learns_of_limits_from_its_peers() {
    let (limited, _) = limited_server().await;
    let client = start_store().await;
    let first = host_with_settings(settings("first"), vec![plain("app-1", &limited)]).await;
    let _first = register(&first.app, &client).await;
    let text = request("POST", "/pay/1", "", "");
    while call(first.address, &text).await.status == 200 {}

    let second = host_with_settings(settings("second"), vec![plain("app-1", &limited)]).await;
    let _second = register(&second.app, &client).await;

    let before = limited.request_count();
    wait_until(|| second.app.throttled_retry_after(&"app".into()).is_some()).await;
    assert!(limited.request_count() - before <= 1);
}

// Guards against prefills, and generations, that don't count as requests to an engine.
#[tokio::test]
async fn engines_get_no_more_requests_than_they_name() {
    let prefilling =
        Backend::start(|received| answer_with_limit(received, "4", r#"{"handle":"kept-1"}"#)).await;
    let (limited, unlimited) = (stream_server(true).await, stream_server(false).await);
    let engines = [prefill("p-1", &prefilling), decode("d-1", &limited), decode("d-2", &unlimited)];
    let fleet = Fleet::start(2, &engines).await;

    let answers = fleet.send_for(WINDOW, &generation("/digest/1")).await;

    for (engine, name) in [(&prefilling, "prefill"), (&limited, "decode")] {
        let arrived = engine.request_count();
        assert!(arrived <= allowed(), "{name}: {arrived} requests in 4 s");
    }
    assert!(answers.iter().all(|answer| answer.status == 200));
}

/// Starts an engine that generates two events.
async fn stream_server(is_limited: bool) -> Backend {
    Backend::start(move |received| {
        let id = received.header("x-chestnutrack-request").unwrap_or("-");
        let limit = if is_limited { "x-chestnutrack-limit: 4\r\n" } else { "" };
        let head = format!(
            "HTTP/1.1 200 OK\r\nx-chestnutrack-request: {id}\r\n{limit}transfer-encoding: chunked\r\n\r\n"
        );
        vec![send(head), event(1), event(2), stream_end()]
    })
    .await
}

#[tokio::test]
async fn a_limit_that_cannot_be_read_is_ignored() {
    for value in ["", "-1", "NaN", "four", "4,4"] {
        let backend = Backend::start(move |received| answer_with_limit(received, value, "")).await;
        let host = host_with_settings(settings("host"), vec![plain("app-1", &backend)]).await;

        for _ in 0..20 {
            let answer = call(host.address, &request("POST", "/pay/1", "", "")).await;
            assert_eq!(answer.status, 200, "{value}");
        }
    }
}

//! Servers that are cold for some seconds after they have started.

use crate::fixture::backend::{Backend, ReceivedRequest, Step, answer, event, send, stream_end};
use crate::fixture::caller::{Answer, call, generation, request};
use crate::fixture::store::{register, start_store};
use crate::fixture::{
    Host, app_with, config, decode, host_with_settings, plain, prefill, settings, wait_until,
};
use chestnutrack_core::dispatch::{Change, Entry};
use chestnutrack_forward::config::{ColdStart, Config};
use chestnutrack_forward::follow::{Follower, Registration};
use chestnutrack_forward::native;
use chestnutrack_wire::frame::ServerRecord;
use futures_util::future::join_all;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::time::sleep;

/// Requests per second that a cold server sustains.
const PER_S: f64 = 8.0;
/// Requests that it may get in any second.
const ALLOWED: usize = 17;
/// Time for which servers are cold.
const COLD: Duration = Duration::from_secs(4);
/// Time after which a host that knows the others has its share.
const JOINED: Duration = Duration::from_millis(2_300);

/// Returns the configuration of all tests, with a limit for cold servers.
fn cold_config() -> Config {
    let mut config = config();
    config.version = 2;
    for organisation in &mut config.organisations {
        (organisation.rate, organisation.burst) = (100_000_000, 100_000_000);
    }
    for service in &mut config.services {
        service.cold_start = Some(ColdStart { duration: COLD, per_s: Some(PER_S) });
    }
    config
}

/// When requests arrived at a server.
type Arrivals = Arc<Mutex<Vec<Instant>>>;

/// Starts a server, and returns when requests arrive there.
async fn server(script: fn(&ReceivedRequest) -> Vec<Step>) -> (Backend, Arrivals) {
    let arrivals = Arrivals::default();
    let recorded = arrivals.clone();
    let backend = Backend::start(move |received| {
        recorded.lock().unwrap().push(Instant::now());
        script(received)
    });
    (backend.await, arrivals)
}

fn answer_ok(received: &ReceivedRequest) -> Vec<Step> {
    vec![answer(received, "200 OK", "fine")]
}

fn answer_cold(received: &ReceivedRequest) -> Vec<Step> {
    let id = received.header("x-chestnutrack-request").unwrap_or("-");
    vec![send(format!(
        "HTTP/1.1 200 OK\r\nx-chestnutrack-request: {id}\r\nx-chestnutrack-cold-ms: 4000\r\ncontent-length: 0\r\n\r\n"
    ))]
}

fn stream(received: &ReceivedRequest) -> Vec<Step> {
    let id = received.header("x-chestnutrack-request").unwrap_or("-");
    let head = format!(
        "HTTP/1.1 200 OK\r\nx-chestnutrack-request: {id}\r\ntransfer-encoding: chunked\r\n\r\n"
    );
    vec![send(head), event(1), event(2), stream_end()]
}

/// Returns the most arrivals in any second.
fn most_in_a_second(arrivals: &Arrivals) -> usize {
    let arrivals = arrivals.lock().unwrap();
    let in_second = |start: &Instant| {
        arrivals
            .iter()
            .filter(|at| **at >= *start && **at - *start < Duration::from_secs(1))
            .count()
    };
    arrivals.iter().map(in_second).max().unwrap_or(0)
}

/// Hosts that report to each other and have had their shares for some time.
struct Fleet {
    hosts: Vec<Host>,
    _registrations: Vec<Arc<Registration>>,
}

impl Fleet {
    async fn start(count: usize) -> Fleet {
        let client = start_store().await;
        let (mut hosts, mut registrations) = (Vec::new(), Vec::new());
        for n in 0..count {
            let host = host_with_settings(settings(&format!("host-{n}")), Vec::new()).await;
            host.app.configure(cold_config(), b"{}".to_vec());
            registrations.push(register(&host.app, &client).await);
            hosts.push(host);
        }
        for host in &hosts {
            wait_until(|| host.app.metrics.peers.get() == count as i64 - 1).await;
        }
        sleep(JOINED).await;
        Fleet { hosts, _registrations: registrations }
    }

    /// Lists a server at all hosts.
    fn list(&self, entry: &Entry) {
        for host in &self.hosts {
            host.app.apply_change(Change::Put(entry.name.clone(), entry.clone()));
        }
    }

    /// Has each host serve four callers that send requests one after the other for `duration`, and returns the answers.
    async fn send_for(&self, duration: Duration, text: &str) -> Vec<Answer> {
        let until = Instant::now() + duration;
        let callers = self.hosts.iter().flat_map(|host| [host; 4]).map(async |host| {
            let mut answers = Vec::new();
            while Instant::now() < until {
                answers.push(call(host.address, text).await);
                sleep(Duration::from_millis(10)).await;
            }
            answers
        });
        join_all(callers).await.into_iter().flatten().collect()
    }
}

// Guards against a fleet that sends a server that has just started more than it takes, or nothing, while callers are refused.
#[tokio::test]
async fn a_server_that_starts_gets_no_more_than_a_cold_one_takes_and_then_everything() {
    let (backend, arrivals) = server(answer_ok).await;
    let fleet = Fleet::start(3).await;
    fleet.list(&plain("app-1", &backend));
    let text = request("POST", "/pay/1", "", "");

    let cold = fleet.send_for(COLD - Duration::from_millis(300), &text).await;
    let (most, total) = (most_in_a_second(&arrivals), arrivals.lock().unwrap().len());
    sleep(Duration::from_millis(600)).await;
    let warm = fleet.send_for(Duration::from_millis(500), &text).await;

    assert!(most <= ALLOWED, "{most} requests in a second, {ALLOWED} allowed");
    assert!(total as f64 >= PER_S * 2.0, "only {total} requests");
    let refused: Vec<&Answer> = cold.iter().filter(|answer| answer.status != 200).collect();
    assert!(!refused.is_empty());
    for answer in refused {
        let retry_after: f64 = answer.header("retry-after").unwrap().parse().unwrap();
        assert_eq!(answer.status, 503);
        assert!((0.1..=8.0).contains(&retry_after), "{retry_after}");
    }
    for answer in warm {
        assert_eq!(answer.status, 200);
    }
}

// Guards against full load on a server whose entry says that it has become cold.
#[tokio::test]
async fn a_server_that_becomes_cold_is_relieved_at_once_and_a_warm_one_takes_its_place() {
    let ((cold, arrivals), (warm, _)) = (server(answer_ok).await, server(answer_ok).await);
    let fleet = Fleet::start(2).await;
    let host = &fleet.hosts[0];
    fleet.list(&plain("app-1", &cold));
    fleet.list(&plain("app-2", &warm));
    // Servers that are listed during traffic are cold.
    wait_until(|| host.app.metrics.cold_servers.get() == 0).await;
    let text = request("POST", "/pay/1", "", "");
    fleet.send_for(Duration::from_millis(500), &text).await;

    arrivals.lock().unwrap().clear();
    fleet.list(&Entry { cold_ms: Some(3_000), ..plain("app-1", &cold) });
    let answers = fleet.send_for(Duration::from_secs(2), &text).await;

    for answer in answers {
        assert_eq!(answer.status, 200);
    }
    assert_eq!(arrivals.lock().unwrap().len(), 0);
    assert_eq!(host.app.metrics.cold_servers.get(), 1);
    assert_eq!(host.app.metrics.cold_changes.with_label_values(&["entry"]).get(), 1);
}

// Guards against a host that waits for the entry of a server that has said in an answer that it is cold.
#[tokio::test]
async fn a_server_that_says_in_an_answer_that_it_is_cold_is_relieved() {
    let (backend, _) = server(answer_cold).await;
    let fleet = Fleet::start(1).await;
    let host = &fleet.hosts[0];
    fleet.list(&plain("app-1", &backend));
    let text = request("POST", "/pay/1", "", "");
    wait_until(|| host.app.metrics.cold_servers.get() == 0).await;

    call(host.address, &text).await;

    assert_eq!(host.app.metrics.cold_changes.with_label_values(&["answer"]).get(), 1);
    let before = backend.request_count();
    fleet.send_for(Duration::from_secs(1), &text).await;
    assert!(backend.request_count() - before <= ALLOWED);
}

// Guards against prefills, generations and probes that don't count as requests to a cold engine.
#[tokio::test]
async fn cold_engines_get_no_more_requests_than_they_take() {
    let (prefiller, prefills) =
        server(|received| vec![answer(received, "200 OK", r#"{"handle":"kept-1"}"#)]).await;
    let (decoder, generations) = server(stream).await;
    let fleet = Fleet::start(3).await;
    fleet.list(&prefill("p-1", &prefiller));
    fleet.list(&decode("d-1", &decoder));

    let answers = fleet.send_for(COLD - Duration::from_millis(300), &generation("/digest/1")).await;

    for (arrivals, name) in [(&prefills, "prefill"), (&generations, "decode")] {
        let most = most_in_a_second(arrivals);
        assert!(most <= ALLOWED, "{name}: {most} requests in a second, {ALLOWED} allowed");
    }
    assert!(answers.iter().any(|answer| answer.status == 200));
}

// Guards against a host that sends a cold server requests before it knows how many other hosts there are.
#[tokio::test]
async fn a_host_that_knows_no_other_hosts_sends_cold_servers_nothing() {
    let (backend, arrivals) = server(answer_ok).await;
    let app = app_with(settings("host"));
    app.configure(cold_config(), b"{}".to_vec());
    app.record_servers_listed();
    let entry = plain("app-1", &backend);
    app.apply_change(Change::Put(entry.name.clone(), entry));

    assert!(app.throttled_retry_after(&"app".into()).is_some());
    assert!(arrivals.lock().unwrap().is_empty());
}

// Guards against a list that is read again and makes servers cold whose entries were written long ago.
#[tokio::test]
async fn an_entry_that_is_only_listed_again_says_nothing_new() {
    let (backend, _) = server(answer_ok).await;
    let app = app_with(settings("host"));
    app.configure(cold_config(), b"{}".to_vec());
    let follower = Follower::new(app.clone(), native::DIRECTORY);
    let list = |version| {
        let entry = Entry { cold_ms: Some(300), ..plain("app-1", &backend) };
        let entry = serde_json::to_vec(&entry).unwrap();
        let record = ServerRecord { name: "app-1".into(), version, entry };
        follower.apply_peer_servers("peer", vec![record]);
        app.throttled_retry_after(&"app".into()).is_some()
    };

    let first = list(1);
    sleep(Duration::from_millis(400)).await;
    let (again, written_again) = (list(1), list(2));

    assert_eq!((first, again, written_again), (true, false, true));
}

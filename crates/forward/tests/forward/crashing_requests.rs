//! Tests of single requests that end each server that runs them, and that come again.

use crate::fixture::backend::{
    Backend, ReceivedRequest, Step, answer, answer_prefill, complete_stream, stream_head,
};
use crate::fixture::caller::{Answer, call, request};
use crate::fixture::store::{register, start_store};
use crate::fixture::{Host, decode, host_with_settings, plain, prefill, settings, wait_until};
use chestnutrack_core::dispatch::{Change, Entry};
use chestnutrack_forward::follow::Registration;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::sleep;

/// Crashes after which a request has to be known.
const CRASHES_MAX: usize = 3;
/// Retries of it that may reach servers afterwards.
const RETRIES_MAX: usize = 3;
/// Pause between two requests. Hosts report to each other meanwhile.
const PACE: Duration = Duration::from_millis(100);
/// Time from when a server begins to run a request to the crash.
const CRASH_DELAY: Duration = Duration::from_millis(20);

fn is_deadly(received: &ReceivedRequest) -> bool {
    received.line.contains("deadly") || received.body.starts_with(b"deadly")
}

/// Ends the connection if the request is deadly, otherwise answers it.
fn serve_plain(received: &ReceivedRequest) -> Vec<Step> {
    match is_deadly(received) {
        true => vec![Step::Wait(CRASH_DELAY), Step::Reset],
        false => vec![answer(received, "200 OK", "fine")],
    }
}

/// Fails each request at once, without running it.
fn fail_plain(received: &ReceivedRequest) -> Vec<Step> {
    vec![answer(received, "500 Broken", "")]
}

/// Ends the connection after the head if the request is deadly, otherwise generates.
fn serve_stream(received: &ReceivedRequest) -> Vec<Step> {
    match is_deadly(received) {
        true => vec![stream_head(received), Step::Wait(CRASH_DELAY), Step::Reset],
        false => complete_stream(received),
    }
}

/// Servers and hosts that know each other. All servers restart before each request that [`Fleet::send`] sends.
struct Fleet {
    servers: Vec<Backend>,
    prefiller: Backend,
    hosts: Vec<Host>,
    _registrations: Vec<Arc<Registration>>,
}

impl Fleet {
    async fn start(hosts: usize) -> Fleet {
        Fleet::start_with(hosts, [serve_plain; 3]).await
    }

    /// Starts a fleet whose servers of the plain service run the given scripts.
    async fn start_with(hosts: usize, scripts: [fn(&ReceivedRequest) -> Vec<Step>; 3]) -> Fleet {
        let prefiller = Backend::start(answer_prefill).await;
        let mut servers = Vec::new();
        for script in scripts {
            servers.push(Backend::start(script).await);
        }
        for _ in 0..3 {
            servers.push(Backend::start(serve_stream).await);
        }
        let client = start_store().await;
        let (mut started, mut registrations) = (Vec::new(), Vec::new());
        for n in 0..hosts {
            let host = host_with_settings(settings(&format!("host-{n}")), Vec::new()).await;
            registrations.push(register(&host.app, &client).await);
            started.push(host);
        }
        let count = hosts as i64 - 1;
        for host in &started {
            wait_until(|| host.app.metrics.peers.get() == count).await;
        }
        let fleet = Fleet { servers, prefiller, hosts: started, _registrations: registrations };
        fleet.restart(1);
        fleet
    }

    /// Lists all servers as processes that started at `born`.
    fn restart(&self, born: u64) {
        for host in &self.hosts {
            let change = |entry: Entry| {
                let entry = Entry { born: Some(born), ..entry };
                host.app.apply_change(Change::Put(entry.name.clone(), entry));
            };
            change(prefill("prefill-1", &self.prefiller));
            for (n, server) in self.servers.iter().enumerate() {
                change(match n {
                    0..3 => plain(&format!("app-{n}"), server),
                    _ => decode(&format!("decode-{n}"), server),
                });
            }
        }
    }

    /// Sends a request `count` times, [`PACE`] apart and to the hosts in turn, and returns the last answer.
    async fn send(&self, text: &str, count: usize) -> Answer {
        let mut answer = Answer::default();
        for n in 0..count {
            self.restart(n as u64 + 2);
            answer = call(self.hosts[n % self.hosts.len()].address, text).await;
            sleep(PACE).await;
        }
        answer
    }

    /// Returns how many deadly requests have reached servers, prefills not counted.
    fn deadly_arrivals(&self) -> usize {
        let received = self.servers.iter().flat_map(Backend::received);
        received.filter(is_deadly).count()
    }
}

fn assert_stopped(fleet: &Fleet, answer: &Answer) {
    let arrivals = fleet.deadly_arrivals();
    assert!(arrivals <= CRASHES_MAX + RETRIES_MAX, "{arrivals} requests reached servers");
    assert_eq!(answer.status, 503);
    assert!(answer.header("retry-after").is_some());
}

/// Returns the text of a request for a generation.
fn generation(path: &str, parts: &str, body: &str) -> String {
    let headers = format!("x-chestnutrack-tokens: 100,50\r\n{parts}");
    request("POST", path, &headers, body)
}

// Guards against a look-up that ends one server of a plain service after the other.
#[tokio::test]
async fn a_plain_request_that_ends_each_server_reaches_no_more_of_them() {
    let fleet = Fleet::start(1).await;

    let answer = fleet.send(&request("GET", "/look/deadly", "", ""), 12).await;

    assert_stopped(&fleet, &answer);
}

// Guards against a request that must land once and ends each server to which its caller sends it anew.
#[tokio::test]
async fn a_request_that_may_run_once_and_ends_each_server_reaches_no_more_of_them() {
    let fleet = Fleet::start(1).await;

    let answer = fleet.send(&request("POST", "/pay/1", "", "deadly"), 12).await;

    assert_stopped(&fleet, &answer);
}

// Guards against a generation that ends one engine after the other by what only it has.
#[tokio::test]
async fn a_generation_that_ends_each_engine_reaches_no_more_of_them() {
    for parts in ["", "x-chestnutrack-parts: family:20,own:50\r\n"] {
        let fleet = Fleet::start(1).await;

        let answer = fleet.send(&generation("/recap/7", parts, "deadly"), 12).await;

        assert_stopped(&fleet, &answer);
        let prefills = fleet.prefiller.request_count();
        assert!(prefills <= 2 * (CRASHES_MAX + RETRIES_MAX), "{prefills} prefills");
    }
}

// Guards against hosts of which each has to see all crashes itself.
#[tokio::test]
async fn crashes_of_one_request_at_three_hosts_are_put_together() {
    let fleet = Fleet::start(3).await;

    let answer = fleet.send(&request("POST", "/pay/1", "", "deadly"), 12).await;

    assert_stopped(&fleet, &answer);
}

// Guards against taking the failure of a server for a sign that it survived the request.
#[tokio::test]
async fn a_request_that_a_failing_server_answers_is_no_less_suspect() {
    let fleet = Fleet::start_with(1, [serve_plain, serve_plain, fail_plain]).await;

    let answer = fleet.send(&request("GET", "/look/deadly", "", ""), 16).await;

    let crashes: usize = fleet.servers[..2].iter().map(Backend::request_count).sum();
    assert!(crashes <= CRASHES_MAX + 1, "{crashes} crashes");
    assert_eq!(answer.status, 503);
}

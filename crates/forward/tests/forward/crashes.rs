//! Tests of requests with a part in their prompts under which engines end.

use crate::fixture::backend::{
    Backend, ReceivedRequest, Step, answer_prefill, complete_stream, event, events, stream_head,
    unframed_head,
};
use crate::fixture::caller::{Answer, call, request};
use crate::fixture::store::{
    HOSTS, control, host_at, register, start_store, start_store_with_address,
};
use crate::fixture::{
    Host, TEST_TIMEOUT, config, decode, host_with_settings, prefill, settings, wait_until,
};
use chestnutrack_core::cell::Cell;
use chestnutrack_core::dispatch::{Change, Entry};
use chestnutrack_store::client::Client;
use serde_json::json;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::{sleep, timeout};

/// Crashes after which a part of a prompt has to be known.
const CRASHES_MAX: usize = 5;
/// Hosts of a fleet of two cells besides those that run.
const OTHER_HOSTS: usize = 40;
/// Further requests with the part that may reach engines.
const REACH_MAX: usize = 3;

/// Ends without an event if the prompt has the part `bad`; otherwise completes the stream.
fn crash_on_bad_part(request: &ReceivedRequest) -> Vec<Step> {
    match has_bad_part(request) {
        true => vec![stream_head(request), Step::Wait(Duration::from_millis(20)), Step::Reset],
        false => complete_stream(request),
    }
}

fn has_bad_part(request: &ReceivedRequest) -> bool {
    request.header("x-chestnutrack-parts").is_some_and(|parts| parts.contains("bad:"))
}

/// Returns the text of a request for a generation whose prompt has the given parts.
fn generation_of(path: &str, parts: &str) -> String {
    let headers = format!("x-chestnutrack-tokens: 100,50\r\nx-chestnutrack-parts: {parts}\r\n");
    request("POST", path, &headers, "prompt")
}

/// Engines of which each is back, as a new process, as soon as it has ended.
struct Engines {
    prefiller: Backend,
    decoders: Vec<Backend>,
}

impl Engines {
    async fn start() -> Engines {
        Engines::start_with(crash_on_bad_part).await
    }

    /// Starts engines that generate by a script.
    async fn start_with(script: fn(&ReceivedRequest) -> Vec<Step>) -> Engines {
        let prefiller = Backend::start(answer_prefill).await;
        let mut decoders = Vec::new();
        for _ in 0..4 {
            decoders.push(Backend::start(script).await);
        }
        Engines { prefiller, decoders }
    }

    async fn host(&self, name: &str) -> Host {
        let decoders = self.decoders.iter().enumerate();
        let decoders = decoders.map(|(n, decoder)| decode(&format!("decode-{n}"), decoder));
        let servers = [prefill("prefill-1", &self.prefiller)].into_iter().chain(decoders);
        host_with_settings(settings(name), servers.collect()).await
    }

    /// Lists all engines as processes that started at `born`.
    fn restart(&self, host: &Host, born: u64) {
        for (n, decoder) in self.decoders.iter().enumerate() {
            let entry = Entry { born: Some(born), ..decode(&format!("decode-{n}"), decoder) };
            host.app.apply_change(Change::Put(entry.name.clone(), entry));
        }
    }

    /// Returns how many prompts were sent to be prefilled.
    fn prefills(&self) -> usize {
        let received = self.prefiller.received();
        received.iter().filter(|request| request.header("x-chestnutrack-step").is_some()).count()
    }

    /// Returns how many requests with the part `bad` have reached engines that generate.
    fn bad_arrivals(&self) -> usize {
        let received = self.decoders.iter().flat_map(Backend::received);
        received.filter(has_bad_part).count()
    }
}

/// Sends requests with the part `bad` one after the other to each host in turn, no two alike, and returns the last
/// answer.
async fn send_bad_requests(engines: &Engines, hosts: &[&Host], count: u64) -> Answer {
    let mut answer = Answer::default();
    for n in 0..count {
        let host = hosts[n as usize % hosts.len()];
        hosts.iter().for_each(|host| engines.restart(host, n + 2));
        answer = send(host, &format!("family:20,bad:30,own{n}:50")).await;
    }
    answer
}

/// Sends a request whose prompt has the given parts.
async fn send(host: &Host, parts: &str) -> Answer {
    call(host.address, &generation_of("/recap/7", parts)).await
}

/// Waits until a request with the part `bad` gets an answer with the given status.
async fn until_answered(host: &Host, status: u16) {
    let waiting = async {
        while send(host, "family:20,bad:30,own:50").await.status != status {
            sleep(Duration::from_millis(50)).await;
        }
    };
    timeout(TEST_TIMEOUT, waiting).await.expect("that status in time");
}

/// Waits until a host holds a pattern, without a request with the part.
async fn until_refused(engines: &Engines, host: &Host) {
    wait_until(|| host.app.metrics.quarantined.get() == 1).await;
    let arrivals = engines.bad_arrivals();
    assert_eq!(send(host, "family:20,bad:30,own:50").await.status, 503);
    assert_eq!(engines.bad_arrivals(), arrivals);
}

/// Returns the name of a host in a cell of a fleet of two cells.
fn name_in_cell(cell: u64) -> String {
    let mut names = (0..).map(|n| format!("a-host-{n}"));
    let is_in_cell = |name: &String| Cell::of(name, OTHER_HOSTS + 2).index_and_count().0 == cell;
    names.find(is_in_cell).unwrap()
}

/// Waits until the store holds one pattern, and returns its name and version.
async fn stored_pattern(client: &Client) -> (Arc<str>, u64) {
    let waiting = async {
        loop {
            let objects = client.list(HOSTS).await.unwrap().objects;
            let mut patterns =
                objects.into_iter().filter(|object| object.name.starts_with("quarantine-"));
            match (patterns.next(), patterns.next()) {
                (Some(object), None) => return (object.name, object.version),
                _ => sleep(Duration::from_millis(50)).await,
            }
        }
    };
    timeout(TEST_TIMEOUT, waiting).await.expect("one pattern in time")
}

/// Writes a pattern of the part `bad` to the store, and returns its version.
async fn store_pattern(client: &Client) -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
    let until_ms = (now + Duration::from_secs(60)).as_millis() as u64;
    let value = json!({ "parts": ["bad"], "until_ms": until_ms });
    client.create(HOSTS, "quarantine-1", &value).await.unwrap()
}

// Guards against a part of a prompt that ends one engine after the other.
#[tokio::test]
async fn a_part_of_a_prompt_under_which_engines_end_reaches_no_more_of_them() {
    let engines = Engines::start().await;
    let host = engines.host("host").await;

    let answer = send_bad_requests(&engines, &[&host], 12).await;

    let arrivals = engines.bad_arrivals();
    assert!(arrivals <= CRASHES_MAX + REACH_MAX, "{arrivals} requests reached engines");
    assert_eq!(answer.status, 503);
    assert!(answer.header("retry-after").is_some());
}

// Guards against refusing sound requests that share the caller and the other parts of the prompt.
#[tokio::test]
async fn sound_requests_with_the_other_parts_are_served() {
    let engines = Engines::start().await;
    let host = engines.host("host").await;

    send_bad_requests(&engines, &[&host], 12).await;
    engines.restart(&host, 100);

    for n in 0..4 {
        let answer = send(&host, &format!("family:20,good:30,own{n}:50")).await;

        assert_eq!((answer.status, answer.complete), (200, true));
    }
}

// Guards against hosts of which each has to see all crashes itself.
#[tokio::test]
async fn crashes_at_two_hosts_are_put_together() {
    let engines = Engines::start().await;
    let client = start_store().await;
    let (first, second) = (engines.host("first").await, engines.host("second").await);
    let _first = register(&first.app, &client).await;
    let _second = register(&second.app, &client).await;
    for host in [&first, &second] {
        wait_until(|| host.app.metrics.peers.get() == 1).await;
    }

    send_bad_requests(&engines, &[&first, &second], 16).await;

    let arrivals = engines.bad_arrivals();
    assert!(arrivals <= CRASHES_MAX + REACH_MAX, "{arrivals} requests reached engines");
    stored_pattern(&client).await;
}

// Guards against forgetting the part when all hosts are killed at once.
#[tokio::test]
async fn a_host_that_starts_refuses_a_part_that_the_store_holds_in_quarantine() {
    let engines = Engines::start().await;
    let client = start_store().await;
    store_pattern(&client).await;
    let host = engines.host("host").await;

    let _registration = register(&host.app, &client).await;

    until_answered(&host, 503).await;
    assert_eq!(send(&host, "family:20,good:30,own:50").await.status, 200);
}

// Guards against a part that stays in quarantine though the operator released it.
#[tokio::test]
async fn a_part_whose_object_is_deleted_from_the_store_is_released() {
    let engines = Engines::start().await;
    let client = start_store().await;
    let version = store_pattern(&client).await;
    let hosts = [engines.host("first").await, engines.host("second").await];
    let _first = register(&hosts[0].app, &client).await;
    let _second = register(&hosts[1].app, &client).await;
    for host in &hosts {
        until_answered(host, 503).await;
    }

    client.delete(HOSTS, "quarantine-1", version).await.unwrap();

    for host in &hosts {
        until_answered(host, 200).await;
    }
}

// Guards against losing the part with what a restored store has lost.
#[tokio::test]
async fn a_pattern_that_a_restored_store_has_lost_is_written_again() {
    let engines = Engines::start().await;
    let (client, address) = start_store_with_address().await;
    let host = engines.host("host").await;
    let _registration = register(&host.app, &client).await;
    wait_until(|| host.app.version() == config().version).await;
    control(address, "copy").await;
    send_bad_requests(&engines, &[&host], 8).await;
    let (name, version) = stored_pattern(&client).await;

    control(address, "restore").await;

    let (name_again, version_again) = stored_pattern(&client).await;
    assert_eq!(name, name_again);
    assert_ne!(version, version_again);
    until_answered(&host, 503).await;
}

// Guards against missing crashes of engines that send the head of an answer long before they begin to write it.
#[tokio::test]
async fn a_crash_long_after_the_head_and_before_the_first_event_counts() {
    let engines = Engines::start_with(|request| match has_bad_part(request) {
        true => vec![stream_head(request), Step::Wait(Duration::from_millis(1_100)), Step::Reset],
        false => complete_stream(request),
    })
    .await;
    let host = engines.host("host").await;

    let answer = send_bad_requests(&engines, &[&host], 10).await;

    let arrivals = engines.bad_arrivals();
    assert!(arrivals <= CRASHES_MAX + REACH_MAX, "{arrivals} requests reached engines");
    assert_eq!(answer.status, 503);
}

// Guards against taking an answer that ends with its connection, before its first event, for a whole one.
#[tokio::test]
async fn a_crash_that_ends_an_unframed_answer_before_its_first_event_counts() {
    let engines = Engines::start_with(|request| match has_bad_part(request) {
        true => {
            let head = unframed_head(request, "200 OK", "content-type: text/event-stream\r\n");
            vec![head, Step::Wait(Duration::from_millis(20)), Step::Close]
        }
        false => complete_stream(request),
    })
    .await;
    let host = engines.host("host").await;
    let first = send(&host, "family:20,bad:30,own:50").await;

    let last = send_bad_requests(&engines, &[&host], 10).await;

    let arrivals = engines.bad_arrivals();
    assert!(arrivals <= CRASHES_MAX + REACH_MAX, "{arrivals} requests reached engines");
    assert_eq!((first.complete, last.status), (false, 503));
}

// Guards against sending on a request that was waiting or being answered when its part was put into quarantine.
#[tokio::test]
async fn a_stream_that_breaks_is_not_resumed_once_its_part_is_in_quarantine() {
    let engines = Engines::start_with(|request| match has_bad_part(request) {
        true if request.header("last-event-id").is_some() => complete_stream(request),
        true => {
            let pause = Step::Wait(Duration::from_millis(500));
            let events = (1..=8).flat_map(|id| [event(id), pause.clone()]);
            [stream_head(request)].into_iter().chain(events).chain([Step::Reset]).collect()
        }
        false => complete_stream(request),
    })
    .await;
    let client = start_store().await;
    let host = engines.host("host").await;
    let _registration = register(&host.app, &client).await;
    wait_until(|| host.app.version() == config().version).await;
    let address = host.address;
    let request = generation_of("/recap/7", "family:20,bad:30,own:50");
    let call = tokio::spawn(async move { call(address, &request).await });
    wait_until(|| engines.bad_arrivals() == 1).await;

    store_pattern(&client).await;
    until_refused(&engines, &host).await;
    let answer = call.await.unwrap();

    assert_eq!((&*answer.body, answer.complete), (&*events(1, 8), false));
    assert_eq!(engines.bad_arrivals(), 1);
}

// Guards against charging an organisation for requests that are refused because of a part.
#[tokio::test]
async fn a_request_in_quarantine_costs_no_tokens_and_reaches_no_prefill_engine() {
    let engines = Engines::start().await;
    let client = start_store().await;
    store_pattern(&client).await;
    let host = engines.host("host").await;
    let _registration = register(&host.app, &client).await;
    until_answered(&host, 503).await;
    let prefills = engines.prefills();

    // Each request asks for 150 of 10,000 tokens.
    let mut statuses = Vec::new();
    for _ in 0..80 {
        statuses.push(send(&host, "family:20,bad:30,own:50").await.status);
    }
    let sound = send(&host, "family:20,good:30,own:50").await;

    assert!(statuses.iter().all(|status| *status == 503), "{statuses:?}");
    assert_eq!(sound.status, 200);
    assert_eq!(engines.prefills(), prefills + 1);
}

// Guards against cells of a large fleet of which each has to see all crashes itself.
#[tokio::test]
async fn crashes_at_hosts_of_two_cells_are_put_together() {
    let engines = Engines::start().await;
    let client = start_store().await;
    // The other hosts of the fleet are listed, but don't run.
    for n in 0..OTHER_HOSTS {
        let entry = json!(host_at(([127, 0, 0, 1], 9).into()));
        client.create(HOSTS, &format!("z-host-{n}"), &entry).await.unwrap();
    }
    let [first_name, second_name] = [0, 1].map(name_in_cell);
    let (first, second) = (engines.host(&first_name).await, engines.host(&second_name).await);
    let _first = register(&first.app, &client).await;
    let _second = register(&second.app, &client).await;
    for (cell, host) in [&first, &second].into_iter().enumerate() {
        wait_until(|| host.app.cell().index_and_count() == (cell as u64, 2)).await;
    }

    // Two crashes at each host, which is too few for one of them alone.
    for host in [&first, &second] {
        host.app.set_retry_burst(0);
    }
    send_bad_requests(&engines, &[&first, &second], 4).await;

    until_refused(&engines, &first).await;
    until_refused(&engines, &second).await;
    let arrivals = engines.bad_arrivals();
    assert!(arrivals <= CRASHES_MAX + REACH_MAX, "{arrivals} requests reached engines");
}

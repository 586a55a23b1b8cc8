//! Tests of the watcher and of the host list's poller during outages, gaps and stale responses.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

mod support;

use chestnutrack_standin::platform;
use chestnutrack_store::client::{self, CallKind, Client};
use chestnutrack_store::error::Error;
use chestnutrack_store::host::{Host, List, State};
use chestnutrack_store::poller;
use chestnutrack_store::watcher::{self, Event, RetryMode, Update};
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::time::Duration;
use support::{Action, TEST_TIMEOUT, post_control, scripted_server};
use tokio::sync::mpsc;
use tokio::time::timeout;

async fn stand_in() -> SocketAddr {
    support::platform(platform::Settings::default()).await
}

fn client(address: SocketAddr) -> Client {
    Client::new(address, client::Settings::default(), None)
}

fn settings() -> watcher::Settings {
    let wait = Duration::from_millis(200);
    let retry_min = Duration::from_millis(5);
    let retry_max = Duration::from_millis(50);
    watcher::Settings { watch_timeout: wait, retry_min, retry_max, ..watcher::Settings::default() }
}

/// Returns the next update, skipping failures.
async fn next_update(events: &mut mpsc::Receiver<Event>) -> Update {
    loop {
        let event = timeout(TEST_TIMEOUT, events.recv()).await.unwrap().unwrap();
        if let Event::Updated(update) = event {
            return update;
        }
    }
}

/// Returns the next update that is a snapshot or has changes: whether it is a snapshot, and the
/// names and values of its objects.
async fn next_change(events: &mut mpsc::Receiver<Event>) -> (bool, Vec<(String, Option<Value>)>) {
    loop {
        let update = next_update(events).await;
        if update.is_snapshot || !update.objects.is_empty() {
            let pair = |object: chestnutrack_store::object::Object| {
                (object.name.to_string(), object.value)
            };
            return (update.is_snapshot, update.objects.into_iter().map(pair).collect());
        }
    }
}

/// Returns the update, as from [`next_change`], that changes one object.
fn change_of(name: &str, value: Option<Value>) -> (bool, Vec<(String, Option<Value>)>) {
    (false, vec![(name.to_owned(), value)])
}

#[tokio::test]
async fn a_watcher_lists_once_and_then_reports_changes() {
    let client = client(stand_in().await);
    client.create("sides", "a", &json!(1)).await.unwrap();
    let mut events = watcher::start(client.clone(), "sides", settings());

    let first = next_change(&mut events).await;
    let version = client.create("sides", "b", &json!(2)).await.unwrap();
    let second = next_change(&mut events).await;
    client.delete("sides", "b", version).await.unwrap();
    let third = next_change(&mut events).await;

    assert_eq!(first, (true, vec![("a".to_owned(), Some(json!(1)))]));
    assert_eq!(second, change_of("b", Some(json!(2))));
    assert_eq!(third, change_of("b", None));
    assert_eq!(client.counters().calls(CallKind::List), 1);
}

#[tokio::test]
async fn an_empty_watch_response_confirms_the_known_state() {
    let client = client(stand_in().await);
    let mut events = watcher::start(client.clone(), "sides", settings());
    let first = next_update(&mut events).await;

    let second = next_update(&mut events).await;

    assert!(first.is_snapshot && !second.is_snapshot);
    assert!(second.objects.is_empty());
    assert!(second.sent > first.sent);
}

#[tokio::test]
async fn a_watcher_resumes_after_an_outage_without_a_list() {
    let address = stand_in().await;
    let client = client(address);
    let version = client.create("sides", "a", &json!(1)).await.unwrap();
    let mut events = watcher::start(client.clone(), "sides", settings());
    next_change(&mut events).await;

    post_control(address, "faults", json!({ "down": true })).await;
    support::wait_until(async || client.counters().failures(CallKind::Watch) > 3).await;
    post_control(address, "faults", json!({ "down": false })).await;
    client.replace("sides", "a", version, &json!(2)).await.unwrap();

    assert_eq!(next_change(&mut events).await, change_of("a", Some(json!(2))));
    assert_eq!(client.counters().calls(CallKind::List), 1);
}

#[tokio::test]
async fn a_watcher_that_starts_in_an_outage_lists_after_it() {
    let address = stand_in().await;
    let client = client(address);
    post_control(address, "faults", json!({ "down": true })).await;
    let mut events = watcher::start(client.clone(), "sides", settings());
    support::wait_until(async || client.counters().failures(CallKind::List) > 1).await;

    post_control(address, "faults", json!({ "down": false })).await;

    assert_eq!(next_change(&mut events).await, (true, vec![]));
}

#[tokio::test]
async fn a_watcher_reports_failed_calls() {
    let address = stand_in().await;
    post_control(address, "faults", json!({ "down": true })).await;

    let mut events = watcher::start(client(address), "sides", settings());
    let failed = timeout(TEST_TIMEOUT, events.recv()).await.unwrap().unwrap();

    assert!(matches!(failed, Event::Failed { error: Error::Unknown(_), .. }), "{failed:?}");
}

#[tokio::test]
async fn a_watcher_lists_again_after_a_gap_but_ignores_older_lists() {
    let lists = [
        r#"{"version":5,"objects":[{"name":"a","version":5,"value":"five","age_ms":0}]}"#,
        r#"{"version":3,"objects":[{"name":"a","version":3,"value":"three","age_ms":0}]}"#,
        r#"{"version":9,"objects":[{"name":"a","version":9,"value":"nine","age_ms":0}]}"#,
    ];
    let response = |text: &str| -> &'static str {
        format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{text}", text.len()).leak()
    };
    let compacted = "HTTP/1.1 410 Gone\r\ncontent-length: 0\r\n\r\n";
    let texts = [response(lists[0]), compacted, response(lists[1]), response(lists[2])];
    let client = client(scripted_server(texts.map(Action::KeepOpen).to_vec()).await);

    let mut events = watcher::start(client.clone(), "sides", settings());

    let snapshot = |value: &str| (true, vec![("a".to_owned(), Some(json!(value)))]);
    assert_eq!(next_change(&mut events).await, snapshot("five"));
    assert_eq!(next_change(&mut events).await, snapshot("nine"));
    assert_eq!(client.counters().calls(CallKind::List), 3);
}

#[tokio::test]
async fn with_list_after_failure_a_watcher_lists_after_a_cut_watch() {
    let list = |version: u64| -> &'static str {
        let object = format!(r#"{{"name":"a","version":{version},"value":{version},"age_ms":0}}"#);
        let text = format!(r#"{{"version":{version},"objects":[{object}]}}"#);
        format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{text}", text.len()).leak()
    };
    // The change made while the watch was cut is no longer held, so another watch would wait
    // forever.
    let actions = vec![
        Action::KeepOpen(list(5)),
        Action::Close(""),
        Action::KeepOpen(list(9)),
        Action::Hang(""),
    ];
    let client = client(scripted_server(actions).await);

    let settings = watcher::Settings { list_after_failure: true, ..settings() };
    let mut events = watcher::start(client.clone(), "sides", settings);

    assert_eq!(next_change(&mut events).await, (true, vec![("a".to_owned(), Some(json!(5)))]));
    assert_eq!(next_change(&mut events).await, (true, vec![("a".to_owned(), Some(json!(9)))]));
    assert_eq!(client.counters().calls(CallKind::List), 2);
}

#[tokio::test]
async fn a_relist_request_replaces_a_hanging_watch_by_a_list() {
    let list = |version: u64| -> &'static str {
        let text = format!(r#"{{"version":{version},"objects":[]}}"#);
        format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{text}", text.len()).leak()
    };
    // The watch never gets a response.
    let actions = vec![
        Action::KeepOpen(list(5)),
        Action::Hang(""),
        Action::KeepOpen(list(9)),
        Action::Hang(""),
    ];
    let client = client(scripted_server(actions).await);
    let wait = Duration::from_secs(60);
    let control = watcher::Control { watch_timeout: wait, ..settings().control() };
    let (control, controlled) = tokio::sync::watch::channel(control);
    let mut events = watcher::start_controlled(client.clone(), "sides", settings(), controlled);
    let first = next_update(&mut events).await;
    support::wait_until(async || client.counters().calls(CallKind::Watch) > 0).await;

    control.send_modify(|control| control.relist_requests += 1);
    let second = next_update(&mut events).await;

    assert_eq!((first.version, second.version, second.is_snapshot), (5, 9, true));
}

/// Waits for the next failure, skipping updates.
async fn next_failure(events: &mut mpsc::Receiver<Event>) {
    while matches!(timeout(TEST_TIMEOUT, events.recv()).await.unwrap().unwrap(), Event::Updated(_))
    {
    }
}

#[tokio::test]
async fn in_an_outage_only_the_leader_retries() {
    let address = stand_in().await;
    let client = client(address);
    let leader_settings = watcher::Settings { retry: RetryMode::Leader, ..settings() };
    let follower_settings = watcher::Settings { retry: RetryMode::Follower, ..settings() };
    let mut leader = watcher::start(client.clone(), "config", leader_settings);
    let mut follower = watcher::start(client.clone(), "sides", follower_settings);
    next_update(&mut leader).await;
    next_update(&mut follower).await;

    post_control(address, "faults", json!({ "down": true })).await;
    next_failure(&mut leader).await;
    next_failure(&mut follower).await;
    let (mut leader_failures, mut follower_failures) = (0, 0);
    while leader_failures < 8 {
        tokio::select! {
            () = next_failure(&mut leader) => leader_failures += 1,
            () = next_failure(&mut follower) => follower_failures += 1,
        }
    }
    post_control(address, "faults", json!({ "down": false })).await;
    next_update(&mut follower).await;

    // The follower may fail once more before the leader's first failure.
    assert!(follower_failures <= 1, "{follower_failures}");
}

#[tokio::test]
async fn a_retry_request_ends_the_backoff() {
    let address = stand_in().await;
    let client = client(address);
    let hour = Duration::from_secs(3_600);
    let slow_retry = watcher::Settings { retry_min: hour, retry_max: hour, ..settings() };
    let (control, controlled) = tokio::sync::watch::channel(slow_retry.control());
    let mut events = watcher::start_controlled(client, "sides", slow_retry, controlled);
    next_update(&mut events).await;
    post_control(address, "faults", json!({ "down": true })).await;
    next_failure(&mut events).await;
    post_control(address, "faults", json!({ "down": false })).await;

    control.send_modify(|control| control.retry_requests += 1);

    next_update(&mut events).await;
}

#[tokio::test]
async fn a_watcher_stops_when_its_receiver_is_dropped() {
    let client = client(stand_in().await);
    let events = watcher::start(client.clone(), "sides", settings());
    support::wait_until(async || client.counters().calls(CallKind::Watch) > 0).await;

    drop(events);
    tokio::time::sleep(Duration::from_millis(50)).await;
    let calls = client.counters().calls(CallKind::Watch);
    tokio::time::sleep(2 * settings().watch_timeout).await;

    assert_eq!(client.counters().calls(CallKind::Watch), calls);
}

#[tokio::test]
async fn a_poller_keeps_the_last_host_list_in_an_outage() {
    let address = stand_in().await;
    let client = client(address);
    let host = |state| Host { name: "h".into(), failure_domain: "d".into(), state };
    let list = |state| List { hosts: vec![host(state)] };
    post_control(address, "hosts", json!(list(State::Live))).await;
    let period = Duration::from_millis(10);
    let settings = poller::Settings { period, ..poller::Settings::default() };

    let mut readings = poller::start(client.clone(), settings);
    let shows = |state| {
        move |reading: &Option<poller::Reading>| {
            reading.as_ref().is_some_and(|reading| reading.list == list(state))
        }
    };
    timeout(TEST_TIMEOUT, readings.wait_for(shows(State::Live))).await.unwrap().unwrap();
    post_control(address, "faults", json!({ "down": true })).await;
    support::wait_until(async || client.counters().failures(CallKind::Hosts) > 1).await;
    let list_during_outage = readings.borrow().clone();
    post_control(address, "faults", json!({ "down": false })).await;
    post_control(address, "hosts", json!(list(State::Leaving))).await;

    assert_eq!(list_during_outage.unwrap().list, list(State::Live));
    timeout(TEST_TIMEOUT, readings.wait_for(shows(State::Leaving))).await.unwrap().unwrap();
}

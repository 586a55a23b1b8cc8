//! The watcher and the poller of the host list through outages, gaps and stale answers.

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
use support::{Act, PATIENCE, control, scripted};
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

/// The next update.
async fn update(events: &mut mpsc::Receiver<Event>) -> Update {
    loop {
        let event = timeout(PATIENCE, events.recv()).await.unwrap().unwrap();
        if let Event::Updated(update) = event {
            return update;
        }
    }
}

/// The next update that says anything: whether it is whole, and its objects.
async fn next(events: &mut mpsc::Receiver<Event>) -> (bool, Vec<(String, Option<Value>)>) {
    loop {
        let update = update(events).await;
        if update.is_snapshot || !update.objects.is_empty() {
            let pair = |object: chestnutrack_store::object::Object| {
                (object.name.to_string(), object.value)
            };
            return (update.is_snapshot, update.objects.into_iter().map(pair).collect());
        }
    }
}

fn changed(name: &str, value: Option<Value>) -> (bool, Vec<(String, Option<Value>)>) {
    (false, vec![(name.to_owned(), value)])
}

#[tokio::test]
async fn a_watcher_lists_once_and_then_hands_out_changes() {
    let client = client(stand_in().await);
    client.create("sides", "a", &json!(1)).await.unwrap();
    let mut events = watcher::start(client.clone(), "sides", settings());

    let first = next(&mut events).await;
    let version = client.create("sides", "b", &json!(2)).await.unwrap();
    let second = next(&mut events).await;
    client.delete("sides", "b", version).await.unwrap();
    let third = next(&mut events).await;

    assert_eq!(first, (true, vec![("a".to_owned(), Some(json!(1)))]));
    assert_eq!(second, changed("b", Some(json!(2))));
    assert_eq!(third, changed("b", None));
    assert_eq!(client.counters().calls(CallKind::List), 1);
}

#[tokio::test]
async fn a_watch_that_ends_empty_confirms_what_is_known() {
    let client = client(stand_in().await);
    let mut events = watcher::start(client.clone(), "sides", settings());
    let first = update(&mut events).await;

    let second = update(&mut events).await;

    assert!(first.is_snapshot && !second.is_snapshot);
    assert!(second.objects.is_empty());
    assert!(second.sent > first.sent);
}

#[tokio::test]
async fn a_watcher_goes_on_after_an_outage_where_it_was() {
    let address = stand_in().await;
    let client = client(address);
    let version = client.create("sides", "a", &json!(1)).await.unwrap();
    let mut events = watcher::start(client.clone(), "sides", settings());
    next(&mut events).await;

    control(address, "faults", json!({ "down": true })).await;
    support::until(async || client.counters().failures(CallKind::Watch) > 3).await;
    control(address, "faults", json!({ "down": false })).await;
    client.replace("sides", "a", version, &json!(2)).await.unwrap();

    assert_eq!(next(&mut events).await, changed("a", Some(json!(2))));
    assert_eq!(client.counters().calls(CallKind::List), 1);
}

#[tokio::test]
async fn a_watcher_that_starts_in_an_outage_lists_after_it() {
    let address = stand_in().await;
    let client = client(address);
    control(address, "faults", json!({ "down": true })).await;
    let mut events = watcher::start(client.clone(), "sides", settings());
    support::until(async || client.counters().failures(CallKind::List) > 1).await;

    control(address, "faults", json!({ "down": false })).await;

    assert_eq!(next(&mut events).await, (true, vec![]));
}

#[tokio::test]
async fn a_watcher_tells_of_calls_that_fail() {
    let address = stand_in().await;
    control(address, "faults", json!({ "down": true })).await;

    let mut events = watcher::start(client(address), "sides", settings());
    let failed = timeout(PATIENCE, events.recv()).await.unwrap().unwrap();

    assert!(matches!(failed, Event::Failed { error: Error::Unknown(_), .. }), "{failed:?}");
}

#[tokio::test]
async fn a_watcher_lists_again_after_a_gap_but_takes_nothing_older() {
    let lists = [
        r#"{"version":5,"objects":[{"name":"a","version":5,"value":"five","age_ms":0}]}"#,
        r#"{"version":3,"objects":[{"name":"a","version":3,"value":"three","age_ms":0}]}"#,
        r#"{"version":9,"objects":[{"name":"a","version":9,"value":"nine","age_ms":0}]}"#,
    ];
    let answer = |text: &str| -> &'static str {
        format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{text}", text.len()).leak()
    };
    let gone = "HTTP/1.1 410 Gone\r\ncontent-length: 0\r\n\r\n";
    let texts = [answer(lists[0]), gone, answer(lists[1]), answer(lists[2])];
    let client = client(scripted(texts.map(Act::Keep).to_vec()).await);

    let mut events = watcher::start(client.clone(), "sides", settings());

    let whole = |value: &str| (true, vec![("a".to_owned(), Some(json!(value)))]);
    assert_eq!(next(&mut events).await, whole("five"));
    assert_eq!(next(&mut events).await, whole("nine"));
    assert_eq!(client.counters().calls(CallKind::List), 3);
}

#[tokio::test]
async fn a_watcher_that_is_asked_to_lists_after_a_watch_that_was_cut() {
    let list = |version: u64| -> &'static str {
        let object = format!(r#"{{"name":"a","version":{version},"value":{version},"age_ms":0}}"#);
        let text = format!(r#"{{"version":{version},"objects":[{object}]}}"#);
        format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{text}", text.len()).leak()
    };
    // What changed while the watch was cut is forgotten: another watch would wait for good.
    let acts = vec![Act::Keep(list(5)), Act::Send(""), Act::Keep(list(9)), Act::Hold("")];
    let client = client(scripted(acts).await);

    let settings = watcher::Settings { list_after_failure: true, ..settings() };
    let mut events = watcher::start(client.clone(), "sides", settings);

    assert_eq!(next(&mut events).await, (true, vec![("a".to_owned(), Some(json!(5)))]));
    assert_eq!(next(&mut events).await, (true, vec![("a".to_owned(), Some(json!(9)))]));
    assert_eq!(client.counters().calls(CallKind::List), 2);
}

#[tokio::test]
async fn a_watch_that_is_doubted_is_given_up_for_a_list() {
    let list = |version: u64| -> &'static str {
        let text = format!(r#"{{"version":{version},"objects":[]}}"#);
        format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{text}", text.len()).leak()
    };
    // The watch was swallowed: no answer ever comes.
    let acts = vec![Act::Keep(list(5)), Act::Hold(""), Act::Keep(list(9)), Act::Hold("")];
    let client = client(scripted(acts).await);
    let wait = Duration::from_secs(60);
    let control = watcher::Control { watch_timeout: wait, ..settings().control() };
    let (control, controlled) = tokio::sync::watch::channel(control);
    let mut events = watcher::start_controlled(client.clone(), "sides", settings(), controlled);
    let first = update(&mut events).await;
    support::until(async || client.counters().calls(CallKind::Watch) > 0).await;

    control.send_modify(|control| control.relist_requests += 1);
    let second = update(&mut events).await;

    assert_eq!((first.version, second.version, second.is_snapshot), (5, 9, true));
}

/// The next failure.
async fn failure(events: &mut mpsc::Receiver<Event>) {
    while matches!(timeout(PATIENCE, events.recv()).await.unwrap().unwrap(), Event::Updated(_)) {}
}

#[tokio::test]
async fn in_an_outage_one_watcher_tries_for_the_others_of_its_client() {
    let address = stand_in().await;
    let client = client(address);
    let leads = watcher::Settings { retry: RetryMode::Leader, ..settings() };
    let follows = watcher::Settings { retry: RetryMode::Follower, ..settings() };
    let mut leader = watcher::start(client.clone(), "config", leads);
    let mut follower = watcher::start(client.clone(), "sides", follows);
    update(&mut leader).await;
    update(&mut follower).await;

    control(address, "faults", json!({ "down": true })).await;
    failure(&mut leader).await;
    failure(&mut follower).await;
    let (mut tries, mut follows) = (0, 0);
    while tries < 8 {
        tokio::select! {
            () = failure(&mut leader) => tries += 1,
            () = failure(&mut follower) => follows += 1,
        }
    }
    control(address, "faults", json!({ "down": false })).await;
    update(&mut follower).await;

    // Its call may have failed once more before the one that leads did.
    assert!(follows <= 1, "{follows}");
}

#[tokio::test]
async fn a_hint_ends_the_pause_after_a_failure() {
    let address = stand_in().await;
    let client = client(address);
    let hour = Duration::from_secs(3_600);
    let patient = watcher::Settings { retry_min: hour, retry_max: hour, ..settings() };
    let (control_of, controlled) = tokio::sync::watch::channel(patient.control());
    let mut events = watcher::start_controlled(client, "sides", patient, controlled);
    update(&mut events).await;
    control(address, "faults", json!({ "down": true })).await;
    failure(&mut events).await;
    control(address, "faults", json!({ "down": false })).await;

    control_of.send_modify(|control| control.retry_requests += 1);

    update(&mut events).await;
}

#[tokio::test]
async fn a_watcher_ends_with_its_reader() {
    let client = client(stand_in().await);
    let events = watcher::start(client.clone(), "sides", settings());
    support::until(async || client.counters().calls(CallKind::Watch) > 0).await;

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
    control(address, "hosts", json!(list(State::Live))).await;
    let period = Duration::from_millis(10);
    let settings = poller::Settings { period, ..poller::Settings::default() };

    let mut readings = poller::start(client.clone(), settings);
    let shows = |state| {
        move |reading: &Option<poller::Reading>| {
            reading.as_ref().is_some_and(|reading| reading.list == list(state))
        }
    };
    timeout(PATIENCE, readings.wait_for(shows(State::Live))).await.unwrap().unwrap();
    control(address, "faults", json!({ "down": true })).await;
    support::until(async || client.counters().failures(CallKind::Hosts) > 1).await;
    let kept = readings.borrow().clone();
    control(address, "faults", json!({ "down": false })).await;
    control(address, "hosts", json!(list(State::Leaving))).await;

    assert_eq!(kept.unwrap().list, list(State::Live));
    timeout(PATIENCE, readings.wait_for(shows(State::Leaving))).await.unwrap().unwrap();
}

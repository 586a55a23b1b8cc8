//! Tests of the object interface's client with the stand-in, its faults, and misbehaving servers.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

mod support;

use chestnutrack_standin::platform;
use chestnutrack_store::client::{CallKind, Client, Settings};
use chestnutrack_store::error::Error;
use chestnutrack_store::host::{Host, List, State};
use chestnutrack_store::object::VALUE_BYTES_MAX;
use prometheus::Registry;
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::time::Duration;
use support::{Action, get_control, post_control, scripted_server};

const SECOND: Duration = Duration::from_secs(1);

async fn stand_in() -> SocketAddr {
    support::platform(platform::Settings::default()).await
}

fn client(address: SocketAddr) -> Client {
    Client::new(address, Settings::default(), None)
}

/// Returns a client with short timeouts.
fn short_timeout_client(address: SocketAddr) -> Client {
    let timeout = Duration::from_millis(100);
    let settings = Settings {
        read_timeout: timeout,
        write_timeout: timeout,
        watch_grace: timeout,
        ..Settings::default()
    };
    Client::new(address, settings, None)
}

/// Returns an object's value that names its writer.
fn value_by(writer: &str) -> Value {
    json!({ "writer": writer })
}

#[tokio::test]
async fn objects_are_written_read_listed_and_deleted() {
    let client = client(stand_in().await);

    let version = client.create("claims", "a", &value_by("x")).await.unwrap();
    let newer = client.replace("claims", "a", version, &value_by("y")).await.unwrap();
    let read = client.read("claims", "a").await.unwrap();
    let list = client.list("claims").await.unwrap();
    let deleted = client.delete("claims", "a", newer).await.unwrap();

    assert!(version < newer && newer < deleted);
    assert_eq!((read.version, read.value), (newer, Some(value_by("y"))));
    assert_eq!((list.version, list.objects.len()), (newer, 1));
    assert_eq!(client.read("claims", "a").await, Err(Error::Missing));
    assert_eq!(client.list("claims").await.unwrap().objects, vec![]);
}

#[tokio::test]
async fn a_rate_limited_list_is_retried_and_not_restarted() {
    let settings = platform::Settings { reads_per_s: 2, ..platform::Settings::default() };
    let address = support::platform(settings).await;
    let client = client(address);
    client.create("claims", "a", &value_by("x")).await.unwrap();
    // Uses up the rate limit.
    while client.read("claims", "a").await.is_ok() {}

    let list = client.list("claims").await.unwrap();

    assert_eq!(list.objects.len(), 1);
}

#[tokio::test]
async fn a_write_under_another_version_is_a_conflict() {
    let client = client(stand_in().await);
    let version = client.create("claims", "a", &value_by("x")).await.unwrap();

    let again = client.create("claims", "a", &value_by("y")).await;
    let newer = client.replace("claims", "a", version + 1, &value_by("y")).await;
    let absent = client.replace("claims", "b", 7, &value_by("y")).await;
    let deleted = client.delete("claims", "a", version + 1).await;
    let nothing = client.delete("claims", "b", 1).await;

    assert_eq!(again, Err(Error::Conflict(version)));
    assert_eq!(newer, Err(Error::Conflict(version)));
    assert_eq!(absent, Err(Error::Conflict(0)));
    assert_eq!(deleted, Err(Error::Conflict(version)));
    assert_eq!(nothing, Err(Error::Missing));
}

#[tokio::test]
async fn a_watch_returns_changes_and_deletions_and_times_out_empty() {
    let address = stand_in().await;
    let client = client(address);
    let first = client.create("claims", "a", &value_by("x")).await.unwrap();

    let waiting = client.clone();
    let watch = tokio::spawn(async move { waiting.watch("claims", first, 10 * SECOND).await });
    support::wait_until(async || get_control(address, "counts").await["watch"] == 1).await;
    client.create("other", "b", &value_by("x")).await.unwrap();
    let second = client.delete("claims", "a", first).await.unwrap();

    let seen = watch.await.unwrap().unwrap();
    assert_eq!(seen.objects.len(), 1);
    assert_eq!((seen.objects[0].version, &seen.objects[0].value), (second, &None));
    let quiet = client.watch("claims", second, Duration::from_millis(20)).await.unwrap();
    assert_eq!((quiet.version, quiet.objects), (second, vec![]));
    assert_eq!(get_control(address, "counts").await["watch"], 2);
}

#[tokio::test]
async fn changes_of_the_host_list_are_visible_after_the_lag() {
    let lag = Duration::from_millis(300);
    let settings = platform::Settings { hosts_lag: lag, ..platform::Settings::default() };
    let address = support::platform(settings).await;
    let client = client(address);
    let list =
        |state| List { hosts: vec![Host { name: "h".into(), failure_domain: "d".into(), state }] };

    post_control(address, "hosts", json!(list(State::Live))).await;
    let first = client.hosts().await.unwrap();
    post_control(address, "hosts", json!(list(State::Leaving))).await;

    assert_eq!(first, list(State::Live));
    support::wait_until(async || client.hosts().await.unwrap() == list(State::Leaving)).await;
}

#[tokio::test]
async fn a_write_whose_response_is_lost_is_unknown_and_has_taken_effect() {
    let address = stand_in().await;
    let client = client(address);
    post_control(address, "faults", json!({ "lose_answers": 1 })).await;

    let lost = client.create("claims", "a", &value_by("x")).await;

    assert!(matches!(lost, Err(Error::Unknown(_))), "{lost:?}");
    assert_eq!(client.read("claims", "a").await.unwrap().value, Some(value_by("x")));
}

#[tokio::test]
async fn an_update_finds_its_own_write_after_a_lost_response() {
    let address = stand_in().await;
    let client = client(address);
    post_control(address, "faults", json!({ "lose_answers": 1 })).await;

    let version = client.replace_confirmed("claims", "a", 0, &value_by("x")).await.unwrap();

    let read = client.read("claims", "a").await.unwrap();
    assert_eq!((read.version, read.value), (version, Some(value_by("x"))));
    assert_eq!(get_control(address, "counts").await["write"], 1);
}

#[tokio::test]
async fn an_update_is_written_once_when_reads_are_stale() {
    let address = stand_in().await;
    let client = client(address);
    let version = client.create("claims", "a", &value_by("x")).await.unwrap();
    tokio::time::sleep(Duration::from_millis(120)).await;
    let faults = json!({ "lose_answers": 1, "stale_ms": 110 });
    post_control(address, "faults", faults).await;

    let newer = client.replace_confirmed("claims", "a", version, &value_by("y")).await.unwrap();

    post_control(address, "faults", json!({ "stale_ms": 0 })).await;
    let read = client.read("claims", "a").await.unwrap();
    assert_eq!((read.version, read.value), (newer, Some(value_by("y"))));
    assert_eq!(newer, version + 1);
}

#[tokio::test]
async fn an_overwritten_update_stays_unknown() {
    let other = "HTTP/1.1 200 OK\r\ncontent-length: 58\r\n\r\n\
                 {\"name\":\"a\",\"version\":9,\"value\":{\"writer\":\"y\"},\"age_ms\":0}";
    let client = client(scripted_server(vec![Action::Close(""), Action::KeepOpen(other)]).await);

    let outcome = client.replace_confirmed("claims", "a", 7, &value_by("x")).await;

    let Err(Error::Unknown(text)) = outcome else { panic!("{outcome:?}") };
    assert!(text.contains("version 9"), "{text}");
}

#[tokio::test]
async fn an_update_that_never_arrived_is_written_again() {
    let address = stand_in().await;
    let read_back_pause = Duration::from_millis(300);
    let settings = Settings { read_back_pause, read_back_attempts: 20, ..Settings::default() };
    let client = Client::new(address, settings, None);
    post_control(address, "faults", json!({ "down": true })).await;

    let updating = client.clone();
    let update =
        tokio::spawn(
            async move { updating.replace_confirmed("claims", "a", 0, &value_by("x")).await },
        );
    support::wait_until(async || get_control(address, "counts").await["write"] == 1).await;
    post_control(address, "faults", json!({ "down": false })).await;

    let version = update.await.unwrap().unwrap();
    assert_eq!(client.read("claims", "a").await.unwrap().version, version);
}

#[tokio::test]
async fn an_update_in_a_long_outage_is_unknown() {
    let address = stand_in().await;
    let client = client(address);
    post_control(address, "faults", json!({ "down": true })).await;

    let outcome = client.replace_confirmed("claims", "a", 0, &value_by("x")).await;

    assert!(matches!(outcome, Err(Error::Unknown(_))), "{outcome:?}");
}

#[tokio::test]
async fn a_call_to_an_unreachable_server_is_not_sent() {
    let (address, listener) = support::listener().await;
    drop(listener);
    let client = client(address);

    let outcomes = [
        client.read("claims", "a").await.map(|object| object.version),
        client.create("claims", "a", &value_by("x")).await,
        client.replace_confirmed("claims", "a", 0, &value_by("x")).await,
    ];

    for outcome in outcomes {
        assert!(matches!(outcome, Err(Error::NotSent(_))), "{outcome:?}");
    }
    assert_eq!(client.counters().calls(CallKind::Write), 2);
    assert_eq!(client.counters().failures(CallKind::Write), 2);
}

#[tokio::test]
async fn an_outage_cuts_waiting_watches() {
    let address = stand_in().await;
    let client = client(address);
    let waiting = client.clone();
    let watch = tokio::spawn(async move { waiting.watch("claims", 0, 60 * SECOND).await });
    support::wait_until(async || get_control(address, "counts").await["watch"] == 1).await;

    post_control(address, "faults", json!({ "down": true })).await;

    assert!(matches!(watch.await.unwrap(), Err(Error::Unknown(_))));
}

#[tokio::test]
async fn a_late_response_does_not_answer_another_call() {
    let late = "HTTP/1.1 200 OK\r\ncontent-length: 52\r\n\r\n\
                {\"name\":\"a\",\"version\":1,\"value\":\"late\",\"age_ms\":  0}";
    let next = "HTTP/1.1 200 OK\r\ncontent-length: 52\r\n\r\n\
                {\"name\":\"b\",\"version\":2,\"value\":\"next\",\"age_ms\":  0}";
    let actions = vec![Action::Delay(3 * SECOND / 2, late), Action::KeepOpen(next)];
    let client = client(scripted_server(actions).await);

    let first = client.read("claims", "a").await;
    tokio::time::sleep(SECOND).await;
    let second = client.read("claims", "b").await;

    assert!(matches!(first, Err(Error::Unknown(_))), "{first:?}");
    assert_eq!(second.unwrap().version, 2);
}

#[tokio::test]
async fn a_response_about_another_object_is_an_error() {
    let other = "HTTP/1.1 200 OK\r\ncontent-length: 45\r\n\r\n\
                 {\"name\":\"b\",\"version\":2,\"value\":1,\"age_ms\":0}";
    let client = client(scripted_server(vec![Action::KeepOpen(other)]).await);

    let read = client.read("claims", "a").await;

    let text = "`b` in place of `a`".to_owned();
    assert_eq!(read, Err(Error::Malformed("read".to_owned(), text)));
}

#[tokio::test]
async fn a_second_response_to_a_write_does_not_answer_another() {
    let twice = "HTTP/1.1 200 OK\r\ncontent-length: 13\r\n\r\n{\"version\":1}\
                 HTTP/1.1 200 OK\r\ncontent-length: 13\r\n\r\n{\"version\":2}";
    let once = "HTTP/1.1 200 OK\r\ncontent-length: 13\r\n\r\n{\"version\":3}";
    let client =
        client(scripted_server(vec![Action::KeepOpen(twice), Action::KeepOpen(once)]).await);

    let first = client.create("claims", "a", &value_by("x")).await;
    let second = client.create("claims", "b", &value_by("x")).await;

    assert_eq!((first, second), (Ok(1), Ok(3)));
}

#[tokio::test]
async fn calls_to_an_unresponsive_server_time_out() {
    let client = short_timeout_client(scripted_server(vec![]).await);

    let read = client.read("claims", "a").await;
    let write = client.create("claims", "a", &value_by("x")).await;
    let watch = client.watch("claims", 0, Duration::ZERO).await;

    assert!(matches!(read, Err(Error::Unknown(_))), "{read:?}");
    assert!(matches!(write, Err(Error::Unknown(_))), "{write:?}");
    assert!(matches!(watch, Err(Error::Unknown(_))), "{watch:?}");
}

#[tokio::test]
async fn a_write_with_a_truncated_response_is_unknown() {
    let part = "HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\n{\"version\":";
    let client =
        short_timeout_client(scripted_server(vec![Action::Hang(part), Action::Close(part)]).await);

    let silent = client.create("claims", "a", &value_by("x")).await;
    let cut = client.create("claims", "a", &value_by("x")).await;

    assert!(matches!(silent, Err(Error::Unknown(_))), "{silent:?}");
    assert!(matches!(cut, Err(Error::Unknown(_))), "{cut:?}");
}

#[tokio::test]
async fn malformed_responses_are_typed_errors() {
    let body = "HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\n{\"foo\":1}";
    let gateway = "HTTP/1.1 502 Bad Gateway\r\ncontent-length: 0\r\n\r\n";
    let busy = "HTTP/1.1 503 Busy\r\ncontent-length: 4\r\n\r\nbusy";
    let conflict = "HTTP/1.1 409 Conflict\r\ncontent-length: 2\r\n\r\n{}";
    let actions = [body, body, gateway, busy, conflict, "SSH-2.0-hello\r\n\r\n"].map(Action::Close);
    let client = client(scripted_server(actions.to_vec()).await);

    let read = client.read("claims", "a").await.unwrap_err();
    let write = client.create("claims", "a", &value_by("x")).await.unwrap_err();
    let gateway = client.create("claims", "a", &value_by("x")).await.unwrap_err();
    let busy = client.create("claims", "a", &value_by("x")).await.unwrap_err();
    let conflict = client.create("claims", "a", &value_by("x")).await.unwrap_err();
    let not_http = client.create("claims", "a", &value_by("x")).await.unwrap_err();

    assert!(matches!(&read, Error::Malformed(place, _) if place == "read"), "{read:?}");
    assert!(matches!(write, Error::Unknown(_)), "{write:?}");
    assert!(matches!(gateway, Error::Unknown(_)), "{gateway:?}");
    assert_eq!(busy, Error::Refused(503, "busy".to_owned()));
    assert_eq!(conflict, Error::Refused(409, "{}".to_owned()));
    assert!(matches!(not_http, Error::Unknown(_)), "{not_http:?}");
}

#[tokio::test]
async fn an_oversized_response_is_an_error() {
    let address = stand_in().await;
    let settings = Settings { response_bytes_max: 1_000, ..Settings::default() };
    let client = Client::new(address, settings, None);
    client.create("claims", "a", &json!("x".repeat(2_000))).await.unwrap();

    let read = client.read("claims", "a").await;

    assert!(matches!(&read, Err(Error::Unknown(text)) if text.contains("1000")), "{read:?}");
}

#[tokio::test]
async fn invalid_calls_are_not_sent() {
    let address = stand_in().await;
    let client = client(address);
    let large = json!("x".repeat(VALUE_BYTES_MAX));
    let long = "x".repeat(300);

    let outcomes = [
        client.create("claims", "a", &large).await,
        client.create("claims", "a/b", &value_by("x")).await,
        client.create("claims", "", &value_by("x")).await,
        client.create("claims", "a?b", &value_by("x")).await,
        client.create("claims", "..", &value_by("x")).await,
        client.create("claims", &long, &value_by("x")).await,
    ];

    for outcome in outcomes {
        assert!(matches!(outcome, Err(Error::NotSent(_))), "{outcome:?}");
    }
    assert_eq!(get_control(address, "counts").await["write"], 0);
}

#[tokio::test]
async fn calls_beyond_the_rate_limit_are_refused() {
    let settings = platform::Settings { writes_per_s: 1, ..platform::Settings::default() };
    let address = support::platform(settings).await;
    let client = client(address);

    let mut refused = 0;
    for index in 0..20 {
        let written = client.create("claims", &format!("a{index}"), &value_by("x")).await;
        refused += u32::from(matches!(written, Err(Error::Refused(429, _))));
    }

    assert!(refused > 0);
}

#[tokio::test]
async fn a_slow_interface_still_answers() {
    let address = stand_in().await;
    let client = client(address);
    post_control(address, "faults", json!({ "delay_ms": 50 })).await;

    let version = client.create("claims", "a", &value_by("x")).await.unwrap();

    assert_eq!(client.read("claims", "a").await.unwrap().version, version);
}

#[tokio::test]
async fn a_slow_write_that_times_out_may_take_effect() {
    let address = stand_in().await;
    let client = client(address);
    // The stand-in sleeps for half of the delay after the write has taken effect.
    post_control(address, "faults", json!({ "delay_ms": 1_500 })).await;

    let written = client.create("claims", "a", &value_by("x")).await;

    post_control(address, "faults", json!({ "delay_ms": 0 })).await;
    assert!(matches!(written, Err(Error::Unknown(_))), "{written:?}");
    support::wait_until(async || client.read("claims", "a").await.is_ok()).await;
}

#[tokio::test]
async fn calls_are_counted_by_kind_in_the_registry() {
    let registry = Registry::new();
    let client = Client::new(stand_in().await, Settings::default(), Some(&registry));

    client.create("claims", "a", &value_by("x")).await.unwrap();
    client.read("claims", "a").await.unwrap();
    client.read("claims", "a").await.unwrap();

    let families = registry.gather();
    let made = families.iter().find(|family| family.name() == "chestnutrack_platform_calls_total");
    let counts = made.unwrap().get_metric().iter().map(|metric| {
        (metric.get_label()[0].value().to_owned(), metric.get_counter().get_value() as u64)
    });
    let counts: Vec<_> = counts.filter(|(_, count)| *count > 0).collect();
    assert_eq!(counts, [("read".to_owned(), 2), ("write".to_owned(), 1)]);
}

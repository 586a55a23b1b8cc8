//! Tests of the stand-in of a plain service: its log of calls, and its faults.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

mod support;

use bytes::Bytes;
use chestnutrack_process::http::{self, Error};
use chestnutrack_standin::plain::{self, Settings};
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::time::Duration;
use support::{TEST_TIMEOUT, call, get_control, post_control};

async fn stand_in() -> SocketAddr {
    support::plain(Settings { service_time: Duration::from_millis(1), ..Settings::default() }).await
}

async fn post(address: SocketAddr) -> Result<u16, Error> {
    let request = http::request("POST", "/deposits", Bytes::from("{}")).unwrap();
    let answer = http::call(address, request, TEST_TIMEOUT, 1 << 20).await?;
    Ok(answer.status().as_u16())
}

#[tokio::test]
async fn a_call_is_echoed_and_logged() {
    let address = stand_in().await;
    let mut request = http::request("POST", "/deposits?shop=7", Bytes::from("{}")).unwrap();
    request.headers_mut().insert("x-shop", "seven".parse().unwrap());

    let answer = http::call(address, request, TEST_TIMEOUT, 1 << 20).await.unwrap();

    let echo: Value = serde_json::from_slice(answer.body()).unwrap();
    let expected =
        json!({ "method": "POST", "path": "/deposits?shop=7", "body_bytes": 2, "call": 1 });
    assert_eq!(echo, expected);
    let seen = &get_control(address, "seen").await["seen"][0];
    assert_eq!((&seen["target"], &seen["body"]), (&json!("/deposits?shop=7"), &json!("{}")));
    assert_eq!(seen["ran"], true);
    assert!(seen["headers"].as_array().unwrap().contains(&json!(["x-shop", "seven"])));
}

#[tokio::test]
async fn a_dropped_call_has_run_and_a_failed_call_has_not() {
    let address = stand_in().await;
    post_control(address, "faults", json!({ "fail": 1 })).await;
    let failed = post(address).await;
    post_control(address, "faults", json!({ "drop_after": 1 })).await;
    let dropped = post(address).await;
    let answered = post(address).await;

    assert_eq!(failed, Ok(500));
    assert!(matches!(dropped, Err(Error::Broken(_))), "{dropped:?}");
    assert_eq!(answered, Ok(200));
    let counts = json!({ "calls": 3, "ran": 2, "failed": 1, "dropped": 1 });
    assert_eq!(get_control(address, "counts").await, counts);
    let seen = get_control(address, "seen").await;
    let ran: Vec<_> = seen["seen"].as_array().unwrap().iter().map(|seen| &seen["ran"]).collect();
    assert_eq!(ran, [false, true, true]);
}

#[tokio::test]
async fn a_hanging_call_runs_later_even_if_its_caller_disconnects() {
    let address = stand_in().await;
    post_control(address, "faults", json!({ "hang": true })).await;
    let caller = tokio::spawn(post(address));
    support::wait_until(async || get_control(address, "counts").await["calls"] == 1).await;

    caller.abort();
    let ran_while_hanging = get_control(address, "counts").await["ran"].clone();
    post_control(address, "faults", json!({ "hang": false })).await;

    assert_eq!(ran_while_hanging, 0);
    support::wait_until(async || get_control(address, "counts").await["ran"] == 1).await;
}

#[tokio::test]
async fn calls_beyond_the_slots_wait() {
    let settings = Settings { slots: 1, service_time: Duration::from_millis(20) };
    let address = support::plain(settings).await;

    let calls: Vec<_> = (0..5).map(|_| tokio::spawn(post(address))).collect();

    for call in calls {
        assert_eq!(call.await.unwrap(), Ok(200));
    }
    assert_eq!(get_control(address, "counts").await["ran"], 5);
}

#[tokio::test]
async fn logged_bodies_are_truncated() {
    let address =
        support::plain(Settings { service_time: Duration::ZERO, ..plain::Settings::default() });
    let address = address.await;
    let body = "x".repeat(10_000);

    call(address, "POST", "/", &body).await;

    let seen = get_control(address, "seen").await;
    assert_eq!(seen["seen"][0]["body"].as_str().unwrap().len(), 4_096);
}

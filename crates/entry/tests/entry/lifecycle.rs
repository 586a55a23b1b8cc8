//! Tests of an unconfirmed configuration, shutdown, leaving servers, and limits on connections and
//! waiting requests.

use crate::fixture::caller::{Caller, call, completion, request};
use crate::fixture::document::document;
use crate::fixture::side::{self, Side};
use crate::fixture::{Entry, eventually};
use chestnutrack_wire::Frame;
use expect_test::expect;
use serde_json::json;
use tokio::net::TcpStream;

#[tokio::test]
async fn an_unconfirmed_configuration_refuses_requests() {
    let plain = Side::start(side::service("pies")).await;
    let entry = Entry::start(&document(&[], &[], &[plain.address])).await;

    entry.update_snapshot(|snapshot| snapshot.trusted = false);
    let response = call(entry.address, &request("GET", "/hours", &[], "")).await;

    expect![[r#"
        HTTP/1.1 503 Service Unavailable
        content-type: application/json
        x-chestnutrack-ran: not-run
        retry-after: 1
        x-chestnutrack-retry-after-ms: 1000
        content-length: 144

        {"error":{"code":"configuration_unconfirmed","message":"the configuration is not confirmed on this host","ran":"not-run","retry_after_ms":1000}}
    "#]].assert_eq(&response.text());
    assert!(plain.received_frames().is_empty());
}

#[tokio::test]
async fn a_shutdown_interrupts_no_request() {
    let prefill = Side::start(side::engine(&[])).await;
    let decode = Side::start(side::engine_without_answer).await;
    let entry = Entry::start(&document(&[prefill.address], &[decode.address], &[])).await;
    let mut streaming = Caller::connect(entry.address).await;
    streaming.send(&completion("today", true)).await;
    let decode_frame =
        decode.wait_for_frame("decode", |frame| matches!(frame, Frame::Decode(..))).await;
    let mut idle = Caller::connect(entry.address).await;
    eventually("both connected", || entry.app.metrics.connections.get() == 2).await;

    entry.trigger.set();
    eventually("draining", || entry.app.is_draining()).await;
    idle.send(&request("GET", "/nowhere", &[], "")).await;
    let during = idle.read().await;
    eventually("closed to new connections", || {
        std::net::TcpStream::connect(entry.address).is_err()
    })
    .await;
    let (id, attempt) = side::attempt_id(&decode_frame);
    decode.send(&side::tokens(id, attempt, 0, &["pie"]));
    decode.send(&side::end(id, attempt, 1));
    let response = streaming.read().await;

    assert_eq!(during.header("connection"), Some("close"));
    assert!(response.is_whole && response.body.ends_with("data: [DONE]\n\n"));
    entry.serving.await.unwrap();
}

#[tokio::test]
async fn a_leaving_server_gets_no_new_work() {
    let prefill = Side::start(side::engine(&[])).await;
    let (one, two, three) = (
        Side::start(side::engine(&["one"])).await,
        Side::start(side::engine(&["two"])).await,
        Side::start(side::engine(&["three"])).await,
    );
    let sides = [one.address, two.address, three.address];
    let mut json = document(&[prefill.address], &sides, &[]);
    let entry = Entry::start(&json).await;

    json["pools"][0]["servers"][1]["leaving"] = json!(true);
    entry.configure(2, &json);
    entry.update_snapshot(|snapshot| {
        snapshot.leaving.insert("host-of-decode-1".into());
    });
    call(entry.address, &completion("first", false)).await;
    one.clear();
    two.clear();
    for _ in 0..10 {
        let response = call(entry.address, &completion("today", false)).await;
        assert_eq!(response.json()["choices"][0]["text"], "three");
    }

    assert!(one.received_frames().is_empty() && two.received_frames().is_empty());
}

#[tokio::test]
async fn a_server_that_drains_or_is_removed_gets_no_new_work() {
    let plain = Side::start(side::service("old")).await;
    let other = Side::start(side::service("new")).await;
    let entry = Entry::start(&document(&[], &[], &[plain.address, other.address])).await;

    plain.send(&Frame::Leaving);
    eventually("both links are up", || entry.app.metrics.links.get() == 2).await;
    let mut consecutive = 0;
    for _ in 0..20 {
        let response = call(entry.address, &request("POST", "/notes", &[], "note")).await;
        consecutive = if response.body == "new" { consecutive + 1 } else { 0 };
    }
    let without = document(&[], &[], &[other.address]);
    entry.configure(2, &without);
    eventually("the removed server's link ends", || entry.app.metrics.links.get() == 1).await;

    assert!(consecutive >= 18, "{consecutive} answers in a row came from the other server");
}

#[tokio::test]
async fn too_many_connections_are_refused() {
    let plain = Side::start(side::service("pies")).await;
    let mut json = document(&[], &[], &[plain.address]);
    json["bounds"]["connections"] = json!(2);
    let entry = Entry::start(&json).await;
    let _open = [
        TcpStream::connect(entry.address).await.unwrap(),
        TcpStream::connect(entry.address).await.unwrap(),
    ];
    eventually("both are connected", || entry.app.metrics.connections.get() == 2).await;

    let response = call(entry.address, &request("GET", "/hours", &[], "")).await;

    expect![[r#"
        HTTP/1.1 503 Service Unavailable
        content-type: application/json
        x-chestnutrack-ran: not-run
        retry-after: 1
        x-chestnutrack-retry-after-ms: 1000
        connection: close
        content-length: 112

        {"error":{"code":"too_many_connections","message":"too many connections","ran":"not-run","retry_after_ms":1000}}
    "#]].assert_eq(&response.text());
}

#[tokio::test]
async fn a_request_waits_until_its_deadline_and_is_then_refused() {
    let plain = Side::start(|_: &Frame| Vec::new()).await;
    let mut json = document(&[], &[], &[plain.address]);
    json["routes"][3]["deadline_ms"] = json!(100);
    let entry = Entry::start(&json).await;
    entry.update_snapshot(|snapshot| {
        snapshot.leaving.insert("host-of-plain-0".into());
    });

    let response = call(entry.address, &request("POST", "/notes", &[], "note")).await;

    expect![[r#"
        HTTP/1.1 503 Service Unavailable
        content-type: application/json
        x-chestnutrack-ran: not-run
        retry-after: 1
        x-chestnutrack-retry-after-ms: 1000
        content-length: 112

        {"error":{"code":"deadline_unmet","message":"no server has room in time","ran":"not-run","retry_after_ms":1000}}
    "#]].assert_eq(&response.text());
    eventually("all tokens are refunded", || entry.debited("shop") == 0).await;
}

#[tokio::test]
async fn one_organisation_cannot_fill_the_queue() {
    let plain = Side::start(|_: &Frame| Vec::new()).await;
    let mut json = document(&[], &[], &[plain.address]);
    json["bounds"]["waiting_per_organisation"] = json!(1);
    let entry = Entry::start(&json).await;
    entry.update_snapshot(|snapshot| {
        snapshot.leaving.insert("host-of-plain-0".into());
    });
    let mut waiting = Caller::connect(entry.address).await;
    waiting.send(&request("POST", "/notes", &[], "one")).await;
    eventually("debited", || entry.debited("shop") == 10).await;

    let response = call(entry.address, &request("POST", "/notes", &[], "two")).await;

    assert_eq!(response.json()["error"]["code"], "too_many_waiting");
}

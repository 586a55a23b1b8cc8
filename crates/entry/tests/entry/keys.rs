//! Tests of callers' keys: which requests may run, for which organisation, and that no backend
//! server sees a key.

use crate::fixture::caller::{Caller, call, completion, request, request_without_key};
use crate::fixture::document::{document, organisation};
use crate::fixture::side::{self, Side};
use crate::fixture::{Entry, KEY, eventually};
use chestnutrack_wire::Frame;
use expect_test::expect;
use serde_json::{Value, json};

/// Starts an entry host with one plain service.
async fn plain_entry(plain: &Side) -> Entry {
    Entry::start(&document(&[], &[], &[plain.address])).await
}

/// Starts an entry host with one prefill and one decode server. Returns its document as well.
async fn model_entry(prefill: &Side, decode: &Side) -> (Entry, Value) {
    let document = document(&[prefill.address], &[decode.address], &[]);
    (Entry::start(&document).await, document)
}

/// Returns a document in which the key of the organisation is withdrawn.
fn without_key(document: &Value) -> Value {
    let mut changed = document.clone();
    changed["organisations"][0]["keys"] = json!([]);
    changed
}

/// Returns a document in which the key belongs to another organisation.
fn with_moved_key(document: &Value) -> Value {
    let mut changed = without_key(document);
    let other = organisation("rival", KEY);
    changed["organisations"].as_array_mut().unwrap().push(other);
    changed
}

#[tokio::test]
async fn a_request_without_a_key_is_refused() {
    let plain = Side::start(side::service("pies")).await;
    let entry = plain_entry(&plain).await;

    let response = call(entry.address, &request_without_key("POST", "/notes", &[], "note")).await;

    expect![[r#"
        HTTP/1.1 401 Unauthorized
        content-type: application/json
        x-chestnutrack-ran: not-run
        content-length: 129

        {"error":{"code":"key_missing","message":"a key is needed: `authorization: Bearer KEY`","place":"authorization","ran":"not-run"}}
    "#]].assert_eq(&response.text());
    assert!(plain.received_frames().is_empty());
}

#[tokio::test]
async fn an_unknown_key_is_refused() {
    let plain = Side::start(side::service("pies")).await;
    let entry = plain_entry(&plain).await;
    let headers = ["authorization: Bearer not-a-key-of-anyone"];

    let response =
        call(entry.address, &request_without_key("POST", "/notes", &headers, "note")).await;

    expect![[r#"
        HTTP/1.1 401 Unauthorized
        content-type: application/json
        x-chestnutrack-ran: not-run
        content-length: 84

        {"error":{"code":"key_refused","message":"the key is not in force","ran":"not-run"}}
    "#]]
    .assert_eq(&response.text());
    assert!(plain.received_frames().is_empty());
}

#[tokio::test]
async fn an_open_route_runs_without_a_key_and_without_an_organisation() {
    let plain = Side::start(side::service("8 to 18")).await;
    let entry = plain_entry(&plain).await;

    let response = call(entry.address, &request_without_key("GET", "/hours", &[], "")).await;

    assert_eq!(response.body, "8 to 18");
    assert!(plain.transcript().starts_with("forward #1 for all"));
}

#[tokio::test]
async fn no_backend_server_sees_a_key() {
    let plain = Side::start(side::service("pies")).await;
    let entry = plain_entry(&plain).await;
    let encoded: String = KEY.bytes().map(|byte| format!("%{byte:02X}")).collect();
    let headers = [
        &format!("Proxy-Authorization: Basic {KEY}"),
        &format!("Cookie: session={KEY}"),
        &format!("X-API-Key: {KEY}"),
        &format!("X-Custom: prefix {KEY} suffix"),
        &format!("X-UPPER: {}", KEY.to_ascii_uppercase()),
        "X-Listed: by connection",
        "Connection: x-listed",
        "TE: trailers",
        "Trailer: x-late",
        "X-Kept: yes",
    ];
    let path = format!("/stock/pies?key={KEY}&kept=1&encoded={encoded}&{KEY}=name");

    let response = call(entry.address, &request("GET", &path, &headers, "")).await;

    assert_eq!(response.body, "pies");
    let seen = format!("{:?}", plain.received_frames()).to_ascii_lowercase();
    assert!(!seen.contains(KEY) && !seen.contains(&encoded.to_ascii_lowercase()), "{seen}");
    eventually("the call is done", || plain.transcript().contains("done")).await;
    expect![[r#"
        forward #1 for shop once=false GET /stock/pies?kept=1 [("x-kept", "yes")] ""
        done #1
    "#]]
    .assert_eq(&plain.transcript());
}

#[tokio::test]
async fn a_key_in_a_path_or_a_body_is_refused() {
    let plain = Side::start(side::service("pies")).await;
    let entry = plain_entry(&plain).await;

    let path = call(entry.address, &request("GET", &format!("/stock/{KEY}"), &[], "")).await;
    let body =
        call(entry.address, &request("POST", "/notes", &[], &format!("my key is {KEY}"))).await;

    assert_eq!((path.status(), path.json()["error"]["place"].clone()), (400, json!("path")));
    assert_eq!((body.status(), body.json()["error"]["place"].clone()), (400, json!("body")));
    assert!(plain.received_frames().is_empty());
}

#[tokio::test]
async fn trailers_are_not_forwarded() {
    let plain = Side::start(side::service("noted")).await;
    let entry = plain_entry(&plain).await;
    let headers = ["transfer-encoding: chunked", "trailer: x-key"];
    let mut text = request("POST", "/notes", &headers, "");
    text.push_str(&format!("4\r\nnote\r\n0\r\nx-key: {KEY}\r\n\r\n"));

    let response = call(entry.address, &text).await;

    assert_eq!(response.body, "noted");
    assert!(!format!("{:?}", plain.received_frames()).contains(KEY));
}

#[tokio::test]
async fn a_request_whose_key_is_withdrawn_while_it_waits_is_refused() {
    let prefill = Side::start(side::engine(&[])).await;
    let decode = Side::start(|_: &Frame| Vec::new()).await;
    let (entry, document) = model_entry(&prefill, &decode).await;
    let mut caller = Caller::connect(entry.address).await;
    caller.send(&completion("today", false)).await;
    decode.wait_for_frame("reserve", |frame| matches!(frame, Frame::Reserve(..))).await;

    entry.configure(2, &without_key(&document));
    let response = caller.read().await;

    expect![[r#"
        HTTP/1.1 401 Unauthorized
        content-type: application/json
        x-chestnutrack-ran: not-run
        content-length: 82

        {"error":{"code":"key_refused","message":"the key was withdrawn","ran":"not-run"}}
    "#]]
    .assert_eq(&response.text());
    decode.wait_for_frame("cancel", |frame| matches!(frame, Frame::Cancel(..))).await;
    eventually("all tokens are refunded", || entry.debited("shop") == 0).await;
    assert!(prefill.received_frames().is_empty());
}

#[tokio::test]
async fn a_request_whose_key_moves_while_it_waits_is_refused() {
    let prefill = Side::start(side::engine(&[])).await;
    let decode = Side::start(|_: &Frame| Vec::new()).await;
    let (entry, document) = model_entry(&prefill, &decode).await;
    let mut caller = Caller::connect(entry.address).await;
    caller.send(&completion("today", false)).await;
    decode.wait_for_frame("reserve", |frame| matches!(frame, Frame::Reserve(..))).await;

    entry.configure(2, &with_moved_key(&document));
    let response = caller.read().await;

    assert_eq!(response.status(), 403);
    assert_eq!(response.header("x-chestnutrack-ran"), Some("not-run"));
    assert!(prefill.received_frames().is_empty());
}

#[tokio::test]
async fn a_stream_ends_when_its_key_is_withdrawn() {
    let prefill = Side::start(side::engine(&[])).await;
    let decode = Side::start(side::engine_without_answer).await;
    let (entry, document) = model_entry(&prefill, &decode).await;
    let mut caller = Caller::connect(entry.address).await;
    caller.send(&completion("today", true)).await;
    let decode_frame =
        decode.wait_for_frame("decode", |frame| matches!(frame, Frame::Decode(..))).await;
    let (request, attempt) = side::attempt_id(&decode_frame);
    decode.send(&side::tokens(request, attempt, 0, &["fresh "]));
    caller.read_until("fresh").await;

    entry.configure(2, &without_key(&document));
    let rest = caller.read_until("0\r\n\r\n").await;

    assert!(rest.contains("key_refused") && !rest.contains("[DONE]"), "{rest}");
    decode.wait_for_frame("cancel", |frame| matches!(frame, Frame::Cancel(..))).await;
}

#[tokio::test]
async fn each_request_of_a_connection_is_checked() {
    let plain = Side::start(side::service("noted")).await;
    let document = document(&[], &[], &[plain.address]);
    let entry = Entry::start(&document).await;
    let mut caller = Caller::connect(entry.address).await;
    caller.send(&request("POST", "/notes", &[], "one")).await;
    let first = caller.read().await;

    entry.configure(2, &without_key(&document));
    caller.send(&request("POST", "/notes", &[], "two")).await;
    let second = caller.read().await;

    assert_eq!((first.status(), second.status()), (200, 401));
}

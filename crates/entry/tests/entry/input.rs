//! Tests of invalid requests: each is refused with a code and the place at fault, no backend server
//! sees it, and no tokens, requests or connections are left behind.

use crate::fixture::Entry;
use crate::fixture::caller::{Caller, call, request};
use crate::fixture::document::document;
use crate::fixture::eventually;
use crate::fixture::side::{self, Side};
use expect_test::expect;
use std::fmt::Write;

/// Starts an entry host with one backend server of each role.
async fn start_entry() -> (Entry, [Side; 3]) {
    let prefill = Side::start(side::engine(&[])).await;
    let decode = Side::start(side::engine(&["pie"])).await;
    let plain = Side::start(side::service("pies")).await;
    let json = document(&[prefill.address], &[decode.address], &[plain.address]);
    (Entry::start(&json).await, [prefill, decode, plain])
}

/// Sends each body and returns one line for each refusal: status, code, whether the request ran,
/// place and message.
async fn refusals(entry: &Entry, path: &str, bodies: &[&str]) -> String {
    let mut lines = String::new();
    for body in bodies {
        let response = call(entry.address, &request("POST", path, &[], body)).await;
        let error = &response.json()["error"];
        let text = |field: &str| error[field].as_str().unwrap_or("-").to_owned();
        writeln!(
            lines,
            "{} {} {} at {}: {}",
            response.status(),
            text("code"),
            text("ran"),
            text("place"),
            text("message")
        )
        .unwrap();
    }
    lines
}

#[tokio::test]
async fn invalid_completions_are_refused() {
    let (entry, sides) = start_entry().await;
    let deeply_nested = format!("{}{}", "[".repeat(1_000), "]".repeat(1_000));

    let lines = refusals(
        &entry,
        "/v1/completions",
        &[
            "",
            "{",
            r#"{"a" 1}"#,
            "[]",
            &deeply_nested,
            "{}",
            r#"{"model": 7, "prompt": "x"}"#,
            r#"{"model": "nobody's", "prompt": "x"}"#,
            r#"{"model": "larder-llm"}"#,
            r#"{"model": "larder-llm", "prompt": ""}"#,
            r#"{"model": "larder-llm", "prompt": "x", "max_tokens": -1}"#,
            r#"{"model": "larder-llm", "prompt": "x", "max_tokens": 0}"#,
            r#"{"model": "larder-llm", "prompt": "x", "max_tokens": 1.5}"#,
            r#"{"model": "larder-llm", "prompt": "x", "max_tokens": 99999999999999999999}"#,
            r#"{"model": "larder-llm", "prompt": "x", "max_tokens": "8"}"#,
            r#"{"model": "larder-llm", "prompt": 7, "max_tokens": 65, "stream": "yes"}"#,
            &format!(r#"{{"model": "larder-llm", "prompt": "{}"}}"#, "x".repeat(3_000)),
            &"x".repeat(5_000),
        ],
    )
    .await;

    expect![[r#"
        400 invalid_json not-run at line 1 column 0: the body is not valid JSON
        400 invalid_json not-run at line 1 column 1: the body is not valid JSON
        400 invalid_json not-run at line 1 column 6: the body is not valid JSON
        400 invalid_json not-run at line 1 column 1: the body must be a JSON object
        400 invalid_json not-run at line 1 column 128: the body is not valid JSON
        400 invalid_field not-run at model: must be a model's name
        400 invalid_field not-run at model: must be a model's name
        404 unknown_model not-run at model: no such model is served here
        400 invalid_field not-run at prompt: prompt: must be a text that is not empty
        400 invalid_field not-run at prompt: prompt: must be a text that is not empty
        400 invalid_field not-run at max_tokens: max_tokens: must be a whole number from 1 to 64
        400 invalid_field not-run at max_tokens: max_tokens: must be a whole number from 1 to 64
        400 invalid_field not-run at max_tokens: max_tokens: must be a whole number from 1 to 64
        400 invalid_field not-run at max_tokens: max_tokens: must be a whole number from 1 to 64
        400 invalid_field not-run at max_tokens: max_tokens: must be a whole number from 1 to 64
        400 invalid_field not-run at prompt: prompt: must be a text that is not empty; max_tokens: must be a whole number from 1 to 64; stream: must be true or false
        400 invalid_field not-run at prompt: prompt: 750 tokens; at most 512 are allowed
        413 body_too_large not-run at body: larger than the 4096 bytes that are allowed
    "#]].assert_eq(&lines);
    assert!(sides.iter().all(|side| side.received_frames().is_empty()));
    assert_eq!(entry.debited("shop"), 0);
}

#[tokio::test]
async fn invalid_chats_are_refused() {
    let (entry, _sides) = start_entry().await;

    let lines = refusals(
        &entry,
        "/v1/chat/completions",
        &[
            r#"{"model": "larder-llm"}"#,
            r#"{"model": "larder-llm", "messages": []}"#,
            r#"{"model": "larder-llm", "messages": [7, {"role": "user"}]}"#,
        ],
    )
    .await;

    expect![[r#"
        400 invalid_field not-run at messages: messages: must be a list of messages
        400 invalid_field not-run at messages: messages: must hold a message
        400 invalid_field not-run at messages[0].role: messages[0].role: must be a text; messages[0].content: must be a text; messages[1].content: must be a text
    "#]].assert_eq(&lines);
}

#[tokio::test]
async fn unknown_paths_and_methods_are_refused() {
    let (entry, _sides) = start_entry().await;

    let path = call(entry.address, &request("GET", "/nowhere", &[], "")).await;
    let method = call(entry.address, &request("DELETE", "/notes", &[], "")).await;

    expect![[r#"
        HTTP/1.1 404 Not Found
        content-type: application/json
        x-chestnutrack-ran: not-run
        content-length: 100

        {"error":{"code":"unknown_route","message":"no route has this path","place":"path","ran":"not-run"}}
    "#]].assert_eq(&path.text());
    expect![[r#"
        HTTP/1.1 405 Method Not Allowed
        content-type: application/json
        x-chestnutrack-ran: not-run
        content-length: 113

        {"error":{"code":"method_not_allowed","message":"the route has no such method","place":"method","ran":"not-run"}}
    "#]].assert_eq(&method.text());
}

#[tokio::test]
async fn requests_with_too_large_a_head_are_refused() {
    let (entry, _sides) = start_entry().await;
    let header = format!("x-large: {}", "x".repeat(20_000));
    let path = format!("/stock/{}", "x".repeat(20_000));

    let headers = call(entry.address, &request("GET", "/hours", &[&header], "")).await;
    let path = call(entry.address, &request("GET", &path, &[], "")).await;

    expect![[r#"
        HTTP/1.1 431 Request Header Fields Too Large
        content-type: application/json
        x-chestnutrack-ran: not-run
        content-length: 120

        {"error":{"code":"head_too_large","message":"20075 bytes; at most 16384 are allowed","place":"headers","ran":"not-run"}}
    "#]].assert_eq(&headers.text());
    expect![[r#"
        HTTP/1.1 431 Request Header Fields Too Large
        content-type: application/json
        x-chestnutrack-ran: not-run
        content-length: 117

        {"error":{"code":"head_too_large","message":"20065 bytes; at most 16384 are allowed","place":"path","ran":"not-run"}}
    "#]].assert_eq(&path.text());
}

#[tokio::test]
async fn a_huge_or_malformed_head_is_refused_and_the_connection_closed() {
    let (entry, _sides) = start_entry().await;
    let header = format!("x-large: {}", "x".repeat(200_000));

    let huge = call(entry.address, &request("GET", "/hours", &[&header], "")).await;
    let malformed = call(entry.address, "what is this\r\n\r\n").await;

    assert_eq!((huge.status(), malformed.status()), (431, 400));
    eventually("no connection is open", || entry.app.metrics.connections.get() == 0).await;
}

#[tokio::test]
async fn a_body_that_grows_too_large_is_refused() {
    let (entry, _sides) = start_entry().await;
    let mut text = request("POST", "/notes", &["transfer-encoding: chunked"], "");
    for _ in 0..5 {
        write!(text, "400\r\n{}\r\n", "x".repeat(1_024)).unwrap();
    }

    let response = call(entry.address, &text).await;

    assert_eq!((response.status(), response.header("x-chestnutrack-ran")), (413, Some("not-run")));
}

#[tokio::test]
async fn a_caller_that_disconnects_in_the_middle_of_its_body_leaves_no_state() {
    let (entry, _sides) = start_entry().await;
    let mut caller = Caller::connect(entry.address).await;
    let headers = ["content-length: 100"];
    caller.send(&format!("{}half", request("POST", "/notes", &headers, ""))).await;
    eventually("the request is in progress", || entry.app.metrics.in_progress.get() == 1).await;

    drop(caller);

    eventually("no request is in progress", || entry.app.metrics.in_progress.get() == 0).await;
    eventually("no connection is open", || entry.app.metrics.connections.get() == 0).await;
}

#[tokio::test]
async fn invalid_idempotency_keys_are_refused() {
    let (entry, _sides) = start_entry().await;
    let long = format!("idempotency-key: {}", "x".repeat(300));

    let long = call(entry.address, &request("POST", "/deposits", &[&long], "5")).await;
    let twice = ["idempotency-key: a", "idempotency-key: b"];
    let twice = call(entry.address, &request("POST", "/deposits", &twice, "5")).await;

    expect![[r#"
        HTTP/1.1 400 Bad Request
        content-type: application/json
        x-chestnutrack-ran: not-run
        content-length: 123

        {"error":{"code":"invalid_field","message":"must be one text of 1 to 256 bytes","place":"idempotency-key","ran":"not-run"}}
    "#]].assert_eq(&long.text());
    assert_eq!(twice.status(), 400);
}

//! Bad input: a typed error with its place, nothing run, nothing left behind.

use crate::fixture::Entry;
use crate::fixture::caller::{Caller, call, request};
use crate::fixture::document::document;
use crate::fixture::eventually;
use crate::fixture::side::{self, Side};
use expect_test::expect;
use std::fmt::Write;

async fn entry() -> (Entry, [Side; 3]) {
    let prefill = Side::start(side::engine(&[])).await;
    let decode = Side::start(side::engine(&["pie"])).await;
    let plain = Side::start(side::service("pies")).await;
    let json = document(&[prefill.address], &[decode.address], &[plain.address]);
    (Entry::start(&json).await, [prefill, decode, plain])
}

/// One line for each body: status, code, place, whether it ran, and the message.
async fn refusals(entry: &Entry, path: &str, bodies: &[&str]) -> String {
    let mut lines = String::new();
    for body in bodies {
        let got = call(entry.address, &request("POST", path, &[], body)).await;
        let error = &got.json()["error"];
        let text = |field: &str| error[field].as_str().unwrap_or("-").to_owned();
        writeln!(
            lines,
            "{} {} {} at {}: {}",
            got.status(),
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
async fn bad_completions() {
    let (entry, sides) = entry().await;
    let deep = format!("{}{}", "[".repeat(1_000), "]".repeat(1_000));

    let lines = refusals(
        &entry,
        "/v1/completions",
        &[
            "",
            "{",
            r#"{"a" 1}"#,
            "[]",
            &deep,
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
async fn bad_chats() {
    let (entry, _sides) = entry().await;

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
async fn unknown_paths_and_methods() {
    let (entry, _sides) = entry().await;

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
async fn large_heads() {
    let (entry, _sides) = entry().await;
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
async fn a_head_beyond_all_bounds_or_broken_is_refused_and_closed() {
    let (entry, _sides) = entry().await;
    let header = format!("x-large: {}", "x".repeat(200_000));

    let huge = call(entry.address, &request("GET", "/hours", &[&header], "")).await;
    let broken = call(entry.address, "what is this\r\n\r\n").await;

    assert_eq!((huge.status(), broken.status()), (431, 400));
    eventually("nothing is left", || entry.app.metrics.connections.get() == 0).await;
}

#[tokio::test]
async fn a_body_that_grows_too_large_is_refused() {
    let (entry, _sides) = entry().await;
    let mut text = request("POST", "/notes", &["transfer-encoding: chunked"], "");
    for _ in 0..5 {
        write!(text, "400\r\n{}\r\n", "x".repeat(1_024)).unwrap();
    }

    let got = call(entry.address, &text).await;

    assert_eq!((got.status(), got.header("x-chestnutrack-ran")), (413, Some("not-run")));
}

#[tokio::test]
async fn a_caller_that_goes_in_the_middle_of_its_body_leaves_nothing() {
    let (entry, _sides) = entry().await;
    let mut caller = Caller::connect(entry.address).await;
    let headers = ["content-length: 100"];
    caller.send(&format!("{}half", request("POST", "/notes", &headers, ""))).await;
    eventually("in progress", || entry.app.metrics.in_progress.get() == 1).await;

    drop(caller);

    eventually("nothing is left", || entry.app.metrics.in_progress.get() == 0).await;
    eventually("no connection", || entry.app.metrics.connections.get() == 0).await;
}

#[tokio::test]
async fn bad_idempotency_keys() {
    let (entry, _sides) = entry().await;
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

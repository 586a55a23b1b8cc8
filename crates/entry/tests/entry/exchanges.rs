//! Tests of complete exchanges over real sockets: the response that the caller gets and the frames
//! that each side process receives.

use crate::fixture::caller::{Caller, Response, call, completion, request};
use crate::fixture::document::document;
use crate::fixture::side::{self, Side};
use crate::fixture::{Entry, eventually};
use chestnutrack_wire::Frame;
use expect_test::{Expect, expect};

/// Asserts the text of a response, with what differs in each run replaced.
fn assert_response(response: &Response, expected: &Expect) {
    expected.assert_eq(&response.text());
}

#[tokio::test]
async fn a_completion_that_is_not_streamed() {
    let prefill = Side::start(side::engine(&[])).await;
    let decode = Side::start(side::engine(&["fresh ", "pie"])).await;
    let entry = Entry::start(&document(&[prefill.address], &[decode.address], &[])).await;

    let response = call(entry.address, &completion("today", false)).await;

    assert_response(
        &response,
        &expect![[r#"
        HTTP/1.1 200 OK
        content-type: application/json
        content-length: 248

        {"choices":[{"finish_reason":"stop","index":0,"text":"fresh pie"}],"created":0,"id":"cmpl-ID","model":"larder-llm","object":"text_completion","usage":{"completion_tokens":2,"prompt_tokens":2,"total_tokens":4}}
    "#]],
    );
    expect![[r#"
        prefill #1 for shop "today"
        done #1
    "#]]
    .assert_eq(&prefill.transcript());
    eventually("the answer is done", || decode.transcript().contains("done")).await;
    expect![[r#"
        reserve #1 for shop kv=10 output=8
        decode #1 kv=2 output=8
        done #1
    "#]]
    .assert_eq(&decode.transcript());
    eventually("unused tokens are refunded", || entry.debited("shop") == 4).await;
}

#[tokio::test]
async fn a_streamed_completion() {
    let prefill = Side::start(side::engine(&[])).await;
    let decode = Side::start(side::engine(&["fresh ", "pie"])).await;
    let entry = Entry::start(&document(&[prefill.address], &[decode.address], &[])).await;

    let response = call(entry.address, &completion("today", true)).await;

    assert_response(
        &response,
        &expect![[r#"
        HTTP/1.1 200 OK
        content-type: text/event-stream
        cache-control: no-store
        transfer-encoding: chunked

        data: {"choices":[{"finish_reason":null,"index":0,"text":"fresh pie"}],"created":0,"id":"cmpl-ID","model":"larder-llm","object":"text_completion"}

        data: {"choices":[{"finish_reason":"stop","index":0,"text":""}],"created":0,"id":"cmpl-ID","model":"larder-llm","object":"text_completion","usage":{"completion_tokens":2,"prompt_tokens":2,"total_tokens":4}}

        data: [DONE]


    "#]],
    );
}

#[tokio::test]
async fn a_streamed_chat() {
    let prefill = Side::start(side::engine(&[])).await;
    let decode = Side::start(side::engine(&["fresh ", "pie"])).await;
    let entry = Entry::start(&document(&[prefill.address], &[decode.address], &[])).await;
    let body = serde_json::json!({
        "model": "larder-llm",
        "messages": [{ "role": "user", "content": "today" }],
        "max_tokens": 8,
        "stream": true,
    });

    let text = request("POST", "/v1/chat/completions", &[], &body.to_string());
    let response = call(entry.address, &text).await;

    assert_response(
        &response,
        &expect![[r#"
        HTTP/1.1 200 OK
        content-type: text/event-stream
        cache-control: no-store
        transfer-encoding: chunked

        data: {"choices":[{"delta":{"content":"fresh pie","role":"assistant"},"finish_reason":null,"index":0}],"created":0,"id":"chatcmpl-ID","model":"larder-llm","object":"chat.completion.chunk"}

        data: {"choices":[{"delta":{},"finish_reason":"stop","index":0}],"created":0,"id":"chatcmpl-ID","model":"larder-llm","object":"chat.completion.chunk","usage":{"completion_tokens":2,"prompt_tokens":6,"total_tokens":8}}

        data: [DONE]


    "#]],
    );
    eventually("the prefill is done", || prefill.transcript().contains("done")).await;
    expect![[r#"
        prefill #1 for shop "user: today\nassistant: "
        done #1
    "#]]
    .assert_eq(&prefill.transcript());
}

#[tokio::test]
async fn a_plain_call() {
    let plain = Side::start(side::service("twelve pies")).await;
    let entry = Entry::start(&document(&[], &[], &[plain.address])).await;

    let response = call(entry.address, &request("GET", "/stock/pies?size=large", &[], "")).await;

    assert_response(
        &response,
        &expect![[r#"
        HTTP/1.1 200 OK
        content-type: text/plain
        content-length: 11

        twelve pies
    "#]],
    );
    eventually("the answer is done", || plain.transcript().contains("done")).await;
    expect![[r#"
        forward #1 for shop once=false GET /stock/pies?size=large [] ""
        done #1
    "#]]
    .assert_eq(&plain.transcript());
}

#[tokio::test]
async fn a_cancelled_stream() {
    let prefill = Side::start(side::engine(&[])).await;
    let decode = Side::start(side::engine_without_answer).await;
    let entry = Entry::start(&document(&[prefill.address], &[decode.address], &[])).await;
    let mut caller = Caller::connect(entry.address).await;
    caller.send(&completion("today", true)).await;
    let decode_frame =
        decode.wait_for_frame("decode", |frame| matches!(frame, Frame::Decode(..))).await;
    let (request, attempt) = side::attempt_id(&decode_frame);
    decode.send(&side::tokens(request, attempt, 0, &["fresh "]));
    caller.read_until("fresh").await;

    drop(caller);

    decode.wait_for_frame("cancel", |frame| matches!(frame, Frame::Cancel(..))).await;
    expect![[r#"
        reserve #1 for shop kv=10 output=8
        decode #1 kv=2 output=8
        cancel #1
    "#]]
    .assert_eq(&decode.transcript());
    eventually("unused tokens are refunded", || entry.debited("shop") == 3).await;
}

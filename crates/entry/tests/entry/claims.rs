//! Tests of requests with an idempotency key on at-most-once routes. Such a request is claimed
//! before it runs, so that a repeat of it runs nothing.

use crate::fixture::Entry;
use crate::fixture::caller::{Caller, call, request};
use crate::fixture::document::document;
use crate::fixture::eventually;
use crate::fixture::side::{self, Side};
use chestnutrack_fleet::claim::End;
use chestnutrack_wire::Frame;
use chestnutrack_wire::frame::{Cause, Failure, Load, Ran};
use expect_test::expect;

const IDEMPOTENCY_KEY: &[&str] = &["idempotency-key: order-1"];

/// Starts an entry host with one plain service.
async fn start_entry(plain: &Side) -> Entry {
    Entry::start(&document(&[], &[], &[plain.address])).await
}

/// Returns how many times the plain service received the call.
fn count_forwards(plain: &Side) -> usize {
    plain.received_frames().iter().filter(|frame| matches!(frame, Frame::Forward(..))).count()
}

#[tokio::test]
async fn a_repeat_gets_the_same_answer_and_runs_nothing() {
    let plain = Side::start(side::service("paid")).await;
    let entry = start_entry(&plain).await;

    let first =
        call(entry.address, &request("POST", "/deposits", IDEMPOTENCY_KEY, "5 euros")).await;
    let repeat =
        call(entry.address, &request("POST", "/deposits", IDEMPOTENCY_KEY, "5 euros")).await;
    let other =
        call(entry.address, &request("POST", "/deposits", IDEMPOTENCY_KEY, "6 euros")).await;

    expect![[r#"
        HTTP/1.1 200 OK
        content-type: text/plain
        content-length: 4

        paid
    "#]]
    .assert_eq(&first.text());
    expect![[r#"
        HTTP/1.1 200 OK
        content-type: text/plain
        content-length: 4
        x-chestnutrack-replayed: true

        paid
    "#]]
    .assert_eq(&repeat.text());
    expect![[r#"
        HTTP/1.1 422 Unprocessable Entity
        content-type: application/json
        x-chestnutrack-ran: not-run
        content-length: 150

        {"error":{"code":"idempotency_key_reused","message":"the idempotency key came before with another request","place":"idempotency-key","ran":"not-run"}}
    "#]].assert_eq(&other.text());
    assert_eq!(count_forwards(&plain), 1);
}

#[tokio::test]
async fn a_repeat_of_a_running_request_is_refused_as_still_running() {
    let plain = Side::start(|_: &Frame| Vec::new()).await;
    let entry = start_entry(&plain).await;
    let mut first = Caller::connect(entry.address).await;
    first.send(&request("POST", "/deposits", IDEMPOTENCY_KEY, "5 euros")).await;
    plain.wait_for_frame("forward", |frame| matches!(frame, Frame::Forward(..))).await;

    let repeat =
        call(entry.address, &request("POST", "/deposits", IDEMPOTENCY_KEY, "5 euros")).await;

    expect![[r#"
        HTTP/1.1 409 Conflict
        content-type: application/json
        x-chestnutrack-ran: unknown
        retry-after: 1
        x-chestnutrack-retry-after-ms: 500
        content-length: 124

        {"error":{"code":"still_running","message":"a request with this idempotency key runs","ran":"unknown","retry_after_ms":500}}
    "#]].assert_eq(&repeat.text());
    assert_eq!(count_forwards(&plain), 1);
}

#[tokio::test]
async fn a_claimed_request_keeps_running_after_its_caller_disconnects() {
    let plain = Side::start(|_: &Frame| Vec::new()).await;
    let entry = start_entry(&plain).await;
    let mut first = Caller::connect(entry.address).await;
    first.send(&request("POST", "/deposits", IDEMPOTENCY_KEY, "5 euros")).await;
    let forward_frame =
        plain.wait_for_frame("forward", |frame| matches!(frame, Frame::Forward(..))).await;

    drop(first);
    eventually("the caller has disconnected", || entry.app.metrics.connections.get() == 0).await;
    let (request_id, attempt) = side::attempt_id(&forward_frame);
    side::plain_answer(request_id, attempt, "paid").iter().for_each(|frame| plain.send(frame));
    eventually("the claim is settled", || {
        let ledger = entry.fleet.lock().unwrap();
        matches!(ledger.claims.get("order-1"), Some((_, Some(End::Answered { .. }))))
    })
    .await;
    let repeat =
        call(entry.address, &request("POST", "/deposits", IDEMPOTENCY_KEY, "5 euros")).await;

    assert_eq!(repeat.body, "paid");
    assert_eq!(count_forwards(&plain), 1);
}

#[tokio::test]
async fn a_request_with_an_unknown_outcome_is_not_run_again() {
    let plain = Side::start(|frame: &Frame| match frame {
        Frame::Forward(request, attempt, _) => {
            let failure = Failure { ran: Ran::Unknown, cause: Cause::Backend, retry_after_ms: 0 };
            vec![Frame::Failed(*request, *attempt, failure, Load::default())]
        }
        _ => Vec::new(),
    })
    .await;
    let entry = start_entry(&plain).await;

    let first =
        call(entry.address, &request("POST", "/deposits", IDEMPOTENCY_KEY, "5 euros")).await;
    let repeat =
        call(entry.address, &request("POST", "/deposits", IDEMPOTENCY_KEY, "5 euros")).await;

    assert_eq!((first.status(), first.header("x-chestnutrack-ran")), (502, Some("unknown")));
    expect![[r#"
        HTTP/1.1 409 Conflict
        content-type: application/json
        x-chestnutrack-ran: unknown
        content-length: 125

        {"error":{"code":"outcome_unknown","message":"it is not known whether the request ran; it is not run again","ran":"unknown"}}
    "#]].assert_eq(&repeat.text());
    assert_eq!(count_forwards(&plain), 1);
}

#[tokio::test]
async fn a_claim_that_cannot_be_made_runs_nothing() {
    let plain = Side::start(side::service("paid")).await;
    let entry = start_entry(&plain).await;
    entry.fleet.lock().unwrap().is_unavailable = true;

    let response =
        call(entry.address, &request("POST", "/deposits", IDEMPOTENCY_KEY, "5 euros")).await;

    expect![[r#"
        HTTP/1.1 503 Service Unavailable
        content-type: application/json
        x-chestnutrack-ran: not-run
        retry-after: 1
        x-chestnutrack-retry-after-ms: 1000
        content-length: 116

        {"error":{"code":"claim_unavailable","message":"the claim can't be made now","ran":"not-run","retry_after_ms":1000}}
    "#]].assert_eq(&response.text());
    assert_eq!(count_forwards(&plain), 0);
}

#[tokio::test]
async fn a_claimed_request_that_did_not_run_can_be_sent_again() {
    let plain = Side::start(side::service("paid")).await;
    let entry = start_entry(&plain).await;
    entry.fleet.lock().unwrap().allowance = Some(0);

    let refused =
        call(entry.address, &request("POST", "/deposits", IDEMPOTENCY_KEY, "5 euros")).await;
    entry.fleet.lock().unwrap().allowance = None;
    let repeat =
        call(entry.address, &request("POST", "/deposits", IDEMPOTENCY_KEY, "5 euros")).await;

    expect![[r#"
        HTTP/1.1 429 Too Many Requests
        content-type: application/json
        x-chestnutrack-ran: not-run
        retry-after: 2
        x-chestnutrack-retry-after-ms: 1500
        content-length: 114

        {"error":{"code":"over_rate","message":"the organisation is over its rate","ran":"not-run","retry_after_ms":1500}}
    "#]].assert_eq(&refused.text());
    assert_eq!(repeat.body, "paid");
}

//! Tests of broken and unresponsive connections, misdirected frames and failed attempts: answers
//! are complete, nothing runs twice, and `ran` is reported correctly.

use crate::fixture::caller::{Caller, Response, call, completion, request};
use crate::fixture::document::document;
use crate::fixture::side::{self, Side};
use crate::fixture::{Entry, eventually};
use chestnutrack_wire::frame::{Cause, Failure, Load, Ran};
use chestnutrack_wire::{Attempt, Frame, Request};
use expect_test::expect;

/// Streamed completion in progress: its caller, its decode server, and its request and attempt.
struct StartedStream {
    entry: Entry,
    caller: Caller,
    decode: Side,
    request: Request,
    attempt: Attempt,
    _prefill: Side,
}

/// Starts a streamed completion whose decode server has sent the first token, `fresh `.
async fn start_stream() -> StartedStream {
    let prefill = Side::start(side::engine(&[])).await;
    let decode = Side::start(side::engine_without_answer).await;
    let entry = Entry::start(&document(&[prefill.address], &[decode.address], &[])).await;
    let mut caller = Caller::connect(entry.address).await;
    caller.send(&completion("today", true)).await;
    let decode_frame =
        decode.wait_for_frame("decode", |frame| matches!(frame, Frame::Decode(..))).await;
    let (request, attempt) = side::attempt_id(&decode_frame);
    decode.send(&side::tokens(request, attempt, 0, &["fresh "]));
    StartedStream { entry, caller, decode, request, attempt, _prefill: prefill }
}

/// Returns the text of a streamed answer.
fn streamed_text(response: &Response) -> String {
    let events = response.body.lines().filter_map(|line| line.strip_prefix("data: {"));
    let values = events.map(|rest| format!("{{{rest}"));
    let values = values.filter_map(|text| serde_json::from_str::<serde_json::Value>(&text).ok());
    values.filter_map(|value| value["choices"][0]["text"].as_str().map(str::to_owned)).collect()
}

/// Returns whether a streamed answer was ended as complete.
fn is_complete(response: &Response) -> bool {
    response.body.ends_with("data: [DONE]\n\n")
}

#[tokio::test]
async fn an_answer_resumes_at_its_offset_after_a_disconnect() {
    let StartedStream { mut caller, decode, request, attempt, entry, .. } = start_stream().await;
    eventually("the first token was relayed", || {
        entry.app.metrics.first_token.get_sample_count() == 1
    })
    .await;

    decode.disconnect();
    decode.wait_for_frame("resume", |frame| matches!(frame, Frame::Resume(..))).await;
    decode.send(&side::tokens(request, attempt, 1, &["apple ", "pie"]));
    decode.send(&side::end(request, attempt, 3));
    let response = caller.read().await;

    assert_eq!(streamed_text(&response), "fresh apple pie");
    assert!(is_complete(&response));
    expect![[r#"
        reserve #1 for shop kv=10 output=8
        decode #1 kv=2 output=8
        resume #1 at 1
    "#]]
    .assert_eq(&decode.transcript());
}

#[tokio::test]
async fn an_answer_resumes_after_its_connection_times_out() {
    let StartedStream { mut caller, decode, request, attempt, entry, .. } = start_stream().await;
    eventually("the first token was relayed", || {
        entry.app.metrics.first_token.get_sample_count() == 1
    })
    .await;

    decode.stop_responding();
    decode.wait_for_frame("resume", |frame| matches!(frame, Frame::Resume(..))).await;
    decode.send_on(0, &side::tokens(request, attempt, 1, &["late"]));
    decode.send(&side::tokens(request, attempt, 1, &["pie"]));
    decode.send(&side::end(request, attempt, 2));
    let response = caller.read().await;

    assert_eq!(streamed_text(&response), "fresh pie");
    assert!(is_complete(&response));
    assert_eq!(entry.app.metrics.connections_silent.get(), 1);
}

#[tokio::test]
async fn late_duplicated_and_misdirected_frames_are_dropped() {
    let StartedStream { mut caller, decode, request, attempt, entry, .. } = start_stream().await;
    let (other_request, old_attempt) = (Request(request.0 ^ 1), Attempt(attempt.0 + 1));

    decode.send(&side::tokens(request, attempt, 0, &["fresh "]));
    decode.send(&side::tokens(other_request, attempt, 1, &["crossed"]));
    decode.send(&side::tokens(request, old_attempt, 1, &["old"]));
    decode.send(&side::tokens(request, attempt, 0, &["fresh ", "pie"]));
    decode.send(&side::end(other_request, attempt, 2));
    decode.send(&side::end(request, attempt, 2));
    decode.send(&side::tokens(request, attempt, 2, &["late"]));
    let response = caller.read().await;

    assert_eq!(streamed_text(&response), "fresh pie");
    assert!(is_complete(&response));
    eventually("dropped frames are counted", || entry.app.metrics.frames_dropped.get() == 5).await;
}

#[tokio::test]
async fn a_missing_part_is_requested_again() {
    let StartedStream { mut caller, decode, request, attempt, .. } = start_stream().await;

    decode.send(&side::tokens(request, attempt, 2, &["pie"]));
    decode.wait_for_frame("resume", |frame| matches!(frame, Frame::Resume(_, _, 1))).await;
    decode.send(&side::tokens(request, attempt, 1, &["apple ", "pie"]));
    decode.send(&side::end(request, attempt, 3));
    let response = caller.read().await;

    assert_eq!(streamed_text(&response), "fresh apple pie");
}

#[tokio::test]
async fn an_end_with_a_wrong_total_never_completes_an_answer() {
    let StartedStream { mut caller, decode, request, attempt, .. } = start_stream().await;

    decode.send(&side::end(request, attempt, 9));
    decode.wait_for_frame("resume", |frame| matches!(frame, Frame::Resume(_, _, 1))).await;
    decode.send(&side::end(request, attempt, 0));
    let response = caller.read().await;

    assert!(!is_complete(&response));
    assert!(response.body.contains(r#""ran":"ran""#), "{}", response.body);
    decode.wait_for_frame("cancel", |frame| matches!(frame, Frame::Cancel(..))).await;
}

#[tokio::test]
async fn a_stream_that_cannot_be_resumed_ends_with_an_error() {
    let StartedStream { mut caller, decode, .. } = start_stream().await;
    caller.read_until("fresh").await;

    decode.refuse_connections();
    decode.disconnect();
    let rest = caller.read_until("backend_failed").await;

    assert!(!rest.contains("[DONE]"));
}

#[tokio::test]
async fn an_unstreamed_answer_that_fails_reports_that_it_ran() {
    let prefill = Side::start(side::engine(&[])).await;
    let decode = Side::start(|frame: &Frame| match frame {
        Frame::Decode(request, attempt, _) => vec![
            side::tokens(*request, *attempt, 0, &["fresh "]),
            failed(*request, *attempt, Ran::Ran, Cause::Backend),
        ],
        other => side::engine_without_answer(other),
    })
    .await;
    let entry = Entry::start(&document(&[prefill.address], &[decode.address], &[])).await;

    let response = call(entry.address, &completion("today", false)).await;

    expect![[r#"
        HTTP/1.1 502 Bad Gateway
        content-type: application/json
        x-chestnutrack-ran: ran
        content-length: 85

        {"error":{"code":"backend_failed","message":"the backend server failed","ran":"ran"}}
    "#]]
    .assert_eq(&response.text());
}

/// Returns a frame that reports a failed attempt.
fn failed(request: Request, attempt: Attempt, ran: Ran, cause: Cause) -> Frame {
    Frame::Failed(request, attempt, Failure { ran, cause, retry_after_ms: 0 }, Load::default())
}

#[tokio::test]
async fn a_request_refused_by_a_full_server_is_placed_elsewhere() {
    let prefill = Side::start(side::engine(&[])).await;
    let full = Side::start(|frame: &Frame| match frame {
        Frame::Reserve(request, attempt, _) => {
            vec![failed(*request, *attempt, Ran::NotRun, Cause::Full)]
        }
        _ => Vec::new(),
    })
    .await;
    let free = Side::start(side::engine(&["pie"])).await;
    let sides = [full.address, free.address];
    let entry = Entry::start(&document(&[prefill.address], &sides, &[])).await;

    let answers = [
        call(entry.address, &completion("one", false)).await,
        call(entry.address, &completion("two", false)).await,
        call(entry.address, &completion("three", false)).await,
    ];

    assert!(answers.iter().all(|response| response.status() == 200));
}

#[tokio::test]
async fn a_failed_prefill_is_retried_elsewhere_and_the_old_reservation_is_cancelled() {
    let failing = Side::start(|frame: &Frame| match frame {
        Frame::Prefill(request, attempt, _) => {
            vec![failed(*request, *attempt, Ran::Unknown, Cause::Backend)]
        }
        _ => Vec::new(),
    })
    .await;
    let working = Side::start(side::engine(&[])).await;
    let decode = Side::start(side::engine(&["pie"])).await;
    let sides = [failing.address, working.address];
    let entry = Entry::start(&document(&sides, &[decode.address], &[])).await;

    let mut was_retried = false;
    for _ in 0..20 {
        let response = call(entry.address, &completion("today", false)).await;
        assert_eq!(response.status(), 200);
        was_retried |= entry.app.metrics.retries.get() > 0;
    }

    assert!(was_retried, "no request was sent to the failing server");
    decode.wait_for_frame("cancel", |frame| matches!(frame, Frame::Cancel(_, Attempt(1)))).await;
}

#[tokio::test]
async fn a_generation_that_may_have_begun_is_not_run_again() {
    let prefill = Side::start(side::engine(&[])).await;
    let decode = Side::start(|frame: &Frame| match frame {
        Frame::Decode(request, attempt, _) => {
            vec![failed(*request, *attempt, Ran::Unknown, Cause::Backend)]
        }
        other => side::engine_without_answer(other),
    })
    .await;
    let entry = Entry::start(&document(&[prefill.address], &[decode.address], &[])).await;

    let response = call(entry.address, &completion("today", false)).await;

    assert_eq!(response.status(), 502);
    assert_eq!(response.header("x-chestnutrack-ran"), Some("unknown"));
    assert!(!decode.transcript().contains("#2"));
}

#[tokio::test]
async fn a_call_that_may_have_run_is_never_repeated() {
    let plain = Side::start(|_: &Frame| Vec::new()).await;
    let entry = Entry::start(&document(&[], &[], &[plain.address])).await;
    let mut caller = Caller::connect(entry.address).await;
    caller.send(&request("POST", "/deposits", &[], "5 euros")).await;
    plain.wait_for_frame("forward", |frame| matches!(frame, Frame::Forward(..))).await;

    plain.refuse_connections();
    plain.disconnect();
    let response = caller.read().await;

    expect![[r#"
        HTTP/1.1 502 Bad Gateway
        content-type: application/json
        x-chestnutrack-ran: unknown
        content-length: 91

        {"error":{"code":"backend_failed","message":"the server can't be reached","ran":"unknown"}}
    "#]]
    .assert_eq(&response.text());
    let forwards =
        plain.received_frames().iter().filter(|frame| matches!(frame, Frame::Forward(..))).count();
    assert_eq!(forwards, 1);
}

#[tokio::test]
async fn a_call_that_was_refused_before_it_ran_is_not_run() {
    let plain = Side::start(|frame: &Frame| match frame {
        Frame::Forward(request, attempt, _) => {
            vec![failed(*request, *attempt, Ran::NotRun, Cause::Leaving)]
        }
        _ => Vec::new(),
    })
    .await;
    let entry = Entry::start(&document(&[], &[], &[plain.address])).await;

    let response = call(entry.address, &request("POST", "/deposits", &[], "5 euros")).await;

    assert_eq!(response.header("x-chestnutrack-ran"), Some("not-run"));
    eventually("all tokens are refunded", || entry.debited("shop") == 0).await;
}

#[tokio::test]
async fn a_truncated_plain_answer_breaks_the_connection() {
    let plain = Side::start(|frame: &Frame| match frame {
        Frame::Forward(request, attempt, _) => vec![
            Frame::Head(*request, *attempt, 200, Vec::new()),
            Frame::Body(*request, *attempt, 0, b"half".to_vec()),
            failed(*request, *attempt, Ran::Ran, Cause::Backend),
        ],
        _ => Vec::new(),
    })
    .await;
    let entry = Entry::start(&document(&[], &[], &[plain.address])).await;

    let response = call(entry.address, &request("GET", "/stock/pies", &[], "")).await;

    assert!(!response.is_whole, "{response:?}");
}

#[tokio::test]
async fn a_command_that_did_not_arrive_is_resent() {
    let StartedStream { caller: _caller, decode, request, attempt, .. } =
        start_unanswered_stream().await;

    decode.disconnect();
    decode.wait_for_frame("resume", |frame| matches!(frame, Frame::Resume(..))).await;
    decode.send(&side::reserved(request, attempt));

    eventually("decode is sent again", || decode.transcript().matches("decode #1").count() == 2)
        .await;
}

/// Starts a streamed completion whose decode server has not answered yet.
async fn start_unanswered_stream() -> StartedStream {
    let prefill = Side::start(side::engine(&[])).await;
    let decode = Side::start(side::engine_without_answer).await;
    let entry = Entry::start(&document(&[prefill.address], &[decode.address], &[])).await;
    let mut caller = Caller::connect(entry.address).await;
    caller.send(&completion("today", true)).await;
    let decode_frame =
        decode.wait_for_frame("decode", |frame| matches!(frame, Frame::Decode(..))).await;
    let (request, attempt) = side::attempt_id(&decode_frame);
    StartedStream { entry, caller, decode, request, attempt, _prefill: prefill }
}

#[tokio::test]
async fn a_side_process_of_a_newer_version_gets_no_work() {
    let newer = Side::start(side::service("new")).await;
    newer.use_version(chestnutrack_wire::frame::VERSION + 1);
    let known = Side::start(side::service("known")).await;
    let document = document(&[], &[], &[newer.address, known.address]);
    let entry = Entry::start_unconnected(&document).await;
    eventually("one is connected", || entry.app.metrics.links.get() == 1).await;

    for _ in 0..10 {
        let response = call(entry.address, &request("GET", "/hours", &[], "")).await;
        assert_eq!(response.body, "known");
    }

    assert!(newer.received_frames().is_empty());
}

#[tokio::test]
async fn unexpected_frames_are_dropped() {
    let StartedStream { mut caller, decode, request, attempt, entry, .. } = start_stream().await;

    decode.send(&Frame::Vouch {
        ask: 1,
        sender: chestnutrack_wire::frame::Sender { name: "stranger".into(), incarnation: 1 },
        members: 1,
        configuration: 1,
    });
    decode.send(&side::prefilled(request, attempt, 1));
    decode.send(&Frame::Head(request, attempt, 200, Vec::new()));
    decode.send(&Frame::Done(request, attempt));
    decode.send(&side::tokens(request, attempt, 1, &["pie"]));
    decode.send(&side::end(request, attempt, 2));
    let response = caller.read().await;

    assert_eq!(streamed_text(&response), "fresh pie");
    assert_eq!(entry.app.metrics.frames_dropped.get(), 4);
}

#[tokio::test]
async fn a_running_answer_is_resumed_on_a_restarted_side_process() {
    let StartedStream { mut caller, decode, request, attempt, .. } = start_stream().await;
    caller.read_until("fresh").await;

    decode.restart();
    decode.wait_for_frame("resume", |frame| matches!(frame, Frame::Resume(_, _, 1))).await;
    decode.send(&side::tokens(request, attempt, 1, &["pie"]));
    decode.send(&side::end(request, attempt, 2));

    caller.read_until("[DONE]").await;
}

#[tokio::test]
async fn a_reservation_on_a_restarted_side_process_is_made_elsewhere() {
    let prefill = Side::start(side::engine(&[])).await;
    let restarting = Side::start(|_: &Frame| Vec::new()).await;
    let working = Side::start(side::engine(&["pie"])).await;
    let sides = [restarting.address, working.address];
    let entry = Entry::start(&document(&[prefill.address], &sides, &[])).await;
    let mut callers = Vec::new();
    while restarting.received_frames().is_empty() {
        let mut caller = Caller::connect(entry.address).await;
        caller.send(&completion("today", false)).await;
        callers.push(caller);
        tokio::time::sleep(std::time::Duration::from_millis(20)).await;
    }

    restarting.restart();
    for mut caller in callers {
        assert_eq!(caller.read().await.status(), 200);
    }

    let is_later_stage = |frame: &Frame| matches!(frame, Frame::Prefill(..) | Frame::Decode(..));
    assert!(!restarting.received_frames().iter().any(is_later_stage));
}

#[tokio::test]
async fn waiting_for_a_free_slot_costs_no_retry() {
    let is_first = std::sync::atomic::AtomicBool::new(true);
    let failing_once = Side::start(move |frame: &Frame| match frame {
        Frame::Prefill(request, attempt, _)
            if is_first.swap(false, std::sync::atomic::Ordering::SeqCst) =>
        {
            vec![failed(*request, *attempt, Ran::Unknown, Cause::Backend)]
        }
        other => side::engine(&[])(other),
    })
    .await;
    let decode = Side::start(|frame: &Frame| match frame {
        Frame::Reserve(request, attempt, _) if attempt.0 <= 5 => {
            vec![failed(*request, *attempt, Ran::NotRun, Cause::Full)]
        }
        other => side::engine(&["pie"])(other),
    })
    .await;
    let document = document(&[failing_once.address], &[decode.address], &[]);
    let entry = Entry::start(&document).await;

    let response = call(entry.address, &completion("today", false)).await;

    assert_eq!(response.status(), 200);
    assert_eq!(entry.app.metrics.retries.get(), 1);
}

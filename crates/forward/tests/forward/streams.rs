//! Tests of requests to model engines: prefill, generation, streams and their resumption.

use crate::fixture::backend::{
    Backend, ReceivedRequest, Step, answer, answer_prefill, chunk, complete_stream, event, events,
    refuse_as_not_run, stream_end, stream_events, stream_head,
};
use crate::fixture::caller::{call, connect, generation, request};
use crate::fixture::{config, decode, engines, host, prefill, wait_until};
use chestnutrack_forward::config::Config;
use std::time::Duration;
use tokio::io::AsyncWriteExt;

/// Sends two events and a part of the third, then resets the connection.
fn break_stream(request: &ReceivedRequest) -> Vec<Step> {
    let mut steps = stream_events(request, 2);
    steps.extend([chunk("id: 3\ndata: ev"), Step::Wait(Duration::from_millis(20)), Step::Reset]);
    steps
}

/// Answers a prefill long after it is overdue.
fn answer_prefill_late(request: &ReceivedRequest) -> Vec<Step> {
    let mut steps = vec![Step::Wait(Duration::from_millis(900))];
    steps.extend(answer_prefill(request));
    steps
}

#[tokio::test]
async fn a_prompt_is_prefilled_at_one_engine_and_generated_at_another() {
    let (prefiller, decoder) =
        (Backend::start(answer_prefill).await, Backend::start(complete_stream).await);
    let host = engines(&prefiller, &[&decoder]).await;

    let answer = call(host.address, &generation("/digest/7")).await;

    assert_eq!((answer.status, answer.complete), (200, true));
    assert_eq!(answer.body, events(1, 4));
    assert_eq!(prefiller.received()[0].header("x-chestnutrack-step"), Some("prefill"));
    let kv = format!("{}/kept-1", prefiller.address);
    assert_eq!(decoder.received()[0].header("x-chestnutrack-kv"), Some(&*kv));
    assert_eq!((prefiller.request_count(), decoder.request_count()), (1, 1));
}

#[tokio::test]
async fn events_are_forwarded_as_they_arrive() {
    let prefiller = Backend::start(answer_prefill).await;
    let decoder = Backend::start(|request| vec![stream_head(request), event(1), Step::Hang]).await;
    let host = engines(&prefiller, &[&decoder]).await;
    let mut connection = connect(host.address).await;

    connection.write_all(generation("/digest/7").as_bytes()).await.unwrap();
    let mut bytes = Vec::new();
    while !String::from_utf8_lossy(&bytes).contains("event 1") {
        use tokio::io::AsyncReadExt;
        bytes.push(connection.read_u8().await.unwrap());
    }
}

#[tokio::test]
async fn a_stream_that_breaks_ends_broken_after_whole_events_and_never_as_complete() {
    let (prefiller, decoder) =
        (Backend::start(answer_prefill).await, Backend::start(break_stream).await);
    let other = Backend::start(complete_stream).await;
    let host = engines(&prefiller, &[&decoder]).await;

    let answer = call(host.address, &generation("/digest/7")).await;

    assert_eq!((&*answer.body, answer.complete), (&*events(1, 2), false));
    assert_eq!(other.request_count(), 0);
}

#[tokio::test]
async fn a_stream_that_may_be_resumed_goes_on_elsewhere_without_a_gap_or_a_repeat() {
    let prefiller = Backend::start(answer_prefill).await;
    let broken = Backend::start(break_stream).await;
    let healthy = Backend::start(complete_stream).await;
    let host = engines(&prefiller, &[&broken, &healthy]).await;

    for _ in 0..6 {
        let answer = call(host.address, &generation("/recap/7")).await;

        assert_eq!((&*answer.body, answer.complete), (&*events(1, 4), true));
    }
    assert!(broken.request_count() >= 1, "the broken engine was never chosen");
    let resumed = healthy
        .received()
        .into_iter()
        .filter(|request| request.header("last-event-id") == Some("2"));
    assert_eq!(resumed.count(), broken.request_count());
}

#[tokio::test]
async fn events_out_of_order_are_not_passed() {
    let prefiller = Backend::start(answer_prefill).await;
    let wrong =
        |request: &ReceivedRequest| vec![stream_head(request), event(1), event(3), stream_end()];
    let decoder = Backend::start(wrong).await;
    let host = engines(&prefiller, &[&decoder]).await;

    let answer = call(host.address, &generation("/digest/7")).await;

    assert_eq!((&*answer.body, answer.complete), (&*events(1, 1), false));
}

#[tokio::test]
async fn a_caller_that_leaves_frees_what_was_prefilled_and_ends_the_generation() {
    let prefiller = Backend::start(answer_prefill).await;
    let decoder = Backend::start(|_| vec![Step::Hang]).await;
    let host = engines(&prefiller, &[&decoder]).await;
    let mut connection = connect(host.address).await;
    connection.write_all(generation("/digest/7").as_bytes()).await.unwrap();
    wait_until(|| decoder.request_count() == 1).await;

    drop(connection);

    wait_until(|| {
        prefiller.received().iter().any(|request| request.line == "DELETE /v1/handles/kept-1")
    })
    .await;
    wait_until(|| decoder.disconnects() == 1).await;
}

#[tokio::test]
async fn a_prompt_that_is_prefilled_goes_to_another_engine_where_the_first_can_not_be_reached() {
    let (prefiller, decoder) =
        (Backend::start(answer_prefill).await, Backend::start(complete_stream).await);
    let ended = Backend::start(complete_stream).await;
    let mut unreachable = decode("decode-9", &ended);
    // Nothing listens on this port.
    unreachable.address.set_port(1);
    let host =
        host(vec![prefill("prefill-1", &prefiller), decode("decode-0", &decoder), unreachable])
            .await;

    for _ in 0..4 {
        let answer = call(host.address, &generation("/digest/7")).await;

        assert_eq!((answer.status, answer.complete), (200, true));
    }
    assert_eq!(prefiller.request_count(), 4);
}

#[tokio::test]
async fn a_refusal_by_an_engine_without_room_gives_a_retry_time() {
    let (prefiller, full) =
        (Backend::start(answer_prefill).await, Backend::start(refuse_as_not_run).await);
    let host = engines(&prefiller, &[&full]).await;

    let answer = call(host.address, &generation("/digest/7")).await;

    assert_eq!(answer.status, 503);
    assert!(answer.header("retry-after").is_some());
    wait_until(|| prefiller.received().iter().any(|request| request.line.starts_with("DELETE")))
        .await;
}

#[tokio::test]
async fn a_generation_that_may_have_begun_is_not_run_again() {
    let prefiller = Backend::start(answer_prefill).await;
    let lost = Backend::start(|_| vec![Step::Reset]).await;
    let other = Backend::start(|_| vec![Step::Reset]).await;
    let host = engines(&prefiller, &[&lost, &other]).await;

    let answer = call(host.address, &generation("/digest/7")).await;

    assert_eq!(answer.status, 502);
    assert_eq!(lost.request_count() + other.request_count(), 1);
}

#[tokio::test]
async fn a_generation_that_may_have_begun_is_never_reported_as_not_run() {
    let prefiller = Backend::start(answer_prefill).await;
    let lost = Backend::start(|_| vec![Step::Reset]).await;
    let full = Backend::start(refuse_as_not_run).await;
    let host = engines(&prefiller, &[&lost, &full]).await;

    while lost.request_count() == 0 {
        let answer = call(host.address, &generation("/recap/7")).await;

        assert!(lost.request_count() == 0 || answer.status == 502, "{answer:?}");
    }
}

#[tokio::test]
async fn a_prefill_whose_answer_is_lost_is_sent_to_another_engine() {
    let silent = Backend::start(|_| vec![Step::Hang]).await;
    let (prefiller, decoder) =
        (Backend::start(answer_prefill).await, Backend::start(complete_stream).await);
    let servers = vec![prefill("prefill-1", &silent), prefill("prefill-2", &prefiller)];
    let host = host(servers.into_iter().chain([decode("decode-1", &decoder)]).collect()).await;

    while silent.request_count() == 0 {
        let answer = call(host.address, &generation("/digest/7")).await;

        assert_eq!((answer.status, answer.complete), (200, true));
    }
}

#[tokio::test]
async fn an_overdue_prefill_is_awaited_if_no_retry_is_left() {
    let slow = Backend::start(answer_prefill_late).await;
    let decoder = Backend::start(complete_stream).await;
    let host = engines(&slow, &[&decoder]).await;
    host.app.set_retry_burst(0);

    let answer = call(host.address, &generation("/digest/7")).await;

    assert_eq!((answer.status, answer.complete, slow.request_count()), (200, true, 1));
}

#[tokio::test]
async fn an_overdue_prefill_is_awaited_if_there_is_no_other_engine() {
    let slow = Backend::start(answer_prefill_late).await;
    let decoder = Backend::start(complete_stream).await;
    let host = engines(&slow, &[&decoder]).await;

    let answer = call(host.address, &generation("/digest/7")).await;

    assert_eq!((answer.status, answer.complete, slow.request_count()), (200, true, 1));
}

#[tokio::test]
async fn a_prompt_that_the_only_prefill_engine_never_answers_is_served_well_before_the_deadline() {
    let silent = Backend::start(|_| vec![Step::Hang]).await;
    let decoder = Backend::start(complete_stream).await;
    let host = engines(&silent, &[&decoder]).await;

    // The route's timeout is ten seconds.
    let limit = Duration::from_secs(8);
    let answer = tokio::time::timeout(limit, call(host.address, &generation("/digest/7"))).await;

    // The decode engine prefills the prompt itself.
    let answer = answer.expect("an answer before the time is over");
    assert_eq!((answer.status, answer.complete, decoder.request_count()), (200, true, 1));
}

#[tokio::test]
async fn a_prefill_that_never_completes_is_given_up_with_a_retry_time() {
    let silent = Backend::start(|_| vec![Step::Hang]).await;
    let decoder = Backend::start(complete_stream).await;
    let host = engines(&silent, &[&decoder]).await;
    host.app.set_retry_burst(0);

    let limit = Duration::from_secs(8);
    let answer = tokio::time::timeout(limit, call(host.address, &generation("/digest/7"))).await;

    let answer = answer.expect("an answer before the time is over");
    assert_eq!((answer.status, silent.request_count(), decoder.request_count()), (503, 1, 0));
    assert!(answer.header("retry-after").is_some());
}

#[tokio::test]
async fn an_overdue_prefill_that_comes_before_the_repeated_one_is_used() {
    let late = Backend::start(answer_prefill_late).await;
    let (silent, decoder) =
        (Backend::start(|_| vec![Step::Hang]).await, Backend::start(complete_stream).await);
    let servers = vec![prefill("prefill-1", &late), prefill("prefill-2", &silent)];
    let host = host(servers.into_iter().chain([decode("decode-1", &decoder)]).collect()).await;

    let answer = call(host.address, &generation("/digest/7")).await;

    assert_eq!((answer.status, answer.complete), (200, true));
    assert_eq!((late.request_count(), decoder.request_count()), (1, 1));
}

#[tokio::test]
async fn a_stream_that_may_be_resumed_begins_elsewhere_where_its_engine_is_silent() {
    let prefiller = Backend::start(answer_prefill).await;
    let (silent, decoder) =
        (Backend::start(|_| vec![Step::Hang]).await, Backend::start(complete_stream).await);
    let host = engines(&prefiller, &[&silent, &decoder]).await;

    while silent.request_count() == 0 {
        let answer = call(host.address, &generation("/recap/7")).await;

        assert_eq!((&*answer.body, answer.complete), (&*events(1, 4), true));
    }
}

#[tokio::test]
async fn a_prompt_whose_engine_was_replaced_is_generated_at_another_from_the_same_kv_cache() {
    let prefiller = Backend::start(answer_prefill).await;
    let replaced = Backend::start(|request| vec![answer(request, "421 No", "")]).await;
    let decoder = Backend::start(complete_stream).await;
    let host = engines(&prefiller, &[&replaced, &decoder]).await;

    let mut calls = 0;
    while replaced.request_count() == 0 {
        let answer = call(host.address, &generation("/digest/7")).await;
        calls += 1;

        assert_eq!((answer.status, answer.complete), (200, true));
    }
    assert_eq!((prefiller.request_count(), decoder.request_count()), (calls, calls));
}

#[tokio::test]
async fn a_replaced_server_is_tried_at_most_once() {
    let prefiller = Backend::start(answer_prefill).await;
    let replaced = Backend::start(|request| vec![answer(request, "421 No", "")]).await;
    let decoder = Backend::start(complete_stream).await;
    let host = engines(&prefiller, &[&replaced, &decoder]).await;

    for _ in 0..8 {
        call(host.address, &generation("/recap/7")).await;
    }

    assert!(replaced.request_count() <= 1, "{}", replaced.request_count());
}

// Guards against a sum of token counts that overflows, so that the task of a request panics.
#[tokio::test]
async fn a_generation_with_the_highest_token_count_is_refused_as_without_room() {
    let prefiller = Backend::start(|_| vec![Step::Hang]).await;
    let decoder = Backend::start(complete_stream).await;
    let host = engines(&prefiller, &[&decoder]).await;
    host.app.configure(Config { version: 2, organisations: Vec::new(), ..config() }, Vec::new());
    let mut connection = connect(host.address).await;
    connection.write_all(generation("/digest/7").as_bytes()).await.unwrap();
    wait_until(|| prefiller.request_count() == 1).await;
    let tokens = format!("x-chestnutrack-tokens: {},2\r\n", u64::MAX);

    let answer = call(host.address, &request("POST", "/digest/7", &tokens, "prompt")).await;

    assert_eq!((answer.status, decoder.request_count()), (503, 0));
}

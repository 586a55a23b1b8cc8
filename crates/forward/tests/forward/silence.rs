//! Tests of engines that fall silent for a while in the middle of a request and then go on.

use crate::fixture::backend::{
    Backend, ReceivedRequest, Step, answer_prefill, complete_stream, event, events,
    refuse_as_not_run, stream_end, stream_head,
};
use crate::fixture::caller::{call, generation};
use crate::fixture::{engines, wait_until};
use std::time::{Duration, Instant};

/// Longer than the silence after which another engine is looked for.
const SILENCE: Duration = Duration::from_millis(1_500);

/// Sends two events, falls silent, and then sends the rest of the stream.
fn pause_in_stream(request: &ReceivedRequest) -> Vec<Step> {
    let before = [stream_head(request), event(1), event(2), Step::Wait(SILENCE)];
    before.into_iter().chain([event(3), event(4), stream_end()]).collect()
}

/// Sends two events and then nothing more.
fn hang_in_stream(request: &ReceivedRequest) -> Vec<Step> {
    vec![stream_head(request), event(1), event(2), Step::Hang]
}

/// Continues a stream after the caller's last event, and hangs if it would have to begin one.
fn continue_only(request: &ReceivedRequest) -> Vec<Step> {
    match request.header("last-event-id") {
        Some(_) => complete_stream(request),
        None => hang_in_stream(request),
    }
}

/// Answers a prefill with a delay if it is to continue a stream, so that the silent engine goes on first.
fn prefill_resumed_late(request: &ReceivedRequest) -> Vec<Step> {
    let delay = match request.header("last-event-id") {
        Some(_) => SILENCE,
        None => Duration::ZERO,
    };
    [Step::Wait(delay)].into_iter().chain(answer_prefill(request)).collect()
}

/// Falls silent before the head of the stream.
fn pause_before_head(request: &ReceivedRequest) -> Vec<Step> {
    [Step::Wait(SILENCE)].into_iter().chain(complete_stream(request)).collect()
}

// Guards against cutting off a caller because a sound engine was silent for a while.
#[tokio::test]
async fn a_stream_whose_only_engine_falls_silent_and_goes_on_is_whole() {
    let (prefiller, decoder) =
        (Backend::start(answer_prefill).await, Backend::start(pause_in_stream).await);
    let host = engines(&prefiller, &[&decoder]).await;

    let answer = call(host.address, &generation("/recap/7")).await;

    assert_eq!((&*answer.body, answer.complete), (&*events(1, 4), true));
}

// Guards against cutting off a caller because a sound engine was silent and the retry budget was empty.
#[tokio::test]
async fn a_stream_whose_engine_falls_silent_and_goes_on_is_whole_without_a_retry_left() {
    let (prefiller, decoder) =
        (Backend::start(answer_prefill).await, Backend::start(pause_in_stream).await);
    let other = Backend::start(pause_in_stream).await;
    let host = engines(&prefiller, &[&decoder, &other]).await;
    host.app.set_retry_burst(0);

    let answer = call(host.address, &generation("/recap/7")).await;

    assert_eq!((&*answer.body, answer.complete), (&*events(1, 4), true));
    assert_eq!(decoder.request_count() + other.request_count(), 1);
}

// Guards against giving up a silent engine before another one has taken the stream over.
#[tokio::test]
async fn a_stream_whose_engine_falls_silent_and_goes_on_is_whole_if_the_other_has_no_room() {
    let (prefiller, decoder) =
        (Backend::start(answer_prefill).await, Backend::start(pause_in_stream).await);
    let full = Backend::start(refuse_as_not_run).await;
    let host = engines(&prefiller, &[&decoder, &full]).await;

    for _ in 0..4 {
        let answer = call(host.address, &generation("/recap/7")).await;

        let is_refused = answer.status == 503;
        assert!(is_refused || answer.body == events(1, 4) && answer.complete, "{answer:?}");
    }
}

// Guards against an error while a sound engine that is silent before its head has the request.
#[tokio::test]
async fn a_stream_whose_only_engine_is_silent_before_its_head_is_whole() {
    let (prefiller, decoder) =
        (Backend::start(answer_prefill).await, Backend::start(pause_before_head).await);
    let host = engines(&prefiller, &[&decoder]).await;

    let answer = call(host.address, &generation("/recap/7")).await;

    assert_eq!((answer.status, &*answer.body, answer.complete), (200, &*events(1, 4), true));
}

// Guards against an event that is lost or comes twice when a silent engine goes on while another one prefills.
#[tokio::test]
async fn a_silent_engine_that_goes_on_before_another_has_the_request_keeps_it() {
    let prefiller = Backend::start(prefill_resumed_late).await;
    let decoder = Backend::start(pause_in_stream).await;
    let other = Backend::start(pause_in_stream).await;
    let host = engines(&prefiller, &[&decoder, &other]).await;

    let answer = call(host.address, &generation("/recap/7")).await;

    assert_eq!((&*answer.body, answer.complete), (&*events(1, 4), true));
    assert_eq!(decoder.request_count() + other.request_count(), 1);
}

// Guards against two engines that work on one request: the silent one has to stop soon after the other one began.
#[tokio::test]
async fn the_connection_to_a_silent_engine_is_closed_once_another_has_the_request() {
    let prefiller = Backend::start(answer_prefill).await;
    let (one, other) = (Backend::start(continue_only).await, Backend::start(continue_only).await);
    let host = engines(&prefiller, &[&one, &other]).await;
    let request = generation("/recap/7");
    let answer = tokio::spawn(async move { call(host.address, &request).await });
    wait_until(|| one.request_count() + other.request_count() == 2).await;
    let both_have_it = Instant::now();

    wait_until(|| one.disconnects() + other.disconnects() == 1).await;
    let overlap = both_have_it.elapsed();

    assert!(overlap < Duration::from_millis(400), "{overlap:?}");
    let answer = answer.await.unwrap();
    assert_eq!((&*answer.body, answer.complete), (&*events(1, 4), true));
}

// Guards against giving up the engine that took a stream over, which may be silent before its head as well.
#[tokio::test]
async fn a_stream_whose_engines_fall_silent_one_after_the_other_is_whole() {
    let prefiller = Backend::start(answer_prefill).await;
    let silent_twice = |request: &ReceivedRequest| match request.header("last-event-id") {
        Some(_) => pause_before_head(request),
        None => hang_in_stream(request),
    };
    let (one, other) = (Backend::start(silent_twice).await, Backend::start(silent_twice).await);
    let host = engines(&prefiller, &[&one, &other]).await;

    let answer = call(host.address, &generation("/recap/7")).await;

    assert_eq!((&*answer.body, answer.complete), (&*events(1, 4), true));
    assert_eq!(one.request_count() + other.request_count(), 2);
}

// Guards against an engine that stays avoided though it went on after a silence.
#[tokio::test]
async fn an_engine_that_goes_on_after_a_silence_gets_the_next_request() {
    let (prefiller, decoder) =
        (Backend::start(answer_prefill).await, Backend::start(pause_in_stream).await);
    let host = engines(&prefiller, &[&decoder]).await;

    for _ in 0..2 {
        let answer = call(host.address, &generation("/recap/7")).await;

        assert_eq!((&*answer.body, answer.complete), (&*events(1, 4), true));
    }
}

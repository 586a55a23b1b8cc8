//! Tests of engines that fall silent for a while in the middle of a request and then go on.

use crate::fixture::backend::{
    Backend, ReceivedRequest, Step, answer_prefill, complete_stream, event, events,
    refuse_as_not_run, stream_end, stream_head,
};
use crate::fixture::caller::{call, generation};
use crate::fixture::engines;
use std::time::Duration;

/// Longer than the silence after which another engine is looked for.
const SILENCE: Duration = Duration::from_millis(1_500);

/// Sends two events, falls silent, and then sends the rest of the stream.
fn pause_in_stream(request: &ReceivedRequest) -> Vec<Step> {
    let before = [stream_head(request), event(1), event(2), Step::Wait(SILENCE)];
    before.into_iter().chain([event(3), event(4), stream_end()]).collect()
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

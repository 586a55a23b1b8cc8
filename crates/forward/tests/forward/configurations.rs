//! Tests that every request is answered while configurations and servers change beside it.

use crate::fixture::backend::{
    Backend, ReceivedRequest, Step, answer_prefill, event, stream_end, stream_head,
};
use crate::fixture::caller::{call, connect, generation, read};
use crate::fixture::{config, decode, host, prefill, wait_until};
use chestnutrack_core::dispatch::Entry;
use chestnutrack_forward::config::Config;
use std::time::Duration;
use tokio::io::AsyncWriteExt;

/// Sends a stream of some events.
fn answer_stream(request: &ReceivedRequest) -> Vec<Step> {
    let last_event: u64 = request.header("last-event-id").map_or(0, |id| id.parse().unwrap());
    let events =
        (last_event + 1..=6).flat_map(|id| [Step::Wait(Duration::from_millis(10)), event(id)]);
    [stream_head(request)].into_iter().chain(events).chain([stream_end()]).collect()
}

// Guards against a panic, and so a request without an answer, under a configuration that states 0 tokens per event.
#[tokio::test]
async fn a_request_that_has_to_wait_is_answered_where_an_engine_s_events_have_no_tokens() {
    let prefiller = Backend::start(answer_prefill).await;
    let decoder = Backend::start(answer_stream).await;
    let engine = Entry { slots: 1, ..decode("decode-1", &decoder) };
    let host = host(vec![prefill("prefill-1", &prefiller), engine]).await;
    let mut config = Config { version: 2, ..config() };
    for engine in config.services.iter_mut().filter_map(|service| service.engine.as_mut()) {
        engine.tokens_per_event = 0;
    }
    host.app.configure(config, b"{}".to_vec());
    let mut connection = connect(host.address).await;
    connection.write_all(generation("/digest/1").as_bytes()).await.unwrap();
    wait_until(|| decoder.request_count() == 1).await;

    let second = call(host.address, &generation("/digest/1")).await;
    let first = read(&mut connection).await;

    assert_eq!((first.status, first.complete), (200, true));
    assert!(second.complete && [200, 503].contains(&second.status), "{second:?}");
}

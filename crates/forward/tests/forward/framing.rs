//! Tests of answers whose end can't be told from their framing: bytes that never end, which must be cut off within the
//! request's time limit, and answers with neither a length nor chunks, which end with their connection.

use crate::fixture::backend::{
    Backend, ReceivedRequest, Step, answer, answer_prefill, chunk, drip, event, flood,
    refuse_as_not_run, send, stream_end, stream_head, unframed_head,
};
use crate::fixture::caller::{Answer, call, generation, request};
use crate::fixture::{Host, decode, host, plain, prefill, wait_until};
use std::time::{Duration, Instant};

/// Time limit of the requests of [`with_time_limit`].
const TIME_LIMIT: Duration = Duration::from_millis(1_000);
/// Longest time by which an answer may exceed [`TIME_LIMIT`] on a busy machine.
const LATENESS_MAX: Duration = Duration::from_millis(2_000);
/// Highest number of bytes that a server may send before it is cut off: what the host buffers, and what the system's
/// socket buffers take meanwhile.
const TAKEN_BYTES_MAX: u64 = 16 << 20;

/// Returns the steps that send a script's steps to a request whose path contains `endless`, and an ordinary answer to
/// any other.
fn answer_endlessly(
    steps: impl Fn(&ReceivedRequest) -> Vec<Step> + Send + Sync + 'static,
) -> impl Fn(&ReceivedRequest) -> Vec<Step> + Send + Sync + 'static {
    move |request| match request.line.contains("endless") {
        true => steps(request),
        false => vec![answer(request, "200 OK", "fine")],
    }
}

/// Starts a host with one plain server that sends the steps in answer to `endless` requests.
async fn plain_host(
    steps: impl Fn(&ReceivedRequest) -> Vec<Step> + Send + Sync + 'static,
) -> (Host, Backend) {
    let backend = Backend::start(answer_endlessly(steps)).await;
    (host(vec![plain("app-1", &backend)]).await, backend)
}

/// Starts a host with an engine for prefill and one for generation, which run the scripts.
async fn engine_host(
    prefill_steps: impl Fn(&ReceivedRequest) -> Vec<Step> + Send + Sync + 'static,
    decode_steps: impl Fn(&ReceivedRequest) -> Vec<Step> + Send + Sync + 'static,
) -> (Host, Backend, Backend) {
    let (prefiller, decoder) =
        (Backend::start(prefill_steps).await, Backend::start(decode_steps).await);
    let servers = vec![prefill("prefill-1", &prefiller), decode("decode-1", &decoder)];
    (host(servers).await, prefiller, decoder)
}

/// Returns the head of a plain answer in chunks.
fn chunked_head(request: &ReceivedRequest) -> Step {
    unframed_head(request, "200 OK", "transfer-encoding: chunked\r\n")
}

/// Returns the text of a request with the time limit [`TIME_LIMIT`].
fn with_time_limit(request: &str) -> String {
    let limit = format!("\r\nx-chestnutrack-deadline-ms: {}\r\n", TIME_LIMIT.as_millis());
    request.replacen("\r\n", &limit, 1)
}

/// Returns the bytes of the events from one identifier to another.
fn events(first_id: u64, last_id: u64) -> String {
    (first_id..=last_id).map(|id| format!("id: {id}\ndata: event {id}\n\n")).collect()
}

/// Returns the steps of an engine that streams four events and ends the stream.
fn complete_stream(request: &ReceivedRequest) -> Vec<Step> {
    let last_event: u64 = request.header("last-event-id").map_or(0, |last| last.parse().unwrap());
    let mut steps = vec![stream_head(request)];
    steps.extend((last_event + 1..=4).map(event));
    steps.push(stream_end());
    steps
}

/// Returns the steps that send a stream's head and its events 1 and 2 in chunks, and then the given step.
fn stream_then(request: &ReceivedRequest, step: Step) -> Vec<Step> {
    vec![stream_head(request), event(1), event(2), step]
}

/// Returns the steps that send a stream's head without a length or chunks, its events 1 and 2, and then the given
/// steps.
fn unframed_stream(request: &ReceivedRequest, steps: Vec<Step>) -> Vec<Step> {
    let head = unframed_head(request, "200 OK", "content-type: text/event-stream\r\n");
    [vec![head, send(events(1, 2))], steps].concat()
}

/// Sends a request and returns the answer with the time that it took.
async fn timed_call(host: &Host, request: &str) -> (Answer, Duration) {
    let started_at = Instant::now();
    let answer = call(host.address, request).await;
    (answer, started_at.elapsed())
}

/// Asserts that the host closed all connections to a server whose bytes don't end, and took few bytes.
async fn assert_cut_off(backend: &Backend) {
    wait_until(|| backend.disconnects() == backend.connections()).await;
    let taken = backend.endless_bytes();
    assert!(taken <= TAKEN_BYTES_MAX, "{taken} bytes taken");
}

/// Asserts that a plain answer that floods the host is lost to the caller and cut off, and that the server's other
/// requests are served.
async fn assert_flood_is_lost(
    steps: impl Fn(&ReceivedRequest) -> Vec<Step> + Send + Sync + 'static,
) {
    let (host, backend) = plain_host(steps).await;

    let answer = call(host.address, &request("POST", "/pay/endless", "", "")).await;
    assert_cut_off(&backend).await;
    let other = call(host.address, &request("POST", "/pay/7", "", "")).await;

    assert_eq!((answer.status, answer.complete, backend.request_count()), (502, true, 2));
    assert_eq!((other.status, &*other.body), (200, "fine"));
}

/// Asserts that a plain answer that lasts beyond the time limit ends as timed out and is cut off, and that the server's
/// other requests are served meanwhile.
async fn assert_times_out(steps: impl Fn(&ReceivedRequest) -> Vec<Step> + Send + Sync + 'static) {
    let (host, backend) = plain_host(steps).await;
    let limited = with_time_limit(&request("POST", "/pay/endless", "", ""));

    let started_at = Instant::now();
    let endless = tokio::spawn(async move { call(host.address, &limited).await });
    wait_until(|| backend.request_count() == 1).await;
    let other = call(host.address, &request("POST", "/pay/7", "", "")).await;
    let other_came_first = !endless.is_finished();
    let answer = endless.await.unwrap();
    let took = started_at.elapsed();
    wait_until(|| backend.disconnects() == 1).await;

    assert_eq!((answer.status, answer.complete), (504, true));
    assert!(took <= TIME_LIMIT + LATENESS_MAX, "{took:?}");
    assert_eq!((other.status, &*other.body, other_came_first), (200, "fine", true));
}

/// Asserts that a stream that floods the host within an event ends broken for the caller after the events before, and
/// is cut off.
async fn assert_stream_is_cut_off(
    steps: impl Fn(&ReceivedRequest) -> Vec<Step> + Send + Sync + 'static,
) {
    let (host, _prefiller, decoder) = engine_host(answer_prefill, steps).await;

    let answer = call(host.address, &generation("/digest/7")).await;
    assert_cut_off(&decoder).await;

    assert_eq!((answer.status, &*answer.body, answer.complete), (200, &*events(1, 2), false));
    assert_eq!(decoder.request_count(), 1);
}

/// Asserts that a prefill answered in this way is not taken for a run of the request, and is cut off.
async fn assert_prefill_fails(
    steps: impl Fn(&ReceivedRequest) -> Vec<Step> + Send + Sync + 'static,
) {
    let (host, prefiller, decoder) = engine_host(steps, complete_stream).await;

    let answer = call(host.address, &generation("/digest/7")).await;
    assert_cut_off(&prefiller).await;

    assert_eq!((answer.status, decoder.request_count()), (503, 0));
    assert!(answer.header("retry-after").is_some());
}

// Heads that never end.

// Guards against buffering an endless header until memory runs out.
#[tokio::test]
async fn an_answer_with_an_endless_header_is_cut_off_and_lost() {
    assert_flood_is_lost(|_| vec![send("HTTP/1.1 200 OK\r\nx-fill: "), flood("a")]).await;
}

// Guards against collecting endless headers until memory runs out.
#[tokio::test]
async fn an_answer_with_endless_headers_is_cut_off_and_lost() {
    assert_flood_is_lost(|_| vec![send("HTTP/1.1 200 OK\r\n"), flood("x-fill: a\r\n")]).await;
}

// Guards against searching endless bytes for a status line.
#[tokio::test]
async fn garbage_in_place_of_a_status_line_is_cut_off_and_lost() {
    assert_flood_is_lost(|_| vec![flood("garbage ")]).await;
}

// Guards against buffering a reason phrase without an end until memory runs out.
#[tokio::test]
async fn an_endless_status_line_is_cut_off_and_lost() {
    assert_flood_is_lost(|_| vec![send("HTTP/1.1 200 "), flood("OK")]).await;
}

// Guards against buffering the empty lines that may precede a status line until memory runs out.
#[tokio::test]
async fn endless_empty_lines_before_an_answer_are_cut_off_and_lost() {
    assert_flood_is_lost(|_| vec![flood("\r\n")]).await;
}

// Guards against interim responses that keep a request and its connection beyond the time limit.
#[tokio::test]
async fn endless_interim_responses_time_out_while_others_are_served() {
    assert_times_out(|_| vec![flood("HTTP/1.1 100 Continue\r\n\r\n")]).await;
}

// Guards against a head that always makes progress and so outlasts the time limit.
#[tokio::test]
async fn a_header_that_arrives_slowly_times_out_while_others_are_served() {
    assert_times_out(|_| vec![send("HTTP/1.1 200 OK\r\nx-fill: "), drip("a")]).await;
}

// Guards against an endless head that leaves a stream's caller without an answer.
#[tokio::test]
async fn a_stream_with_an_endless_header_is_cut_off_and_lost() {
    let endless = |_: &ReceivedRequest| vec![send("HTTP/1.1 200 OK\r\nx-fill: "), flood("a")];
    let (host, _prefiller, decoder) = engine_host(answer_prefill, endless).await;

    let answer = call(host.address, &generation("/digest/7")).await;
    assert_cut_off(&decoder).await;

    assert_eq!((answer.status, decoder.request_count()), (502, 1));
}

// Bodies of plain answers that never end.

// Guards against buffering a body in endless chunks beyond the largest body.
#[tokio::test]
async fn a_body_with_endless_chunks_is_cut_off_and_lost() {
    assert_flood_is_lost(|request| vec![chunked_head(request), flood("4\r\nfill\r\n")]).await;
}

// Guards against buffering a body without a length beyond the largest body.
#[tokio::test]
async fn an_endless_body_without_length_or_chunks_is_cut_off_and_lost() {
    assert_flood_is_lost(|request| vec![unframed_head(request, "200 OK", ""), flood("fill")]).await;
}

// Guards against a body in chunks that always makes progress and so outlasts the time limit.
#[tokio::test]
async fn a_body_whose_chunks_arrive_slowly_times_out_while_others_are_served() {
    assert_times_out(|request| vec![chunked_head(request), drip("1\r\na\r\n")]).await;
}

// Guards against a body without a length that always makes progress and so outlasts the time limit.
#[tokio::test]
async fn a_body_without_length_or_chunks_that_arrives_slowly_times_out_while_others_are_served() {
    assert_times_out(|request| vec![unframed_head(request, "200 OK", ""), drip("a")]).await;
}

// Guards against a chunk size of endless leading zeros, which holds no memory but has no end either.
#[tokio::test]
async fn an_endless_chunk_size_times_out_while_others_are_served() {
    assert_times_out(|request| vec![chunked_head(request), flood("0")]).await;
}

// Guards against an answer of a server without room whose body is awaited although it is not needed.
#[tokio::test]
async fn a_refusal_with_an_endless_body_is_cut_off_and_stays_not_run() {
    let refuse = |request: &ReceivedRequest| {
        let head = unframed_head(request, "503 Full", "x-chestnutrack-ran: not-run\r\n");
        vec![head, flood("fill")]
    };
    let (host, backend) = plain_host(refuse).await;

    let answer = call(host.address, &request("POST", "/pay/endless", "", "")).await;
    assert_cut_off(&backend).await;

    assert_eq!((answer.status, answer.complete), (503, true));
}

// Answers to prefills and to the freeing of handles that never end.

// Guards against buffering the answer to a prefill beyond the largest one.
#[tokio::test]
async fn a_prefill_answered_with_endless_chunks_is_cut_off_and_not_run() {
    assert_prefill_fails(|request| vec![chunked_head(request), flood("4\r\nfill\r\n")]).await;
}

// Guards against buffering the answer to a prefill, without a length, beyond the largest one.
#[tokio::test]
async fn a_prefill_answered_endlessly_without_length_or_chunks_is_cut_off_and_not_run() {
    assert_prefill_fails(|request| vec![unframed_head(request, "200 OK", ""), flood("fill")]).await;
}

// Guards against a prefill whose answer always makes progress and so outlasts the time limit.
#[tokio::test]
async fn a_prefill_whose_answer_arrives_slowly_ends_within_the_time_limit() {
    let slow = |request: &ReceivedRequest| vec![unframed_head(request, "200 OK", ""), drip("a")];
    let (host, prefiller, decoder) = engine_host(slow, complete_stream).await;

    let (answer, took) = timed_call(&host, &with_time_limit(&generation("/digest/7"))).await;
    wait_until(|| prefiller.disconnects() == prefiller.connections()).await;

    assert_eq!((answer.status, decoder.request_count()), (503, 0));
    assert!(took <= TIME_LIMIT + LATENESS_MAX, "{took:?}");
}

// Guards against a call that frees a handle and never ends.
#[tokio::test]
async fn the_freeing_of_a_handle_that_is_answered_endlessly_is_cut_off() {
    for step in [flood("fill"), drip("a")] {
        let prefill_steps = move |request: &ReceivedRequest| match request.line.as_bytes() {
            [b'D', ..] => vec![unframed_head(request, "200 OK", ""), step.clone()],
            _ => answer_prefill(request),
        };
        let (host, prefiller, _decoder) = engine_host(prefill_steps, refuse_as_not_run).await;

        call(host.address, &generation("/digest/7")).await;
        wait_until(|| prefiller.disconnects() == 1).await;

        let taken = prefiller.endless_bytes();
        assert!(taken <= TAKEN_BYTES_MAX, "{taken} bytes taken");
    }
}

// Streams that never end.

// Guards against buffering an event without an end until memory runs out.
#[tokio::test]
async fn a_stream_in_chunks_with_an_endless_event_is_cut_off_and_broken() {
    assert_stream_is_cut_off(|request| stream_then(request, flood("4\r\nfill\r\n"))).await;
}

// Guards against buffering an event without an end until memory runs out, in a stream without a length.
#[tokio::test]
async fn a_stream_without_length_or_chunks_with_an_endless_event_is_cut_off_and_broken() {
    assert_stream_is_cut_off(|request| unframed_stream(request, vec![flood("fill")])).await;
}

// Guards against buffering an event of endless lines until memory runs out.
#[tokio::test]
async fn a_stream_with_an_event_of_endless_lines_is_cut_off_and_broken() {
    assert_stream_is_cut_off(|request| unframed_stream(request, vec![flood("data: a\n")])).await;
}

// Guards against endless chunk extensions, which carry no event.
#[tokio::test]
async fn a_stream_with_an_endless_chunk_extension_is_cut_off_and_broken() {
    let steps =
        |request: &ReceivedRequest| [stream_then(request, send("5;")), vec![flood("a")]].concat();
    assert_stream_is_cut_off(steps).await;
}

// Guards against small extensions that add up in endless chunks.
#[tokio::test]
async fn a_stream_with_an_extension_in_each_of_endless_chunks_is_cut_off_and_broken() {
    assert_stream_is_cut_off(|request| stream_then(request, flood("1;a=b\r\nx\r\n"))).await;
}

// Guards against an endless trailer behind the last chunk, which must not count as the end.
#[tokio::test]
async fn a_stream_with_an_endless_trailer_is_cut_off_and_broken() {
    let steps = |request: &ReceivedRequest| {
        [stream_then(request, send("0\r\nx-fill: ")), vec![flood("a")]].concat()
    };
    assert_stream_is_cut_off(steps).await;
}

// Guards against endless trailers behind the last chunk, which must not count as the end.
#[tokio::test]
async fn a_stream_with_endless_trailers_is_cut_off_and_broken() {
    let steps = |request: &ReceivedRequest| {
        [stream_then(request, send("0\r\n")), vec![flood("x-fill: a\r\n")]].concat()
    };
    assert_stream_is_cut_off(steps).await;
}

// Guards against a stream that may be resumed being lost, or joined wrongly, where an event has no end.
#[tokio::test]
async fn a_resumable_stream_with_an_endless_event_goes_on_elsewhere_without_a_gap_or_a_repeat() {
    let endless = Backend::start(|request| unframed_stream(request, vec![flood("fill")])).await;
    let (prefiller, healthy) =
        (Backend::start(answer_prefill).await, Backend::start(complete_stream).await);
    let engines = [&endless, &healthy];
    let mut servers = vec![prefill("prefill-1", &prefiller)];
    servers.extend(
        engines.iter().enumerate().map(|(n, engine)| decode(&format!("decode-{n}"), engine)),
    );
    let host = host(servers).await;

    while endless.request_count() == 0 {
        let answer = call(host.address, &generation("/recap/7")).await;

        assert_eq!((&*answer.body, answer.complete), (&*events(1, 4), true));
    }
    assert_cut_off(&endless).await;
}

// Guards against an event that arrives slowly and so outlasts the time limit.
#[tokio::test]
async fn a_stream_whose_event_arrives_slowly_ends_broken_at_the_time_limit() {
    let (host, _prefiller, decoder) =
        engine_host(answer_prefill, |request| unframed_stream(request, vec![drip("a")])).await;

    let (answer, took) = timed_call(&host, &with_time_limit(&generation("/digest/7"))).await;
    wait_until(|| decoder.disconnects() == 1).await;

    assert_eq!((&*answer.body, answer.complete), (&*events(1, 2), false));
    assert!(took <= TIME_LIMIT + LATENESS_MAX, "{took:?}");
}

/// Asserts that a stream of endless events, each of them whole and in time, ends broken for the caller at the time
/// limit, and that its connection is closed.
async fn assert_endless_events_end(path: &str, events: Step) {
    let steps = move |request: &ReceivedRequest| unframed_stream(request, vec![events.clone()]);
    let (host, _prefiller, decoder) = engine_host(answer_prefill, steps).await;

    let (answer, took) = timed_call(&host, &with_time_limit(&generation(path))).await;
    wait_until(|| decoder.disconnects() == 1).await;

    assert_eq!((answer.status, answer.complete, decoder.request_count()), (200, false, 1));
    assert!(took <= TIME_LIMIT + LATENESS_MAX, "{took:?}");
}

// Guards against a stream that outlasts the time limit, since an event is always there to be read.
#[tokio::test]
async fn a_stream_of_endless_events_ends_broken_at_the_time_limit() {
    assert_endless_events_end("/digest/7", flood(": still here\n\n")).await;
}

// Guards against a stream that outlasts the time limit, since it is never silent for long.
#[tokio::test]
async fn a_resumable_stream_of_endless_events_ends_broken_at_the_time_limit() {
    assert_endless_events_end("/recap/7", drip(": still here\n\n")).await;
}

// Answers with neither a length nor chunks.

// Guards against losing a part of an answer that ends with its connection, or using that connection again.
#[tokio::test]
async fn an_answer_without_length_or_chunks_is_passed_on_whole() {
    let backend = Backend::start(|request| {
        let head = unframed_head(request, "203 Changed", "x-end: 2\r\n");
        vec![head, send("one "), Step::Wait(Duration::from_millis(20)), send("two"), Step::Close]
    })
    .await;
    let host = host(vec![plain("app-1", &backend)]).await;

    for _ in 0..2 {
        let answer = call(host.address, &request("POST", "/pay/7", "", "")).await;

        assert_eq!((answer.status, &*answer.body, answer.complete), (203, "one two", true));
        assert_eq!(answer.header("x-end"), Some("2"));
        assert_eq!(answer.header("x-chestnutrack-request"), Some("r1"));
    }
    assert_eq!((backend.request_count(), backend.connections()), (2, 2));
}

// Guards against taking the end of the connection for a failure where the body is empty.
#[tokio::test]
async fn an_empty_answer_without_length_or_chunks_is_passed_on_whole() {
    let backend =
        Backend::start(|request| vec![unframed_head(request, "200 OK", ""), Step::Close]).await;
    let host = host(vec![plain("app-1", &backend)]).await;

    let answer = call(host.address, &request("POST", "/pay/7", "", "")).await;

    assert_eq!((answer.status, &*answer.body, answer.complete), (200, "", true));
}

// Guards against taking a reset for the end of an answer without a length.
#[tokio::test]
async fn an_answer_without_length_or_chunks_whose_connection_is_reset_is_lost() {
    let backend = Backend::start(|request| {
        let pause = Step::Wait(Duration::from_millis(20));
        vec![unframed_head(request, "200 OK", ""), send("part"), pause, Step::Reset]
    })
    .await;
    let host = host(vec![plain("app-1", &backend)]).await;

    let answer = call(host.address, &request("POST", "/pay/7", "", "")).await;

    assert_eq!((answer.status, backend.request_count()), (502, 1));
    assert!(!answer.body.contains("part"));
}

// Guards against taking a head that breaks off for an answer without a length.
#[tokio::test]
async fn an_answer_that_ends_inside_its_head_is_lost() {
    let backend =
        Backend::start(|_| vec![send("HTTP/1.1 200 OK\r\nx-end: 2\r\n"), Step::Close]).await;
    let host = host(vec![plain("app-1", &backend)]).await;

    let answer = call(host.address, &request("POST", "/pay/7", "", "")).await;

    assert_eq!((answer.status, backend.request_count()), (502, 1));
}

// Guards against a stream without a length that is taken for a broken one, or whose connection is used again.
#[tokio::test]
async fn a_stream_without_length_or_chunks_that_ends_after_an_event_is_complete() {
    for path in ["/digest/7", "/recap/7"] {
        let (host, _prefiller, decoder) =
            engine_host(answer_prefill, |request| unframed_stream(request, vec![Step::Close]))
                .await;

        for _ in 0..2 {
            let answer = call(host.address, &generation(path)).await;

            assert_eq!((answer.status, answer.complete), (200, true), "{path}");
            assert_eq!(answer.body, events(1, 2), "{path}");
        }
        assert_eq!((decoder.request_count(), decoder.connections()), (2, 2));
    }
}

// Guards against a stream that breaks off inside an event but looks complete.
#[tokio::test]
async fn a_stream_without_length_or_chunks_that_ends_inside_an_event_is_broken() {
    for part in ["i", "id: 3", "id: 3\n", "id: 3\ndata: event 3\n"] {
        let (host, _prefiller, decoder) = engine_host(answer_prefill, move |request| {
            unframed_stream(request, vec![send(part), Step::Close])
        })
        .await;

        let answer = call(host.address, &generation("/digest/7")).await;

        assert_eq!((&*answer.body, answer.complete), (&*events(1, 2), false), "{part:?}");
        assert_eq!(decoder.request_count(), 1);
    }
}

// Guards against a stream in chunks that is whole by its chunks and broken by its events but looks complete.
#[tokio::test]
async fn a_stream_in_chunks_that_ends_inside_an_event_is_broken() {
    let (host, _prefiller, _decoder) = engine_host(answer_prefill, |request| {
        [stream_then(request, chunk("id: 3\n")), vec![stream_end()]].concat()
    })
    .await;

    let answer = call(host.address, &generation("/digest/7")).await;

    assert_eq!((&*answer.body, answer.complete), (&*events(1, 2), false));
}

// Guards against a gap or a repeat where a stream that may be resumed ends inside an event.
#[tokio::test]
async fn a_resumable_stream_that_ends_inside_an_event_goes_on_elsewhere() {
    let broken = Backend::start(|request| {
        unframed_stream(request, vec![send("id: 3\ndata: ev"), Step::Close])
    })
    .await;
    let (prefiller, healthy) =
        (Backend::start(answer_prefill).await, Backend::start(complete_stream).await);
    let host = host(vec![
        prefill("prefill-1", &prefiller),
        decode("decode-0", &broken),
        decode("decode-1", &healthy),
    ])
    .await;

    // Repeat until the broken engine was chosen.
    while broken.request_count() == 0 {
        let answer = call(host.address, &generation("/recap/7")).await;

        assert_eq!((&*answer.body, answer.complete), (&*events(1, 4), true));
    }
    assert_eq!(broken.request_count(), 1);
}

// Guards against taking a reset for the end of a stream without a length.
#[tokio::test]
async fn a_stream_without_length_or_chunks_whose_connection_is_reset_is_broken() {
    let (host, _prefiller, _decoder) = engine_host(answer_prefill, |request| {
        unframed_stream(request, vec![Step::Wait(Duration::from_millis(20)), Step::Reset])
    })
    .await;

    let answer = call(host.address, &generation("/digest/7")).await;

    assert_eq!((&*answer.body, answer.complete), (&*events(1, 2), false));
}

// Guards against a handle that is lost since its answer has no length.
#[tokio::test]
async fn a_prefill_answered_without_length_or_chunks_is_used() {
    let answer_without_length = |request: &ReceivedRequest| {
        vec![unframed_head(request, "200 OK", ""), send(r#"{"handle":"kept-1"}"#), Step::Close]
    };
    let (host, prefiller, decoder) = engine_host(answer_without_length, complete_stream).await;

    for _ in 0..2 {
        let answer = call(host.address, &generation("/digest/7")).await;

        assert_eq!((&*answer.body, answer.complete), (&*events(1, 4), true));
    }
    let kv = format!("{}/kept-1", prefiller.address);
    assert!(
        decoder.received().iter().all(|request| request.header("x-chestnutrack-kv") == Some(&*kv))
    );
    assert_eq!((prefiller.request_count(), prefiller.connections()), (2, 2));
}

// Guards against using a part of a handle whose answer broke off.
#[tokio::test]
async fn a_prefill_answered_without_length_or_chunks_and_reset_is_not_used() {
    let reset = |request: &ReceivedRequest| {
        let pause = Step::Wait(Duration::from_millis(20));
        let head = unframed_head(request, "200 OK", "");
        vec![head, send(r#"{"handle":"kept-1"}"#), pause, Step::Reset]
    };
    let (host, _prefiller, decoder) = engine_host(reset, complete_stream).await;

    let answer = call(host.address, &generation("/digest/7")).await;

    assert_eq!((answer.status, decoder.request_count()), (503, 0));
}

// Guards against an engine's failure that is cut short since its body is no event.
#[tokio::test]
async fn a_failure_of_an_engine_is_passed_on_whole() {
    for path in ["/digest/7", "/recap/7"] {
        let (host, _prefiller, decoder) = engine_host(answer_prefill, |request| {
            vec![unframed_head(request, "500 Failed", ""), send("out of order"), Step::Close]
        })
        .await;

        let answer = call(host.address, &generation(path)).await;

        assert_eq!(
            (answer.status, &*answer.body, answer.complete),
            (500, "out of order", true),
            "{path}"
        );
        assert_eq!(decoder.request_count(), 1, "{path}");
    }
}

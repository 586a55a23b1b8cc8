//! Tests of servers that write an earlier answer once more on a connection that is kept open. Such a copy must not count
//! as the answer to another request, or to the same request that is sent again.

use crate::fixture::backend::{
    Backend, ReceivedRequest, Step, answer, answer_prefill, complete_stream, event, send,
    stream_end, stream_events, stream_head,
};
use crate::fixture::caller::{call, generation, request};
use crate::fixture::{Host, config, decode, host, host_with, plain, prefill, wait_until};
use chestnutrack_core::dispatch::{Change, Entry};
use chestnutrack_core::health::REFUSAL_BACKOFF;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

/// Time by which a copy comes earlier than the answer that is due.
const LEAD: Duration = Duration::from_millis(30);
/// Time after which a copy comes later than the bytes before it.
const LAG: Duration = Duration::from_millis(5);
/// Refusals that state that a request did not run: status line and headers.
const REFUSALS: [&str; 3] = [
    "503 Full\r\nx-chestnutrack-ran: not-run\r\n",
    "429 Busy\r\nx-chestnutrack-ran: not-run\r\n",
    "421 Misdirected Request\r\n",
];

/// When a copy arrives on a kept connection.
#[derive(Clone, Copy, Debug)]
enum Arrival {
    /// In the same bytes as the end of the answer before.
    WithPreviousAnswer,
    /// While no request waits on the connection.
    WhileIdle,
    /// As soon as the next request has arrived.
    WithNextRequest,
    /// A few milliseconds after the next request.
    AfterNextRequest,
}

const ARRIVALS: [Arrival; 4] = [
    Arrival::WithPreviousAnswer,
    Arrival::WhileIdle,
    Arrival::WithNextRequest,
    Arrival::AfterNextRequest,
];

/// Returns the bytes of a refusal without an identifier.
fn anonymous(refusal: &str) -> String {
    format!("HTTP/1.1 {refusal}content-length: 0\r\n\r\n")
}

/// Returns the bytes of an answer with an identifier.
fn identified(id: &str, body: &str) -> String {
    let length = body.len();
    format!(
        "HTTP/1.1 200 OK\r\nx-chestnutrack-request: {id}\r\ncontent-length: {length}\r\n\r\n{body}"
    )
}

/// Returns a step that sends a refusal that states that the request did not run, with its identifier.
fn refusal_of(request: &ReceivedRequest) -> Step {
    let id = request.header("x-chestnutrack-request").unwrap();
    send(anonymous(&format!("{}x-chestnutrack-request: {id}\r\n", REFUSALS[0])))
}

/// Returns the text of a request with another identifier.
fn with_id(text: &str, id: &str) -> String {
    let header = format!("x-chestnutrack-request: {id}\r\n");
    text.replace("x-chestnutrack-request: r1\r\n", &header)
}

/// Returns the steps of a server that runs each request, and writes the copy once on a kept connection.
fn run_with_copy(request: &ReceivedRequest, copy: &str, arrival: Arrival) -> Vec<Step> {
    let id = request.header("x-chestnutrack-request").unwrap();
    let (own, copy) = (identified(id, "fine"), copy.to_owned());
    match (arrival, request.earlier) {
        (Arrival::WithPreviousAnswer, 0) => vec![send(own + &copy)],
        (Arrival::WhileIdle, 0) => vec![send(own), Step::Wait(LAG), send(copy)],
        (Arrival::WithNextRequest, 1..) => vec![send(copy), Step::Wait(LEAD), send(own)],
        (Arrival::AfterNextRequest, 1..) => {
            vec![Step::Wait(LAG), send(copy), Step::Wait(LEAD), send(own)]
        }
        _ => vec![send(own)],
    }
}

/// Returns the number of requests with an identifier that a server received.
fn received(backend: &Backend, id: &str) -> usize {
    let requests = backend.received();
    requests.iter().filter(|request| request.header("x-chestnutrack-request") == Some(id)).count()
}

/// Starts a host with an engine for prefill and one for generation, whose streams that may run only once may be sent to
/// an engine three times.
async fn engine_host(prefiller: &Backend, decoder: &Backend) -> Host {
    let mut config = config();
    let routes = config.routes.iter_mut();
    routes.filter(|route| &*route.name == "digest").for_each(|route| route.attempts = 3);
    host_with(config, vec![prefill("prefill-1", prefiller), decode("decode-1", decoder)]).await
}

/// Lists decode engines with a number of slots.
fn put_decode_engines(host: &Host, engines: &[Backend], slots: u32) {
    for (number, engine) in (1..).zip(engines) {
        let entry = Entry { slots, ..decode(&format!("decode-{number}"), engine) };
        host.app.apply_change(Change::Put(entry.name.clone(), entry));
    }
}

/// Makes calls at once, whose connections are then kept if their answers take a while.
async fn open_connections(host: &Host, count: u32) {
    let address = host.address;
    let calls = (0..count).map(|number| {
        let text = with_id(&generation("/digest/7"), &format!("w{number}"));
        tokio::spawn(async move { call(address, &text).await })
    });
    for call in calls.collect::<Vec<_>>() {
        assert_eq!(call.await.unwrap().status, 200);
    }
}

// Guards against a caller that is told that its request did not run while the server runs it (REFUSED), since a copy of
// another request's refusal states no identifier.
#[tokio::test]
async fn a_copied_refusal_without_an_identifier_is_no_answer_to_the_next_request() {
    for refusal in REFUSALS {
        for arrival in ARRIVALS {
            let copy = anonymous(refusal);
            let backend =
                Backend::start(move |request| run_with_copy(request, &copy, arrival)).await;
            let host = host(vec![plain("app-1", &backend)]).await;
            let text = request("POST", "/pay/7", "", "");

            for id in ["r1", "r2", "r3"] {
                let answer = call(host.address, &with_id(&text, id)).await;
                tokio::time::sleep(4 * LAG).await;

                let context = format!("{refusal:?} {arrival:?} {id}");
                assert!([200, 502].contains(&answer.status), "{context}: {answer:?}");
                assert_eq!(received(&backend, id), 1, "{context}");
            }
        }
    }
}

// Guards against a request that may run once and is sent to a second server while the first runs it (TWICE).
#[tokio::test]
async fn a_request_is_not_sent_elsewhere_for_a_copied_refusal_without_an_identifier() {
    for refusal in REFUSALS {
        let copy = anonymous(refusal);
        let script = move |request: &ReceivedRequest| {
            run_with_copy(request, &copy, Arrival::WithNextRequest)
        };
        let (one, other) = (Backend::start(script.clone()).await, Backend::start(script).await);
        let mut config = config();
        let routes = config.routes.iter_mut();
        routes.filter(|route| &*route.name == "pay").for_each(|route| route.attempts = 2);
        let host = host_with(config, vec![plain("app-1", &one), plain("app-2", &other)]).await;

        for id in ["r1", "r2", "r3", "r4", "r5"] {
            let answer = call(host.address, &with_id(&request("POST", "/pay/7", "", ""), id)).await;

            assert!([200, 502].contains(&answer.status), "{refusal:?} {id}: {answer:?}");
            assert_eq!(received(&one, id) + received(&other, id), 1, "{refusal:?} {id}");
        }
    }
}

// Guards against a request that counts as lost although its server states that it did not run: on a new connection a
// refusal can't be a copy.
#[tokio::test]
async fn a_refusal_without_an_identifier_on_a_new_connection_says_that_nothing_ran() {
    for refusal in REFUSALS {
        let full = Backend::start(move |_| vec![send(anonymous(refusal))]).await;
        let host = host(vec![plain("app-1", &full)]).await;

        let answer = call(host.address, &request("POST", "/pay/7", "", "")).await;

        assert_eq!(answer.status, 503, "{refusal:?}");
    }
}

// Guards against a connection that is used again after a refusal, of which a copy may still come.
#[tokio::test]
async fn a_connection_that_carried_a_refusal_is_not_used_again() {
    let full = Backend::start(|request| vec![refusal_of(request)]).await;
    let host = host(vec![plain("app-1", &full)]).await;

    for id in ["r1", "r2", "r3"] {
        let answer = call(host.address, &with_id(&request("POST", "/pay/7", "", ""), id)).await;

        assert_eq!(answer.status, 503);
    }
    assert_eq!((full.request_count(), full.connections()), (3, 3));
}

// Guards against a request that is sent again to an engine that refused it, and is taken for refused again by a copy of
// the first refusal while the engine runs it (REFUSED).
#[tokio::test]
async fn a_copied_refusal_of_a_request_is_no_answer_when_it_is_sent_to_the_engine_again() {
    let prefiller = Backend::start(answer_prefill).await;
    let sent = Arc::new(AtomicU32::new(0));
    let script = move |request: &ReceivedRequest| {
        let copied = [vec![refusal_of(request), Step::Wait(LEAD)], complete_stream(request)];
        match request.header("x-chestnutrack-request") {
            Some("r1") => match (sent.fetch_add(1, Ordering::Relaxed), request.earlier) {
                (0, _) => vec![refusal_of(request)],
                (_, 0) => complete_stream(request),
                _ => copied.concat(),
            },
            Some("long") => {
                let pause = Step::Wait(Duration::from_millis(3_000));
                [stream_events(request, 1), vec![pause, event(2), stream_end()]].concat()
            }
            _ => [vec![Step::Wait(4 * LEAD)], complete_stream(request)].concat(),
        }
    };
    let engines = [Backend::start(script.clone()).await, Backend::start(script).await];
    let host = engine_host(&prefiller, &engines[0]).await;
    put_decode_engines(&host, &engines, 8);
    open_connections(&host, 4).await;
    // One engine is taken for long, so that the request waits until the other one may be tried again.
    put_decode_engines(&host, &engines, 1);
    let address = host.address;
    tokio::spawn(async move { call(address, &with_id(&generation("/digest/7"), "long")).await });
    wait_until(|| engines.iter().any(|engine| received(engine, "long") == 1)).await;

    let answer = call(host.address, &generation("/digest/7")).await;

    let sent: usize = engines.iter().map(|engine| received(engine, "r1")).sum();
    assert_eq!((answer.status, answer.complete, sent), (200, true, 2));
}

// Guards against a generation from a KV cache that the engine does not keep: a copy of the lost answer to the first
// prefill of a prompt names another handle.
#[tokio::test]
async fn a_copied_answer_to_a_prefill_is_no_answer_when_the_prompt_is_prefilled_again() {
    let sent = AtomicU32::new(0);
    let prefiller = Backend::start(move |request| {
        let first = identified("r1", r#"{"handle":"kept-1"}"#);
        let second = identified("r1", r#"{"handle":"kept-2"}"#);
        if request.header("x-chestnutrack-request") != Some("r1") {
            return [vec![Step::Wait(4 * LEAD)], answer_prefill(request)].concat();
        }
        match (sent.fetch_add(1, Ordering::Relaxed), request.earlier) {
            (0, _) => vec![Step::Reset],
            (_, 0) => vec![send(second)],
            _ => vec![send(first), Step::Wait(LEAD), send(second)],
        }
    })
    .await;
    let decoder = Backend::start(complete_stream).await;
    let host = engine_host(&prefiller, &decoder).await;
    open_connections(&host, 2).await;

    let answer = call(host.address, &generation("/digest/7")).await;

    let requests = decoder.received();
    let handle = requests.last().unwrap().header("x-chestnutrack-kv").unwrap();
    assert_eq!((answer.status, received(&prefiller, "r1")), (200, 2));
    assert!(handle.ends_with("/kept-2"), "{handle}");
}

// Guards against an answer to another caller's request (MIXED), since neither request has an identifier.
#[tokio::test]
async fn a_copied_answer_is_no_answer_to_a_request_without_an_identifier() {
    let requests = Arc::new(AtomicU32::new(0));
    let backend = Backend::start(move |request| {
        let number = requests.fetch_add(1, Ordering::Relaxed);
        let answer =
            |number| send(anonymous("200 OK\r\n").replace("length: 0", "length: 1") + number);
        match (number, request.earlier) {
            (0, _) => vec![answer("0")],
            (_, 0) => vec![answer("1")],
            _ => vec![answer("0"), Step::Wait(LEAD), answer("1")],
        }
    })
    .await;
    let host = host(vec![plain("app-1", &backend)]).await;
    let text = request("GET", "/open/7", "", "").replace("x-chestnutrack-request: r1\r\n", "");

    let first = call(host.address, &text).await;
    let second = call(host.address, &text).await;

    assert_eq!((&*first.body, &*second.body), ("0", "1"));
}

// Guards against a pause in the requests to an engine for which another request's refusal asked, by a copy that is taken
// for the answer to the freeing of a handle.
#[tokio::test]
async fn a_copied_refusal_is_no_answer_to_the_freeing_of_a_handle() {
    let prefiller = Backend::start(|request| match request.line.starts_with("DELETE") {
        true => {
            let refusal = format!("{}retry-after: 9\r\n", REFUSALS[0]);
            let copy = anonymous(&format!("{refusal}x-chestnutrack-request: r0\r\n"));
            vec![send(copy), Step::Wait(LEAD), send(anonymous("200 OK\r\n"))]
        }
        false => answer_prefill(request),
    })
    .await;
    let generations = AtomicU32::new(0);
    let decoder =
        Backend::start(move |request| match generations.fetch_add(1, Ordering::Relaxed) {
            0 => vec![refusal_of(request)],
            _ => complete_stream(request),
        })
        .await;
    let host = host(vec![prefill("prefill-1", &prefiller), decode("decode-1", &decoder)]).await;

    let first = call(host.address, &generation("/digest/7")).await;
    // The host avoids the engine that refused for a while.
    tokio::time::sleep(2 * REFUSAL_BACKOFF.0).await;
    let second = call(host.address, &with_id(&generation("/digest/7"), "r2")).await;

    assert_eq!((first.status, second.status), (503, 200));
    assert_eq!(received(&prefiller, "r2"), 1);
}

// Guards against a refusal that is read from the body of an answer: the request has begun to run.
#[tokio::test]
async fn a_copied_refusal_inside_a_stream_breaks_it_off() {
    let prefiller = Backend::start(answer_prefill).await;
    let decoder = Backend::start(|request| {
        let refusal = anonymous(REFUSALS[0]);
        vec![stream_head(request), event(1), send(refusal), Step::Hang]
    })
    .await;
    let host = engine_host(&prefiller, &decoder).await;

    let answer = call(host.address, &generation("/digest/7")).await;

    assert_eq!((answer.status, answer.complete, decoder.request_count()), (200, false, 1));
}

// Guards against a request that runs twice, or whose caller is told that it did not run, since the answer of the server that
// ran it says both: that it succeeded, and that it did not run.
#[tokio::test]
async fn a_success_that_says_that_it_did_not_run_promises_nothing() {
    let contradiction = "200 OK\r\nx-chestnutrack-ran: not-run";
    let backends = [
        Backend::start(move |seen| vec![answer(seen, contradiction, "fine")]).await,
        Backend::start(move |seen| vec![answer(seen, contradiction, "fine")]).await,
    ];
    let host = host(vec![plain("app-1", &backends[0]), plain("app-2", &backends[1])]).await;

    let answer = call(host.address, &request("POST", "/pay/1", "", "body")).await;

    let sent: usize = backends.iter().map(Backend::request_count).sum();
    assert_eq!((answer.status, sent), (502, 1));
}

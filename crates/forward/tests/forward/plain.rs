//! Tests of requests to plain services.

use crate::fixture::backend::{Backend, ReceivedRequest, Step, answer, refuse_as_not_run, send};
use crate::fixture::caller::{Answer, call, connect, read, request};
use crate::fixture::{host, host_with_dialect, plain, unconfigured_host, wait_until};
use chestnutrack_forward::dialect::{Dialect, ResponseHead};
use chestnutrack_forward::native;
use hyper::{HeaderMap, StatusCode};
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;
use tokio::io::AsyncWriteExt;

/// Answers a request with status 200.
fn answer_ok(request: &ReceivedRequest) -> Vec<Step> {
    vec![answer(request, "200 OK", "fine")]
}

#[tokio::test]
async fn a_request_passes_unchanged_and_its_key_does_not() {
    let backend = Backend::start(answer_ok).await;
    let host = host(vec![plain("app-1", &backend)]).await;

    let answer = call(host.address, &request("POST", "/pay/7?a=%20b&c", "", "{\"x\":1}")).await;

    let received = &backend.received()[0];
    assert_eq!((answer.status, &*answer.body, answer.complete), (200, "fine", true));
    assert_eq!((&*received.line, &received.body[..]), ("POST /pay/7?a=%20b&c", &b"{\"x\":1}"[..]));
    assert_eq!(received.header("x-chestnutrack-organisation"), Some("orchard"));
    assert_eq!(received.header("x-chestnutrack-server"), Some("app-1"));
    assert!(!received.head.contains("key-of-orchard"), "{}", received.head);
}

#[tokio::test]
async fn headers_listed_in_connection_are_not_forwarded_but_for_the_dialect_s_own() {
    let backend = Backend::start(answer_ok).await;
    let host = host(vec![plain("app-1", &backend)]).await;
    let headers = "connection: x-hop, x-chestnutrack-request\r\nx-hop: 1\r\nx-end: 2\r\n";

    call(host.address, &request("GET", "/look/7", headers, "")).await;

    let received = &backend.received()[0];
    assert_eq!((received.header("x-hop"), received.header("x-end")), (None, Some("2")));
    assert_eq!(received.header("x-chestnutrack-request"), Some("r1"));
}

#[tokio::test]
async fn a_body_in_chunks_is_the_same_body() {
    let backend = Backend::start(answer_ok).await;
    let host = host(vec![plain("app-1", &backend)]).await;
    let text = request("POST", "/pay/7", "transfer-encoding: chunked\r\n", "");
    let text = text.replace("content-length: 0\r\n", "") + "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n";

    let answer = call(host.address, &text).await;

    assert_eq!(answer.status, 200);
    assert_eq!(backend.received()[0].body, b"abcde");
}

#[tokio::test]
async fn what_must_land_once_is_not_sent_again_after_its_answer_was_lost() {
    let first = Backend::start(|_| vec![Step::Reset]).await;
    let second = Backend::start(|_| vec![Step::Reset]).await;
    let host = host(vec![plain("app-1", &first), plain("app-2", &second)]).await;

    let answer = call(host.address, &request("POST", "/pay/7", "", "deposit")).await;

    assert_eq!(answer.status, 502);
    assert_eq!(answer.header("retry-after"), None);
    assert_eq!(first.request_count() + second.request_count(), 1);
}

#[tokio::test]
async fn a_look_up_goes_to_another_server_after_its_answer_was_lost() {
    let broken = Backend::start(|_| vec![Step::Reset]).await;
    let healthy = Backend::start(answer_ok).await;
    let host = host(vec![plain("app-1", &broken), plain("app-2", &healthy)]).await;

    // Repeat until the broken server was chosen.
    while broken.request_count() == 0 {
        let answer = call(host.address, &request("GET", "/look/7", "", "")).await;

        assert_eq!(answer.status, 200);
    }
}

#[tokio::test]
async fn a_refusal_after_an_attempt_that_may_have_run_does_not_promise_not_run() {
    // The server that is tried first loses its answer, and the second has no room.
    let asked = Arc::new(AtomicU32::new(0));
    let script = move |request: &ReceivedRequest| match asked.fetch_add(1, Ordering::Relaxed) {
        0 => vec![Step::Reset],
        _ => refuse_as_not_run(request),
    };
    let (one, other) = (Backend::start(script.clone()).await, Backend::start(script).await);
    let host = host(vec![plain("app-1", &one), plain("app-2", &other)]).await;

    let answer = call(host.address, &request("GET", "/look/7", "", "")).await;

    assert_eq!((one.request_count(), other.request_count(), answer.status), (1, 1, 502));
}

#[tokio::test]
async fn a_refusal_says_that_nothing_ran_only_where_the_server_says_so() {
    let full = Backend::start(refuse_as_not_run).await;
    let failing = Backend::start(|_| {
        vec![send(
            "HTTP/1.1 503 Busy\r\nx-chestnutrack-request: r1\r\ncontent-length: 4\r\n\r\nbusy",
        )]
    })
    .await;
    let (refused, forwarded) =
        (host(vec![plain("app-1", &full)]).await, host(vec![plain("app-1", &failing)]).await);

    let refused = call(refused.address, &request("POST", "/pay/7", "", "")).await;
    let forwarded = call(forwarded.address, &request("POST", "/pay/7", "", "")).await;

    assert_eq!(refused.status, 503);
    assert!(refused.header("retry-after").is_some());
    // A 503 that doesn't state that the request did not run is forwarded as the server's answer.
    assert_eq!((forwarded.status, &*forwarded.body), (503, "busy"));
}

#[tokio::test]
async fn an_answer_to_another_request_is_not_forwarded() {
    let crossed = Backend::start(|_| {
        vec![send(
            "HTTP/1.1 200 OK\r\nx-chestnutrack-request: other\r\ncontent-length: 6\r\n\r\nsecret",
        )]
    })
    .await;
    let host = host(vec![plain("app-1", &crossed)]).await;

    let answer = call(host.address, &request("POST", "/pay/7", "", "")).await;

    assert_eq!(answer.status, 502);
    assert!(!answer.body.contains("secret"));
}

/// Guards against an answer without an identifier, such as a second copy of another one, that is taken for the answer to
/// the request that is next on its connection.
#[tokio::test]
async fn an_answer_without_an_identifier_is_not_forwarded() {
    for status in ["200 OK", "404 Not Found", "500 Failed"] {
        let anonymous = Backend::start(move |_| {
            vec![send(format!("HTTP/1.1 {status}\r\ncontent-length: 6\r\n\r\nsecret"))]
        })
        .await;
        let host = host(vec![plain("app-1", &anonymous)]).await;

        let answer = call(host.address, &request("POST", "/pay/7", "", "")).await;

        assert_eq!(answer.status, 502, "{status}");
        assert!(!answer.body.contains("secret"));
    }
}

/// Parses the head of an answer in a dialect whose servers sign their answers.
fn parse_signed_head(status: StatusCode, headers: &HeaderMap) -> ResponseHead {
    let head = (native::DIALECT.parse_response_head)(status, headers);
    ResponseHead { signed: headers.contains_key("x-signature"), ..head }
}

/// Guards against a success that its server did not sign, which is no answer of that server.
#[tokio::test]
async fn a_success_without_a_signature_is_not_forwarded() {
    let dialect = Dialect { parse_response_head: parse_signed_head, ..native::DIALECT };
    let unsigned = Backend::start(answer_ok).await;
    let signed = Backend::start(|_| {
        vec![send(
            "HTTP/1.1 200 OK\r\nx-chestnutrack-request: r1\r\nx-signature: s\r\ncontent-length: 4\r\n\r\nfine",
        )]
    })
    .await;
    let hosts = [
        host_with_dialect(dialect, vec![plain("app-1", &unsigned)]).await,
        host_with_dialect(dialect, vec![plain("app-1", &signed)]).await,
    ];

    let unsigned = call(hosts[0].address, &request("POST", "/pay/7", "", "")).await;
    let signed = call(hosts[1].address, &request("POST", "/pay/7", "", "")).await;

    assert_eq!((unsigned.status, signed.status), (502, 200));
}

#[tokio::test]
async fn a_second_answer_on_a_connection_is_not_given_to_another_request() {
    let doubled = Backend::start(|request| {
        vec![answer(request, "200 OK", "fine"), answer(request, "200 OK", "more")]
    })
    .await;
    let host = host(vec![plain("app-1", &doubled)]).await;

    let first = call(host.address, &request("GET", "/look/7", "", "")).await;
    let text = request("GET", "/look/8", "", "")
        .replace("x-chestnutrack-request: r1", "x-chestnutrack-request: r2");
    let second = call(host.address, &text).await;

    assert_eq!((first.status, &*first.body), (200, "fine"));
    assert!(second.status != 200 || second.body == "fine", "{second:?}");
}

#[tokio::test]
async fn an_answer_that_breaks_off_never_looks_complete() {
    let broken = Backend::start(|_| {
        vec![
            send(
                "HTTP/1.1 200 OK\r\nx-chestnutrack-request: r1\r\ncontent-length: 100\r\n\r\npart",
            ),
            Step::Reset,
        ]
    })
    .await;
    let host = host(vec![plain("app-1", &broken)]).await;

    let answer = call(host.address, &request("POST", "/pay/7", "", "")).await;

    assert_eq!(answer.status, 502);
}

#[tokio::test]
async fn a_caller_that_leaves_ends_the_work_at_the_server_within_half_a_second() {
    let hung = Backend::start(|_| vec![Step::Hang]).await;
    let host = host(vec![plain("app-1", &hung)]).await;
    let mut connection = connect(host.address).await;
    connection.write_all(request("GET", "/look/7", "", "").as_bytes()).await.unwrap();
    wait_until(|| hung.request_count() == 1).await;

    drop(connection);
    tokio::time::sleep(Duration::from_millis(450)).await;

    assert_eq!(hung.disconnects(), 1);
    assert_eq!(hung.request_count(), 1);
}

#[tokio::test]
async fn a_route_s_timeout_ends_a_request_without_a_promise_that_it_did_not_run() {
    let hung = Backend::start(|_| vec![Step::Hang]).await;
    let host = host(vec![plain("app-1", &hung)]).await;

    let answer = call(host.address, &request("POST", "/brief/7", "", "")).await;

    assert_eq!(answer.status, 504);
}

#[tokio::test]
async fn a_host_without_a_configuration_gives_a_retry_time_and_not_404() {
    let host = unconfigured_host().await;

    let answer = call(host.address, &request("POST", "/pay/7", "", "")).await;

    assert_eq!(answer.status, 503);
    assert!(answer.header("retry-after").is_some());
}

#[tokio::test]
async fn unknown_routes_and_keys_are_refused_with_their_own_status() {
    let backend = Backend::start(answer_ok).await;
    let host = host(vec![plain("app-1", &backend)]).await;
    let unknown_key = request("POST", "/pay/7", "", "").replace("key-of-orchard", "stolen");
    let without_key =
        request("GET", "/open/7", "", "").replace("authorization: Bearer key-of-orchard\r\n", "");

    let statuses = [
        call(host.address, &request("POST", "/nowhere/7", "", "")).await.status,
        call(host.address, &unknown_key).await.status,
        call(host.address, &without_key).await.status,
    ];

    assert_eq!(statuses, [404, 401, 200]);
}

#[tokio::test]
async fn a_leaving_server_gets_no_more_requests() {
    let backend = Backend::start(answer_ok).await;
    let host = host(vec![plain("app-1", &backend)]).await;
    let first_answer = call(host.address, &request("GET", "/look/7", "", "")).await;

    let mut entry = plain("app-1", &backend);
    entry.leaving = true;
    host.app.apply_change(chestnutrack_core::dispatch::Change::Put("app-1".into(), entry));
    let second_answer = call(host.address, &request("GET", "/look/7", "", "")).await;

    assert_eq!((first_answer.status, second_answer.status, backend.request_count()), (200, 503, 1));
}

#[tokio::test]
async fn many_requests_share_a_connection_on_both_sides() {
    let backend = Backend::start(answer_ok).await;
    let host = host(vec![plain("app-1", &backend)]).await;
    let mut connection = connect(host.address).await;

    let mut answers: Vec<Answer> = Vec::new();
    for _ in 0..3 {
        connection.write_all(request("GET", "/look/7", "", "").as_bytes()).await.unwrap();
        answers.push(read(&mut connection).await);
    }

    assert!(answers.iter().all(|answer| answer.status == 200), "{answers:?}");
}

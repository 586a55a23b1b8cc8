//! Requests to plain services.

use crate::fixture::backend::{Backend, Seen, Step, answer, not_run, send};
use crate::fixture::caller::{Answer, call, connect, read, request};
use crate::fixture::{bare, host, plain, until};
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;
use tokio::io::AsyncWriteExt;

fn fine(seen: &Seen) -> Vec<Step> {
    vec![answer(seen, "200 OK", "fine")]
}

#[tokio::test]
async fn a_request_passes_unchanged_and_its_key_does_not() {
    let backend = Backend::start(fine).await;
    let host = host(vec![plain("app-1", &backend)]).await;

    let answer = call(host.address, &request("POST", "/pay/7?a=%20b&c", "", "{\"x\":1}")).await;

    let seen = &backend.seen()[0];
    assert_eq!((answer.status, &*answer.body, answer.whole), (200, "fine", true));
    assert_eq!((&*seen.line, &seen.body[..]), ("POST /pay/7?a=%20b&c", &b"{\"x\":1}"[..]));
    assert_eq!(seen.header("x-chestnutrack-organisation"), Some("orchard"));
    assert_eq!(seen.header("x-chestnutrack-server"), Some("app-1"));
    assert!(!seen.head.contains("key-of-orchard"), "{}", seen.head);
}

#[tokio::test]
async fn headers_that_the_connection_names_stay_behind_but_for_the_request_s_own() {
    let backend = Backend::start(fine).await;
    let host = host(vec![plain("app-1", &backend)]).await;
    let headers = "connection: x-hop, x-chestnutrack-request\r\nx-hop: 1\r\nx-end: 2\r\n";

    call(host.address, &request("GET", "/look/7", headers, "")).await;

    let seen = &backend.seen()[0];
    assert_eq!((seen.header("x-hop"), seen.header("x-end")), (None, Some("2")));
    assert_eq!(seen.header("x-chestnutrack-request"), Some("r1"));
}

#[tokio::test]
async fn a_body_in_chunks_is_the_same_body() {
    let backend = Backend::start(fine).await;
    let host = host(vec![plain("app-1", &backend)]).await;
    let text = request("POST", "/pay/7", "transfer-encoding: chunked\r\n", "");
    let text = text.replace("content-length: 0\r\n", "") + "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n";

    let answer = call(host.address, &text).await;

    assert_eq!(answer.status, 200);
    assert_eq!(backend.seen()[0].body, b"abcde");
}

#[tokio::test]
async fn what_must_land_once_is_not_sent_again_after_its_answer_was_lost() {
    let first = Backend::start(|_| vec![Step::Reset]).await;
    let second = Backend::start(|_| vec![Step::Reset]).await;
    let host = host(vec![plain("app-1", &first), plain("app-2", &second)]).await;

    let answer = call(host.address, &request("POST", "/pay/7", "", "deposit")).await;

    assert_eq!(answer.status, 502);
    assert_eq!(answer.header("retry-after"), None);
    assert_eq!(first.count() + second.count(), 1);
}

#[tokio::test]
async fn a_look_up_goes_to_another_server_after_its_answer_was_lost() {
    let broken = Backend::start(|_| vec![Step::Reset]).await;
    let sound = Backend::start(fine).await;
    let host = host(vec![plain("app-1", &broken), plain("app-2", &sound)]).await;

    // Until the one that breaks was drawn.
    while broken.count() == 0 {
        let answer = call(host.address, &request("GET", "/look/7", "", "")).await;

        assert_eq!(answer.status, 200);
    }
}

#[tokio::test]
async fn a_refusal_after_an_attempt_that_may_have_run_promises_nothing() {
    // Whichever server is asked first loses its answer, and the other is full.
    let asked = Arc::new(AtomicU32::new(0));
    let script = move |seen: &Seen| match asked.fetch_add(1, Ordering::Relaxed) {
        0 => vec![Step::Reset],
        _ => not_run(seen),
    };
    let (one, other) = (Backend::start(script.clone()).await, Backend::start(script).await);
    let host = host(vec![plain("app-1", &one), plain("app-2", &other)]).await;

    let answer = call(host.address, &request("GET", "/look/7", "", "")).await;

    assert_eq!((one.count(), other.count(), answer.status), (1, 1, 502));
}

#[tokio::test]
async fn a_refusal_says_that_nothing_ran_only_where_the_server_says_so() {
    let full = Backend::start(not_run).await;
    let mute = Backend::start(|_| {
        vec![send(
            "HTTP/1.1 503 Busy\r\nx-chestnutrack-request: r1\r\ncontent-length: 4\r\n\r\nbusy",
        )]
    })
    .await;
    let (refused, passed) =
        (host(vec![plain("app-1", &full)]).await, host(vec![plain("app-1", &mute)]).await);

    let refused = call(refused.address, &request("POST", "/pay/7", "", "")).await;
    let passed = call(passed.address, &request("POST", "/pay/7", "", "")).await;

    assert_eq!(refused.status, 503);
    assert!(refused.header("retry-after").is_some());
    // The server's own failure is its answer.
    assert_eq!((passed.status, &*passed.body), (503, "busy"));
}

#[tokio::test]
async fn an_answer_to_another_request_reaches_nobody() {
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

#[tokio::test]
async fn a_second_answer_on_a_connection_meets_no_other_request() {
    let doubled =
        Backend::start(|seen| vec![answer(seen, "200 OK", "fine"), answer(seen, "200 OK", "more")])
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
async fn an_answer_that_breaks_off_never_looks_whole() {
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
    until(|| hung.count() == 1).await;

    drop(connection);
    tokio::time::sleep(Duration::from_millis(450)).await;

    assert_eq!(hung.left(), 1);
    assert_eq!(hung.count(), 1);
}

#[tokio::test]
async fn a_route_s_time_ends_a_request_with_an_answer_that_promises_nothing() {
    let hung = Backend::start(|_| vec![Step::Hang]).await;
    let host = host(vec![plain("app-1", &hung)]).await;

    let answer = call(host.address, &request("POST", "/brief/7", "", "")).await;

    assert_eq!(answer.status, 504);
}

#[tokio::test]
async fn a_host_without_a_configuration_says_come_back_and_not_that_there_is_no_route() {
    let host = bare().await;

    let answer = call(host.address, &request("POST", "/pay/7", "", "")).await;

    assert_eq!(answer.status, 503);
    assert!(answer.header("retry-after").is_some());
}

#[tokio::test]
async fn routes_and_keys_that_are_not_there_are_said_so() {
    let backend = Backend::start(fine).await;
    let host = host(vec![plain("app-1", &backend)]).await;
    let stranger = request("POST", "/pay/7", "", "").replace("key-of-orchard", "stolen");
    let keyless =
        request("GET", "/open/7", "", "").replace("authorization: Bearer key-of-orchard\r\n", "");

    let statuses = [
        call(host.address, &request("POST", "/nowhere/7", "", "")).await.status,
        call(host.address, &stranger).await.status,
        call(host.address, &keyless).await.status,
    ];

    assert_eq!(statuses, [404, 401, 200]);
}

#[tokio::test]
async fn a_server_that_left_gets_nothing_more() {
    let backend = Backend::start(fine).await;
    let host = host(vec![plain("app-1", &backend)]).await;
    let before = call(host.address, &request("GET", "/look/7", "", "")).await;

    let mut entry = plain("app-1", &backend);
    entry.leaving = true;
    host.app.apply_change(chestnutrack_core::dispatch::Change::Put("app-1".into(), entry));
    let after = call(host.address, &request("GET", "/look/7", "", "")).await;

    assert_eq!((before.status, after.status, backend.count()), (200, 503, 1));
}

#[tokio::test]
async fn many_requests_share_a_connection_on_both_sides() {
    let backend = Backend::start(fine).await;
    let host = host(vec![plain("app-1", &backend)]).await;
    let mut connection = connect(host.address).await;

    let mut answers: Vec<Answer> = Vec::new();
    for _ in 0..3 {
        connection.write_all(request("GET", "/look/7", "", "").as_bytes()).await.unwrap();
        answers.push(read(&mut connection).await);
    }

    assert!(answers.iter().all(|answer| answer.status == 200), "{answers:?}");
}

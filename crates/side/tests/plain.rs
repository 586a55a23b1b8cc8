//! Plain calls: the requests that reach the service, and the failures that are reported.

#![allow(clippy::unwrap_used)]

mod fixture;

use chestnutrack_wire::frame::{Cause, Failure, Forward, Ran};
use chestnutrack_wire::{Frame, Request};
use fixture::{
    ATTEMPT, Cluster, EntryHost, bind, configure, forward, get, post, reserve_refusing_address,
    start_side, wait_until,
};
use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

async fn start_cluster() -> Cluster {
    let cluster = Cluster::start().await;
    cluster.configure(1, &cluster.document()).await;
    cluster
}

async fn connect(cluster: &Cluster) -> EntryHost {
    EntryHost::connect(cluster.plain.program.listen, "entry-1", 1).await
}

/// Reads the answer to a call: its body or its failure.
async fn read_answer(host: &mut EntryHost) -> Result<String, Failure> {
    let mut body = Vec::new();
    loop {
        match host.next().await {
            Frame::Head(..) => {}
            Frame::Body(_, _, offset, bytes) => {
                assert_eq!(offset, body.len() as u64);
                body.extend(bytes);
            }
            Frame::BodyEnd(_, _, length, _) => {
                assert_eq!(length, body.len() as u64);
                return Ok(String::from_utf8(body).unwrap());
            }
            Frame::Failed(_, _, failure, _) => return Err(failure),
            frame => panic!("{frame:?}"),
        }
    }
}

#[tokio::test]
async fn the_service_sees_no_credentials_and_no_hop_by_hop_headers() {
    let cluster = start_cluster().await;
    let mut host = connect(&cluster).await;
    let names = [
        "Authorization",
        "Proxy-Authorization",
        "Connection",
        "Keep-Alive",
        "X-Listed",
        "Transfer-Encoding",
        "Upgrade",
        "TE",
        "X-Kept",
    ];
    let value = |name: &str| if name == "Connection" { "close, X-Listed" } else { "trailers" };
    let headers = names.map(|name| (name.into(), value(name).into())).to_vec();

    let call = Forward { headers, ..forward("a deposit") };
    host.send(&Frame::Forward(Request(1), ATTEMPT, call));
    read_answer(&mut host).await.unwrap();

    let seen = get(cluster.plain.backend, "/control/seen").await;
    let headers = seen["seen"][0]["headers"].as_array().unwrap();
    let mut names: Vec<_> = headers.iter().map(|header| header[0].as_str().unwrap()).collect();
    names.sort_unstable();
    assert_eq!(names, ["content-length", "host", "x-kept"]);
}

#[tokio::test]
async fn a_call_whose_connection_breaks_may_have_run_and_is_not_sent_again() {
    let cluster = start_cluster().await;
    let mut host = connect(&cluster).await;
    post(cluster.plain.backend, "/control/faults", json!({"drop_after": 1})).await;

    host.send(&Frame::Forward(Request(1), ATTEMPT, forward("a deposit")));
    let failure = read_answer(&mut host).await.unwrap_err();
    host.send(&Frame::Forward(Request(1), ATTEMPT, forward("a deposit")));
    let repeated = read_answer(&mut host).await.unwrap_err();

    assert_eq!((failure.cause, failure.ran), (Cause::Backend, Ran::Unknown));
    assert_eq!(repeated, failure);
    assert_eq!(get(cluster.plain.backend, "/control/counts").await["ran"], json!(1));
}

#[tokio::test]
async fn a_call_to_an_unreachable_service_has_not_run() {
    let cluster = start_cluster().await;
    let (_reserved, address) = reserve_refusing_address();
    let side = start_side(cluster.platform, "plain-1", cluster.plain.role, address).await;
    configure(&side, 1, &cluster.document()).await;
    let mut host = EntryHost::connect(side.program.listen, "entry-1", 1).await;

    host.send(&Frame::Forward(Request(1), ATTEMPT, forward("a deposit")));
    let failure = read_answer(&mut host).await.unwrap_err();

    assert_eq!((failure.cause, failure.ran), (Cause::Backend, Ran::NotRun));
}

#[tokio::test]
async fn a_late_answer_does_not_reach_another_call() {
    let cluster = start_cluster().await;
    let mut host = connect(&cluster).await;
    post(cluster.plain.backend, "/control/faults", json!({"hang": true})).await;
    let late = Forward { target: "/deposits/late".into(), deadline_ms: 100, ..forward("late") };

    host.send(&Frame::Forward(Request(1), ATTEMPT, late));
    let failure = read_answer(&mut host).await.unwrap_err();
    post(cluster.plain.backend, "/control/faults", json!({"hang": false})).await;
    host.send(&Frame::Forward(Request(2), ATTEMPT, forward("next")));
    let next = read_answer(&mut host).await.unwrap();

    assert_eq!(failure.ran, Ran::Unknown);
    assert!(next.contains("\"/deposits\""), "{next}");
}

#[tokio::test]
async fn a_call_that_waits_too_long_for_a_slot_has_not_run() {
    let cluster = start_cluster().await;
    let mut host = connect(&cluster).await;
    post(cluster.plain.backend, "/control/faults", json!({"hang": true})).await;
    for request in 1..=2 {
        host.send(&Frame::Forward(Request(request), ATTEMPT, forward("takes a slot")));
    }
    let call = Forward { wait_ms: 50, ..forward("waits") };

    host.send(&Frame::Forward(Request(3), ATTEMPT, call));
    let failure = read_answer(&mut host).await.unwrap_err();

    assert_eq!((failure.cause, failure.ran), (Cause::Full, Ran::NotRun));
    assert!(failure.retry_after_ms > 0);
}

#[tokio::test]
async fn a_cancelled_call_gives_its_slot_back() {
    let cluster = start_cluster().await;
    let host = connect(&cluster).await;
    post(cluster.plain.backend, "/control/faults", json!({"hang": true})).await;
    for request in 1..=2 {
        host.send(&Frame::Forward(Request(request), ATTEMPT, forward("takes a slot")));
    }
    wait_until("both calls have reached the service", async || {
        get(cluster.plain.backend, "/control/counts").await["calls"] == json!(2)
    })
    .await;

    host.send(&Frame::Cancel(Request(1), ATTEMPT));
    host.send(&Frame::Forward(Request(3), ATTEMPT, forward("takes its place")));

    wait_until("the third call has reached the service", async || {
        get(cluster.plain.backend, "/control/counts").await["calls"] == json!(3)
    })
    .await;
}

/// Starts a service that answers every call with the same bytes and closes the connection, and
/// returns its address.
async fn start_canned(answer: &'static str) -> std::net::SocketAddr {
    let (listener, address) = bind().await;
    tokio::spawn(async move {
        while let Ok((mut tcp, _)) = listener.accept().await {
            let mut head = [0; 4_096];
            let _ = tcp.read(&mut head).await;
            let _ = tcp.write_all(answer.as_bytes()).await;
        }
    });
    address
}

/// Calls a service that answers with these bytes.
async fn call_canned(bytes: &'static str) -> Result<String, Failure> {
    let cluster = start_cluster().await;
    let backend = start_canned(bytes).await;
    let side = start_side(cluster.platform, "plain-1", cluster.plain.role, backend).await;
    configure(&side, 1, &cluster.document()).await;
    let mut host = EntryHost::connect(side.program.listen, "entry-1", 1).await;
    host.send(&Frame::Forward(Request(1), ATTEMPT, forward("a deposit")));
    read_answer(&mut host).await
}

#[tokio::test]
async fn a_truncated_answer_fails() {
    let truncated = "HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\nonly this";
    let chunked = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nonly\r\n";

    for bytes in [truncated, chunked] {
        let failure = call_canned(bytes).await.unwrap_err();

        assert_eq!((failure.cause, failure.ran), (Cause::Backend, Ran::Ran), "{bytes}");
    }
}

#[tokio::test]
async fn a_call_answered_with_invalid_http_may_have_run() {
    let failure = call_canned("garbage\r\n\r\n").await.unwrap_err();

    assert_eq!((failure.cause, failure.ran), (Cause::Backend, Ran::Unknown));
}

#[tokio::test]
async fn a_body_is_resumed_at_its_offset() {
    let cluster = start_cluster().await;
    let mut first = connect(&cluster).await;
    first.send(&Frame::Forward(Request(1), ATTEMPT, forward("a deposit")));
    let whole = read_answer(&mut first).await.unwrap();
    drop(first);

    let mut second = connect(&cluster).await;
    second.send(&Frame::Resume(Request(1), ATTEMPT, 10));
    let rest = second.next().await;

    let Frame::Body(_, _, 10, bytes) = rest else { panic!("{rest:?}") };
    assert_eq!(bytes, whole.as_bytes()[10..]);
}

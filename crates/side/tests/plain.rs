//! Plain calls: what the service sees, and what is said when it fails.

#![allow(clippy::unwrap_used)]

mod fixture;

use chestnutrack_wire::frame::{Cause, Failure, Forward, Ran};
use chestnutrack_wire::{Frame, Request};
use fixture::{ATTEMPT, Host, World, beside, configure, forward, get, listener, post, until};
use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

async fn world() -> World {
    let world = World::start().await;
    world.configure(1, &world.document()).await;
    world
}

async fn host(world: &World) -> Host {
    Host::connect(world.plain.program.listen, "entry-1", 1).await
}

/// What the answer to a call is: its body, or how it failed.
async fn answer(host: &mut Host) -> Result<String, Failure> {
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
    let world = world().await;
    let mut host = host(&world).await;
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

    let ask = Forward { headers, ..forward("a deposit") };
    host.send(&Frame::Forward(Request(1), ATTEMPT, ask));
    answer(&mut host).await.unwrap();

    let seen = get(world.plain.backend, "/control/seen").await;
    let headers = seen["seen"][0]["headers"].as_array().unwrap();
    let mut names: Vec<_> = headers.iter().map(|header| header[0].as_str().unwrap()).collect();
    names.sort_unstable();
    assert_eq!(names, ["content-length", "host", "x-kept"]);
}

#[tokio::test]
async fn a_call_whose_connection_breaks_may_have_run_and_is_not_sent_again() {
    let world = world().await;
    let mut host = host(&world).await;
    post(world.plain.backend, "/control/faults", json!({"drop_after": 1})).await;

    host.send(&Frame::Forward(Request(1), ATTEMPT, forward("a deposit")));
    let failure = answer(&mut host).await.unwrap_err();
    host.send(&Frame::Forward(Request(1), ATTEMPT, forward("a deposit")));
    let repeated = answer(&mut host).await.unwrap_err();

    assert_eq!((failure.cause, failure.ran), (Cause::Backend, Ran::Unknown));
    assert_eq!(repeated, failure);
    assert_eq!(get(world.plain.backend, "/control/counts").await["ran"], json!(1));
}

#[tokio::test]
async fn a_call_to_a_service_that_is_not_there_has_not_run() {
    let world = world().await;
    let (closed, address) = listener().await;
    drop(closed);
    let gone = beside(world.platform, "plain-1", world.plain.role, address).await;
    configure(&gone, 1, &world.document()).await;
    let mut host = Host::connect(gone.program.listen, "entry-1", 1).await;

    host.send(&Frame::Forward(Request(1), ATTEMPT, forward("a deposit")));
    let failure = answer(&mut host).await.unwrap_err();

    assert_eq!((failure.cause, failure.ran), (Cause::Backend, Ran::NotRun));
}

#[tokio::test]
async fn a_late_answer_meets_no_other_call() {
    let world = world().await;
    let mut host = host(&world).await;
    post(world.plain.backend, "/control/faults", json!({"hang": true})).await;
    let late = Forward { target: "/deposits/late".into(), deadline_ms: 100, ..forward("late") };

    host.send(&Frame::Forward(Request(1), ATTEMPT, late));
    let failure = answer(&mut host).await.unwrap_err();
    post(world.plain.backend, "/control/faults", json!({"hang": false})).await;
    host.send(&Frame::Forward(Request(2), ATTEMPT, forward("next")));
    let next = answer(&mut host).await.unwrap();

    assert_eq!(failure.ran, Ran::Unknown);
    assert!(next.contains("\"/deposits\""), "{next}");
}

#[tokio::test]
async fn a_call_that_waits_too_long_for_a_slot_has_not_run() {
    let world = world().await;
    let mut host = host(&world).await;
    post(world.plain.backend, "/control/faults", json!({"hang": true})).await;
    for request in 1..=2 {
        host.send(&Frame::Forward(Request(request), ATTEMPT, forward("takes a slot")));
    }
    let patient = Forward { wait_ms: 50, ..forward("waits") };

    host.send(&Frame::Forward(Request(3), ATTEMPT, patient));
    let failure = answer(&mut host).await.unwrap_err();

    assert_eq!((failure.cause, failure.ran), (Cause::Full, Ran::NotRun));
    assert!(failure.retry_after_ms > 0);
}

#[tokio::test]
async fn a_cancelled_call_gives_its_slot_back() {
    let world = world().await;
    let host = host(&world).await;
    post(world.plain.backend, "/control/faults", json!({"hang": true})).await;
    for request in 1..=2 {
        host.send(&Frame::Forward(Request(request), ATTEMPT, forward("takes a slot")));
    }
    until("both are called", async || {
        get(world.plain.backend, "/control/counts").await["calls"] == json!(2)
    })
    .await;

    host.send(&Frame::Cancel(Request(1), ATTEMPT));
    host.send(&Frame::Forward(Request(3), ATTEMPT, forward("takes its place")));

    until("the third is called", async || {
        get(world.plain.backend, "/control/counts").await["calls"] == json!(3)
    })
    .await;
}

/// A service that answers every call with the same bytes and closes the connection.
async fn canned(answer: &'static str) -> std::net::SocketAddr {
    let (listener, address) = listener().await;
    tokio::spawn(async move {
        while let Ok((mut tcp, _)) = listener.accept().await {
            let mut head = [0; 4_096];
            let _ = tcp.read(&mut head).await;
            let _ = tcp.write_all(answer.as_bytes()).await;
        }
    });
    address
}

async fn answer_of(bytes: &'static str) -> Result<String, Failure> {
    let world = world().await;
    let backend = canned(bytes).await;
    let canned = beside(world.platform, "plain-1", world.plain.role, backend).await;
    configure(&canned, 1, &world.document()).await;
    let mut host = Host::connect(canned.program.listen, "entry-1", 1).await;
    host.send(&Frame::Forward(Request(1), ATTEMPT, forward("a deposit")));
    answer(&mut host).await
}

#[tokio::test]
async fn an_answer_that_is_cut_short_is_no_whole_answer() {
    let short = "HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\nonly this";
    let chunked = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nonly\r\n";

    for bytes in [short, chunked] {
        let failure = answer_of(bytes).await.unwrap_err();

        assert_eq!((failure.cause, failure.ran), (Cause::Backend, Ran::Ran), "{bytes}");
    }
}

#[tokio::test]
async fn an_answer_that_is_no_http_may_have_run() {
    let failure = answer_of("garbage\r\n\r\n").await.unwrap_err();

    assert_eq!((failure.cause, failure.ran), (Cause::Backend, Ran::Unknown));
}

#[tokio::test]
async fn a_body_is_resumed_at_its_offset() {
    let world = world().await;
    let mut first = host(&world).await;
    first.send(&Frame::Forward(Request(1), ATTEMPT, forward("a deposit")));
    let whole = answer(&mut first).await.unwrap();
    drop(first);

    let mut second = host(&world).await;
    second.send(&Frame::Resume(Request(1), ATTEMPT, 10));
    let rest = second.next().await;

    let Frame::Body(_, _, 10, bytes) = rest else { panic!("{rest:?}") };
    assert_eq!(bytes, whole.as_bytes()[10..]);
}

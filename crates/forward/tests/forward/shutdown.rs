//! Tests that a shutdown answers the requests in flight and closes the connections.

use crate::fixture::backend::{Backend, Step, answer};
use crate::fixture::caller::{Answer, connect, read, request};
use crate::fixture::{DRAIN, Host, TEST_TIMEOUT, host, plain, wait_until};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::time::{sleep, timeout};

#[tokio::test]
async fn an_in_flight_request_is_answered_and_its_connection_closed() {
    let slow = Backend::start(|request| {
        vec![Step::Wait(Duration::from_millis(400)), answer(request, "200 OK", "fine")]
    })
    .await;
    let host = host(vec![plain("app-1", &slow)]).await;
    let mut connection = connect(host.address).await;
    connection.write_all(request("POST", "/pay/7", "", "").as_bytes()).await.unwrap();
    wait_until(|| slow.request_count() == 1).await;

    host.stop.set();
    let answer = read(&mut connection).await;
    let rest = timeout(TEST_TIMEOUT, connection.read_u8()).await.unwrap();
    timeout(TEST_TIMEOUT, host.serving).await.unwrap().unwrap();

    assert_eq!((answer.status, &*answer.body), (200, "fine"));
    assert!(rest.is_err(), "the connection is closed");
}

#[tokio::test]
async fn an_unused_connection_is_closed_and_the_process_ends() {
    let backend = Backend::start(|request| vec![answer(request, "200 OK", "fine")]).await;
    let host = host(vec![plain("app-1", &backend)]).await;
    let mut connection = connect(host.address).await;
    connection.write_all(request("POST", "/pay/7", "", "").as_bytes()).await.unwrap();
    read(&mut connection).await;

    host.stop.set();

    timeout(TEST_TIMEOUT, host.serving).await.unwrap().unwrap();
    assert!(timeout(TEST_TIMEOUT, connection.read_u8()).await.unwrap().is_err());
}

/// Opens a connection, sends the first half of a request for a path, and the second half once the host closes connections.
/// Returns the answer.
async fn call_across_the_notice_period(host: Host, path: &str) -> Answer {
    let mut connection = connect(host.address).await;
    let text = request("POST", path, "", "");
    let (first, second) = text.split_at(text.len() / 2);
    connection.write_all(first.as_bytes()).await.unwrap();
    // The host has read the first half before the shutdown begins.
    sleep(Duration::from_millis(50)).await;
    host.stop.set();
    sleep(DRAIN.notice + Duration::from_millis(100)).await;
    connection.write_all(second.as_bytes()).await.unwrap();
    read(&mut connection).await
}

/// Guards against a request that is taken late in a shutdown, sent on, and cut off by the end of the process.
#[tokio::test]
async fn a_request_that_could_outlast_the_process_is_refused_as_not_run() {
    let backend = Backend::start(|request| vec![answer(request, "200 OK", "fine")]).await;
    let host = host(vec![plain("app-1", &backend)]).await;

    let answer = call_across_the_notice_period(host, "/pay/7").await;

    assert_eq!((answer.status, answer.header("connection")), (503, Some("close")));
    assert!(answer.header("retry-after").is_some());
    assert_eq!(backend.request_count(), 0);
}

#[tokio::test]
async fn a_late_request_that_ends_before_the_process_is_served() {
    let backend = Backend::start(|request| vec![answer(request, "200 OK", "fine")]).await;
    let host = host(vec![plain("app-1", &backend)]).await;

    // The route's timeout is shorter than what is left of the drain.
    let answer = call_across_the_notice_period(host, "/brief/7").await;

    assert_eq!((answer.status, &*answer.body), (200, "fine"));
}

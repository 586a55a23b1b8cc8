//! Tests that a shutdown answers the requests in flight and closes the connections.

use crate::fixture::backend::{Backend, Step, answer};
use crate::fixture::caller::{connect, read, request};
use crate::fixture::{TEST_TIMEOUT, host, plain, wait_until};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::time::timeout;

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

//! A shutdown that cuts no request.

use crate::fixture::backend::{Backend, Step, answer};
use crate::fixture::caller::{connect, read, request};
use crate::fixture::{PATIENCE, host, plain, until};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::time::timeout;

#[tokio::test]
async fn a_request_under_way_is_answered_and_its_connection_closed() {
    let slow = Backend::start(|seen| {
        vec![Step::Wait(Duration::from_millis(400)), answer(seen, "200 OK", "fine")]
    })
    .await;
    let host = host(vec![plain("app-1", &slow)]).await;
    let mut connection = connect(host.address).await;
    connection.write_all(request("POST", "/pay/7", "", "").as_bytes()).await.unwrap();
    until(|| slow.count() == 1).await;

    host.stop.set();
    let answer = read(&mut connection).await;
    let rest = timeout(PATIENCE, connection.read_u8()).await.unwrap();
    timeout(PATIENCE, host.serving).await.unwrap().unwrap();

    assert_eq!((answer.status, &*answer.body), (200, "fine"));
    assert!(rest.is_err(), "the connection is closed");
}

#[tokio::test]
async fn an_unused_connection_is_closed_and_the_process_ends() {
    let backend = Backend::start(|seen| vec![answer(seen, "200 OK", "fine")]).await;
    let host = host(vec![plain("app-1", &backend)]).await;
    let mut connection = connect(host.address).await;
    connection.write_all(request("POST", "/pay/7", "", "").as_bytes()).await.unwrap();
    read(&mut connection).await;

    host.stop.set();

    timeout(PATIENCE, host.serving).await.unwrap().unwrap();
    assert!(timeout(PATIENCE, connection.read_u8()).await.unwrap().is_err());
}

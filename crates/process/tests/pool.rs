//! When a connection is used again, and when it never is.

#![allow(clippy::unwrap_used)]

use bytes::Bytes;
use chestnutrack_process::http::{self, ConnectError, Error};
use chestnutrack_process::pool::{Pool, Settings};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

const PATIENCE: Duration = Duration::from_secs(20);
const ANSWER: &str = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";

/// A server that gives each call on a connection the next of these answers, then closes it. An
/// answer of `""` is silence.
struct Server {
    address: SocketAddr,
    connections: Arc<AtomicUsize>,
    calls: Arc<AtomicUsize>,
}

impl Server {
    fn connections(&self) -> usize {
        self.connections.load(Ordering::SeqCst)
    }

    fn calls(&self) -> usize {
        self.calls.load(Ordering::SeqCst)
    }
}

async fn server(answers: &'static [&'static str]) -> Server {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let server = Server { address, connections: Arc::default(), calls: Arc::default() };
    let (connections, calls) = (Arc::clone(&server.connections), Arc::clone(&server.calls));
    tokio::spawn(async move {
        while let Ok((tcp, _)) = listener.accept().await {
            connections.fetch_add(1, Ordering::SeqCst);
            tokio::spawn(answer(tcp, answers, Arc::clone(&calls)));
        }
    });
    server
}

async fn answer(mut tcp: TcpStream, answers: &[&str], calls: Arc<AtomicUsize>) {
    for answer in answers {
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\n") {
            let Ok(byte) = tcp.read_u8().await else { return };
            head.push(byte);
        }
        calls.fetch_add(1, Ordering::SeqCst);
        if answer.is_empty() {
            std::future::pending::<()>().await;
        }
        tcp.write_all(answer.as_bytes()).await.unwrap();
    }
}

async fn call(pool: &Pool, limit: Duration) -> Result<Bytes, Error> {
    let request = http::request("GET", "/", Bytes::new()).unwrap();
    Ok(pool.call(request, limit, 100).await?.into_body())
}

#[tokio::test]
async fn a_connection_whose_answer_was_read_is_used_again() {
    let server = server(&[ANSWER; 3]).await;
    let pool = Pool::new(server.address, Settings::default());

    for _ in 0..3 {
        assert_eq!(call(&pool, PATIENCE).await.unwrap(), "ok");
    }

    assert_eq!((server.connections(), server.calls()), (1, 3));
}

#[tokio::test]
async fn no_more_connections_are_open_than_may_be() {
    let server = server(&[ANSWER; 3]).await;
    let wait = Duration::from_millis(20);
    let settings = Settings { open_max: 1, acquire_timeout: wait, ..Settings::default() };
    let pool = Pool::new(server.address, settings);
    let request = || http::request("GET", "/", Bytes::new()).unwrap();

    let mut held = pool.call_streaming(request(), PATIENCE).await.unwrap();
    let crowded = call(&pool, PATIENCE).await;
    held.body_mut().read(100).await.unwrap();
    let after = call(&pool, PATIENCE).await;

    assert_eq!(crowded, Err(Error::Connect(server.address, ConnectError::PoolExhausted)));
    assert_eq!((after.unwrap(), server.connections()), ("ok".into(), 1));
}

#[tokio::test]
async fn the_connections_that_may_be_open_change() {
    let server = server(&[ANSWER; 4]).await;
    let pool = Pool::new(server.address, Settings { open_max: 4, ..Settings::default() });
    let request = || http::request("GET", "/", Bytes::new()).unwrap();
    let held = pool.call_streaming(request(), PATIENCE).await.unwrap();

    pool.set_open_max(1);
    let none_left = call(&pool, PATIENCE).await;
    pool.set_open_max(2);
    let one_left = call(&pool, PATIENCE).await;

    drop(held);
    assert!(none_left.is_err());
    assert!(one_left.is_ok());
}

#[tokio::test]
async fn a_connection_that_the_server_closed_is_replaced() {
    let server =
        server(&["HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: 2\r\n\r\nok"]).await;
    let pool = Pool::new(server.address, Settings::default());

    for _ in 0..3 {
        assert_eq!(call(&pool, PATIENCE).await.unwrap(), "ok");
    }

    assert_eq!((server.connections(), server.calls()), (3, 3));
}

#[tokio::test]
async fn a_timeout_closes_the_connection_and_the_unused_ones() {
    let server = server(&[ANSWER, ""]).await;
    let pool = Pool::new(server.address, Settings::default());
    let both = tokio::join!(call(&pool, PATIENCE), call(&pool, PATIENCE));
    assert!(both.0.is_ok() && both.1.is_ok());
    let before = server.connections();

    let silent = call(&pool, Duration::from_millis(500)).await;
    let next = call(&pool, PATIENCE).await;

    assert_eq!(silent, Err(Error::Timeout(500)));
    assert_eq!(next.unwrap(), "ok");
    assert_eq!(server.connections(), before + 1);
}

#[tokio::test]
async fn a_connection_unused_for_long_is_not_used_again() {
    let server = server(&[ANSWER; 3]).await;
    let settings = Settings { idle_timeout: Duration::ZERO, ..Settings::default() };
    let pool = Pool::new(server.address, settings);

    for _ in 0..2 {
        assert_eq!(call(&pool, PATIENCE).await.unwrap(), "ok");
    }

    assert_eq!(server.connections(), 2);
}

#[tokio::test]
async fn an_oversized_answer_ends_its_connection() {
    let head = "HTTP/1.1 200 OK\r\ncontent-length: 101\r\n\r\n";
    let large: &'static str = format!("{head}{}", "x".repeat(101)).leak();
    let server = server(vec![large, ANSWER].leak()).await;
    let pool = Pool::new(server.address, Settings::default());

    let outcome = call(&pool, PATIENCE).await;

    assert_eq!(outcome, Err(Error::TooLarge(100)));
    assert_eq!(call(&pool, PATIENCE).await, Err(Error::TooLarge(100)));
    assert_eq!(server.connections(), 2);
}

#[tokio::test]
async fn a_call_to_nobody_was_not_sent() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    drop(listener);
    let pool = Pool::new(address, Settings::default());

    let outcome = call(&pool, PATIENCE).await;

    assert!(matches!(outcome, Err(Error::Connect(..))), "{outcome:?}");
}

/// A server that reads the first calls and closes their connections, then answers.
async fn cutting(cuts: usize) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        for _ in 0..cuts {
            let (mut tcp, _) = listener.accept().await.unwrap();
            let _ = tcp.read(&mut [0; 1_000]).await;
        }
        let (tcp, _) = listener.accept().await.unwrap();
        answer(tcp, &[ANSWER], Arc::default()).await;
    });
    address
}

async fn ask(pool: &Pool) -> Result<Bytes, Error> {
    let request = http::request("GET", "/", Bytes::new()).unwrap();
    Ok(pool.call_idempotent(request, PATIENCE, 100).await?.into_body())
}

#[tokio::test]
async fn a_call_that_is_cut_may_have_run() {
    let pool = Pool::new(cutting(1).await, Settings::default());

    let outcome = call(&pool, PATIENCE).await;

    assert!(matches!(outcome, Err(Error::Broken(_))), "{outcome:?}");
}

#[tokio::test]
async fn a_question_that_is_cut_is_asked_once_more() {
    let once = Pool::new(cutting(1).await, Settings::default());
    let twice = Pool::new(cutting(2).await, Settings::default());

    let answered = ask(&once).await;
    let broken = ask(&twice).await;

    assert_eq!(answered.unwrap(), "ok");
    assert!(matches!(broken, Err(Error::Broken(_))), "{broken:?}");
}

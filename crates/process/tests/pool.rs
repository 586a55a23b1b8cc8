//! When the pool reuses a connection, and when it opens a new one.

#![allow(clippy::unwrap_used)]

use bytes::Bytes;
use chestnutrack_process::http::{self, ConnectError, Error};
use chestnutrack_process::pool::{Pool, Probe, Reuse, Settings};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

const CALL_TIMEOUT: Duration = Duration::from_secs(20);
const RESPONSE: &str = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";

/// Server that sends a fixed sequence of responses on each connection and then closes it. In place
/// of an empty response it sends nothing and keeps the connection open.
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

async fn server(responses: &'static [&'static str]) -> Server {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let server = Server { address, connections: Arc::default(), calls: Arc::default() };
    let (connections, calls) = (Arc::clone(&server.connections), Arc::clone(&server.calls));
    tokio::spawn(async move {
        while let Ok((tcp, _)) = listener.accept().await {
            connections.fetch_add(1, Ordering::SeqCst);
            tokio::spawn(respond(tcp, responses, Arc::clone(&calls)));
        }
    });
    server
}

async fn respond(mut tcp: TcpStream, responses: &[&str], calls: Arc<AtomicUsize>) {
    for response in responses {
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\n") {
            let Ok(byte) = tcp.read_u8().await else { return };
            head.push(byte);
        }
        calls.fetch_add(1, Ordering::SeqCst);
        if response.is_empty() {
            std::future::pending::<()>().await;
        }
        tcp.write_all(response.as_bytes()).await.unwrap();
    }
}

async fn call(pool: &Pool, limit: Duration) -> Result<Bytes, Error> {
    let request = http::request("GET", "/", Bytes::new()).unwrap();
    Ok(pool.call(request, limit, 100).await?.into_body())
}

#[tokio::test]
async fn a_connection_is_reused_after_its_response_was_read() {
    let server = server(&[RESPONSE; 3]).await;
    let pool = Pool::new(server.address, Settings::default());

    for _ in 0..3 {
        assert_eq!(call(&pool, CALL_TIMEOUT).await.unwrap(), "ok");
    }

    assert_eq!((server.connections(), server.calls()), (1, 3));
}

// Guards against a call that gets a connection on which a copy of an earlier response may come, and against more open
// connections than calls.
#[tokio::test]
async fn a_call_that_forbids_reuse_gets_a_new_connection_in_place_of_an_idle_one() {
    let server = server(&[RESPONSE; 3]).await;
    let pool = Pool::new(server.address, Settings::default());
    let mut calls = Vec::new();

    for reuse in [Reuse::Allowed, Reuse::Forbidden, Reuse::Allowed] {
        let request = http::request("GET", "/", Bytes::new()).unwrap();
        let call = pool.call_streaming_observed(request, reuse, CALL_TIMEOUT, &|| {}).await;
        let mut stream = call.unwrap().into_body();
        stream.read(100).await.unwrap();
        calls.push((server.connections(), stream.is_first()));
    }

    assert_eq!(calls, [(1, true), (2, true), (2, false)]);
}

#[tokio::test]
async fn no_more_connections_are_opened_than_the_limit() {
    let server = server(&[RESPONSE; 3]).await;
    let wait = Duration::from_millis(20);
    let settings = Settings { open_max: 1, acquire_timeout: wait, ..Settings::default() };
    let pool = Pool::new(server.address, settings);
    let request = || http::request("GET", "/", Bytes::new()).unwrap();

    let mut held = pool.call_streaming(request(), CALL_TIMEOUT).await.unwrap();
    let exhausted = call(&pool, CALL_TIMEOUT).await;
    held.body_mut().read(100).await.unwrap();
    let after = call(&pool, CALL_TIMEOUT).await;

    assert_eq!(exhausted, Err(Error::Connect(server.address, ConnectError::PoolExhausted)));
    assert_eq!((after.unwrap(), server.connections()), ("ok".into(), 1));
}

#[tokio::test]
async fn the_limit_of_open_connections_can_be_changed() {
    let server = server(&[RESPONSE; 4]).await;
    let pool = Pool::new(server.address, Settings { open_max: 4, ..Settings::default() });
    let request = || http::request("GET", "/", Bytes::new()).unwrap();
    let held = pool.call_streaming(request(), CALL_TIMEOUT).await.unwrap();

    pool.set_open_max(1);
    let over_limit = call(&pool, CALL_TIMEOUT).await;
    pool.set_open_max(2);
    let within_limit = call(&pool, CALL_TIMEOUT).await;

    drop(held);
    assert!(over_limit.is_err());
    assert!(within_limit.is_ok());
}

#[tokio::test]
async fn a_connection_that_the_server_closed_is_replaced() {
    let server =
        server(&["HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: 2\r\n\r\nok"]).await;
    let pool = Pool::new(server.address, Settings::default());

    for _ in 0..3 {
        assert_eq!(call(&pool, CALL_TIMEOUT).await.unwrap(), "ok");
    }

    assert_eq!((server.connections(), server.calls()), (3, 3));
}

#[tokio::test]
async fn a_timeout_closes_the_connection_and_the_idle_ones() {
    let server = server(&[RESPONSE, ""]).await;
    let pool = Pool::new(server.address, Settings::default());
    let both = tokio::join!(call(&pool, CALL_TIMEOUT), call(&pool, CALL_TIMEOUT));
    assert!(both.0.is_ok() && both.1.is_ok());
    let before = server.connections();

    let timed_out = call(&pool, Duration::from_millis(500)).await;
    let next = call(&pool, CALL_TIMEOUT).await;

    assert_eq!(timed_out, Err(Error::Timeout(500)));
    assert_eq!(next.unwrap(), "ok");
    assert_eq!(server.connections(), before + 1);
}

#[tokio::test]
async fn a_connection_past_its_idle_timeout_is_not_reused() {
    let server = server(&[RESPONSE; 3]).await;
    let settings = Settings { idle_timeout: Duration::ZERO, ..Settings::default() };
    let pool = Pool::new(server.address, settings);

    for _ in 0..2 {
        assert_eq!(call(&pool, CALL_TIMEOUT).await.unwrap(), "ok");
    }

    assert_eq!(server.connections(), 2);
}

#[tokio::test]
async fn an_oversized_response_closes_its_connection() {
    let head = "HTTP/1.1 200 OK\r\ncontent-length: 101\r\n\r\n";
    let large: &'static str = format!("{head}{}", "x".repeat(101)).leak();
    let server = server(vec![large, RESPONSE].leak()).await;
    let pool = Pool::new(server.address, Settings::default());

    let outcome = call(&pool, CALL_TIMEOUT).await;

    assert_eq!(outcome, Err(Error::TooLarge(100)));
    assert_eq!(call(&pool, CALL_TIMEOUT).await, Err(Error::TooLarge(100)));
    assert_eq!(server.connections(), 2);
}

/// Server that sends a text to each caller, and then a part of it repeatedly until the caller closes the connection.
struct EndlessServer {
    address: SocketAddr,
    /// Bytes sent after the start, on all connections.
    sent: Arc<AtomicUsize>,
    accepted: Arc<AtomicUsize>,
    closed: Arc<AtomicUsize>,
}

impl EndlessServer {
    /// Waits until the callers have closed all connections.
    async fn wait_until_closed(&self) {
        let closed = async {
            while self.closed.load(Ordering::SeqCst) < self.accepted.load(Ordering::SeqCst) {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        };
        tokio::time::timeout(CALL_TIMEOUT, closed).await.expect("connections close in time");
    }
}

/// Starts a server that sends `start` and then `part` repeatedly, a millisecond apart.
async fn endless_server(start: &'static str, part: &'static str) -> EndlessServer {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (accepted, closed, sent) =
        <(Arc<AtomicUsize>, Arc<AtomicUsize>, Arc<AtomicUsize>)>::default();
    let server = EndlessServer {
        address,
        sent: Arc::clone(&sent),
        accepted: Arc::clone(&accepted),
        closed: Arc::clone(&closed),
    };
    tokio::spawn(async move {
        while let Ok((mut tcp, _)) = listener.accept().await {
            accepted.fetch_add(1, Ordering::SeqCst);
            let (closed, sent) = (Arc::clone(&closed), Arc::clone(&sent));
            tokio::spawn(async move {
                let _ = tcp.read(&mut [0; 1_000]).await;
                tcp.write_all(start.as_bytes()).await.unwrap();
                while tcp.write_all(part.as_bytes()).await.is_ok() {
                    sent.fetch_add(part.len(), Ordering::SeqCst);
                    tokio::time::sleep(Duration::from_millis(1)).await;
                }
                closed.fetch_add(1, Ordering::SeqCst);
            });
        }
    });
    server
}

// Guards against a call for a report, an order or the freeing of a handle that reads an endless body.
#[tokio::test]
async fn a_call_answered_with_an_endless_body_fails_and_closes_its_connection() {
    let unframed = endless_server("HTTP/1.1 200 OK\r\n\r\n", "fill").await;
    let chunked =
        endless_server("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n", "4\r\nfill\r\n")
            .await;

    for server in [unframed, chunked] {
        let pool = Pool::new(server.address, Settings::default());

        let outcome = call(&pool, CALL_TIMEOUT).await;

        assert_eq!(outcome, Err(Error::TooLarge(100)));
        server.wait_until_closed().await;
    }
}

// Guards against endless heads that take hundreds of kilobytes each.
#[tokio::test]
async fn a_call_answered_with_an_endless_head_fails_at_the_limit_and_closes_its_connection() {
    let part: &'static str = "a".repeat(1 << 10).leak();
    let server = endless_server("HTTP/1.1 200 OK\r\nx-fill: ", part).await;
    let pool = Pool::new(server.address, Settings::default());

    let outcome = call(&pool, CALL_TIMEOUT).await;
    server.wait_until_closed().await;

    assert!(matches!(outcome, Err(Error::Broken(_))), "{outcome:?}");
    // The system's buffers take some bytes more.
    let sent = server.sent.load(Ordering::SeqCst);
    assert!(sent <= 3 * http::RESPONSE_HEAD_BYTES_MAX, "{sent} bytes sent");
}

// Guards against a call whose answer always makes progress and so outlasts the call's timeout.
#[tokio::test]
async fn a_call_whose_answer_outlasts_its_timeout_fails_and_closes_its_connection() {
    let timeout = Duration::from_millis(300);
    let header = endless_server("HTTP/1.1 200 OK\r\nx-fill: ", "a").await;
    let interim = endless_server("", "HTTP/1.1 100 Continue\r\n\r\n").await;
    let chunk_size =
        endless_server("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n", "0").await;

    for server in [header, interim, chunk_size] {
        let pool = Pool::new(server.address, Settings::default());

        let outcome = call(&pool, timeout).await;

        assert_eq!(outcome, Err(Error::Timeout(300)));
        server.wait_until_closed().await;
    }
}

// Guards against an answer without a length that is taken for broken, or whose connection is used again.
#[tokio::test]
async fn an_answer_without_a_length_ends_with_its_connection() {
    let server = server(&["HTTP/1.1 200 OK\r\n\r\nok"]).await;
    let pool = Pool::new(server.address, Settings::default());

    for _ in 0..2 {
        assert_eq!(call(&pool, CALL_TIMEOUT).await.unwrap(), "ok");
    }

    assert_eq!((server.connections(), server.calls()), (2, 2));
}

#[tokio::test]
async fn a_call_to_a_closed_port_is_reported_as_not_sent() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    drop(listener);
    let pool = Pool::new(address, Settings::default());

    let outcome = call(&pool, CALL_TIMEOUT).await;

    assert!(matches!(outcome, Err(Error::Connect(..))), "{outcome:?}");
}

/// Starts a server that closes the first `closed` connections after it has read the request, and
/// responds on the next one.
async fn closing_server(closed: usize) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        for _ in 0..closed {
            let (mut tcp, _) = listener.accept().await.unwrap();
            let _ = tcp.read(&mut [0; 1_000]).await;
        }
        let (tcp, _) = listener.accept().await.unwrap();
        respond(tcp, &[RESPONSE], Arc::default()).await;
    });
    address
}

async fn call_idempotent(pool: &Pool) -> Result<Bytes, Error> {
    let request = http::request("GET", "/", Bytes::new()).unwrap();
    Ok(pool.call_idempotent(request, CALL_TIMEOUT, 100).await?.into_body())
}

#[tokio::test]
async fn a_call_whose_connection_breaks_may_have_run() {
    let pool = Pool::new(closing_server(1).await, Settings::default());

    let outcome = call(&pool, CALL_TIMEOUT).await;

    assert!(matches!(outcome, Err(Error::Broken(_))), "{outcome:?}");
}

#[tokio::test]
async fn an_idempotent_call_whose_connection_breaks_is_repeated_once() {
    let once = Pool::new(closing_server(1).await, Settings::default());
    let twice = Pool::new(closing_server(2).await, Settings::default());

    let repeated = call_idempotent(&once).await;
    let broken = call_idempotent(&twice).await;

    assert_eq!(repeated.unwrap(), "ok");
    assert!(matches!(broken, Err(Error::Broken(_))), "{broken:?}");
}

/// Returns a pool whose probe accepts a process that answers `ok`.
fn probing_pool(address: SocketAddr) -> Pool {
    let request = Box::new(|| http::request("GET", "/report", Bytes::new()));
    let accepts = Box::new(|body: &Bytes| *body == "ok");
    Pool::with_probe(address, Settings::default(), Some(Probe { request, accepts }))
}

#[tokio::test]
async fn the_process_is_checked_on_each_new_connection() {
    let server = server(&[RESPONSE; 8]).await;
    let pool = probing_pool(server.address);
    let request = || http::request("GET", "/", Bytes::new()).unwrap();

    let first = pool.call_streaming(request(), CALL_TIMEOUT).await.unwrap();
    let second = pool.call_streaming(request(), CALL_TIMEOUT).await.unwrap();

    assert_eq!((server.connections(), server.calls()), (2, 4));
    drop((first, second));
}

// Guards against a call to a process that has started again at the address, while connections to the process before are not
// seen to end.
#[tokio::test]
async fn a_process_that_started_again_gets_no_call_while_an_older_connection_is_open() {
    const OTHER: &str = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nno";
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let pool = probing_pool(listener.local_addr().unwrap());
    let calls = Arc::new(AtomicUsize::new(0));
    let calls_of_other = calls.clone();
    tokio::spawn(async move {
        // The first process answers the probe and one call, and then hangs.
        let (first, _) = listener.accept().await.unwrap();
        tokio::spawn(respond(first, &[RESPONSE, RESPONSE, ""], Arc::default()));
        while let Ok((tcp, _)) = listener.accept().await {
            tokio::spawn(respond(tcp, &[OTHER, RESPONSE], calls_of_other.clone()));
        }
    });
    let held = http::request("GET", "/", Bytes::new()).unwrap();
    let held = pool.call_streaming(held, CALL_TIMEOUT).await.unwrap();

    let outcome = call(&pool, CALL_TIMEOUT).await;

    assert_eq!(outcome, Err(Error::Connect(pool.address(), ConnectError::WrongProcess)));
    assert_eq!(calls.load(Ordering::SeqCst), 1);
    drop(held);
}

#[tokio::test]
async fn the_process_is_checked_again_once_no_connection_is_open() {
    let server = server(&[RESPONSE; 2]).await;
    let pool = probing_pool(server.address);

    for _ in 0..3 {
        call(&pool, CALL_TIMEOUT).await.unwrap();
        // The server closes the connection after two calls, of which the first is the probe.
        tokio::time::sleep(Duration::from_millis(50)).await;
    }

    assert_eq!((server.connections(), server.calls()), (3, 6));
}

#[tokio::test]
async fn nothing_is_sent_to_another_process_than_the_intended_one() {
    let server = server(&["HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nno", RESPONSE]).await;
    let pool = probing_pool(server.address);

    let outcome = call(&pool, CALL_TIMEOUT).await;

    assert_eq!(outcome, Err(Error::Connect(server.address, ConnectError::WrongProcess)));
    assert_eq!(server.calls(), 1);
}

// Guards against calls on connections of their own that reach a process which was not asked.
#[tokio::test]
async fn a_pool_without_reuse_checks_the_process_for_each_call() {
    let server = server(&[RESPONSE; 8]).await;
    let pool = probing_pool(server.address).without_reuse();

    for _ in 0..2 {
        assert_eq!(call(&pool, CALL_TIMEOUT).await.unwrap(), "ok");
    }

    assert_eq!((server.connections(), server.calls()), (2, 4));
}

// Guards against a process that counts as the intended one, since it did not say which it is.
#[tokio::test]
async fn nothing_is_sent_to_a_process_that_does_not_answer_the_probe_with_success() {
    let server = server(&["HTTP/1.1 503 Busy\r\ncontent-length: 2\r\n\r\nok", RESPONSE]).await;
    let pool = probing_pool(server.address);

    let outcome = call(&pool, CALL_TIMEOUT).await;

    assert!(matches!(outcome, Err(Error::Connect(_, ConnectError::Other(_)))), "{outcome:?}");
    assert_eq!(server.calls(), 1);
}

// Such a server can be asked only on another connection, which is opened after the one that is used.
#[tokio::test]
async fn a_process_that_ends_the_connection_with_the_answer_to_the_probe_is_used() {
    let server = server(&[RESPONSE]).await;
    let pool = probing_pool(server.address);

    let outcome = call(&pool, CALL_TIMEOUT).await;

    assert_eq!((outcome.unwrap(), server.connections()), ("ok".into(), 3));
}

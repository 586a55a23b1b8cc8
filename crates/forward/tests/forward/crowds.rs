//! Tests that crowds of misbehaving callers keep within the bounds of a host, and that ordinary callers are served beside
//! them.

use crate::fixture::backend::{Backend, ReceivedRequest, Step, answer};
use crate::fixture::caller::{Answer, call, connect, read, request};
use crate::fixture::{Host, config, host, host_with_settings, plain, settings, wait_until};
use chestnutrack_core::intake::SMALL_BODY_BYTES;
use chestnutrack_forward::app;
use chestnutrack_forward::config::{Config, Limits};
use chestnutrack_forward::program;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::time::{Instant, sleep, timeout};

/// Misbehaving callers of a test.
const CROWD: usize = 300;
/// Memory that a small host is told, in bytes: 30 connections, and 1 MiB for requests.
const SMALL_MEMORY_BYTES: usize = 6 << 20;
/// Longest time for an ordinary request beside a crowd.
const ORDINARY_TIME: Duration = Duration::from_secs(2);

/// Answers a request with status 200.
fn answer_ok(request: &ReceivedRequest) -> Vec<Step> {
    vec![answer(request, "200 OK", "fine")]
}

/// Answers a request with a body that doesn't fit into the buffers of a connection.
fn answer_large(request: &ReceivedRequest) -> Vec<Step> {
    vec![answer(request, "200 OK", &"x".repeat(256 << 10))]
}

/// Returns the settings of a host with little memory.
fn small() -> app::Settings {
    let mut settings = settings("host");
    settings.set_resources(SMALL_MEMORY_BYTES, 4_100);
    settings
}

/// Starts a host with little memory and a plain server.
async fn small_host(backend: &Backend) -> Host {
    host_with_settings(small(), vec![plain("app-1", backend)]).await
}

/// Returns the head of a request with a body of a length, which the fixture's [`request`] would write.
fn body_head(path: &str, length: usize) -> String {
    request("POST", path, "", "").replace("content-length: 0", &format!("content-length: {length}"))
}

/// Opens the connections of a crowd, each of which sends the same bytes and stays open.
async fn crowd(address: SocketAddr, bytes: &[u8]) -> Vec<TcpStream> {
    let mut connections = Vec::new();
    for _ in 0..CROWD {
        let mut connection = connect(address).await;
        // A connection that the host has closed already is one of those it may close.
        let _ = connection.write_all(bytes).await;
        connections.push(connection);
    }
    connections
}

/// Sends an ordinary request on a new connection.
async fn ordinary(address: SocketAddr) -> Answer {
    let text = request("POST", "/pay/7", "", "an order");
    timeout(ORDINARY_TIME, call(address, &text)).await.expect("an answer in time")
}

/// Returns `true` if the host has closed the connection.
fn is_closed(connection: &TcpStream) -> bool {
    match connection.try_read(&mut [0; 1 << 10]) {
        Ok(read) => read == 0,
        Err(error) => error.kind() != ErrorKind::WouldBlock,
    }
}

// Guards against connections without a bound.
#[tokio::test]
async fn silent_connections_keep_within_the_bound_and_ordinary_callers_are_served() {
    let backend = Backend::start(answer_ok).await;
    let host = small_host(&backend).await;
    let bound = host.app.settings.caller_connections;
    assert!(bound < CROWD / 4);

    let silent = crowd(host.address, b"").await;

    wait_until(|| host.app.callers.connections() <= bound).await;
    assert_eq!(ordinary(host.address).await.status, 200);
    assert!(silent.iter().filter(|connection| is_closed(connection)).count() >= CROWD - bound);
}

// Guards against half-read heads that lock ordinary callers out, and against closing idle connections before them.
#[tokio::test]
async fn half_read_heads_give_way_to_ordinary_callers_and_an_idle_connection_is_kept() {
    let backend = Backend::start(answer_ok).await;
    let host = small_host(&backend).await;
    let text = request("POST", "/pay/7", "", "an order");
    let mut reused = connect(host.address).await;
    reused.write_all(text.as_bytes()).await.unwrap();
    assert_eq!(read(&mut reused).await.status, 200);

    let _heads = crowd(host.address, b"GET /pay/7 HTTP/1.1\r\nhost: shop.exa").await;

    assert_eq!(ordinary(host.address).await.status, 200);
    reused.write_all(text.as_bytes()).await.unwrap();
    assert_eq!(read(&mut reused).await.status, 200);
}

// Guards against bodies short of their end that hold the memory of the host, and against holding more than it has.
#[tokio::test]
async fn bodies_short_of_their_end_keep_within_the_memory_and_ordinary_callers_are_served() {
    let backend = Backend::start(answer_ok).await;
    let host = small_host(&backend).await;
    let length = 3 * SMALL_BODY_BYTES;
    let mut bytes = body_head("/pay/7", length).into_bytes();
    bytes.resize(bytes.len() + length - 1, b'x');
    let address = host.address;
    let mut playing = Vec::new();
    for _ in 0..CROWD / 4 {
        let bytes = bytes.clone();
        playing.push(tokio::spawn(async move {
            let mut connection = connect(address).await;
            let _ = connection.write_all(&bytes).await;
            sleep(Duration::from_secs(2)).await;
        }));
    }

    for _ in 0..20 {
        assert_eq!(ordinary(address).await.status, 200);
        assert!(host.app.callers.held() <= host.app.settings.body_bytes);
    }
    for task in playing {
        task.abort();
    }
    wait_until(|| host.app.callers.held() == 0).await;
}

// Guards against closing a connection without the refusal that tells that its request has not run.
#[tokio::test]
async fn a_body_that_gives_up_its_memory_is_refused_as_not_run_and_its_connection_closed() {
    let backend = Backend::start(answer_ok).await;
    let host = small_host(&backend).await;
    let stalled_bytes = 600 << 10;
    let mut stalled = connect(host.address).await;
    stalled.write_all(body_head("/pay/7", stalled_bytes + 1).as_bytes()).await.unwrap();
    stalled.write_all(&vec![b'x'; stalled_bytes]).await.unwrap();
    wait_until(|| host.app.callers.held() >= stalled_bytes).await;
    sleep(chestnutrack_core::intake::STALLED_AFTER).await;

    let body = "x".repeat(700 << 10);
    let served = call(host.address, &request("POST", "/pay/7", "", &body)).await;
    let refused = read(&mut stalled).await;

    assert_eq!((served.status, refused.status), (200, 503));
    assert_eq!(refused.header("connection"), Some("close"));
    assert_eq!(stalled.read(&mut [0]).await.unwrap_or(0), 0);
    assert_eq!(backend.request_count(), 1);
}

// Guards against many short header fields that take far more memory than their bytes.
#[tokio::test]
async fn parsed_header_fields_count_as_memory() {
    let backend = Backend::start(answer_ok).await;
    let host = small_host(&backend).await;
    let fields: String = (0..80).map(|field| format!("{field:x}:\r\n")).collect();
    let text = body_head("/pay/7", 10).replace("\r\n\r\n", &format!("\r\n{fields}\r\n"));
    let mut connection = connect(host.address).await;
    connection.write_all(text.as_bytes()).await.unwrap();

    wait_until(|| host.app.callers.held() > 8 << 10).await;
    assert!(host.app.callers.held() > 8 * text.len());
}

// Guards against a head of legal size with thousands of fields that is parsed into a large table.
#[tokio::test]
async fn a_head_with_thousands_of_fields_is_refused() {
    let backend = Backend::start(answer_ok).await;
    let host = small_host(&backend).await;
    let fields: String = (0..2_400).map(|field| format!("{field:x}:\r\n")).collect();

    let refused = call(host.address, &request("GET", "/look/7", &fields, "")).await;

    assert_eq!((refused.status, backend.request_count()), (431, 0));
}

// Guards against reading a body that states that it is over the limit.
#[tokio::test]
async fn a_body_far_over_the_limit_is_refused_before_it_arrives() {
    let backend = Backend::start(answer_ok).await;
    let host = host(vec![plain("app-1", &backend)]).await;
    let mut connection = connect(host.address).await;

    connection.write_all(body_head("/pay/7", 64 << 20).as_bytes()).await.unwrap();
    let refused = read(&mut connection).await;

    assert_eq!((refused.status, host.app.callers.held()), (413, 0));
}

// Guards against a head that is held open by its first bytes for as long as an idle connection.
#[tokio::test]
async fn a_head_that_stops_half_way_is_closed_after_the_head_timeout() {
    let backend = Backend::start(answer_ok).await;
    let host = host(vec![plain("app-1", &backend)]).await;
    let head_timeout = Duration::from_millis(300);
    let limits =
        Limits { head_timeout, idle_timeout: Duration::from_secs(15), ..Limits::default() };
    assert!(host.app.configure(Config { version: 2, limits, ..config() }, b"{}".to_vec()));
    let mut connection = connect(host.address).await;
    connection.write_all(b"GET /look/7 HTTP/1.1\r\nhost: sh").await.unwrap();

    let closed = timeout(Duration::from_secs(5), connection.read(&mut [0])).await;

    assert_eq!(closed.expect("closed in time").unwrap_or(0), 0);
}

// Guards against answers that callers don't take filling the memory of the host, and against losing others for them.
#[tokio::test]
async fn readers_that_take_nothing_give_up_their_answers() {
    let backend = Backend::start(answer_large).await;
    let mut settings = small();
    settings.answer_bytes = 1 << 20;
    let host = host_with_settings(settings, vec![plain("app-1", &backend)]).await;
    let mut readers = Vec::new();
    for _ in 0..12 {
        let socket = TcpSocket::new_v4().unwrap();
        socket.set_recv_buffer_size(4 << 10).unwrap();
        let mut reader = socket.connect(host.address).await.unwrap();
        let text = request("GET", "/open/7", "", "");
        reader.write_all(text.as_bytes()).await.unwrap();
        sleep(Duration::from_millis(20)).await;
        readers.push(reader);
    }

    let answer = call(host.address, &request("GET", "/open/7", "", "")).await;

    assert_eq!((answer.status, answer.complete), (200, true));
}

// Guards against unread bytes of pipelined requests that the system's buffers hold without a bound.
#[tokio::test]
async fn little_is_taken_from_a_caller_whose_request_is_in_progress() {
    let backend =
        Backend::start(|_: &ReceivedRequest| vec![Step::Wait(Duration::from_secs(30))]).await;
    let host = host(vec![plain("app-1", &backend)]).await;
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_send_buffer_size(4 << 10).unwrap();
    let mut connection = socket.connect(host.address).await.unwrap();
    let requests = request("GET", "/look/7", "", "").repeat(10_000);

    let sent = async {
        let mut sent = 0;
        while let Ok(Ok(bytes)) =
            timeout(Duration::from_millis(500), connection.write(&requests.as_bytes()[sent..]))
                .await
        {
            sent += bytes;
        }
        sent
    };
    let sent = sent.await;

    assert!(sent < 256 << 10, "{sent}");
}

// Guards against crowds at the address for readiness checks that delay the platform's checks.
#[tokio::test]
async fn readiness_is_answered_beside_a_crowd_before_a_configuration_is_known() {
    let app = crate::fixture::app_with(settings("host"));
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(program::serve_readiness(listener, app.clone()));
    let silent = crowd(address, b"GET /ready").await;

    let started_at = Instant::now();
    let answer = call(address, "GET /readyz HTTP/1.1\r\nhost: h\r\n\r\n").await;

    assert_eq!(answer.status, 503);
    assert!(started_at.elapsed() < ORDINARY_TIME);
    let bound = app.settings.readiness_connections;
    let mut closed = 0;
    for _ in 0..100 {
        closed = silent.iter().filter(|connection| is_closed(connection)).count();
        if closed >= CROWD - bound {
            break;
        }
        sleep(Duration::from_millis(20)).await;
    }
    assert!(closed >= CROWD - bound, "{closed}");
}

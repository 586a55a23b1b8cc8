//! Tests that a caller's connection is closed only while it is idle, and that no answer is lost by that.

use crate::fixture::backend::{
    Backend, ReceivedRequest, Step, answer, answer_prefill, event, stream_end, stream_head,
};
use crate::fixture::caller::{Answer, connect, generation, read, request};
use crate::fixture::{DRAIN, Host, TEST_TIMEOUT, config, decode, host, plain, prefill, wait_until};
use chestnutrack_forward::config::{Config, Limits};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};
use tokio::time::{Instant, sleep, sleep_until, timeout};

/// Idle timeout of callers' connections in these tests.
const IDLE_TIMEOUT: Duration = Duration::from_millis(500);
/// Bytes of an answer that doesn't fit into the buffers of a connection.
const LARGE_ANSWER_BYTES: usize = 8 << 20;
/// Receive buffer of a caller that reads slowly, in bytes.
const SMALL_BUFFER_BYTES: u32 = 16 << 10;
/// Callers that send a request at about the time at which their connections are closed.
const CROSSING_CALLERS: u32 = 300;
/// Longest time by which these requests are sent before or after that time.
const CROSSING_SPREAD: Duration = Duration::from_millis(4);

/// Puts a configuration in force that differs from the one before only in its version and limits.
fn set_limits(host: &Host, version: u64, limits: Limits) {
    let config = Config { version, limits, ..config() };
    assert!(host.app.configure(config, b"{}".to_vec()));
}

/// Puts a configuration in force with another idle timeout.
fn set_idle_timeout(host: &Host, version: u64, idle_timeout: Duration) {
    let body_bytes = 2 * LARGE_ANSWER_BYTES;
    set_limits(host, version, Limits { body_bytes, idle_timeout, ..Limits::default() });
}

/// Answers a request with status 200.
fn answer_ok(request: &ReceivedRequest) -> Vec<Step> {
    vec![answer(request, "200 OK", "fine")]
}

/// Sends a stream whose two events are further apart than the idle timeout.
fn answer_slow_stream(request: &ReceivedRequest) -> Vec<Step> {
    let pause = Step::Wait(IDLE_TIMEOUT * 2);
    vec![stream_head(request), event(1), pause, event(2), stream_end()]
}

/// Answers a request with a body that doesn't fit into the buffers of a connection.
fn answer_large(request: &ReceivedRequest) -> Vec<Step> {
    vec![answer(request, "200 OK", &"x".repeat(LARGE_ANSWER_BYTES))]
}

/// Starts a host with a plain server and the idle timeout of these tests.
async fn plain_host(backend: &Backend) -> Host {
    let host = host(vec![plain("app-1", backend)]).await;
    set_idle_timeout(&host, 2, IDLE_TIMEOUT);
    host
}

/// Starts a host with a prefill and a decode engine and the idle timeout of these tests.
async fn stream_host(prefiller: &Backend, decoder: &Backend) -> Host {
    let host = host(vec![prefill("prefill-1", prefiller), decode("decode-1", decoder)]).await;
    set_idle_timeout(&host, 2, IDLE_TIMEOUT);
    host
}

/// Opens a connection whose receive buffer is small.
async fn connect_with_small_buffer(address: SocketAddr) -> TcpStream {
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_recv_buffer_size(SMALL_BUFFER_BYTES).unwrap();
    socket.connect(address).await.unwrap()
}

/// Sends a request on a connection and reads the answer, which is empty if the connection is closed.
async fn exchange(connection: &mut TcpStream, text: &str) -> Answer {
    match connection.write_all(text.as_bytes()).await {
        Ok(()) => read(connection).await,
        Err(_) => Answer::default(),
    }
}

// Guards against a stream that is cut at the idle timeout.
#[tokio::test]
async fn a_stream_that_is_silent_for_longer_than_the_idle_timeout_is_complete() {
    let (prefiller, decoder) =
        (Backend::start(answer_prefill).await, Backend::start(answer_slow_stream).await);
    let host = stream_host(&prefiller, &decoder).await;
    let mut connection = connect(host.address).await;

    let answer = exchange(&mut connection, &generation("/digest/7")).await;

    assert_eq!((answer.status, answer.complete), (200, true));
}

// Guards against a connection that is closed, without notice, with the end of a stream that lasted longer than the
// idle timeout.
#[tokio::test]
async fn a_connection_is_kept_after_a_stream_that_lasts_longer_than_the_idle_timeout() {
    let (prefiller, decoder) =
        (Backend::start(answer_prefill).await, Backend::start(answer_slow_stream).await);
    let host = stream_host(&prefiller, &decoder).await;
    let mut connection = connect(host.address).await;

    let first = exchange(&mut connection, &generation("/digest/7")).await;
    sleep(IDLE_TIMEOUT / 4).await;
    let second = exchange(&mut connection, &generation("/digest/7")).await;

    assert_eq!((first.header("connection"), first.complete), (None, true));
    assert_eq!((second.status, second.complete), (200, true));
}

// Guards against a connection that is closed, without notice, once its caller has read an answer for longer than the
// idle timeout.
#[tokio::test]
async fn a_connection_is_kept_after_an_answer_that_is_read_for_longer_than_the_idle_timeout() {
    let backend = Backend::start(answer_large).await;
    let host = plain_host(&backend).await;
    let mut connection = connect_with_small_buffer(host.address).await;
    let text = request("POST", "/pay/7", "", "");
    connection.write_all(text.as_bytes()).await.unwrap();
    wait_until(|| backend.request_count() == 1).await;

    sleep(IDLE_TIMEOUT * 2).await;
    let first = read(&mut connection).await;
    sleep(IDLE_TIMEOUT / 4).await;
    let second = exchange(&mut connection, &text).await;

    assert_eq!((first.status, first.complete), (200, true));
    assert_eq!((second.status, second.complete), (200, true));
}

// Guards against an answer that is cut at the idle timeout while its caller still reads it.
#[tokio::test]
async fn an_answer_that_is_read_for_longer_than_the_idle_timeout_is_complete() {
    let backend = Backend::start(answer_large).await;
    let host = plain_host(&backend).await;
    let mut connection = connect_with_small_buffer(host.address).await;
    connection.write_all(request("POST", "/pay/7", "", "").as_bytes()).await.unwrap();
    wait_until(|| backend.request_count() == 1).await;

    sleep(IDLE_TIMEOUT * 2).await;
    let answer = read(&mut connection).await;

    assert_eq!((answer.status, answer.complete), (200, true));
}

// Guards against an answer that is cut by a shutdown while its caller still reads it.
#[tokio::test]
async fn an_answer_that_is_being_read_when_the_host_shuts_down_is_complete() {
    let backend = Backend::start(answer_large).await;
    let host = plain_host(&backend).await;
    set_idle_timeout(&host, 3, TEST_TIMEOUT);
    let mut connection = connect_with_small_buffer(host.address).await;
    connection.write_all(request("POST", "/pay/7", "", "").as_bytes()).await.unwrap();
    let mut first_byte = [0];
    connection.peek(&mut first_byte).await.unwrap();

    host.stop.set();
    sleep(DRAIN.notice * 5).await;
    let answer = read(&mut connection).await;

    assert_eq!((answer.status, answer.complete), (200, true));
}

// Guards against a request that is dropped because the idle timeout passes while its head arrives.
#[tokio::test]
async fn a_request_whose_head_has_begun_to_arrive_before_the_idle_timeout_is_answered() {
    let backend = Backend::start(answer_ok).await;
    let host = plain_host(&backend).await;
    let mut connection = connect(host.address).await;
    let text = request("POST", "/pay/7", "", "");
    let (start, rest) = text.split_at(20);
    exchange(&mut connection, &text).await;

    connection.write_all(start.as_bytes()).await.unwrap();
    sleep(IDLE_TIMEOUT * 2).await;
    let answer = exchange(&mut connection, rest).await;

    assert_eq!((answer.status, answer.complete), (200, true));
}

// Guards against a request that is dropped because the host stops while its head arrives.
#[tokio::test]
async fn a_request_whose_head_has_begun_to_arrive_before_a_shutdown_is_answered() {
    let backend = Backend::start(answer_ok).await;
    let host = plain_host(&backend).await;
    set_idle_timeout(&host, 3, TEST_TIMEOUT);
    let mut connection = connect(host.address).await;
    // Its timeout is shorter than what is left of the drain, so that the host can see it through.
    let text = request("POST", "/brief/7", "", "");
    let (start, rest) = text.split_at(20);
    exchange(&mut connection, &text).await;

    connection.write_all(start.as_bytes()).await.unwrap();
    sleep(DRAIN.notice / 2).await;
    host.stop.set();
    sleep(DRAIN.notice * 3).await;
    let answer = exchange(&mut connection, rest).await;

    assert_eq!((answer.status, answer.header("connection")), (200, Some("close")));
    timeout(TEST_TIMEOUT, host.serving).await.unwrap().unwrap();
}

// Guards against a connection that is kept open for a head that never arrives.
#[tokio::test]
async fn a_connection_whose_caller_never_completes_a_head_is_closed() {
    let backend = Backend::start(answer_ok).await;
    let host = plain_host(&backend).await;
    let head_timeout = IDLE_TIMEOUT * 2;
    set_limits(&host, 3, Limits { idle_timeout: IDLE_TIMEOUT, head_timeout, ..Limits::default() });
    let mut connection = connect(host.address).await;

    connection.write_all(b"POST /pay/7 HTTP/1.1\r\n").await.unwrap();
    let started_at = Instant::now();
    let closed = timeout(TEST_TIMEOUT, connection.read_u8()).await;

    assert!(closed.is_ok_and(|read| read.is_err()), "the connection is closed");
    assert!(started_at.elapsed() >= head_timeout / 2, "{:?}", started_at.elapsed());
}

// Guards against a caller that reuses a connection within the idle timeout that it knows, and finds it closed.
#[tokio::test]
async fn a_lowered_idle_timeout_holds_for_a_connection_from_its_next_answer() {
    let backend = Backend::start(answer_ok).await;
    let host = plain_host(&backend).await;
    set_idle_timeout(&host, 3, IDLE_TIMEOUT * 3);
    let text = request("POST", "/pay/7", "", "");
    let mut connection = connect(host.address).await;
    exchange(&mut connection, &text).await;

    sleep(IDLE_TIMEOUT).await;
    exchange(&mut connection, &text).await;
    set_idle_timeout(&host, 4, IDLE_TIMEOUT / 2);
    sleep(IDLE_TIMEOUT * 5 / 2).await;
    let answer = exchange(&mut connection, &text).await;
    let closed = timeout(IDLE_TIMEOUT * 4, connection.read_u8()).await;

    assert_eq!((answer.status, answer.complete), (200, true));
    assert!(closed.is_ok_and(|read| read.is_err()), "the connection is closed");
}

/// Opens [`CROSSING_CALLERS`] connections and makes one request on every other of them. Returns the
/// connections, each with the time since when it is idle.
async fn open_idle_connections(host: &Host) -> Vec<(TcpStream, Instant)> {
    let address = host.address;
    let opening = (0..CROSSING_CALLERS).map(|index| {
        tokio::spawn(async move {
            let mut connection = connect(address).await;
            if index % 2 == 0 {
                let answer = exchange(&mut connection, &cheap_request()).await;
                assert_eq!(answer.status, 200);
            }
            (connection, Instant::now())
        })
    });
    let mut connections = Vec::new();
    for opened in opening.collect::<Vec<_>>() {
        connections.push(opened.await.unwrap());
    }
    connections
}

/// Sends a request on each connection at the time given with it, give or take [`CROSSING_SPREAD`].
/// Returns the answers, empty for connections that were closed.
async fn send_around(connections: Vec<(TcpStream, Instant)>) -> Vec<Answer> {
    let calls = connections.into_iter().zip(0..).map(|((mut connection, send_at), index)| {
        tokio::spawn(async move {
            let offset = CROSSING_SPREAD * 2 * index / CROSSING_CALLERS;
            sleep_until(send_at - CROSSING_SPREAD + offset).await;
            exchange(&mut connection, &cheap_request()).await
        })
    });
    let mut answers = Vec::new();
    for call in calls.collect::<Vec<_>>() {
        answers.push(call.await.unwrap());
    }
    answers
}

/// Returns a request that costs few tokens.
fn cheap_request() -> String {
    request("POST", "/pay/7", "x-chestnutrack-tokens: 1,1\r\n", "")
}

/// Checks that each request was answered, or was not forwarded before its connection was closed, and that
/// `forwarded_before` other requests were forwarded.
fn assert_answered_or_not_forwarded(
    answers: &[Answer],
    backend: &Backend,
    forwarded_before: usize,
) {
    let cut = answers.iter().find(|answer| answer.status != 0 && !answer.complete);
    let answered = answers.iter().filter(|answer| answer.status == 200).count();
    assert_eq!((cut, forwarded_before + answered), (None, backend.request_count()));
}

// Guards against a request that is forwarded while its connection is closed for being idle.
#[tokio::test]
async fn a_request_that_crosses_the_idle_timeout_is_answered_or_is_not_forwarded() {
    let backend = Backend::start(answer_ok).await;
    let host = plain_host(&backend).await;
    let mut connections = open_idle_connections(&host).await;
    let forwarded_before = backend.request_count();

    connections.iter_mut().for_each(|(_, send_at)| *send_at += IDLE_TIMEOUT);
    let answers = send_around(connections).await;

    assert_answered_or_not_forwarded(&answers, &backend, forwarded_before);
}

// Guards against a request that is forwarded while its connection is closed by a shutdown.
#[tokio::test]
async fn a_request_that_crosses_a_shutdown_is_answered_or_is_not_forwarded() {
    let backend = Backend::start(answer_ok).await;
    let host = plain_host(&backend).await;
    set_idle_timeout(&host, 3, TEST_TIMEOUT);
    let mut connections = open_idle_connections(&host).await;
    let forwarded_before = backend.request_count();

    host.stop.set();
    let closed_at = Instant::now() + DRAIN.notice;
    connections.iter_mut().for_each(|(_, send_at)| *send_at = closed_at);
    let answers = send_around(connections).await;

    assert_answered_or_not_forwarded(&answers, &backend, forwarded_before);
}

//! Stand-ins and scripted servers that run in the test's process, and calls to them.

#![allow(dead_code, reason = "each test file uses its part")]

use bytes::Bytes;
use chestnutrack_engine::client::Stream;
use chestnutrack_engine::error::Error;
use chestnutrack_engine::order::Line;
use chestnutrack_process::http;
use chestnutrack_standin::{engine, plain, platform};
use serde_json::Value;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Maximum time for steps whose duration isn't itself under test.
pub(crate) const TEST_TIMEOUT: Duration = Duration::from_secs(20);

/// Returns a listener on a free local port, and its address.
pub(crate) async fn listener() -> (SocketAddr, TcpListener) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    (listener.local_addr().unwrap(), listener)
}

/// Starts a stand-in of the object interface.
pub(crate) async fn platform(settings: platform::Settings) -> SocketAddr {
    let (address, listener) = listener().await;
    tokio::spawn(platform::serve(listener, settings));
    address
}

/// Starts a stand-in of an engine.
pub(crate) async fn engine(settings: engine::Settings) -> SocketAddr {
    let (address, listener) = listener().await;
    tokio::spawn(engine::serve(listener, settings));
    address
}

/// Starts a stand-in of a plain service.
pub(crate) async fn plain(settings: plain::Settings) -> SocketAddr {
    let (address, listener) = listener().await;
    tokio::spawn(plain::serve(listener, settings));
    address
}

/// Reaction of a scripted server to one call: the bytes that it sends, and what it does before or
/// after that.
#[derive(Clone, Copy)]
pub(crate) enum Action {
    /// Sends these bytes and closes the connection.
    Close(&'static str),
    /// Sends these bytes and keeps the connection open.
    KeepOpen(&'static str),
    /// Sends these bytes and then neither responds nor closes the connection.
    Hang(&'static str),
    /// Waits, then sends these bytes and keeps the connection open.
    Delay(Duration, &'static str),
}

/// Starts a server that performs one action for each call, counted over all connections. After the
/// last action it no longer responds.
pub(crate) async fn scripted_server(actions: Vec<Action>) -> SocketAddr {
    let (address, listener) = listener().await;
    let actions = std::sync::Arc::new(std::sync::Mutex::new(actions.into_iter()));
    tokio::spawn(async move {
        while let Ok((tcp, _)) = listener.accept().await {
            let actions = std::sync::Arc::clone(&actions);
            tokio::spawn(async move {
                let next_action = || actions.lock().unwrap().next().unwrap_or(Action::Hang(""));
                run_script(tcp, next_action).await;
            });
        }
    });
    address
}

/// Performs the next action for each call on a connection.
async fn run_script(mut tcp: TcpStream, mut next_action: impl FnMut() -> Action) {
    while read_request(&mut tcp).await {
        let (delay, text, keep_open) = match next_action() {
            Action::Close(text) => (Duration::ZERO, text, false),
            Action::KeepOpen(text) => (Duration::ZERO, text, true),
            Action::Delay(delay, text) => (delay, text, true),
            Action::Hang(text) => {
                let _ = tcp.write_all(text.as_bytes()).await;
                std::future::pending().await
            }
        };
        tokio::time::sleep(delay).await;
        if tcp.write_all(text.as_bytes()).await.is_err() || !keep_open {
            return;
        }
    }
}

/// Reads the head and the body of one call; returns `false` if the connection ends.
async fn read_request(tcp: &mut TcpStream) -> bool {
    let mut text = Vec::new();
    while !text.ends_with(b"\r\n\r\n") {
        match tcp.read_u8().await {
            Ok(byte) => text.push(byte),
            Err(_) => return false,
        }
    }
    let text = String::from_utf8(text).unwrap().to_lowercase();
    let length = text
        .split_once("content-length: ")
        .map_or(0, |(_, rest)| rest.split_once("\r\n").unwrap().0.parse::<usize>().unwrap());
    tcp.read_exact(&mut vec![0; length]).await.is_ok()
}

/// Makes a call and returns the response's status and body.
pub(crate) async fn call(
    address: SocketAddr,
    method: &str,
    target: &str,
    body: &str,
) -> (u16, String) {
    let request = http::request(method, target, Bytes::from(body.to_owned())).unwrap();
    let answer = http::call(address, request, TEST_TIMEOUT, 16 << 20).await.unwrap();
    let status = answer.status().as_u16();
    (status, String::from_utf8(answer.into_body().to_vec()).unwrap())
}

/// Posts to a control page of a stand-in, for instance to inject faults.
pub(crate) async fn post_control(address: SocketAddr, page: &str, body: Value) {
    let target = format!("/control/{page}");
    let (status, text) = call(address, "POST", &target, &body.to_string()).await;
    assert_eq!(status, 200, "{text}");
}

/// Returns a control page of a stand-in.
pub(crate) async fn get_control(address: SocketAddr, page: &str) -> Value {
    let (status, text) = call(address, "GET", &format!("/control/{page}"), "").await;
    assert_eq!(status, 200, "{text}");
    serde_json::from_str(&text).unwrap()
}

/// Waits until a condition holds.
pub(crate) async fn wait_until(condition: impl AsyncFn() -> bool) {
    let waiting = async {
        while !condition().await {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    tokio::time::timeout(TEST_TIMEOUT, waiting).await.expect("condition holds in time");
}

/// Reads a stream to its end; returns the answer's text and why it ended.
pub(crate) async fn read_answer(stream: &mut Stream) -> Result<(String, String), Error> {
    let mut answer = String::new();
    loop {
        match stream.next().await? {
            Some(Line::Token { text, .. }) => answer.push_str(&text),
            Some(Line::End { finish, .. }) => return Ok((answer, finish.to_string())),
            None => panic!("the stream ended without an end"),
        }
    }
}

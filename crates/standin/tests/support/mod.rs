//! Stand-ins and scripted servers in the test's own process.

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

/// Longest time for anything in a test that is not itself a promise.
pub(crate) const PATIENCE: Duration = Duration::from_secs(20);

pub(crate) async fn listener() -> (SocketAddr, TcpListener) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    (listener.local_addr().unwrap(), listener)
}

pub(crate) async fn platform(settings: platform::Settings) -> SocketAddr {
    let (address, listener) = listener().await;
    tokio::spawn(platform::serve(listener, settings));
    address
}

pub(crate) async fn engine(settings: engine::Settings) -> SocketAddr {
    let (address, listener) = listener().await;
    tokio::spawn(engine::serve(listener, settings));
    address
}

pub(crate) async fn plain(settings: plain::Settings) -> SocketAddr {
    let (address, listener) = listener().await;
    tokio::spawn(plain::serve(listener, settings));
    address
}

/// What a scripted server does with one call.
#[derive(Clone, Copy)]
pub(crate) enum Act {
    /// Sends these bytes and closes the connection.
    Send(&'static str),
    /// Sends these bytes and keeps the connection open.
    Keep(&'static str),
    /// Sends these bytes and falls silent for good.
    Hold(&'static str),
    /// Waits, then sends these bytes and keeps the connection open.
    Late(Duration, &'static str),
}

/// A server that does one act for each call that reaches it, over all connections; after the last
/// act it falls silent.
pub(crate) async fn scripted(acts: Vec<Act>) -> SocketAddr {
    let (address, listener) = listener().await;
    let acts = std::sync::Arc::new(std::sync::Mutex::new(acts.into_iter()));
    tokio::spawn(async move {
        while let Ok((tcp, _)) = listener.accept().await {
            let acts = std::sync::Arc::clone(&acts);
            tokio::spawn(async move {
                let next = || acts.lock().unwrap().next().unwrap_or(Act::Hold(""));
                script(tcp, next).await;
            });
        }
    });
    address
}

async fn script(mut tcp: TcpStream, mut next: impl FnMut() -> Act) {
    while head(&mut tcp).await {
        let (pause, text, goes_on) = match next() {
            Act::Send(text) => (Duration::ZERO, text, false),
            Act::Keep(text) => (Duration::ZERO, text, true),
            Act::Late(pause, text) => (pause, text, true),
            Act::Hold(text) => {
                let _ = tcp.write_all(text.as_bytes()).await;
                std::future::pending().await
            }
        };
        tokio::time::sleep(pause).await;
        if tcp.write_all(text.as_bytes()).await.is_err() || !goes_on {
            return;
        }
    }
}

/// Reads the head and the body of one call.
async fn head(tcp: &mut TcpStream) -> bool {
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

/// Makes a call and returns its status and text.
pub(crate) async fn call(
    address: SocketAddr,
    method: &str,
    target: &str,
    body: &str,
) -> (u16, String) {
    let request = http::request(method, target, Bytes::from(body.to_owned())).unwrap();
    let answer = http::call(address, request, PATIENCE, 16 << 20).await.unwrap();
    let status = answer.status().as_u16();
    (status, String::from_utf8(answer.into_body().to_vec()).unwrap())
}

/// Sets faults of a stand-in, or orders something else from its control pages.
pub(crate) async fn control(address: SocketAddr, page: &str, body: Value) {
    let target = format!("/control/{page}");
    let (status, text) = call(address, "POST", &target, &body.to_string()).await;
    assert_eq!(status, 200, "{text}");
}

/// A control page.
pub(crate) async fn page(address: SocketAddr, page: &str) -> Value {
    let (status, text) = call(address, "GET", &format!("/control/{page}"), "").await;
    assert_eq!(status, 200, "{text}");
    serde_json::from_str(&text).unwrap()
}

/// Waits until a condition holds.
pub(crate) async fn until(condition: impl AsyncFn() -> bool) {
    let waiting = async {
        while !condition().await {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    tokio::time::timeout(PATIENCE, waiting).await.expect("condition holds in time");
}

/// Reads a stream to its end: its text, and why it ended.
pub(crate) async fn read_answer(stream: &mut Stream) -> Result<(String, String), Error> {
    let mut whole = String::new();
    loop {
        match stream.next().await? {
            Some(Line::Token { text, .. }) => whole.push_str(&text),
            Some(Line::End { finish, .. }) => return Ok((whole, finish.to_string())),
            None => panic!("the stream ended without an end"),
        }
    }
}

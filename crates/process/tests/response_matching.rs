//! Whatever a server does with its answers, no call gets that of another.

#![allow(clippy::unwrap_used)]

use bytes::Bytes;
use chestnutrack_process::http::{self, Error};
use chestnutrack_process::pool::{Pool, Settings};
use quickcheck::{Arbitrary, Gen, QuickCheck};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

/// Longest time for a call.
const LIMIT: Duration = Duration::from_millis(40);

/// What a server does with one call; the call asks for it in its target.
#[derive(Clone, Copy, Debug)]
enum Act {
    Answer,
    /// Answers after the caller has given up.
    Late,
    Cut,
    /// Answers the first bytes of the body and then cuts the connection.
    Half,
    /// Answers, then closes the connection without saying so.
    Close,
    /// Answers twice.
    Twice,
    /// Answers, and again a little later.
    Again,
    /// Sends a provisional answer first.
    Provisional,
}

const ACTS: [Act; 8] = [
    Act::Answer,
    Act::Late,
    Act::Cut,
    Act::Half,
    Act::Close,
    Act::Twice,
    Act::Again,
    Act::Provisional,
];

impl Arbitrary for Act {
    fn arbitrary(g: &mut Gen) -> Act {
        *g.choose(&ACTS).unwrap()
    }
}

async fn server() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((tcp, _)) = listener.accept().await {
            tokio::spawn(serve(tcp));
        }
    });
    address
}

async fn serve(mut tcp: TcpStream) -> Option<()> {
    loop {
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\n") {
            head.push(tcp.read_u8().await.ok()?);
        }
        let head = String::from_utf8(head).unwrap();
        let target = head.split(' ').nth(1).unwrap();
        let act = ACTS[target.rsplit_once('/').unwrap().1.parse::<usize>().unwrap()];
        let answer = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{target}", target.len());
        match act {
            Act::Late => sleep(3 * LIMIT).await,
            Act::Cut => return None,
            Act::Half => {
                tcp.write_all(&answer.as_bytes()[..answer.len() - 2]).await.ok()?;
                return None;
            }
            Act::Twice => tcp.write_all(answer.as_bytes()).await.ok()?,
            Act::Provisional => {
                tcp.write_all(b"HTTP/1.1 100 Continue\r\n\r\n").await.ok()?;
            }
            Act::Answer | Act::Close | Act::Again => {}
        }
        tcp.write_all(answer.as_bytes()).await.ok()?;
        match act {
            Act::Close => return None,
            Act::Again => {
                sleep(Duration::from_millis(1)).await;
                tcp.write_all(answer.as_bytes()).await.ok()?;
            }
            _ => {}
        }
    }
}

/// Makes a call; says whether its answer, if it got one, is its own.
async fn is_own(pool: Pool, number: usize, act: Act) -> bool {
    let target = format!("/{number}/{}", act as usize);
    let request = http::request("GET", &target, Bytes::new()).unwrap();
    match pool.call(request, LIMIT, 100).await {
        Ok(answer) => answer.into_body() == target.as_bytes(),
        Err(error) => !matches!(error, Error::TooLarge(_)),
    }
}

async fn all_own(settings: Settings, calls: Vec<(Act, bool)>) -> bool {
    let pool = Pool::new(server().await, settings);
    let mut running = Vec::new();
    for (number, (act, wait)) in calls.into_iter().enumerate() {
        running.push(tokio::spawn(is_own(pool.clone(), number, act)));
        if wait {
            for call in std::mem::take(&mut running) {
                if !call.await.unwrap() {
                    return false;
                }
            }
        }
    }
    for call in running {
        if !call.await.unwrap() {
            return false;
        }
    }
    true
}

/// Checks calls, each with whether those so far are waited for before the next.
fn check(settings: Settings, calls: Vec<(Act, bool)>) -> bool {
    let calls = calls.into_iter().take(24).collect();
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    runtime.block_on(all_own(settings, calls))
}

#[test]
fn no_call_on_a_connection_of_its_own_gets_the_answer_of_another() {
    fn property(calls: Vec<(Act, bool)>) -> bool {
        check(Settings::default().without_reuse(), calls)
    }
    QuickCheck::new().tests(30).quickcheck(property as fn(Vec<(Act, bool)>) -> bool);
}

#[test]
fn no_call_on_a_shared_connection_gets_the_answer_of_another_unless_that_was_answered_again() {
    fn property(calls: Vec<(Act, bool)>) -> bool {
        let calls = calls.into_iter().filter(|(act, _)| !matches!(act, Act::Twice | Act::Again));
        check(Settings::default(), calls.collect())
    }
    QuickCheck::new().tests(30).quickcheck(property as fn(Vec<(Act, bool)>) -> bool);
}

//! Guards against a call getting the response to another call, which can come about if a server
//! responds late, in part or twice on a connection that is then reused.

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

/// Time limit of a call.
const LIMIT: Duration = Duration::from_millis(40);

/// Behaviour of the server for one call, selected by the request's target.
#[derive(Clone, Copy, Debug)]
enum Behaviour {
    /// Responds.
    Respond,
    /// Responds after the call has timed out.
    Late,
    /// Closes the connection without a response.
    Close,
    /// Closes the connection after all but the last two bytes of the response.
    Truncate,
    /// Responds, then closes the connection without a `connection: close` header.
    CloseAfter,
    /// Responds twice at once.
    Twice,
    /// Responds, and again 1 ms later.
    Repeat,
    /// Sends `100 Continue` before the response.
    Provisional,
}

const BEHAVIOURS: [Behaviour; 8] = [
    Behaviour::Respond,
    Behaviour::Late,
    Behaviour::Close,
    Behaviour::Truncate,
    Behaviour::CloseAfter,
    Behaviour::Twice,
    Behaviour::Repeat,
    Behaviour::Provisional,
];

impl Arbitrary for Behaviour {
    fn arbitrary(g: &mut Gen) -> Behaviour {
        *g.choose(&BEHAVIOURS).unwrap()
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
        let behaviour = BEHAVIOURS[target.rsplit_once('/').unwrap().1.parse::<usize>().unwrap()];
        let response =
            format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{target}", target.len());
        match behaviour {
            Behaviour::Late => sleep(3 * LIMIT).await,
            Behaviour::Close => return None,
            Behaviour::Truncate => {
                tcp.write_all(&response.as_bytes()[..response.len() - 2]).await.ok()?;
                return None;
            }
            Behaviour::Twice => tcp.write_all(response.as_bytes()).await.ok()?,
            Behaviour::Provisional => {
                tcp.write_all(b"HTTP/1.1 100 Continue\r\n\r\n").await.ok()?;
            }
            Behaviour::Respond | Behaviour::CloseAfter | Behaviour::Repeat => {}
        }
        tcp.write_all(response.as_bytes()).await.ok()?;
        match behaviour {
            Behaviour::CloseAfter => return None,
            Behaviour::Repeat => {
                sleep(Duration::from_millis(1)).await;
                tcp.write_all(response.as_bytes()).await.ok()?;
            }
            _ => {}
        }
    }
}

/// Makes a call. Returns `false` if it got the response to another call or an oversized one.
async fn gets_own_response(pool: Pool, number: usize, behaviour: Behaviour) -> bool {
    let target = format!("/{number}/{}", behaviour as usize);
    let request = http::request("GET", &target, Bytes::new()).unwrap();
    match pool.call(request, LIMIT, 100).await {
        Ok(response) => response.into_body() == target.as_bytes(),
        Err(error) => !matches!(error, Error::TooLarge(_)),
    }
}

/// Makes calls through a pool. The flag of a call says whether to wait for all calls so far before
/// the next one.
async fn all_get_own_response(settings: Settings, calls: Vec<(Behaviour, bool)>) -> bool {
    let pool = Pool::new(server().await, settings);
    let mut running = Vec::new();
    for (number, (behaviour, wait)) in calls.into_iter().enumerate() {
        running.push(tokio::spawn(gets_own_response(pool.clone(), number, behaviour)));
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

/// Runs [`all_get_own_response`] with the first 24 calls.
fn check(settings: Settings, calls: Vec<(Behaviour, bool)>) -> bool {
    let calls = calls.into_iter().take(24).collect();
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    runtime.block_on(all_get_own_response(settings, calls))
}

#[test]
fn without_reuse_no_call_gets_the_response_to_another() {
    fn property(calls: Vec<(Behaviour, bool)>) -> bool {
        check(Settings::default().without_reuse(), calls)
    }
    QuickCheck::new().tests(30).quickcheck(property as fn(Vec<(Behaviour, bool)>) -> bool);
}

/// A second response to a call may be taken for the response to the next call on the connection, so
/// this holds only for servers that respond once.
#[test]
fn with_reuse_no_call_gets_the_response_to_another_if_the_server_responds_once() {
    fn property(calls: Vec<(Behaviour, bool)>) -> bool {
        let calls = calls
            .into_iter()
            .filter(|(behaviour, _)| !matches!(behaviour, Behaviour::Twice | Behaviour::Repeat));
        check(Settings::default(), calls.collect())
    }
    QuickCheck::new().tests(30).quickcheck(property as fn(Vec<(Behaviour, bool)>) -> bool);
}

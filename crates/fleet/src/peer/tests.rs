//! Dialed connections against a peer that falls silent, is gone, or is another process.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

use super::{Event, Greeting, dial};
use chestnutrack_core::member::{Identity, Member};
use chestnutrack_wire::connection::{self, Connection};
use chestnutrack_wire::frame::{self, Frame, VERSION};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::time::timeout;

fn identity(name: &str) -> Identity {
    Identity { name: name.into(), incarnation: 7 }
}

async fn listener() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    (listener, address)
}

/// Dials `b` at an address; what happens comes out of the channel.
fn dialed(address: SocketAddr) -> mpsc::UnboundedReceiver<Event> {
    let (events, received) = mpsc::unbounded_channel();
    let greeting = Greeting { me: identity("a"), configuration: Arc::default(), security: None };
    let member = Member { identity: identity("b"), address };
    tokio::spawn(dial(member, greeting, move |event| drop(events.send(event))));
    received
}

/// Takes one connection and says who is there.
async fn greet(listener: &TcpListener, name: &str) -> Connection {
    let (tcp, peer) = listener.accept().await.unwrap();
    let mut connection = connection::accept(tcp, peer, None).await.unwrap();
    assert!(matches!(connection.receiver.receive().await, Ok(Frame::Hello { .. })));
    let sender = frame::Sender { name: name.into(), incarnation: 7 };
    let hello = Frame::Hello { version: VERSION, sender, configuration: 0 };
    connection.sender.send(&hello).unwrap();
    connection
}

async fn next(events: &mut mpsc::UnboundedReceiver<Event>) -> Event {
    timeout(Duration::from_secs(20), events.recv()).await.unwrap().unwrap()
}

#[tokio::test]
async fn a_connection_that_falls_silent_is_replaced_by_a_new_one() {
    let (listener, address) = listener().await;
    let mut events = dialed(address);

    let silent = greet(&listener, "b").await;
    let opened = next(&mut events).await;
    let closed = next(&mut events).await;
    let talks = greet(&listener, "b").await;
    let again = next(&mut events).await;
    talks.sender.send(&Frame::Ping(1)).unwrap();
    let answer = next(&mut events).await;

    assert!(matches!(opened, Event::Opened(..)) && matches!(closed, Event::Closed(_)));
    assert!(matches!(again, Event::Opened(..)));
    assert!(matches!(answer, Event::Answer(_, Frame::Ping(1))));
    drop(silent);
}

#[tokio::test]
async fn an_address_that_refuses_proves_a_death() {
    let (listener, address) = listener().await;
    drop(listener);

    let mut events = dialed(address);

    assert!(matches!(next(&mut events).await, Event::Dead(dead) if dead == identity("b")));
}

#[tokio::test]
async fn another_process_at_the_address_proves_a_death() {
    let (listener, address) = listener().await;
    let mut events = dialed(address);

    let _other = greet(&listener, "c").await;

    assert!(matches!(next(&mut events).await, Event::Dead(dead) if dead == identity("b")));
}

#[tokio::test]
async fn a_listener_that_never_answers_proves_nothing() {
    let (_listener, address) = listener().await;

    let mut events = dialed(address);

    assert!(timeout(Duration::from_secs(3), events.recv()).await.is_err());
}

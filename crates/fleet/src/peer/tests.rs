//! Tests of dialed connections to a peer that stops sending, is gone, or is another process.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

use super::{Event, Handshake, dial};
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

/// Returns a listener on a free port, and its address.
async fn listener() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    (listener, address)
}

/// Dials `b` at an address and returns a channel that receives the events.
fn dial_peer(address: SocketAddr) -> mpsc::UnboundedReceiver<Event> {
    let (events, received) = mpsc::unbounded_channel();
    let handshake = Handshake { me: identity("a"), configuration: Arc::default(), security: None };
    let member = Member { identity: identity("b"), address };
    tokio::spawn(dial(member, handshake, move |event| drop(events.send(event))));
    received
}

/// Accepts one connection and sends a `Hello` with the given name.
async fn accept_as(listener: &TcpListener, name: &str) -> Connection {
    let (tcp, peer) = listener.accept().await.unwrap();
    let mut connection = connection::accept(tcp, peer, None).await.unwrap();
    assert!(matches!(connection.receiver.receive().await, Ok(Frame::Hello { .. })));
    let sender = frame::Sender { name: name.into(), incarnation: 7 };
    let hello = Frame::Hello { version: VERSION, sender, configuration: 0 };
    connection.sender.send(&hello).unwrap();
    connection
}

async fn next_event(events: &mut mpsc::UnboundedReceiver<Event>) -> Event {
    timeout(Duration::from_secs(20), events.recv()).await.unwrap().unwrap()
}

#[tokio::test]
async fn an_idle_connection_is_replaced_by_a_new_one() {
    let (listener, address) = listener().await;
    let mut events = dial_peer(address);

    let idle = accept_as(&listener, "b").await;
    let opened = next_event(&mut events).await;
    let closed = next_event(&mut events).await;
    let active = accept_as(&listener, "b").await;
    let reopened = next_event(&mut events).await;
    active.sender.send(&Frame::Ping(1)).unwrap();
    let answer = next_event(&mut events).await;

    assert!(matches!(opened, Event::Opened(..)) && matches!(closed, Event::Closed(_)));
    assert!(matches!(reopened, Event::Opened(..)));
    assert!(matches!(answer, Event::Answer(_, Frame::Ping(1))));
    drop(idle);
}

#[tokio::test]
async fn a_refused_connection_proves_a_death() {
    let (listener, address) = listener().await;
    drop(listener);

    let mut events = dial_peer(address);

    assert!(matches!(next_event(&mut events).await, Event::Dead(dead) if dead == identity("b")));
}

#[tokio::test]
async fn another_process_at_the_address_proves_a_death() {
    let (listener, address) = listener().await;
    let mut events = dial_peer(address);

    let _impostor = accept_as(&listener, "c").await;

    assert!(matches!(next_event(&mut events).await, Event::Dead(dead) if dead == identity("b")));
}

#[tokio::test]
async fn a_listener_that_never_answers_proves_nothing() {
    let (_listener, address) = listener().await;

    let mut events = dial_peer(address);

    assert!(timeout(Duration::from_secs(3), events.recv()).await.is_err());
}

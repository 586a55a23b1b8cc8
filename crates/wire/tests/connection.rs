//! Connections: frames arrive in order, a closed end is detected, and failed handshakes are errors.

#![allow(clippy::unwrap_used)]

use chestnutrack_wire::Frame;
use chestnutrack_wire::connection::{Connection, Error, accept, connect};
use std::net::SocketAddr;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

async fn listener() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    (listener, address)
}

async fn connected_pair() -> (Connection, Connection) {
    let (listener, address) = listener().await;
    let accepting = async {
        let (tcp, peer) = listener.accept().await.unwrap();
        accept(tcp, peer, None).await.unwrap()
    };
    let (client, server) = tokio::join!(connect(address, None), accepting);
    (client.unwrap(), server)
}

#[tokio::test]
async fn frames_arrive_in_order() {
    let (client, mut server) = connected_pair().await;

    for number in 0..100 {
        client.sender.send(&Frame::Ping(number)).unwrap();
    }

    for number in 0..100 {
        assert_eq!(server.receiver.receive().await, Ok(Frame::Ping(number)));
    }
}

#[tokio::test]
async fn dropping_one_end_ends_the_other() {
    let (client, mut server) = connected_pair().await;

    drop(client);

    assert!(server.receiver.receive().await.is_err());
}

#[tokio::test]
async fn a_client_without_websocket_fails_the_handshake() {
    let (listener, address) = listener().await;
    let client = async {
        let mut tcp = TcpStream::connect(address).await.unwrap();
        tcp.write_all(b"hello there\r\n\r\n").await.unwrap();
        let mut answer = Vec::new();
        let _ = tcp.read_to_end(&mut answer).await;
    };
    let accepting = async {
        let (tcp, peer) = listener.accept().await.unwrap();
        accept(tcp, peer, None).await.map(|_| ())
    };

    let ((), accepted) = tokio::join!(client, accepting);

    assert!(matches!(accepted, Err(Error::Handshake(_))), "{accepted:?}");
}

#[tokio::test]
async fn a_closed_port_is_a_connect_error() {
    let (listener, address) = listener().await;
    drop(listener);

    let refused = connect(address, None).await.map(|_| ());

    assert!(matches!(refused, Err(Error::Connect(_, _))), "{refused:?}");
}

//! Connections: frames arrive in order, ends are noticed, strangers are refused.

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

async fn pair() -> (Connection, Connection) {
    let (listener, address) = listener().await;
    let accepting = async {
        let (tcp, peer) = listener.accept().await.unwrap();
        accept(tcp, peer, None).await.unwrap()
    };
    let (near, far) = tokio::join!(connect(address, None), accepting);
    (near.unwrap(), far)
}

#[tokio::test]
async fn frames_arrive_in_order() {
    let (near, mut far) = pair().await;

    for number in 0..100 {
        near.sender.send(&Frame::Ping(number)).unwrap();
    }

    for number in 0..100 {
        assert_eq!(far.receiver.receive().await, Ok(Frame::Ping(number)));
    }
}

#[tokio::test]
async fn a_dropped_end_is_noticed_at_the_other() {
    let (near, mut far) = pair().await;

    drop(near);

    assert!(far.receiver.receive().await.is_err());
}

#[tokio::test]
async fn a_stranger_that_speaks_no_websocket_is_refused() {
    let (listener, address) = listener().await;
    let stranger = async {
        let mut tcp = TcpStream::connect(address).await.unwrap();
        tcp.write_all(b"hello there\r\n\r\n").await.unwrap();
        let mut answer = Vec::new();
        let _ = tcp.read_to_end(&mut answer).await;
    };
    let accepting = async {
        let (tcp, peer) = listener.accept().await.unwrap();
        accept(tcp, peer, None).await.map(|_| ())
    };

    let ((), accepted) = tokio::join!(stranger, accepting);

    assert!(matches!(accepted, Err(Error::Handshake(_))), "{accepted:?}");
}

#[tokio::test]
async fn a_closed_port_is_an_error_of_connecting() {
    let (listener, address) = listener().await;
    drop(listener);

    let refused = connect(address, None).await.map(|_| ());

    assert!(matches!(refused, Err(Error::Connect(_, _))), "{refused:?}");
}

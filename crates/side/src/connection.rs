//! Accepts connections from entry hosts and passes their frames to the actor.

use crate::message::Message;
use chestnutrack_core::server::{Connection, Event};
use chestnutrack_wire::connection::{self, Receiver, Security};
use ractor::ActorRef;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};

/// Delay before accepting again after the listener failed.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);

/// Accepts connections until the actor stops.
pub async fn accept(listener: TcpListener, security: Option<Security>, actor: ActorRef<Message>) {
    let mut number = 0;
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = actor.wait(None) => return,
        };
        let Ok((tcp, peer)) = accepted else {
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        number += 1;
        let future = serve(tcp, peer, security.clone(), Connection(number), actor.clone());
        tokio::spawn(future);
    }
}

/// Serves one connection until it is closed or the actor stops. `connection` is its number, by
/// which the actor and the table identify it.
async fn serve(
    tcp: TcpStream,
    peer: SocketAddr,
    security: Option<Security>,
    connection: Connection,
    actor: ActorRef<Message>,
) {
    let Ok(opened) = connection::accept(tcp, peer, security.as_ref()).await else { return };
    if actor.cast(Message::Opened(connection, opened.sender)).is_err() {
        return;
    }
    tokio::select! {
        () = read_frames(opened.receiver, connection, &actor) => {}
        _ = actor.wait(None) => {}
    }
    let _ = actor.cast(Message::Closed(connection));
}

/// Passes the frames of a connection to the actor until the connection or the actor ends.
async fn read_frames(mut receiver: Receiver, connection: Connection, actor: &ActorRef<Message>) {
    while let Ok(frame) = receiver.receive().await {
        if actor.cast(Message::Event(Event::Frame(connection, frame))).is_err() {
            return;
        }
    }
}

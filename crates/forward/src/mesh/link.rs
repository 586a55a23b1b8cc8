//! Connections between hosts. Each host opens one to every peer, on which it sends its gossip:
//! messages with its state.

use super::{Mesh, read_frames, receive};
use chestnutrack_process::{intake, socket};
use chestnutrack_store::backoff::Backoff;
use chestnutrack_wire::Connection;
use chestnutrack_wire::connection::{self, Error, Receiver, Sender};
use chestnutrack_wire::frame::Frame;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

/// First and longest pause before a connection to a peer is retried.
const RETRY_PAUSE_RANGE: (Duration, Duration) =
    (Duration::from_millis(50), Duration::from_millis(500));
/// Time without an answer after which a connection to a peer counts as broken.
const PEER_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Longest time to open a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Keeps a connection to a peer open, and opens it again after a pause whenever it ends, until the
/// task is aborted.
pub(super) async fn maintain(mesh: Arc<Mesh>, name: Arc<str>, address: SocketAddr) {
    let mut backoff = Backoff::new(RETRY_PAUSE_RANGE.0, RETRY_PAUSE_RANGE.1);
    loop {
        match connect(address).await {
            Ok(connection) => {
                backoff.record_success();
                if connection.sender.send(&mesh.hello()).is_ok() {
                    tokio::select! {
                        () = send_gossip(&mesh, &connection.sender) => {}
                        () = read_answers(&mesh, &name, connection.receiver, &connection.sender) => {}
                    }
                }
            }
            Err(ConnectError(true)) => mesh.record_connection_refused(&name),
            Err(ConnectError(false)) => {}
        }
        backoff.record_failure();
        sleep(backoff.pause()).await;
    }
}

/// Error of a failed connection attempt. The field is `true` if the address refuses connections, and `false`
/// for any other cause.
pub(super) struct ConnectError(bool);

/// Opens a connection to a peer and exchanges the handshake.
pub(super) async fn connect(address: SocketAddr) -> Result<Connection, ConnectError> {
    let tcp = match timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await {
        Ok(Ok(tcp)) => tcp,
        Ok(Err(error)) => {
            return Err(ConnectError(error.kind() == std::io::ErrorKind::ConnectionRefused));
        }
        Err(_) => return Err(ConnectError(false)),
    };
    if let Err(error) = socket::set_peer_timeout(&tcp, PEER_TIMEOUT) {
        tracing::warn!(%address, %error, "timeout of a peer connection can't be set");
    }
    connection::client_handshake(tcp, address, None).await.map_err(|_: Error| ConnectError(false))
}

/// Sends a gossip message that names all hosts that this one hears, and then the newest one whenever there is one, each
/// after the previous one has been written. Returns when the connection fails.
async fn send_gossip(mesh: &Arc<Mesh>, sender: &Sender) {
    let mut newest_gossip = mesh.newest_gossip.subscribe();
    if sender.send(&Frame::News(Box::new(mesh.build_gossip(None)))).is_err() {
        return;
    }
    while newest_gossip.changed().await.is_ok() {
        let gossip = newest_gossip.borrow_and_update().clone();
        if !gossip.is_empty() && sender.send_when_empty(gossip).await.is_err() {
            return;
        }
    }
}

/// Reads and handles the frames that a peer sends on the connection that this host opened, until it
/// ends.
async fn read_answers(mesh: &Arc<Mesh>, name: &Arc<str>, mut receiver: Receiver, sender: &Sender) {
    while let Some(frame) = receive(&mut receiver, name).await {
        if let Some(answer) = mesh.handle_frame(name, 0, frame)
            && sender.send(&answer).is_err()
        {
            return;
        }
    }
}

/// Accepts a connection that a peer opened, and reads it until it ends.
pub(super) async fn accept(
    mesh: Arc<Mesh>,
    tcp: TcpStream,
    address: SocketAddr,
    opened: intake::Connection,
) {
    if let Err(error) = socket::set_peer_timeout(&tcp, PEER_TIMEOUT) {
        tracing::warn!(%address, %error, "timeout of a peer connection can't be set");
    }
    let reading = async {
        match connection::accept(tcp, address, None).await {
            Ok(connection) => read_frames(&mesh, connection, &opened).await,
            Err(error) => tracing::warn!(%address, %error, "peer connection not accepted"),
        }
    };
    tokio::select! {
        () = opened.wait_for_eviction() => {}
        () = reading => {}
    }
}

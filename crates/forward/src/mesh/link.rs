//! Connections between hosts.

use super::{Mesh, read};
use chestnutrack_process::socket;
use chestnutrack_store::backoff::Backoff;
use chestnutrack_wire::Connection;
use chestnutrack_wire::connection::{self, Error, Receiver, Sender};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

/// First and longest pause before a peer is tried again.
const RETRY: (Duration, Duration) = (Duration::from_millis(50), Duration::from_millis(500));
/// Silence after which a connection to a peer counts as broken.
const SILENCE: Duration = Duration::from_millis(1_500);
/// Longest time to open a connection.
const OPEN: Duration = Duration::from_millis(1_000);

/// Keeps a connection to a peer until the task is aborted.
pub(super) async fn keep(mesh: Arc<Mesh>, name: Arc<str>, address: SocketAddr) {
    let mut backoff = Backoff::new(RETRY.0, RETRY.1);
    loop {
        match open(address).await {
            Ok(connection) => {
                backoff.record_success();
                if connection.sender.send(&mesh.hello()).is_ok() {
                    tokio::select! {
                        () = send_news(&mesh, &connection.sender) => {}
                        () = read_answers(&mesh, &name, connection.receiver, &connection.sender) => {}
                    }
                }
            }
            Err(Refused(true)) => mesh.refused(&name),
            Err(Refused(false)) => {}
        }
        backoff.record_failure();
        sleep(backoff.pause()).await;
    }
}

/// Why a connection could not be opened: whether the address refuses connections.
struct Refused(bool);

async fn open(address: SocketAddr) -> Result<Connection, Refused> {
    let tcp = match timeout(OPEN, TcpStream::connect(address)).await {
        Ok(Ok(tcp)) => tcp,
        Ok(Err(error)) => {
            return Err(Refused(error.kind() == std::io::ErrorKind::ConnectionRefused));
        }
        Err(_) => return Err(Refused(false)),
    };
    if let Err(error) = socket::set_peer_timeout(&tcp, SILENCE) {
        tracing::warn!(%address, %error, "silence of a connection can't be bounded");
    }
    connection::client_handshake(tcp, address, None).await.map_err(|_: Error| Refused(false))
}

/// Sends the newest news, again and again, each once the one before has gone.
async fn send_news(mesh: &Arc<Mesh>, sender: &Sender) {
    let mut newest = mesh.newest.subscribe();
    newest.mark_changed();
    while newest.changed().await.is_ok() {
        let news = newest.borrow_and_update().clone();
        if !news.is_empty() && sender.send_when_empty(news).await.is_err() {
            return;
        }
    }
}

/// Reads what a peer answers on the connection that this host opened.
async fn read_answers(mesh: &Arc<Mesh>, name: &Arc<str>, mut receiver: Receiver, sender: &Sender) {
    while let Ok(frame) = receiver.receive().await {
        if let Some(answer) = mesh.hear(name, 0, frame)
            && sender.send(&answer).is_err()
        {
            return;
        }
    }
}

/// Reads a connection that a peer opened.
pub(super) async fn answer(mesh: Arc<Mesh>, tcp: TcpStream, address: SocketAddr) {
    if let Err(error) = socket::set_peer_timeout(&tcp, SILENCE) {
        tracing::warn!(%address, %error, "silence of a connection can't be bounded");
    }
    match connection::accept(tcp, address, None).await {
        Ok(connection) => read(&mesh, connection).await,
        Err(error) => tracing::warn!(%address, %error, "peer's connection not taken"),
    }
}

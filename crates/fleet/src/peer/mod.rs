//! Connections between members.
//!
//! Each member dials every other member, sends its requests on the connection that it dialed and
//! receives the answers there. While it has no dialed connection to a peer, it uses the connection
//! that the peer dialed. A dialed connection that receives no frame for [`IDLE_TIMEOUT`] is closed
//! and opened again.

#[cfg(test)]
mod tests;

use chestnutrack_core::member::{Identity, Member};
use chestnutrack_wire::connection::{self, Connection, Receiver, Security, Sender};
use chestnutrack_wire::frame::{self, Frame, VERSION};
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

/// Time without a received frame after which a dialed connection is closed.
pub(crate) const IDLE_TIMEOUT: Duration = Duration::from_millis(600);
/// Time without a received frame after which an accepted connection is closed.
const ACCEPTED_IDLE_TIMEOUT: Duration = Duration::from_secs(5);
/// Longest wait for a peer's first frame, and for the TCP connection that tests for a refusal.
const HELLO_TIMEOUT: Duration = Duration::from_millis(500);
/// Pause before a peer is dialed again, and after a failed accept.
const REDIAL_PAUSE: Duration = Duration::from_millis(100);

/// An event on a connection.
#[derive(Debug)]
pub(crate) enum Event {
    /// A dialed connection is open.
    Opened(Identity, Sender),
    /// A frame was received on a dialed connection.
    Answer(Identity, Frame),
    /// A dialed connection has ended or timed out.
    Closed(Identity),
    /// The member's process is dead: its address refuses connections or belongs to another process.
    Dead(Identity),
    /// A frame was received on an accepted connection; answers go to the `Sender`.
    Request(Identity, Sender, Frame),
}

/// What a member needs for connecting to peers and for the `Hello` frame that it sends first.
#[derive(Clone)]
pub(crate) struct Handshake {
    /// Identity of this member.
    pub(crate) me: Identity,
    /// Version of the configuration in force.
    pub(crate) configuration: Arc<AtomicU64>,
    /// TLS certificates and trust anchors; plain TCP if absent.
    pub(crate) security: Option<Security>,
}

impl Handshake {
    /// Returns the first frame of a connection, which identifies this member.
    fn hello(&self) -> Frame {
        let Identity { name, incarnation } = self.me.clone();
        let configuration = self.configuration.load(Ordering::Relaxed);
        let sender = frame::Sender { name, incarnation };
        Frame::Hello { version: VERSION, sender, configuration }
    }
}

/// Converts a frame's sender to an identity.
pub(crate) fn identity(sender: &frame::Sender) -> Identity {
    Identity { name: sender.name.clone(), incarnation: sender.incarnation }
}

/// Keeps a connection to a member open, redialing when it ends, until the task is aborted.
pub(crate) async fn dial(
    member: Member,
    handshake: Handshake,
    on_event: impl Fn(Event) + Send + Sync + 'static,
) {
    loop {
        let received_frame =
            match connection::connect(member.address, handshake.security.as_ref()).await {
                Ok(connection) => run_dialed(&member, connection, &handshake, &on_event).await,
                Err(_) => {
                    if is_refused(member.address).await {
                        on_event(Event::Dead(member.identity.clone()));
                    }
                    false
                }
            };
        // A lost connection is redialed at once, because a proof of death counts immediately only
        // if the peer has vouched recently.
        if !received_frame {
            sleep(REDIAL_PAUSE).await;
        }
    }
}

/// Returns `true` if an address refuses connections, so that no process listens there.
async fn is_refused(address: SocketAddr) -> bool {
    let opened = timeout(HELLO_TIMEOUT, TcpStream::connect(address)).await;
    matches!(opened, Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused)
}

/// Receives a member's frames until the connection ends or times out. Returns `true` if any frame
/// was received after the handshake.
async fn run_dialed(
    member: &Member,
    connection: Connection,
    handshake: &Handshake,
    on_event: &(impl Fn(Event) + Send + Sync),
) -> bool {
    let Connection { sender, mut receiver, .. } = connection;
    if sender.send(&handshake.hello()).is_err() {
        return false;
    }
    let Some(remote) = receive_hello(&mut receiver).await else {
        return false;
    };
    if remote != member.identity {
        on_event(Event::Dead(member.identity.clone()));
        return false;
    }
    on_event(Event::Opened(remote.clone(), sender));
    let mut received_frame = false;
    while let Ok(Ok(frame)) = timeout(IDLE_TIMEOUT, receiver.receive()).await {
        received_frame = true;
        on_event(Event::Answer(remote.clone(), frame));
    }
    on_event(Event::Closed(remote));
    received_frame
}

/// Receives the first frame of a connection. Returns the identity of the peer, or `None` if no
/// `Hello` frame of a known protocol version arrives in time.
async fn receive_hello(receiver: &mut Receiver) -> Option<Identity> {
    match timeout(HELLO_TIMEOUT, receiver.receive()).await {
        Ok(Ok(Frame::Hello { version, sender, .. })) if version <= VERSION => {
            Some(identity(&sender))
        }
        _ => None,
    }
}

/// Accepts connections from other members until the task is aborted.
pub(crate) async fn accept(
    listener: TcpListener,
    handshake: Handshake,
    on_event: impl Fn(Event) + Clone + Send + Sync + 'static,
) {
    let mut tasks = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((tcp, peer)) => {
                    drop(tasks.spawn(serve_accepted(tcp, peer, handshake.clone(), on_event.clone())));
                }
                Err(_) => sleep(REDIAL_PAUSE).await,
            },
            Some(_) = tasks.join_next() => {}
        }
    }
}

/// Receives the frames of an accepted connection until it ends or no frame arrives for
/// [`ACCEPTED_IDLE_TIMEOUT`].
async fn serve_accepted(
    tcp: TcpStream,
    peer: SocketAddr,
    handshake: Handshake,
    on_event: impl Fn(Event) + Send + Sync,
) {
    let Ok(connection) = connection::accept(tcp, peer, handshake.security.as_ref()).await else {
        return;
    };
    let Connection { sender, mut receiver, .. } = connection;
    let Some(remote) = receive_hello(&mut receiver).await else {
        return;
    };
    if sender.send(&handshake.hello()).is_err() {
        return;
    }
    while let Ok(Ok(frame)) = timeout(ACCEPTED_IDLE_TIMEOUT, receiver.receive()).await {
        on_event(Event::Request(remote.clone(), sender.clone(), frame));
    }
}

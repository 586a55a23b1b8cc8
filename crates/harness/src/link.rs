//! A TCP relay between two processes that injects network faults: closed, reset, stalled and slow
//! connections, and a blocked direction.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::sleep;

/// Buffer size of each direction of a connection, in bytes.
const BUFFER_BYTES: usize = 64 << 10;

/// Faults of a link. A connection belongs to the generation that was current when it was accepted;
/// a fault for open connections begins a new generation and applies to all earlier ones.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct State {
    /// Whether new connections are closed at once.
    refuses_new: bool,
    /// Connections of a generation below this are closed.
    closed_before: u64,
    /// Connections of a generation below this stay open but no longer carry data.
    stalled_before: u64,
    /// Current generation, given to new connections.
    generation: u64,
    /// Connections of a generation below this are reset.
    reset_before: u64,
    /// Whether data towards the target is held back.
    one_way: bool,
    /// Whether data is held back in both directions.
    is_held: bool,
    /// Delay added before each write, in both directions.
    delay: Duration,
    /// Whether the relay has stopped listening for good.
    is_closed: bool,
}

/// Direction of a data stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Direction {
    ToTarget,
    ToCaller,
}

/// A relay that listens on its own address and forwards to a process.
#[derive(Clone, Debug)]
pub struct Link {
    /// Address that the relay listens on.
    pub address: SocketAddr,
    state: Arc<watch::Sender<State>>,
    bytes: Arc<AtomicU64>,
}

impl Link {
    /// Starts a relay from `listen` to `target`.
    ///
    /// # Errors
    ///
    /// Returns an I/O error if the relay cannot bind its address.
    pub async fn start(listen: SocketAddr, target: SocketAddr) -> std::io::Result<Link> {
        let listener = TcpListener::bind(listen).await?;
        let address = listener.local_addr()?;
        let (state, states) = watch::channel(State::default());
        let bytes = Arc::new(AtomicU64::new(0));
        tokio::spawn(accept(listener, target, states, bytes.clone()));
        Ok(Link { address, state: Arc::new(state), bytes })
    }

    /// Closes all open connections and every new one until the link is restored.
    pub fn cut(&self) {
        self.state.send_modify(|state| {
            state.generation += 1;
            state.closed_before = state.generation;
            state.refuses_new = true;
        });
    }

    /// Stalls all open connections permanently: they stay open but no longer carry data. New connections
    /// work.
    pub fn stall_open(&self) {
        self.state.send_modify(|state| {
            state.generation += 1;
            state.stalled_before = state.generation;
        });
    }

    /// Resets all open connections; new connections work.
    pub fn reset_open(&self) {
        self.state.send_modify(|state| {
            state.generation += 1;
            state.reset_before = state.generation;
        });
    }

    /// Resets all open connections and refuses new ones for good, as when the target's process ends.
    pub fn close(&self) {
        self.state.send_modify(|state| {
            state.generation += 1;
            state.reset_before = state.generation;
            state.is_closed = true;
        });
    }

    /// Holds back data towards the target until the link is restored.
    pub fn cut_one_way(&self) {
        self.state.send_modify(|state| state.one_way = true);
    }

    /// Holds back data in both directions, of new connections too, until the link is restored.
    pub fn hold(&self) {
        self.state.send_modify(|state| state.is_held = true);
    }

    /// Delays each write by `delay` in both directions until the link is restored.
    pub fn slow(&self, delay: Duration) {
        self.state.send_modify(|state| state.delay = delay);
    }

    /// Accepts new connections again and removes the delay and the block of one or both directions.
    ///
    /// Connections that were closed, reset or stalled do not recover.
    pub fn restore(&self) {
        self.state.send_modify(|state| {
            (state.refuses_new, state.one_way, state.is_held) = (false, false, false);
            state.delay = Duration::ZERO;
        });
    }

    /// Returns the number of bytes forwarded so far, in both directions.
    pub fn bytes(&self) -> u64 {
        self.bytes.load(Ordering::Relaxed)
    }
}

/// Accepts connections and relays each to the target; closes them at once while the link refuses new
/// ones. Ends when the link is closed.
async fn accept(
    listener: TcpListener,
    target: SocketAddr,
    states: watch::Receiver<State>,
    bytes: Arc<AtomicU64>,
) {
    let mut closed = states.clone();
    loop {
        let incoming = tokio::select! {
            accepted = listener.accept() => accepted,
            true = async { closed.wait_for(|state| state.is_closed).await.is_ok() } => return,
        };
        let Ok((incoming, _)) = incoming else {
            return;
        };
        let state = *states.borrow();
        if state.refuses_new {
            continue;
        }
        let connection = Connection {
            generation: state.generation,
            states: states.clone(),
            bytes: bytes.clone(),
        };
        tokio::spawn(relay(incoming, target, connection));
    }
}

/// State shared by both directions of a relayed connection.
#[derive(Clone)]
struct Connection {
    generation: u64,
    states: watch::Receiver<State>,
    bytes: Arc<AtomicU64>,
}

/// Connects to the target and copies both directions of a connection until both have ended.
async fn relay(incoming: TcpStream, target: SocketAddr, connection: Connection) {
    let Ok(outgoing) = TcpStream::connect(target).await else {
        return;
    };
    let _ = incoming.set_nodelay(true);
    let _ = outgoing.set_nodelay(true);
    let (from_caller, to_caller) = incoming.into_split();
    let (from_target, to_target) = outgoing.into_split();
    tokio::join!(
        copy(from_caller, to_target, Direction::ToTarget, connection.clone()),
        copy(from_target, to_caller, Direction::ToCaller, connection),
    );
}

/// Copies one direction of a connection and applies the faults of the link to it.
async fn copy(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    direction: Direction,
    mut connection: Connection,
) {
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        let state = *connection.states.borrow_and_update();
        if connection.generation < state.closed_before {
            return;
        }
        if connection.generation < state.reset_before {
            let half: &TcpStream = to.as_ref();
            // The connection is closed even if the reset cannot be requested.
            drop(half.set_zero_linger());
            return;
        }
        if connection.generation < state.stalled_before
            || state.is_held
            || state.one_way && direction == Direction::ToTarget
        {
            if connection.states.changed().await.is_err() {
                return;
            }
            continue;
        }
        tokio::select! {
            changed = connection.states.changed() => {
                if changed.is_err() {
                    return;
                }
            }
            read = from.read(&mut buffer) => {
                let Ok(length) = read else { return };
                if !state.delay.is_zero() {
                    sleep(state.delay).await;
                }
                if length == 0 || to.write_all(&buffer[..length]).await.is_err() {
                    return;
                }
                connection.bytes.fetch_add(length as u64, Ordering::Relaxed);
            }
        }
    }
}

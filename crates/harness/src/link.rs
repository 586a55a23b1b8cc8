//! A TCP relay between two processes that can be cut, slowed, reset, cut one direction, or made silent for good.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::sleep;

/// Size of a relay's buffer, in bytes.
const BUFFER_BYTES: usize = 64 << 10;

/// What a link does with its connections, which are numbered in the order of opening.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct State {
    /// New connections are refused.
    refuses_new: bool,
    /// Connections of an earlier generation are closed.
    closed_before: u64,
    /// Connections of an earlier generation carry nothing more, and stay open.
    stalled_before: u64,
    /// Generation of a connection that opens now.
    generation: u64,
    /// Connections of an earlier generation are reset.
    reset_before: u64,
    /// Nothing passes towards the process that was called.
    one_way: bool,
    /// Time that each part is held for.
    delay: Duration,
}

/// Which direction a relay's half carries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Direction {
    ToTarget,
    ToCaller,
}

/// A relay from its own address to a process's.
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
    /// The system's error when the address is taken.
    pub async fn start(listen: SocketAddr, target: SocketAddr) -> std::io::Result<Link> {
        let listener = TcpListener::bind(listen).await?;
        let address = listener.local_addr()?;
        let (state, states) = watch::channel(State::default());
        let bytes = Arc::new(AtomicU64::new(0));
        tokio::spawn(accept(listener, target, states, bytes.clone()));
        Ok(Link { address, state: Arc::new(state), bytes })
    }

    /// Closes every connection and refuses_new new ones.
    pub fn cut(&self) {
        self.state.send_modify(|state| {
            state.generation += 1;
            state.closed_before = state.generation;
            state.refuses_new = true;
        });
    }

    /// Lets the connections that are open carry nothing more; new ones work.
    pub fn stall_open(&self) {
        self.state.send_modify(|state| {
            state.generation += 1;
            state.stalled_before = state.generation;
        });
    }

    /// Resets every connection that is open; new ones work.
    pub fn reset_open(&self) {
        self.state.send_modify(|state| {
            state.generation += 1;
            state.reset_before = state.generation;
        });
    }

    /// Holds back what goes towards the process that is called, until the link is mended.
    pub fn cut_one_way(&self) {
        self.state.send_modify(|state| state.one_way = true);
    }

    /// Holds each part for so long, both ways, until the link is mended.
    pub fn slow(&self, delay: Duration) {
        self.state.send_modify(|state| state.delay = delay);
    }

    /// Lets new connections work again, at once and both ways.
    pub fn restore(&self) {
        self.state.send_modify(|state| {
            (state.refuses_new, state.one_way, state.delay) = (false, false, Duration::ZERO);
        });
    }

    /// Bytes that the relay has carried, both ways.
    pub fn bytes(&self) -> u64 {
        self.bytes.load(Ordering::Relaxed)
    }
}

async fn accept(
    listener: TcpListener,
    target: SocketAddr,
    states: watch::Receiver<State>,
    bytes: Arc<AtomicU64>,
) {
    loop {
        let Ok((incoming, _)) = listener.accept().await else {
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

/// What both directions of a relayed connection follow.
#[derive(Clone)]
struct Connection {
    generation: u64,
    states: watch::Receiver<State>,
    bytes: Arc<AtomicU64>,
}

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
            // A half that can't be told to reset is closed all the same.
            drop(half.set_zero_linger());
            return;
        }
        if connection.generation < state.stalled_before
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

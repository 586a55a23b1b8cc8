//! A TCP relay between two processes that can be cut, or made silent for good.

use std::net::SocketAddr;
use std::sync::Arc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// Size of a relay's buffer, in bytes.
const BUFFER_BYTES: usize = 64 << 10;

/// What a link does with its connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// Connections of this generation and later pass on what they carry.
    Open { generation: u64 },
    /// Connections are refused and those open are closed.
    Cut { generation: u64 },
    /// Connections opened before the generation carry nothing more, and stay open.
    Silent { generation: u64 },
}

impl State {
    fn generation(self) -> u64 {
        match self {
            State::Open { generation }
            | State::Cut { generation }
            | State::Silent { generation } => generation,
        }
    }
}

/// A relay from its own address to a process's.
#[derive(Debug)]
pub struct Link {
    /// Address that the relay listens on.
    pub address: SocketAddr,
    state: Arc<watch::Sender<State>>,
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
        let (state, states) = watch::channel(State::Open { generation: 0 });
        tokio::spawn(accept(listener, target, states));
        Ok(Link { address, state: Arc::new(state) })
    }

    /// Closes every connection and refuses new ones.
    pub fn cut(&self) {
        self.change(|generation| State::Cut { generation });
    }

    /// Lets the connections that are open carry nothing more; new ones work.
    pub fn silence_open(&self) {
        self.change(|generation| State::Silent { generation });
    }

    /// Lets new connections work again.
    pub fn mend(&self) {
        self.change(|generation| State::Open { generation });
    }

    fn change(&self, next: impl Fn(u64) -> State) {
        self.state.send_modify(|state| *state = next(state.generation() + 1));
    }
}

async fn accept(listener: TcpListener, target: SocketAddr, states: watch::Receiver<State>) {
    loop {
        let Ok((incoming, _)) = listener.accept().await else {
            return;
        };
        let state = *states.borrow();
        if matches!(state, State::Cut { .. }) {
            continue;
        }
        let states = states.clone();
        tokio::spawn(async move { relay(incoming, target, state.generation(), states).await });
    }
}

async fn relay(
    incoming: TcpStream,
    target: SocketAddr,
    generation: u64,
    states: watch::Receiver<State>,
) {
    let Ok(outgoing) = TcpStream::connect(target).await else {
        return;
    };
    let _ = incoming.set_nodelay(true);
    let _ = outgoing.set_nodelay(true);
    let (from_caller, to_caller) = incoming.into_split();
    let (from_target, to_target) = outgoing.into_split();
    tokio::join!(
        copy(from_caller, to_target, generation, states.clone()),
        copy(from_target, to_caller, generation, states),
    );
}

async fn copy(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    generation: u64,
    mut states: watch::Receiver<State>,
) {
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        let state = *states.borrow_and_update();
        let past = state.generation() > generation;
        match state {
            State::Cut { .. } => return,
            State::Silent { .. } if past => {
                if states.changed().await.is_err() {
                    return;
                }
                continue;
            }
            State::Open { .. } | State::Silent { .. } => {}
        }
        tokio::select! {
            changed = states.changed() => {
                if changed.is_err() {
                    return;
                }
            }
            read = from.read(&mut buffer) => {
                let Ok(length) = read else { return };
                if length == 0 || to.write_all(&buffer[..length]).await.is_err() {
                    return;
                }
            }
        }
    }
}

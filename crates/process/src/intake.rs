//! The open connections of a listener. Closes connections, and gives up bodies, as [`chestnutrack_core::intake`] decides.

use crate::clock;
use crate::socket;
use chestnutrack_core::intake::{Eviction, Key, Phase, Settings, Table};
use prometheus::IntCounterVec;
use slotmap::SecondaryMap;
use std::net::IpAddr;
use std::os::fd::AsFd;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::sync::Notify;
use tokio::task::yield_now;

/// Size that is asked of the system for each of the two buffers of a connection, in bytes. What callers have sent and
/// this host has not read is bounded by it.
const SOCKET_BUFFER_BYTES: usize = 16 << 10;

/// What wakes the tasks of a connection.
#[derive(Debug, Default)]
struct Wakers {
    /// Notified when the connection is to be closed at once.
    closed: Notify,
    /// Notified when the body that is arriving is to be refused.
    refused: Notify,
}

/// Decisions and wakers of a listener's connections.
struct State {
    table: Table,
    wakers: SecondaryMap<Key, Arc<Wakers>>,
    /// Connections accepted since the last pause.
    accepted: usize,
}

/// The open connections of a listener. Clones share them.
#[derive(Clone)]
pub struct Intake(Arc<Shared>);

struct Shared {
    /// Name of the listener in logs and metrics.
    listener: &'static str,
    state: Mutex<State>,
    evictions: Option<IntCounterVec>,
}

impl Intake {
    /// Creates the intake of a listener with a name in logs and metrics. Counts evictions by the listener and the reason.
    pub fn new(
        listener: &'static str,
        settings: Settings,
        evictions: Option<IntCounterVec>,
    ) -> Intake {
        let state = State { table: Table::new(settings), wakers: SecondaryMap::new(), accepted: 0 };
        Intake(Arc::new(Shared { listener, state: Mutex::new(state), evictions }))
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.0.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Bounds the system's buffers of connections that are accepted from now on. Logs an error of the system.
    pub fn bound_buffers(&self, listener: &impl AsFd) {
        if let Err(error) = socket::set_buffers(listener, SOCKET_BUFFER_BYTES) {
            tracing::warn!(listener = self.0.listener, %error, "buffers of connections can't be bounded");
        }
    }

    /// Adds a connection that was accepted. Closes another one if there are too many, or this one if requests run on
    /// all others.
    pub fn open(&self, address: IpAddr) -> Connection {
        let wakers = Arc::new(Wakers::default());
        let mut state = self.state();
        let (key, evictions) = state.table.open(clock::now(), address);
        state.wakers.insert(key, wakers.clone());
        self.apply(&state, evictions);
        state.accepted += 1;
        drop(state);
        Connection(Arc::new(Guard { intake: self.clone(), key, wakers }))
    }

    /// Lets accepted connections be read after a burst of them, which would otherwise evict each other before their
    /// requests are read.
    pub async fn pause_accepting(&self) {
        let is_burst = {
            let mut state = self.state();
            let is_burst = state.accepted >= state.table.burst();
            state.accepted = if is_burst { 0 } else { state.accepted };
            is_burst
        };
        if is_burst {
            yield_now().await;
        }
    }

    /// Evicts callers that have taken nothing of their answers for too long, and slow bodies while the process is short
    /// of connections or memory.
    pub fn sweep(&self) {
        let mut state = self.state();
        let evictions = state.table.sweep(clock::now());
        self.apply(&state, evictions);
    }

    /// Evicts the caller that has taken nothing of its answer for the longest time. Returns `false` if there is none.
    pub fn evict_reader(&self) -> bool {
        let mut state = self.state();
        let eviction = state.table.evict_reader(clock::now());
        self.apply(&state, eviction);
        eviction.is_some()
    }

    /// Returns the number of open connections.
    pub fn connections(&self) -> usize {
        self.state().table.len()
    }

    /// Returns the bytes that requests hold.
    pub fn held(&self) -> usize {
        self.state().table.held()
    }

    /// Wakes the tasks that are to give way, and logs and counts the decisions.
    fn apply(&self, state: &State, evictions: impl IntoIterator<Item = Eviction>) {
        let listener = self.0.listener;
        for Eviction { key, address, reason, refuse } in evictions {
            let Some(wakers) = state.wakers.get(key) else { continue };
            let waker = if refuse { &wakers.refused } else { &wakers.closed };
            waker.notify_one();
            let (reason, open, held) = (reason.name(), state.table.len(), state.table.held());
            tracing::info!(listener, %address, reason, open, held, refuse, "connection evicted");
            if let Some(evictions) = &self.0.evictions {
                evictions.with_label_values(&[listener, reason]).inc();
            }
        }
    }
}

/// An open connection. Dropping the last clone removes it, which is done once its socket is closed.
#[derive(Clone)]
pub struct Connection(Arc<Guard>);

struct Guard {
    intake: Intake,
    key: Key,
    wakers: Arc<Wakers>,
}

impl Drop for Guard {
    fn drop(&mut self) {
        let mut state = self.intake.state();
        state.table.close(self.key);
        state.wakers.remove(self.key);
    }
}

impl Connection {
    /// Waits until the connection is to be closed.
    pub async fn wait_for_eviction(&self) {
        self.0.wakers.closed.notified().await;
    }

    /// Waits until the body that is arriving is to be refused.
    pub async fn wait_for_refusal(&self) {
        self.0.wakers.refused.notified().await;
    }

    /// Returns whether the connection, or the body that arrived on it, is to give way.
    pub fn is_evicted(&self) -> bool {
        self.0.intake.state().table.is_evicted(self.0.key)
    }

    /// Records what the connection does.
    pub fn set_phase(&self, phase: Phase) {
        self.0.intake.state().table.set_phase(clock::now(), self.0.key, phase);
    }

    /// Records that the caller took a part of its answer.
    pub fn record_taken(&self) {
        self.0.intake.state().table.record_taken(clock::now(), self.0.key);
    }

    /// Records that a backend server answered a request of the connection.
    pub fn record_served(&self) {
        self.0.intake.state().table.record_served(self.0.key);
    }

    /// Returns the count of what a request on the connection holds, which is nothing yet.
    pub fn memory(&self) -> Memory {
        Memory { connection: self.clone(), bytes: 0 }
    }
}

/// Bytes that a request holds. Dropping the value releases them.
pub struct Memory {
    connection: Connection,
    bytes: usize,
}

impl Drop for Memory {
    fn drop(&mut self) {
        let guard = &self.connection.0;
        guard.intake.state().table.release(guard.key, self.bytes);
    }
}

impl Memory {
    /// Records that `received` bytes arrived, to hold which `bytes` more of memory are needed, and gives up other bodies
    /// for them. Returns `false` if they may not be held.
    pub fn hold(&mut self, received: usize, bytes: usize) -> bool {
        let guard = &self.connection.0;
        let mut state = guard.intake.state();
        let (is_held, evictions) = state.table.hold(clock::now(), guard.key, received, bytes);
        guard.intake.apply(&state, evictions);
        self.bytes += if is_held { bytes } else { 0 };
        is_held
    }
}

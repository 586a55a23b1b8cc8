//! Graceful shutdown on SIGTERM or SIGINT.
//!
//! The system ends a process by these signals until their handlers are installed, which takes a runtime and settings. So a
//! program calls [`defer_signals`] first in `main`, and [`deliver_signals`] once its handlers are installed. A signal that
//! arrives before `main` runs, while the system loads the program, still ends it, unless the process that starts it blocks
//! the signal.

use nix::sys::signal::{SigSet, Signal};
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;

/// Signals the tasks of a process that it is shutting down. Clones share the state.
#[derive(Clone, Debug)]
pub struct Shutdown(watch::Receiver<bool>);

impl Shutdown {
    /// Returns `true` if the process is shutting down.
    pub fn is_set(&self) -> bool {
        *self.0.borrow()
    }

    /// Waits until the process is shutting down.
    pub async fn wait(&mut self) {
        let _ = self.0.wait_for(|set| *set).await;
    }
}

/// Starts the shutdown that was created with it by [`manual`].
#[derive(Debug)]
pub struct Trigger(watch::Sender<bool>);

impl Trigger {
    /// Starts the shutdown.
    pub fn set(&self) {
        let _ = self.0.send(true);
    }
}

/// Creates a shutdown that is started by the returned trigger.
pub fn manual() -> (Trigger, Shutdown) {
    let (sender, receiver) = watch::channel(false);
    (Trigger(sender), Shutdown(receiver))
}

/// Holds back SIGTERM, SIGINT and SIGHUP until [`deliver_signals`]. To be called first in `main`: threads that exist already
/// still get them.
///
/// # Errors
///
/// The system's error if the signals can't be blocked.
pub fn defer_signals() -> std::io::Result<()> {
    Ok(deferred_signals().thread_block()?)
}

/// Delivers the signals that were held back, and those to come, on this thread. To be called on the thread that called
/// [`defer_signals`], once the handlers of the program are installed: a signal without a handler ends it.
///
/// # Errors
///
/// The system's error if the signals can't be unblocked.
pub fn deliver_signals() -> std::io::Result<()> {
    Ok(deferred_signals().thread_unblock()?)
}

fn deferred_signals() -> SigSet {
    [Signal::SIGTERM, Signal::SIGINT, Signal::SIGHUP].into_iter().collect()
}

/// Creates a shutdown that SIGTERM or SIGINT starts.
///
/// # Errors
///
/// The system's error if a signal handler can't be installed.
pub fn on_signal() -> std::io::Result<Shutdown> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let (trigger, shutdown) = manual();
    tokio::spawn(async move {
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
        trigger.set();
        trigger.0.closed().await;
    });
    Ok(shutdown)
}

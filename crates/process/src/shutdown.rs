//! Graceful shutdown on SIGTERM or SIGINT.

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

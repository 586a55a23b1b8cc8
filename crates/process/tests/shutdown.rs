//! Signals that arrive before their handlers are installed.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

use chestnutrack_process::shutdown;
use nix::sys::signal::{Signal, raise};
use std::time::Duration;
use tokio::time::timeout;

// Guards against a process that a signal ends because it arrives before its handler is installed.
#[test]
fn a_signal_that_was_held_back_starts_the_shutdown() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    shutdown::defer_signals().unwrap();
    raise(Signal::SIGTERM).unwrap();

    let stopped = runtime.block_on(async {
        let mut shutdown = shutdown::on_signal().unwrap();
        shutdown::deliver_signals().unwrap();
        timeout(Duration::from_secs(10), shutdown.wait()).await
    });

    assert_eq!(stopped, Ok(()));
}

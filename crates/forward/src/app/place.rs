//! Places at servers of plain services.

use super::{App, Target};
use chestnutrack_core::dispatch::Key;
use chestnutrack_process::clock;
use std::sync::Arc;

/// A place at a plain service's server, given back when it is dropped.
pub struct Place {
    app: Arc<App>,
    /// The server.
    pub target: Target,
}

impl Drop for Place {
    fn drop(&mut self) {
        self.app.state().dispatch.plain_ended(self.target.key);
    }
}

impl App {
    /// Takes a place at a server of a plain service, other than those passed over.
    pub fn place(self: &Arc<App>, service: &str, passed_over: &[Key]) -> Option<Place> {
        let mut state = self.state();
        let key = state.dispatch.plain(clock::now(), service, passed_over)?;
        let target = state.target(key);
        if target.is_none() {
            state.dispatch.plain_ended(key);
        }
        drop(state);
        Some(Place { app: self.clone(), target: target? })
    }
}

//! What every request of the process shares.

use crate::config::Table;
use crate::dialect::Dialect;
use crate::server::Servers;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};

/// What every request of the process shares.
pub struct App {
    /// Names on the wire.
    pub dialect: Dialect,
    /// Failure domain of this host.
    pub failure_domain: Arc<str>,
    /// Backend servers.
    pub servers: Servers,
    table: Mutex<Option<Arc<Table>>>,
    draining: AtomicBool,
}

impl App {
    /// Without a configuration.
    pub fn new(dialect: Dialect, failure_domain: Arc<str>) -> App {
        App {
            dialect,
            failure_domain,
            servers: Servers::default(),
            table: Mutex::default(),
            draining: AtomicBool::new(false),
        }
    }

    /// The configuration in force.
    pub fn table(&self) -> Option<Arc<Table>> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Puts a configuration in force, unless a newer one is.
    pub fn configure(&self, table: Arc<Table>) -> bool {
        let mut now = self.table.lock().unwrap_or_else(PoisonError::into_inner);
        let newer = now.as_ref().is_none_or(|now| now.config().version < table.config().version);
        if newer {
            *now = Some(table);
        }
        newer
    }

    /// Whether the process is shutting down.
    pub fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Relaxed)
    }

    /// Begins the shutdown.
    pub fn drain(&self) {
        self.draining.store(true, Ordering::Relaxed);
    }
}

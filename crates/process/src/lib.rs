//! Infrastructure shared by all programs: settings, logs, metrics, health, shutdown, timers, HTTP
//! and TLS.

pub mod admin;
pub mod clock;
pub mod header;
pub mod http;
pub mod intake;
pub mod log;
pub mod pool;
pub mod settings;
pub mod shutdown;
pub mod socket;
pub mod timer;
pub mod tls;

//! Stand-ins of the object interface, model engines and plain services.
//!
//! Each models what decides for the system and no more; `docs/standins.md` says what that is.

pub mod answer;
pub mod engine;
pub mod faults;
pub mod http;
pub mod plain;
pub mod platform;
pub mod request_log;

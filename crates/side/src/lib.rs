//! The side process, which manages one backend server.
//!
//! The side process holds the authoritative state of its backend server: which request has which
//! slot, which engine memory and which booking on the link. No other process sends the server
//! orders. The state machine that makes the decisions is [`chestnutrack_core::server`]; this crate
//! contains the actor that owns it, and does the I/O.

pub mod actor;
pub mod authority;
pub mod config;
pub mod connection;
pub mod engine;
pub mod header;
pub mod message;
pub mod metrics;
pub mod plain;
pub mod program;
pub mod settings;

pub use program::{Program, start};
pub use settings::Settings;

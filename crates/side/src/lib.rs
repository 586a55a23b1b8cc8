//! The process beside one backend server.
//!
//! It owns the truth about that server: who has which slot, which engine memory and which turn on
//! the link, and it alone gives the server orders. The decisions are in
//! [`chestnutrack_core::server`]; here are the actor that owns the table and the sockets.

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

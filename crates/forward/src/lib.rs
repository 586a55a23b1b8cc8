//! The request path of entry hosts that call backend servers directly.
//!
//! A request passes unchanged: method, path, query and body go to a backend server as they came, and
//! the server's answer goes back as it came. What stands in headers is read and written by a
//! [`dialect::Dialect`].

pub mod answer;
pub mod app;
pub mod attempt;
pub mod config;
pub mod dialect;
pub mod listener;
pub mod program;
pub mod request;
pub mod server;

//! The program on an entry host: callers' requests, admission, placement, relay.
//!
//! A request's life is in [`request`]; where it may run in [`scheduler`]; its attempts in
//! [`attempt`]; the connections to side processes in [`link`]; the way back in [`answer`].

pub mod admin;
pub mod answer;
pub mod app;
pub mod attempt;
pub mod authority;
pub mod burn;
pub mod explain;
pub mod link;
pub mod metric;
pub mod program;
pub mod request;
pub mod scheduler;
pub mod server;
pub mod settings;
pub mod usage;

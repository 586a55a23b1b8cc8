//! Program of an entry host: admits callers' requests, places them on backend servers and relays
//! the answers.
//!
//! [`request`] handles a request from arrival to end, [`scheduler`] places it on a server,
//! [`attempt`] runs its attempts, [`link`] holds the connections to side processes, and [`answer`]
//! sends the answer to the caller.

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

//! The request path of entry hosts that call backend servers directly.
//!
//! A request passes unchanged: method, path, query and body go to a backend server as they came, and
//! the server's answer goes back as it came. What stands in headers is read and written by a
//! [`dialect::Dialect`]; [`own`] is the project's own.
//!
//! | what happens | where |
//! | --- | --- |
//! | a connection is taken, a shutdown cuts no request | [`listener`] |
//! | a request is matched with its route, key and allowance | [`request`] |
//! | it gets its turn, and a place at a backend server | [`app`], `core::dispatch` |
//! | it is sent, sent again, relayed and resumed | [`attempt`] |
//! | the configuration and the backend servers are followed | [`follow`] |
//! | hosts find each other and tell each other what they do | [`mesh`] |
//! | engines change between prefilling and generating | [`stage`], `core::plan` |

pub mod answer;
pub mod app;
pub mod attempt;
pub mod config;
pub mod dialect;
pub mod follow;
pub mod listener;
pub mod mesh;
pub mod metric;
pub mod native;
pub mod program;
pub mod request;
pub mod stage;

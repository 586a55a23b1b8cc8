//! Request path of entry hosts that call backend servers directly.
//!
//! Requests pass unchanged: method, path, query and body are sent to a backend server as received,
//! and its answer is returned as received. Headers are read and written by a [`dialect::Dialect`];
//! [`native`] holds the project's own dialect.
//!
//! | task | module |
//! | --- | --- |
//! | accepts connections; drains requests at shutdown | [`listener`] |
//! | matches a request with its route, key and allowance | [`request`] |
//! | admits a request and places it at a backend server | [`app`], `core::dispatch` |
//! | sends, retries, relays and resumes a request | [`attempt`] |
//! | watches the configuration and the backend servers | [`follow`] |
//! | connects hosts and exchanges their state | [`mesh`] |
//! | switches engines between prefill and decode | [`stage`], `core::plan` |

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

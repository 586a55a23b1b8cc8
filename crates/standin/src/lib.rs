//! Stand-ins: simulated servers of the object interface, of model engines and of plain services
//! (services without engines), for tests and the demo.
//!
//! Each simulates only the behaviour that affects the system's decisions; `docs/standins.md`
//! describes that behaviour.

pub mod answer;
pub mod engine;
pub mod faults;
pub mod http;
pub mod mutation;
pub mod plain;
pub mod platform;
pub mod request_log;

//! A service's document (its configuration): types, validation and the findings that validation
//! reports.
//!
//! Each document belongs to one team. It states everything that the fleet does for the service: its
//! organisations with their API keys and rates, its routes, and its pools of backend servers. A model pool
//! consists of engines; a plain pool consists of plain services, to which calls are forwarded unchanged.

pub mod check;
pub mod finding;
pub mod key;
pub mod model;

pub use check::parse;
pub use finding::{Finding, Findings};
pub use model::Document;

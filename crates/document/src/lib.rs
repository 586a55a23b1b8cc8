//! A service's document (its configuration): types, validation and the findings that validation
//! reports.
//!
//! Each document belongs to one team. It states everything that the fleet does for the service.

pub mod check;
pub mod finding;
pub mod key;
pub mod model;

pub use check::parse;
pub use finding::{Finding, Findings};
pub use model::Document;

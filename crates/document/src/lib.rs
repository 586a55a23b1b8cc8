//! A service's document: its types, the checks on it, and the findings they report.
//!
//! One team owns one document. Everything that the fleet does for the service is stated in it.

pub mod check;
pub mod finding;
pub mod key;
pub mod model;

pub use check::parse;
pub use finding::{Finding, Findings};
pub use model::Document;

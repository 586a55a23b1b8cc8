//! Placement: which decode and which prefill server a request goes to.
//!
//! Pure functions over a table of servers. What is known of a server's load rides on its answers
//! and ages; what this host has sent there since is added. Several hosts decide at once on old
//! news, so each looks at a few random candidates only and takes the best of them.

pub mod choose;
pub mod prefix;
pub mod table;
pub mod wait;

#[cfg(test)]
mod tests;

pub use choose::{Query, decode, plain, prefill, prefill_work};
pub use prefix::PrefixIndex;
pub use table::{Key, Load, Server, Table};

//! The operators' command line. It only reads; a service is changed by editing its document, the
//! file that configures it.

pub mod cmd;
pub mod diff;
pub mod output;
pub mod page;
pub mod plot;
pub mod settings;
pub mod table;
pub mod timeline;

//! The subcommands, on pages and objects served on loopback.

mod check;
mod common;
mod logs;
mod pages;
mod report;

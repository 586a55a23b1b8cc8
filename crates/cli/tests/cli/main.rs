//! Tests of the subcommands with pages and objects that are served on loopback.

mod check;
mod common;
mod config;
mod logs;
mod pages;
mod report;

//! Tests of the binary's flags and environment variables.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

use expect_test::{Expect, expect};
use std::process::Command;

/// Runs the binary with invalid settings and compares its error output.
fn check_refusal(arguments: &[&str], variables: &[(&str, &str)], expected: Expect) {
    let mut command = Command::new(env!("CARGO_BIN_EXE_chestnutrack-standin"));
    command.args(arguments).env_clear().envs(variables.iter().copied());
    let output = command.output().unwrap();
    assert_eq!(output.status.code(), Some(2));
    expected.assert_eq(&String::from_utf8(output.stderr).unwrap());
}

#[test]
fn invalid_settings_are_reported_together() {
    let arguments = [
        "engine",
        "--slots",
        "0",
        "--checks-fencing",
        "perhaps",
        "--time-scale",
        "-1",
        "--events-lost-percent",
        "101",
    ];
    let variables = [("CHESTNUTRACK_KV_TOKENS", "many"), ("CHESTNUTRACK_EVICT_MS", "-5")];
    check_refusal(
        &arguments,
        &variables,
        expect![[r#"
        --listen or CHESTNUTRACK_LISTEN: is missing: an address and a port
        --slots: `0` is not a whole number of at least 1
        CHESTNUTRACK_KV_TOKENS: `many` is not a whole number of at least 1
        CHESTNUTRACK_EVICT_MS: `-5` is not a number of milliseconds
        --events-lost-percent: `101` is not a whole number from 0 to 100
        --checks-fencing: `perhaps` is not `true` or `false`
        --time-scale: `-1` is not a number from 0.001 to 1000
    "#]],
    );
}

#[test]
fn every_subcommand_requires_a_listen_address() {
    check_refusal(
        &["platform", "--writes-per-s", "0"],
        &[],
        expect![[r#"
        --listen or CHESTNUTRACK_LISTEN: is missing: an address and a port
        --writes-per-s: `0` is not a whole number of at least 1
    "#]],
    );
    check_refusal(
        &["plain", "--listen", "here"],
        &[],
        expect![[r#"
        --listen: `here` is not an address and a port
    "#]],
    );
}

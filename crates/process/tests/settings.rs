//! Flags take precedence over environment variables, and all invalid values are reported together.

#![allow(clippy::unwrap_used)]

use chestnutrack_process::settings::{Reader, Setting};
use expect_test::expect;

const PORT: Setting<'static> =
    Setting { flag: "--port", variable: "CHESTNUTRACK_PORT", allowed: "a port from 0 to 65535" };
const NAME: Setting<'static> =
    Setting { flag: "--name", variable: "CHESTNUTRACK_NAME", allowed: "a name" };

fn variable(name: &str) -> Option<String> {
    (name == PORT.variable).then(|| "70000".to_owned())
}

#[test]
fn a_flag_takes_precedence_over_its_variable() {
    let mut reader = Reader::new(variable);

    let port: u16 = reader.with_default(PORT, Some("80"), 0);

    assert_eq!(reader.finish(port), Ok(80));
}

#[test]
fn the_default_is_used_if_nothing_is_given() {
    let mut reader = Reader::new(|_| None);

    let port: u16 = reader.with_default(PORT, None, 7);

    assert_eq!(reader.finish(port), Ok(7));
}

#[test]
fn every_invalid_or_missing_setting_is_reported() {
    let mut reader = Reader::new(variable);

    let port: u16 = reader.with_default(PORT, None, 0);
    let name: String = reader.required(NAME, None, String::new());

    let findings = reader.finish((port, name)).unwrap_err();
    expect![[r"
        CHESTNUTRACK_PORT: `70000` is not a port from 0 to 65535
        --name or CHESTNUTRACK_NAME: is missing: a name
    "]]
    .assert_eq(&findings.to_string());
}

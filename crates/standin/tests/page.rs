//! Checks that the documentation of the stand-ins names all their flags and faults.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

mod support;

use chestnutrack_standin::{engine, plain, platform};
use std::collections::BTreeSet;
use std::process::Command;

const DOCUMENTATION: &str = include_str!("../../../docs/standins.md");

/// Returns the flags in a text that follow the character `preceding`. A flag ends at the first
/// character that is neither a hyphen nor a lower-case letter.
fn flags(text: &str, preceding: char) -> BTreeSet<String> {
    let words = text.split(preceding).skip(1);
    let flag = |word: &str| {
        let flag_length = word.find(|letter: char| letter != '-' && !letter.is_ascii_lowercase());
        word[..flag_length.unwrap_or(word.len())].to_owned()
    };
    words.map(flag).filter(|flag| flag.starts_with("--") && flag.len() > 2).collect()
}

#[test]
fn the_documentation_names_every_flag() {
    let mut expected = BTreeSet::new();
    for command in ["platform", "engine", "plain"] {
        let mut command_line = Command::new(env!("CARGO_BIN_EXE_chestnutrack-standin"));
        let output = command_line.args([command, "--help"]).output().unwrap();
        expected.extend(flags(&String::from_utf8(output.stdout).unwrap(), ' '));
    }
    for common in ["--listen", "--log", "--help"] {
        expected.remove(common);
    }

    let mut documented = flags(DOCUMENTATION, '`');
    documented.remove("--listen");

    assert_eq!(documented, expected);
}

#[tokio::test]
async fn the_documentation_names_every_fault() {
    let stand_ins = [
        support::platform(platform::Settings::default()).await,
        support::engine(engine::Settings::default()).await,
        support::plain(plain::Settings::default()).await,
    ];
    for address in stand_ins {
        let faults = support::get_control(address, "faults").await;
        for name in faults.as_object().unwrap().keys() {
            assert!(DOCUMENTATION.contains(&format!("| `{name}` |")), "{name}");
        }
    }
}

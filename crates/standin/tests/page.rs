//! The page on the stand-ins against the stand-ins themselves.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

mod support;

use chestnutrack_standin::{engine, plain, platform};
use std::collections::BTreeSet;
use std::process::Command;

const PAGE: &str = include_str!("../../../docs/standins.md");

/// Flags in a text, each once.
fn flags(text: &str, before: char) -> BTreeSet<String> {
    let words = text.split(before).skip(1);
    let flag = |word: &str| {
        let end = word.find(|letter: char| letter != '-' && !letter.is_ascii_lowercase());
        word[..end.unwrap_or(word.len())].to_owned()
    };
    words.map(flag).filter(|flag| flag.starts_with("--") && flag.len() > 2).collect()
}

#[test]
fn the_page_names_every_flag_of_the_binary() {
    let mut known = BTreeSet::new();
    for command in ["platform", "engine", "plain"] {
        let mut help = Command::new(env!("CARGO_BIN_EXE_chestnutrack-standin"));
        let output = help.args([command, "--help"]).output().unwrap();
        known.extend(flags(&String::from_utf8(output.stdout).unwrap(), ' '));
    }
    for common in ["--listen", "--log", "--help"] {
        known.remove(common);
    }

    let mut named = flags(PAGE, '`');
    named.remove("--listen");

    assert_eq!(named, known);
}

#[tokio::test]
async fn the_page_names_every_fault() {
    let stand_ins = [
        support::platform(platform::Settings::default()).await,
        support::engine(engine::Settings::default()).await,
        support::plain(plain::Settings::default()).await,
    ];
    for address in stand_ins {
        let faults = support::page(address, "faults").await;
        for name in faults.as_object().unwrap().keys() {
            assert!(PAGE.contains(&format!("| `{name}` |")), "{name}");
        }
    }
}

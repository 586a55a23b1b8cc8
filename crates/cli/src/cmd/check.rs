//! `check`: validates a document and reports every finding with its place.

use crate::diff;
use crate::output::{FINDING, Output, UNREACHABLE, USAGE};
use crate::settings::PLATFORM;
use argh::FromArgs;
use chestnutrack_document::{Document, Findings, parse};
use chestnutrack_process::settings::{Reader, environment};
use chestnutrack_store::client::{Client, Settings};
use chestnutrack_store::error::Error;
use serde::Serialize;
use serde_json::Value;
use std::io::Read;
use std::net::SocketAddr;

/// Check a document before it is submitted; all findings are reported with their place.
#[derive(FromArgs)]
#[argh(subcommand, name = "check")]
pub(super) struct Check {
    /// the document's file; `-` for standard input
    #[argh(positional)]
    file: String,
    /// compare with the document in force
    #[argh(switch)]
    current: bool,
    /// address of the object interface, for --current
    #[argh(option)]
    platform: Option<String>,
    /// print JSON
    #[argh(switch)]
    json: bool,
}

/// Findings in a document and, on request, its difference from the document in force.
#[derive(Serialize)]
struct CheckResult<'a> {
    file: &'a str,
    findings: Findings,
    #[serde(skip_serializing_if = "Option::is_none")]
    current: Option<Comparison>,
}

/// Difference between the document in force and the checked document.
#[derive(Serialize)]
struct Comparison {
    /// Version of the document in force, or `None` if there is none.
    version: Option<u64>,
    changes: Vec<diff::Change>,
}

impl Check {
    /// Validates the document and, on request, compares it with the document in force.
    pub(super) async fn run(self) -> Result<Output, Output> {
        let bytes = read_input(&self.file)?;
        let (document, findings) = match parse(&bytes) {
            Ok(document) => (Some(document), Findings::default()),
            Err(findings) => (None, findings),
        };
        let current = match document {
            Some(document) if self.current => Some(self.compare_with_current(&document).await?),
            _ => None,
        };
        let result = CheckResult { file: &self.file, findings, current };
        Ok(if self.json { json(&result) } else { text(&result) })
    }

    /// Compares the document with the accepted document of the same service, which is the one in force.
    async fn compare_with_current(&self, document: &Document) -> Result<Comparison, Output> {
        let platform = self.platform()?;
        let service = &document.service;
        let client = Client::new(platform, Settings::default(), None);
        let object = match client.read("accepted", service).await {
            Ok(object) => object.value.unwrap_or_default(),
            Err(Error::Missing) => Value::Null,
            Err(error) => return Err(object_interface_error(platform, &error)),
        };
        let new = serde_json::to_value(document).unwrap_or_default();
        // Deserialize and serialize the accepted document, so that omitted fields get their
        // defaults and aren't reported as changes.
        let old = serde_json::from_value::<Document>(object["document"].clone()).ok();
        let old = old.and_then(|old| serde_json::to_value(old).ok());
        Ok(Comparison {
            version: object["source"].as_u64(),
            changes: diff::changes(&old.unwrap_or(Value::Null), &new),
        })
    }

    /// Returns the address of the object interface from the flag or the environment.
    fn platform(&self) -> Result<SocketAddr, Output> {
        let mut reader = Reader::new(environment);
        let placeholder = SocketAddr::from(([0, 0, 0, 0], 0));
        let platform = reader.required(PLATFORM, self.platform.as_deref(), placeholder);
        reader.finish(platform).map_err(super::settings_error)
    }
}

/// Reads a file, or standard input if its name is `-`.
pub(super) fn read_input(file: &str) -> Result<Vec<u8>, Output> {
    let mut bytes = Vec::new();
    let result = match file {
        "-" => std::io::stdin().read_to_end(&mut bytes).map(drop),
        file => std::fs::read(file).map(|content| bytes = content),
    };
    result.map_err(|error| Output::error(USAGE, format!("{file}: {error}")))?;
    Ok(bytes)
}

/// Creates the output for a failed call to the object interface.
pub(super) fn object_interface_error(platform: SocketAddr, error: &Error) -> Output {
    Output::error(UNREACHABLE, format!("object interface {platform}: {error}"))
}

/// Formats a result as JSON. The exit code is [`FINDING`] if there are findings.
fn json(result: &CheckResult<'_>) -> Output {
    let code = if result.findings.is_empty() { 0 } else { FINDING };
    Output { code, ..Output::json(result) }
}

/// Formats a result as text. Findings come with an error message and the exit code [`FINDING`].
fn text(result: &CheckResult<'_>) -> Output {
    let file = result.file;
    if !result.findings.is_empty() {
        let count = result.findings.0.len();
        let lines = result.findings.0.iter().map(|finding| format!("{file}: {finding}\n"));
        let message =
            format!("{}; the document would not be accepted", pluralize(count, "finding"));
        return Output::ok(lines.collect::<String>()).with_error(FINDING, message);
    }
    let mut out = format!("{file}: no findings\n");
    if let Some(current) = &result.current {
        out += &match current.version {
            Some(version) => {
                let changes = pluralize(current.changes.len(), "change");
                format!("{changes} from version {version} in force\n")
            }
            None => "no document is in force yet\n".to_owned(),
        };
        let listed_changes = current.changes.iter().filter(|_| current.version.is_some());
        out += &listed_changes.map(|change| format!("{change}\n")).collect::<String>();
    }
    Output::ok(out)
}

/// Returns a count with its noun.
pub(super) fn pluralize(count: usize, noun: &str) -> String {
    if count == 1 { format!("1 {noun}") } else { format!("{count} {noun}s") }
}

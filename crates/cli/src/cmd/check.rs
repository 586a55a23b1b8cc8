//! `check`: reads a document and reports every finding with its place.

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

#[derive(Serialize)]
struct Verdict<'a> {
    file: &'a str,
    findings: Findings,
    #[serde(skip_serializing_if = "Option::is_none")]
    current: Option<Current>,
}

/// How the document differs from the one in force.
#[derive(Serialize)]
struct Current {
    /// Version of the document in force; absent where there is none.
    version: Option<u64>,
    changes: Vec<diff::Change>,
}

impl Check {
    pub(super) async fn run(self) -> Result<Output, Output> {
        let bytes = read(&self.file)?;
        let (document, findings) = match parse(&bytes) {
            Ok(document) => (Some(document), Findings::default()),
            Err(findings) => (None, findings),
        };
        let current = match document {
            Some(document) if self.current => Some(self.compare(&document).await?),
            _ => None,
        };
        let verdict = Verdict { file: &self.file, findings, current };
        Ok(if self.json { json(&verdict) } else { text(&verdict) })
    }

    async fn compare(&self, document: &Document) -> Result<Current, Output> {
        let platform = self.platform()?;
        let service = &document.service;
        let client = Client::new(platform, Settings::default(), None);
        let object = match client.read("accepted", service).await {
            Ok(object) => object.value.unwrap_or_default(),
            Err(Error::Missing) => Value::Null,
            Err(error) => return Err(unreachable(platform, &error)),
        };
        let after = serde_json::to_value(document).unwrap_or_default();
        // Read and written again, so that defaults left out show as no change.
        let before = serde_json::from_value::<Document>(object["document"].clone()).ok();
        let before = before.and_then(|before| serde_json::to_value(before).ok());
        Ok(Current {
            version: object["source"].as_u64(),
            changes: diff::changes(&before.unwrap_or(Value::Null), &after),
        })
    }

    fn platform(&self) -> Result<SocketAddr, Output> {
        let mut reader = Reader::new(environment);
        let nowhere = SocketAddr::from(([0, 0, 0, 0], 0));
        let platform = reader.required(PLATFORM, self.platform.as_deref(), nowhere);
        reader.finish(platform).map_err(super::wrong_settings)
    }
}

/// Reads a file, or standard input.
pub(super) fn read(file: &str) -> Result<Vec<u8>, Output> {
    let mut bytes = Vec::new();
    let ended = match file {
        "-" => std::io::stdin().read_to_end(&mut bytes).map(drop),
        file => std::fs::read(file).map(|read| bytes = read),
    };
    ended.map_err(|error| Output::error(USAGE, format!("{file}: {error}")))?;
    Ok(bytes)
}

/// An output for an object interface that gives no answer.
pub(super) fn unreachable(platform: SocketAddr, error: &Error) -> Output {
    Output::error(UNREACHABLE, format!("object interface {platform}: {error}"))
}

fn json(verdict: &Verdict<'_>) -> Output {
    let code = if verdict.findings.is_empty() { 0 } else { FINDING };
    Output { code, ..Output::json(verdict) }
}

fn text(verdict: &Verdict<'_>) -> Output {
    let file = verdict.file;
    if !verdict.findings.is_empty() {
        let count = verdict.findings.0.len();
        let lines = verdict.findings.0.iter().map(|finding| format!("{file}: {finding}\n"));
        let message = format!("{}; the document would not be accepted", counted(count, "finding"));
        return Output::ok(lines.collect::<String>()).with_error(FINDING, message);
    }
    let mut out = format!("{file}: no findings\n");
    if let Some(current) = &verdict.current {
        out += &match current.version {
            Some(version) => {
                let changes = counted(current.changes.len(), "change");
                format!("{changes} from version {version} in force\n")
            }
            None => "no document is in force yet\n".to_owned(),
        };
        let shown = current.changes.iter().filter(|_| current.version.is_some());
        out += &shown.map(|change| format!("{change}\n")).collect::<String>();
    }
    Output::ok(out)
}

fn counted(count: usize, what: &str) -> String {
    if count == 1 { format!("1 {what}") } else { format!("{count} {what}s") }
}

//! `check-config`: checks the configuration of entry hosts that call servers directly, before it is written to the
//! platform's store.

use super::check::{object_interface_error, pluralize, read_input};
use crate::diff;
use crate::output::{FINDING, Output, USAGE};
use argh::FromArgs;
use chestnutrack_document::Findings;
use chestnutrack_forward::config::{Config, check};
use chestnutrack_platform as platform;
use chestnutrack_store::client::{Client, Settings};
use chestnutrack_store::error::Error;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::net::SocketAddr;

/// Check the configuration of entry hosts that call servers directly, before it is sent: errors, entries that can never
/// match, limits that contradict each other, and what differs from the configuration in force.
#[derive(FromArgs)]
#[argh(subcommand, name = "check-config")]
pub(super) struct CheckConfig {
    /// the configuration's file; `-` for standard input
    #[argh(positional)]
    file: String,
    /// the file is in the project's own dialect
    #[argh(switch)]
    native: bool,
    /// file of the configuration in force, to compare with
    #[argh(option)]
    in_force: Option<String>,
    /// address of the platform's store, to compare with the configuration in force there
    #[argh(option)]
    platform: Option<SocketAddr>,
    /// print JSON
    #[argh(switch)]
    json: bool,
}

/// Findings in a configuration and, on request, its difference from the configuration in force.
#[derive(Serialize)]
struct CheckResult<'a> {
    file: &'a str,
    findings: Findings,
    #[serde(skip_serializing_if = "Option::is_none")]
    changes: Option<Vec<diff::Change>>,
}

impl CheckConfig {
    /// Checks the configuration and, on request, compares it with the one in force.
    pub(super) async fn run(self) -> Result<Output, Output> {
        let bytes = read_input(&self.file)?;
        let mut findings = Findings::default();
        let value = parse(&mut findings, &bytes);
        let config = value.as_ref().and_then(|value| self.decode(&mut findings, value));
        if let Some(config) = &config {
            findings.0.extend(check::check(config).0);
        }
        let changes = match (self.in_force().await?, value, config) {
            (Some(in_force), Some(value), Some(config)) => {
                self.check_version(&mut findings, &in_force, &config);
                Some(hide_keys(diff::changes(&in_force, &value)))
            }
            _ => None,
        };
        let result = CheckResult { file: &self.file, findings, changes };
        let code = if result.findings.is_empty() { 0 } else { FINDING };
        Ok(match self.json {
            true => Output { code, ..Output::json(&result) },
            false => text(&result),
        })
    }

    /// Decodes the configuration. Adds a finding if it can't be decoded.
    fn decode(&self, findings: &mut Findings, value: &Value) -> Option<Config> {
        let decoded = match self.native {
            true => Config::deserialize(value).map_err(|error| error.to_string()),
            false => platform::document::config(value),
        };
        decoded.inspect_err(|error| findings.add("", error.as_str())).ok()
    }

    /// Adds a finding if the configuration is not newer than the one in force, so that hosts would ignore it.
    fn check_version(&self, findings: &mut Findings, in_force: &Value, config: &Config) {
        let Some(current) = self.decode(&mut Findings::default(), in_force) else { return };
        if config.version <= current.version {
            let (version, current) = (config.version, current.version);
            let message = format!("{version} is not above {current}, the version in force");
            findings.add("version", message);
        }
    }

    /// Reads the configuration in force, if one is to be compared with.
    async fn in_force(&self) -> Result<Option<Value>, Output> {
        if let Some(file) = &self.in_force {
            let bytes = read_input(file)?;
            let value = serde_json::from_slice(&bytes);
            return value
                .map(Some)
                .map_err(|error| Output::error(USAGE, format!("{file}: {error}")));
        }
        let Some(address) = self.platform else { return Ok(None) };
        let protocol = platform::PROTOCOL;
        let client = Client::with_dialect(protocol.store, address, Settings::default(), None);
        let directory = protocol.directory;
        match client.read(directory.config_kind, directory.config_name).await {
            Ok(object) => Ok(object.value),
            Err(Error::Missing) => Ok(None),
            Err(error) => Err(object_interface_error(address, &error)),
        }
    }
}

/// Parses JSON. Adds a finding with the line and column if that fails.
fn parse(findings: &mut Findings, bytes: &[u8]) -> Option<Value> {
    serde_json::from_slice(bytes)
        .inspect_err(|error: &serde_json::Error| {
            findings
                .add(format!("line {} column {}", error.line(), error.column()), error.to_string());
        })
        .ok()
}

/// Replaces callers' keys in changes, which must not appear in any output.
fn hide_keys(changes: Vec<diff::Change>) -> Vec<diff::Change> {
    let hidden = |value: Option<Value>| value.map(|_| Value::from("(hidden)"));
    let changes =
        changes.into_iter().map(|change| match change.place.to_lowercase().contains("keys") {
            true => diff::Change {
                before: hidden(change.before),
                after: hidden(change.after),
                ..change
            },
            false => change,
        });
    changes.collect()
}

/// Formats a result as text. Findings come with an error message and the exit code [`FINDING`].
fn text(result: &CheckResult<'_>) -> Output {
    let file = result.file;
    let mut out: String =
        result.findings.0.iter().map(|finding| format!("{file}: {finding}\n")).collect();
    if result.findings.is_empty() {
        out += &format!("{file}: no findings\n");
    }
    if let Some(changes) = &result.changes {
        out += &format!("{} from the version in force\n", pluralize(changes.len(), "change"));
        out += &changes.iter().map(|change| format!("{change}\n")).collect::<String>();
    }
    match result.findings.0.len() {
        0 => Output::ok(out),
        count => Output::ok(out).with_error(FINDING, pluralize(count, "finding")),
    }
}

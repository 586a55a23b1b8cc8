//! Builds the timeline of one request from the logs of several processes.
//!
//! Each log line is a JSON object. The last word before the object, such as a host's name, is the
//! line's source. The timeline holds the request's own log lines and their context: lines that the
//! same processes logged shortly before and during the request about the backend servers that the
//! request's lines name, the configuration, their peers and the object interface.

use serde_json::{Map, Value};
use std::collections::BTreeSet;
use time::OffsetDateTime;
use time::format_description::well_known::Rfc3339;

/// How long before a request's first line its context begins, in microseconds.
const CONTEXT_BEFORE_US: i64 = 10_000_000;
/// Fields that every line has or that identify the request. They aren't shown as details.
const COMMON_FIELDS: &[&str] = &["timestamp", "level", "message", "id"];
/// Fields that name a backend server.
const SERVER_FIELDS: &[&str] = &["server", "decode", "prefill"];
/// Messages about the state of a process, not about a request. They must match the text that the
/// processes log.
const STATE_MESSAGES: &[&str] = &[
    "started",
    "stopped",
    "readiness changed",
    "configuration in force",
    "peer can't be heard",
    "peer heard again",
    "peer refuses connections",
    "peer has stopped",
    "object interface doesn't answer",
    "object interface answers again",
    "watch doubted",
    "settings read anew",
    "lines dropped",
];

/// One line of a log.
#[derive(Clone, Debug)]
pub struct Line {
    /// Last word before the JSON object on the line, or the file's name if there is none.
    pub source: String,
    /// Time at which the line was logged, in microseconds since 1970 by the process's wall clock.
    pub at_us: i64,
    fields: Map<String, Value>,
}

impl Line {
    /// Parses a line of a log file. Returns `None` if it holds no JSON object with a timestamp.
    pub fn parse(text: &str, file: &str) -> Option<Line> {
        let (prefix, json) = text.split_at(text.find('{')?);
        let fields: Map<String, Value> = serde_json::from_str(json.trim()).ok()?;
        let time = OffsetDateTime::parse(fields.get("timestamp")?.as_str()?, &Rfc3339).ok()?;
        let at_us = i64::try_from(time.unix_timestamp_nanos() / 1_000).ok()?;
        let source = prefix.split_whitespace().last().unwrap_or(file).to_owned();
        Some(Line { source, at_us, fields })
    }

    /// Returns a field's value, or `None` if the line has no such field or it isn't a string.
    fn string_field(&self, field: &str) -> Option<&str> {
        self.fields.get(field)?.as_str()
    }

    /// Returns the log message, or an empty string if the line has none.
    pub fn message(&self) -> &str {
        self.string_field("message").unwrap_or_default()
    }

    /// Returns the fields other than [`COMMON_FIELDS`] as `name=value` pairs, separated by spaces.
    pub fn details(&self) -> String {
        let fields = self.fields.iter().filter(|(name, _)| !COMMON_FIELDS.contains(&name.as_str()));
        let details: Vec<String> = fields
            .map(|(name, value)| match value {
                Value::String(text) => format!("{name}={text}"),
                value => format!("{name}={value}"),
            })
            .collect();
        details.join(" ")
    }

    /// Returns the names of the backend servers that the line mentions.
    fn servers(&self) -> impl Iterator<Item = &str> {
        SERVER_FIELDS.iter().filter_map(|field| self.string_field(field))
    }
}

/// Returns the log lines of a request and their context, sorted by time. Returns no lines if none
/// has the request's identifier.
pub fn build<'a>(id: &str, lines: &'a [Line]) -> Vec<&'a Line> {
    let request_lines: Vec<&Line> =
        lines.iter().filter(|line| line.string_field("id") == Some(id)).collect();
    let (Some(first), Some(last)) = (
        request_lines.iter().map(|line| line.at_us).min(),
        request_lines.iter().map(|line| line.at_us).max(),
    ) else {
        return Vec::new();
    };
    let sources: BTreeSet<&str> = request_lines.iter().map(|line| line.source.as_str()).collect();
    let servers: BTreeSet<&str> = request_lines.iter().flat_map(|line| line.servers()).collect();
    let is_context = |line: &Line| {
        let names_server = line.servers().any(|server| servers.contains(server));
        line.string_field("id").is_none()
            && (names_server || STATE_MESSAGES.contains(&line.message()))
    };
    let context = lines.iter().filter(|line| {
        let in_window = (first - CONTEXT_BEFORE_US..=last).contains(&line.at_us);
        in_window && sources.contains(line.source.as_str()) && is_context(line)
    });
    let mut timeline: Vec<&Line> = context.chain(request_lines).collect();
    timeline.sort_by_key(|line| line.at_us);
    timeline
}

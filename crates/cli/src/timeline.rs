//! A request's story, from the log lines of several processes.
//!
//! Each line is a JSON object; what stands before it on its line, such as a host's name, says where it
//! is from. Lines of the request come with what the same process noted meanwhile of the servers that
//! the request met, of the configuration, of its peers and of the platform's store.

use serde_json::{Map, Value};
use std::collections::BTreeSet;
use time::OffsetDateTime;
use time::format_description::well_known::Rfc3339;

/// How long before a request's first line what its process believed is looked up, in microseconds.
const BEFORE_US: i64 = 10_000_000;
/// Fields that every line has or that say whose line it is.
const PLAIN: &[&str] = &["timestamp", "level", "message", "id"];
/// Fields that name a backend server.
const SERVERS: &[&str] = &["server", "decode", "prefill"];
/// Messages that tell of what a process believes, of no request.
const BELIEFS: &[&str] = &[
    "started",
    "stopped",
    "readiness changed",
    "configuration in force",
    "peer can't be heard",
    "peer heard again",
    "peer's process is gone",
    "object interface doesn't answer",
    "object interface answers again",
    "watch doubted",
    "settings read anew",
    "lines dropped",
];

/// One line of a log.
#[derive(Clone, Debug)]
pub struct Line {
    /// Where it is from: what stands before it on its line, or the name of its file.
    pub source: String,
    /// When it was written, in microseconds since 1970 by the process's time of day.
    pub at_us: i64,
    fields: Map<String, Value>,
}

impl Line {
    /// Reads a line of a log; nothing where it holds no object with a time.
    pub fn parse(text: &str, file: &str) -> Option<Line> {
        let (before, json) = text.split_at(text.find('{')?);
        let fields: Map<String, Value> = serde_json::from_str(json.trim()).ok()?;
        let time = OffsetDateTime::parse(fields.get("timestamp")?.as_str()?, &Rfc3339).ok()?;
        let at_us = i64::try_from(time.unix_timestamp_nanos() / 1_000).ok()?;
        let source = before.split_whitespace().last().unwrap_or(file).to_owned();
        Some(Line { source, at_us, fields })
    }

    fn text(&self, field: &str) -> Option<&str> {
        self.fields.get(field)?.as_str()
    }

    /// What it says.
    pub fn message(&self) -> &str {
        self.text("message").unwrap_or_default()
    }

    /// What it says of a request's inputs and outcome.
    pub fn details(&self) -> String {
        let fields = self.fields.iter().filter(|(name, _)| !PLAIN.contains(&name.as_str()));
        let details: Vec<String> = fields
            .map(|(name, value)| match value {
                Value::String(text) => format!("{name}={text}"),
                value => format!("{name}={value}"),
            })
            .collect();
        details.join(" ")
    }

    fn servers(&self) -> impl Iterator<Item = &str> {
        SERVERS.iter().filter_map(|field| self.text(field))
    }
}

/// The lines of a request, and of what its processes believed meanwhile, in the order of time.
pub fn build<'a>(id: &str, lines: &'a [Line]) -> Vec<&'a Line> {
    let own: Vec<&Line> = lines.iter().filter(|line| line.text("id") == Some(id)).collect();
    let (Some(first), Some(last)) =
        (own.iter().map(|line| line.at_us).min(), own.iter().map(|line| line.at_us).max())
    else {
        return Vec::new();
    };
    let sources: BTreeSet<&str> = own.iter().map(|line| line.source.as_str()).collect();
    let servers: BTreeSet<&str> = own.iter().flat_map(|line| line.servers()).collect();
    let is_belief = |line: &Line| {
        let about = line.servers().any(|server| servers.contains(server));
        line.text("id").is_none() && (about || BELIEFS.contains(&line.message()))
    };
    let meanwhile = lines.iter().filter(|line| {
        let near = (first - BEFORE_US..=last).contains(&line.at_us);
        near && sources.contains(line.source.as_str()) && is_belief(line)
    });
    let mut story: Vec<&Line> = meanwhile.chain(own).collect();
    story.sort_by_key(|line| line.at_us);
    story
}

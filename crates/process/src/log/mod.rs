//! Structured logs: on standard error, or bounded on standard output.

mod rate_limited;

pub use rate_limited::{Guard, RateLimit, start_rate_limited};

use displaydoc::Display;
use std::str::FromStr;
use tracing_subscriber::EnvFilter;

/// Format of the log lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Format {
    /// Lines for people.
    #[default]
    Text,
    /// One JSON object a line.
    Json,
}

/// not one of `text` and `json`
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub struct UnknownFormat;

impl std::error::Error for UnknownFormat {}

impl FromStr for Format {
    type Err = UnknownFormat;

    fn from_str(text: &str) -> Result<Format, UnknownFormat> {
        match text {
            "text" => Ok(Format::Text),
            "json" => Ok(Format::Json),
            _ => Err(UnknownFormat),
        }
    }
}

/// Starts logging; the filter comes from `CHESTNUTRACK_LOG`, by default `info`.
pub fn start(form: Format) {
    let filter =
        EnvFilter::try_from_env("CHESTNUTRACK_LOG").unwrap_or_else(|_| EnvFilter::new("info"));
    let builder = tracing_subscriber::fmt().with_env_filter(filter).with_writer(std::io::stderr);
    let _ = match form {
        Format::Text => builder.with_ansi(false).try_init(),
        Format::Json => builder.json().try_init(),
    };
}

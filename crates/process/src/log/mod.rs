//! Structured logging, to standard error or rate-limited to standard output.

mod rate_limited;

pub use rate_limited::{Guard, RateLimit, start_rate_limited};

use displaydoc::Display;
use std::str::FromStr;
use tracing_subscriber::EnvFilter;

/// Format of the log lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Format {
    /// Human-readable lines.
    #[default]
    Text,
    /// One JSON object per line.
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

/// Starts logging to standard error. The filter is taken from `CHESTNUTRACK_LOG` and defaults to
/// `info`.
pub fn start(format: Format) {
    let filter =
        EnvFilter::try_from_env("CHESTNUTRACK_LOG").unwrap_or_else(|_| EnvFilter::new("info"));
    let builder = tracing_subscriber::fmt().with_env_filter(filter).with_writer(std::io::stderr);
    let _ = match format {
        Format::Text => builder.with_ansi(false).try_init(),
        Format::Json => builder.json().try_init(),
    };
}

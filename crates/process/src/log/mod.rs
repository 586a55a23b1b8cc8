//! Structured logs: on standard error, or bounded on standard output.

mod bounded;

pub use bounded::{Bound, Guard, start_bounded};

use displaydoc::Display;
use std::str::FromStr;
use tracing_subscriber::EnvFilter;

/// Form of the log lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Form {
    /// Lines for people.
    #[default]
    Text,
    /// One JSON object a line.
    Json,
}

/// not one of `text` and `json`
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub struct Unknown;

impl std::error::Error for Unknown {}

impl FromStr for Form {
    type Err = Unknown;

    fn from_str(text: &str) -> Result<Form, Unknown> {
        match text {
            "text" => Ok(Form::Text),
            "json" => Ok(Form::Json),
            _ => Err(Unknown),
        }
    }
}

/// Starts logging; the filter comes from `CHESTNUTRACK_LOG`, by default `info`.
pub fn start(form: Form) {
    let filter =
        EnvFilter::try_from_env("CHESTNUTRACK_LOG").unwrap_or_else(|_| EnvFilter::new("info"));
    let builder = tracing_subscriber::fmt().with_env_filter(filter).with_writer(std::io::stderr);
    let _ = match form {
        Form::Text => builder.with_ansi(false).try_init(),
        Form::Json => builder.json().try_init(),
    };
}

//! What a subcommand puts out, and its exit code.

use std::fmt::Display;
use std::io::Write;
use std::process::ExitCode;

/// All is well.
pub const OK: u8 = 0;
/// Something was found.
pub const FINDING: u8 = 1;
/// Wrong arguments or settings.
pub const USAGE: u8 = 2;
/// A process could not be reached.
pub const UNREACHABLE: u8 = 3;

/// What a subcommand puts out.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Output {
    /// Text for standard output.
    pub out: String,
    /// Text for standard error.
    pub err: String,
    /// Exit code.
    pub code: u8,
}

impl Output {
    /// An output that says that all is well.
    pub fn ok(out: impl Into<String>) -> Output {
        Output { out: out.into(), ..Output::default() }
    }

    /// A JSON output.
    pub fn json(value: &impl serde::Serialize) -> Output {
        Output::ok(serde_json::to_string_pretty(value).unwrap_or_default() + "\n")
    }

    /// An output that says what is wrong, where, and what to do.
    pub fn error(code: u8, message: impl Display) -> Output {
        Output { err: format!("error: {message}\n"), code, ..Output::default() }
    }

    /// Adds what is wrong; the highest exit code stays.
    pub fn with_error(mut self, code: u8, message: impl Display) -> Output {
        self.err += &format!("error: {message}\n");
        self.code = self.code.max(code);
        self
    }

    /// Writes it and returns the exit code.
    pub fn write(&self) -> ExitCode {
        // A reader that has gone, such as `head`, is no error.
        let _ = std::io::stdout().write_all(self.out.as_bytes());
        let _ = std::io::stderr().write_all(self.err.as_bytes());
        ExitCode::from(self.code)
    }
}

//! Output and exit code of a subcommand.
//!
//! A subcommand returns `Result<Output, Output>`: `Err` holds the output of a subcommand that
//! stopped at an error, and is written in the same way as `Ok`.

use std::fmt::Display;
use std::io::Write;
use std::process::ExitCode;

/// Exit code if nothing was found and no error occurred.
pub const OK: u8 = 0;
/// Exit code if there is a finding, such as an invalid document or an unknown request.
pub const FINDING: u8 = 1;
/// Exit code for invalid arguments, settings or files.
pub const USAGE: u8 = 2;
/// Exit code if a process could not be reached.
pub const UNREACHABLE: u8 = 3;

/// Output of a subcommand.
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
    /// Creates a successful output.
    pub fn ok(out: impl Into<String>) -> Output {
        Output { out: out.into(), ..Output::default() }
    }

    /// Creates a successful output with a value as indented JSON.
    pub fn json(value: &impl serde::Serialize) -> Output {
        Output::ok(serde_json::to_string_pretty(value).unwrap_or_default() + "\n")
    }

    /// Creates an output with an error message. The message should say what is wrong, where, and
    /// what to do.
    pub fn error(code: u8, message: impl Display) -> Output {
        Output { err: format!("error: {message}\n"), code, ..Output::default() }
    }

    /// Adds an error message. The exit code becomes the higher of the present one and `code`.
    pub fn with_error(mut self, code: u8, message: impl Display) -> Output {
        self.err += &format!("error: {message}\n");
        self.code = self.code.max(code);
        self
    }

    /// Writes the texts to standard output and standard error and returns the exit code.
    pub fn write(&self) -> ExitCode {
        // Write errors are ignored: a reader such as `head` may close the pipe early.
        let _ = std::io::stdout().write_all(self.out.as_bytes());
        let _ = std::io::stderr().write_all(self.err.as_bytes());
        ExitCode::from(self.code)
    }
}

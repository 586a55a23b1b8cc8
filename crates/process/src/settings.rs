//! Settings from flags and environment variables. A flag takes precedence over its variable.
//!
//! Invalid values are collected and reported together, each with its flag or variable and the
//! allowed values.

use std::fmt;
use std::str::FromStr;

/// One invalid or missing setting.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Finding {
    /// Flag or environment variable.
    pub source: String,
    /// What is wrong with the value, and which values are allowed.
    pub message: String,
}

/// All invalid and missing settings of a process.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Findings(pub Vec<Finding>);

impl fmt::Display for Findings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for finding in &self.0 {
            writeln!(f, "{}: {}", finding.source, finding.message)?;
        }
        Ok(())
    }
}

impl std::error::Error for Findings {}

/// Sources and allowed values of one setting.
#[derive(Clone, Copy, Debug)]
pub struct Setting<'a> {
    /// Flag, with its leading dashes.
    pub flag: &'a str,
    /// Environment variable.
    pub variable: &'a str,
    /// Description of the allowed values, for error messages.
    pub allowed: &'a str,
}

/// Reads settings and collects errors in them.
pub struct Reader<F> {
    environment: F,
    findings: Findings,
}

impl<F: Fn(&str) -> Option<String>> Reader<F> {
    /// Creates a reader that looks up environment variables with `environment`.
    pub fn new(environment: F) -> Reader<F> {
        Reader { environment, findings: Findings::default() }
    }

    /// Reads an optional setting. Returns `None` if it is missing or invalid.
    pub fn optional<T: FromStr>(&mut self, setting: Setting<'_>, flag: Option<&str>) -> Option<T> {
        let (source, text) = match flag {
            Some(text) => (setting.flag, text.to_owned()),
            None => (setting.variable, (self.environment)(setting.variable)?),
        };
        if let Ok(value) = text.parse() {
            return Some(value);
        }
        let message = format!("`{text}` is not {}", setting.allowed);
        self.findings.0.push(Finding { source: source.to_owned(), message });
        None
    }

    /// Reads a setting. Returns `default` if it is missing or invalid.
    pub fn with_default<T: FromStr>(
        &mut self,
        setting: Setting<'_>,
        flag: Option<&str>,
        default: T,
    ) -> T {
        self.optional(setting, flag).unwrap_or(default)
    }

    /// Reads a required setting. If it is missing or invalid, returns `placeholder`, and
    /// [`Reader::finish`] returns an error.
    pub fn required<T: FromStr>(
        &mut self,
        setting: Setting<'_>,
        flag: Option<&str>,
        placeholder: T,
    ) -> T {
        if flag.is_none() && (self.environment)(setting.variable).is_none() {
            let source = format!("{} or {}", setting.flag, setting.variable);
            let message = format!("is missing: {}", setting.allowed);
            self.findings.0.push(Finding { source, message });
            return placeholder;
        }
        self.with_default(setting, flag, placeholder)
    }

    /// Records an error that the caller found in the value of a setting, or in its combination with others.
    pub fn refuse(&mut self, setting: Setting<'_>, message: impl Into<String>) {
        let source = format!("{} or {}", setting.flag, setting.variable);
        self.findings.0.push(Finding { source, message: message.into() });
    }

    /// Returns `settings` if all settings that were read are valid.
    ///
    /// # Errors
    ///
    /// All invalid and missing settings.
    pub fn finish<T>(self, settings: T) -> Result<T, Findings> {
        if self.findings.0.is_empty() { Ok(settings) } else { Err(self.findings) }
    }
}

/// Returns the value of a variable in the process's environment.
pub fn environment(variable: &str) -> Option<String> {
    std::env::var(variable).ok()
}

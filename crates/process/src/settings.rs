//! Settings from flags and environment variables; a flag goes first.
//!
//! Wrong values are collected and reported together, each with the flag or variable it came from
//! and what is allowed.

use std::fmt;
use std::str::FromStr;

/// One wrong setting.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Finding {
    /// The flag or the environment variable.
    pub source: String,
    /// What is wrong and what is allowed.
    pub message: String,
}

/// All wrong settings of a process.
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

/// One setting: where it may come from, and what is allowed.
#[derive(Clone, Copy, Debug)]
pub struct Setting<'a> {
    /// Flag, with its dashes.
    pub flag: &'a str,
    /// Environment variable.
    pub variable: &'a str,
    /// What is allowed, for people.
    pub allowed: &'a str,
}

/// Reads settings and collects what is wrong with them.
pub struct Reader<F> {
    environment: F,
    findings: Findings,
}

impl<F: Fn(&str) -> Option<String>> Reader<F> {
    /// A reader over a look-up of environment variables.
    pub fn new(environment: F) -> Reader<F> {
        Reader { environment, findings: Findings::default() }
    }

    /// Reads a setting that need not be given.
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

    /// Reads a setting, or takes its default.
    pub fn with_default<T: FromStr>(
        &mut self,
        setting: Setting<'_>,
        flag: Option<&str>,
        default: T,
    ) -> T {
        self.optional(setting, flag).unwrap_or(default)
    }

    /// Reads a setting that must be given; where it is missing, `placeholder` stands in for it
    /// and [`Reader::finish`] fails.
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

    /// Notes a wrong setting that only a look at its value shows.
    pub fn refuse(&mut self, setting: Setting<'_>, message: impl Into<String>) {
        let source = format!("{} or {}", setting.flag, setting.variable);
        self.findings.0.push(Finding { source, message: message.into() });
    }

    /// Ends the reading.
    ///
    /// # Errors
    ///
    /// Every wrong setting.
    pub fn finish<T>(self, settings: T) -> Result<T, Findings> {
        if self.findings.0.is_empty() { Ok(settings) } else { Err(self.findings) }
    }
}

/// Looks a variable up in the process's environment.
pub fn environment(variable: &str) -> Option<String> {
    std::env::var(variable).ok()
}

//! Findings: the errors in a document (the configuration of one service), reported together, each with
//! the path of its field.

use serde::{Deserialize, Serialize};
use std::fmt;

/// One error in a document.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Finding {
    /// Path of the field within the document, such as `routes[2].deadline_ms`; empty for the document
    /// as a whole. For a syntax error, the line and column.
    pub place: String,
    /// Description of the error and of what is allowed.
    pub message: String,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.place.is_empty() {
            return write!(f, "{}", self.message);
        }
        write!(f, "{}: {}", self.place, self.message)
    }
}

/// All findings of one check, in the order in which they were found.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Findings(pub Vec<Finding>);

impl Findings {
    /// Appends a finding.
    pub fn add(&mut self, place: impl Into<String>, message: impl Into<String>) {
        self.0.push(Finding { place: place.into(), message: message.into() });
    }

    /// Returns `true` if there is no finding.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

impl fmt::Display for Findings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, finding) in self.0.iter().enumerate() {
            if index > 0 {
                writeln!(f)?;
            }
            write!(f, "{finding}")?;
        }
        Ok(())
    }
}

impl std::error::Error for Findings {}

//! Findings: what is wrong in a document, each with its place, reported together.

use serde::{Deserialize, Serialize};
use std::fmt;

/// One thing that is wrong, with the place where it stands, such as `routes[2].deadline_ms`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Finding {
    /// Path of the field within the document; empty for the document as a whole.
    pub place: String,
    /// What is wrong and what is allowed.
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

/// All findings of one check, in the order in which they were met.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Findings(pub Vec<Finding>);

impl Findings {
    /// Notes one finding.
    pub fn add(&mut self, place: impl Into<String>, message: impl Into<String>) {
        self.0.push(Finding { place: place.into(), message: message.into() });
    }

    /// Whether nothing was found.
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

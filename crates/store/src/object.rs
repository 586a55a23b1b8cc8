//! Objects, as the interface shows them.

use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Largest value, in bytes.
pub const VALUE_BYTES_MAX: usize = 1 << 20;

/// A stored object.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Object {
    /// Name within its kind.
    pub name: Arc<str>,
    /// Version of its last change.
    pub version: u64,
    /// Value; absent in a watch's answer for an object that was deleted.
    pub value: Option<serde_json::Value>,
    /// Time since its last change by the platform's clock, in milliseconds.
    pub age_ms: u64,
}

/// Objects of one kind.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct List {
    /// Version of the whole interface when the answer was made; watch after this.
    pub version: u64,
    /// The objects.
    pub objects: Vec<Object>,
}

/// A write that took effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Written {
    /// The object's new version.
    pub version: u64,
}

/// A conditional write that did not take effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Conflict {
    /// The object's version; 0 if it doesn't exist.
    pub version: u64,
}

//! Objects and responses of the object interface, the platform's store of versioned objects.

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
    /// Value; absent in a watch response for an object that was deleted.
    pub value: Option<serde_json::Value>,
    /// Time since its last change, by the platform's clock, in milliseconds.
    pub age_ms: u64,
}

/// Objects of one kind: the response to a list, with all of them, or to a watch, with the changed ones.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct List {
    /// Version of the whole interface when the response was made; a watch continues from it.
    pub version: u64,
    /// The objects.
    pub objects: Vec<Object>,
}

/// Response to a write or deletion that took effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Written {
    /// The object's new version.
    pub version: u64,
}

/// Response to a conditional write or deletion that did not take effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Conflict {
    /// The object's current version; 0 if it doesn't exist.
    pub version: u64,
}

//! What is in force on this host at one moment.

use chestnutrack_document::Document;
use chestnutrack_document::key::Hash;
use std::collections::{HashMap, HashSet};
use std::sync::Arc;

/// What is in force; replaced as a whole when anything in it changes.
#[derive(Clone, Debug, Default)]
pub struct Snapshot {
    /// Version of the document; 0 before there is one.
    pub version: u64,
    /// The document in force.
    pub document: Option<Arc<Document>>,
    /// The document's JSON, to pass on.
    pub json: Arc<[u8]>,
    /// Whether it has been confirmed recently enough to act on.
    pub trusted: bool,
    /// Organisation of each key in force.
    pub keys: HashMap<Hash, Arc<str>>,
    /// Hosts that the platform lists as leaving.
    pub leaving: HashSet<Arc<str>>,
}

impl Snapshot {
    /// The organisation that a caller's key belongs to.
    pub fn organisation_of(&self, key: &str) -> Option<Arc<str>> {
        let document = self.document.as_ref()?;
        let hash = Hash::of(&document.key_salt, key);
        let (stored, organisation) = self.keys.get_key_value(&hash)?;
        stored.matches(&hash).then(|| organisation.clone())
    }
}

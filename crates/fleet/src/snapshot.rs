//! Immutable snapshot of the configuration in force on this host, that is, of the service's
//! accepted document.

use chestnutrack_document::Document;
use chestnutrack_document::key::Hash;
use std::collections::{HashMap, HashSet};
use std::sync::Arc;

/// The configuration in force; replaced as a whole when any part changes.
#[derive(Clone, Debug, Default)]
pub struct Snapshot {
    /// Version of the document; 0 if there is none yet.
    pub version: u64,
    /// The document in force.
    pub document: Option<Arc<Document>>,
    /// The document as JSON, for sending to other processes.
    pub json: Arc<[u8]>,
    /// Whether the document was confirmed recently enough to be acted on.
    pub trusted: bool,
    /// Organisation of each valid key, by the key's hash.
    pub keys: HashMap<Hash, Arc<str>>,
    /// Hosts that the platform lists as leaving.
    pub leaving: HashSet<Arc<str>>,
}

impl Snapshot {
    /// Returns the organisation that a caller's key belongs to, or `None` if the key is not valid.
    pub fn organisation_of(&self, key: &str) -> Option<Arc<str>> {
        let document = self.document.as_ref()?;
        let hash = Hash::of(&document.key_salt, key);
        let (stored, organisation) = self.keys.get_key_value(&hash)?;
        stored.matches(&hash).then(|| organisation.clone())
    }
}

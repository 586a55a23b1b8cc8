//! The configuration in force: the newest document that this process was given.

use chestnutrack_document::model::{Document, Server};
use chestnutrack_document::{Findings, parse};
use std::sync::Arc;

/// The newest document, as it came.
#[derive(Clone, Debug, Default)]
pub struct Config {
    version: u64,
    document: Arc<[u8]>,
}

/// What a document says of this process's server.
pub struct Update {
    /// Version of the document.
    pub version: u64,
    /// The server's entry; absent where it isn't listed.
    pub server: Option<Server>,
}

impl Config {
    /// Takes a document if it is newer than the one in force.
    ///
    /// # Errors
    ///
    /// What is wrong with the document; the one before stays in force.
    pub fn apply(
        &mut self,
        version: u64,
        document: &[u8],
        service: &str,
        name: &str,
    ) -> Result<Option<Update>, Findings> {
        if version <= self.version {
            return Ok(None);
        }
        let parsed = parse(document)?;
        if parsed.service.as_ref() != service {
            let mut findings = Findings::default();
            findings.add("service", format!("`{}` is not `{service}`", parsed.service));
            return Err(findings);
        }
        *self = Config { version, document: document.into() };
        Ok(Some(Update { version, server: find_server(&parsed, name) }))
    }

    /// Version of the document in force; 0 for none.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// The document in force.
    pub fn document(&self) -> &[u8] {
        &self.document
    }
}

fn find_server(document: &Document, name: &str) -> Option<Server> {
    let mut servers = document.pools.iter().flat_map(|pool| &pool.servers);
    servers.find(|server| server.name.as_ref() == name).cloned()
}

//! The configuration in force: the newest valid document that this process received.

use chestnutrack_document::model::{Document, Server};
use chestnutrack_document::{Findings, parse};
use std::sync::Arc;

/// The document in force, as received, and its version.
#[derive(Clone, Debug, Default)]
pub struct Config {
    version: u64,
    document: Arc<[u8]>,
}

/// The part of a newly applied document that concerns this process's backend server.
pub struct Update {
    /// Version of the document.
    pub version: u64,
    /// The server's entry; `None` if the document doesn't list the server.
    pub server: Option<Server>,
}

impl Config {
    /// Validates a document and puts it in force if its version is newer than the current one.
    /// `service` and `name` are those of this process's backend server. Returns `None` if the
    /// document is not newer.
    ///
    /// # Errors
    ///
    /// Returns the findings if the document is invalid or belongs to another service. The current
    /// document then stays in force.
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

    /// Returns the version of the document in force; 0 for none.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the document in force; empty if there is none.
    pub fn document(&self) -> &[u8] {
        &self.document
    }
}

fn find_server(document: &Document, name: &str) -> Option<Server> {
    let mut servers = document.pools.iter().flat_map(|pool| &pool.servers);
    servers.find(|server| server.name.as_ref() == name).cloned()
}

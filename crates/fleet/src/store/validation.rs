//! Checks a document and records the verdict on it.

use super::{ACCEPTED, Accepted, STATUS};
use chestnutrack_document::{Finding, Findings};
use chestnutrack_store::client::Client;
use chestnutrack_store::error::Error;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::sync::Arc;

/// A document to be judged.
#[derive(Clone, Debug)]
pub(crate) struct Candidate {
    /// Service.
    pub(crate) service: Arc<str>,
    /// Version of the document.
    pub(crate) source: u64,
    /// The document.
    pub(crate) document: Value,
    /// Version of the object that holds the accepted document; 0 for none.
    pub(crate) accepted_version: u64,
    /// Version of the document accepted before; 0 for none.
    pub(crate) previous_source: u64,
}

/// What came of it.
#[derive(Clone, Debug)]
pub(crate) enum Validation {
    /// It is accepted, and written at this version of the object.
    Accepted(u64),
    /// It is refused, and the findings are recorded.
    Refused,
    /// Another document was accepted meanwhile, or the write's outcome is not known.
    Inconclusive,
}

#[derive(Serialize, Deserialize, PartialEq)]
struct Status {
    source: u64,
    accepted: u64,
    findings: Vec<Finding>,
}

/// Judges a document.
pub(crate) async fn validate(client: &Client, candidate: &Candidate) -> Validation {
    match check_document(candidate) {
        Ok(()) => accept(client, candidate).await,
        Err(findings) => refuse(client, candidate, findings).await,
    }
}

fn check_document(candidate: &Candidate) -> Result<(), Findings> {
    let document = chestnutrack_document::parse(candidate.document.to_string().as_bytes())?;
    if document.service == candidate.service {
        return Ok(());
    }
    let mut findings = Findings::default();
    findings.add("service", format!("must be `{}`, as the object's name", candidate.service));
    Err(findings)
}

async fn accept(client: &Client, candidate: &Candidate) -> Validation {
    let accepted = Accepted { source: candidate.source, document: candidate.document.clone() };
    let Ok(value) = serde_json::to_value(accepted) else {
        return Validation::Inconclusive;
    };
    let Ok(version) =
        client.update(ACCEPTED, &candidate.service, candidate.accepted_version, &value).await
    else {
        return Validation::Inconclusive;
    };
    let status =
        Status { source: candidate.source, accepted: candidate.source, findings: Vec::new() };
    // The document is in force whether or not its status could be written.
    let _ = record_status(client, &candidate.service, status).await;
    Validation::Accepted(version)
}

async fn refuse(client: &Client, candidate: &Candidate, findings: Findings) -> Validation {
    let status = Status {
        source: candidate.source,
        accepted: candidate.previous_source,
        findings: findings.0,
    };
    match record_status(client, &candidate.service, status).await {
        Ok(()) => Validation::Refused,
        Err(_) => Validation::Inconclusive,
    }
}

/// Writes a status, unless one of the same or a newer document stands there.
async fn record_status(client: &Client, service: &str, status: Status) -> Result<(), Error> {
    let version = match client.read(STATUS, service).await {
        Ok(object) => {
            let recorded = object.value.and_then(|v| serde_json::from_value::<Status>(v).ok());
            if recorded.is_some_and(|recorded| recorded.source >= status.source) {
                return Ok(());
            }
            object.version
        }
        Err(Error::Missing) => 0,
        Err(error) => return Err(error),
    };
    let value = serde_json::to_value(status).unwrap_or(Value::Null);
    match client.update(STATUS, service, version, &value).await {
        Ok(_) | Err(Error::Conflict(_)) => Ok(()),
        Err(error) => Err(error),
    }
}

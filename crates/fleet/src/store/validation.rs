//! Validates an operators' document and records the result in the object interface.

use super::{ACCEPTED, Accepted, STATUS};
use chestnutrack_document::{Finding, Findings};
use chestnutrack_store::client::Client;
use chestnutrack_store::error::Error;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::sync::Arc;

/// A document to be validated.
#[derive(Clone, Debug)]
pub(crate) struct Candidate {
    /// Service that the document configures.
    pub(crate) service: Arc<str>,
    /// Version of the document.
    pub(crate) source: u64,
    /// The document.
    pub(crate) document: Value,
    /// Version of the object that holds the accepted document; 0 for none.
    pub(crate) accepted_version: u64,
    /// Version of the previously accepted document; 0 for none.
    pub(crate) previous_source: u64,
}

/// Result of a validation.
#[derive(Clone, Debug)]
pub(crate) enum Validation {
    /// The document is accepted; the object that holds it was written with this version.
    Accepted(u64),
    /// The document is refused and the findings are recorded.
    Refused,
    /// A call failed or its outcome is unknown, for example because another document was accepted
    /// meanwhile.
    Inconclusive,
}

#[derive(Serialize, Deserialize, PartialEq)]
struct Status {
    source: u64,
    accepted: u64,
    findings: Vec<Finding>,
}

/// Validates a document, and stores it as accepted or records the findings.
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
    let Ok(version) = client
        .replace_confirmed(ACCEPTED, &candidate.service, candidate.accepted_version, &value)
        .await
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

/// Writes a status, unless the status of the same or a newer document is stored.
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
    match client.replace_confirmed(STATUS, service, version, &value).await {
        Ok(_) | Err(Error::Conflict(_)) => Ok(()),
        Err(error) => Err(error),
    }
}

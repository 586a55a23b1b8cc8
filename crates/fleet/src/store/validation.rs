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
    pub(crate) source_version: u64,
    /// The document.
    pub(crate) document: Value,
    /// Version of the object that holds the accepted document; 0 for none.
    pub(crate) accepted_version: u64,
    /// Version of the previously accepted document; 0 for none.
    pub(crate) previous_source_version: u64,
}

/// Result of a validation.
#[derive(Clone, Debug)]
pub(crate) enum Validation {
    /// The document is accepted; the object that holds it was written with this version.
    Accepted(u64),
    /// The document is refused and the findings are recorded.
    Refused,
    /// It is not confirmed that the result was recorded: a write failed, for example because
    /// another document was accepted meanwhile, or its outcome is unknown.
    Unconfirmed,
}

/// Validation status of a document, for its operators.
#[derive(Serialize, Deserialize, PartialEq)]
struct Status {
    source: u64,
    accepted: u64,
    findings: Vec<Finding>,
}

/// Validates a document, and stores it as accepted or records the findings.
pub(crate) async fn validate(client: &Client, candidate: &Candidate) -> Validation {
    match check_document(candidate) {
        Ok(()) => store_accepted(client, candidate).await,
        Err(findings) => record_findings(client, candidate, findings).await,
    }
}

/// Parses a document, and checks that it configures the service whose object holds it.
fn check_document(candidate: &Candidate) -> Result<(), Findings> {
    let document = chestnutrack_document::parse(candidate.document.to_string().as_bytes())?;
    if document.service == candidate.service {
        return Ok(());
    }
    let mut findings = Findings::default();
    findings.add("service", format!("must be `{}`, as the object's name", candidate.service));
    Err(findings)
}

/// Stores a valid document as the accepted one, then records its status. The write fails if the
/// stored document has changed since the candidate was made.
async fn store_accepted(client: &Client, candidate: &Candidate) -> Validation {
    let accepted =
        Accepted { source: candidate.source_version, document: candidate.document.clone() };
    let Ok(value) = serde_json::to_value(accepted) else {
        return Validation::Unconfirmed;
    };
    let Ok(version) = client
        .replace_confirmed(ACCEPTED, &candidate.service, candidate.accepted_version, &value)
        .await
    else {
        return Validation::Unconfirmed;
    };
    let status = Status {
        source: candidate.source_version,
        accepted: candidate.source_version,
        findings: Vec::new(),
    };
    // The document is in force whether or not its status could be written.
    let _ = record_status(client, &candidate.service, status).await;
    Validation::Accepted(version)
}

/// Records the findings in a refused document; the previously accepted document stays in force.
async fn record_findings(client: &Client, candidate: &Candidate, findings: Findings) -> Validation {
    let status = Status {
        source: candidate.source_version,
        accepted: candidate.previous_source_version,
        findings: findings.0,
    };
    match record_status(client, &candidate.service, status).await {
        Ok(()) => Validation::Refused,
        Err(_) => Validation::Unconfirmed,
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

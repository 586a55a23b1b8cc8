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
pub(crate) struct Case {
    /// Service.
    pub(crate) service: Arc<str>,
    /// Version of the document.
    pub(crate) source: u64,
    /// The document.
    pub(crate) document: Value,
    /// Version of the object that holds the accepted document; 0 for none.
    pub(crate) accepted: u64,
    /// Version of the document accepted before; 0 for none.
    pub(crate) before: u64,
}

/// What came of it.
#[derive(Clone, Debug)]
pub(crate) enum Judgement {
    /// It is accepted, and written at this version of the object.
    Accepted(u64),
    /// It is refused, and the findings are recorded.
    Refused,
    /// Another document was accepted meanwhile, or the write's outcome is not known.
    Open,
}

#[derive(Serialize, Deserialize, PartialEq)]
struct Status {
    source: u64,
    accepted: u64,
    findings: Vec<Finding>,
}

/// Judges a document.
pub(crate) async fn judge(client: &Client, case: &Case) -> Judgement {
    match check(case) {
        Ok(()) => accept(client, case).await,
        Err(findings) => refuse(client, case, findings).await,
    }
}

fn check(case: &Case) -> Result<(), Findings> {
    let document = chestnutrack_document::parse(case.document.to_string().as_bytes())?;
    if document.service == case.service {
        return Ok(());
    }
    let mut findings = Findings::default();
    findings.add("service", format!("must be `{}`, as the object's name", case.service));
    Err(findings)
}

async fn accept(client: &Client, case: &Case) -> Judgement {
    let accepted = Accepted { source: case.source, document: case.document.clone() };
    let Ok(value) = serde_json::to_value(accepted) else {
        return Judgement::Open;
    };
    let Ok(version) = client.update(ACCEPTED, &case.service, case.accepted, &value).await else {
        return Judgement::Open;
    };
    let status = Status { source: case.source, accepted: case.source, findings: Vec::new() };
    // The document is in force whether or not its status could be written.
    let _ = record(client, &case.service, status).await;
    Judgement::Accepted(version)
}

async fn refuse(client: &Client, case: &Case, findings: Findings) -> Judgement {
    let status = Status { source: case.source, accepted: case.before, findings: findings.0 };
    match record(client, &case.service, status).await {
        Ok(()) => Judgement::Refused,
        Err(_) => Judgement::Open,
    }
}

/// Writes a status, unless one of the same or a newer document stands there.
async fn record(client: &Client, service: &str, status: Status) -> Result<(), Error> {
    let version = match client.read(STATUS, service).await {
        Ok(object) => {
            let stands = object.value.and_then(|v| serde_json::from_value::<Status>(v).ok());
            if stands.is_some_and(|stands| stands.source >= status.source) {
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

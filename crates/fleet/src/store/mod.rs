//! Reads, watches and writes a member's objects in the object interface.
//!
//! A service has one object of each kind, named like the service: the table of members (the entry
//! hosts of the service), the operators' document, which configures the service, the accepted
//! document and its validation status. Each claim, the record of an at-most-once request, is an
//! object of its own.

mod validation;

pub(crate) use validation::{Candidate, Validation, validate};

use chestnutrack_core::member::{Identity, Member, Table};
use chestnutrack_core::time::Instant;
use chestnutrack_process::clock;
use chestnutrack_store::client::Client;
use chestnutrack_store::host;
use chestnutrack_store::object::{List, Object};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::sleep;

/// Object kind of the table of members.
pub(crate) const MEMBERS: &str = "members";
/// Object kind of the operators' documents.
pub(crate) const DOCUMENTS: &str = "documents";
/// Object kind of the accepted documents.
pub(crate) const ACCEPTED: &str = "accepted";
/// Object kind of the documents' validation results.
pub(crate) const STATUS: &str = "status";
/// Object kind of the claims.
pub(crate) const CLAIMS: &str = "claims";

/// Time after which a watch without a change returns.
pub(crate) const WATCH_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Time between two reads of the host list.
const HOST_POLL_PERIOD: Duration = Duration::from_millis(1_000);
/// Pause after a failed call.
const RETRY_PAUSE: Duration = Duration::from_millis(250);

/// Result of one read or watch of an object.
#[derive(Clone, Debug)]
pub(crate) struct Reading {
    /// When the request was sent.
    pub(crate) requested_at: Instant,
    /// State of the object in the answer.
    pub(crate) state: ObjectState,
}

/// State of an object according to one answer.
#[derive(Clone, Debug)]
pub(crate) enum ObjectState {
    /// The object exists.
    Present(Object),
    /// The object has not changed since the previous answer.
    Unchanged,
    /// The object doesn't exist.
    Absent,
    /// Unknown: the call failed.
    Failed,
}

/// Follows one object until the task is aborted: lists its kind, then watches repeatedly. After a
/// failed call, begins again with the list.
pub(crate) async fn follow(
    client: Client,
    kind: &str,
    name: Arc<str>,
    on_reading: impl Fn(Reading),
) {
    loop {
        let requested_at = clock::now();
        let Ok(list) = client.list(kind).await else {
            on_reading(Reading { requested_at, state: ObjectState::Failed });
            sleep(RETRY_PAUSE).await;
            continue;
        };
        let mut last_version = list.version;
        on_reading(Reading {
            requested_at,
            state: find_state(list, &name).unwrap_or(ObjectState::Absent),
        });
        loop {
            let requested_at = clock::now();
            match client.watch(kind, last_version, WATCH_TIMEOUT).await {
                Ok(list) => {
                    last_version = last_version.max(list.version);
                    on_reading(Reading {
                        requested_at,
                        state: find_state(list, &name).unwrap_or(ObjectState::Unchanged),
                    });
                }
                Err(_) => {
                    on_reading(Reading { requested_at, state: ObjectState::Failed });
                    break;
                }
            }
        }
        sleep(RETRY_PAUSE).await;
    }
}

/// Reads one object.
pub(crate) async fn read(client: &Client, kind: &str, name: &str) -> Reading {
    let requested_at = clock::now();
    let state = match client.read(kind, name).await {
        Ok(object) => ObjectState::Present(object),
        Err(chestnutrack_store::error::Error::Missing) => ObjectState::Absent,
        Err(_) => ObjectState::Failed,
    };
    Reading { requested_at, state }
}

/// Returns the newest state of an object in a list, or `None` if the list doesn't contain the
/// object. A deleted object is listed without a value.
fn find_state(list: List, name: &str) -> Option<ObjectState> {
    let matching = list.objects.into_iter().filter(|object| &*object.name == name);
    let object = matching.max_by_key(|object| object.version)?;
    Some(if object.value.is_some() { ObjectState::Present(object) } else { ObjectState::Absent })
}

/// Polls the host list until the task is aborted, and reports the names of the leaving hosts.
pub(crate) async fn follow_hosts(client: Client, on_hosts: impl Fn(HashSet<Arc<str>>)) {
    loop {
        if let Ok(list) = client.hosts().await {
            let leaving = list.hosts.into_iter().filter(|h| h.state == host::State::Leaving);
            on_hosts(leaving.map(|host| host.name).collect());
        }
        sleep(HOST_POLL_PERIOD).await;
    }
}

/// A table of members as it is stored; its version is that of the object.
#[derive(Serialize, Deserialize)]
struct Members {
    members: Vec<Member>,
    /// Former members: removed from the table, but possibly still current; absent if they aren't
    /// known.
    #[serde(skip_serializing_if = "Option::is_none")]
    former: Option<Vec<Identity>>,
}

/// Parses a stored table of members. Returns `None` if it is deleted or invalid.
pub(crate) fn parse_table(object: &Object) -> Option<Table> {
    let value = object.value.clone()?;
    let Members { members, former } = serde_json::from_value(value).ok()?;
    Some(Table { version: object.version, members, former })
}

/// Writes a table over the version that it is based on. Returns the table with its new version, or
/// `None` if the write failed or its outcome is unknown.
pub(crate) async fn write_table(client: &Client, name: &str, table: Table) -> Option<Table> {
    let Table { version, members, former } = table.clone();
    let value = serde_json::to_value(Members { members, former }).ok()?;
    let version = client.replace_confirmed(MEMBERS, name, version, &value).await.ok()?;
    Some(Table { version, ..table })
}

/// An accepted document as it is stored.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Accepted {
    /// Version of the operators' document that was accepted.
    pub(crate) source: u64,
    /// The document.
    pub(crate) document: Value,
}

/// Parses a stored accepted document. Returns `None` if it is deleted or invalid.
pub(crate) fn parse_accepted(object: &Object) -> Option<Accepted> {
    serde_json::from_value(object.value.clone()?).ok()
}

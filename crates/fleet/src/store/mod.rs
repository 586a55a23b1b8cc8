//! What a member follows and writes in the object interface.

mod verdict;

pub(crate) use verdict::{Case, Judgement, judge};

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

/// Kind of the table of members.
pub(crate) const MEMBERS: &str = "members";
/// Kind of the operators' documents.
pub(crate) const DOCUMENTS: &str = "documents";
/// Kind of the accepted documents.
pub(crate) const ACCEPTED: &str = "accepted";
/// Kind of the verdicts.
pub(crate) const STATUS: &str = "status";
/// Kind of the claims.
pub(crate) const CLAIMS: &str = "claims";

/// How long one watch waits.
pub(crate) const WATCH: Duration = Duration::from_millis(1_500);
/// Time between two reads of the host list.
const HOSTS: Duration = Duration::from_millis(1_000);
/// Pause after a call that failed.
const RETRY: Duration = Duration::from_millis(250);

/// One answer about an object.
#[derive(Clone, Debug)]
pub(crate) struct Seen {
    /// When it was asked for.
    pub(crate) asked: Instant,
    /// What the answer shows.
    pub(crate) state: State,
}

/// What an answer shows of an object.
#[derive(Clone, Debug)]
pub(crate) enum State {
    /// This value.
    Is(Object),
    /// It has not changed since the answer before.
    Same,
    /// It doesn't exist.
    Absent,
    /// Nothing: the call failed.
    Failed,
}

/// Follows one object until the task is aborted: a list, and then one watch after the other.
pub(crate) async fn follow(client: Client, kind: &str, name: Arc<str>, tell: impl Fn(Seen)) {
    loop {
        let asked = clock::now();
        let Ok(list) = client.list(kind).await else {
            tell(Seen { asked, state: State::Failed });
            sleep(RETRY).await;
            continue;
        };
        let mut after = list.version;
        tell(Seen { asked, state: find(list, &name).unwrap_or(State::Absent) });
        loop {
            let asked = clock::now();
            match client.watch(kind, after, WATCH).await {
                Ok(list) => {
                    after = after.max(list.version);
                    tell(Seen { asked, state: find(list, &name).unwrap_or(State::Same) });
                }
                Err(_) => {
                    tell(Seen { asked, state: State::Failed });
                    break;
                }
            }
        }
        sleep(RETRY).await;
    }
}

/// Reads one object once.
pub(crate) async fn look(client: &Client, kind: &str, name: &str) -> Seen {
    let asked = clock::now();
    let state = match client.read(kind, name).await {
        Ok(object) => State::Is(object),
        Err(chestnutrack_store::error::Error::Missing) => State::Absent,
        Err(_) => State::Failed,
    };
    Seen { asked, state }
}

fn find(list: List, name: &str) -> Option<State> {
    let newest = list.objects.into_iter().filter(|object| &*object.name == name);
    let object = newest.max_by_key(|object| object.version)?;
    Some(if object.value.is_some() { State::Is(object) } else { State::Absent })
}

/// Follows the names of the hosts that are leaving until the task is aborted.
pub(crate) async fn follow_hosts(client: Client, tell: impl Fn(HashSet<Arc<str>>)) {
    loop {
        if let Ok(list) = client.hosts().await {
            let leaving = list.hosts.into_iter().filter(|h| h.state == host::State::Leaving);
            tell(leaving.map(|host| host.name).collect());
        }
        sleep(HOSTS).await;
    }
}

#[derive(Serialize, Deserialize)]
struct Members {
    members: Vec<Member>,
    /// Members that were removed and may still be current.
    #[serde(skip_serializing_if = "Option::is_none")]
    former: Option<Vec<Identity>>,
}

/// A table as the object interface holds it.
pub(crate) fn table(object: &Object) -> Option<Table> {
    let value = object.value.clone()?;
    let Members { members, former } = serde_json::from_value(value).ok()?;
    Some(Table { version: object.version, members, former })
}

/// Writes a table over the version that it came from; returns the table as it then stands.
pub(crate) async fn write_table(client: &Client, name: &str, table: Table) -> Option<Table> {
    let Table { version, members, former } = table.clone();
    let value = serde_json::to_value(Members { members, former }).ok()?;
    let version = client.update(MEMBERS, name, version, &value).await.ok()?;
    Some(Table { version, ..table })
}

/// The accepted document, as the object interface holds it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Accepted {
    /// Version of the document that was accepted.
    pub(crate) source: u64,
    /// The document.
    pub(crate) document: Value,
}

/// Reads an accepted document.
pub(crate) fn accepted(object: &Object) -> Option<Accepted> {
    serde_json::from_value(object.value.clone()?).ok()
}

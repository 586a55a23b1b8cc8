//! The lease of the host that gives orders to the engines of a cell.
//!
//! Its epoch is taken from the version of the whole store, so that it also grows from a lease of one
//! division of the fleet into cells to those of another.

use chestnutrack_core::cell::Cell;
use chestnutrack_core::time::Instant;
use chestnutrack_process::clock;
use chestnutrack_store::client::Client;
use chestnutrack_store::error::Error;
use serde::{Deserialize, Serialize};
use serde_json::json;
use std::sync::Arc;

/// Name of the lease of a cell.
fn name(cell: Cell) -> Arc<str> {
    let (index, count) = cell.index_and_count();
    match cell.is_whole_fleet() {
        true => "orders".into(),
        false => format!("orders-{index}-of-{count}").into(),
    }
}

/// Who holds the lease, as its object says.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Value {
    /// Fencing number; grows with each holder.
    epoch: u64,
    holder: Arc<str>,
    incarnation: u64,
    /// Grows with each write of a holder, so that it knows its own.
    write: u64,
}

/// A lease that is held.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Held {
    /// Fencing number.
    pub(super) epoch: u64,
    /// When the write that shows it was sent.
    pub(super) confirmed: Instant,
    /// Another process held it before.
    pub(super) taken_over: bool,
}

/// The lease, as this process knows it.
pub(super) struct Lease {
    client: Client,
    kind: &'static str,
    name: Arc<str>,
    holder: Arc<str>,
    incarnation: u64,
    /// Its own last write and its version.
    own: Option<(u64, Value)>,
}

impl Lease {
    pub(super) fn new(
        client: Client,
        kind: &'static str,
        holder: Arc<str>,
        incarnation: u64,
    ) -> Lease {
        Lease { client, kind, name: name(Cell::default()), holder, incarnation, own: None }
    }

    /// Goes over to the lease of a cell.
    pub(super) fn set_cell(&mut self, cell: Cell) {
        let name = name(cell);
        if self.name != name {
            (self.name, self.own) = (name, None);
        }
    }

    /// Takes the lease from whoever holds it, or confirms it.
    pub(super) async fn take(&mut self) -> Result<Held, Error> {
        if self.own.is_some()
            && let Ok(held) = self.confirm().await
        {
            return Ok(held);
        }
        let list = self.client.list(self.kind).await?;
        let before = list.objects.iter().find(|object| object.name == self.name);
        let version = before.map_or(0, |object| object.version);
        // An older process of this host may have given orders under its name, and so may the host of
        // a cell that engines belonged to before.
        let taken_over = list.objects.iter().any(|object| object.value.is_some());
        self.write(version, list.version + 1, taken_over).await
    }

    /// Writes the lease again: it is still held.
    pub(super) async fn confirm(&mut self) -> Result<Held, Error> {
        let Some((version, value)) = self.own.take() else { return Err(Error::Missing) };
        self.write(version, value.epoch, false).await
    }

    async fn write(&mut self, version: u64, epoch: u64, taken_over: bool) -> Result<Held, Error> {
        let (holder, incarnation) = (self.holder.clone(), self.incarnation);
        let value = Value { epoch, holder, incarnation, write: version };
        let confirmed = clock::now();
        let written = self.client.update(self.kind, &self.name, version, &json!(value)).await?;
        self.own = Some((written, value));
        Ok(Held { epoch, confirmed, taken_over })
    }
}

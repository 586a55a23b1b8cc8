//! The lease that a host needs to send orders to the engines of a cell.
//!
//! The lease is an object in the platform's store. Whoever last wrote it holds it: an update succeeds only if the
//! object still has the version that the writer states. A cell is the part of the fleet that a host belongs to; a
//! small fleet is a single cell.
//!
//! The epoch, or fencing number, lets engines refuse the orders of earlier holders. It is derived from the version of
//! the whole store. It therefore also grows between the leases of different divisions of the fleet into cells, and
//! when the store comes back from a copy and has lost the lease: the client orders versions across that.

use crate::app;
use chestnutrack_core::cell::Cell;
use chestnutrack_core::time::Instant;
use chestnutrack_process::clock;
use chestnutrack_store::client::Client;
use chestnutrack_store::epoch as store_epoch;
use chestnutrack_store::error::Error;
use serde::{Deserialize, Serialize};
use serde_json::json;
use std::sync::Arc;
use std::time::Duration;

/// Returns the name of a cell's lease in the store. It begins with `orders`, since the lease permits orders to engines.
/// The number of cells is part of the name, so that each division of the fleet into cells has its own leases.
fn lease_name(cell: Cell) -> Arc<str> {
    let (index, count) = cell.index_and_count();
    match cell.is_whole_fleet() {
        true => "orders".into(),
        false => format!("orders-{index}-of-{count}").into(),
    }
}

/// Content of the lease's object in the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Record {
    /// Fencing number; grows with each holder.
    epoch: u64,
    holder: Arc<str>,
    incarnation: u64,
    /// Version of the object before this write. Grows with each write of a holder, so that the holder
    /// recognises its own.
    write: u64,
}

/// Proof that this process held the lease at a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct HeldLease {
    /// Fencing number.
    pub(super) epoch: u64,
    /// When the write that proves it was sent. Another host may have taken the lease over at any time after the store
    /// applied the write, which may be right after it was sent.
    pub(super) confirmed_at: Instant,
    /// Whether another process may have held a lease before and sent orders under it.
    pub(super) taken_over: bool,
}

/// A client of the lease in the store.
pub(super) struct Lease {
    client: Client,
    kind: &'static str,
    name: Arc<str>,
    holder: Arc<str>,
    incarnation: u64,
    /// Time after which all orders of an earlier holder have arrived.
    takeover_time: Duration,
    /// Whether the whole fleet starts for the first time, so that there is no earlier holder.
    is_fleet_first_start: bool,
    /// This process's last write and the version it was given; `None` unless that write succeeded.
    last_write: Option<(u64, Record)>,
}

impl Lease {
    /// Creates a client of the whole fleet's lease, which this process doesn't hold yet. `kind` is the store's kind of
    /// object for leases; an earlier holder's orders arrive within `takeover_time`.
    pub(super) fn new(
        client: Client,
        kind: &'static str,
        settings: &app::Settings,
        takeover_time: Duration,
    ) -> Lease {
        Lease {
            client,
            kind,
            name: lease_name(Cell::default()),
            holder: settings.name.clone(),
            incarnation: settings.incarnation,
            takeover_time,
            is_fleet_first_start: settings.is_fleet_first_start,
            last_write: None,
        }
    }

    /// Switches to the lease of a cell. Forgets the lease held before if it is another one.
    pub(super) fn set_cell(&mut self, cell: Cell) {
        let name = lease_name(cell);
        if self.name != name {
            (self.name, self.last_write) = (name, None);
        }
    }

    /// Returns `true` if another process may have held a lease that the store has forgotten: the store
    /// may have come back from a copy so recently that orders under that lease still arrive.
    fn may_be_forgotten(&self) -> bool {
        let since = self.client.epoch_since();
        let is_first_epoch = self.is_fleet_first_start && self.client.counters().restores() == 0;
        !is_first_epoch && since.is_none_or(|since| clock::now().since(since) < self.takeover_time)
    }

    /// Confirms the lease if this process holds it, otherwise takes it over from its holder, with a higher epoch.
    pub(super) async fn acquire(&mut self) -> Result<HeldLease, Error> {
        if self.last_write.is_some()
            && let Ok(lease) = self.confirm().await
        {
            return Ok(lease);
        }
        let list = self.client.list(self.kind).await?;
        let current_object = list.objects.iter().find(|object| object.name == self.name);
        let version = current_object.map_or(0, |object| object.version);
        // Any object counts as another holder: an earlier process of this host may have sent orders under the
        // same name, and so may the host of a cell that the engines belonged to before.
        let taken_over =
            list.objects.iter().any(|object| object.value.is_some()) || self.may_be_forgotten();
        self.write(version, list.version + 1, taken_over).await
    }

    /// Writes the lease again under its last version, which succeeds only if this process still holds it.
    pub(super) async fn confirm(&mut self) -> Result<HeldLease, Error> {
        let Some((version, record)) = self.last_write.take() else { return Err(Error::Missing) };
        self.write(version, record.epoch, false).await
    }

    /// Writes the lease, provided that its object in the store still has `version` (0 if it doesn't exist yet).
    /// Remembers the new version for the next confirmation.
    async fn write(
        &mut self,
        version: u64,
        epoch: u64,
        taken_over: bool,
    ) -> Result<HeldLease, Error> {
        let (holder, incarnation) = (self.holder.clone(), self.incarnation);
        // No other write of this holder states the same version, by which it recognises this one.
        let record = Record { epoch, holder, incarnation, write: version };
        let confirmed_at = clock::now();
        let new_version =
            self.client.replace_confirmed(self.kind, &self.name, version, &json!(record)).await?;
        if store_epoch::of(new_version) != store_epoch::of(record.epoch) {
            // The store came back from a copy meanwhile. Others may have held the lease there under a
            // higher epoch.
            return Err(Error::Unknown("lease written in a later epoch of the store".to_owned()));
        }
        self.last_write = Some((new_version, record));
        Ok(HeldLease { epoch, confirmed_at, taken_over })
    }
}

//! Watches the objects of one kind: lists them first, then watches for changes from the list's
//! version.
//!
//! A watcher never emits an older version after a newer one, whatever the interface responds.
//! During an outage it retries with exponential, jittered backoff and then resumes from the last
//! version.

mod table;

use crate::backoff::Backoff;
use crate::client::Client;
use crate::dialect::Freshness;
use crate::error::Error;
use crate::object::{List, Object};
use chestnutrack_core::time::Instant;
use chestnutrack_process::clock;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, watch};
use tokio::time::sleep;

pub use table::Table;

/// Capacity of the channel to the reader, in events.
const EVENTS_MAX: usize = 16;

/// Longest time that a follower waits for the interface to become reachable before it retries on
/// its own.
const FOLLOW_MAX: Duration = Duration::from_millis(5_000);

/// How a watcher retries while the interface is unreachable. Watchers of the same client can act
/// together: after a leader's failed call, the followers wait until the interface is reachable again.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RetryMode {
    /// Retries on its own.
    #[default]
    Independent,
    /// Retries on its own, and reports to the followers of the same client when the interface
    /// becomes unreachable.
    Leader,
    /// Waits to retry until a watcher of the same client gets a response, if the leader found the
    /// interface unreachable. Otherwise retries on its own.
    Follower,
}

/// Settings of a watcher.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// Longest time that one watch waits for a change.
    pub watch_timeout: Duration,
    /// Pause after each response, which limits the rate of calls to an interface that responds
    /// immediately.
    pub pause: Duration,
    /// First pause after a failure; doubles with each further failure.
    pub retry_min: Duration,
    /// Longest pause after a failure.
    pub retry_max: Duration,
    /// How the watcher retries while the interface is unreachable.
    pub retry: RetryMode,
    /// Whether to list again after a failed call. An interface that drops old changes may not
    /// reject a watch from a dropped version, but leave it waiting for the next change.
    pub list_after_failure: bool,
    /// How up to date the first list has to be. The watch that follows returns the changes since.
    pub first_list: Freshness,
    /// Whether to emit the pages of the first list as they arrive.
    pub emit_pages: bool,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            watch_timeout: Duration::from_millis(10_000),
            pause: Duration::from_millis(10),
            retry_min: Duration::from_millis(100),
            retry_max: Duration::from_millis(2_000),
            retry: RetryMode::default(),
            list_after_failure: false,
            first_list: Freshness::Newest,
            emit_pages: false,
        }
    }
}

/// Settings and requests by which a reader controls a running watcher.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Control {
    /// Longest time that one watch waits.
    pub watch_timeout: Duration,
    /// Counts requests to list again. The call in flight, which the reader doubts, is cancelled.
    pub relist_requests: u64,
    /// Counts requests to retry now instead of after the pause.
    pub retry_requests: u64,
    /// Longest pause after a failure.
    pub retry_max: Duration,
}

impl Settings {
    /// Returns a control that leaves the settings unchanged and requests nothing.
    pub fn control(&self) -> Control {
        Control {
            watch_timeout: self.watch_timeout,
            relist_requests: 0,
            retry_requests: 0,
            retry_max: self.retry_max,
        }
    }
}

/// Result of one call to the interface, or a page of the first list.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The interface responded.
    Updated(Update),
    /// The call got no usable response. Objects emitted earlier remain valid.
    Failed {
        /// When the call was sent.
        sent: Instant,
        /// Why the call failed.
        error: Error,
    },
}

/// Objects from one response of the interface.
#[derive(Clone, Debug, PartialEq)]
pub struct Update {
    /// Whether `objects` holds all objects of the kind. Objects that were emitted earlier and are
    /// missing from it were deleted.
    pub is_snapshot: bool,
    /// Whether this is a page of the first list, to be followed by the rest.
    pub is_page: bool,
    /// The changed objects, or those of the snapshot or page. Empty if nothing changed.
    pub objects: Vec<Object>,
    /// Version up to which all changes are known.
    pub version: u64,
    /// When the call to the interface was sent: the objects are at least as new as this.
    pub sent: Instant,
}

/// Starts a task that lists and watches the objects of a kind until the receiver is dropped.
pub fn start(
    client: Client,
    kind: impl Into<Arc<str>>,
    settings: Settings,
) -> mpsc::Receiver<Event> {
    let (_, control) = watch::channel(settings.control());
    start_controlled(client, kind, settings, control)
}

/// Starts watching as [`start`] does. Through `control` the reader requests a new list or an immediate
/// retry, and changes the longest wait of a watch and the longest pause before a retry.
pub fn start_controlled(
    client: Client,
    kind: impl Into<Arc<str>>,
    settings: Settings,
    control: watch::Receiver<Control>,
) -> mpsc::Receiver<Event> {
    let (events, receiver) = mpsc::channel(EVENTS_MAX);
    let kind = kind.into();
    tokio::spawn(async move {
        let events_clone = events.clone();
        tokio::select! {
            () = events_clone.closed() => {}
            () = list_and_watch(&client, &kind, &settings, control, &events) => {}
        }
    });
    receiver
}

/// Lists the objects of the kind, then watches for changes, in a loop, until the receiver of `events` is
/// dropped. Lists again when changes may have been missed or the reader requests it. Sends one event for
/// each call.
async fn list_and_watch(
    client: &Client,
    kind: &str,
    settings: &Settings,
    mut control: watch::Receiver<Control>,
    events: &mpsc::Sender<Event>,
) {
    let mut table = Table::default();
    let mut backoff = Backoff::new(settings.retry_min, settings.retry_max);
    let mut epoch = client.epoch_changes();
    loop {
        epoch.borrow_and_update();
        let sent = clock::now();
        // Once a response was applied, a list is made only where changes may have been missed, so it has
        // to be up to date.
        let freshness = if table.is_empty() { settings.first_list } else { Freshness::Newest };
        let is_snapshot = table.needs_list();
        let current_control = *control.borrow_and_update();
        let page_events = (settings.emit_pages && table.is_empty()).then_some(events);
        let response = tokio::select! {
            biased;
            response =
                list_or_watch(
                    client,
                    kind,
                    (freshness, current_control.watch_timeout),
                    &table,
                    page_events,
                ) => response,
            () = relist_requested(&mut control, current_control.relist_requests) => {
                table.require_list();
                continue;
            }
            () = epoch_risen(&mut epoch) => {
                // The call in flight may wait for a version that was given out again.
                table.require_list();
                continue;
            }
        };
        let applied = response.and_then(|list| table.apply(list, is_snapshot, sent));
        let (event, retry_pause) = match applied {
            Ok(update) => {
                if backoff.record_success() {
                    tracing::info!(kind, update.version, "object interface answers again");
                }
                client.set_reachable(true);
                (Event::Updated(update), None)
            }
            Err(error) => {
                if settings.list_after_failure || error.is_history_gone() {
                    table.require_list();
                }
                if backoff.record_failure() {
                    tracing::warn!(kind, %error, "object interface doesn't answer");
                }
                let is_unreachable =
                    !error.is_history_gone() && !matches!(error, Error::Malformed(..));
                if is_unreachable && settings.retry == RetryMode::Leader {
                    client.set_reachable(false);
                }
                (
                    Event::Failed { sent, error },
                    Some(backoff.pause().min(current_control.retry_max)),
                )
            }
        };
        if events.send(event).await.is_err() {
            return;
        }
        match retry_pause {
            None => sleep(settings.pause).await,
            Some(pause) => {
                wait_before_retry(
                    client,
                    settings.retry,
                    &mut control,
                    (pause, current_control.retry_requests),
                )
                .await
            }
        }
    }
}

/// Waits after a failed call. If the leader found the interface unreachable, a follower waits until
/// it is reachable again, for at most [`FOLLOW_MAX`]. Otherwise waits for `pause`, or until the
/// reader requests a retry.
async fn wait_before_retry(
    client: &Client,
    retry: RetryMode,
    control: &mut watch::Receiver<Control>,
    (pause, retry_requests): (Duration, u64),
) {
    let mut reachable = client.reachable();
    if retry == RetryMode::Follower && !*reachable.borrow() {
        tokio::select! {
            () = sleep(FOLLOW_MAX) => {}
            // Can't fail: `client` holds the sender.
            _ = reachable.wait_for(|reachable| *reachable) => {}
        }
        return;
    }
    let retry_requested = async {
        if control.wait_for(|current| current.retry_requests != retry_requests).await.is_err() {
            // The sender is gone, so no request can come.
            std::future::pending::<()>().await;
        }
    };
    tokio::select! {
        () = sleep(pause) => {}
        () = retry_requested => {}
    }
}

/// Waits until another call finds that the epoch of the interface has risen.
async fn epoch_risen(epoch: &mut watch::Receiver<Option<(u64, Instant)>>) {
    if epoch.changed().await.is_err() {
        // The sender is gone with the client.
        std::future::pending().await
    }
}

/// Waits until the reader's number of requests to list again is no longer `relist_requests`.
async fn relist_requested(control: &mut watch::Receiver<Control>, relist_requests: u64) {
    if control.wait_for(|current| current.relist_requests != relist_requests).await.is_err() {
        // The sender is gone, so no request can come.
        std::future::pending().await
    }
}

/// Lists the objects of the kind with this freshness if the table needs it, and otherwise waits for
/// changes to them, for at most `watch_timeout`. Sends each page of a list except the last to
/// `page_events`, unless that is `None`.
async fn list_or_watch(
    client: &Client,
    kind: &str,
    (freshness, watch_timeout): (Freshness, Duration),
    table: &Table,
    page_events: Option<&mpsc::Sender<Event>>,
) -> Result<List, Error> {
    if !table.needs_list() {
        return client.watch(kind, table.version(), watch_timeout).await;
    }
    let sent = clock::now();
    let on_page = |page: &List| {
        let Some(events) = page_events else { return };
        let (objects, version) = (page.objects.clone(), page.version);
        let update = Update { is_snapshot: false, is_page: true, objects, version, sent };
        // If the channel is full, the page is dropped; the complete list follows.
        drop(events.try_send(Event::Updated(update)));
    };
    client.list_paged(kind, freshness, on_page).await
}

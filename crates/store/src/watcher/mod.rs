//! Follower the objects of one kind: a list first, then watches from its version on.
//!
//! What is handed out never goes back to an older version, whatever the interface answers. In an
//! outage it retries with growing, jittered pauses and then resumes where it was.

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

/// Events that wait for their reader.
const EVENTS_MAX: usize = 16;

/// Longest time for which a watcher waits for the one that tries for it.
const FOLLOW_MAX: Duration = Duration::from_millis(5_000);

/// How a watcher tries again while the interface doesn't answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RetryMode {
    /// By itself.
    #[default]
    Independent,
    /// By itself, and for the others of its client that follow it.
    Leader,
    /// Once the one that leads was answered. While that one is answered, it tries by itself.
    Follower,
}

/// Settings of a watcher.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// Longest time that one watch waits.
    pub watch_timeout: Duration,
    /// Pause after each answer, which bounds the calls to an interface that answers at once.
    pub pause: Duration,
    /// First pause after a failure; it doubles with each that follows.
    pub retry_min: Duration,
    /// Longest pause after a failure.
    pub retry_max: Duration,
    /// How it tries again.
    pub retry: RetryMode,
    /// Whether a watch that failed is followed by a list. An interface that forgets its changes may
    /// leave a watch from a forgotten version waiting for the next one.
    pub list_after_failure: bool,
    /// How old the first list may be; the watch that follows tells what came since.
    pub first_list: Freshness,
    /// Whether pages of the first list are handed out as they come.
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

/// What a reader asks of a running watcher.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Control {
    /// Longest time that one watch waits.
    pub watch_timeout: Duration,
    /// Grows when the call under way is doubted: it is given up, and a list follows.
    pub relist_requests: u64,
    /// Grows when there is a ground to try again now, and not after the pause.
    pub retry_requests: u64,
    /// Longest pause after a failure.
    pub retry_max: Duration,
}

impl Settings {
    /// Control that leaves the settings as they are.
    pub fn control(&self) -> Control {
        Control {
            watch_timeout: self.watch_timeout,
            relist_requests: 0,
            retry_requests: 0,
            retry_max: self.retry_max,
        }
    }
}

/// What became of one call.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// It was answered.
    Updated(Update),
    /// It got no answer that can be used; what was handed out stays as it is.
    Failed {
        /// When the call was sent.
        sent: Instant,
        /// Why.
        error: Error,
    },
}

/// One answer of the interface.
#[derive(Clone, Debug, PartialEq)]
pub struct Update {
    /// Whether the objects are all that there are; those handed out earlier and not among them
    /// were deleted.
    pub is_snapshot: bool,
    /// Whether it is a page of the first list, of which more are to come.
    pub is_page: bool,
    /// Objects that changed; none when the answer only confirms what was known.
    pub objects: Vec<Object>,
    /// Version up to which changes are known.
    pub version: u64,
    /// When the call was sent: the objects are at least as new as this.
    pub sent: Instant,
}

/// Follower a kind until the receiver is dropped.
pub fn start(
    client: Client,
    kind: impl Into<Arc<str>>,
    settings: Settings,
) -> mpsc::Receiver<Event> {
    let (_, control) = watch::channel(settings.control());
    start_controlled(client, kind, settings, control)
}

/// As [`start`], under the reader's control.
pub fn start_controlled(
    client: Client,
    kind: impl Into<Arc<str>>,
    settings: Settings,
    control: watch::Receiver<Control>,
) -> mpsc::Receiver<Event> {
    let (events, receiver) = mpsc::channel(EVENTS_MAX);
    let kind = kind.into();
    tokio::spawn(async move {
        let closed = events.clone();
        tokio::select! {
            () = closed.closed() => {}
            () = follow(&client, &kind, &settings, control, &events) => {}
        }
    });
    receiver
}

async fn follow(
    client: &Client,
    kind: &str,
    settings: &Settings,
    mut control: watch::Receiver<Control>,
    events: &mpsc::Sender<Event>,
) {
    let mut table = Table::default();
    let mut backoff = Backoff::new(settings.retry_min, settings.retry_max);
    loop {
        let sent = clock::now();
        // After the first list, one follows only where something may have been missed.
        let freshness = if table.is_empty() { settings.first_list } else { Freshness::Newest };
        let is_snapshot = table.needs_list();
        let now = *control.borrow_and_update();
        let pages = (settings.emit_pages && table.is_empty()).then_some(events);
        let answer = tokio::select! {
            answer = ask(client, kind, (freshness, now.watch_timeout), &table, pages) => answer,
            () = relist_requested(&mut control, now.relist_requests) => {
                table.require_list();
                continue;
            }
        };
        let taken = answer.and_then(|list| table.apply(list, is_snapshot, sent));
        let (event, pause) = match taken {
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
                let down = !error.is_history_gone() && !matches!(error, Error::Malformed(..));
                if down && settings.retry == RetryMode::Leader {
                    client.set_reachable(false);
                }
                (Event::Failed { sent, error }, Some(backoff.pause().min(now.retry_max)))
            }
        };
        if events.send(event).await.is_err() {
            return;
        }
        match pause {
            None => sleep(settings.pause).await,
            Some(pause) => {
                wait(client, settings.retry, &mut control, (pause, now.retry_requests)).await
            }
        }
    }
}

/// Waits after a failure until it is time to try again.
async fn wait(
    client: &Client,
    retry: RetryMode,
    control: &mut watch::Receiver<Control>,
    (pause, retry_requests): (Duration, u64),
) {
    let mut up = client.reachable();
    if retry == RetryMode::Follower && !*up.borrow() {
        tokio::select! {
            () = sleep(FOLLOW_MAX) => {}
            // The client lives as long as this call.
            _ = up.wait_for(|up| *up) => {}
        }
        return;
    }
    let hinted = async {
        if control.wait_for(|now| now.retry_requests != retry_requests).await.is_err() {
            // Nobody is left to give retry_requests.
            std::future::pending::<()>().await;
        }
    };
    tokio::select! {
        () = sleep(pause) => {}
        () = hinted => {}
    }
}

/// Ends when the call under way is doubted.
async fn relist_requested(control: &mut watch::Receiver<Control>, relist_requests: u64) {
    if control.wait_for(|now| now.relist_requests != relist_requests).await.is_err() {
        // Nobody is left to doubt it.
        std::future::pending().await
    }
}

async fn ask(
    client: &Client,
    kind: &str,
    (freshness, wait): (Freshness, Duration),
    table: &Table,
    pages: Option<&mpsc::Sender<Event>>,
) -> Result<List, Error> {
    if !table.needs_list() {
        return client.watch(kind, table.version(), wait).await;
    }
    let sent = clock::now();
    let on_page = |page: &List| {
        let Some(events) = pages else { return };
        let (objects, version) = (page.objects.clone(), page.version);
        let update = Update { is_snapshot: false, is_page: true, objects, version, sent };
        // A reader that is behind gets the whole list soon.
        drop(events.try_send(Event::Updated(update)));
    };
    client.list_paged(kind, freshness, on_page).await
}

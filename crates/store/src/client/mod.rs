//! Client of the object interface, the platform's store of versioned objects: checks names, limits the
//! time and size of calls, retries what is safe to retry, and maps responses to results.

mod counters;
mod read_back;

use crate::backoff::Backoff;
use crate::dialect::{Dialect, Freshness, OWN, Page};
use crate::epoch::{self, Known, Stated};
use crate::error::Error;
use crate::host;
use crate::object::{List, Object, VALUE_BYTES_MAX};
use bytes::Bytes;
use chestnutrack_core::time::Instant;
use chestnutrack_process::http;
use chestnutrack_process::pool::{self, Pool};
use http_body_util::Full;
use hyper::body::Body;
use hyper::{Request, Response};
use prometheus::Registry;
use serde_json::Value;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::sleep;

pub use counters::{CallCounters, CallKind};

/// Longest name of a kind or an object, in bytes.
pub const NAME_BYTES_MAX: usize = 200;
/// Status of a call that exceeds the interface's rate limit.
const TOO_MANY_REQUESTS: u16 = 429;
/// Attempts at a list that is refused for the rate limit, or at a page that fails after others were
/// read.
const LIST_ATTEMPTS: u32 = 5;
/// Pauses between these attempts: the first (`.0`) and the longest (`.1`). The interface counts its rate
/// per second.
const LIST_RETRY_PAUSES: (Duration, Duration) =
    (Duration::from_millis(100), Duration::from_millis(800));
/// Longest part of a refusal's body that is kept in an error, in bytes.
const REFUSAL_BYTES_MAX: usize = 200;

/// Settings of a client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Settings of the connection pools.
    pub pool: pool::Settings,
    /// Longest time for a read, one page of a list, or the host list.
    pub read_timeout: Duration,
    /// Longest time for a write or a deletion.
    pub write_timeout: Duration,
    /// Time that a watch may take longer than the wait that it asks for.
    pub watch_grace: Duration,
    /// Largest response body, in bytes.
    pub response_bytes_max: usize,
    /// How many times [`Client::replace_confirmed`] reads an object back after a lost response, at most.
    pub read_back_attempts: u32,
    /// Pause before each time that an object is read back.
    pub read_back_pause: Duration,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            pool: pool::Settings::default(),
            read_timeout: Duration::from_millis(1_000),
            write_timeout: Duration::from_millis(1_000),
            watch_grace: Duration::from_millis(1_000),
            response_bytes_max: 16 * VALUE_BYTES_MAX,
            read_back_attempts: 3,
            read_back_pause: Duration::from_millis(50),
        }
    }
}

/// A client of the object interface; cheap to clone.
#[derive(Clone)]
pub struct Client {
    /// Connections for reads, lists and watches.
    read_pool: Pool,
    /// Opens a new connection for each write and deletion, so that none gets a second response to an
    /// earlier one.
    write_pool: Pool,
    settings: Settings,
    dialect: Dialect,
    counters: CallCounters,
    /// Whether the interface is reachable: cleared by a failed call of a watcher in
    /// [`crate::watcher::RetryMode::Leader`], set by a response to any watcher.
    reachable: watch::Sender<bool>,
    /// Epoch of the interface.
    epoch: Known,
}

impl Client {
    /// Creates a client of the interface at `address` that uses the project's own dialect. Its
    /// counters are registered with `registry`, if any.
    pub fn new(address: SocketAddr, settings: Settings, registry: Option<&Registry>) -> Client {
        Client::with_dialect(OWN, address, settings, registry)
    }

    /// Creates a client as [`Client::new`] does, for an interface that speaks `dialect` rather than the
    /// project's own dialect of the protocol.
    pub fn with_dialect(
        dialect: Dialect,
        address: SocketAddr,
        settings: Settings,
        registry: Option<&Registry>,
    ) -> Client {
        let read_pool = Pool::new(address, settings.pool);
        let write_pool = Pool::new(address, settings.pool.without_reuse());
        let reachable = watch::Sender::new(true);
        Client {
            read_pool,
            write_pool,
            settings,
            dialect,
            counters: CallCounters::new(registry),
            reachable,
            epoch: Known::new(),
        }
    }

    /// Returns the epoch of the interface, as far as known; see [`crate::epoch`].
    pub fn epoch(&self) -> u64 {
        self.epoch.get()
    }

    /// Returns when the epoch of the interface was first stated to this client; `None` before the
    /// first response.
    pub fn epoch_since(&self) -> Option<Instant> {
        self.epoch.since()
    }

    /// Returns a receiver that is notified when the epoch has risen.
    pub(crate) fn epoch_changes(&self) -> watch::Receiver<Option<(u64, Instant)>> {
        self.epoch.subscribe()
    }

    /// Records whether the interface is reachable, and notifies the subscribers if that changed.
    pub(crate) fn set_reachable(&self, reachable: bool) {
        self.reachable
            .send_if_modified(|current| std::mem::replace(current, reachable) != reachable);
    }

    /// Returns a receiver that tells followers ([`crate::watcher::RetryMode::Follower`]) whether the
    /// interface is reachable.
    pub(crate) fn reachable(&self) -> watch::Receiver<bool> {
        self.reachable.subscribe()
    }

    /// Returns the counters of calls and failed calls, by kind.
    pub fn counters(&self) -> &CallCounters {
        &self.counters
    }

    /// Reads an object.
    ///
    /// # Errors
    ///
    /// [`Error::Missing`] if the object doesn't exist.
    pub async fn read(&self, kind: &str, name: &str) -> Result<Object, Error> {
        let request =
            (self.dialect.read)(validate_name("kind", kind)?, validate_name("name", name)?)?;
        let (epoch, response) =
            self.call(CallKind::Read, request, self.settings.read_timeout).await?;
        let object = (self.dialect.object)(&success_body(response)?)?;
        let object = in_epoch(epoch, object)?;
        if &*object.name != name {
            let text = format!("`{}` in place of `{name}`", object.name);
            return Err(Error::Malformed("read".to_owned(), text));
        }
        Ok(object)
    }

    /// Reads all objects of a kind, with every write that was acknowledged before the call. A list
    /// that is refused because of the interface's rate limit is retried.
    ///
    /// # Errors
    ///
    /// Any error except [`Error::Conflict`] and [`Error::Missing`].
    pub async fn list(&self, kind: &str) -> Result<List, Error> {
        let mut backoff = Backoff::new(LIST_RETRY_PAUSES.0, LIST_RETRY_PAUSES.1);
        for _ in 1..LIST_ATTEMPTS {
            match self.list_paged(kind, Freshness::Newest, |_| {}).await {
                Err(error @ Error::Refused(TOO_MANY_REQUESTS, _)) => {
                    pause_before_retry(&mut backoff, kind, None, &error).await;
                }
                list => return list,
            }
        }
        self.list_paged(kind, Freshness::Newest, |_| {}).await
    }

    /// Reads all objects of a kind, page by page, and calls `on_page` with each page but the last.
    ///
    /// # Errors
    ///
    /// As for [`Client::list`].
    pub async fn list_paged(
        &self,
        kind: &str,
        freshness: Freshness,
        on_page: impl Fn(&List),
    ) -> Result<List, Error> {
        let kind = validate_name("kind", kind)?;
        let mut list = List { version: u64::MAX, objects: Vec::new() };
        loop {
            let last_name = list.objects.last().map(|object| object.name.clone());
            let page = self.page(kind, last_name.as_deref(), freshness).await?;
            if !list.objects.is_empty() && epoch::of(page.list.version) != epoch::of(list.version) {
                return Err(Error::Unknown("pages of two epochs".to_owned()));
            }
            let next_name = page.list.objects.last().map(|object| &object.name);
            let is_listed =
                |name: &Arc<str>| list.objects.iter().any(|object| object.name == *name);
            if page.more && next_name.is_some_and(is_listed) {
                return Err(Error::Malformed(kind.to_owned(), "page came again".to_owned()));
            }
            // Without an object there is no name to continue after.
            let has_no_objects = page.list.objects.is_empty();
            if page.more && !has_no_objects {
                on_page(&page.list);
            }
            // A watch from the lowest version of the pages returns what changed while the others
            // were read.
            list.version = list.version.min(page.list.version);
            list.objects.extend(page.list.objects);
            if !page.more || has_no_objects {
                return Ok(list);
            }
        }
    }

    /// Reads the page of a list that follows the object named `after_name`, or the first page if that is
    /// `None`. A page other than the first is retried if the interface refuses it because of its rate
    /// limit or doesn't respond, so that one failed page doesn't make a long list start over.
    async fn page(
        &self,
        kind: &str,
        after_name: Option<&str>,
        freshness: Freshness,
    ) -> Result<Page, Error> {
        let mut backoff = Backoff::new(LIST_RETRY_PAUSES.0, LIST_RETRY_PAUSES.1);
        for _ in 1..LIST_ATTEMPTS {
            let page = self.page_once(kind, after_name, freshness).await;
            let is_transient = |error: &Error| {
                matches!(
                    error,
                    Error::Refused(TOO_MANY_REQUESTS, _) | Error::Unknown(_) | Error::NotSent(_)
                )
            };
            let error = match &page {
                Err(error) if after_name.is_some() && is_transient(error) => error,
                _ => return page,
            };
            pause_before_retry(&mut backoff, kind, after_name, error).await;
        }
        self.page_once(kind, after_name, freshness).await
    }

    /// Reads a page without retrying.
    async fn page_once(
        &self,
        kind: &str,
        after_name: Option<&str>,
        freshness: Freshness,
    ) -> Result<Page, Error> {
        let request = (self.dialect.list)(kind, after_name, freshness)?;
        let (epoch, response) =
            self.call(CallKind::List, request, self.settings.read_timeout).await?;
        let page = (self.dialect.page)(&success_body(response)?)?;
        Ok(Page { list: list_in_epoch(epoch, page.list)?, more: page.more })
    }

    /// Writes an object that must not exist yet and returns its version.
    ///
    /// # Errors
    ///
    /// [`Error::Conflict`] if the object exists already.
    pub async fn create(&self, kind: &str, name: &str, value: &Value) -> Result<u64, Error> {
        self.replace(kind, name, 0, value).await
    }

    /// Writes an object if its current version is `version` (0: if it does not exist) and returns
    /// its new version. Makes one call; if its response is lost, the outcome stays unknown. See
    /// [`Client::replace_confirmed`] for a write that then reads the object back.
    ///
    /// # Errors
    ///
    /// [`Error::Conflict`] if the object has another version, and [`Error::Unknown`] if the write may
    /// have taken effect. A version of an earlier epoch conflicts, without a call and with version 0
    /// in the error.
    pub async fn replace(
        &self,
        kind: &str,
        name: &str,
        version: u64,
        value: &Value,
    ) -> Result<u64, Error> {
        let (kind, name) = (validate_name("kind", kind)?, validate_name("name", name)?);
        self.check_epoch(version)?;
        let request = (self.dialect.write)(kind, name, epoch::own_version(version), value)?;
        let length = request.body().size_hint().upper().unwrap_or(0);
        if length > VALUE_BYTES_MAX as u64 {
            let text = format!("value of {length} bytes is larger than {VALUE_BYTES_MAX}");
            return Err(Error::NotSent(text));
        }
        self.write(CallKind::Write, version, request).await
    }

    /// Deletes an object if its current version is `version`. Returns the version of the deletion,
    /// or 0 if the interface doesn't report one.
    ///
    /// # Errors
    ///
    /// [`Error::Conflict`] if the object has another version, [`Error::Missing`] if it doesn't exist.
    pub async fn delete(&self, kind: &str, name: &str, version: u64) -> Result<u64, Error> {
        let (kind, name) = (validate_name("kind", kind)?, validate_name("name", name)?);
        self.check_epoch(version)?;
        let request = (self.dialect.delete)(kind, name, epoch::own_version(version))?;
        self.write(CallKind::Delete, version, request).await
    }

    /// Waits up to `wait` for changes to objects of a kind after the version `after_version`. The list
    /// holds only the changed objects and is empty if there were none.
    ///
    /// # Errors
    ///
    /// [`Error::Refused`] with status 410 if the interface no longer holds the changes after that
    /// version, or has risen to another epoch since.
    pub async fn watch(
        &self,
        kind: &str,
        after_version: u64,
        wait: Duration,
    ) -> Result<List, Error> {
        let epoch = epoch::of(after_version);
        if epoch != self.epoch() {
            return Err(Error::history_gone());
        }
        let own_version = epoch::own_version(after_version);
        let request = (self.dialect.watch)(validate_name("kind", kind)?, own_version, wait)?;
        let (stated, response) =
            self.call(CallKind::Watch, request, wait + self.settings.watch_grace).await?;
        if stated != epoch {
            // The interface may have given the version out again, for another change.
            return Err(Error::history_gone());
        }
        list_in_epoch(epoch, (self.dialect.changes)(&success_body(response)?)?)
    }

    /// Reads the host list.
    ///
    /// # Errors
    ///
    /// Any error except [`Error::Conflict`] and [`Error::Missing`].
    pub async fn hosts(&self) -> Result<host::List, Error> {
        let request = http::request("GET", "/v1/hosts", Bytes::new())?;
        let (_, response) = self.call(CallKind::Hosts, request, self.settings.read_timeout).await?;
        serde_json::from_slice(&success_body(response)?)
            .map_err(|error| Error::Malformed("hosts".to_owned(), error.to_string()))
    }

    /// Fails with a conflict if `version` is of an earlier epoch. The interface may have given it
    /// out again.
    fn check_epoch(&self, version: u64) -> Result<(), Error> {
        match version == 0 || epoch::of(version) == self.epoch() {
            true => Ok(()),
            false => Err(Error::Conflict(0)),
        }
    }

    /// Sends a write or deletion on condition of `version`, and returns the version that it gave the
    /// object.
    async fn write(
        &self,
        kind: CallKind,
        version: u64,
        request: Request<Full<Bytes>>,
    ) -> Result<u64, Error> {
        let (epoch, response) = self.call(kind, request, self.settings.write_timeout).await?;
        let malformed = || Error::Unknown("version does not fit".to_owned());
        if response.status().as_u16() == 409 {
            let refused = |_| Error::Refused(409, excerpt(response.body()));
            let found = (self.dialect.conflict)(response.body()).map_err(refused)?;
            return Err(Error::Conflict(epoch::join_existing(epoch, found).ok_or_else(malformed)?));
        }
        let body = success_body(response)?;
        let parse = match kind {
            CallKind::Delete => self.dialect.deleted,
            _ => self.dialect.written,
        };
        // The write took effect. If the body can't be parsed, only its version is lost.
        let written = parse(&body).map_err(|error| Error::Unknown(error.to_string()))?;
        if version != 0 && epoch::of(version) != epoch {
            // The condition held for a version that was given out again, of a state that this client
            // does not know.
            return Err(Error::Unknown("written in a later epoch".to_owned()));
        }
        epoch::join_existing(epoch, written).ok_or_else(malformed)
    }

    /// Makes a call within `call_timeout` and counts it. Reads and lists are idempotent and repeated once
    /// if their connection breaks. Writes and deletions use new connections.
    ///
    /// Returns the epoch of the response, and the response. One of an earlier epoch than is known
    /// is discarded.
    async fn call(
        &self,
        kind: CallKind,
        request: Request<Full<Bytes>>,
        call_timeout: Duration,
    ) -> Result<(u64, Response<Bytes>), Error> {
        self.counters.record_call(kind);
        let body_bytes_max = self.settings.response_bytes_max;
        let response = match kind {
            CallKind::Read | CallKind::List | CallKind::Hosts => {
                self.read_pool.call_idempotent(request, call_timeout, body_bytes_max).await
            }
            CallKind::Watch => self.read_pool.call(request, call_timeout, body_bytes_max).await,
            CallKind::Write | CallKind::Delete => {
                self.write_pool.call(request, call_timeout, body_bytes_max).await
            }
        };
        let response = response.inspect_err(|_| self.counters.record_failure(kind))?;
        let epoch = match self.epoch.record((self.dialect.epoch)(response.headers())) {
            Stated::Current(epoch) => epoch,
            Stated::Earlier(epoch) => {
                tracing::info!(epoch, known = self.epoch(), "response of an earlier epoch ignored");
                return Err(Error::Unknown(format!("response of epoch {epoch}")));
            }
            Stated::Risen(before, epoch) => {
                tracing::warn!(epoch, before, "object interface was restored from a copy");
                self.counters.record_restore();
                epoch
            }
        };
        Ok((epoch, response))
    }
}

/// Returns an object of a response with its version in an epoch.
fn in_epoch(epoch: u64, object: Object) -> Result<Object, Error> {
    let version = epoch::join(epoch, object.version).ok_or_else(|| too_large(&object.name))?;
    Ok(Object { version, ..object })
}

/// Returns a list of a response with its versions in an epoch. Leaves out objects whose version does not
/// fit, and logs them.
fn list_in_epoch(epoch: u64, list: List) -> Result<List, Error> {
    let version = epoch::join(epoch, list.version).ok_or_else(|| too_large("list"))?;
    let count = list.objects.len();
    let objects = list.objects.into_iter().filter_map(|object| in_epoch(epoch, object).ok());
    let list = List { version, objects: objects.collect() };
    let unreadable = count - list.objects.len();
    if unreadable > 0 {
        tracing::warn!(objects = unreadable, "versions of objects of the store are too large");
    }
    Ok(list)
}

/// Returns the error for a version that does not fit beside an epoch.
fn too_large(place: &str) -> Error {
    Error::Malformed(place.to_owned(), "version is too large".to_owned())
}

/// Records a failed attempt at a page and waits before the next one.
async fn pause_before_retry(backoff: &mut Backoff, kind: &str, after: Option<&str>, error: &Error) {
    tracing::info!(kind, after, %error, "retrying list page");
    backoff.record_failure();
    sleep(backoff.pause()).await;
}

/// Returns the body of a response with a success status, and an error for any other status.
fn success_body(response: Response<Bytes>) -> Result<Bytes, Error> {
    match response.status().as_u16() {
        200..=299 => Ok(response.into_body()),
        404 => Err(Error::Missing),
        // An intermediary may have sent these after it forwarded the call.
        status @ (500 | 502 | 504) => Err(Error::Unknown(format!("status {status}"))),
        status => Err(Error::Refused(status, excerpt(response.body()))),
    }
}

/// Returns the start of a response body as text.
fn excerpt(body: &[u8]) -> String {
    String::from_utf8_lossy(&body[..body.len().min(REFUSAL_BYTES_MAX)]).into_owned()
}

/// Returns `name` if it can be put into a URL without escaping. The error calls it
/// `place`, such as `kind`.
fn validate_name<'a>(place: &str, name: &'a str) -> Result<&'a str, Error> {
    let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.:".contains(&byte);
    let length = 1..=NAME_BYTES_MAX;
    if length.contains(&name.len()) && name.bytes().all(is_allowed) && !matches!(name, "." | "..") {
        return Ok(name);
    }
    Err(Error::NotSent(format!(
        "{place} `{name}` is not 1 to {NAME_BYTES_MAX} letters, digits, `-`, `_`, `.` or `:`"
    )))
}

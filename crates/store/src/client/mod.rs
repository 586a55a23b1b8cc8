//! The client of the object interface.

mod counters;
mod update;

use crate::backoff::Backoff;
use crate::dialect::{Dialect, Freshness, OWN, Page};
use crate::error::Error;
use crate::host;
use crate::object::{List, Object, VALUE_BYTES_MAX};
use bytes::Bytes;
use chestnutrack_process::http;
use chestnutrack_process::pool::{self, Pool};
use http_body_util::Full;
use hyper::body::Body;
use hyper::{Request, Response};
use prometheus::Registry;
use serde_json::Value;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::sleep;

pub use counters::{CallCounters, CallKind};

/// Longest name of a kind or an object, in bytes.
pub const NAME_BYTES_MAX: usize = 200;
/// Status of a call beyond the interface's rate.
const TOO_MANY: u16 = 429;
/// How often a list that is refused for the rate, or a page that is lost after others had come, is asked for.
const PAGE_TRIES: u32 = 5;
/// First and longest pause before it is asked for again: the rate is counted by the second.
const PAGE_RETRY: (Duration, Duration) = (Duration::from_millis(100), Duration::from_millis(800));
/// Longest text of a refusal that is kept, in bytes.
const TEXT_BYTES_MAX: usize = 200;

/// Settings of a client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Connections.
    pub pool: pool::Settings,
    /// Longest time for a read, a list or the host list.
    pub read_timeout: Duration,
    /// Longest time for a write or a deletion.
    pub write_timeout: Duration,
    /// Longest time for a watch beyond the time that it is asked to wait.
    pub watch_grace: Duration,
    /// Largest answer, in bytes.
    pub response_bytes_max: usize,
    /// How often an update whose answer was lost is read again.
    pub update_reads: u32,
    /// Time between those reads.
    pub update_pause: Duration,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            pool: pool::Settings::default(),
            read_timeout: Duration::from_millis(1_000),
            write_timeout: Duration::from_millis(1_000),
            watch_grace: Duration::from_millis(1_000),
            response_bytes_max: 16 * VALUE_BYTES_MAX,
            update_reads: 3,
            update_pause: Duration::from_millis(50),
        }
    }
}

/// A client of the object interface; cheap to clone.
#[derive(Clone)]
pub struct Client {
    /// Connections for questions.
    pool: Pool,
    /// Opens a connection for each write.
    writes: Pool,
    settings: Settings,
    dialect: Dialect,
    counters: CallCounters,
    /// Whether the interface answers, as the watcher says that tries for the others.
    reachable: watch::Sender<bool>,
}

impl Client {
    /// A client of the interface at an address, in the project's own dialect; its counters are
    /// registered where a registry is given.
    pub fn new(address: SocketAddr, settings: Settings, registry: Option<&Registry>) -> Client {
        Client::with_dialect(OWN, address, settings, registry)
    }

    /// As [`Client::new`], in another dialect.
    pub fn with_dialect(
        dialect: Dialect,
        address: SocketAddr,
        settings: Settings,
        registry: Option<&Registry>,
    ) -> Client {
        let pool = Pool::new(address, settings.pool);
        let writes = Pool::new(address, settings.pool.without_reuse());
        let reachable = watch::Sender::new(true);
        Client { pool, writes, settings, dialect, counters: CallCounters::new(registry), reachable }
    }

    /// Notes whether the interface answers.
    pub(crate) fn set_reachable(&self, up: bool) {
        self.reachable.send_if_modified(|now| std::mem::replace(now, up) != up);
    }

    /// Whether the interface answers, and changes of that.
    pub(crate) fn reachable(&self) -> watch::Receiver<bool> {
        self.reachable.subscribe()
    }

    /// How many calls of each kind were made.
    pub fn counters(&self) -> &CallCounters {
        &self.counters
    }

    /// Reads an object.
    ///
    /// # Errors
    ///
    /// [`Error::Missing`] when it doesn't exist.
    pub async fn read(&self, kind: &str, name: &str) -> Result<Object, Error> {
        let call = (self.dialect.read)(checked("kind", kind)?, checked("name", name)?)?;
        let answer = self.call(CallKind::Read, call, self.settings.read_timeout).await?;
        let object = (self.dialect.object)(&accept(answer)?)?;
        if &*object.name != name {
            let text = format!("`{}` in place of `{name}`", object.name);
            return Err(Error::Malformed("read".to_owned(), text));
        }
        Ok(object)
    }

    /// Reads all objects of a kind, as they are now. A list that is refused for the interface's rate is
    /// asked for again.
    ///
    /// # Errors
    ///
    /// Any but [`Error::Conflict`] and [`Error::Missing`].
    pub async fn list(&self, kind: &str) -> Result<List, Error> {
        let mut backoff = Backoff::new(PAGE_RETRY.0, PAGE_RETRY.1);
        for _ in 1..PAGE_TRIES {
            match self.list_paged(kind, Freshness::Newest, |_| {}).await {
                Err(error @ Error::Refused(TOO_MANY, _)) => {
                    pause_before_again(&mut backoff, kind, None, &error).await;
                }
                list => return list,
            }
        }
        self.list_paged(kind, Freshness::Newest, |_| {}).await
    }

    /// Reads all objects of a kind, page by page; pages that others follow are handed out as they come.
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
        let kind = checked("kind", kind)?;
        let mut list = List { version: u64::MAX, objects: Vec::new() };
        loop {
            let after = list.objects.last().map(|object| object.name.clone());
            let page = self.page(kind, after.as_deref(), freshness).await?;
            let stuck = page.list.objects.is_empty();
            if page.more && !stuck {
                on_page(&page.list);
            }
            // A watch from the first page's version tells what changed while the others were read.
            list.version = list.version.min(page.list.version);
            list.objects.extend(page.list.objects);
            if !page.more || stuck {
                return Ok(list);
            }
        }
    }

    /// Reads a page. One that is refused for the interface's rate or lost after others had come is asked for
    /// again, so that a long list isn't read from its start for one page.
    async fn page(
        &self,
        kind: &str,
        after: Option<&str>,
        freshness: Freshness,
    ) -> Result<Page, Error> {
        let mut backoff = Backoff::new(PAGE_RETRY.0, PAGE_RETRY.1);
        for _ in 1..PAGE_TRIES {
            let page = self.page_once(kind, after, freshness).await;
            let passing = |error: &Error| {
                matches!(error, Error::Refused(TOO_MANY, _) | Error::Unknown(_) | Error::NotSent(_))
            };
            let error = match &page {
                Err(error) if after.is_some() && passing(error) => error,
                _ => return page,
            };
            pause_before_again(&mut backoff, kind, after, error).await;
        }
        self.page_once(kind, after, freshness).await
    }

    async fn page_once(
        &self,
        kind: &str,
        after: Option<&str>,
        freshness: Freshness,
    ) -> Result<Page, Error> {
        let call = (self.dialect.list)(kind, after, freshness)?;
        let answer = self.call(CallKind::List, call, self.settings.read_timeout).await?;
        (self.dialect.page)(&accept(answer)?)
    }

    /// Writes an object that must not exist yet; returns its version.
    ///
    /// # Errors
    ///
    /// [`Error::Conflict`] when it exists.
    pub async fn create(&self, kind: &str, name: &str, value: &Value) -> Result<u64, Error> {
        self.replace(kind, name, 0, value).await
    }

    /// Writes an object that must have a version, 0 where it must not exist; returns its new
    /// version.
    ///
    /// # Errors
    ///
    /// [`Error::Conflict`] when it has another version.
    pub async fn replace(
        &self,
        kind: &str,
        name: &str,
        version: u64,
        value: &Value,
    ) -> Result<u64, Error> {
        let (kind, name) = (checked("kind", kind)?, checked("name", name)?);
        let call = (self.dialect.write)(kind, name, version, value)?;
        let length = call.body().size_hint().upper().unwrap_or(0);
        if length > VALUE_BYTES_MAX as u64 {
            let text = format!("value of {length} bytes is larger than {VALUE_BYTES_MAX}");
            return Err(Error::NotSent(text));
        }
        self.write(CallKind::Write, call).await
    }

    /// Deletes an object that must have a version; returns the version of the deletion, 0 where the
    /// interface does not say it.
    ///
    /// # Errors
    ///
    /// [`Error::Conflict`] when it has another version, [`Error::Missing`] when it doesn't exist.
    pub async fn delete(&self, kind: &str, name: &str, version: u64) -> Result<u64, Error> {
        let (kind, name) = (checked("kind", kind)?, checked("name", name)?);
        let call = (self.dialect.delete)(kind, name, version)?;
        self.write(CallKind::Delete, call).await
    }

    /// Waits up to `wait` for objects of a kind that change after a version; the list is empty
    /// when none did.
    ///
    /// # Errors
    ///
    /// [`Error::Refused`] with status 410 when the changes after that version are forgotten.
    pub async fn watch(&self, kind: &str, after: u64, wait: Duration) -> Result<List, Error> {
        let call = (self.dialect.watch)(checked("kind", kind)?, after, wait)?;
        let answer = self.call(CallKind::Watch, call, wait + self.settings.watch_grace).await?;
        (self.dialect.changes)(&accept(answer)?)
    }

    /// Reads the host list.
    ///
    /// # Errors
    ///
    /// Any but [`Error::Conflict`] and [`Error::Missing`].
    pub async fn hosts(&self) -> Result<host::List, Error> {
        let request = http::request("GET", "/v1/hosts", Bytes::new())?;
        let answer = self.call(CallKind::Hosts, request, self.settings.read_timeout).await?;
        serde_json::from_slice(&accept(answer)?)
            .map_err(|error| Error::Malformed("hosts".to_owned(), error.to_string()))
    }

    async fn write(&self, kind: CallKind, call: Request<Full<Bytes>>) -> Result<u64, Error> {
        let answer = self.call(kind, call, self.settings.write_timeout).await?;
        if answer.status().as_u16() == 409 {
            let refused = |_| Error::Refused(409, text(answer.body()));
            let found = (self.dialect.conflict)(answer.body()).map_err(refused)?;
            return Err(Error::Conflict(found));
        }
        // The write took effect; only its version is lost.
        let body = accept(answer)?;
        let version = match kind {
            CallKind::Delete => self.dialect.deleted,
            _ => self.dialect.written,
        };
        version(&body).map_err(|error| Error::Unknown(error.to_string()))
    }

    async fn call(
        &self,
        call: CallKind,
        request: Request<Full<Bytes>>,
        limit: Duration,
    ) -> Result<Response<Bytes>, Error> {
        self.counters.record_call(call);
        let bytes = self.settings.response_bytes_max;
        let answer = match call {
            CallKind::Read | CallKind::List | CallKind::Hosts => {
                self.pool.call_idempotent(request, limit, bytes).await
            }
            CallKind::Watch => self.pool.call(request, limit, bytes).await,
            CallKind::Write | CallKind::Delete => self.writes.call(request, limit, bytes).await,
        };
        answer.inspect_err(|_| self.counters.record_failure(call)).map_err(Error::from)
    }
}

async fn pause_before_again(backoff: &mut Backoff, kind: &str, after: Option<&str>, error: &Error) {
    tracing::info!(kind, after, %error, "page asked for again");
    backoff.record_failure();
    sleep(backoff.pause()).await;
}

/// The body of an answer that says yes.
fn accept(answer: Response<Bytes>) -> Result<Bytes, Error> {
    match answer.status().as_u16() {
        200..=299 => Ok(answer.into_body()),
        404 => Err(Error::Missing),
        // Something between the two ends answered; the call may have passed it.
        status @ (500 | 502 | 504) => Err(Error::Unknown(format!("status {status}"))),
        status => Err(Error::Refused(status, text(answer.body()))),
    }
}

fn text(body: &[u8]) -> String {
    String::from_utf8_lossy(&body[..body.len().min(TEXT_BYTES_MAX)]).into_owned()
}

/// A name as it may stand in a URL.
fn checked<'a>(place: &str, name: &'a str) -> Result<&'a str, Error> {
    let known = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.:".contains(&byte);
    let length = 1..=NAME_BYTES_MAX;
    if length.contains(&name.len()) && name.bytes().all(known) && !matches!(name, "." | "..") {
        return Ok(name);
    }
    Err(Error::NotSent(format!(
        "{place} `{name}` is not 1 to {NAME_BYTES_MAX} letters, digits, `-`, `_`, `.` or `:`"
    )))
}

//! Stand-in of the object interface and the host list.
//!
//! The object interface stores versioned JSON objects by kind and name. Calls may expect a version,
//! and a watch waits for changes after a version. The host list is read-only for callers; tests set
//! it on a control page.

mod control;
mod store;

use crate::faults;
use crate::http::{self, Failure, Reply, failure};
use bytes::Bytes;
use chestnutrack_store::dialect::EPOCH_HEADER;
use chestnutrack_store::host;
use chestnutrack_store::object::{Conflict, VALUE_BYTES_MAX, Written};
use control::Control;
use hyper::body::Incoming;
use hyper::header::HeaderValue;
use hyper::{HeaderMap, Request};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use store::{Outcome, Store};
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::time::{Instant, timeout_at};

pub use control::{CallKind, Faults};

/// Settings of the stand-in.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// Delay until a change of the host list is visible.
    pub hosts_lag: Duration,
    /// Maximum writes and deletions per second; calls beyond get status 429.
    pub writes_per_s: u32,
    /// Maximum reads, lists, watches and host lists per second; calls beyond get status 429.
    pub reads_per_s: u32,
    /// Maximum time that a watch waits for a change.
    pub watch_wait_max: Duration,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            hosts_lag: Duration::from_millis(500),
            writes_per_s: 400,
            reads_per_s: 2_000,
            watch_wait_max: Duration::from_millis(60_000),
        }
    }
}

/// The simulated platform.
struct Platform {
    settings: Settings,
    store: Mutex<Store>,
    /// Copy of the store that is restored on request.
    copy: Mutex<Store>,
    /// Times that the store was restored; stated in each response.
    epoch: AtomicU64,
    control: Mutex<Control>,
    /// Newest version; wakes waiting watches.
    newest_version: watch::Sender<u64>,
    /// The `down` fault; while set, calls are cut.
    down: watch::Sender<bool>,
}

/// Serves the stand-in.
pub async fn serve(listener: TcpListener, settings: Settings) {
    let platform = Arc::new(Platform {
        settings,
        store: Mutex::default(),
        copy: Mutex::default(),
        epoch: AtomicU64::new(0),
        control: Mutex::new(Control::new(&settings)),
        newest_version: watch::Sender::new(0),
        down: watch::Sender::new(false),
    });
    http::serve(listener, move |request| Arc::clone(&platform).handle(request)).await;
}

/// Locks a mutex, also if a holder panicked.
fn locked<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Platform {
    /// Answers a control page at once. Admits, delays and executes any other call, and cuts it if
    /// the platform is down or goes down meanwhile.
    async fn handle(self: Arc<Platform>, request: Request<Incoming>) -> Reply {
        let (head, body) = request.into_parts();
        let target = head.uri.path().to_owned();
        let method = head.method.as_str();
        if let Some(page) = target.strip_prefix("/control/") {
            return self.control_page(method, page, &http::read_body(body).await?);
        }
        let call = CallKind::from_request(method, &target)
            .ok_or_else(|| http::unknown_call(method, &target))?;
        locked(&self.control).admit(call, method, &target)?;
        let answering = async {
            let body = http::read_body(body).await?;
            self.sleep_half_delay().await;
            let reply = self.dispatch(call, &target, head.uri.query(), &head.headers, &body).await;
            self.sleep_half_delay().await;
            reply
        };
        let mut down_receiver = self.down.subscribe();
        tokio::select! {
            biased;
            _ = down_receiver.wait_for(|is_down| *is_down) => Err(Failure::Cut),
            reply = answering => self.state_epoch(reply),
        }
    }

    /// Adds the epoch to a response, also to one that tells of an error.
    fn state_epoch(&self, reply: Reply) -> Reply {
        let epoch = HeaderValue::from(self.epoch.load(Ordering::Relaxed));
        let mut response = http::into_response(reply).map_err(|http::Cut| Failure::Cut)?;
        response.headers_mut().insert(EPOCH_HEADER, epoch);
        Ok(response)
    }

    /// Replaces the store by the copy, and so loses all writes since the copy was made.
    fn restore(&self) {
        let copy = locked(&self.copy).clone();
        let version = copy.version();
        *locked(&self.store) = copy;
        self.epoch.fetch_add(1, Ordering::Relaxed);
        self.newest_version.send_replace(version);
    }

    /// Sleeps for half of the injected delay. Each call sleeps twice: before it takes effect and
    /// after that.
    async fn sleep_half_delay(&self) {
        let delay = locked(&self.control).faults.delay_ms;
        if delay > 0 {
            tokio::time::sleep(Duration::from_millis(delay) / 2).await;
        }
    }

    /// Executes an admitted call.
    async fn dispatch(
        &self,
        call: CallKind,
        target: &str,
        query: Option<&str>,
        headers: &HeaderMap,
        body: &Bytes,
    ) -> Reply {
        let (kind, name) = kind_and_name(target);
        match call {
            CallKind::Read => self.read(kind, name),
            CallKind::List => http::json(&locked(&self.store).list(kind, self.staleness())),
            CallKind::Write => self.write(kind, name, headers, Some(body)),
            CallKind::Delete => self.write(kind, name, headers, None),
            CallKind::Watch => self.watch(kind, query).await,
            CallKind::Hosts => http::json(&locked(&self.store).hosts(self.settings.hosts_lag)),
        }
    }

    /// Returns the injected age of reads and lists.
    fn staleness(&self) -> Duration {
        Duration::from_millis(locked(&self.control).faults.stale_ms)
    }

    /// Returns an object, or status 404.
    fn read(&self, kind: &str, name: &str) -> Reply {
        let object = locked(&self.store).read(kind, name, self.staleness());
        http::json(&object.ok_or_else(|| failure(404, name, "no such object"))?)
    }

    /// Writes an object, or deletes it if `value` is `None`. Status 409 with the current version if
    /// the `if-match` header names another one.
    fn write(&self, kind: &str, name: &str, headers: &HeaderMap, value: Option<&Bytes>) -> Reply {
        let expected_version = expected_version(headers)?;
        let value = value.map(|body| parse_value(body)).transpose()?;
        let outcome = locked(&self.store).write(kind, name, expected_version, value);
        match outcome {
            Outcome::Written(version) => {
                self.newest_version.send_replace(version);
                locked(&self.control).lose_answer()?;
                http::json(&Written { version })
            }
            Outcome::Conflict(version) => {
                locked(&self.control).counts.conflict += 1;
                let conflict = serde_json::to_vec(&Conflict { version });
                Ok(http::response(409, conflict.unwrap_or_default()))
            }
            Outcome::Missing => Err(failure(404, name, "no such object")),
        }
    }

    /// Waits for changes of a kind after the version in the query and returns them; returns an
    /// empty list when the wait ends. Status 410 if deletions after that version are no longer
    /// held.
    async fn watch(&self, kind: &str, query: Option<&str>) -> Reply {
        let after_version = http::query_number(query, "after", 0)?;
        let wait = Duration::from_millis(http::query_number(query, "wait_ms", 0)?);
        let wait_until = Instant::now() + wait.min(self.settings.watch_wait_max);
        let mut newest_version = self.newest_version.subscribe();
        loop {
            newest_version.borrow_and_update();
            let list = locked(&self.store).changes(kind, after_version);
            let list = list.ok_or_else(|| failure(410, "query after", "changes are forgotten"))?;
            if !list.objects.is_empty()
                || timeout_at(wait_until, newest_version.changed()).await.is_err()
            {
                return http::json(&list);
            }
        }
    }

    /// Reads or sets the faults, sets the host list, copies or restores the store, or returns the counters or the log of calls.
    fn control_page(&self, method: &str, page: &str, body: &Bytes) -> Reply {
        match (method, page) {
            ("POST", "faults") => {
                let mut control = locked(&self.control);
                let faults = faults::merge(&control.faults, body)?;
                control.faults = faults;
                self.down.send_replace(faults.down);
                http::json(&faults)
            }
            ("POST", "hosts") => {
                let list: host::List = http::parse(body)?;
                locked(&self.store).set_hosts(list.clone());
                http::json(&list)
            }
            ("POST", "copy") => {
                *locked(&self.copy) = locked(&self.store).clone();
                http::json(&locked(&self.store).version())
            }
            ("POST", "restore") => {
                self.restore();
                http::json(&self.epoch.load(Ordering::Relaxed))
            }
            ("GET", "faults") => http::json(&locked(&self.control).faults),
            ("GET", "counts") => http::json(&locked(&self.control).counts),
            ("GET", "seen") => http::json(&locked(&self.control).log),
            _ => Err(http::unknown_call(method, page)),
        }
    }
}

/// Returns the kind and the name in an object's path, each empty if absent.
fn kind_and_name(target: &str) -> (&str, &str) {
    let mut parts = target.split('/').skip(3);
    (parts.next().unwrap_or_default(), parts.next().unwrap_or_default())
}

/// Returns the version in the `if-match` header, or `None` without that header.
fn expected_version(headers: &HeaderMap) -> Result<Option<u64>, Failure> {
    let Some(value) = headers.get("if-match") else { return Ok(None) };
    let version = value.to_str().ok().and_then(|text| text.trim_matches('"').parse().ok());
    version.map(Some).ok_or_else(|| failure(400, "header if-match", "not a version"))
}

/// Parses an object's value; status 413 if it is larger than [`VALUE_BYTES_MAX`].
fn parse_value(body: &[u8]) -> Result<serde_json::Value, Failure> {
    if body.len() > VALUE_BYTES_MAX {
        return Err(failure(413, "body", format!("larger than {VALUE_BYTES_MAX} bytes")));
    }
    http::parse(body)
}

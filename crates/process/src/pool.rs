//! Pool of persistent HTTP/1.1 connections to one address.
//!
//! A connection carries one call at a time and is reused only if the previous response was read to
//! its end. After a timeout or an error, no connection that was open at that time is reused, so
//! that a late response can't be taken for the response to another call. This can be switched off
//! with [`Settings::discard_all_on_error`]. To this end connections belong to epochs: an error begins a
//! new epoch, and a connection of an older one is closed at the end of its call.

use crate::http::{self, ConnectError, Error};
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::{HeaderMap, Request, Response};
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::task::AbortHandle;
use tokio::time::{Instant, timeout, timeout_at};

/// Settings of a pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Longest time to open a connection.
    pub connect_timeout: Duration,
    /// Longest time that a connection may be idle and still be reused. The next call closes
    /// connections that were idle for longer.
    pub idle_timeout: Duration,
    /// Largest number of idle connections that are kept.
    pub idle_max: usize,
    /// Time without a response from the peer's system after which this system closes a connection.
    /// `None` leaves this time to the system's defaults.
    pub peer_timeout: Option<Duration>,
    /// Largest number of open connections, in use or idle.
    pub open_max: usize,
    /// Longest time that a call waits while `open_max` connections are in use.
    pub acquire_timeout: Duration,
    /// Whether a failed call discards all connections that are open at that time.
    pub discard_all_on_error: bool,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            connect_timeout: Duration::from_millis(1_000),
            idle_timeout: Duration::from_millis(5_000),
            idle_max: 64,
            peer_timeout: None,
            open_max: OPEN_MAX,
            acquire_timeout: Duration::from_millis(150),
            discard_all_on_error: true,
        }
    }
}

impl Settings {
    /// Returns the same settings, but with a new connection for each call. If a server or an
    /// intermediary responds to a call twice, no other call can then get the second response.
    pub fn without_reuse(self) -> Settings {
        Settings { idle_max: 0, ..self }
    }
}

/// Which connections a call may be sent on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Reuse {
    /// An idle connection, or a new one if there is none.
    #[default]
    Allowed,
    /// Only a new connection, which carried no call but a probe.
    Forbidden,
}

/// Checks that the process behind an address is the intended one: a call that is made on each new connection before any
/// other. Other connections say nothing about it: they may lead to a process that has ended, and are seen to be closed
/// one after the other, or not at all.
pub struct Probe {
    /// Builds the call.
    pub request: Box<dyn Fn() -> Result<Request<Full<Bytes>>, Error> + Send + Sync>,
    /// Returns `false` if the body of a successful response shows that another process has the address.
    pub accepts: Box<dyn Fn(&Bytes) -> bool + Send + Sync>,
}

struct Connection {
    sender: http::Sender,
    /// Task that drives the connection.
    task: AbortHandle,
    last_used: Instant,
    /// Longest time that the connection may stay idle.
    idle_timeout: Duration,
    /// Whether a call was sent on the connection before, a probe included.
    is_used: bool,
}

impl Connection {
    /// Lowers the idle timeout to the one that the server announces, with a margin.
    fn apply_keep_alive(&mut self, headers: &HeaderMap) {
        if let Some(timeout) = keep_alive_timeout(headers) {
            self.idle_timeout = self.idle_timeout.min(timeout.saturating_sub(KEEP_ALIVE_MARGIN));
        }
    }
}

/// Largest body of the response to a [`Probe`], in bytes.
const PROBE_BYTES_MAX: usize = 64 << 10;
/// Default of [`Settings::open_max`].
pub const OPEN_MAX: usize = 1 << 16;
/// How much earlier than the server the client closes an idle connection, so that no call is sent
/// while the server closes it.
const KEEP_ALIVE_MARGIN: Duration = Duration::from_millis(1_000);

/// Returns the time that a server keeps an idle connection, from the `timeout` option of its
/// `keep-alive` header.
fn keep_alive_timeout(headers: &HeaderMap) -> Option<Duration> {
    let text = headers.get("keep-alive")?.to_str().ok()?;
    let options = text.split(',').filter_map(|option| option.trim().split_once('='));
    let mut timeouts = options.filter(|(name, _)| name.eq_ignore_ascii_case("timeout"));
    timeouts.next()?.1.trim().parse().ok().map(Duration::from_secs)
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

#[derive(Default)]
struct Idle {
    connections: VecDeque<Connection>,
    /// Incremented when the open connections are discarded. A connection that was in use then
    /// belongs to an older epoch and isn't put back into the pool.
    epoch: u64,
}

struct Shared {
    address: SocketAddr,
    settings: Settings,
    idle: Mutex<Idle>,
    opened: AtomicU64,
    /// One permit per call. A connection is opened only if none is idle, so at most as many
    /// connections are open as there were concurrent calls.
    permits: Arc<Semaphore>,
    /// Total number of permits, in use or not.
    open_max: Mutex<usize>,
    probe: Option<Arc<Probe>>,
}

/// Pool of connections to one address. Clones share the connections.
#[derive(Clone)]
pub struct Pool(Arc<Shared>);

/// Body of a response, with the connection from which it is read.
pub struct Stream {
    body: Incoming,
    connection: Option<Connection>,
    epoch: u64,
    pool: Pool,
    permit: Option<OwnedSemaphorePermit>,
    is_first: bool,
}

impl Pool {
    /// Creates a pool without connections. They are opened as calls need them.
    pub fn new(address: SocketAddr, settings: Settings) -> Pool {
        Pool::with_probe(address, settings, None)
    }

    /// Creates a pool as [`Pool::new`] does, which checks the process behind the address.
    pub fn with_probe(address: SocketAddr, settings: Settings, probe: Option<Probe>) -> Pool {
        Pool::create(address, settings, probe.map(Arc::new))
    }

    /// Returns a pool that has connections of its own to the same process, a new one for each call; see
    /// [`Settings::without_reuse`].
    pub fn without_reuse(&self) -> Pool {
        let Shared { address, settings, probe, .. } = &*self.0;
        Pool::create(*address, settings.without_reuse(), probe.clone())
    }

    fn create(address: SocketAddr, settings: Settings, probe: Option<Arc<Probe>>) -> Pool {
        Pool(Arc::new(Shared {
            address,
            settings,
            idle: Mutex::default(),
            opened: AtomicU64::new(0),
            permits: Arc::new(Semaphore::new(settings.open_max)),
            open_max: Mutex::new(settings.open_max),
            probe,
        }))
    }

    /// Returns the number of connections opened since the pool was created.
    pub fn opened(&self) -> u64 {
        self.0.opened.load(Ordering::Relaxed)
    }

    /// Returns the address that the pool connects to.
    pub fn address(&self) -> SocketAddr {
        self.0.address
    }

    /// Changes how many connections may be open. Calls in flight over the new limit aren't
    /// interrupted.
    pub fn set_open_max(&self, open_max: usize) {
        let mut permit_count = lock(&self.0.open_max);
        match open_max.checked_sub(*permit_count) {
            Some(added) => {
                self.0.permits.add_permits(added);
                *permit_count = open_max;
            }
            // Permits in use can't be removed now. They stay counted, so that the next change
            // considers them.
            None => *permit_count -= self.0.permits.forget_permits(*permit_count - open_max),
        }
    }

    /// Waits for a permit, until `deadline` and for at most [`Settings::acquire_timeout`].
    async fn acquire(&self, deadline: Instant) -> Result<OwnedSemaphorePermit, Error> {
        let acquire_until = deadline.min(Instant::now() + self.0.settings.acquire_timeout);
        let permit = timeout_at(acquire_until, self.0.permits.clone().acquire_owned()).await;
        let pool_exhausted = Error::Connect(self.0.address, ConnectError::PoolExhausted);
        permit.map_err(|_| pool_exhausted.clone())?.map_err(|_| pool_exhausted)
    }

    /// Makes one call and returns the response once its head has arrived, within `call_timeout`. The body
    /// is then read from the [`Stream`], without a time limit.
    ///
    /// # Errors
    ///
    /// [`Error::Connect`] or [`Error::Request`] if nothing was sent; with any other error,
    /// something may have been sent.
    pub async fn call_streaming(
        &self,
        request: Request<Full<Bytes>>,
        call_timeout: Duration,
    ) -> Result<Response<Stream>, Error> {
        self.call_streaming_observed(request, Reuse::Allowed, call_timeout, &|| {}).await
    }

    /// Makes one call as [`Pool::call_streaming`] does, on a connection that `reuse` allows. Calls `on_send` when there is a
    /// connection and the request is about to be sent on it.
    ///
    /// # Errors
    ///
    /// As [`Pool::call_streaming`].
    pub async fn call_streaming_observed(
        &self,
        request: Request<Full<Bytes>>,
        reuse: Reuse,
        call_timeout: Duration,
        on_send: &(dyn Fn() + Send + Sync),
    ) -> Result<Response<Stream>, Error> {
        let deadline = Instant::now() + call_timeout;
        let permit = Some(self.acquire(deadline).await?);
        let epoch = self.epoch();
        let outcome = timeout_at(deadline, self.send(request, reuse, deadline, on_send)).await;
        let outcome = outcome.unwrap_or(Err(Error::Timeout(millis(call_timeout))));
        let (response, mut connection) = outcome.inspect_err(|_| self.discard_connections())?;
        let (head, body) = response.into_parts();
        let is_first = !std::mem::replace(&mut connection.is_used, true);
        connection.apply_keep_alive(&head.headers);
        let (connection, pool) = (Some(connection), self.clone());
        let stream = Stream { body, connection, epoch, pool, permit, is_first };
        Ok(Response::from_parts(head, stream))
    }

    /// Makes one call within `call_timeout` and reads the response with a body of at most
    /// `body_bytes_max` bytes.
    ///
    /// # Errors
    ///
    /// As [`Pool::call_streaming`], and [`Error::TooLarge`].
    pub async fn call(
        &self,
        request: Request<Full<Bytes>>,
        call_timeout: Duration,
        body_bytes_max: usize,
    ) -> Result<Response<Bytes>, Error> {
        let deadline = Instant::now() + call_timeout;
        let (head, mut stream) = self.call_streaming(request, call_timeout).await?.into_parts();
        let body = match timeout_at(deadline, stream.read(body_bytes_max)).await {
            Ok(body) => body?,
            Err(_) => {
                self.discard_connections();
                return Err(Error::Timeout(millis(call_timeout)));
            }
        };
        Ok(Response::from_parts(head, body))
    }

    /// Makes an idempotent call as [`Pool::call`] does, and repeats it once within the same
    /// timeout if its connection breaks. This happens, for example, if the server closes an idle connection
    /// at the moment when the call is sent.
    ///
    /// # Errors
    ///
    /// As [`Pool::call`].
    pub async fn call_idempotent(
        &self,
        request: Request<Full<Bytes>>,
        call_timeout: Duration,
        body_bytes_max: usize,
    ) -> Result<Response<Bytes>, Error> {
        let deadline = Instant::now() + call_timeout;
        match self.call(request.clone(), call_timeout, body_bytes_max).await {
            Err(Error::Broken(_) | Error::Unresponsive(_)) => {
                let remaining = deadline.saturating_duration_since(Instant::now());
                self.call(request, remaining, body_bytes_max).await
            }
            outcome => outcome,
        }
    }

    /// Sends a request on an idle connection, or on a new one if there is none or the idle ones
    /// were closed before anything was sent. If `reuse` forbids idle connections, a new one takes the place of one of
    /// them, so that no more connections are open than calls allow.
    async fn send(
        &self,
        request: Request<Full<Bytes>>,
        reuse: Reuse,
        deadline: Instant,
        on_send: &(dyn Fn() + Send + Sync),
    ) -> Result<(Response<Incoming>, Connection), Error> {
        let mut request = request;
        while let Some(connection) = self.take_idle() {
            if reuse == Reuse::Forbidden {
                break;
            }
            on_send();
            match attempt(connection, request).await? {
                Attempt::Answered(response, connection) => return Ok((response, connection)),
                Attempt::Unsent(unsent, _) => request = unsent,
            }
        }
        let connection = self.connect(deadline).await?;
        on_send();
        match attempt(connection, request).await? {
            Attempt::Answered(response, connection) => Ok((response, connection)),
            Attempt::Unsent(_, error) => {
                Err(Error::Connect(self.0.address, ConnectError::Other(error)))
            }
        }
    }

    /// Opens a connection and checks the process that it leads to, within the connect timeout and before nine tenths of the
    /// time until `deadline` have passed.
    async fn connect(&self, deadline: Instant) -> Result<Connection, Error> {
        // Times out shortly before the call does, so that a slow connect is reported as not sent.
        let remaining = deadline.saturating_duration_since(Instant::now()).mul_f64(0.9);
        let connect_timeout = self.0.settings.connect_timeout.min(remaining);
        let mut connection = self.open(connect_timeout).await?;
        let Some(probe) = &self.0.probe else { return Ok(connection) };
        let timed_out =
            || Error::Connect(self.0.address, ConnectError::Other("probe timed out".into()));
        let probed = async {
            self.probe(probe, &mut connection).await?;
            if connection.sender.ready().await.is_err() {
                // The server closed the connection with its answer. Processes follow each other at an address, so one that
                // answers later is also the one that an earlier connection leads to.
                connection = self.open(connect_timeout).await?;
                let mut later = self.open(connect_timeout).await?;
                self.probe(probe, &mut later).await?;
            }
            Ok(connection)
        };
        timeout(connect_timeout, probed).await.unwrap_or_else(|_| Err(timed_out()))
    }

    /// Opens a connection without a check of the process behind the address.
    async fn open(&self, connect_timeout: Duration) -> Result<Connection, Error> {
        let settings = &self.0.settings;
        let (sender, connection) =
            http::connect(self.0.address, connect_timeout, settings.peer_timeout).await?;
        self.0.opened.fetch_add(1, Ordering::Relaxed);
        let address = self.0.address;
        let task = tokio::spawn(async move {
            if let Err(error) = connection.await
                && http::is_unexpected_message(&error)
            {
                tracing::warn!(%address, "connection closed after bytes that no call waited for");
            }
        });
        let task = task.abort_handle();
        Ok(Connection {
            sender,
            task,
            last_used: Instant::now(),
            idle_timeout: settings.idle_timeout,
            is_used: false,
        })
    }

    /// Returns whether the next call, on a connection that `reuse` allows, begins with a probe: it needs a new connection.
    pub fn needs_probe(&self, reuse: Reuse) -> bool {
        let needs_connection = || lock(&self.0.idle).connections.is_empty();
        self.0.probe.is_some() && (reuse == Reuse::Forbidden || needs_connection())
    }

    /// Makes the call of a probe on a new connection.
    ///
    /// # Errors
    ///
    /// [`Error::Connect`] if the call fails, with [`ConnectError::WrongProcess`] if another process than the intended one
    /// responds.
    async fn probe(&self, probe: &Probe, connection: &mut Connection) -> Result<(), Error> {
        let failed = |error: String| Error::Connect(self.0.address, ConnectError::Other(error));
        let request = (probe.request)()?;
        connection.is_used = true;
        let response = connection.sender.send_request(request).await;
        let (head, body) = response.map_err(|error| failed(error.to_string()))?.into_parts();
        let body = http::read_body(body, PROBE_BYTES_MAX).await;
        let body = body.map_err(|error| failed(error.to_string()))?;
        if !head.status.is_success() {
            return Err(failed(format!("probe answered with status {}", head.status)));
        }
        match (probe.accepts)(&body) {
            true => Ok(()),
            false => Err(Error::Connect(self.0.address, ConnectError::WrongProcess)),
        }
    }

    /// Drops idle connections that are closed or timed out, and removes and returns the one of the others
    /// that was idle longest.
    fn take_idle(&self) -> Option<Connection> {
        let mut idle = lock(&self.0.idle);
        idle.connections.retain(|connection| {
            connection.last_used.elapsed() < connection.idle_timeout
                && !connection.sender.is_closed()
        });
        // The connection that was idle longest is used first, since an unexpected second response on it
        // has had time to arrive and be detected.
        idle.connections.pop_front()
    }

    /// Puts a connection that is no longer in use back into the pool. Closes it instead if the connections
    /// of its epoch were discarded or there are enough idle ones.
    fn put_idle(&self, mut connection: Connection, epoch: u64) {
        connection.last_used = Instant::now();
        let mut idle = lock(&self.0.idle);
        let is_reusable = idle.epoch == epoch && !connection.sender.is_closed();
        if is_reusable && idle.connections.len() < self.0.settings.idle_max {
            idle.connections.push_back(connection);
        }
    }

    /// Returns the current epoch; see [`Idle::epoch`].
    fn epoch(&self) -> u64 {
        lock(&self.0.idle).epoch
    }

    /// Closes the idle connections now, and those in use when their calls end, if
    /// [`Settings::discard_all_on_error`] is set.
    fn discard_connections(&self) {
        if !self.0.settings.discard_all_on_error {
            return;
        }
        let mut idle = lock(&self.0.idle);
        idle.epoch += 1;
        idle.connections.clear();
    }
}

impl Stream {
    /// Returns whether the call was the first one on its connection, so that the response can't be a copy of the response to
    /// an earlier one.
    pub fn is_first(&self) -> bool {
        self.is_first
    }

    /// Reads the next bytes. Returns `None` at the end of the body.
    ///
    /// # Errors
    ///
    /// [`Error::Broken`] or [`Error::Unresponsive`] if the connection fails before the end of the body.
    pub async fn chunk(&mut self) -> Result<Option<Bytes>, Error> {
        loop {
            match self.body.frame().await {
                None => {
                    self.finish().await;
                    return Ok(None);
                }
                Some(Ok(frame)) => {
                    if let Ok(bytes) = frame.into_data() {
                        return Ok(Some(bytes));
                    }
                }
                Some(Err(error)) => {
                    self.discard();
                    return Err(http::connection_error(&error));
                }
            }
        }
    }

    /// Reads the rest of the body, of at most `body_bytes_max` bytes.
    ///
    /// # Errors
    ///
    /// [`Error::TooLarge`], [`Error::Broken`] or [`Error::Unresponsive`].
    pub async fn read(&mut self, body_bytes_max: usize) -> Result<Bytes, Error> {
        let read = http::read_body(&mut self.body, body_bytes_max).await;
        match read {
            Ok(_) => self.finish().await,
            Err(_) => self.discard(),
        }
        read
    }

    /// Closes the connection, and discards the pool's other open connections as after an error.
    pub fn discard(&mut self) {
        self.connection = None;
        self.permit = None;
        self.pool.discard_connections();
    }

    /// Puts the connection back into the pool and releases the permit.
    async fn finish(&mut self) {
        let Some(mut connection) = self.connection.take() else { return };
        if connection.sender.ready().await.is_ok() {
            self.pool.put_idle(connection, self.epoch);
        }
        self.permit = None;
    }
}

/// Outcome of sending a request on a connection.
enum Attempt {
    /// The head of the response has arrived.
    Answered(Response<Incoming>, Connection),
    /// The connection was closed before anything of the request was sent.
    Unsent(Request<Full<Bytes>>, String),
}

/// Sends a request on a connection and waits for the head of the response.
async fn attempt(
    mut connection: Connection,
    request: Request<Full<Bytes>>,
) -> Result<Attempt, Error> {
    match connection.sender.try_send_request(request).await {
        Ok(response) => Ok(Attempt::Answered(response, connection)),
        Err(mut error) => match error.take_message() {
            Some(unsent) => Ok(Attempt::Unsent(unsent, error.into_error().to_string())),
            None => Err(http::connection_error(&error.into_error())),
        },
    }
}

/// Locks a mutex, also if a holder panicked.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Returns a duration in whole milliseconds.
fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

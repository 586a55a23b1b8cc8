//! Persistent HTTP/1.1 connections to one address.
//!
//! A connection carries one call at a time and is used again only after a call whose answer was
//! read to its end. After a timeout or an error no connection that was open then is used again, so
//! that a late answer meets no other call.

use crate::http::{self, ConnectError, Error};
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::{HeaderMap, Request, Response};
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::task::AbortHandle;
use tokio::time::{Instant, timeout_at};

/// Settings of a pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Longest time to open a connection.
    pub connect_timeout: Duration,
    /// Longest time that a connection stays unused.
    pub idle_timeout: Duration,
    /// Most unused connections kept.
    pub idle_max: usize,
    /// How long a connection may be silent before it counts as broken; absent for as long as the
    /// system lets it.
    pub peer_timeout: Option<Duration>,
    /// Most connections that may be open, in use or not.
    pub open_max: usize,
    /// How long a call waits for one of these to be free.
    pub acquire_timeout: Duration,
    /// Whether a call that fails ends the trust in every connection that was open then.
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
    /// The same, but with a connection of its own for each call. A server that answers a call
    /// twice, or something between the two ends that does, can then confuse no other call.
    pub fn without_reuse(self) -> Settings {
        Settings { idle_max: 0, ..self }
    }
}

struct Connection {
    sender: http::Sender,
    task: AbortHandle,
    used: Instant,
    /// Longest time that it may stay unused.
    idle: Duration,
}

impl Connection {
    /// Takes in how long the server says that it keeps the connection.
    fn note_keep_alive(&mut self, headers: &HeaderMap) {
        if let Some(kept) = keep_alive(headers) {
            self.idle = self.idle.min(kept.saturating_sub(KEEP_ALIVE_MARGIN));
        }
    }
}

/// Connections that are open at most where nothing bounds them.
pub const OPEN_MAX: usize = 1 << 16;
/// How much sooner than a server a connection is given up, so that no call crosses its end.
const KEEP_ALIVE_MARGIN: Duration = Duration::from_millis(1_000);

/// The time for which a server says that it keeps an unused connection.
fn keep_alive(headers: &HeaderMap) -> Option<Duration> {
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
    /// Grows when the open connections become suspect; those of an older epoch aren't kept.
    epoch: u64,
}

struct Shared {
    address: SocketAddr,
    settings: Settings,
    idle: Mutex<Idle>,
    opened: AtomicU64,
    /// A permit for each call; a connection is opened only where none is unused, so that as many are
    /// open as calls were made at once.
    calls: Arc<Semaphore>,
    /// Permits that there are.
    open_max: Mutex<usize>,
}

/// Connections to one address; cheap to clone.
#[derive(Clone)]
pub struct Pool(Arc<Shared>);

/// The body of an answer, with the connection that it comes on.
pub struct Stream {
    body: Incoming,
    connection: Option<Connection>,
    epoch: u64,
    pool: Pool,
    permit: Option<OwnedSemaphorePermit>,
}

impl Pool {
    /// A pool without connections; they are opened as calls need them.
    pub fn new(address: SocketAddr, settings: Settings) -> Pool {
        Pool(Arc::new(Shared {
            address,
            settings,
            idle: Mutex::default(),
            opened: AtomicU64::new(0),
            calls: Arc::new(Semaphore::new(settings.open_max)),
            open_max: Mutex::new(settings.open_max),
        }))
    }

    /// Connections opened since the pool was made.
    pub fn opened(&self) -> u64 {
        self.0.opened.load(Ordering::Relaxed)
    }

    /// The address called.
    pub fn address(&self) -> SocketAddr {
        self.0.address
    }

    /// Changes how many connections may be open; those in use beyond it end by themselves.
    pub fn set_open_max(&self, most: usize) {
        let mut permits = self.0.open_max.lock().unwrap_or_else(PoisonError::into_inner);
        match most.checked_sub(*permits) {
            Some(more) => {
                self.0.calls.add_permits(more);
                *permits = most;
            }
            // Those in use can't be taken back now; the next change sees them.
            None => *permits -= self.0.calls.forget_permits(*permits - most),
        }
    }

    async fn permit(&self, end: Instant) -> Result<OwnedSemaphorePermit, Error> {
        let until = end.min(Instant::now() + self.0.settings.acquire_timeout);
        let permit = timeout_at(until, self.0.calls.clone().acquire_owned()).await;
        let crowded = Error::Connect(self.0.address, ConnectError::PoolExhausted);
        permit.map_err(|_| crowded.clone())?.map_err(|_| crowded)
    }

    /// Makes one call and returns the answer's head with its body still open.
    ///
    /// # Errors
    ///
    /// [`Error::Connect`] or [`Error::Request`] when nothing was sent; any other when something
    /// may have been.
    pub async fn call_streaming(
        &self,
        request: Request<Full<Bytes>>,
        limit: Duration,
    ) -> Result<Response<Stream>, Error> {
        let end = Instant::now() + limit;
        let permit = Some(self.permit(end).await?);
        let epoch = self.epoch();
        let answer = timeout_at(end, self.send(request, end)).await;
        let answer = answer.unwrap_or(Err(Error::Timeout(millis(limit))));
        let (response, mut connection) = answer.inspect_err(|_| self.discard_connections())?;
        let (head, body) = response.into_parts();
        connection.note_keep_alive(&head.headers);
        let (connection, pool) = (Some(connection), self.clone());
        let stream = Stream { body, connection, epoch, pool, permit };
        Ok(Response::from_parts(head, stream))
    }

    /// Makes one call and reads the whole answer, of at most `bytes` bytes.
    ///
    /// # Errors
    ///
    /// As [`Pool::call_streaming`], and [`Error::TooLarge`].
    pub async fn call(
        &self,
        request: Request<Full<Bytes>>,
        limit: Duration,
        bytes: usize,
    ) -> Result<Response<Bytes>, Error> {
        let end = Instant::now() + limit;
        let (head, mut stream) = self.call_streaming(request, limit).await?.into_parts();
        let body = match timeout_at(end, stream.read(bytes)).await {
            Ok(body) => body?,
            Err(_) => {
                self.discard_connections();
                return Err(Error::Timeout(millis(limit)));
            }
        };
        Ok(Response::from_parts(head, body))
    }

    /// As [`Pool::call`], for a call that may run twice: when its connection breaks, as one does
    /// that the other end closes for disuse in just that moment, it is made once more within the
    /// same limit.
    ///
    /// # Errors
    ///
    /// As [`Pool::call`].
    pub async fn call_idempotent(
        &self,
        request: Request<Full<Bytes>>,
        limit: Duration,
        bytes: usize,
    ) -> Result<Response<Bytes>, Error> {
        let end = Instant::now() + limit;
        match self.call(request.clone(), limit, bytes).await {
            Err(Error::Broken(_)) => {
                let left = end.saturating_duration_since(Instant::now());
                self.call(request, left, bytes).await
            }
            outcome => outcome,
        }
    }

    async fn send(
        &self,
        request: Request<Full<Bytes>>,
        end: Instant,
    ) -> Result<(Response<Incoming>, Connection), Error> {
        let mut request = request;
        while let Some(connection) = self.take() {
            match attempt(connection, request).await? {
                Attempt::Answered(response, connection) => return Ok((response, connection)),
                Attempt::Unsent(unsent, _) => request = unsent,
            }
        }
        match attempt(self.connect(end).await?, request).await? {
            Attempt::Answered(response, connection) => Ok((response, connection)),
            Attempt::Unsent(_, error) => {
                Err(Error::Connect(self.0.address, ConnectError::Other(error)))
            }
        }
    }

    async fn connect(&self, end: Instant) -> Result<Connection, Error> {
        // Ends just before the call does, so that a slow opening is known as not sent.
        let left = end.saturating_duration_since(Instant::now()).mul_f64(0.9);
        let limit = self.0.settings.connect_timeout.min(left);
        let settings = &self.0.settings;
        let (sender, connection) =
            http::connect(self.0.address, limit, settings.peer_timeout).await?;
        self.0.opened.fetch_add(1, Ordering::Relaxed);
        let task = tokio::spawn(async move { drop(connection.await) }).abort_handle();
        Ok(Connection { sender, task, used: Instant::now(), idle: settings.idle_timeout })
    }

    fn take(&self) -> Option<Connection> {
        let mut idle = self.0.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.connections.retain(|kept| kept.used.elapsed() < kept.idle && !kept.sender.is_closed());
        // The one that was unused for longest: a second answer has had time to show.
        idle.connections.pop_front()
    }

    fn keep(&self, mut connection: Connection, epoch: u64) {
        connection.used = Instant::now();
        let mut idle = self.0.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let trusted = idle.epoch == epoch && !connection.sender.is_closed();
        if trusted && idle.connections.len() < self.0.settings.idle_max {
            idle.connections.push_back(connection);
        }
    }

    fn epoch(&self) -> u64 {
        self.0.idle.lock().unwrap_or_else(PoisonError::into_inner).epoch
    }

    /// Closes the unused connections, and those in use once their calls end.
    fn discard_connections(&self) {
        if !self.0.settings.discard_all_on_error {
            return;
        }
        let mut idle = self.0.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.epoch += 1;
        idle.connections.clear();
    }
}

impl Stream {
    /// The next bytes, or `None` at the end of the body.
    ///
    /// # Errors
    ///
    /// [`Error::Broken`] when the connection broke before the body's end.
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
                    return Err(Error::Broken(error.to_string()));
                }
            }
        }
    }

    /// Reads the rest of the body, of at most `limit` bytes.
    ///
    /// # Errors
    ///
    /// [`Error::TooLarge`] or [`Error::Broken`].
    pub async fn read(&mut self, limit: usize) -> Result<Bytes, Error> {
        let read = http::read_body(&mut self.body, limit).await;
        match read {
            Ok(_) => self.finish().await,
            Err(_) => self.discard(),
        }
        read
    }

    /// Closes the connection, and lets no other that is open now be used again.
    pub fn discard(&mut self) {
        self.connection = None;
        self.permit = None;
        self.pool.discard_connections();
    }

    async fn finish(&mut self) {
        let Some(mut connection) = self.connection.take() else { return };
        if connection.sender.ready().await.is_ok() {
            self.pool.keep(connection, self.epoch);
        }
        self.permit = None;
    }
}

enum Attempt {
    Answered(Response<Incoming>, Connection),
    /// The connection was closed before anything of the request was sent.
    Unsent(Request<Full<Bytes>>, String),
}

async fn attempt(
    mut connection: Connection,
    request: Request<Full<Bytes>>,
) -> Result<Attempt, Error> {
    match connection.sender.try_send_request(request).await {
        Ok(response) => Ok(Attempt::Answered(response, connection)),
        Err(mut error) => match error.take_message() {
            Some(unsent) => Ok(Attempt::Unsent(unsent, error.into_error().to_string())),
            None => Err(Error::Broken(error.into_error().to_string())),
        },
    }
}

fn millis(limit: Duration) -> u64 {
    u64::try_from(limit.as_millis()).unwrap_or(u64::MAX)
}

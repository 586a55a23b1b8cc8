//! HTTP client for one engine.
//!
//! An order changes the engine's state and is sent once, on a new connection. A query only reads the
//! state, uses shared connections, and is repeated once if its connection breaks.

mod stream;

use crate::error::Error;
use crate::order::{
    Cancel, Decode, Events, Holds, Import, Imported, Load, Order, Prefill, Prefilled, Resume,
};
use bytes::Bytes;
use chestnutrack_process::http;
use chestnutrack_process::pool::{self, Pool};
use hyper::Response;
use prometheus::{IntCounterVec, Opts, Registry};
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::timeout;

pub use stream::Stream;

/// Longest part of a refusal's body that is kept in the error, in bytes.
const ERROR_TEXT_BYTES_MAX: usize = 200;

/// Timeouts and size limits of a client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Settings of the connection pool.
    pub pool: pool::Settings,
    /// Longest time for a prefill, including its wait in the engine.
    pub prefill_timeout: Duration,
    /// Longest time for the import of a KV cache from another engine.
    pub import_timeout: Duration,
    /// Longest time until the response head of a stream arrives.
    pub stream_open_timeout: Duration,
    /// Longest time without data within a stream.
    pub stream_idle_timeout: Duration,
    /// Longest time for a cancellation.
    pub cancel_timeout: Duration,
    /// Longest time for [`Client::order`], which changes the model or role that the engine serves. The
    /// other orders have their own timeouts.
    pub order_timeout: Duration,
    /// Longest time for a query of holds, load or events.
    pub query_timeout: Duration,
    /// Largest response body that is not streamed, in bytes.
    pub response_bytes_max: usize,
    /// Largest line of a stream, in bytes.
    pub line_bytes_max: usize,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            pool: pool::Settings::default(),
            prefill_timeout: Duration::from_millis(10_000),
            import_timeout: Duration::from_millis(2_000),
            stream_open_timeout: Duration::from_millis(2_000),
            stream_idle_timeout: Duration::from_millis(2_000),
            cancel_timeout: Duration::from_millis(500),
            order_timeout: Duration::from_millis(60_000),
            query_timeout: Duration::from_millis(500),
            response_bytes_max: 4 << 20,
            line_bytes_max: 64 << 10,
        }
    }
}

/// A client of one engine; cheap to clone.
#[derive(Clone)]
pub struct Client {
    /// Shared connections for queries.
    query_pool: Pool,
    /// Opens a new connection for each order.
    order_pool: Pool,
    settings: Settings,
    /// Counts calls, by call.
    calls: IntCounterVec,
    /// Counts calls that failed or were refused, by call and error.
    errors: IntCounterVec,
}

impl Client {
    /// Creates a client for the engine at an address. Registers its counters if a registry is given.
    pub fn new(address: SocketAddr, settings: Settings, registry: Option<&Registry>) -> Client {
        let calls_name = "chestnutrack_engine_calls_total";
        let calls = counter_vec(registry, calls_name, "Calls to the engine.", &["call"]);
        let errors_name = "chestnutrack_engine_errors_total";
        let help = "Calls to the engine that failed or were refused.";
        let errors = counter_vec(registry, errors_name, help, &["call", "error"]);
        Client {
            query_pool: Pool::new(address, settings.pool),
            order_pool: Pool::new(address, settings.pool.without_reuse()),
            settings,
            calls,
            errors,
        }
    }

    /// Returns a client that shares this client's connections and counters but uses other timeouts and
    /// size limits.
    pub fn with_settings(&self, settings: Settings) -> Client {
        Client { settings, ..self.clone() }
    }

    /// Returns the engine's address.
    pub fn address(&self) -> SocketAddr {
        self.query_pool.address()
    }

    /// Returns the number of calls made so far with this last path segment, such as `prefill`.
    pub fn call_count(&self, call: &str) -> u64 {
        self.calls.with_label_values(&[call]).get()
    }

    /// Computes a prompt's KV cache.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Full`] if the engine has no memory for it.
    pub async fn prefill(&self, prefill: &Prefill) -> Result<Prefilled, Error> {
        self.post("prefill", prefill, self.settings.prefill_timeout).await
    }

    /// Imports a KV cache from another engine into this one.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Missing`] if the other engine no longer has it, and [`Error::Full`] if this
    /// engine has no memory for it.
    pub async fn import(&self, import: &Import) -> Result<Imported, Error> {
        self.post("import", import, self.settings.import_timeout).await
    }

    /// Starts generation from an imported KV cache and streams the answer from its first token.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Missing`] if nothing was imported under the order's identifier.
    pub async fn decode(&self, decode: &Decode) -> Result<Stream, Error> {
        self.count_call("decode", self.stream("decode", decode, 0)).await
    }

    /// Streams a running answer again from an offset.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Missing`] if the request isn't running.
    pub async fn resume(&self, resume: &Resume) -> Result<Stream, Error> {
        self.count_call("resume", self.stream("resume", resume, resume.offset)).await
    }

    /// Stops a request and frees everything that it holds. Idempotent.
    ///
    /// # Errors
    ///
    /// Returns any error except [`Error::Full`] and [`Error::Missing`].
    pub async fn cancel(&self, cancel: &Cancel) -> Result<(), Error> {
        let call_timeout = self.settings.cancel_timeout;
        self.count_call("cancel", self.send("cancel", cancel, call_timeout)).await.map(drop)
    }

    /// Changes the model or role that the engine serves.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Fenced`] if the engine has seen a higher fencing number.
    pub async fn order(&self, order: &Order) -> Result<(), Error> {
        let call_timeout = self.settings.order_timeout;
        self.count_call("order", self.send("order", order, call_timeout)).await.map(drop)
    }

    /// Returns the memory that requests hold on the engine.
    ///
    /// # Errors
    ///
    /// Returns any error except [`Error::Full`], [`Error::Missing`] and [`Error::Fenced`].
    pub async fn holds(&self) -> Result<Holds, Error> {
        self.get("holds", "/v1/holds").await
    }

    /// Returns the engine's load as of [`Load::age_ms`] ago.
    ///
    /// # Errors
    ///
    /// As [`Client::holds`].
    pub async fn load(&self) -> Result<Load, Error> {
        self.get("load", "/v1/load").await
    }

    /// Returns the changes of the engine's prefix cache after the event with this number.
    ///
    /// # Errors
    ///
    /// As [`Client::holds`].
    pub async fn events(&self, after_number: u64) -> Result<Events, Error> {
        self.get("events", &format!("/v1/events?after={after_number}")).await
    }

    /// Makes a query and parses its response. `call` is the name in the metrics.
    async fn get<T: DeserializeOwned>(&self, call: &str, target: &str) -> Result<T, Error> {
        let query = async {
            let request = http::request("GET", target, Bytes::new())?;
            let call_timeout = self.settings.query_timeout;
            let response = self
                .query_pool
                .call_idempotent(request, call_timeout, self.settings.response_bytes_max)
                .await?;
            parse(call, &success_body(response)?)
        };
        self.count_call(call, query).await
    }

    /// Sends an order, parses its response, and counts the call.
    async fn post<T: DeserializeOwned>(
        &self,
        call: &str,
        order: &impl Serialize,
        call_timeout: Duration,
    ) -> Result<T, Error> {
        let posting = async {
            let response = self.send(call, order, call_timeout).await?;
            // The order took effect, even if the response can't be parsed.
            parse(call, &response).map_err(|error| Error::Unknown(error.to_string()))
        };
        self.count_call(call, posting).await
    }

    /// Sends an order to the path that ends in `call` and returns the body of a response with status 200.
    async fn send(
        &self,
        call: &str,
        order: &impl Serialize,
        call_timeout: Duration,
    ) -> Result<Bytes, Error> {
        let request = http::request("POST", &format!("/v1/{call}"), encode(order)?)?;
        success_body(
            self.order_pool.call(request, call_timeout, self.settings.response_bytes_max).await?,
        )
    }

    /// Sends an order whose answer is streamed from the token at `offset`. Returns the stream once the
    /// head of the response has arrived with status 200.
    async fn stream(
        &self,
        call: &str,
        order: &impl Serialize,
        offset: u32,
    ) -> Result<Stream, Error> {
        let request = http::request("POST", &format!("/v1/{call}"), encode(order)?)?;
        let (head, mut body) = self
            .order_pool
            .call_streaming(request, self.settings.stream_open_timeout)
            .await?
            .into_parts();
        if head.status.as_u16() != 200 {
            // The status decides the error; the body only adds detail, so errors in reading it
            // are ignored.
            let text = timeout(
                self.settings.stream_open_timeout,
                body.read(self.settings.response_bytes_max),
            )
            .await;
            let text = text.ok().and_then(Result::ok).unwrap_or_default();
            return Err(error_from_status(head.status.as_u16(), &text));
        }
        Ok(Stream::new(body, offset, &self.settings))
    }

    /// Awaits a call, and counts it and its error in the metrics.
    async fn count_call<T>(
        &self,
        call: &str,
        future: impl Future<Output = Result<T, Error>>,
    ) -> Result<T, Error> {
        self.calls.with_label_values(&[call]).inc();
        let count_error =
            |error: &Error| self.errors.with_label_values(&[call, error.label()]).inc();
        future.await.inspect_err(count_error)
    }
}

/// Creates a family of counters and registers it if a registry is given.
fn counter_vec(
    registry: Option<&Registry>,
    name: &str,
    help: &str,
    labels: &[&str],
) -> IntCounterVec {
    let family = IntCounterVec::new(Opts::new(name, help), labels);
    let family = family.expect("name and labels are constant and well formed");
    if let Some(registry) = registry {
        // Registration fails for a second client of the same process; its counters are not exported.
        let _ = registry.register(Box::new(family.clone()));
    }
    family
}

/// Returns the body of a response with status 200, or the error for another status.
fn success_body(response: Response<Bytes>) -> Result<Bytes, Error> {
    match response.status().as_u16() {
        200 => Ok(response.into_body()),
        status => Err(error_from_status(status, response.body())),
    }
}

/// Maps a status other than 200 to an error. 404: the engine doesn't have the KV cache or request; 412:
/// it has seen a higher fencing number; 503: its memory is full. After 500, 502 and 504 the order may
/// have run; after all other statuses it has not.
fn error_from_status(status: u16, body: &[u8]) -> Error {
    let text = String::from_utf8_lossy(&body[..body.len().min(ERROR_TEXT_BYTES_MAX)]).into_owned();
    match status {
        404 => Error::Missing,
        412 => Error::Fenced,
        503 => Error::Full,
        // A proxy on the way may have answered after it had forwarded the order, so the order may have run.
        500 | 502 | 504 => Error::Unknown(format!("status {status}: {text}")),
        _ => Error::Refused(status, text),
    }
}

/// Encodes an order as JSON. An order that can't be encoded counts as not sent.
fn encode(order: &impl Serialize) -> Result<Vec<u8>, Error> {
    serde_json::to_vec(order).map_err(|error| Error::NotSent(error.to_string()))
}

/// Parses a JSON body. `place` names the call in the error.
fn parse<T: DeserializeOwned>(place: &str, body: &[u8]) -> Result<T, Error> {
    serde_json::from_slice(body)
        .map_err(|error| Error::Malformed(place.to_owned(), error.to_string()))
}

//! The client of one engine.

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

/// Longest text of a refusal that is kept, in bytes.
const TEXT_BYTES_MAX: usize = 200;

/// Settings of a client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Connections.
    pub pool: pool::Settings,
    /// Longest time for a prefill, with its wait in the engine.
    pub prefill: Duration,
    /// Longest time for an import.
    pub import: Duration,
    /// Longest time until a stream begins.
    pub begin: Duration,
    /// Longest silence within a stream.
    pub silence: Duration,
    /// Longest time for a cancellation.
    pub cancel: Duration,
    /// Longest time for an order that changes what the engine serves.
    pub order: Duration,
    /// Longest time for a question: holds, load, events.
    pub ask: Duration,
    /// Largest answer, in bytes.
    pub answer_bytes: usize,
    /// Largest line of a stream, in bytes.
    pub line_bytes: usize,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            pool: pool::Settings::default(),
            prefill: Duration::from_millis(10_000),
            import: Duration::from_millis(2_000),
            begin: Duration::from_millis(2_000),
            silence: Duration::from_millis(2_000),
            cancel: Duration::from_millis(500),
            order: Duration::from_millis(60_000),
            ask: Duration::from_millis(500),
            answer_bytes: 4 << 20,
            line_bytes: 64 << 10,
        }
    }
}

/// A client of one engine; cheap to clone.
#[derive(Clone)]
pub struct Client {
    /// Connections for questions.
    pool: Pool,
    /// Opens a connection for each order.
    orders: Pool,
    settings: Settings,
    calls: IntCounterVec,
    errors: IntCounterVec,
}

impl Client {
    /// A client of the engine at an address; its counters are registered where a registry is
    /// given.
    pub fn new(address: SocketAddr, settings: Settings, registry: Option<&Registry>) -> Client {
        let calls = "chestnutrack_engine_calls_total";
        let calls = family(registry, calls, "Calls to the engine.", &["call"]);
        let errors = "chestnutrack_engine_errors_total";
        let help = "Calls to the engine that failed or were refused.";
        let errors = family(registry, errors, help, &["call", "error"]);
        Client {
            pool: Pool::new(address, settings.pool),
            orders: Pool::new(address, settings.pool.without_reuse()),
            settings,
            calls,
            errors,
        }
    }

    /// The same client, with the same connections, under other settings for its calls.
    pub fn with(&self, settings: Settings) -> Client {
        Client { settings, ..self.clone() }
    }

    /// The engine's address.
    pub fn address(&self) -> SocketAddr {
        self.pool.address()
    }

    /// How many calls of a kind were made, by the last part of their path.
    pub fn calls(&self, call: &str) -> u64 {
        self.calls.with_label_values(&[call]).get()
    }

    /// Computes a prompt's KV cache.
    ///
    /// # Errors
    ///
    /// [`Error::Full`] when the engine has no memory for it.
    pub async fn prefill(&self, prefill: &Prefill) -> Result<Prefilled, Error> {
        self.post("prefill", prefill, self.settings.prefill).await
    }

    /// Moves a KV cache here from another engine.
    ///
    /// # Errors
    ///
    /// [`Error::Missing`] when it is gone there, [`Error::Full`] when there is no memory here.
    pub async fn import(&self, import: &Import) -> Result<Imported, Error> {
        self.post("import", import, self.settings.import).await
    }

    /// Starts generation from an imported KV cache and streams it from its first token.
    ///
    /// # Errors
    ///
    /// [`Error::Missing`] when nothing was imported under that name.
    pub async fn decode(&self, decode: &Decode) -> Result<Stream, Error> {
        self.counted("decode", self.stream("decode", decode, 0)).await
    }

    /// Streams a running answer again, from an offset.
    ///
    /// # Errors
    ///
    /// [`Error::Missing`] when it isn't running.
    pub async fn resume(&self, resume: &Resume) -> Result<Stream, Error> {
        self.counted("resume", self.stream("resume", resume, resume.offset)).await
    }

    /// Stops a request and frees what it holds; idempotent.
    ///
    /// # Errors
    ///
    /// Any but [`Error::Full`] and [`Error::Missing`].
    pub async fn cancel(&self, cancel: &Cancel) -> Result<(), Error> {
        let limit = self.settings.cancel;
        self.counted("cancel", self.send("cancel", cancel, limit)).await.map(drop)
    }

    /// Changes what the engine serves.
    ///
    /// # Errors
    ///
    /// [`Error::Fenced`] when the engine has seen a higher fencing number.
    pub async fn order(&self, order: &Order) -> Result<(), Error> {
        let limit = self.settings.order;
        self.counted("order", self.send("order", order, limit)).await.map(drop)
    }

    /// What the engine holds.
    ///
    /// # Errors
    ///
    /// Any but [`Error::Full`], [`Error::Missing`] and [`Error::Fenced`].
    pub async fn holds(&self) -> Result<Holds, Error> {
        self.get("holds", "/v1/holds").await
    }

    /// The engine's load, with a lag.
    ///
    /// # Errors
    ///
    /// As [`Client::holds`].
    pub async fn load(&self) -> Result<Load, Error> {
        self.get("load", "/v1/load").await
    }

    /// Changes of the engine's prefix cache after an event's number.
    ///
    /// # Errors
    ///
    /// As [`Client::holds`].
    pub async fn events(&self, after: u64) -> Result<Events, Error> {
        self.get("events", &format!("/v1/events?after={after}")).await
    }

    async fn get<T: DeserializeOwned>(&self, call: &str, target: &str) -> Result<T, Error> {
        let asking = async {
            let request = http::request("GET", target, Bytes::new())?;
            let limit = self.settings.ask;
            let answer =
                self.pool.call_idempotent(request, limit, self.settings.answer_bytes).await?;
            parse(call, &accept(answer)?)
        };
        self.counted(call, asking).await
    }

    async fn post<T: DeserializeOwned>(
        &self,
        call: &str,
        order: &impl Serialize,
        limit: Duration,
    ) -> Result<T, Error> {
        let ordering = async {
            let answer = self.send(call, order, limit).await?;
            // The order took effect, whatever its answer says.
            parse(call, &answer).map_err(|error| Error::Unknown(error.to_string()))
        };
        self.counted(call, ordering).await
    }

    async fn send(
        &self,
        call: &str,
        order: &impl Serialize,
        limit: Duration,
    ) -> Result<Bytes, Error> {
        let request = http::request("POST", &format!("/v1/{call}"), encode(order)?)?;
        accept(self.orders.call(request, limit, self.settings.answer_bytes).await?)
    }

    async fn stream(
        &self,
        call: &str,
        order: &impl Serialize,
        offset: u32,
    ) -> Result<Stream, Error> {
        let request = http::request("POST", &format!("/v1/{call}"), encode(order)?)?;
        let (head, mut body) =
            self.orders.call_streaming(request, self.settings.begin).await?.into_parts();
        if head.status.as_u16() != 200 {
            // The status says it all; its text only helps.
            let text = timeout(self.settings.begin, body.read(self.settings.answer_bytes)).await;
            let text = text.ok().and_then(Result::ok).unwrap_or_default();
            return Err(refusal(head.status.as_u16(), &text));
        }
        Ok(Stream::new(body, offset, &self.settings))
    }

    /// Makes a call, and counts it and its error.
    async fn counted<T>(
        &self,
        call: &str,
        calling: impl Future<Output = Result<T, Error>>,
    ) -> Result<T, Error> {
        self.calls.with_label_values(&[call]).inc();
        let error = |error: &Error| self.errors.with_label_values(&[call, error.word()]).inc();
        calling.await.inspect_err(error)
    }
}

fn family(registry: Option<&Registry>, name: &str, help: &str, labels: &[&str]) -> IntCounterVec {
    let family = IntCounterVec::new(Opts::new(name, help), labels);
    let family = family.expect("name and labels are constant and well formed");
    if let Some(registry) = registry {
        // A second client of the same process counts apart.
        let _ = registry.register(Box::new(family.clone()));
    }
    family
}

/// The body of an answer that says yes.
fn accept(answer: Response<Bytes>) -> Result<Bytes, Error> {
    match answer.status().as_u16() {
        200 => Ok(answer.into_body()),
        status => Err(refusal(status, answer.body())),
    }
}

fn refusal(status: u16, body: &[u8]) -> Error {
    let text = String::from_utf8_lossy(&body[..body.len().min(TEXT_BYTES_MAX)]).into_owned();
    match status {
        404 => Error::Missing,
        412 => Error::Fenced,
        503 => Error::Full,
        // Something between the two ends answered; the order may have passed it.
        500 | 502 | 504 => Error::Unknown(format!("status {status}: {text}")),
        _ => Error::Refused(status, text),
    }
}

fn encode(order: &impl Serialize) -> Result<Vec<u8>, Error> {
    serde_json::to_vec(order).map_err(|error| Error::NotSent(error.to_string()))
}

fn parse<T: DeserializeOwned>(place: &str, body: &[u8]) -> Result<T, Error> {
    serde_json::from_slice(body)
        .map_err(|error| Error::Malformed(place.to_owned(), error.to_string()))
}

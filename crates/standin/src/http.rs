//! The server side that the stand-ins share: answers, refusals with their place, and cuts.

use bytes::Bytes;
use chestnutrack_process::http::{self, Error, HEAD_BYTES_MAX};
use displaydoc::Display;
use http_body_util::BodyExt;
use http_body_util::combinators::BoxBody;
use hyper::body::Incoming;
use hyper::header::CONTENT_TYPE;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::fmt;
use std::str::FromStr;
use tokio::net::{TcpListener, TcpStream};

/// Largest body of a call, in bytes.
pub const BODY_BYTES_MAX: usize = 8 << 20;

/// connection is cut
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub struct Cut;

impl std::error::Error for Cut {}

/// Body of an answer.
pub type Body = BoxBody<Bytes, Cut>;

/// What a stand-in does with a call.
pub type Reply = Result<Response<Body>, Refusal>;

/// A call that gets no answer of the usual kind.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// The connection is cut without an answer.
    Cut,
    /// An error with its place.
    Status {
        /// Status.
        status: u16,
        /// Where in the call the error is.
        place: String,
        /// What is wrong.
        message: String,
    },
}

/// A refusal with its place.
pub fn refusal(status: u16, place: impl fmt::Display, message: impl fmt::Display) -> Refusal {
    Refusal::Status { status, place: place.to_string(), message: message.to_string() }
}

/// A JSON answer with status 200.
pub fn json(value: &impl Serialize) -> Reply {
    let text = serde_json::to_vec(value).map_err(|error| refusal(500, "answer", error))?;
    Ok(answer(200, text))
}

/// An answer with a JSON text.
pub fn answer(status: u16, text: impl Into<Bytes>) -> Response<Body> {
    let body = http::full(text).map_err(|never| match never {}).boxed();
    let mut response = Response::new(body);
    *response.status_mut() = StatusCode::from_u16(status).unwrap_or_default();
    let kind = hyper::header::HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, kind);
    response
}

/// Reads the body of a call.
///
/// # Errors
///
/// Status 413 when it is too large, a cut when it ends early.
pub async fn read(body: Incoming) -> Result<Bytes, Refusal> {
    http::read_body(body, BODY_BYTES_MAX).await.map_err(|error| match error {
        Error::TooLarge(_) => refusal(413, "body", error),
        _ => Refusal::Cut,
    })
}

/// Parses the body of a call.
///
/// # Errors
///
/// Status 400 with line and column.
pub fn parse<T: DeserializeOwned>(body: &[u8]) -> Result<T, Refusal> {
    serde_json::from_slice(body).map_err(|error| {
        let place = format!("body line {} column {}", error.line(), error.column());
        refusal(400, place, error)
    })
}

/// Reads the body of a call and parses it.
///
/// # Errors
///
/// As [`read`] and [`parse`].
pub async fn order<T: DeserializeOwned>(body: Incoming) -> Result<T, Refusal> {
    parse(&read(body).await?)
}

/// A number from a query, or its default where it isn't given.
///
/// # Errors
///
/// Status 400 with the parameter's name.
pub fn parameter<T: FromStr>(query: Option<&str>, name: &str, default: T) -> Result<T, Refusal> {
    let pairs = query.unwrap_or_default().split('&').filter_map(|pair| pair.split_once('='));
    let Some((_, text)) = pairs.into_iter().find(|(key, _)| *key == name) else {
        return Ok(default);
    };
    let place = format!("query {name}");
    text.parse().map_err(|_| refusal(400, place, format!("`{text}` is not a number")))
}

/// Refuses a call that no stand-in knows.
pub fn unknown(method: &str, path: &str) -> Refusal {
    refusal(404, "path", format!("no such call: {method} {path}"))
}

/// Serves every connection of a listener with `handle`.
pub async fn serve<H, R>(listener: TcpListener, handle: H)
where
    H: Fn(Request<Incoming>) -> R + Clone + Send + Sync + 'static,
    R: Future<Output = Reply> + Send + 'static,
{
    loop {
        let Ok((tcp, _)) = listener.accept().await else {
            tokio::time::sleep(std::time::Duration::from_millis(10)).await;
            continue;
        };
        tokio::spawn(serve_connection(tcp, handle.clone()));
    }
}

async fn serve_connection<H, R>(tcp: TcpStream, handle: H)
where
    H: Fn(Request<Incoming>) -> R,
    R: Future<Output = Reply>,
{
    let service = service_fn(|request| {
        let reply = handle(request);
        async move { finish(reply.await) }
    });
    let _ = tcp.set_nodelay(true);
    let mut builder = http1::Builder::new();
    let builder = builder.max_buf_size(HEAD_BYTES_MAX);
    let _ = builder.serve_connection(TokioIo::new(tcp), service).await;
}

fn finish(reply: Reply) -> Result<Response<Body>, Cut> {
    match reply {
        Ok(response) => Ok(response),
        Err(Refusal::Cut) => Err(Cut),
        Err(Refusal::Status { status, place, message }) => {
            let error = serde_json::json!({ "error": { "place": place, "message": message } });
            Ok(answer(status, error.to_string()))
        }
    }
}

//! HTTP server code shared by the stand-ins: responses, errors that name the invalid part of a
//! call, and connections cut without a response.
//!
//! A call is one HTTP request. An error response names the place of the error, which is the part of
//! the call that is invalid, for instance a line of its body.

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

/// Maximum size of a call's body; larger ones get status 413.
pub const BODY_BYTES_MAX: usize = 8 << 20;

/// connection is cut
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub struct Cut;

impl std::error::Error for Cut {}

/// Body of a response.
pub type Body = BoxBody<Bytes, Cut>;

/// Outcome of handling a call.
pub type Reply = Result<Response<Body>, Failure>;

/// Reason why a call gets no successful response. The call may have taken effect all the same.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Failure {
    /// The connection is cut without a response.
    Cut,
    /// An error response.
    Status {
        /// HTTP status code.
        status: u16,
        /// Part of the call that the error concerns.
        place: String,
        /// Description of the error.
        message: String,
    },
}

/// Returns a [`Failure::Status`] with the part of the call that the error concerns and a message.
pub fn failure(status: u16, place: impl fmt::Display, message: impl fmt::Display) -> Failure {
    Failure::Status { status, place: place.to_string(), message: message.to_string() }
}

/// Returns a JSON response with status 200.
pub fn json(value: &impl Serialize) -> Reply {
    let text = serde_json::to_vec(value).map_err(|error| failure(500, "answer", error))?;
    Ok(response(200, text))
}

/// Returns a response whose body is the given JSON text.
pub fn response(status: u16, text: impl Into<Bytes>) -> Response<Body> {
    let body = http::full(text).map_err(|never| match never {}).boxed();
    let mut response = Response::new(body);
    *response.status_mut() = StatusCode::from_u16(status).unwrap_or_default();
    let content_type = hyper::header::HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, content_type);
    response
}

/// Reads the body of a call.
///
/// # Errors
///
/// Status 413 if the body exceeds [`BODY_BYTES_MAX`], [`Failure::Cut`] if it ends early.
pub async fn read_body(body: Incoming) -> Result<Bytes, Failure> {
    http::read_body(body, BODY_BYTES_MAX).await.map_err(|error| match error {
        Error::TooLarge(_) => failure(413, "body", error),
        _ => Failure::Cut,
    })
}

/// Parses the JSON body of a call.
///
/// # Errors
///
/// Status 400 with the line and column of the error.
pub fn parse<T: DeserializeOwned>(body: &[u8]) -> Result<T, Failure> {
    serde_json::from_slice(body).map_err(|error| {
        let place = format!("body line {} column {}", error.line(), error.column());
        failure(400, place, error)
    })
}

/// Reads the JSON body of a call and parses it.
///
/// # Errors
///
/// As for [`read_body`] and [`parse`].
pub async fn read_json<T: DeserializeOwned>(body: Incoming) -> Result<T, Failure> {
    parse(&read_body(body).await?)
}

/// Returns a numeric query parameter, or the default if it is absent.
///
/// # Errors
///
/// Status 400 with the parameter's name if its value isn't a number.
pub fn query_number<T: FromStr>(query: Option<&str>, name: &str, default: T) -> Result<T, Failure> {
    let pairs = query.unwrap_or_default().split('&').filter_map(|pair| pair.split_once('='));
    let Some((_, text)) = pairs.into_iter().find(|(key, _)| *key == name) else {
        return Ok(default);
    };
    let place = format!("query {name}");
    text.parse().map_err(|_| failure(400, place, format!("`{text}` is not a number")))
}

/// Returns the failure, with status 404, of a call with an unknown method or path.
pub fn unknown_call(method: &str, path: &str) -> Failure {
    failure(404, "path", format!("no such call: {method} {path}"))
}

/// Accepts connections indefinitely and answers each call with `handle`.
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

/// Serves the calls of one connection until it closes.
async fn serve_connection<H, R>(tcp: TcpStream, handle: H)
where
    H: Fn(Request<Incoming>) -> R,
    R: Future<Output = Reply>,
{
    let service = service_fn(|request| {
        let reply = handle(request);
        async move { into_response(reply.await) }
    });
    let _ = tcp.set_nodelay(true);
    let mut builder = http1::Builder::new();
    let builder = builder.max_buf_size(HEAD_BYTES_MAX);
    let _ = builder.serve_connection(TokioIo::new(tcp), service).await;
}

/// Converts the outcome of a call to a response; [`Failure::Cut`] becomes an error, on which the
/// HTTP server closes the connection without a response.
pub fn into_response(reply: Reply) -> Result<Response<Body>, Cut> {
    match reply {
        Ok(response) => Ok(response),
        Err(Failure::Cut) => Err(Cut),
        Err(Failure::Status { status, place, message }) => {
            let error = serde_json::json!({ "error": { "place": place, "message": message } });
            Ok(response(status, error.to_string()))
        }
    }
}

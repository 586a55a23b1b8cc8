//! HTTP client of the harness: sends a request as a caller would and reads the answer.

use crate::error::Error;
use bytes::{Bytes, BytesMut};
use chestnutrack_process::http;
use http_body_util::{BodyExt, Full};
use hyper::Request;
use hyper::body::Incoming;
use hyper::header::{HeaderName, HeaderValue};
use serde_json::Value;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::timeout;

/// Longest wait for each of these: a connection, the head of an answer, and each frame of its body.
pub const ANSWER_TIMEOUT: Duration = Duration::from_secs(30);

/// A request to send.
#[derive(Clone, Debug, Default)]
pub struct Call {
    /// HTTP method; `GET` if empty.
    pub method: &'static str,
    /// Path and query of the URI.
    pub target: String,
    /// API key, sent as a bearer token; `None` for routes that need no key.
    pub key: Option<String>,
    /// Additional headers.
    pub headers: Vec<(String, String)>,
    /// Request body.
    pub body: Vec<u8>,
}

/// A complete HTTP response.
#[derive(Clone, Debug)]
pub struct Answer {
    /// Status code.
    pub status: u16,
    /// Response headers.
    pub headers: hyper::HeaderMap,
    /// Response body.
    pub body: Bytes,
}

impl Answer {
    /// Returns the value of a header, or an empty string if it is missing or not text.
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or_default()
    }

    /// Returns the body as JSON, or null if it is not valid JSON.
    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or_default()
    }

    /// Returns the body as text; invalid UTF-8 is replaced.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    /// Returns the generated text of a completion, streamed or not, and whether it is complete.
    ///
    /// A streamed completion is complete once `[DONE]` was received, any other once it has a finish
    /// reason.
    pub fn completion(&self) -> (String, bool) {
        if !self.header("content-type").starts_with("text/event-stream") {
            let choice = self.json()["choices"][0].clone();
            return (choice_text(&choice), !choice["finish_reason"].is_null());
        }
        let mut text = String::new();
        let mut done = false;
        for event in self.text().lines().filter_map(|line| line.strip_prefix("data: ")) {
            if event == "[DONE]" {
                done = true;
                continue;
            }
            let event: Value = serde_json::from_str(event).unwrap_or_default();
            text.push_str(&choice_text(&event["choices"][0]));
        }
        (text, done)
    }
}

/// Returns the text of one choice of a completion or a chat completion, streamed or not.
fn choice_text(choice: &Value) -> String {
    let candidates = [&choice["text"], &choice["delta"]["content"], &choice["message"]["content"]];
    candidates.iter().filter_map(|value| value.as_str()).collect()
}

/// An answer whose body is still being received.
pub struct StreamingAnswer {
    address: SocketAddr,
    head: hyper::http::response::Parts,
    body: Incoming,
    received: BytesMut,
}

impl StreamingAnswer {
    /// Returns the status code.
    pub fn status(&self) -> u16 {
        self.head.status.as_u16()
    }

    /// Reads until the received part of the body contains `text`.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Call`] if the body ends or the connection fails first.
    pub async fn read_until(&mut self, text: &str) -> Result<(), Error> {
        while !String::from_utf8_lossy(&self.received).contains(text) {
            if !self.read_frame().await? {
                return Err(Error::Call(self.address, format!("body ended before `{text}`")));
            }
        }
        Ok(())
    }

    /// Reads the rest of the body and returns the whole answer.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Call`] if the connection fails or no data is received in time.
    pub async fn finish(mut self) -> Result<Answer, Error> {
        while self.read_frame().await? {}
        let status = self.head.status.as_u16();
        Ok(Answer { status, headers: self.head.headers, body: self.received.freeze() })
    }

    /// Returns the part of the body that has been received.
    pub fn received(&self) -> &[u8] {
        &self.received
    }

    /// Reads the next frame of the body; returns `false` at the end of the body.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Call`] if the connection fails or no data is received in time.
    pub async fn read_frame(&mut self) -> Result<bool, Error> {
        let failed = |text: &str| Error::Call(self.address, text.to_owned());
        let frame = timeout(ANSWER_TIMEOUT, self.body.frame()).await;
        match frame.map_err(|_| failed("no data received in time"))? {
            None => Ok(false),
            Some(Err(error)) => Err(failed(&error.to_string())),
            Some(Ok(frame)) => {
                if let Ok(data) = frame.into_data() {
                    self.received.extend_from_slice(&data);
                }
                Ok(true)
            }
        }
    }
}

/// Sends a request and returns once the head of its answer has been received.
///
/// Dropping the answer closes the connection.
///
/// # Errors
///
/// Returns [`Error::Call`] if no head was received.
pub async fn open(address: SocketAddr, call: &Call) -> Result<StreamingAnswer, Error> {
    open_with_timeout(address, call, ANSWER_TIMEOUT).await
}

/// Like [`open`], but opening the connection and waiting for the head of the answer may each take up to
/// `limit`.
///
/// # Errors
///
/// See [`open`].
pub async fn open_with_timeout(
    address: SocketAddr,
    call: &Call,
    limit: Duration,
) -> Result<StreamingAnswer, Error> {
    let request = request(address, call)?;
    let answer = http::call_streaming(address, request, limit).await;
    let answer = answer.map_err(|error| Error::Call(address, error.to_string()))?;
    let (head, body) = answer.into_parts();
    Ok(StreamingAnswer { address, head, body, received: BytesMut::new() })
}

/// Sends a request and reads the whole answer.
///
/// # Errors
///
/// Returns [`Error::Call`] if the answer was not received whole.
pub async fn call(address: SocketAddr, call: &Call) -> Result<Answer, Error> {
    open(address, call).await?.finish().await
}

/// Builds the HTTP request of a call.
fn request(address: SocketAddr, call: &Call) -> Result<Request<Full<Bytes>>, Error> {
    let failed = |text: String| Error::Call(address, text);
    let method = if call.method.is_empty() { "GET" } else { call.method };
    let request = http::request(method, &call.target, call.body.clone());
    let mut request = request.map_err(|error| failed(error.to_string()))?;
    let key = call.key.iter().map(|key| ("authorization".to_owned(), format!("Bearer {key}")));
    for (name, value) in call.headers.iter().cloned().chain(key) {
        let name = HeaderName::try_from(name).map_err(|error| failed(error.to_string()))?;
        let value = HeaderValue::try_from(value).map_err(|error| failed(error.to_string()))?;
        request.headers_mut().insert(name, value);
    }
    Ok(request)
}

/// Builds a request for a completion of up to `tokens` tokens.
pub fn completion(
    path: &str,
    model: &str,
    key: &str,
    prompt: &str,
    tokens: u32,
    stream: bool,
) -> Call {
    let body = serde_json::json!({
        "model": model,
        "prompt": prompt,
        "max_tokens": tokens,
        "stream": stream,
    });
    Call {
        method: "POST",
        target: path.to_owned(),
        key: Some(key.to_owned()),
        headers: vec![("content-type".to_owned(), "application/json".to_owned())],
        body: body.to_string().into_bytes(),
    }
}

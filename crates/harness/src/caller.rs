//! A caller: one HTTP request, and the whole of what came back.

use crate::error::Error;
use chestnutrack_process::http;
use serde_json::Value;
use std::net::SocketAddr;
use std::time::Duration;

/// Longest time that a caller waits for a whole answer.
pub const PATIENCE: Duration = Duration::from_secs(30);
/// Largest answer that a caller reads, in bytes.
const ANSWER_BYTES_MAX: usize = 16 << 20;

/// One call.
#[derive(Clone, Debug, Default)]
pub struct Call {
    /// Method; `GET` if empty.
    pub method: &'static str,
    /// Path and query.
    pub target: String,
    /// Key; none for routes that are open to all.
    pub key: Option<String>,
    /// Further headers.
    pub headers: Vec<(String, String)>,
    /// Body.
    pub body: Vec<u8>,
}

/// What came back.
#[derive(Clone, Debug)]
pub struct Answer {
    /// Status.
    pub status: u16,
    /// Headers.
    pub headers: hyper::HeaderMap,
    /// Body.
    pub body: bytes::Bytes,
}

impl Answer {
    /// A header's value, or an empty text.
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or_default()
    }

    /// The body as JSON, or null.
    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or_default()
    }

    /// The body as text.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    /// The generated text of a completion, streamed or whole, and whether it is complete.
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

fn choice_text(choice: &Value) -> String {
    let places = [&choice["text"], &choice["delta"]["content"], &choice["message"]["content"]];
    places.iter().filter_map(|value| value.as_str()).collect()
}

/// Makes a call and reads the whole answer.
///
/// # Errors
///
/// [`Error::Call`] when no whole answer came.
pub async fn call(address: SocketAddr, call: &Call) -> Result<Answer, Error> {
    let failed = |error: http::Error| Error::Call(address, error.to_string());
    let method = if call.method.is_empty() { "GET" } else { call.method };
    let mut request = http::request(method, &call.target, call.body.clone()).map_err(failed)?;
    let mut headers = call.headers.clone();
    if let Some(key) = &call.key {
        headers.push(("authorization".to_owned(), format!("Bearer {key}")));
    }
    for (name, value) in headers {
        let bad = |text: String| Error::Call(address, text);
        let name =
            hyper::header::HeaderName::try_from(name).map_err(|error| bad(error.to_string()))?;
        let value =
            hyper::header::HeaderValue::try_from(value).map_err(|error| bad(error.to_string()))?;
        request.headers_mut().insert(name, value);
    }
    let answer = http::call(address, request, PATIENCE, ANSWER_BYTES_MAX).await.map_err(failed)?;
    let (head, body) = answer.into_parts();
    Ok(Answer { status: head.status.as_u16(), headers: head.headers, body })
}

/// A completion call.
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

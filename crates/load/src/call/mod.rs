//! Makes a single call as a caller would and measures when the parts of its response arrive.

mod verdict;

pub use verdict::{Verdict, check_completion, check_plain};

use chestnutrack_harness::Error;
use chestnutrack_harness::caller::{self, Answer, Call};
use serde_json::Value;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Prefix of each server-sent event that carries tokens.
const TOKEN_EVENT_PREFIX: &str = "data: {";

/// A response and its latencies.
#[derive(Clone, Debug)]
pub struct Reply {
    /// The response.
    pub answer: Answer,
    /// Time from sending the request to the first token, or to the first byte of a plain response.
    pub time_to_first: Duration,
    /// Times between successive events that carry tokens.
    pub token_gaps: Vec<Duration>,
    /// Time from sending the request to the end of the response.
    pub total: Duration,
}

impl Reply {
    /// Returns the request identifier that the entry host assigned; empty if there is none.
    pub fn request(&self) -> &str {
        self.answer.header("x-chestnutrack-request")
    }

    /// Returns whether a refused request had an effect: `not-run`, `ran`, `unknown`, or empty if
    /// the response doesn't say.
    pub fn ran(&self) -> &str {
        self.answer.header("x-chestnutrack-ran")
    }

    /// Returns the error code of a refusal; empty if there is none.
    pub fn code(&self) -> String {
        self.answer.json()["error"]["code"].as_str().unwrap_or_default().to_owned()
    }

    /// Returns the code of the error event that ends an incomplete stream, if there is one.
    pub fn stream_error(&self) -> Option<String> {
        let text = self.answer.text();
        let events = text.lines().filter_map(|line| line.strip_prefix("data: "));
        let mut parsed = events.filter_map(|event| serde_json::from_str::<Value>(event).ok());
        let error = parsed.find(|event| event.get("error").is_some())?;
        Some(error["error"]["code"].as_str().unwrap_or_default().to_owned())
    }

    /// Returns `true` if the response has a success status (2xx).
    pub fn is_success(&self) -> bool {
        (200..300).contains(&self.answer.status)
    }
}

/// Longest wait for the start of a response; longer than any deadline of the deployments.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(75);

/// Makes a call, reads the response to its end and records when its parts arrived.
///
/// # Errors
///
/// [`Error::Call`] if the response is not received to its end.
pub async fn send(address: SocketAddr, call: &Call) -> Result<Reply, Error> {
    let start = Instant::now();
    let mut response = caller::open_with_timeout(address, call, RESPONSE_TIMEOUT).await?;
    let mut time_to_first = None;
    let mut token_gaps = Vec::new();
    let mut last = start;
    let (mut events, mut searched) = (0, 0);
    while response.read_frame().await? {
        let now = Instant::now();
        let new_events = count_events(response.received(), &mut searched);
        if new_events == 0 && events > 0 {
            continue;
        }
        match time_to_first {
            None => time_to_first = Some(now - start),
            Some(_) => token_gaps.push(now - last),
        }
        events += new_events;
        last = now;
    }
    let answer = response.finish().await?;
    let total = start.elapsed();
    Ok(Reply { answer, time_to_first: time_to_first.unwrap_or(total), token_gaps, total })
}

/// Counts the token events in `received` after offset `searched`, and moves `searched` past them.
fn count_events(received: &[u8], searched: &mut usize) -> usize {
    let pattern = TOKEN_EVENT_PREFIX.as_bytes();
    let mut count = 0;
    while let Some(found) =
        received[*searched..].windows(pattern.len()).position(|window| window == pattern)
    {
        *searched += found + pattern.len();
        count += 1;
    }
    count
}

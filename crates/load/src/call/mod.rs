//! One call of a caller, timed, and what came back.

mod verdict;

pub use verdict::{Verdict, judge, judge_plain};

use chestnutrack_harness::Error;
use chestnutrack_harness::caller::{self, Answer, Call};
use serde_json::Value;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Start of each server-sent event that carries tokens.
const EVENT: &str = "data: {";

/// An answer with its times.
#[derive(Clone, Debug)]
pub struct Reply {
    /// The answer.
    pub answer: Answer,
    /// Time from sending to the first token, or to the first byte of a plain answer.
    pub first: Duration,
    /// Times between the events that carry tokens.
    pub between: Vec<Duration>,
    /// Time from sending to the answer's end.
    pub total: Duration,
}

impl Reply {
    /// The request's identifier, as the entry host gave it.
    pub fn request(&self) -> &str {
        self.answer.header("x-chestnutrack-request")
    }

    /// Whether a refused request ran: `not-run`, `ran`, `unknown`, or empty.
    pub fn ran(&self) -> &str {
        self.answer.header("x-chestnutrack-ran")
    }

    /// A refusal's code, or an empty text.
    pub fn code(&self) -> String {
        self.answer.json()["error"]["code"].as_str().unwrap_or_default().to_owned()
    }

    /// The code of the event by which a stream says that it can't be completed, if there is one.
    pub fn stream_error(&self) -> Option<String> {
        let text = self.answer.text();
        let events = text.lines().filter_map(|line| line.strip_prefix("data: "));
        let mut parsed = events.filter_map(|event| serde_json::from_str::<Value>(event).ok());
        let error = parsed.find(|event| event.get("error").is_some())?;
        Some(error["error"]["code"].as_str().unwrap_or_default().to_owned())
    }

    /// Whether the answer is no refusal.
    pub fn is_success(&self) -> bool {
        (200..300).contains(&self.answer.status)
    }
}

/// Longest time for an answer to begin; longer than any deadline of the deployments.
const PATIENCE: Duration = Duration::from_secs(75);

/// Makes a call, reads the whole answer and notes when its parts came.
///
/// # Errors
///
/// [`Error::Call`] when no whole answer came.
pub async fn send(address: SocketAddr, call: &Call) -> Result<Reply, Error> {
    let start = Instant::now();
    let mut opened = caller::open_with_timeout(address, call, PATIENCE).await?;
    let mut first = None;
    let mut between = Vec::new();
    let mut last = start;
    let (mut events, mut searched) = (0, 0);
    while opened.read_frame().await? {
        let now = Instant::now();
        let new = count_events(opened.received(), &mut searched);
        if new == 0 && events > 0 {
            continue;
        }
        match first {
            None => first = Some(now - start),
            Some(_) => between.push(now - last),
        }
        events += new;
        last = now;
    }
    let answer = opened.finish().await?;
    let total = start.elapsed();
    Ok(Reply { answer, first: first.unwrap_or(total), between, total })
}

/// Counts the events in what has been read past `searched`.
fn count_events(read: &[u8], searched: &mut usize) -> usize {
    let pattern = EVENT.as_bytes();
    let mut count = 0;
    while let Some(found) = read[*searched..].windows(pattern.len()).position(|w| w == pattern) {
        *searched += found + pattern.len();
        count += 1;
    }
    count
}

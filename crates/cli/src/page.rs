//! Pages of entry hosts' admin ports.

use crate::output::{Output, UNREACHABLE};
use chestnutrack_process::http;
use futures_util::future::join_all;
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::Value;
use std::net::SocketAddr;
use std::time::Duration;

/// Longest time for a page.
const PAGE_LIMIT: Duration = Duration::from_secs(2);
/// Largest page, in bytes.
const PAGE_BYTES_MAX: usize = 16 << 20;

/// A page of one entry host, or why there is none.
#[derive(Clone, Debug, Serialize)]
pub struct Page {
    /// Admin port.
    pub entry: SocketAddr,
    /// The page; absent where the host could not be reached.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub page: Option<Value>,
    /// Why there is no page.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub error: Option<String>,
}

impl Page {
    /// The page as a type of its own, where it has that shape.
    pub fn parse<T: DeserializeOwned>(&self) -> Option<T> {
        serde_json::from_value(self.page.clone()?).ok()
    }
}

/// Reads the same page from several entry hosts at once.
pub async fn fetch(entries: &[SocketAddr], target: &str) -> Vec<Page> {
    join_all(entries.iter().map(|entry| fetch_one(*entry, target))).await
}

async fn fetch_one(entry: SocketAddr, target: &str) -> Page {
    match get(entry, target).await {
        Ok(page) => Page { entry, page: Some(page), error: None },
        Err(error) => Page { entry, page: None, error: Some(error) },
    }
}

async fn get(entry: SocketAddr, target: &str) -> Result<Value, String> {
    let request = http::request("GET", target, "").map_err(|error| error.to_string())?;
    let answer = http::call(entry, request, PAGE_LIMIT, PAGE_BYTES_MAX).await;
    let answer = answer.map_err(|error| error.to_string())?;
    if answer.status() != hyper::StatusCode::OK {
        return Err(format!("no page {target}: status {}", answer.status().as_u16()));
    }
    serde_json::from_slice(answer.body()).map_err(|error| format!("{target}: {error}"))
}

/// Adds the entry hosts that could not be reached to an output.
pub fn add_errors(mut output: Output, pages: &[Page]) -> Output {
    for page in pages {
        if let Some(error) = &page.error {
            let message = format!("entry host {}: {error}", page.entry);
            output = output.with_error(UNREACHABLE, message);
        }
    }
    output
}

//! Fetches JSON pages from the admin ports of entry hosts.

use crate::output::{Output, UNREACHABLE};
use chestnutrack_process::http;
use futures_util::future::join_all;
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::Value;
use std::net::SocketAddr;
use std::time::Duration;

/// Timeout of the request for a page.
const PAGE_TIMEOUT: Duration = Duration::from_secs(2);
/// Largest page, in bytes.
const PAGE_BYTES_MAX: usize = 16 << 20;

/// A page of one entry host, or the error from fetching it.
#[derive(Clone, Debug, Serialize)]
pub struct Page {
    /// Address of the entry host's admin port.
    pub entry: SocketAddr,
    /// The page, or `None` if it could not be fetched.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub page: Option<Value>,
    /// Error message, or `None` if the page was fetched.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub error: Option<String>,
}

impl Page {
    /// Deserializes the page. Returns `None` if there is no page or it doesn't match the type.
    pub fn parse<T: DeserializeOwned>(&self) -> Option<T> {
        serde_json::from_value(self.page.clone()?).ok()
    }
}

/// Fetches the same page from several entry hosts concurrently. The result has their order.
pub async fn fetch(entries: &[SocketAddr], target: &str) -> Vec<Page> {
    join_all(entries.iter().map(|entry| fetch_one(*entry, target))).await
}

/// Fetches a page of one entry host; an error becomes part of the result.
async fn fetch_one(entry: SocketAddr, target: &str) -> Page {
    match get(entry, target).await {
        Ok(page) => Page { entry, page: Some(page), error: None },
        Err(error) => Page { entry, page: None, error: Some(error) },
    }
}

/// Fetches a page and parses it as JSON. Returns a message for the operator if that fails.
async fn get(entry: SocketAddr, target: &str) -> Result<Value, String> {
    let request = http::request("GET", target, "").map_err(|error| error.to_string())?;
    let response = http::call(entry, request, PAGE_TIMEOUT, PAGE_BYTES_MAX).await;
    let response = response.map_err(|error| error.to_string())?;
    if response.status() != hyper::StatusCode::OK {
        return Err(format!("no page {target}: status {}", response.status().as_u16()));
    }
    serde_json::from_slice(response.body()).map_err(|error| format!("{target}: {error}"))
}

/// Adds an error for each entry host whose page could not be fetched.
pub fn add_errors(mut output: Output, pages: &[Page]) -> Output {
    for page in pages {
        if let Some(error) = &page.error {
            let message = format!("entry host {}: {error}", page.entry);
            output = output.with_error(UNREACHABLE, message);
        }
    }
    output
}

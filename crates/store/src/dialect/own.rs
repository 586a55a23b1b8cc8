//! The project's own dialect, which the stand-in of the object interface implements.

use super::{Dialect, Freshness, HttpRequest, Page};
use crate::error::Error;
use crate::object::{Conflict, List, Object, Written};
use bytes::Bytes;
use chestnutrack_process::http;
use hyper::HeaderMap;
use hyper::header::{HeaderValue, IF_MATCH};
use serde::de::DeserializeOwned;
use serde_json::Value;
use std::time::Duration;

/// The project's own dialect.
pub const OWN: Dialect = Dialect {
    epoch,
    read,
    list,
    watch,
    write,
    delete,
    object,
    page,
    changes,
    written,
    deleted: written,
    conflict,
};

/// Header that states the epoch.
pub const EPOCH_HEADER: &str = "x-store-epoch";

fn epoch(headers: &HeaderMap) -> Option<u64> {
    crate::epoch::parse(headers, EPOCH_HEADER)
}

fn read(kind: &str, name: &str) -> Result<HttpRequest, Error> {
    get(&target(kind, name))
}

fn list(kind: &str, _: Option<&str>, _: Freshness) -> Result<HttpRequest, Error> {
    get(&format!("/v1/objects/{kind}"))
}

fn watch(kind: &str, after: u64, wait: Duration) -> Result<HttpRequest, Error> {
    get(&format!("/v1/watch/{kind}?after={after}&wait_ms={}", wait.as_millis()))
}

fn write(kind: &str, name: &str, version: u64, value: &Value) -> Result<HttpRequest, Error> {
    let request = http::request("PUT", &target(kind, name), value.to_string())?;
    Ok(if_match(request, version))
}

fn delete(kind: &str, name: &str, version: u64) -> Result<HttpRequest, Error> {
    let request = http::request("DELETE", &target(kind, name), Bytes::new())?;
    Ok(if_match(request, version))
}

fn object(body: &[u8]) -> Result<Object, Error> {
    parse("read", body)
}

fn page(body: &[u8]) -> Result<Page, Error> {
    Ok(Page { list: parse("list", body)?, more: false })
}

fn changes(body: &[u8]) -> Result<List, Error> {
    parse("watch", body)
}

fn written(body: &[u8]) -> Result<u64, Error> {
    Ok(parse::<Written>("written", body)?.version)
}

fn conflict(body: &[u8]) -> Result<u64, Error> {
    Ok(parse::<Conflict>("conflict", body)?.version)
}

fn get(target: &str) -> Result<HttpRequest, Error> {
    Ok(http::request("GET", target, Bytes::new())?)
}

/// Adds the header that makes a request conditional on the object's version.
fn if_match(mut request: HttpRequest, version: u64) -> HttpRequest {
    request.headers_mut().insert(IF_MATCH, HeaderValue::from(version));
    request
}

fn target(kind: &str, name: &str) -> String {
    format!("/v1/objects/{kind}/{name}")
}

/// Parses a JSON body. `place` names the call in the error.
fn parse<T: DeserializeOwned>(place: &str, body: &[u8]) -> Result<T, Error> {
    serde_json::from_slice(body)
        .map_err(|error| Error::Malformed(place.to_owned(), error.to_string()))
}

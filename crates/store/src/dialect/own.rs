//! The project's own dialect, which the stand-in of the object interface implements.

use super::items::{self, Item};
use super::{Dialect, Freshness, HttpRequest, Page};
use crate::error::Error;
use crate::object::{Conflict, List, Object, Written};
use bytes::Bytes;
use chestnutrack_process::http;
use hyper::HeaderMap;
use hyper::header::{HeaderValue, IF_MATCH};
use serde::Deserialize;
use serde_json::Value;
use serde_json::value::RawValue;
use std::sync::Arc;
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

/// An [`Object`] whose value is not parsed yet.
#[derive(Deserialize)]
struct RawObject<'a> {
    name: Arc<str>,
    version: u64,
    #[serde(borrow)]
    value: Option<&'a RawValue>,
    age_ms: u64,
}

/// A [`List`] whose objects are not parsed yet.
#[derive(Deserialize)]
struct RawList<'a> {
    version: u64,
    #[serde(borrow)]
    objects: Vec<&'a RawValue>,
}

fn object(body: &[u8]) -> Result<Object, Error> {
    let text = items::text(body);
    parse("read", &text).map(|object| items::object(item(object)))
}

fn page(body: &[u8]) -> Result<Page, Error> {
    Ok(Page { list: list_of("list", body)?, more: false })
}

fn changes(body: &[u8]) -> Result<List, Error> {
    list_of("watch", body)
}

/// Parses the objects of a list or watch. Leaves out those without a name or version.
fn list_of(place: &str, body: &[u8]) -> Result<List, Error> {
    let text = items::text(body);
    let RawList { version, objects } = parse(place, &text)?;
    let parse_item = |text| serde_json::from_str(text).map(item).map_err(|error| error.to_string());
    Ok(List { version, objects: items::objects(&objects, parse_item) })
}

fn item(object: RawObject<'_>) -> Item<'_> {
    let RawObject { name, version, value, age_ms } = object;
    Item { name, version, value: value.map(RawValue::get), age_ms }
}

fn written(body: &[u8]) -> Result<u64, Error> {
    Ok(parse::<Written>("written", &items::text(body))?.version)
}

fn conflict(body: &[u8]) -> Result<u64, Error> {
    Ok(parse::<Conflict>("conflict", &items::text(body))?.version)
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
fn parse<'a, T: Deserialize<'a>>(place: &str, text: &'a str) -> Result<T, Error> {
    serde_json::from_str(text)
        .map_err(|error| Error::Malformed(place.to_owned(), error.to_string()))
}

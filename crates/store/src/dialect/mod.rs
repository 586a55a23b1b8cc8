//! Translation between the client and the wire format of an object interface.
//!
//! The client decides when to make a call, what its outcome means and what to retry. A dialect
//! only builds requests and parses responses. [`OWN`] is the project's own dialect.

pub mod items;
mod own;

pub use own::{EPOCH_HEADER, OWN};

use crate::error::Error;
use crate::object::{List, Object};
use bytes::Bytes;
use http_body_util::Full;
use hyper::{HeaderMap, Request};
use serde_json::Value;
use std::time::Duration;

/// A request, ready to be sent.
pub type HttpRequest = Request<Full<Bytes>>;

/// How up to date a list has to be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Freshness {
    /// The list shows every write that was acknowledged before the call.
    Newest,
    /// The list may be seconds old if that is cheaper for the interface. A watch from its version
    /// returns the changes since.
    Any,
}

/// One page of a list.
#[derive(Clone, Debug, PartialEq)]
pub struct Page {
    /// The page's objects and the version at which they were read.
    pub list: List,
    /// Whether another page follows.
    pub more: bool,
}

/// Functions that build the requests and parse the responses of an object interface.
///
/// The client has validated kinds and names: they can be put into a URL without escaping. Each
/// function that parses a response returns [`Error::Malformed`] for a body that it can't parse.
#[derive(Clone, Copy, Debug)]
pub struct Dialect {
    /// Returns the epoch that the headers of a response state, if any. See [`crate::epoch`].
    pub epoch: fn(&HeaderMap) -> Option<u64>,
    /// Builds a read of the object with a kind and name.
    pub read: fn(&str, &str) -> Result<HttpRequest, Error>,
    /// Builds a list of a kind, from the start or after a name, with the given freshness.
    pub list: fn(&str, Option<&str>, Freshness) -> Result<HttpRequest, Error>,
    /// Builds a watch for changes to a kind after a version that waits up to a duration.
    pub watch: fn(&str, u64, Duration) -> Result<HttpRequest, Error>,
    /// Builds a write of the object with a kind and name, on condition that it has a version (0:
    /// that it does not exist).
    pub write: fn(&str, &str, u64, &Value) -> Result<HttpRequest, Error>,
    /// Builds a deletion of the object with a kind and name, on condition that it has a version.
    pub delete: fn(&str, &str, u64) -> Result<HttpRequest, Error>,
    /// Parses the response to a read into the object.
    pub object: fn(&[u8]) -> Result<Object, Error>,
    /// Parses the response to a list into a page.
    pub page: fn(&[u8]) -> Result<Page, Error>,
    /// Parses the response to a watch into the changed objects, each listed once.
    pub changes: fn(&[u8]) -> Result<List, Error>,
    /// Parses the response to a write that took effect into the new version.
    pub written: fn(&[u8]) -> Result<u64, Error>,
    /// Parses the response to a deletion that took effect into its version, or 0 if the response
    /// has none.
    pub deleted: fn(&[u8]) -> Result<u64, Error>,
    /// Parses the response to a write or deletion that did not take effect into the object's
    /// current version.
    pub conflict: fn(&[u8]) -> Result<u64, Error>,
}

//! How an object interface spells its calls and answers.
//!
//! The client decides when a call is made, what its outcome means and what is tried again; a
//! dialect only translates. [`OWN`] is the project's own.

mod own;

pub use own::OWN;

use crate::error::Error;
use crate::object::{List, Object};
use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use serde_json::Value;
use std::time::Duration;

/// A call, ready to be sent.
pub type HttpRequest = Request<Full<Bytes>>;

/// How old a list may be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Freshness {
    /// It shows all that was acknowledged before.
    Newest,
    /// It may be seconds old, where that is cheaper for the interface. A watch from its version on
    /// tells what came since.
    Any,
}

/// One page of a list.
#[derive(Clone, Debug, PartialEq)]
pub struct Page {
    /// The page's objects, and the version that they were read at.
    pub list: List,
    /// Whether more objects follow after the last of them.
    pub more: bool,
}

/// Spelling of the calls and answers of an object interface.
///
/// Kinds and names come checked: they can stand in a URL as they are. Each function that reads an
/// answer fails with [`Error::Malformed`] where it can't be read.
#[derive(Clone, Copy, Debug)]
pub struct Dialect {
    /// Reads the object of a kind and name.
    pub read: fn(&str, &str) -> Result<HttpRequest, Error>,
    /// Lists a kind, from the start or after a name, of an age.
    pub list: fn(&str, Option<&str>, Freshness) -> Result<HttpRequest, Error>,
    /// Waits so long for changes of a kind after a version.
    pub watch: fn(&str, u64, Duration) -> Result<HttpRequest, Error>,
    /// Writes the value of a kind and name that has a version; 0 where it must not exist.
    pub write: fn(&str, &str, u64, &Value) -> Result<HttpRequest, Error>,
    /// Deletes the object of a kind and name that has a version.
    pub delete: fn(&str, &str, u64) -> Result<HttpRequest, Error>,
    /// An object, from the answer to a read.
    pub object: fn(&[u8]) -> Result<Object, Error>,
    /// A page, from the answer to a list.
    pub page: fn(&[u8]) -> Result<Page, Error>,
    /// Objects that changed, each once, from the answer to a watch.
    pub changes: fn(&[u8]) -> Result<List, Error>,
    /// The version written, from the answer to a write that took effect.
    pub written: fn(&[u8]) -> Result<u64, Error>,
    /// The version of a deletion, from the answer to one that took effect; 0 where it does not say.
    pub deleted: fn(&[u8]) -> Result<u64, Error>,
    /// The version found, from the answer to one that did not.
    pub conflict: fn(&[u8]) -> Result<u64, Error>,
}

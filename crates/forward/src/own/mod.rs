//! The project's own names for requests that pass unchanged, and its own objects.
//!
//! | header | who sets it | meaning |
//! | --- | --- | --- |
//! | `x-chestnutrack-request` | caller, echoed by servers | the request |
//! | `x-chestnutrack-deadline-ms` | caller, router | time left |
//! | `authorization: Bearer KEY` | caller | never passed on |
//! | `x-chestnutrack-tokens: PROMPT,OUTPUT` | caller | what is asked of a model |
//! | `x-chestnutrack-expected` | caller | tokens that it expects of the answer |
//! | `last-event-id` | caller, router | the stream goes on after this event |
//! | `x-chestnutrack-server` | router | the server that it is meant for |
//! | `x-chestnutrack-organisation` | router | whose key came with it |
//! | `x-chestnutrack-step: prefill` | router | only prefill the prompt |
//! | `x-chestnutrack-kv: ADDRESS/HANDLE` | router | generate from that KV cache |
//! | `x-chestnutrack-ran: not-run` | server | it did not run and never will |
//!
//! A prefill is answered with `{"handle": "..."}`, `DELETE /v1/handles/HANDLE` frees it, `GET /v1/report`
//! tells an engine's stage and `POST /v1/orders` changes it. The configuration is the object
//! `routing/main`, backend servers are the objects of kind `backends`.

mod headers;

use crate::config::Config;
use crate::dialect::{Dialect, Handle, Order};
use crate::follow::Directory;
use crate::program::Protocol;
use bytes::Bytes;
use chestnutrack_core::dispatch::Entry;
use chestnutrack_process::http;
use http_body_util::Full;
use hyper::Request;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::net::SocketAddr;
use std::sync::Arc;

pub use headers::{DEADLINE, EXPECTED, KV, ORGANISATION, RAN, REQUEST, SERVER, STEP, TOKENS};

/// All that stands on the wire.
pub const PROTOCOL: Protocol =
    Protocol { callers: DIALECT, directory: DIRECTORY, store: chestnutrack_store::dialect::OWN };

/// How requests and answers are spelled.
pub const DIALECT: Dialect = Dialect {
    ask: headers::ask,
    onward: headers::onward,
    verdict: headers::verdict,
    handle,
    free: |handle| ("DELETE", format!("/v1/handles/{}", handle.id)),
    report_path: "/v1/report",
    report: |body| serde_json::from_slice(body).ok(),
    order,
    ready_path: "/readyz",
};

/// What is followed in the object interface.
pub const DIRECTORY: Directory = Directory {
    config_kind: "routing",
    config_name: "main",
    config,
    servers_kind: "backends",
    server,
    hosts_kind: "entry-hosts",
    leases_kind: "entry-leases",
};

/// An engine's answer to a prefill.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Prefilled {
    /// Name of the KV cache that it keeps.
    pub handle: Arc<str>,
}

fn handle(address: SocketAddr, body: &[u8]) -> Option<Handle> {
    let prefilled: Prefilled = serde_json::from_slice(body).ok()?;
    Some(Handle { address, id: prefilled.handle })
}

fn order(order: &Order) -> Result<Request<Full<Bytes>>, http::Error> {
    let body =
        serde_json::to_vec(order).map_err(|error| http::Error::Request(error.to_string()))?;
    http::request("POST", "/v1/orders", body)
}

fn config(value: &Value) -> Result<Config, String> {
    Config::deserialize(value).map_err(|error| error.to_string())
}

fn server(name: &Arc<str>, value: &Value) -> Result<Entry, String> {
    let entry = Entry::deserialize(value).map_err(|error| error.to_string())?;
    if entry.name == *name { Ok(entry) } else { Err(format!("it names `{}`", entry.name)) }
}

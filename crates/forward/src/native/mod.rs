//! The project's native dialect: its headers, calls to engines and objects in the store.
//!
//! | header | who sets it | meaning |
//! | --- | --- | --- |
//! | `x-chestnutrack-request` | caller, echoed by servers | identifier of the request |
//! | `x-chestnutrack-deadline-ms` | caller, router | time left until the deadline |
//! | `authorization: Bearer KEY` | caller | key that authenticates the caller; never forwarded |
//! | `x-chestnutrack-tokens: PROMPT,OUTPUT` | caller | number of tokens in the prompt, and highest number in the answer |
//! | `x-chestnutrack-parts: ID:TOKENS,...` | caller | parts of the prompt in order; the last belongs to the request alone |
//! | `x-chestnutrack-expected` | caller | number of tokens expected in the answer |
//! | `last-event-id` | caller, router | resume the stream after this event |
//! | `x-chestnutrack-resumes` | caller | identifier of the request that brought the first event of that stream |
//! | `x-chestnutrack-server` | router | name of the intended server |
//! | `x-chestnutrack-organisation` | router | organisation that the caller's key belongs to |
//! | `x-chestnutrack-step: prefill` | router | only prefill the prompt |
//! | `x-chestnutrack-kv: ADDRESS/HANDLE` | router | generate from this KV cache |
//! | `x-chestnutrack-ran: not-run` | server | the request did not run and never will |
//!
//! A prefill is answered with `{"handle": "..."}`, `DELETE /v1/handles/HANDLE` frees it, `GET /v1/report`
//! returns an engine's report with its stage, and `POST /v1/orders` changes the stage. The configuration is the
//! object `routing/main`, backend servers are the objects of kind `backends`, and an object of kind `evacuations` has the
//! name of an evacuated failure domain.

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

pub use headers::{
    DEADLINE, EXPECTED, KV, LEAVING, LIMIT, ORGANISATION, PARTS, RAN, REQUEST, RESUMES, SERVER,
    STEP, TOKENS,
};

/// The native dialect of callers, directory and store.
pub const PROTOCOL: Protocol =
    Protocol { callers: DIALECT, directory: DIRECTORY, store: chestnutrack_store::dialect::OWN };

/// The native dialect of requests and answers.
pub const DIALECT: Dialect = Dialect {
    parse_request_head: headers::parse_request_head,
    forward_headers: headers::forward_headers,
    parse_response_head: headers::parse_response_head,
    parse_handle,
    free_request: |handle| ("DELETE", format!("/v1/handles/{}", handle.id)),
    report_path: "/v1/report",
    parse_report: |body| serde_json::from_slice(body).ok(),
    order_request,
    ready_path: "/readyz",
};

/// The objects of the store that an entry host follows.
pub const DIRECTORY: Directory = Directory {
    config_kind: "routing",
    config_name: "main",
    config,
    servers_kind: "backends",
    server,
    hosts_kind: "entry-hosts",
    leases_kind: "entry-leases",
    evacuations_kind: "evacuations",
    origins_kind: "stream-origins",
};

/// Body of an engine's answer to a prefill.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Prefilled {
    /// Name of the KV cache that the engine keeps.
    pub handle: Arc<str>,
}

/// Parses the handle from the body of the answer to a prefill. The handle is completed by the engine's address.
fn parse_handle(address: SocketAddr, body: &[u8]) -> Option<Handle> {
    let prefilled: Prefilled = serde_json::from_slice(body).ok()?;
    Some(Handle { address, id: prefilled.handle })
}

/// Builds the call that sends an order to an engine.
fn order_request(order: &Order) -> Result<Request<Full<Bytes>>, http::Error> {
    let body =
        serde_json::to_vec(order).map_err(|error| http::Error::Request(error.to_string()))?;
    http::request("POST", "/v1/orders", body)
}

/// Decodes the configuration from its object in the store.
fn config(value: &Value) -> Result<Config, String> {
    Config::deserialize(value).map_err(|error| error.to_string())
}

/// Decodes the entry of a backend server. Fails if the entry states another name than that of its object.
fn server(name: &Arc<str>, value: &Value) -> Result<Entry, String> {
    let entry = Entry::deserialize(value).map_err(|error| error.to_string())?;
    if entry.name == *name {
        Ok(entry)
    } else {
        Err(format!("the entry names server `{}`", entry.name))
    }
}

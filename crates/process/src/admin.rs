//! HTTP server of the admin port: `/livez`, `/readyz`, `/metrics` and the program's own pages.

use crate::http::{self, ResponseBody};
use crate::intake::Intake;
use chestnutrack_core::intake;
use hyper::body::Incoming;
use hyper::{Request, Response};
use prometheus::{Encoder, Registry, TextEncoder};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use tokio::net::TcpListener;

/// Most connections of operators that are open at once. Operators and the collector of metrics need a few.
const CONNECTIONS_MAX: usize = 64;

/// Whether the process is ready to serve. Clones share the state.
#[derive(Clone, Debug, Default)]
pub struct Readiness(Arc<AtomicBool>);

impl Readiness {
    /// Sets whether the process is ready.
    pub fn set(&self, ready: bool) {
        self.0.store(ready, Ordering::Relaxed);
    }

    /// Returns whether the process is ready.
    pub fn get(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }
}

/// Function that returns the JSON of the page with a path and query, or `None` if the program has no such
/// page.
pub type Pages = Arc<dyn Fn(&str, &str) -> Option<serde_json::Value> + Send + Sync>;

/// Serves the admin port until the process ends. `page_json` returns the JSON of the program's own pages.
pub async fn serve(
    listener: TcpListener,
    registry: Registry,
    readiness: Readiness,
    page_json: Pages,
) {
    let handle = move |request: Request<Incoming>| {
        let response = respond(&request, &registry, &readiness, &page_json);
        async move { response }
    };
    let settings = intake::Settings { connections: CONNECTIONS_MAX, request_bytes: 0 };
    let intake = Intake::new("operators", settings, None);
    http::serve_bounded(listener, intake, handle).await;
}

/// Returns the response to a request to the admin port. Paths that this module doesn't serve itself are
/// looked up among the program's pages.
fn respond(
    request: &Request<Incoming>,
    registry: &Registry,
    readiness: &Readiness,
    page_json: &Pages,
) -> Response<ResponseBody> {
    match request.uri().path() {
        "/livez" => Response::new(http::full("ok\n")),
        "/readyz" if readiness.get() => Response::new(http::full("ok\n")),
        "/readyz" => status(503, "not ready\n"),
        "/metrics" => Response::new(http::full(metrics(registry))),
        path => match page_json(path, request.uri().query().unwrap_or_default()) {
            Some(value) => http::json(200, &value),
            None => status(404, "no such page\n"),
        },
    }
}

/// Encodes all metrics of a registry in the Prometheus text format.
fn metrics(registry: &Registry) -> Vec<u8> {
    let mut text = Vec::new();
    let _ = TextEncoder::new().encode(&registry.gather(), &mut text);
    text
}

/// Returns a response with a status code and a plain text.
fn status(code: u16, text: &'static str) -> Response<ResponseBody> {
    let mut response = Response::new(http::full(text));
    *response.status_mut() = hyper::StatusCode::from_u16(code).unwrap_or_default();
    response
}

//! A host to play crowds against: a process of `chestnutrack-entry --direct` with stand-ins of the store and of a
//! backend server, which run in this process.

use bytes::Bytes;
use chestnutrack_harness::Process;
use chestnutrack_process::http;
use hyper::body::Incoming;
use hyper::header::HeaderValue;
use hyper::{Request, Response};
use serde_json::json;
use std::error::Error;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::time::sleep;

/// Header that identifies a request and its answer.
const REQUEST: &str = "x-chestnutrack-request";
/// Bytes of an answer to a path that ends with `large`.
const LARGE_ANSWER_BYTES: usize = 256 << 10;
/// Host name of the routes.
pub const HOST: &str = "shop.example";
/// Path prefix of the route.
pub const PATH: &str = "/look/";
/// Time for a host to become ready, in steps of [`READY_PAUSE`].
const READY_STEPS: u32 = 200;
/// Pause between checks whether the host is ready.
const READY_PAUSE: Duration = Duration::from_millis(50);

/// A running host. Dropping it ends the process.
pub struct Target {
    /// Process of the host.
    pub process: Process,
    /// Address for callers.
    pub entry: SocketAddr,
    /// Address for readiness checks.
    pub readiness: SocketAddr,
}

/// Starts a host with the resources of a machine, and waits until it is ready.
///
/// # Errors
///
/// Why the host could not be started.
pub async fn start(
    program: &Path,
    log: &Path,
    memory_mb: usize,
    file_descriptors: usize,
) -> Result<Target, Box<dyn Error + Send + Sync>> {
    let loopback = "127.0.0.1:0";
    let store = TcpListener::bind(loopback).await?;
    let backend = TcpListener::bind(loopback).await?;
    let (store_address, backend_address) = (store.local_addr()?, backend.local_addr()?);
    let settings = chestnutrack_standin::platform::Settings::default();
    tokio::spawn(chestnutrack_standin::platform::serve(store, settings));
    tokio::spawn(http::serve(backend, |request| async move { answer(&request) }));
    for (object, value) in objects(backend_address) {
        let target = format!("/v1/objects/{object}");
        let request = http::request("PUT", &target, value.to_string())?;
        let answer = http::call(store_address, request, Duration::from_secs(2), 1 << 20).await?;
        if !answer.status().is_success() {
            return Err(format!("{object}: {} {:?}", answer.status(), answer.body()).into());
        }
    }
    let mut addresses = Vec::new();
    for _ in 0..4 {
        addresses.push(TcpListener::bind(loopback).await?.local_addr()?);
    }
    let options = [
        ("--name", "entry-1".to_owned()),
        ("--failure-domain", "default".to_owned()),
        ("--listen", addresses[0].to_string()),
        ("--readiness", addresses[1].to_string()),
        ("--peer-listen", addresses[2].to_string()),
        ("--admin", addresses[3].to_string()),
        ("--platform", store_address.to_string()),
        ("--memory-mb", memory_mb.to_string()),
        ("--file-descriptors", file_descriptors.to_string()),
    ];
    let mut arguments = vec!["--direct".to_owned()];
    arguments.extend(options.into_iter().flat_map(|(flag, value)| [flag.to_owned(), value]));
    let process = Process::start("entry-1", program, arguments, log.to_owned())?;
    let target = Target { process, entry: addresses[0], readiness: addresses[1] };
    for _ in 0..READY_STEPS {
        let check = http::request("GET", "/readyz", "")?;
        let checked = http::call(target.readiness, check, Duration::from_secs(1), 1 << 10).await;
        if checked.is_ok_and(|answer| answer.status().is_success()) {
            return Ok(target);
        }
        sleep(READY_PAUSE).await;
    }
    Err("the host did not become ready".into())
}

/// Returns the configuration and the entry of the backend server.
fn objects(backend: SocketAddr) -> [(&'static str, serde_json::Value); 2] {
    let config = json!({
        "version": 1,
        "routes": [{
            "name": "look", "host": HOST, "prefix": PATH, "kind": "idempotent",
            "timeout_ms": 10_000, "target_ms": 900, "priority": 1, "split": [["app", 1]],
            "attempts": 2, "open": true,
        }],
        "services": [
            { "name": "app", "health_path": "/health", "connections": 400, "engine": null },
        ],
        "organisations": [],
        "limits": {},
    });
    let entry = json!({
        "name": "app-1", "born": 1, "build": "v1", "service": "app", "address": backend,
        "failure_domain": "default", "slots": 256, "leaving": false, "stage": null,
    });
    [("routing/main", config), ("backends/app-1", entry)]
}

/// Answers as the backend server.
fn answer(request: &Request<Incoming>) -> Response<http::ResponseBody> {
    let bytes = if request.uri().path().ends_with("large") { LARGE_ANSWER_BYTES } else { 16 };
    let mut response = Response::new(http::full(Bytes::from(vec![b'a'; bytes])));
    let missing = HeaderValue::from_static("-");
    let id = request.headers().get(REQUEST).cloned().unwrap_or(missing);
    response.headers_mut().insert(REQUEST, id);
    response
}

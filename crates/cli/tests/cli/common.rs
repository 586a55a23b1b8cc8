//! Fixtures: a server of JSON pages on loopback, and a valid document.

use chestnutrack_cli::output::Output;
use chestnutrack_document::key::Hash;
use chestnutrack_process::http;
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::net::TcpListener;

/// Salt of the document from [`document`].
pub(crate) const SALT: &str = "a salt for tests";

/// Serves JSON pages by request target on a free port; other targets get status 404.
pub(crate) async fn serve(pages: Vec<(&'static str, Value)>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    let pages = Arc::new(pages);
    let handle = move |request: hyper::Request<hyper::body::Incoming>| {
        let target = request.uri().to_string();
        let page = pages.iter().find(|(path, _)| *path == target);
        let response = match page {
            Some((_, value)) => http::json(200, value),
            None => http::json(404, &Value::Null),
        };
        async move { response }
    };
    tokio::spawn(http::serve(listener, handle));
    address
}

/// Runs a subcommand in this process. Settings without a flag are read from its environment.
pub(crate) async fn run(arguments: &[&str]) -> Output {
    let arguments: Vec<String> = arguments.iter().map(|text| (*text).to_owned()).collect();
    chestnutrack_cli::cmd::run(&arguments).await
}

/// Formats an output with its exit code. Replaces addresses, which differ between runs, by names.
pub(crate) fn snapshot(output: &Output, addresses: &[(SocketAddr, &str)]) -> String {
    let mut text = format!("exit code {}\n{}{}", output.code, output.out, output.err);
    for (address, name) in addresses {
        text = text.replace(&address.to_string(), name);
    }
    text
}

/// Returns a valid document.
pub(crate) fn document() -> Value {
    let server = |name: &str, role: &str, port: u16| {
        json!({
            "name": name,
            "side": format!("10.0.0.1:{port}"),
            "address": format!("10.0.0.1:{}", port + 1_000),
            "host": "host-1",
            "failure_domain": "great-lakes-a",
            "role": role,
            "slots": 20,
            "kv_tokens": 200_000,
            "link_bytes_per_s": 1_000_000_000,
        })
    };
    json!({
        "service": "larder-orders",
        "key_salt": SALT,
        "organisations": [{
            "name": "honey-shop",
            "keys": [{ "id": "honey-1", "hash": Hash::of(SALT, "a key").to_hex() }],
            "rate_tokens_per_s": 8_000,
            "burst_tokens": 32_000,
        }],
        "pools": [{
            "name": "larder-llm",
            "kind": "model",
            "servers": [server("llm-0", "prefill", 7_000), server("llm-1", "decode", 7_001)],
        }],
        "routes": [{
            "name": "chat",
            "method": "POST",
            "path": "/v1/chat/completions",
            "api": "chat",
            "pool": "larder-llm",
            "model": "larder-llm",
            "deadline_ms": 5_000,
        }],
    })
}

/// Writes a document to a file in a temporary folder. Returns the folder, which is deleted on drop,
/// and the path of the file.
pub(crate) fn file(document: &Value) -> (tempfile::TempDir, String) {
    let folder = tempfile::tempdir().expect("a temporary folder");
    let path = folder.path().join("document.json");
    std::fs::write(&path, document.to_string()).expect("a written file");
    let path = path.display().to_string();
    (folder, path)
}

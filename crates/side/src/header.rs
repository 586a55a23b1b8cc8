//! Headers that may pass to and from a plain service.

use chestnutrack_core::server::event::Header;
use chestnutrack_process::header::is_hop_by_hop;
use hyper::HeaderMap;
use std::sync::Arc;

/// Headers that may carry a caller's credentials.
const CREDENTIALS: [&str; 3] = ["authorization", "proxy-authorization", "proxy-authenticate"];

/// Headers of a call that may pass to the server.
pub fn to_server(headers: &[Header]) -> Vec<&Header> {
    let listed = headers.iter().filter(|(name, _)| name.eq_ignore_ascii_case("connection"));
    let named = names(listed.map(|(_, value)| value.as_ref()));
    headers.iter().filter(|(name, _)| passes(name, &named)).collect()
}

/// Headers of an answer that may pass to the caller. `content-length` passes too, since the body
/// does.
pub fn to_caller(headers: &HeaderMap) -> Vec<Header> {
    let listed = headers.get_all(hyper::header::CONNECTION).iter();
    let named = names(listed.filter_map(|value| value.to_str().ok()));
    let kept = headers.iter().filter(|(name, _)| {
        *name == hyper::header::CONTENT_LENGTH || passes(name.as_str(), &named)
    });
    let text = |value: &hyper::header::HeaderValue| -> Arc<str> {
        String::from_utf8_lossy(value.as_bytes()).into()
    };
    kept.map(|(name, value)| (name.as_str().into(), text(value))).collect()
}

/// Names that a `connection` header lists, in lower case.
fn names<'a>(values: impl Iterator<Item = &'a str>) -> Vec<String> {
    let listed = values.flat_map(|value| value.split(','));
    listed.map(|name| name.trim().to_ascii_lowercase()).collect()
}

fn passes(name: &str, named: &[String]) -> bool {
    let name = name.to_ascii_lowercase();
    let is_written_by_client = is_hop_by_hop(&name) || name == "content-length";
    !is_written_by_client && !CREDENTIALS.contains(&name.as_str()) && !named.contains(&name)
}

//! Selects the headers that are forwarded to and from a plain service.

use chestnutrack_core::server::event::Header;
use chestnutrack_process::header::is_hop_by_hop;
use hyper::HeaderMap;
use std::sync::Arc;

/// Headers that may carry a caller's credentials; they are not forwarded.
const CREDENTIALS: [&str; 3] = ["authorization", "proxy-authorization", "proxy-authenticate"];

/// Returns the headers of a call that are forwarded to the backend server.
pub fn to_server(headers: &[Header]) -> Vec<&Header> {
    let connection_values =
        headers.iter().filter(|(name, _)| name.eq_ignore_ascii_case("connection"));
    let connection_options = parse_options(connection_values.map(|(_, value)| value.as_ref()));
    headers.iter().filter(|(name, _)| is_forwarded(name, &connection_options)).collect()
}

/// Returns the headers of a response that are forwarded to the caller. `content-length` is among
/// them, because the body is forwarded unchanged.
pub fn to_caller(headers: &HeaderMap) -> Vec<Header> {
    let connection_values = headers.get_all(hyper::header::CONNECTION).iter();
    let connection_options =
        parse_options(connection_values.filter_map(|value| value.to_str().ok()));
    let kept = headers.iter().filter(|(name, _)| {
        *name == hyper::header::CONTENT_LENGTH || is_forwarded(name.as_str(), &connection_options)
    });
    let to_text = |value: &hyper::header::HeaderValue| -> Arc<str> {
        String::from_utf8_lossy(value.as_bytes()).into()
    };
    kept.map(|(name, value)| (name.as_str().into(), to_text(value))).collect()
}

/// Returns the header names that `connection` headers list, in lower case.
fn parse_options<'a>(values: impl Iterator<Item = &'a str>) -> Vec<String> {
    let names = values.flat_map(|value| value.split(','));
    names.map(|name| name.trim().to_ascii_lowercase()).collect()
}

/// Returns `true` if the header is neither set by the HTTP client itself, nor a credential, nor
/// listed in a `connection` header.
fn is_forwarded(name: &str, connection_options: &[String]) -> bool {
    let name = name.to_ascii_lowercase();
    let is_written_by_client = is_hop_by_hop(&name) || name == "content-length";
    !is_written_by_client
        && !CREDENTIALS.contains(&name.as_str())
        && !connection_options.contains(&name)
}

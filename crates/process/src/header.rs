//! Headers: reading them, and passing them on but for those that belong to one connection only.

use hyper::header::{CONNECTION, CONTENT_LENGTH, HOST, HeaderMap, HeaderName, HeaderValue};

/// Their names, in lower case.
const HOP_BY_HOP: &[&str] = &[
    "connection",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "expect",
    "host",
    "http2-settings",
];

/// Whether a header, named in lower case, belongs to one connection only.
pub fn is_hop_by_hop(name: &str) -> bool {
    HOP_BY_HOP.contains(&name)
}

/// A header's text; absent where it isn't there or is no text.
pub fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

/// A header's number; absent where it isn't there or is none.
pub fn number(headers: &HeaderMap, name: &str) -> Option<u64> {
    text(headers, name)?.trim().parse().ok()
}

/// Sets a header, unless the value can't stand in one.
pub fn set(headers: &mut HeaderMap, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        headers.insert(HeaderName::from_static(name), value);
    }
}

/// The headers of a request that go on to another connection: those for which `passes` says so, but for
/// those of the connection, those that it names as its own, and a body's length. Those of `always`
/// can't be named as the connection's own. The host passes.
pub fn forwardable(
    headers: &HeaderMap,
    passes: impl Fn(&str) -> bool,
    always: &[&str],
) -> HeaderMap {
    let named = connection_options(headers);
    let goes_on = |name: &HeaderName| {
        let text = name.as_str();
        let is_named = named.iter().any(|option| option == text) && !always.contains(&text);
        let ends_here = is_hop_by_hop(text) || is_named || name == CONTENT_LENGTH;
        name == HOST || !ends_here && passes(text)
    };
    let kept = headers.iter().filter(|(name, _)| goes_on(name));
    kept.map(|(name, value)| (name.clone(), value.clone())).collect()
}

/// Headers that a connection names as its own.
fn connection_options(headers: &HeaderMap) -> Vec<String> {
    let values = headers.get_all(CONNECTION).into_iter().filter_map(|value| value.to_str().ok());
    let options = values.flat_map(|value| value.split(','));
    options.map(|option| option.trim().to_ascii_lowercase()).collect()
}

//! Helpers to read HTTP headers and to forward them without the hop-by-hop ones, which apply to a single
//! connection only.

use hyper::header::{
    CONNECTION, CONTENT_LENGTH, HOST, HeaderMap, HeaderName, HeaderValue, RETRY_AFTER,
};
use std::time::Duration;

/// Names of headers that apply to a single connection and aren't forwarded, in lower case.
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

/// Returns `true` for the lower-case name of a header that applies to a single connection.
pub fn is_hop_by_hop(name: &str) -> bool {
    HOP_BY_HOP.contains(&name)
}

/// Returns a header's value as text, or `None` if the header is missing or its value is not visible
/// ASCII.
pub fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

/// Returns a header's value as a number, or `None` if the header is missing or not a number.
pub fn number(headers: &HeaderMap, name: &str) -> Option<u64> {
    text(headers, name)?.trim().parse().ok()
}

/// Returns the time in the `retry-after` header, in seconds with an optional fraction. A value that is
/// too large counts as the longest time. One that is no positive number, such as a date, is logged and
/// counts as absent.
pub fn retry_after(headers: &HeaderMap) -> Option<Duration> {
    let value = text(headers, RETRY_AFTER.as_str())?;
    match value.trim().parse::<f64>() {
        Ok(seconds) if seconds > 0.0 => {
            Some(Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX))
        }
        Ok(0.0) => None,
        _ => {
            tracing::warn!(value, "retry-after can't be read");
            None
        }
    }
}

/// Returns a header's value as a rate: a decimal number that is not negative. Any other value is logged and counts as
/// absent.
pub fn rate(headers: &HeaderMap, name: &str) -> Option<f64> {
    let value = text(headers, name)?;
    let rate = value.trim().parse::<f64>().ok().filter(|rate| *rate >= 0.0);
    if rate.is_none() {
        tracing::warn!(name, value, "rate can't be read");
    }
    rate
}

/// Returns a header's value as a time in milliseconds: a decimal number that is not negative, with an optional fraction. A
/// value that is too large counts as the longest time. Any other value is logged and counts as absent.
pub fn millis(headers: &HeaderMap, name: &str) -> Option<Duration> {
    let millis = rate(headers, name)?;
    Some(Duration::try_from_secs_f64(millis / 1_000.0).unwrap_or(Duration::MAX))
}

/// Sets a header. Does nothing if `value` is not a valid header value.
pub fn set(headers: &mut HeaderMap, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        headers.insert(HeaderName::from_static(name), value);
    }
}

/// Returns those of a request's headers that are forwarded on another connection: `host`, and each header
/// for which `is_allowed` returns `true`.
///
/// Among the latter, a header is still excluded if it is hop-by-hop, if it is `content-length`, or if the
/// request's `connection` header lists it. Names in `connection_exempt` are ignored in the `connection`
/// header.
pub fn forwardable(
    headers: &HeaderMap,
    is_allowed: impl Fn(&str) -> bool,
    connection_exempt: &[&str],
) -> HeaderMap {
    let connection_names = connection_names(headers);
    let is_forwarded = |name: &HeaderName| {
        let name_text = name.as_str();
        let is_listed = connection_names.iter().any(|listed| listed == name_text)
            && !connection_exempt.contains(&name_text);
        let is_excluded = is_hop_by_hop(name_text) || is_listed || name == CONTENT_LENGTH;
        name == HOST || !is_excluded && is_allowed(name_text)
    };
    let forwarded = headers.iter().filter(|(name, _)| is_forwarded(name));
    forwarded.map(|(name, value)| (name.clone(), value.clone())).collect()
}

/// Returns the names listed in the `connection` headers, in lower case.
fn connection_names(headers: &HeaderMap) -> Vec<String> {
    let values = headers.get_all(CONNECTION).into_iter().filter_map(|value| value.to_str().ok());
    let names = values.flat_map(|value| value.split(','));
    names.map(|name| name.trim().to_ascii_lowercase()).collect()
}

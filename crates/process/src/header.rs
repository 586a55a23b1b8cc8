//! Headers that belong to one connection only, and are never passed on.

/// Their names, in lower case.
const OF_CONNECTION: &[&str] = &[
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
pub fn is_of_connection(name: &str) -> bool {
    OF_CONNECTION.contains(&name)
}

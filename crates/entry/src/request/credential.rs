//! Authenticates callers by their keys and keeps the keys from reaching backend servers.
//!
//! A key is the secret that a caller sends as `authorization: Bearer KEY`. The configuration holds
//! its salted hash and the organisation that it belongs to; [`Snapshot`] is the configuration in
//! force.

use super::refusal::{Code, Refusal};
use chestnutrack_document::key::Hash;
use chestnutrack_fleet::Snapshot;
use chestnutrack_process::header::is_hop_by_hop;
use hyper::HeaderMap;
use hyper::header::AUTHORIZATION;
use std::sync::Arc;

/// Headers that are never forwarded, whatever their value.
const SECRET_HEADERS: &[&str] = &[
    "authorization",
    "proxy-authorization",
    "proxy-authenticate",
    "cookie",
    "x-api-key",
    "api-key",
    "x-auth-token",
];
/// Header that is not forwarded, since the HTTP client of the backend server sets it.
const CONTENT_LENGTH: &str = "content-length";
/// Minimum length of a key that is searched for in paths and bodies, in bytes. Shorter ones would
/// be found by chance.
const SEARCHED_KEY_BYTES_MIN: usize = 8;

/// Identity of a caller: the hash of its key, and the organisation. It doesn't contain the key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Credential {
    hash: Hash,
    /// Organisation that the key belongs to.
    pub organisation: Arc<str>,
}

impl Credential {
    /// Returns the identity that belongs to a key.
    ///
    /// # Errors
    ///
    /// If the key is not in force.
    pub fn lookup(snapshot: &Snapshot, key: &str) -> Result<Credential, Refusal> {
        let refused = || Refusal::new(Code::KeyRefused, "the key is not in force");
        let document = snapshot.document.as_ref().ok_or_else(refused)?;
        let organisation = snapshot.organisation_of(key).ok_or_else(refused)?;
        Ok(Credential { hash: Hash::of(&document.key_salt, key), organisation })
    }

    /// Checks that the key is still in force for the same organisation.
    ///
    /// # Errors
    ///
    /// If the key was withdrawn or moved to another organisation.
    pub fn check(&self, snapshot: &Snapshot) -> Result<(), Refusal> {
        match snapshot.keys.get(&self.hash) {
            Some(organisation) if *organisation == self.organisation => Ok(()),
            Some(_) => {
                Err(Refusal::new(Code::KeyMoved, "the key now belongs to another organisation"))
            }
            None => Err(Refusal::new(Code::KeyRefused, "the key was withdrawn")),
        }
    }
}

/// Returns the bearer key of a request, if it has one.
pub fn bearer_key(headers: &HeaderMap) -> Option<&str> {
    let text = headers.get(AUTHORIZATION)?.to_str().ok()?;
    let (scheme, key) = text.split_once(' ')?;
    let key = key.trim();
    (scheme.eq_ignore_ascii_case("bearer") && !key.is_empty()).then_some(key)
}

/// Returns the headers that may be forwarded to a backend server: none that carry credentials,
/// apply to one connection only (hop-by-hop), contain the key, or whose value is not text, and no
/// `content-length`.
pub fn forwarded_headers(headers: &HeaderMap, key: Option<&str>) -> Vec<(Arc<str>, Arc<str>)> {
    let connection_headers = connection_headers(headers);
    headers
        .iter()
        .filter_map(|(name, value)| Some((name.as_str(), value.to_str().ok()?)))
        .filter(|(name, _)| !SECRET_HEADERS.contains(name) && *name != CONTENT_LENGTH)
        .filter(|(name, _)| !is_hop_by_hop(name))
        .filter(|(name, _)| {
            !connection_headers.iter().any(|other| other.eq_ignore_ascii_case(name))
        })
        .filter(|(name, value)| !contains_key(name, key) && !contains_key(value, key))
        .map(|(name, value)| (name.into(), value.into()))
        .collect()
}

/// Returns the names listed in the `Connection` header. Headers of these names apply to one
/// connection only.
fn connection_headers(headers: &HeaderMap) -> Vec<&str> {
    headers
        .get_all(hyper::header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(str::trim)
        .collect()
}

/// Returns the path and query that may be forwarded. Query parameters that contain the key are left
/// out.
///
/// # Errors
///
/// If the path contains the key.
pub fn forwarded_target(
    path: &str,
    query: Option<&str>,
    key: Option<&str>,
) -> Result<Arc<str>, Refusal> {
    let searchable_key = searchable_key(key);
    if searchable_key.is_some() && contains_key(&percent_decoded(path), searchable_key) {
        return Err(Refusal::new(Code::KeyExposed, "the path holds the key").with_place("path"));
    }
    let pairs: Vec<&str> = query
        .unwrap_or_default()
        .split('&')
        .filter(|pair| {
            !pair.is_empty()
                && !contains_key(&percent_decoded(pair), key)
                && !contains_key(pair, key)
        })
        .collect();
    if pairs.is_empty() {
        return Ok(path.into());
    }
    Ok(format!("{path}?{}", pairs.join("&")).into())
}

/// Checks that a body doesn't contain the key.
///
/// # Errors
///
/// If it does, since the body is forwarded to a backend server.
pub fn check_body(body: &[u8], key: Option<&str>) -> Result<(), Refusal> {
    let Some(key) = searchable_key(key) else { return Ok(()) };
    if contains(body, key.as_bytes()) {
        return Err(Refusal::new(Code::KeyExposed, "the body holds the key").with_place("body"));
    }
    Ok(())
}

/// Returns the key if it is long enough to be searched for in paths and bodies.
fn searchable_key(key: Option<&str>) -> Option<&str> {
    key.filter(|key| key.len() >= SEARCHED_KEY_BYTES_MIN)
}

/// Returns whether a text contains the key, ignoring ASCII case.
fn contains_key(text: &str, key: Option<&str>) -> bool {
    let Some(key) = key else { return false };
    contains(text.to_ascii_lowercase().as_bytes(), key.to_ascii_lowercase().as_bytes())
}

/// Returns whether `bytes` contains `needle`. An empty needle is never found.
fn contains(bytes: &[u8], needle: &[u8]) -> bool {
    let Some((first, _)) = needle.split_first() else { return false };
    let mut rest = bytes;
    while let Some(start) = rest.iter().position(|byte| byte == first) {
        rest = &rest[start..];
        if rest.starts_with(needle) {
            return true;
        }
        rest = &rest[1..];
    }
    false
}

/// Percent-decodes a text until decoding changes nothing, at most `ROUNDS_MAX` times. A key that
/// was encoded several times is thereby found too.
fn percent_decoded(text: &str) -> String {
    const ROUNDS_MAX: usize = 4;
    let mut bytes = text.as_bytes().to_vec();
    for _ in 0..ROUNDS_MAX {
        let decoded = decode_once(&bytes);
        if decoded == bytes {
            break;
        }
        bytes = decoded;
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

/// Decodes one level of percent-encoding. Invalid escapes are kept as they are.
fn decode_once(bytes: &[u8]) -> Vec<u8> {
    let mut decoded = Vec::with_capacity(bytes.len());
    let mut rest = bytes;
    while let Some((first, tail)) = rest.split_first() {
        let mut byte = [0];
        let is_escape = *first == b'%' && tail.len() >= 2;
        if is_escape && hex::decode_to_slice(&tail[..2], &mut byte).is_ok() {
            decoded.push(byte[0]);
            rest = &tail[2..];
        } else {
            decoded.push(*first);
            rest = tail;
        }
    }
    decoded
}

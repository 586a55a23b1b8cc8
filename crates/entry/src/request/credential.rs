//! Callers' keys: looked up, dropped, and kept away from backend servers.

use super::refusal::{Code, Refusal};
use chestnutrack_document::key::Hash;
use chestnutrack_fleet::Snapshot;
use chestnutrack_process::header::is_hop_by_hop;
use hyper::HeaderMap;
use hyper::header::AUTHORIZATION;
use std::sync::Arc;

/// Headers that are never forwarded, whatever they hold.
const SECRET_HEADERS: &[&str] = &[
    "authorization",
    "proxy-authorization",
    "proxy-authenticate",
    "cookie",
    "x-api-key",
    "api-key",
    "x-auth-token",
];
/// Header that the client of the backend server writes itself.
const CONTENT_LENGTH: &str = "content-length";
/// Shortest key that is looked for in paths and bodies, in bytes; shorter texts stand there by
/// chance.
const SEARCHED_KEY_BYTES_MIN: usize = 8;

/// Whose key came, without the key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Credential {
    hash: Hash,
    /// Organisation that the key belongs to.
    pub organisation: Arc<str>,
}

impl Credential {
    /// Looks a key up.
    ///
    /// # Errors
    ///
    /// When it is not in force.
    pub fn of(snapshot: &Snapshot, key: &str) -> Result<Credential, Refusal> {
        let refused = || Refusal::new(Code::KeyRefused, "the key is not in force");
        let document = snapshot.document.as_ref().ok_or_else(refused)?;
        let organisation = snapshot.organisation_of(key).ok_or_else(refused)?;
        Ok(Credential { hash: Hash::of(&document.key_salt, key), organisation })
    }

    /// Checks that the key is still in force for the same organisation.
    ///
    /// # Errors
    ///
    /// When it was withdrawn or moved.
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

/// The key that came with a request, if one did.
pub fn key(headers: &HeaderMap) -> Option<&str> {
    let text = headers.get(AUTHORIZATION)?.to_str().ok()?;
    let (scheme, key) = text.split_once(' ')?;
    let key = key.trim();
    (scheme.eq_ignore_ascii_case("bearer") && !key.is_empty()).then_some(key)
}

/// Headers that may pass on to a backend server.
pub fn forwarded_headers(headers: &HeaderMap, key: Option<&str>) -> Vec<(Arc<str>, Arc<str>)> {
    let named = named_by_connection(headers);
    headers
        .iter()
        .filter_map(|(name, value)| Some((name.as_str(), value.to_str().ok()?)))
        .filter(|(name, _)| !SECRET_HEADERS.contains(name) && *name != CONTENT_LENGTH)
        .filter(|(name, _)| !is_hop_by_hop(name))
        .filter(|(name, _)| !named.iter().any(|other| other.eq_ignore_ascii_case(name)))
        .filter(|(name, value)| !holds(name, key) && !holds(value, key))
        .map(|(name, value)| (name.into(), value.into()))
        .collect()
}

fn named_by_connection(headers: &HeaderMap) -> Vec<&str> {
    headers
        .get_all(hyper::header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(str::trim)
        .collect()
}

/// Path and query that may pass on: without query parameters that hold the key.
///
/// # Errors
///
/// When the path itself holds the key.
pub fn forwarded_target(
    path: &str,
    query: Option<&str>,
    key: Option<&str>,
) -> Result<Arc<str>, Refusal> {
    let long_key = searched(key);
    if long_key.is_some() && holds(&decoded(path), long_key) {
        return Err(Refusal::new(Code::KeyExposed, "the path holds the key").at("path"));
    }
    let pairs: Vec<&str> = query
        .unwrap_or_default()
        .split('&')
        .filter(|pair| !pair.is_empty() && !holds(&decoded(pair), key) && !holds(pair, key))
        .collect();
    if pairs.is_empty() {
        return Ok(path.into());
    }
    Ok(format!("{path}?{}", pairs.join("&")).into())
}

/// Checks that a body doesn't hold the key.
///
/// # Errors
///
/// When it does: the body would pass on to a backend server.
pub fn check_body(body: &[u8], key: Option<&str>) -> Result<(), Refusal> {
    let Some(key) = searched(key) else { return Ok(()) };
    if contains(body, key.as_bytes()) {
        return Err(Refusal::new(Code::KeyExposed, "the body holds the key").at("body"));
    }
    Ok(())
}

fn searched(key: Option<&str>) -> Option<&str> {
    key.filter(|key| key.len() >= SEARCHED_KEY_BYTES_MIN)
}

fn holds(text: &str, key: Option<&str>) -> bool {
    let Some(key) = key else { return false };
    contains(text.to_ascii_lowercase().as_bytes(), key.to_ascii_lowercase().as_bytes())
}

fn contains(bytes: &[u8], wanted: &[u8]) -> bool {
    let Some((first, _)) = wanted.split_first() else { return false };
    let mut rest = bytes;
    while let Some(at) = rest.iter().position(|byte| byte == first) {
        rest = &rest[at..];
        if rest.starts_with(wanted) {
            return true;
        }
        rest = &rest[1..];
    }
    false
}

/// Percent-decodes a text, as often as it is encoded.
fn decoded(text: &str) -> String {
    const ROUNDS_MAX: usize = 4;
    let mut bytes = text.as_bytes().to_vec();
    for _ in 0..ROUNDS_MAX {
        let next = decode_once(&bytes);
        if next == bytes {
            break;
        }
        bytes = next;
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

fn decode_once(bytes: &[u8]) -> Vec<u8> {
    let mut out = Vec::with_capacity(bytes.len());
    let mut rest = bytes;
    while let Some((first, tail)) = rest.split_first() {
        let mut byte = [0];
        let escaped = *first == b'%' && tail.len() >= 2;
        if escaped && hex::decode_to_slice(&tail[..2], &mut byte).is_ok() {
            out.push(byte[0]);
            rest = &tail[2..];
        } else {
            out.push(*first);
            rest = tail;
        }
    }
    out
}

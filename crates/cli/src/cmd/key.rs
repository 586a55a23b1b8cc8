//! `key`: creates callers' keys and salts, and hashes keys for the document.

use super::check;
use crate::output::{FINDING, Output, USAGE};
use argh::FromArgs;
use chestnutrack_document::key::Hash;
use chestnutrack_document::model::Document;
use serde_json::json;
use std::io::Read;

/// Number of random bytes in a new key or salt.
const RANDOM_BYTES: usize = 32;
/// Prefix of a new key, by which scanners for leaked secrets recognize it.
const KEY_PREFIX: &str = "ctk_";

/// Make a caller's key, or hash one for the document.
#[derive(FromArgs)]
#[argh(subcommand, name = "key")]
pub(super) struct Key {
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    New(New),
    Hash(HashKey),
    Salt(Salt),
}

/// Make a fresh key; only its hash goes into the document.
#[derive(FromArgs)]
#[argh(subcommand, name = "new")]
struct New {
    /// the document's key_salt
    #[argh(option)]
    salt: Option<String>,
    /// a document to take the salt from
    #[argh(option)]
    document: Option<String>,
    /// print JSON
    #[argh(switch)]
    json: bool,
}

/// Hash a key that is read from standard input, so that it stands in no list of processes.
#[derive(FromArgs)]
#[argh(subcommand, name = "hash")]
struct HashKey {
    /// the document's key_salt
    #[argh(option)]
    salt: Option<String>,
    /// a document to take the salt from
    #[argh(option)]
    document: Option<String>,
    /// print JSON
    #[argh(switch)]
    json: bool,
}

/// Make a fresh salt for a new document.
#[derive(FromArgs)]
#[argh(subcommand, name = "salt")]
struct Salt {}

impl Key {
    /// Creates a key or a salt, or hashes a key from standard input.
    pub(super) fn run(self) -> Result<Output, Output> {
        match self.command {
            Command::New(new) => {
                let salt = resolve_salt(new.salt, new.document.as_deref())?;
                let key = format!("{KEY_PREFIX}{}", random_hex());
                let hash = Hash::of(&salt, &key).to_hex();
                Ok(match new.json {
                    true => Output::json(&json!({ "key": key, "hash": hash })),
                    false => Output::ok(format!("key   {key}\nhash  {hash}\n")),
                })
            }
            Command::Hash(hash) => {
                let salt = resolve_salt(hash.salt, hash.document.as_deref())?;
                let key = read_key()?;
                let value = Hash::of(&salt, &key).to_hex();
                Ok(match hash.json {
                    true => Output::json(&json!({ "hash": value })),
                    false => Output::ok(format!("{value}\n")),
                })
            }
            Command::Salt(Salt {}) => Ok(Output::ok(format!("{}\n", random_hex()))),
        }
    }
}

/// Returns random bytes as hexadecimal digits.
fn random_hex() -> String {
    hex::encode(rand::random::<[u8; RANDOM_BYTES]>())
}

/// Returns the salt from the flag or from the document file, exactly one of which must be given.
fn resolve_salt(salt: Option<String>, document_file: Option<&str>) -> Result<String, Output> {
    match (salt, document_file) {
        (Some(salt), None) => Ok(salt),
        (None, Some(file)) => {
            let document: Document = serde_json::from_slice(&check::read_input(file)?)
                .map_err(|error| Output::error(FINDING, format!("{file}: {error}")))?;
            Ok(document.key_salt.to_string())
        }
        _ => {
            Err(Output::error(USAGE, "give one of --salt and --document; keys are hashed under it"))
        }
    }
}

/// Reads a key from standard input, without surrounding white space.
fn read_key() -> Result<String, Output> {
    let mut text = String::new();
    let result = std::io::stdin().read_to_string(&mut text);
    result.map_err(|error| Output::error(USAGE, format!("standard input: {error}")))?;
    let key = text.trim();
    if key.is_empty() {
        return Err(Output::error(USAGE, "standard input holds no key"));
    }
    Ok(key.to_owned())
}

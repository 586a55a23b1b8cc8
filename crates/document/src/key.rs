//! Hashes of callers' API keys. A document contains only keyed hashes, never the keys themselves.

use subtle::ConstantTimeEq;

/// Length of a key's hash, in bytes.
pub const HASH_BYTES: usize = 32;

/// Context string for key derivation; it separates key hashes from every other use of the hash function.
const CONTEXT: &str = "chestnutrack 2026 caller key v1";

/// Keyed hash of a caller's key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Hash(pub [u8; HASH_BYTES]);

impl Hash {
    /// Hashes a caller's key with the document's salt.
    pub fn of(salt: &str, key: &str) -> Hash {
        let derived = blake3::derive_key(CONTEXT, salt.as_bytes());
        Hash(*blake3::keyed_hash(&derived, key.as_bytes()).as_bytes())
    }

    /// Parses a hash from 64 hexadecimal digits; returns `None` for any other text.
    pub fn from_hex(text: &str) -> Option<Hash> {
        let mut bytes = [0; HASH_BYTES];
        hex::decode_to_slice(text, &mut bytes).ok()?;
        Some(Hash(bytes))
    }

    /// Returns the hash as 64 hexadecimal digits.
    pub fn to_hex(self) -> String {
        hex::encode(self.0)
    }

    /// Compares two hashes in constant time.
    pub fn matches(&self, other: &Hash) -> bool {
        self.0.ct_eq(&other.0).into()
    }
}

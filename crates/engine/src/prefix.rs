//! Hashes of prompt prefixes, as they appear in engines' cache events.
//!
//! An engine caches prompts in pieces of [`PIECE_TOKENS`] tokens each.

use crate::order::{BYTES_PER_TOKEN, PIECE_TOKENS};

/// Bytes of prompt text in one piece.
pub const PIECE_BYTES: usize = PIECE_TOKENS as usize * BYTES_PER_TOKEN;

/// Returns a hash for each whole piece of a prompt, in order. Each hash covers the text from the
/// prompt's start to the end of the piece.
pub fn hashes(prompt: &str) -> Vec<u64> {
    let mut hasher = blake3::Hasher::new();
    let pieces = prompt.as_bytes().chunks_exact(PIECE_BYTES);
    pieces.map(|piece| truncated_hash(hasher.update(piece))).collect()
}

/// Returns the number of tokens in a prompt, rounded up.
pub fn token_count(prompt: &str) -> u32 {
    u32::try_from(prompt.len().div_ceil(BYTES_PER_TOKEN)).unwrap_or(u32::MAX)
}

/// Returns the first eight bytes of the hash of everything that was hashed so far, as a number.
fn truncated_hash(hasher: &blake3::Hasher) -> u64 {
    let mut bytes = [0; 8];
    bytes.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
    u64::from_le_bytes(bytes)
}

//! Divides prompts into pieces of fixed size, by whose ends their prefixes are compared.

use crate::prefix::Prefix;

/// Size of a piece of a prompt, in bytes.
pub const PIECE_BYTES: usize = 4_096;
/// Size of a piece of a prompt, in tokens.
pub const PIECE_TOKENS: u64 = 1_024;

/// Returns the prefix of a prompt up to the end of each whole piece, shortest first. A rest shorter than a piece belongs to
/// no prefix.
pub fn pieces(prompt: &str) -> Vec<Prefix> {
    let mut hasher = blake3::Hasher::new();
    prompt
        .as_bytes()
        .chunks_exact(PIECE_BYTES)
        .zip(1..)
        .map(|(piece, count)| {
            hasher.update(piece);
            let mut hash_prefix = [0; 8];
            hash_prefix.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
            Prefix { hash: u64::from_le_bytes(hash_prefix), tokens: count * PIECE_TOKENS }
        })
        .collect()
}

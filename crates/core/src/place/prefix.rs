//! Index of the prompt prefixes whose KV cache each server is believed to hold, bounded and with expiry.
//!
//! A prompt is divided into pieces of fixed size. The hash of a piece covers the whole prompt up to the piece's
//! end, so equal hashes mean equal prefixes.

use super::table::Key;
use crate::time::Instant;
use std::collections::{HashMap, VecDeque};
use std::time::Duration;

/// Size of a piece of a prompt, in bytes.
pub const PIECE_BYTES: usize = 4_096;
/// Size of a piece of a prompt, in tokens.
pub const PIECE_TOKENS: u64 = 1_024;
/// Maximum number of entries (a piece on a server) in the index.
const PIECES_MAX: usize = 65_536;
/// Time after which a piece expires unless it is used again.
const HELD_FOR: Duration = Duration::from_secs(60);

/// Returns a hash for each whole piece of a prompt. Each hash covers the text from the start of the prompt to
/// the end of the piece, so it identifies a prefix. A rest shorter than a piece has no hash.
pub fn pieces(prompt: &str) -> Vec<u64> {
    let mut hasher = blake3::Hasher::new();
    prompt
        .as_bytes()
        .chunks_exact(PIECE_BYTES)
        .map(|piece| {
            hasher.update(piece);
            let mut hash_prefix = [0; 8];
            hash_prefix.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
            u64::from_le_bytes(hash_prefix)
        })
        .collect()
}

/// Maps pieces of prompts to the servers that are believed to hold them.
#[derive(Debug, Default)]
pub struct PrefixIndex {
    /// When each piece was last used on each server.
    last_used: HashMap<(u64, Key), Instant>,
    /// Servers that hold each piece.
    servers: HashMap<u64, Vec<Key>>,
    /// Uses of pieces, oldest first, for eviction. A piece that was used again has several.
    uses: VecDeque<(u64, Key, Instant)>,
}

impl PrefixIndex {
    /// Records that the prompt with these pieces was sent to a server for its prefill.
    pub fn record(&mut self, server: Key, pieces: &[u64], now: Instant) {
        for piece in pieces {
            if self.last_used.insert((*piece, server), now).is_none() {
                self.servers.entry(*piece).or_default().push(server);
            }
            self.uses.push_back((*piece, server, now));
        }
        self.evict(now);
    }

    /// Returns the number of the prompt's tokens that each server is believed to hold: the pieces from the
    /// start of the prompt up to the first that the server lacks.
    pub fn holders(&self, pieces: &[u64], now: Instant) -> HashMap<Key, u64> {
        let mut tokens = HashMap::new();
        for (index, piece) in pieces.iter().enumerate() {
            let held_before = index as u64 * PIECE_TOKENS;
            for server in self.servers.get(piece).into_iter().flatten() {
                let last_used_at =
                    self.last_used.get(&(*piece, *server)).copied().unwrap_or_default();
                let total = tokens.entry(*server).or_insert(0);
                if now.since(last_used_at) < HELD_FOR && *total == held_before {
                    *total += PIECE_TOKENS;
                }
            }
        }
        tokens
    }

    /// Removes all pieces of a server, for example because it restarted.
    pub fn forget(&mut self, server: Key) {
        self.last_used.retain(|(_, key), _| *key != server);
        for servers in self.servers.values_mut() {
            servers.retain(|key| *key != server);
        }
        self.servers.retain(|_, servers| !servers.is_empty());
    }

    /// Returns the number of entries: pieces, counted once for each server that holds them.
    pub fn len(&self) -> usize {
        self.last_used.len()
    }

    /// Returns `true` if there are no entries.
    pub fn is_empty(&self) -> bool {
        self.last_used.is_empty()
    }

    /// Removes uses that have expired, and the oldest ones while there are too many entries or uses. An entry is
    /// removed with its latest use. Since a piece that is used often has many uses, their number is bounded
    /// too, to twice the number of entries.
    fn evict(&mut self, now: Instant) {
        while let Some((piece, server, recorded_at)) = self.uses.front().copied() {
            let has_expired = now.since(recorded_at) >= HELD_FOR;
            if !has_expired
                && self.last_used.len() <= PIECES_MAX
                && self.uses.len() <= 2 * PIECES_MAX
            {
                return;
            }
            self.uses.pop_front();
            if self.last_used.get(&(piece, server)) == Some(&recorded_at) {
                self.drop_piece(piece, server);
            }
        }
    }

    /// Removes a piece of one server.
    fn drop_piece(&mut self, piece: u64, server: Key) {
        self.last_used.remove(&(piece, server));
        let Some(servers) = self.servers.get_mut(&piece) else { return };
        servers.retain(|key| *key != server);
        if servers.is_empty() {
            self.servers.remove(&piece);
        }
    }
}

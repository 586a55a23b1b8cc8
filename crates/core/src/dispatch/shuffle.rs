//! Pseudorandom numbers by which ties between servers are broken, and in which hosts differ.

use super::ServerKey;
use crate::mix::mix;

/// An evenly spread sequence of numbers.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Sequence(u64);

impl Sequence {
    /// Creates the sequence that begins after `seed`.
    pub(super) fn new(seed: u64) -> Sequence {
        Sequence(seed)
    }

    /// Returns the next number.
    pub(super) fn next(&mut self) -> u64 {
        /// 2^64 divided by the golden ratio.
        const STEP: u64 = 0x9e37_79b9_7f4a_7c15;
        self.0 = self.0.wrapping_add(STEP);
        self.0
    }
}

/// Returns a pseudorandom rank of a server, by which candidates are shuffled. Each `shuffle_seed`
/// gives another order.
pub(super) fn rank(key: ServerKey, shuffle_seed: u64) -> u64 {
    mix(slotmap::Key::data(&key).as_ffi() ^ shuffle_seed)
}

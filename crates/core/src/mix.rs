//! Hashes that are the same on every host and in every version of the program.

/// Returns a hash of a name.
pub fn hash(name: &str) -> u64 {
    let mut prefix = [0; 8];
    prefix.copy_from_slice(&blake3::hash(name.as_bytes()).as_bytes()[..8]);
    u64::from_le_bytes(prefix)
}

/// Returns a number whose bits all depend on all bits of `value`.
pub fn mix(value: u64) -> u64 {
    /// Odd multiplier with well-mixed bits.
    const FACTOR: u64 = 0xff51_afd7_ed55_8ccd;
    let mixed = value.wrapping_mul(FACTOR);
    (mixed ^ (mixed >> 32)).wrapping_mul(FACTOR)
}

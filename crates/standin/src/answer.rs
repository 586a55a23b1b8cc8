//! Deterministic text generation of the stand-in engines.
//!
//! Each token depends only on the prompt and the token's offset, so that a caller can check that
//! an answer is complete and belongs to its prompt.

/// Start of the mark `<stop:N>` in a prompt, which limits the answer to `N` tokens.
const STOP_MARK: &str = "<stop:";
/// Number of distinct tokens.
const VOCABULARY: u64 = 1_000;

/// Generates the answer to one prompt from the prompt's hash and its stop mark.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Generator {
    hash: u64,
    stop: Option<u32>,
}

impl Generator {
    /// Creates the generator for a prompt.
    pub fn new(prompt: &str) -> Generator {
        Generator { hash: fnv1a(prompt.as_bytes()), stop: parse_stop(prompt) }
    }

    /// Creates a generator from the parts that another engine exported.
    pub fn from_parts(hash: u64, stop: Option<u32>) -> Generator {
        Generator { hash, stop }
    }

    /// Returns the prompt's hash and the stop length, as sent to an importing engine.
    pub fn parts(self) -> (u64, Option<u32>) {
        (self.hash, self.stop)
    }

    /// Returns the token at an offset.
    pub fn token(self, offset: u32) -> String {
        let hash = splitmix64(self.hash ^ splitmix64(u64::from(offset)));
        format!(" w{}", hash % VOCABULARY)
    }

    /// Returns the length of the answer in tokens when at most `max` are requested.
    pub fn token_count(self, max: u32) -> u32 {
        self.stop.map_or(max, |stop| stop.min(max))
    }

    /// Returns why the answer ends when at most `max` tokens are requested: `stop` if its stop mark
    /// is reached, otherwise `length`.
    pub fn finish_reason(self, max: u32) -> &'static str {
        if self.stop.is_some_and(|stop| stop <= max) { "stop" } else { "length" }
    }
}

/// Returns the token at an offset of the answer to a prompt.
pub fn token(prompt: &str, offset: u32) -> String {
    Generator::new(prompt).token(offset)
}

/// Returns the complete answer to a prompt when at most `max` tokens are requested.
pub fn full_text(prompt: &str, max: u32) -> String {
    let generator = Generator::new(prompt);
    (0..generator.token_count(max)).map(|offset| generator.token(offset)).collect()
}

/// Returns the number in the prompt's first stop mark.
fn parse_stop(prompt: &str) -> Option<u32> {
    let (_, rest) = prompt.split_once(STOP_MARK)?;
    let (number, _) = rest.split_once('>')?;
    number.parse().ok()
}

/// Returns the 64-bit FNV-1a hash.
fn fnv1a(bytes: &[u8]) -> u64 {
    bytes.iter().fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
        (hash ^ u64::from(*byte)).wrapping_mul(0x0000_0100_0000_01b3)
    })
}

/// Applies the finalizer of SplitMix64.
fn splitmix64(value: u64) -> u64 {
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}

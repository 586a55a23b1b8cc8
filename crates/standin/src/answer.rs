//! The text that stand-in engines generate: a function of the prompt and the offset alone, so
//! that a caller can check that an answer is whole and its own.

/// Marks the length of the answer in a prompt: `<stop:N>`.
const STOP_MARK: &str = "<stop:";
/// Number of different tokens.
const VOCABULARY: u64 = 1_000;

/// What an engine needs to know of a prompt to generate its answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Generator {
    hash: u64,
    stop: Option<u32>,
}

impl Generator {
    /// The source of a prompt's answer.
    pub fn new(prompt: &str) -> Generator {
        Generator { hash: hash(prompt.as_bytes()), stop: stop(prompt) }
    }

    /// From its parts, as engines pass them on.
    pub fn from_parts(hash: u64, stop: Option<u32>) -> Generator {
        Generator { hash, stop }
    }

    /// Its parts.
    pub fn parts(self) -> (u64, Option<u32>) {
        (self.hash, self.stop)
    }

    /// The token at an offset.
    pub fn token(self, offset: u32) -> String {
        let mixed = mix(self.hash ^ mix(u64::from(offset)));
        format!(" w{}", mixed % VOCABULARY)
    }

    /// Length of the answer in tokens when at most `max` are asked for.
    pub fn token_count(self, max: u32) -> u32 {
        self.stop.map_or(max, |stop| stop.min(max))
    }

    /// Why the answer ends there: `stop` or `length`.
    pub fn finish_reason(self, max: u32) -> &'static str {
        if self.stop.is_some_and(|stop| stop <= max) { "stop" } else { "length" }
    }
}

/// The token at an offset of the answer to a prompt.
pub fn token(prompt: &str, offset: u32) -> String {
    Generator::new(prompt).token(offset)
}

/// The whole answer to a prompt when at most `max` tokens are asked for.
pub fn full_text(prompt: &str, max: u32) -> String {
    let generator = Generator::new(prompt);
    (0..generator.token_count(max)).map(|offset| generator.token(offset)).collect()
}

fn stop(prompt: &str) -> Option<u32> {
    let (_, rest) = prompt.split_once(STOP_MARK)?;
    let (number, _) = rest.split_once('>')?;
    number.parse().ok()
}

/// FNV-1a.
fn hash(bytes: &[u8]) -> u64 {
    bytes.iter().fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
        (hash ^ u64::from(*byte)).wrapping_mul(0x0000_0100_0000_01b3)
    })
}

/// The finalizer of SplitMix64.
fn mix(value: u64) -> u64 {
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}

//! Tracks how much of an answer was received, and detects duplicate and missing parts. Parts are
//! counted in units: the tokens of a generated answer, or the bytes of a plain answer's body.

/// How a part of an answer relates to what was received before it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChunkStatus {
    /// The part has new units; carries the number of units at its start that were received before.
    New(usize),
    /// The whole part was received before.
    Duplicate,
    /// An earlier part is missing.
    Gap,
}

/// Number of units (tokens or bytes) of an answer received without a gap.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Cursor(pub u64);

impl Cursor {
    /// Compares a part of `length` units at `offset` with what was received. Advances the cursor to
    /// the part's end if it has new units.
    pub fn advance(&mut self, offset: u64, length: usize) -> ChunkStatus {
        let end = offset.saturating_add(length as u64);
        if offset > self.0 {
            return ChunkStatus::Gap;
        }
        if end <= self.0 {
            return ChunkStatus::Duplicate;
        }
        let skip = usize::try_from(self.0 - offset).unwrap_or(length);
        self.0 = end;
        ChunkStatus::New(skip)
    }
}

//! How far an answer has come: where a part fits, and whether it is whole.

/// What to do with a part of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fit {
    /// Take it, but for so many units at its start that came before.
    Take(usize),
    /// All of it came before.
    Duplicate,
    /// A part before it is missing.
    Gap,
}

/// Units (tokens or bytes) of an answer that have come.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Cursor(pub u64);

impl Cursor {
    /// Places a part of `length` units at `offset`, and moves on where it is taken.
    pub fn place(&mut self, offset: u64, length: usize) -> Fit {
        let end = offset.saturating_add(length as u64);
        if offset > self.0 {
            return Fit::Gap;
        }
        if end <= self.0 {
            return Fit::Duplicate;
        }
        let skip = usize::try_from(self.0 - offset).unwrap_or(length);
        self.0 = end;
        Fit::Take(skip)
    }
}

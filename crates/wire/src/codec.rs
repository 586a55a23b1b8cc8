//! Encodes frames as CBOR and decodes them, within a size limit.

use crate::frame::Frame;
use displaydoc::Display;

/// Largest encoded frame, in bytes.
pub const FRAME_BYTES_MAX: usize = 16 << 20;

/// Why a frame could not be encoded or decoded.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum Error {
    /// frame of {0} bytes is larger than the limit
    TooLarge(usize),
    /// malformed frame at byte {0}
    Malformed(usize),
    /// frame is not understood: {0}
    Invalid(String),
    /// frame is followed by {0} trailing bytes
    Trailing(usize),
}

impl std::error::Error for Error {}

/// Encodes a frame.
///
/// # Errors
///
/// Returns [`Error::TooLarge`] for a frame over [`FRAME_BYTES_MAX`].
pub fn encode(frame: &Frame) -> Result<Vec<u8>, Error> {
    let mut bytes = Vec::with_capacity(128);
    ciborium::into_writer(frame, &mut bytes).map_err(|error| Error::Invalid(error.to_string()))?;
    if bytes.len() > FRAME_BYTES_MAX {
        return Err(Error::TooLarge(bytes.len()));
    }
    Ok(bytes)
}

/// Decodes a frame that occupies all of `bytes`.
///
/// # Errors
///
/// Returns an error for a frame over [`FRAME_BYTES_MAX`], for invalid CBOR with its offset, for an
/// unknown frame or field, and for trailing bytes.
pub fn decode(bytes: &[u8]) -> Result<Frame, Error> {
    if bytes.len() > FRAME_BYTES_MAX {
        return Err(Error::TooLarge(bytes.len()));
    }
    let mut rest = bytes;
    let frame =
        ciborium::from_reader(&mut rest).map_err(|error| decode_error(&error, bytes.len()))?;
    if rest.is_empty() { Ok(frame) } else { Err(Error::Trailing(rest.len())) }
}

fn decode_error(error: &ciborium::de::Error<std::io::Error>, length: usize) -> Error {
    use ciborium::de::Error as Source;
    match error {
        Source::Io(_) => Error::Malformed(length),
        Source::Syntax(at) => Error::Malformed(*at),
        Source::Semantic(_, text) => Error::Invalid(text.clone()),
        Source::RecursionLimitExceeded => Error::Invalid("nested too deeply".to_owned()),
    }
}

//! Encodes frames as CBOR and decodes them, within a size limit.

use crate::frame::Frame;
use displaydoc::Display;

/// Largest encoded frame, in bytes.
pub const FRAME_BYTES_MAX: usize = 16 << 20;

/// Why a frame could not be encoded or decoded. [`Error::Malformed`] stands for bytes that are not CBOR,
/// [`Error::Invalid`] for CBOR that is not a frame, for a text message, and for a frame that can't be
/// encoded.
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
/// Returns [`Error::TooLarge`] for a frame over [`FRAME_BYTES_MAX`], and [`Error::Invalid`] if the encoder
/// rejects the frame.
pub fn encode(frame: &Frame) -> Result<Vec<u8>, Error> {
    // Initial capacity, in bytes; the buffer grows for larger frames.
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
/// Returns [`Error::TooLarge`] for a frame over [`FRAME_BYTES_MAX`], [`Error::Malformed`] for invalid CBOR,
/// with the offset of the error, [`Error::Invalid`] for CBOR that is not a frame (such as an unknown
/// frame, or a field that is missing or has another type) or is nested too deeply, and
/// [`Error::Trailing`] for bytes after the frame. Unknown fields of a frame are ignored.
pub fn decode(bytes: &[u8]) -> Result<Frame, Error> {
    if bytes.len() > FRAME_BYTES_MAX {
        return Err(Error::TooLarge(bytes.len()));
    }
    let mut rest = bytes;
    let frame =
        ciborium::from_reader(&mut rest).map_err(|error| decode_error(&error, bytes.len()))?;
    if rest.is_empty() { Ok(frame) } else { Err(Error::Trailing(rest.len())) }
}

/// Converts the decoder's error. Input of `length` bytes that ends too early is malformed at its end.
fn decode_error(error: &ciborium::de::Error<std::io::Error>, length: usize) -> Error {
    use ciborium::de::Error as Source;
    match error {
        Source::Io(_) => Error::Malformed(length),
        Source::Syntax(offset) => Error::Malformed(*offset),
        Source::Semantic(_, message) => Error::Invalid(message.clone()),
        Source::RecursionLimitExceeded => Error::Invalid("nested too deeply".to_owned()),
    }
}

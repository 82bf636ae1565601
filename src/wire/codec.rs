use displaydoc::Display;
use serde::de::DeserializeOwned;
use serde::Serialize;

/// Longest frame, in bytes; longer ones end the session.
pub const FRAME_LIMIT: usize = 4 * 1024 * 1024;
/// Deepest nesting of a frame that is read.
const DEPTH_LIMIT: usize = 64;

/// Why a frame couldn't be read or written.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum CodecError {
    /// frame of {0} bytes, expected at most 4194304
    TooLong(usize),
    /// frame isn't a message of this protocol version: {0}
    Malformed(String),
}

impl std::error::Error for CodecError {}

/// Writes a value as CBOR.
///
/// # Errors
/// Returns an error for a value that is longer than a frame may be.
pub fn encode<T: Serialize>(value: &T) -> Result<Vec<u8>, CodecError> {
    let mut bytes = Vec::new();
    ciborium::into_writer(value, &mut bytes).map_err(|e| CodecError::Malformed(e.to_string()))?;
    if bytes.len() > FRAME_LIMIT {
        return Err(CodecError::TooLong(bytes.len()));
    }
    Ok(bytes)
}

/// Reads a value from CBOR; unknown fields are passed over.
///
/// # Errors
/// Returns an error for frames that are too long, cut off, nested too deeply or
/// of another form.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, CodecError> {
    if bytes.len() > FRAME_LIMIT {
        return Err(CodecError::TooLong(bytes.len()));
    }
    ciborium::de::from_reader_with_recursion_limit(bytes, DEPTH_LIMIT)
        .map_err(|e| CodecError::Malformed(e.to_string()))
}

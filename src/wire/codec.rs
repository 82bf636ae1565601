use displaydoc::Display;
use serde::de::DeserializeOwned;
use serde::Serialize;

/// Maximum length of a frame; a longer one ends the session.
pub const MAX_FRAME_BYTES: usize = 4 * 1024 * 1024;
/// Maximum nesting depth of a frame that is decoded.
const MAX_DEPTH: usize = 64;

/// Why a frame couldn't be encoded or decoded.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum CodecError {
    /// frame has {0} bytes, expected at most 4194304
    TooLong(usize),
    /// frame is not a valid message of this protocol version: {0}
    Malformed(String),
}

impl std::error::Error for CodecError {}

/// Encodes a value as CBOR.
///
/// # Errors
/// Returns an error if the value can't be encoded or the frame would be too long.
pub fn encode<T: Serialize>(value: &T) -> Result<Vec<u8>, CodecError> {
    let mut bytes = Vec::new();
    ciborium::into_writer(value, &mut bytes).map_err(|e| CodecError::Malformed(e.to_string()))?;
    if bytes.len() > MAX_FRAME_BYTES {
        return Err(CodecError::TooLong(bytes.len()));
    }
    Ok(bytes)
}

/// Decodes a value from CBOR; unknown fields are ignored.
///
/// # Errors
/// Returns an error for frames that are too long, truncated, nested too deeply or
/// not of the expected type.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, CodecError> {
    if bytes.len() > MAX_FRAME_BYTES {
        return Err(CodecError::TooLong(bytes.len()));
    }
    ciborium::de::from_reader_with_recursion_limit(bytes, MAX_DEPTH)
        .map_err(|e| CodecError::Malformed(e.to_string()))
}

use std::io;

use serde::Serialize;

/// Counts the bytes that are written to it.
#[derive(Default)]
struct ByteCount(usize);

impl io::Write for ByteCount {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0 += bytes.len();
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Size of a value in a message to another router, in bytes; none if it can't be encoded.
pub(super) fn encoded_size(value: &impl Serialize) -> Option<usize> {
    let mut count = ByteCount::default();
    ciborium::into_writer(value, &mut count).ok()?;
    Some(count.0)
}

use bytes::{Bytes, BytesMut};

/// Most bytes that are buffered for an event.
const MAX_EVENT_BYTES: usize = 128 * 1024;

/// Splits a stream of server-sent events into complete events.
///
/// An event ends with an empty line. Bytes of an incomplete event are never returned.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffer: BytesMut,
    /// Bytes of the buffer that are known to hold no end of an event.
    scanned: usize,
}

/// One complete event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SplitEvent {
    /// The event's id, if it has one that is a number.
    pub id: Option<u64>,
    /// All bytes of the event, including the empty line.
    pub bytes: Bytes,
}

impl EventSplitter {
    /// Adds bytes of the stream; returns whether the buffered bytes are within the limit.
    pub fn push(&mut self, bytes: &[u8]) -> bool {
        self.buffer.extend_from_slice(bytes);
        self.buffer.len() <= MAX_EVENT_BYTES
    }

    /// Removes the next complete event and returns it.
    pub fn next_event(&mut self) -> Option<SplitEvent> {
        let end = self.event_end()?;
        self.scanned = 0;
        let bytes = self.buffer.split_to(end).freeze();
        Some(SplitEvent {
            id: event_id(&bytes),
            bytes,
        })
    }

    /// Whether part of an event is buffered.
    pub fn has_partial(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Length of the first event in the buffer, if it is complete.
    fn event_end(&mut self) -> Option<usize> {
        let from = self.scanned;
        for i in from..self.buffer.len() {
            if self.buffer[i] != b'\n' {
                continue;
            }
            let line = &self.buffer[..i];
            let line = line.strip_suffix(b"\r").unwrap_or(line);
            if line.is_empty() || line.ends_with(b"\n") {
                return Some(i + 1);
            }
        }
        self.scanned = self.buffer.len().saturating_sub(1);
        None
    }
}

fn event_id(event: &[u8]) -> Option<u64> {
    let line = event
        .split(|b| *b == b'\n')
        .find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(line).ok()?.trim().parse().ok()
}

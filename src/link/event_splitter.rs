use bytes::{Bytes, BytesMut};

/// Longest event that is put together, in bytes.
const EVENT_LIMIT: usize = 1024 * 1024;

/// Cuts a stream of server-sent events into whole events.
///
/// An event ends with an empty line. Bytes of an event whose end never comes
/// are never given out.
#[derive(Debug, Default)]
pub struct EventSplitter {
    held: BytesMut,
    searched: usize,
}

/// One whole event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SplitEvent {
    /// Its id, where it is a number.
    pub id: Option<u64>,
    /// All its bytes, the empty line included.
    pub bytes: Bytes,
}

impl EventSplitter {
    /// Takes bytes in. False when an event grows beyond all bounds.
    pub fn push(&mut self, bytes: &[u8]) -> bool {
        self.held.extend_from_slice(bytes);
        self.held.len() <= EVENT_LIMIT
    }

    /// The next whole event.
    pub fn next_event(&mut self) -> Option<SplitEvent> {
        let end = self.end()?;
        self.searched = 0;
        let bytes = self.held.split_to(end).freeze();
        Some(SplitEvent {
            id: id(&bytes),
            bytes,
        })
    }

    /// Whether part of an event is held.
    pub fn is_torn(&self) -> bool {
        !self.held.is_empty()
    }

    /// Where the first whole event ends.
    fn end(&mut self) -> Option<usize> {
        let from = self.searched;
        for i in from..self.held.len() {
            if self.held[i] != b'\n' {
                continue;
            }
            let line = &self.held[..i];
            let line = line.strip_suffix(b"\r").unwrap_or(line);
            if line.is_empty() || line.ends_with(b"\n") {
                return Some(i + 1);
            }
        }
        self.searched = self.held.len().saturating_sub(1);
        None
    }
}

/// The id of an event, where it is a number.
fn id(event: &[u8]) -> Option<u64> {
    let line = event
        .split(|b| *b == b'\n')
        .find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(line).ok()?.trim().parse().ok()
}

use bytes::Bytes;
use tokio::sync::watch;

use super::Gate;

/// The place of a connection, until it is dropped.
pub(crate) struct Place {
    gate: Gate,
    id: u64,
    displaced: watch::Receiver<bool>,
}

/// Marks that a complete request of a connection is being answered, until it is dropped.
pub(crate) struct Serving {
    gate: Gate,
    id: u64,
}

/// Memory of a complete request, until it is dropped.
pub(super) struct TakenBytes {
    gate: Gate,
    bytes: usize,
}

/// Bytes and their memory.
struct Held<T> {
    bytes: T,
    _taken: TakenBytes,
}

impl Place {
    pub(super) fn new(gate: Gate, id: u64, displaced: watch::Receiver<bool>) -> Self {
        Self {
            gate,
            id,
            displaced,
        }
    }

    /// Waits until the connection is to be closed in favour of another one.
    pub async fn displaced(&self) {
        let mut displaced = self.displaced.clone();
        // The sender is dropped only with the place.
        let _ = displaced.wait_for(|is_displaced| *is_displaced).await;
    }

    /// The body of a request comes in from now on.
    pub(super) fn begin_request(&self) {
        self.gate.update(|s, now| s.begin_request(self.id, now));
    }

    /// The request is given up, and its memory is free.
    pub(super) fn abandon_request(&self) {
        self.gate.update(|s, now| s.begin_request(self.id, now));
    }

    /// Takes memory for more bytes of the body; false if there is none.
    pub(super) fn take(&self, more: usize) -> bool {
        self.gate.take(self.id, more)
    }

    /// Counts that a limit was met.
    pub fn count(&self, limit: &'static str) {
        self.gate.count(limit);
    }

    /// The request has been read. The connection doesn't give way while it is answered.
    pub(super) fn complete(&self) -> TakenBytes {
        let bytes = self.gate.update(|s, _| s.complete(self.id));
        TakenBytes {
            gate: self.gate.clone(),
            bytes,
        }
    }

    /// Keeps an answer in the memory of requests until it has been written; none if there is no room.
    pub fn hold(&self, answer: Bytes) -> Option<Bytes> {
        if !self.take(answer.len()) {
            return None;
        }
        Some(self.complete().own(answer))
    }

    /// Keeps the connection from giving way until the request has been answered.
    pub fn serve(&self) -> Serving {
        self.gate.update(|s, _| s.complete(self.id));
        Serving {
            gate: self.gate.clone(),
            id: self.id,
        }
    }
}

impl TakenBytes {
    /// Bytes that keep the memory until their last copy is dropped.
    pub fn own<T: AsRef<[u8]> + Send + 'static>(self, bytes: T) -> Bytes {
        Bytes::from_owner(Held {
            bytes,
            _taken: self,
        })
    }
}

impl<T: AsRef<[u8]>> AsRef<[u8]> for Held<T> {
    fn as_ref(&self) -> &[u8] {
        self.bytes.as_ref()
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        self.gate.close(self.id);
    }
}

impl Drop for Serving {
    fn drop(&mut self) {
        self.gate.update(|s, now| s.answered(self.id, now));
    }
}

impl Drop for TakenBytes {
    fn drop(&mut self) {
        self.gate.update(|s, _| s.release(self.bytes));
    }
}

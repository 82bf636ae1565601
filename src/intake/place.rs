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

    /// Keeps the connection from giving way until the request has been answered.
    pub fn serve(&self) -> Serving {
        self.gate.update(|s, _| s.complete(self.id));
        Serving {
            gate: self.gate.clone(),
            id: self.id,
        }
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

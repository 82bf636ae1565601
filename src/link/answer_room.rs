use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};

use super::call_fault::CallFault;

/// Bytes of an answer that take no room, so that long answers keep out no short ones.
pub(super) const FREE_BYTES: usize = 64 * 1024;

/// What a part of an answer counts at least, as reading each takes time: a body may come in chunks of a
/// few bytes.
const MIN_PART_BYTES: usize = 512;

/// Bounds the memory of all answers that are being read whole or wait for their callers.
pub(super) struct AnswerRoom {
    max_bytes: usize,
    used: Arc<AtomicUsize>,
}

/// An answer and the room that it takes, until it is dropped.
struct Answer {
    bytes: Vec<u8>,
    taken: usize,
    used: Arc<AtomicUsize>,
}

impl AnswerRoom {
    /// Room for answers of at most `max_bytes` together, beyond the free bytes of each.
    pub fn new(max_bytes: usize) -> Self {
        Self {
            max_bytes,
            used: Arc::default(),
        }
    }

    /// Reads the body of an answer.
    ///
    /// # Errors
    /// Returns [`CallFault::Broken`] if it isn't complete, has more than `max_bytes`, each part counted with
    /// [`MIN_PART_BYTES`] at least, or finds no room.
    pub async fn read(&self, mut body: Incoming, max_bytes: usize) -> Result<Bytes, CallFault> {
        if body.size_hint().lower() > max_bytes as u64 {
            return Err(CallFault::Broken);
        }
        let mut answer = Answer {
            bytes: Vec::new(),
            taken: 0,
            used: self.used.clone(),
        };
        let mut counted = 0;
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|_| CallFault::Broken)?;
            let Some(data) = frame.data_ref() else {
                continue;
            };
            counted += data.len().max(MIN_PART_BYTES);
            if counted > max_bytes || !answer.take_room(counted, self.max_bytes) {
                return Err(CallFault::Broken);
            }
            answer.bytes.extend_from_slice(data);
        }
        Ok(Bytes::from_owner(answer))
    }
}

impl Answer {
    /// Takes room for so many bytes of the answer; false if there is none.
    fn take_room(&mut self, counted: usize, max_bytes: usize) -> bool {
        let more = counted.saturating_sub(FREE_BYTES) - self.taken;
        if self.used.load(Ordering::Relaxed) + more > max_bytes {
            return false;
        }
        self.used.fetch_add(more, Ordering::Relaxed);
        self.taken += more;
        true
    }
}

impl Drop for Answer {
    fn drop(&mut self) {
        self.used.fetch_sub(self.taken, Ordering::Relaxed);
    }
}

impl AsRef<[u8]> for Answer {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

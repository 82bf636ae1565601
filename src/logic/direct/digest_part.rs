//! Splits endpoint updates into digests that fit a datagram each.

use std::collections::VecDeque;
use std::ops::Range;

use super::{EndpointUpdate, UpdateBatch};
use crate::types::StorePosition;

/// Most bytes of updates and of halls' names in one digest, which leaves room for the rest of the
/// datagram.
pub(super) const MAX_UPDATE_BYTES: usize = 1_000;

/// Size of the updates sent at a time, as a number of full digests.
const FULL_PARTS: usize = 3;

/// Number of digests that have an update: the later two make up for a lost datagram.
const MAX_SENDS: u32 = 3;

/// The updates of one digest.
pub(super) struct DigestPart {
    /// Position of the list after which they begin.
    pub from: StorePosition,
    /// Position up to which they reach.
    pub upto: StorePosition,
    /// Whether none was left out.
    pub whole: bool,
    /// Size of all updates, those left out included.
    bytes: usize,
    /// The updates, each with the position up to which it was read.
    pub news: Vec<(StorePosition, EndpointUpdate)>,
}

impl DigestPart {
    /// A part without updates, after a position.
    fn empty_after(at: StorePosition) -> Self {
        Self {
            from: at,
            upto: at,
            whole: true,
            bytes: 0,
            news: Vec::new(),
        }
    }

    /// Size of its updates, in bytes.
    pub(super) fn bytes(&self) -> usize {
        self.bytes
    }

    /// Adds a batch of updates, as far as there is room.
    fn add(&mut self, batch: &UpdateBatch, max_bytes: usize) {
        self.upto = self.upto.max(batch.after);
        for update in &batch.updates {
            self.bytes += update.bytes();
            self.whole &= self.bytes <= max_bytes;
            if self.whole {
                self.news.push((batch.after, update.clone()));
            }
        }
    }
}

/// The batches that the next digests have: first those that none had yet, in their order, then the
/// latest of the others. Those after the range have to wait.
pub(super) fn next_batches(recent: &VecDeque<UpdateBatch>, max_bytes: usize) -> Range<usize> {
    let mut bytes_left = FULL_PARTS * max_bytes;
    let mut fits = |batch: &&UpdateBatch| {
        let bytes = batch.bytes.min(max_bytes);
        let fits = bytes <= bytes_left;
        bytes_left = bytes_left.saturating_sub(bytes);
        fits
    };
    let unsent = recent.iter().rev().take_while(|b| b.sends == 0).count();
    let sent = recent.len() - unsent;
    let end = sent + recent.range(sent..).take_while(&mut fits).count();
    let repeated = recent.range(..sent).rev();
    let repeated = repeated.take_while(|b| b.sends < MAX_SENDS && fits(b));
    sent - repeated.count()..end
}

/// Splits batches of updates into parts of at most `max_bytes`, with as many batches in one part as
/// fit.
///
/// A batch isn't spread over several parts: one that is larger than a part is cut, and the other
/// routers read the list. Without batches there is one empty part at position `at`.
pub(super) fn split_into_parts<'a>(
    batches: impl Iterator<Item = &'a UpdateBatch>,
    at: StorePosition,
    max_bytes: usize,
) -> Vec<DigestPart> {
    let mut parts: Vec<DigestPart> = Vec::new();
    for batch in batches {
        let fits = |p: &&mut DigestPart| p.bytes + batch.bytes <= max_bytes;
        match parts.last_mut().filter(fits) {
            Some(part) => part.add(batch, max_bytes),
            None => {
                let mut part = DigestPart::empty_after(batch.before);
                part.add(batch, max_bytes);
                parts.push(part);
            }
        }
    }
    if parts.is_empty() {
        parts.push(DigestPart::empty_after(at));
    }
    parts
}

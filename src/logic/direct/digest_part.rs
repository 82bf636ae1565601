//! Divides news among digests that fit a datagram each.

use std::collections::VecDeque;

use super::{EntryNews, NewsBatch};
use crate::types::StorePosition;

/// Bytes of news in one digest, which leaves room for the rest of a datagram.
const NEWS_BYTES: usize = 1_000;

/// Most digests that go at once. What doesn't fit is a gap, and others read the list.
const PARTS: usize = 3;

/// News that go in one digest.
pub(super) struct DigestPart {
    /// Position of the list behind which they begin.
    pub from: StorePosition,
    /// Position up to which they go.
    pub upto: StorePosition,
    /// Whether they are all there.
    pub whole: bool,
    /// Bytes that all of them would take.
    bytes: usize,
    /// The news, with the position by which each had come.
    pub news: Vec<(StorePosition, EntryNews)>,
}

impl DigestPart {
    /// A part without news, behind a position.
    fn behind(at: StorePosition) -> Self {
        Self {
            from: at,
            upto: at,
            whole: true,
            bytes: 0,
            news: Vec::new(),
        }
    }

    /// Adds what came with one reading, as far as there is room.
    fn add(&mut self, batch: &NewsBatch) {
        self.upto = self.upto.max(batch.after);
        for one in &batch.news {
            self.bytes += one.bytes();
            self.whole &= self.bytes <= NEWS_BYTES;
            if self.whole {
                self.news.push((batch.after, one.clone()));
            }
        }
    }
}

/// The latest news, as many readings of the list in one digest as fit, up to a position.
/// What was read at once goes together or is cut: then others read the list themselves.
pub(super) fn parts(recent: &VecDeque<NewsBatch>, at: StorePosition) -> Vec<DigestPart> {
    let mut room = PARTS * NEWS_BYTES;
    let fits = recent.iter().rev().take_while(|batch| {
        let bytes = batch.bytes().min(NEWS_BYTES);
        let fits = bytes <= room;
        room = room.saturating_sub(bytes);
        fits
    });
    let skipped = recent.len() - fits.count();
    let mut parts: Vec<DigestPart> = Vec::new();
    for batch in recent.iter().skip(skipped) {
        let fits = |p: &&mut DigestPart| p.bytes + batch.bytes() <= NEWS_BYTES;
        match parts.last_mut().filter(fits) {
            Some(part) => part.add(batch),
            None => {
                let mut part = DigestPart::behind(batch.before);
                part.add(batch);
                parts.push(part);
            }
        }
    }
    if parts.is_empty() {
        parts.push(DigestPart::behind(at));
    }
    parts
}

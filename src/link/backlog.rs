/// Changes in one answer from which on it may have been cut at the store's bound.
const MANY: usize = 200;

/// Whether more changes are likely to wait behind an answer with `count` of them: it has
/// many, and as many as the one `before`. Many alone says nothing, as each endpoint of a
/// large fleet beats within one rest. What it saves was within luck in the one play.
pub fn more_wait(count: usize, before: usize) -> bool {
    count >= MANY && count == before
}

/// Changes in one answer from which it may have been truncated at the store's limit.
const MIN_TRUNCATED: usize = 200;

/// Whether the store is likely to have more changes after an answer with `count` of them: it
/// has many, and exactly as many as the answer `before`. Many alone don't show it, as every
/// endpoint of a large fleet sends a heartbeat between two calls.
pub fn has_backlog(count: usize, before: usize) -> bool {
    count >= MIN_TRUNCATED && count == before
}

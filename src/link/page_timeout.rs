use std::time::Duration;

/// Time for a page of keys at the first attempt: a hundred times that of a usual answer.
const FIRST_TIMEOUT: Duration = Duration::from_millis(400);

/// Longest time for a page: six times as long as the reads of 300 routers that start together
/// occupy the store's network link.
const MAX_TIMEOUT: Duration = Duration::from_millis(3_000);

/// Time for a page of keys after so many failed calls of one read.
///
/// It starts short, because a connection may stay silent for good and a starting router serves
/// nobody before its first page. With the longest time from the first attempt on, 14 routers
/// that started half a second before the store was available again served nobody for 3 s; with
/// doubling times, for 1 s.
pub fn page_timeout(failures: u32) -> Duration {
    (FIRST_TIMEOUT * 2u32.saturating_pow(failures.min(8))).min(MAX_TIMEOUT)
}

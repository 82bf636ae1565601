use std::time::Duration;

/// Time for a page of keys at the first try: a hundred answers of a store in order.
const FIRST: Duration = Duration::from_millis(400);

/// Longest time for a page: by arithmetic six times what 300 routers that start together
/// take the store's link for.
const LONGEST: Duration = Duration::from_millis(3_000);

/// Time for a page of keys after so many failures in a row.
///
/// A connection may go silent for good, and whoever starts waits on the first page. It
/// buys 2 s of service where all routers start while the store is away: 14 routers that
/// started half a second before a store was back served nobody for 3 s with the longest
/// time at once, for 1 s so (worth of such days 0.44 and 0.55, four plays each).
pub fn page_time(failures: u32) -> Duration {
    (FIRST * 2u32.saturating_pow(failures.min(8))).min(LONGEST)
}

use crate::types::GroupSeat;

/// Result of a probe, which asks an endpoint for its report.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum ProbeResult {
    /// It answers.
    Alive {
        /// When it last started, in Unix milliseconds; absent if it doesn't tell.
        started_ms: Option<u64>,
        /// Its seat in a group.
        seat: Option<GroupSeat>,
        /// Factor on its times, in thousandths; above 1,000 it is slow.
        slowness: u64,
    },
    /// Nothing listens at its address.
    Refused,
    /// Another endpoint listens at its address.
    Replaced,
    /// No answer came in time.
    Silent,
}

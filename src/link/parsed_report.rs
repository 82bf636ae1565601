use crate::logic::direct::ProbeResult;

/// The reply to a probe, as parsed by the platform adapter.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ParsedReport {
    /// What it shows.
    pub result: ProbeResult,
    /// Fields that this version doesn't know.
    pub unknown: Vec<String>,
}

impl ParsedReport {
    /// A reply without unknown fields.
    pub fn of(result: ProbeResult) -> Self {
        Self {
            result,
            unknown: Vec::new(),
        }
    }
}

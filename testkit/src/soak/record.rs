use std::collections::BTreeMap;

use super::Sample;

/// A span of time, in milliseconds from the beginning.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Span {
    /// Its begin.
    pub from_ms: u64,
    /// Its end.
    pub to_ms: u64,
}

impl Span {
    /// Whether two spans have a moment in common.
    pub fn meets(&self, other: &Span) -> bool {
        self.from_ms <= other.to_ms && other.from_ms <= self.to_ms
    }
}

/// An endpoint that named a limit for a while.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Limited {
    /// Requests a second that it named.
    pub rate: f64,
    /// When it did.
    pub span: Span,
    /// When requests arrived there.
    pub arrivals_ms: Vec<u64>,
}

/// What one process was seen to use.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ProcessFigures {
    /// Most memory, in kilobytes.
    pub memory_kb: u64,
    /// Most open descriptors.
    pub descriptors: u64,
    /// Bytes of its log.
    pub log_bytes: u64,
}

/// What was seen in a soak.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Record {
    /// Requests of callers.
    pub samples: Vec<Sample>,
    /// Runs at endpoints by attempt.
    pub ran: BTreeMap<String, u32>,
    /// Runs of requests that may not be repeated.
    pub once: BTreeMap<String, u32>,
    /// What the stand-ins' audit of groups has found.
    pub audit: Vec<String>,
    /// When the fatal request began to run at endpoints.
    pub fatal_ms: Vec<u64>,
    /// Endpoints that named a limit.
    pub limited: Vec<Limited>,
    /// Faults of routers, with the router.
    pub router_faults: Vec<(usize, Span)>,
    /// Faults of endpoints.
    pub endpoint_faults: Vec<Span>,
    /// Orderly stops, with the router.
    pub stops: Vec<(usize, Span)>,
    /// Versions that routers told, in order, by router and life.
    pub versions: BTreeMap<(usize, u32), Vec<u64>>,
    /// What processes used.
    pub figures: Vec<ProcessFigures>,
    /// How long the recovery took after the last fault, where it was complete in time.
    pub recovered_ms: Option<u64>,
    /// Seconds of faults.
    pub seconds: u64,
}

use std::collections::BTreeMap;

use super::{Received, Sample};

/// A span of time, in milliseconds from the beginning.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Span {
    /// Beginning.
    pub from_ms: u64,
    /// End, inclusive.
    pub to_ms: u64,
}

impl Span {
    /// Whether two spans have a moment in common.
    pub fn overlaps(&self, other: &Span) -> bool {
        self.from_ms <= other.to_ms && other.from_ms <= self.to_ms
    }
}

/// A time in which an endpoint named a rate limit.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Limited {
    /// The endpoint.
    pub endpoint: String,
    /// The limit, in requests a second.
    pub rate: f64,
    /// When it named the limit.
    pub span: Span,
}

/// Resource usage of one router's processes.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ProcessFigures {
    /// Largest resident memory, in kilobytes.
    pub memory_kb: u64,
    /// Largest number of open descriptors.
    pub descriptors: u64,
    /// What its sockets were when it first had more than it may have.
    pub sockets: Option<String>,
    /// Size of its log, in bytes.
    pub log_bytes: u64,
}

/// Record of a soak, for the checks and the report.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Record {
    /// Optional parts of the policy that the routers had switched on.
    pub features: Vec<&'static str>,
    /// Requests of callers.
    pub samples: Vec<Sample>,
    /// Number of runs at endpoints, by attempt id.
    pub ran: BTreeMap<String, u32>,
    /// Number of runs of requests that may not be repeated, by attempt id.
    pub once: BTreeMap<String, u32>,
    /// Violations that the stand-in's audit of groups has found.
    pub audit: Vec<String>,
    /// Times at which runs of the fatal request began, in milliseconds from the beginning.
    pub fatal_ms: Vec<u64>,
    /// Times at which runs of requests with the fatal segment began, in milliseconds from the
    /// beginning.
    pub segment_ms: Vec<u64>,
    /// Times in which most new connections went to one router, with its index.
    pub concentrations: Vec<(usize, Span)>,
    /// Times in which endpoints named a rate limit.
    pub limited: Vec<Limited>,
    /// Faults of routers, with the index of the router.
    pub router_faults: Vec<(usize, Span)>,
    /// Restarts and freezes of routers, with the index of the router.
    pub interruptions: Vec<(usize, Span)>,
    /// Requests as the endpoints received them.
    pub received: Vec<Received>,
    /// Times in which one account flooded the fleet.
    pub floods: Vec<Span>,
    /// Faults of endpoints.
    pub endpoint_faults: Vec<Span>,
    /// Shutdowns that ended in time, with the index of the router.
    pub shutdowns: Vec<(usize, Span)>,
    /// Routing versions that routers reported, in order, by index of the router and number of its
    /// restarts.
    pub versions: BTreeMap<(usize, u32), Vec<u64>>,
    /// Routing versions that routers reported: time in milliseconds, index of the router, version.
    pub readings: Vec<(u64, usize, u64)>,
    /// Versions of the configuration with the times at which they were written, in milliseconds.
    pub configured: Vec<(u64, u64)>,
    /// Resource usage, by index of the router.
    pub usages: Vec<ProcessFigures>,
    /// Milliseconds that the recovery took after the last fault; `None` where it wasn't complete in
    /// time.
    pub recovered_ms: Option<u64>,
    /// Duration of the plan, in seconds.
    pub seconds: u64,
}

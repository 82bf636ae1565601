use super::EndpointReport;

/// Result of a probe, which asks an endpoint for its report.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum ProbeResult {
    /// It answers with this report.
    Alive(EndpointReport),
    /// Nothing listens at its address.
    Refused,
    /// Another endpoint listens at its address.
    Replaced,
    /// No answer came in time.
    Silent,
}

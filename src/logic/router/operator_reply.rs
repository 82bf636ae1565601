use super::{FleetStatus, Problem};
use crate::types::{Approval, Bundle};

/// A router's reply to an operator.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum OperatorReply {
    /// The bundle was stored under this number.
    Submitted(u64),
    /// The bundle is approved.
    Approved(u64),
    /// The bundle is in force.
    Rolled(u64),
    /// Bundles, approvals and the number of the bundle in force.
    Bundles {
        /// Bundles by number.
        bundles: Vec<Bundle>,
        /// Approvals by number.
        approvals: Vec<Approval>,
        /// Number of the bundle in force.
        head: u64,
    },
    /// Status of the fleet.
    Status(Box<FleetStatus>),
    /// The call was refused, or its result isn't known.
    Problem(Problem),
}

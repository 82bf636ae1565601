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
    /// Bundles, approvals and the number in force.
    Bundles {
        /// Bundles in order.
        bundles: Vec<Bundle>,
        /// Approvals in order.
        approvals: Vec<Approval>,
        /// Number in force.
        head: u64,
    },
    /// The fleet.
    Status(Box<FleetStatus>),
    /// It can't be done, or its result isn't known.
    Problem(Problem),
}

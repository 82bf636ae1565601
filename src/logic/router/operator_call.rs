use crate::types::BundleBody;

/// An operator's call to a router.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum OperatorCall {
    /// Store a new bundle.
    Submit {
        /// The operator.
        by: String,
        /// The bundle.
        body: Box<BundleBody>,
    },
    /// Approve a bundle.
    Approve {
        /// The operator; must not be the author.
        by: String,
        /// The bundle.
        number: u64,
    },
    /// Put an approved bundle in force.
    Roll {
        /// The operator.
        by: String,
        /// The bundle.
        number: u64,
    },
    /// List bundles.
    Bundles,
    /// Show the status of the fleet.
    Status,
}

/// Names of the keys in the platform's key-value service.
///
/// Everything that routers watch is below `fleet/`. Claims and planner leases aren't, so that their
/// changes aren't sent to the watchers.
pub struct Keys;

impl Keys {
    /// Prefix of all keys that are watched.
    pub const FLEET: &'static str = "runrail/fleet/";
    /// The head: which bundle is in force.
    pub const HEAD: &'static str = "runrail/fleet/head";
    /// Prefix of domain records.
    pub const DOMAINS: &'static str = "runrail/fleet/domain/";
    /// Prefix of bundles.
    pub const BUNDLES: &'static str = "runrail/fleet/bundle/";
    /// Prefix of approvals.
    pub const APPROVALS: &'static str = "runrail/fleet/approval/";

    /// Record of one fabric domain.
    pub fn domain(domain: &str) -> String {
        format!("{}{domain}", Self::DOMAINS)
    }

    /// One bundle.
    pub fn bundle(number: u64) -> String {
        format!("{}{number:08}", Self::BUNDLES)
    }

    /// Approval of one bundle.
    pub fn approval(number: u64) -> String {
        format!("{}{number:08}", Self::APPROVALS)
    }

    /// Planner lease of one data hall.
    pub fn planner(hall: &str) -> String {
        format!("runrail/planner/{hall}")
    }

    /// Claim of one request that may not be repeated.
    pub fn claim(key: &crate::message::ClaimKey) -> String {
        format!("runrail/claim/{key}")
    }
}

use super::PacedShare;
use crate::types::Millis;

/// Time for which an endpoint is cold and bears few requests.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ColdPhase {
    /// When it ends.
    pub until: Millis,
    /// This router's share of the requests that the endpoint bears until then.
    pub share: PacedShare,
}

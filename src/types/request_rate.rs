use std::fmt;

use serde::{Deserialize, Serialize};

/// Requests a second.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RequestRate {
    /// In thousandths.
    milli: u64,
}

impl RequestRate {
    /// A rate of thousandths of a request a second.
    pub fn from_milli(milli: u64) -> Self {
        Self { milli }
    }

    /// Thousandths of a request a second.
    pub fn milli(self) -> u64 {
        self.milli
    }
}

impl fmt::Display for RequestRate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{:03}", self.milli / 1_000, self.milli % 1_000)
    }
}

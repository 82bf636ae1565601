use std::fmt;

use serde::{Deserialize, Serialize};

/// A rate of requests per second, with a resolution of one thousandth.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RequestRate {
    /// Requests per 1,000 seconds.
    milli: u64,
}

impl RequestRate {
    /// Creates a rate from thousandths of a request per second.
    pub fn from_milli(milli: u64) -> Self {
        Self { milli }
    }

    /// The rate in thousandths of a request per second.
    pub fn milli(self) -> u64 {
        self.milli
    }
}

impl fmt::Display for RequestRate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{:03}", self.milli / 1_000, self.milli % 1_000)
    }
}

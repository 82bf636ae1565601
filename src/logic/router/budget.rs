/// Tokens for attempts after the first, so that retries can't multiply a load.
///
/// Each request adds a part of a token, each retry takes one.
///
/// A process begins with none: what its life before has spent isn't known, and each start
/// would add to what all routers send together.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct RetryBudget {
    thousandths: u64,
}

impl RetryBudget {
    /// One retry for each ten requests.
    const PER_REQUEST: u64 = 100;
    /// Price of a retry.
    const PER_RETRY: u64 = 1_000;
    /// Most that is saved up: fifty retries.
    const MOST: u64 = 50_000;

    /// Counts a request.
    pub fn earn(&mut self) {
        self.thousandths = (self.thousandths + Self::PER_REQUEST).min(Self::MOST);
    }

    /// Pays for a retry, where there is enough.
    pub fn spend(&mut self) -> bool {
        let enough = self.thousandths >= Self::PER_RETRY;
        if enough {
            self.thousandths -= Self::PER_RETRY;
        }
        enough
    }
}

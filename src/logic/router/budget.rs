/// Tokens for attempts after the first, so that retries can't multiply a load.
///
/// Each request adds a part of a token, each retry takes one.
///
/// A process begins with none: what its life before has spent isn't known, and each start
/// would add to what all routers send together.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct RetryBudget {
    milli_tokens: u64,
}

impl RetryBudget {
    /// One retry for each ten requests.
    const EARNED_MILLI_TOKENS: u64 = 100;
    /// Price of a retry.
    const RETRY_MILLI_TOKENS: u64 = 1_000;
    /// Most that is saved up: fifty retries.
    const MAX_MILLI_TOKENS: u64 = 50_000;

    /// Counts a request.
    pub fn earn(&mut self) {
        self.milli_tokens =
            (self.milli_tokens + Self::EARNED_MILLI_TOKENS).min(Self::MAX_MILLI_TOKENS);
    }

    /// Pays for a retry, where there is enough.
    pub fn spend(&mut self) -> bool {
        let enough = self.milli_tokens >= Self::RETRY_MILLI_TOKENS;
        if enough {
            self.milli_tokens -= Self::RETRY_MILLI_TOKENS;
        }
        enough
    }
}

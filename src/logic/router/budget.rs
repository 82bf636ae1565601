/// Token bucket for attempts after the first, so that retries can't multiply the load.
///
/// Each request adds a tenth of a token; each retry takes one.
///
/// A new process starts with an empty bucket: how much its predecessor has spent isn't known, and
/// tokens granted at each start would add to what all routers send together.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct RetryBudget {
    milli_tokens: u64,
}

impl RetryBudget {
    /// What a request adds: one retry for each ten requests.
    const REQUEST_MILLI_TOKENS: u64 = 100;
    /// What a retry takes.
    const RETRY_MILLI_TOKENS: u64 = 1_000;
    /// Size of the bucket: fifty retries.
    const MAX_MILLI_TOKENS: u64 = 50_000;

    /// Adds the tokens of one request.
    pub fn add_request(&mut self) {
        self.milli_tokens =
            (self.milli_tokens + Self::REQUEST_MILLI_TOKENS).min(Self::MAX_MILLI_TOKENS);
    }

    /// Takes the token of one retry; returns false if less than one is left.
    pub fn try_spend(&mut self) -> bool {
        let enough = self.milli_tokens >= Self::RETRY_MILLI_TOKENS;
        if enough {
            self.milli_tokens -= Self::RETRY_MILLI_TOKENS;
        }
        enough
    }
}

/// Switches for the rules that carry safety.
///
/// The binary only ever takes them by [`Default`], with every rule on; no
/// setting reaches them. The model check turns them off one at a time and must
/// then find a counterexample.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Rules {
    /// An agent that has just started grants nothing for one lease.
    pub start_wait: bool,
    /// A leader counts a lease from when it asked, not from when it heard.
    pub early_clock: bool,
    /// A member grants nothing else until its grant has run out.
    pub exclusive_grant: bool,
    /// Orders carry an epoch and older ones are refused.
    pub epoch_fence: bool,
    /// A claim is written before a request that may not be repeated is sent.
    pub claim_first: bool,
    /// An agent refuses orders meant for another incarnation.
    pub incarnation_check: bool,
    /// An agent refuses work from a router with an older bundle.
    pub bundle_refusal: bool,
    /// A router takes no work without recent proof that its bundle is the newest.
    pub head_proof: bool,
    /// A leader hands work over only while it holds every member's lease.
    pub all_present: bool,
    /// A router with an unsettled roll doesn't count as one that isn't ahead.
    pub settled_only: bool,
    /// A query about a claimed key that never started also bars it from starting.
    pub query_bars: bool,
}

impl Rules {
    /// Every rule on.
    pub const ALL: Rules = Rules {
        start_wait: true,
        early_clock: true,
        exclusive_grant: true,
        epoch_fence: true,
        claim_first: true,
        incarnation_check: true,
        bundle_refusal: true,
        head_proof: true,
        all_present: true,
        settled_only: true,
        query_bars: true,
    };
}

impl Default for Rules {
    fn default() -> Self {
        Self::ALL
    }
}

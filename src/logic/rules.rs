/// Switches for the rules that safety depends on.
///
/// The binary runs with [`Default`], which has every rule on; no setting changes
/// them. The model check turns them off one at a time and must then find a
/// counterexample.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Rules {
    /// An agent grants no lease for the length of a lease and its margin after its start.
    pub start_wait: bool,
    /// A leader counts a lease from the time of its request, not of the grant's arrival.
    pub early_clock: bool,
    /// A member grants no lease to another leader process until its current grant has expired or
    /// was returned.
    pub exclusive_grant: bool,
    /// An agent refuses work for a group or epoch that it doesn't lead.
    pub epoch_fence: bool,
    /// A claim is written before a request that may not be repeated is sent.
    pub claim_first: bool,
    /// An agent refuses orders meant for another incarnation.
    pub incarnation_check: bool,
    /// An agent refuses work from a router with an older bundle.
    pub bundle_refusal: bool,
    /// A router takes no work without recent proof that its bundle is the newest.
    pub head_proof: bool,
    /// A leader starts requests at its endpoint only while it holds the leases of all members.
    pub all_present: bool,
    /// A router whose roll of a bundle is unsettled doesn't count as confirming that no bundle
    /// is newer.
    pub settled_only: bool,
    /// An agent that reports that a claimed request hasn't run also bars it from starting later.
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

/// What a call is for; connections are counted by it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum CallUse {
    /// A run of a caller's request at an endpoint.
    #[default]
    Run,
    /// A probe of an endpoint.
    Probe,
    /// An order to an endpoint.
    Order,
    /// A call to the store.
    Store,
    /// A call to another router.
    Router,
}

impl CallUse {
    /// Its label in the metrics.
    pub fn name(self) -> &'static str {
        match self {
            CallUse::Run => "run",
            CallUse::Probe => "probe",
            CallUse::Order => "order",
            CallUse::Store => "store",
            CallUse::Router => "router",
        }
    }
}

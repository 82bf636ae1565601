/// What a call to the store is for, and what came of it, as metrics name them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum StoreUse {
    /// Waits for a new routing.
    Routing,
    /// Waits for changes of the list.
    List,
    /// Waits for changes of the routers' own keys.
    Own,
    /// Reads keys whole.
    Whole,
    /// Renews a lease.
    Renew,
    /// Takes or gives back a lease, or writes an own key.
    Write,
}

impl StoreUse {
    /// Its name in the metrics.
    pub fn name(self) -> &'static str {
        match self {
            StoreUse::Routing => "watch_routing",
            StoreUse::List => "watch_list",
            StoreUse::Own => "watch_own",
            StoreUse::Whole => "read_whole",
            StoreUse::Renew => "renew",
            StoreUse::Write => "write",
        }
    }
}

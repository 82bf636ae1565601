/// What a call to the store is for; a label of its metrics.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum StoreUse {
    /// Waits for changes of the operators' routing.
    Routing,
    /// Waits for changes of the endpoint list.
    List,
    /// Waits for changes of the routers' own keys.
    Own,
    /// Reads a key, or all keys with a prefix.
    Whole,
    /// Renews a lease.
    Renew,
    /// Grants or revokes a lease, or writes the routers' own keys.
    Write,
}

impl StoreUse {
    /// The value of the label.
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

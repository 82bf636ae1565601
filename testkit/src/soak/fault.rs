use std::fmt;

/// One fault, with how long it lasts where it ends by itself.
#[derive(Clone, Debug, PartialEq)]
pub enum Fault {
    /// A router is killed and starts anew.
    KillRouter(usize),
    /// A router is told to stop, and starts anew once it has ended.
    StopRouter(usize),
    /// A router is paused for some milliseconds.
    FreezeRouter(usize, u64),
    /// A router is cut off from the store for some milliseconds.
    CutStore(usize, u64),
    /// What goes between a router and the store takes so many milliseconds longer.
    SlowStore(usize, u64),
    /// A router's connections to the store say nothing for some milliseconds.
    SilentStore(usize, u64),
    /// The store turns all calls away for some milliseconds.
    StoreDown(u64),
    /// The same, and then it comes back from an older copy.
    StoreRestored(u64),
    /// A member of an open group dies and another engine is added.
    ReplaceMember,
    /// An endpoint starts anew under its id.
    RestartEndpoint,
    /// An entry of another writer appears in the list.
    ForeignEntry,
    /// A new version of the configuration.
    Configure,
    /// A request comes some times that crashes each endpoint which runs it.
    FatalRequest(u32),
    /// An endpoint names a limit of so many requests a second for some milliseconds.
    LimitEndpoint(u32, u64),
}

impl Fault {
    /// Short name, for counts.
    pub fn name(&self) -> &'static str {
        match self {
            Fault::KillRouter(_) => "kill-router",
            Fault::StopRouter(_) => "stop-router",
            Fault::FreezeRouter(..) => "freeze-router",
            Fault::CutStore(..) => "cut-store",
            Fault::SlowStore(..) => "slow-store",
            Fault::SilentStore(..) => "silent-store",
            Fault::StoreDown(_) => "store-down",
            Fault::StoreRestored(_) => "store-restored",
            Fault::ReplaceMember => "replace-member",
            Fault::RestartEndpoint => "restart-endpoint",
            Fault::ForeignEntry => "foreign-entry",
            Fault::Configure => "configure",
            Fault::FatalRequest(_) => "fatal-request",
            Fault::LimitEndpoint(..) => "limit-endpoint",
        }
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{self:?}")
    }
}

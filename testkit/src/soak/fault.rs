use std::fmt;

/// A fault, with the index of its router and its duration where it has these.
#[derive(Clone, Debug, PartialEq)]
pub enum Fault {
    /// A router is killed and restarted.
    KillRouter(usize),
    /// A router is shut down by `SIGTERM`, and restarted once it has ended.
    StopRouter(usize),
    /// A router is suspended for some milliseconds.
    FreezeRouter(usize, u64),
    /// A router is cut off from the store for some milliseconds.
    CutStore(usize, u64),
    /// For some milliseconds, bytes between a router and the store are delayed by an eighth of that
    /// time.
    SlowStore(usize, u64),
    /// A router's connections to the store stay open but pass no bytes for some milliseconds.
    SilentStore(usize, u64),
    /// The store answers all calls with 503 for some milliseconds.
    StoreDown(u64),
    /// The same, after which the store is restored from a backup.
    StoreRestored(u64),
    /// A router's requests reach the store, but no answers come back, for some milliseconds.
    OneWayStore(usize, u64),
    /// The store carries out some writes without an answer for some milliseconds.
    LostAnswers(u64),
    /// The store carries out writes a second late and without an answer for some milliseconds.
    LateWrites(u64),
    /// The store forgets its history, so that watches lose their place.
    ForgetHistory,
    /// A router is told that its settings have changed.
    Reload(usize),
    /// A member of an open group is killed and another engine is added.
    ReplaceMember,
    /// An endpoint is killed and restarted under its id.
    RestartEndpoint,
    /// Another writer puts an invalid entry into the endpoint list.
    ForeignEntry,
    /// A new version of the configuration is written.
    Configure,
    /// A request that crashes every endpoint which runs it is sent some times.
    FatalRequest(u32),
    /// Requests that share one segment of their prompts, which crashes every endpoint that runs them,
    /// are sent some times; no two are alike.
    FatalSegment(u32),
    /// A percentage of the engines is killed at once, as in a failure of power, and as many are added.
    CrashWave(usize),
    /// The connections of some engines are reset and refused for some milliseconds, while they go on.
    ResetEngines(usize, u64),
    /// Endpoints answer with neither a length nor chunks for some milliseconds, and break off two
    /// streams by closing the connection without an error.
    Unframed(u64),
    /// For some milliseconds callers open new connections to one router only, one for each request.
    Concentrate(usize, u64),
    /// An endpoint names a rate limit, in requests a second, for some milliseconds.
    LimitEndpoint(u32, u64),
    /// An endpoint turns everything away and asks each router to send nothing for some milliseconds;
    /// it does so for the second number of milliseconds.
    HoldOff(u64, u64),
    /// An endpoint says in its answers that it is leaving, while the list shows it as ready, and ends
    /// after some milliseconds. Another one is added.
    Leave(u64),
    /// One client account sends far more than fits for some milliseconds, and sends again soon after
    /// each refusal.
    Flood(u64),
    /// The head of an open group is cut off from all routers for some milliseconds; it and its members
    /// go on.
    CutHead(u64),
    /// For some milliseconds an endpoint of the plain service is full now and then, and gives each
    /// refusal a second time, in place of the next answer that is due.
    RepeatRefusals(u64),
    /// Some engines are frozen at once for some milliseconds, as processes that are stopped: their clocks
    /// stand still, and they go on afterwards.
    FreezeEngines(usize, u64),
    /// The store's answers to the lease renewals of the router that plans come so many milliseconds late,
    /// for the second number of milliseconds.
    LateRenewals(u64, u64),
}

impl Fault {
    /// Short name, for the counts in the report.
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
            Fault::OneWayStore(..) => "one-way-store",
            Fault::LostAnswers(_) => "lost-answers",
            Fault::LateWrites(_) => "late-writes",
            Fault::ForgetHistory => "forget-history",
            Fault::Reload(_) => "reload",
            Fault::ReplaceMember => "replace-member",
            Fault::RestartEndpoint => "restart-endpoint",
            Fault::ForeignEntry => "foreign-entry",
            Fault::Configure => "configure",
            Fault::FatalRequest(_) => "fatal-request",
            Fault::FatalSegment(_) => "fatal-segment",
            Fault::CrashWave(_) => "crash-wave",
            Fault::ResetEngines(..) => "reset-engines",
            Fault::Unframed(_) => "unframed",
            Fault::Concentrate(..) => "concentrate",
            Fault::LimitEndpoint(..) => "limit-endpoint",
            Fault::HoldOff(..) => "hold-off",
            Fault::Leave(_) => "leave",
            Fault::Flood(_) => "flood",
            Fault::CutHead(_) => "cut-head",
            Fault::RepeatRefusals(_) => "repeat-refusals",
            Fault::FreezeEngines(..) => "freeze-engines",
            Fault::LateRenewals(..) => "late-renewals",
        }
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{self:?}")
    }
}

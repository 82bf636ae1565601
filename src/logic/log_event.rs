use std::fmt;

/// An event for the process log and for the event log that `explain` reads.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LogEvent {
    /// Kind of the event.
    pub code: LogCode,
    /// Named values; they never hold prompt text or API keys.
    pub fields: Vec<(&'static str, String)>,
}

impl LogEvent {
    /// Creates an event without fields.
    pub fn new(code: LogCode) -> Self {
        Self {
            code,
            fields: Vec::new(),
        }
    }

    /// Adds a field.
    pub fn with(mut self, name: &'static str, value: impl fmt::Display) -> Self {
        self.fields.push((name, value.to_string()));
        self
    }

    /// Whether the value of a field is `subject`, or a comma-separated list that contains it.
    pub fn mentions(&self, subject: &str) -> bool {
        let listed = |value: &str| value.split(',').any(|part| part == subject);
        self.fields.iter().any(|(_, value)| listed(value))
    }
}

impl fmt::Display for LogEvent {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "E{} {}", self.code.number(), self.code.title())?;
        for (name, value) in &self.fields {
            write!(f, " {name}={value:?}")?;
        }
        Ok(())
    }
}

macro_rules! log_codes {
    ($($name:ident = $number:literal $level:ident $title:literal;)*) => {
        /// Kinds of log events, with numbers; `docs/EVENTS.md` lists them all.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
        pub enum LogCode {
            $(#[doc = $title] $name,)*
        }

        impl LogCode {
            /// All codes, in ascending order of their numbers.
            pub const ALL: &'static [LogCode] = &[$(LogCode::$name,)*];

            /// Number of the code, which is never reused for another one.
            pub fn number(self) -> u16 {
                match self { $(LogCode::$name => $number,)* }
            }

            /// Message text in the log.
            pub fn title(self) -> &'static str {
                match self { $(LogCode::$name => $title,)* }
            }

            /// Log level.
            pub fn level(self) -> log::Level {
                match self { $(LogCode::$name => log::Level::$level,)* }
            }
        }
    };
}

log_codes! {
    Started = 100 Info "process started";
    Stopping = 101 Info "process asked to stop";
    Stopped = 102 Info "process stopped";
    SettingsChanged = 103 Info "settings changed; they take effect at the next start";
    LogLinesDropped = 105 Warn "log lines dropped";
    Suspended = 106 Warn "machine was suspended";
    Paused = 107 Warn "process was stalled";
    CallersRefused = 108 Info "no more callers are accepted";
    ClientLimited = 109 Warn "clients met a limit";
    SessionUp = 110 Debug "session opened";
    SessionDown = 111 Info "session closed";
    SessionRefused = 112 Warn "session refused";
    UnexpectedMessage = 113 Warn "message not allowed from this sender";
    PresenceGranted = 200 Info "presence granted to a group";
    PresenceReturned = 201 Info "presence given back by the leader";
    PresenceLapsed = 202 Warn "presence grant expired";
    PresenceDenied = 203 Warn "presence denied: member has seen a higher epoch";
    LeadTaken = 210 Info "lead of a group taken";
    LeadEnded = 211 Info "lead of a group ended";
    GroupOpen = 212 Info "group accepts work";
    GroupClosed = 213 Warn "group accepts no work";
    Draining = 214 Info "group drains";
    Leaving = 215 Info "instance is leaving";
    Loaded = 220 Info "endpoint has loaded";
    LoadFailed = 221 Warn "endpoint failed to load";
    BundleInForce = 300 Info "bundle in force";
    BundleSubmitted = 301 Info "bundle submitted";
    BundleApproved = 302 Info "bundle approved";
    BundleRolled = 303 Info "bundle rolled";
    HeadWentBack = 304 Error "the service shows an older head than the one in force";
    HeadUnproven = 305 Warn "no recent proof that the bundle is the newest; new work is refused";
    HeadProven = 306 Info "the bundle is proved to be the newest again";
    StoreDown = 310 Warn "key-value service doesn't answer";
    StoreUp = 311 Info "key-value service answers again";
    StoreRestored = 312 Error "key-value service was restored from a backup";
    PlannerHeld = 400 Info "planner lease held";
    PlannerLost = 401 Warn "planner lease lost";
    GroupPlanned = 410 Info "group planned";
    GroupRepaired = 411 Info "member replaced in the record";
    GroupRetired = 412 Info "group removed from the record";
    GroupDrainPlanned = 413 Info "group ordered to drain";
    GroupWaits = 414 Warn "group is down and waits";
    RollHalted = 415 Error "roll of a version halted";
    RecordInvalid = 416 Error "a record names an instance twice and is not used";
    RequestRouted = 500 Debug "request sent to a group";
    RequestRetried = 501 Info "request retried";
    RequestAnswered = 502 Debug "request answered";
    RequestNotRun = 503 Info "request given up: not run";
    RequestUnknown = 504 Warn "request given up: outcome unknown";
    ClaimTaken = 510 Debug "claim written";
    ClaimFound = 511 Info "claim exists already";
    ClaimRebound = 512 Info "claim bound to another attempt";
    RoutingInForce = 600 Info "routing in force";
    RoutingUnread = 601 Error "routing can't be read";
    ValueMissing = 602 Warn "published value is missing";
    AnswerUnread = 603 Error "answer of the platform can't be read";
    RoutingOlder = 604 Warn "older routing than the one in force was read";
    RoutingUnchecked = 605 Warn "routing could not be read after a pause";
    OperatorKeyUnknown = 606 Warn "key of the operators is unknown";
    HallEvacuated = 607 Warn "data hall evacuated: its endpoints get no new requests";
    HallReturned = 608 Info "data hall taken back: its endpoints get requests again";
    NameUnknown = 609 Warn "name in an answer, an entry or the routing is unknown";
    EndpointListed = 610 Info "endpoint listed";
    EndpointUnlisted = 611 Info "endpoint no longer listed";
    EndpointLeaving = 612 Info "endpoint is leaving";
    EndpointFailed = 613 Info "endpoint failed a request";
    EndpointSilent = 614 Warn "endpoint silent while it has work";
    EndpointLost = 615 Warn "endpoint lost";
    EndpointFound = 616 Info "lost endpoint answers again";
    EntryUnread = 617 Warn "entry of the endpoint list can't be read";
    ListRead = 618 Info "endpoint list read in full";
    EndpointRestarted = 619 Info "endpoint restarted under its id";
    PlannerLeaseTaken = 620 Info "fleet planner lease taken";
    PlannerLeaseLost = 621 Warn "fleet planner lease lost";
    PlannerLeaseKept = 622 Info "fleet planner lease goes on: its renewal came late";
    RestartDenied = 624 Warn "entry with a later start is not used: the endpoint denies it";
    EntryReplaced = 625 Warn "entry of an endpoint is replaced: it wasn't the endpoint's own";
    ListFetched = 626 Info "endpoint list received from another router";
    ListRefused = 627 Warn "endpoint list of another router can't be used";
    ListNotFetched = 628 Info "no other router sent the endpoint list; it is read from the service";
    GroupForming = 630 Info "group is being formed";
    GroupOpened = 631 Info "group opened";
    GroupGivenUp = 632 Warn "group given up before it opened";
    GroupEnding = 633 Info "group given up";
    OrderFailed = 634 Warn "order failed";
    StageOrdered = 635 Info "endpoint ordered to load a model to its host";
    GroupTraded = 636 Info "group ended in favour of others that add more";
    EndpointIdle = 637 Info "endpoint serves in no group";
    NeedsEstimated = 638 Info "groups that models need by estimate";
    OrdersDropped = 639 Warn "orders dropped: the planner lease ended before they were sent";
    RequestSent = 640 Info "request sent to an endpoint";
    RequestResent = 641 Info "request sent again";
    RequestCompleted = 642 Info "request answered in full";
    RequestRefused = 643 Info "request refused";
    StreamAborted = 644 Warn "stream aborted";
    CallerLeft = 645 Info "caller left";
    CrashCounted = 646 Warn "endpoint crashed while a request had just begun there";
    RequestBlocked = 647 Warn "request or segment not sent until it is tried again: endpoints crashed under it";
    CrashesCleared = 648 Info "request or segment cleared of crashes: it was answered";
    CrashesUnread = 649 Error "record of a request that crashes endpoints can't be read or written";
    EndpointLimited = 650 Warn "endpoint reports a request rate limit";
    EndpointUnlimited = 651 Info "endpoint reports no request rate limit any more";
    EndpointCold = 652 Info "endpoint is cold and gets requests at a limited rate";
    EndpointsListed = 653 Info "many endpoints listed";
    EndpointsUnlisted = 654 Info "many endpoints no longer listed";
    EndpointsIdle = 655 Info "many endpoints serve in no group";
    ModelMisfit = 656 Error "model fits no fabric domain: no group of it can be formed";
    EndpointHoldsOff = 657 Warn "endpoint asks this router to send it nothing for a time";
    HoldOffEnded = 658 Info "endpoint takes requests of this router again";
    OrderFencesUsed = 659 Info "planner lease handed back: its order fences are used up";
    OrdersStopped = 660 Warn "endpoint gets no more orders: it answers none and is lost or not listed";
    SuspectTried = 661 Info "request that is held for crashes is tried alone";
    PoolContended = 662 Info "requests contend for endpoints";
    PoolCalm = 663 Info "requests no longer contend for endpoints";
    AccountsEvicted = 664 Warn "more client accounts than are kept: the least used ones are forgotten";
    LoadsAdopted = 666 Info "loads of the last planner are in progress";
    GroupReplaced = 667 Info "group opened in place of a lost one";
    HallUnreachable = 668 Warn "data hall doesn't answer: nothing is planned there";
    HallReachable = 669 Info "data hall answers again";
    AppointmentGiven = 670 Info "refused caller told when to return";
    AppointmentKept = 671 Info "refused caller has returned in time";
    RefusedAgain = 672 Warn "request refused again though it returned in time";
    AppointmentsFull = 673 Warn "too many appointments: a further one isn't remembered";
    SuspectHeld = 674 Warn "requests held: endpoints crashed while running them, and maybe because of others";
    GroupEnded = 675 Info "group has ended: its members are free";
    AnswerForeign = 676 Warn "answer belongs to another request: it is not used and its connection is closed";
    RunDropped = 677 Info "a run of a moved stream has failed: another one may go on";
    EndingCalledOff = 678 Info "group goes on: its head was found again";
    SeatReported = 679 Warn "endpoint serves in a group that the list doesn't show";
    RequestMalformed = 680 Info "request refused by its form: it can't be read";
    GroupNotEnded = 681 Warn "group goes on: its head says that it serves";
}

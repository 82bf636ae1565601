use std::str::FromStr;

/// A part of the policy that can be switched off to measure its effect.
///
/// Parts that guarantees to callers or the separation of groups depend on can't be switched off.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Mechanism {
    /// Bounds the prompt tokens that a head has yet to read.
    ReadingBound,
    /// Adapts the limit of runs at a head to the time until answers begin.
    Limits,
    /// Ends open groups so that their members can form others that are worth more.
    Trades,
    /// Has members load a second model to their hosts.
    SecondModels,
    /// Has spares load and hold a model.
    Spares,
    /// Moves streams away from a silent head.
    Silence,
    /// Has the planner probe the group of a head that pauses.
    EarlyProbes,
    /// Lets a stream that has begun wait for a head that resumes it.
    ResumeWait,
    /// Broadcasts changes of the endpoint list in digests.
    Updates,
    /// Weighs groups also by demand, not by the published shares alone.
    Demand,
    /// Orders members that stay behind in an ended group to leave it.
    Freeing,
    /// Decides for all requests that compete for the same endpoints together.
    Admission,
    /// Plans capacity ahead of demand, of halls that are emptied and of lost members.
    Capacity,
    /// Extrapolates the change of demand, as a part of `Capacity`.
    Trend,
    /// Tells refused callers when there will be room for them.
    Returns,
}

/// Every mechanism by its name in the settings.
const NAMES: [(&str, Mechanism); 15] = [
    ("reading-bound", Mechanism::ReadingBound),
    ("limits", Mechanism::Limits),
    ("trades", Mechanism::Trades),
    ("second-models", Mechanism::SecondModels),
    ("spares", Mechanism::Spares),
    ("silence", Mechanism::Silence),
    ("early-looks", Mechanism::EarlyProbes),
    ("resume-wait", Mechanism::ResumeWait),
    ("news", Mechanism::Updates),
    ("demand", Mechanism::Demand),
    ("freeing", Mechanism::Freeing),
    ("admission", Mechanism::Admission),
    ("capacity", Mechanism::Capacity),
    ("trend", Mechanism::Trend),
    ("returns", Mechanism::Returns),
];

impl Mechanism {
    /// Names of all mechanisms.
    pub fn names() -> impl Iterator<Item = &'static str> {
        NAMES.iter().map(|(name, _)| *name)
    }
}

impl FromStr for Mechanism {
    type Err = String;

    fn from_str(name: &str) -> Result<Self, String> {
        let found = NAMES.iter().find(|(known, _)| *known == name);
        found.map(|(_, m)| *m).ok_or_else(|| {
            let names: Vec<_> = Self::names().collect();
            format!("found {name:?}, expected one of {}", names.join(", "))
        })
    }
}

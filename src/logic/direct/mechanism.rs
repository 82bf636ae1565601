use std::str::FromStr;

/// A part of the policy that can be switched off, so that its worth can be measured.
///
/// None of them keeps a promise to callers or keeps groups apart; those can't be
/// switched off here.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Mechanism {
    /// Prompts that wait to be read at a head are bounded.
    ReadingBound,
    /// Limits by head rise and fall with how soon requests begin.
    Limits,
    /// Groups are given up for others that add more.
    Trades,
    /// Members load a second model to their hosts.
    SecondModels,
    /// Spares load and hold a model.
    Spares,
    /// Streams leave a head that is silent.
    Silence,
    /// A head that pauses has its group looked at.
    EarlyLooks,
    /// A half-given stream waits for a head to take it up.
    ResumeWait,
    /// The planner tells other routers what the list shows.
    News,
    /// Groups are weighed by what callers ask for, not by published shares.
    Demand,
    /// Members that stay behind are told to leave a group that is over.
    Freeing,
}

/// Every mechanism by its name in the settings.
const NAMES: [(&str, Mechanism); 11] = [
    ("reading-bound", Mechanism::ReadingBound),
    ("limits", Mechanism::Limits),
    ("trades", Mechanism::Trades),
    ("second-models", Mechanism::SecondModels),
    ("spares", Mechanism::Spares),
    ("silence", Mechanism::Silence),
    ("early-looks", Mechanism::EarlyLooks),
    ("resume-wait", Mechanism::ResumeWait),
    ("news", Mechanism::News),
    ("demand", Mechanism::Demand),
    ("freeing", Mechanism::Freeing),
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

use super::{FeatureMode, Mechanism};

/// The optional parts of the policy, which are off unless the settings say otherwise.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Features {
    /// One decision for all requests that compete for the same endpoints.
    pub admission: FeatureMode,
    /// Plans capacity ahead of demand, of halls that are emptied and of lost members.
    pub capacity: FeatureMode,
    /// Where `capacity` takes effect, plans for demand extrapolated by its trend.
    pub trend: FeatureMode,
    /// Tells refused callers when there will be room for them.
    pub returns: FeatureMode,
}

impl Features {
    /// The mode of a part; a mechanism that isn't optional is always on.
    pub fn mode(&self, mechanism: Mechanism) -> FeatureMode {
        match mechanism {
            Mechanism::Admission => self.admission,
            Mechanism::Capacity => self.capacity,
            Mechanism::Trend => self.trend,
            Mechanism::Returns => self.returns,
            _ => FeatureMode::On,
        }
    }
}

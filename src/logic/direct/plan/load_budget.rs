use crate::types::Millis;

/// Thousandths of a load that one load takes.
const ONE: u64 = 1_000;

/// Loads from the weight store that this planner may begin now.
///
/// Fills evenly at the published rate and holds little, so that the loads of two
/// planners in a row stay within the tenth that operators allow beyond the rate over a
/// few seconds. A planner that takes over starts empty: the one before it may have
/// used up what there was.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct LoadBudget {
    /// Thousandths of a load that may begin.
    room: u64,
    /// When that was reckoned.
    at: Millis,
}

impl LoadBudget {
    /// A budget that begins empty.
    pub fn empty(now: Millis) -> Self {
        Self { room: 0, at: now }
    }

    /// Fills it up to now. `rate` is how many loads may begin in 1,000 seconds; it
    /// holds one load and a quarter of what may begin in a second.
    pub fn fill(&mut self, now: Millis, rate: u64) {
        let most = ONE + rate / 4;
        let come = now.saturating_sub(self.at) * rate / ONE;
        if come > 0 {
            self.room = (self.room + come).min(most);
            self.at = now;
        }
    }

    /// Whether a load may begin.
    pub fn has_room(&self) -> bool {
        self.room >= ONE
    }

    /// Counts a load that begins.
    pub fn take(&mut self) {
        self.room = self.room.saturating_sub(ONE);
    }
}

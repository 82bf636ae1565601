/// Counts of one model's groups in a data hall.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct ModelCounts {
    /// Groups that match the bundle's specification of the model, aren't draining and lose no
    /// member.
    pub current: u32,
    /// Open groups that match it and aren't draining, including those that lose a member.
    pub current_open: u32,
    /// Groups that don't match it and aren't draining.
    pub old: u32,
    /// Those of them that are open.
    pub old_open: u32,
    /// Draining groups.
    pub draining: u32,
    /// Groups that match it and have a member whose endpoint failed to load.
    pub failing: u32,
}

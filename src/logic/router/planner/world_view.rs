/// Counts of one model's groups over a data hall.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct WorldView {
    /// Groups of the wanted version that aren't draining and lose no member.
    pub current: u32,
    /// Those of them that take work.
    pub current_open: u32,
    /// Groups of another version that aren't draining.
    pub old: u32,
    /// Those of them that take work.
    pub old_open: u32,
    /// Draining groups.
    pub draining: u32,
    /// Groups of the wanted version whose endpoints fail to load.
    pub failing: u32,
}

/// How far an orderly stop has come.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum EndStage {
    /// Callers are served.
    #[default]
    Open,
    /// No more callers are taken; those that wait are served.
    Closed,
    /// Nothing is left to do.
    Over,
}

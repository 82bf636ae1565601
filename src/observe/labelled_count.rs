/// A counter with two labels.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LabelledCount {
    /// Name of the counter, without what all names begin and end with.
    pub name: &'static str,
    /// Names and values of its labels.
    pub labels: [(&'static str, &'static str); 2],
    /// How many so far.
    pub count: u64,
}

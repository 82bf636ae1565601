/// A counter with two labels.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LabelledCount {
    /// Name of the counter, without the prefix and suffix that are added on the metrics page.
    pub name: &'static str,
    /// Names and values of its labels.
    pub labels: [(&'static str, &'static str); 2],
    /// Value of the counter.
    pub count: u64,
}

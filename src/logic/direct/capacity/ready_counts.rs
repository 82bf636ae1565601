/// Endpoints of one domain that are ready for one model without a load from the weight store, or
/// whose load of it ends before one that begins now.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReadyCounts {
    /// Members of groups of the model.
    pub members: usize,
    /// Endpoints in no group.
    pub free: usize,
    /// Members of groups of other models.
    pub seated: usize,
}

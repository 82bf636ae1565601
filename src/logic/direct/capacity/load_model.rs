/// A model for which loads are planned. Worth is a part of the service's worth.
#[derive(Clone, Debug, Default)]
pub struct LoadModel {
    /// Number of instances in a group.
    pub size: usize,
    /// Worth that further groups add, the next one first; none beyond the last, and 0
    /// where it doesn't justify loads.
    pub gains: Vec<f64>,
    /// Worth that is lost with one group.
    pub loss: f64,
    /// Expected losses of one instance within the time for which a loaded replacement is of use.
    pub member_losses: f64,
}

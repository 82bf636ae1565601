use crate::types::{InstanceId, Millis};

/// A group that is being given up.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Ending {
    /// Its epoch.
    pub epoch: u64,
    /// Its head; absent where the list doesn't name it.
    pub head: Option<InstanceId>,
    /// Its other members that aren't lost.
    pub others: Vec<InstanceId>,
    /// What is awaited.
    pub step: EndingStep,
    /// When the step began.
    pub since: Millis,
    /// When the order was last given.
    pub asked: Millis,
    /// When a member was first known to have left, which breaks the head.
    pub left: Option<Millis>,
}

/// What a group that is being given up waits for.
///
/// Nobody may join another group while the head could still be open. A head
/// that can't be told to leave counts as open until other routers miss it too,
/// or until it must have noticed that its members have left.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum EndingStep {
    /// The head finishes what it has.
    Closing,
    /// The head confirms that it has left.
    Leaving,
    /// Other routers tell whether they miss the head as well.
    Confirming,
    /// The other members have left; the head stands still and breaks.
    Breaking,
}

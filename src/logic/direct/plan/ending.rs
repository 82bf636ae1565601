use crate::types::{InstanceId, Millis};

/// A group that is ending.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct EndingGroup {
    /// Its epoch.
    pub epoch: u64,
    /// Its head; none while no entry of the list shows it.
    pub head: Option<InstanceId>,
    /// Its other members as far as known, lost ones included.
    pub others: Vec<InstanceId>,
    /// When it began to end.
    pub began_at: Millis,
    /// Whether its head finishes its requests before it leaves.
    pub drains: bool,
    /// The current step.
    pub step: EndingStep,
    /// When the step began.
    pub step_since: Millis,
    /// When the step's orders were last sent.
    pub ordered_at: Millis,
    /// When a member was first known to have left without its head, which breaks the head.
    pub left_at: Option<Millis>,
}

impl EndingGroup {
    /// Number of members that are known, with the head.
    pub(super) fn known_members(&self) -> usize {
        usize::from(self.head.is_some()) + self.others.len()
    }
}

/// What an ending group waits for.
///
/// None of its members may join another group while its head could still be open. A head that can't be
/// reached counts as open until it is heard, or until another process is found at its address. A member that
/// has left is free once it has said so.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum EndingStep {
    /// The head finishes its requests.
    Closing,
    /// The head confirms that it has left.
    Leaving,
    /// Other routers report whether they find that the head has stopped.
    Confirming,
    /// The other members are ordered to leave; the head then stalls and breaks.
    Breaking,
}

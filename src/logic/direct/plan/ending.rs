use crate::types::{InstanceId, Millis};

/// A group that is being given up.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Ending {
    /// Its epoch.
    pub epoch: u64,
    /// Its head.
    pub head: InstanceId,
    /// What is awaited.
    pub step: EndingStep,
    /// When the step began.
    pub since: Millis,
    /// When the order was last given.
    pub asked: Millis,
}

/// What a group that is being given up waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum EndingStep {
    /// The head finishes what it has.
    Closing,
    /// The head confirms that it has left.
    Leaving,
}

use serde::{Deserialize, Serialize};

/// A router's observation of an endpoint that may be lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Observation {
    /// It answers, has sent something since the probe was sent or asked for, or refuses new
    /// connections while it still works on runs of this router.
    Alive,
    /// It sent nothing in time.
    Silent,
    /// Its address refuses connections and nothing more is known: it may have crashed, or it
    /// may have stopped listening while it finishes the runs of other routers.
    Refuses,
    /// Its address refuses connections and a run there has just broken off though it wasn't leaving: it
    /// has crashed, or it is cut off by a fault that resets connections.
    // Earlier versions call it `Gone`.
    #[serde(rename = "Gone")]
    RunBroke,
    /// Another endpoint has its address: its process has ended.
    Replaced,
}

use serde::{Deserialize, Serialize};

use crate::types::{Bundle, Millis};

/// A router's answer to [`Message::HeadAsk`](super::Message::HeadAsk).
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct HeadReply {
    /// The asker's clock when it asked, echoed; in the asker's milliseconds.
    pub asked_at: Millis,
    /// Number of the bundle in force at the sender.
    pub number: u64,
    /// Age of the sender's last proof that this is the newest, in milliseconds.
    pub age_ms: Option<Millis>,
    /// False while the sender has a roll under way whose result it doesn't know.
    pub settled: bool,
    /// The sender's bundle, where the asker's is older.
    pub bundle: Option<Box<Bundle>>,
}

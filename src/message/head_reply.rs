use serde::{Deserialize, Serialize};

use crate::types::{Bundle, Millis};

/// A router's reply to [`Message::HeadAsk`](super::Message::HeadAsk).
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct HeadReply {
    /// Time of the request on the requesting router's clock, echoed, in milliseconds.
    pub asked_at: Millis,
    /// Number of the bundle in force at the replying router.
    pub number: u64,
    /// Age of the replying router's latest proof that this bundle is the newest, in
    /// milliseconds; absent if it has none.
    pub age_ms: Option<Millis>,
    /// False while the replying router is putting a bundle in force and doesn't know the
    /// result yet.
    pub settled: bool,
    /// Bundle of the replying router, if that of the requesting router is older.
    pub bundle: Option<Box<Bundle>>,
}

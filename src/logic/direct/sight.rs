use serde::{Deserialize, Serialize};

/// What one router can tell of an endpoint that is missed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Sight {
    /// It answers, has sent something since it was looked for, or refuses new
    /// connections while it still works on what this router sent it before.
    Alive,
    /// Nothing came from it in time.
    Silent,
    /// Its address refuses connections and nothing more is known: it may have died,
    /// or it may have stopped listening and be finishing what other routers sent.
    Refuses,
    /// It is over: its address refuses connections and what ran there has just
    /// broken off, or another endpoint has its address.
    Gone,
}

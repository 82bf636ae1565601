use std::net::SocketAddr;

use crate::message::Report;
use crate::types::Millis;

/// A router's view of one agent.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct AgentView {
    /// Where it listens.
    pub addr: SocketAddr,
    /// Its incarnation while a session is open.
    pub up: Option<u64>,
    /// When the session closed, or was first wanted.
    pub down_since: Millis,
    /// Number of its bundle as last heard or sent.
    pub bundle: u64,
    /// Its last report on the present session.
    pub report: Option<Report>,
    /// When the group it leads was last seen to open.
    pub opened_at: Millis,
}

impl AgentView {
    /// View of an agent that is about to be dialled.
    pub fn new(addr: SocketAddr, now: Millis) -> Self {
        Self {
            addr,
            up: None,
            down_since: now,
            bundle: 0,
            report: None,
            opened_at: 0,
        }
    }
}

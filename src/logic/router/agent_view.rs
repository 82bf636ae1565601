use std::net::SocketAddr;

use crate::message::Report;
use crate::types::Millis;

/// A router's view of one agent.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct AgentView {
    /// Address it listens on.
    pub addr: SocketAddr,
    /// Its incarnation while a session is open.
    pub up: Option<u64>,
    /// When the session closed, or when it was first dialled.
    pub down_since: Millis,
    /// Number of the newest bundle that it has reported or was sent on the present session;
    /// lowered when it refuses an attempt because it has an older one.
    pub bundle: u64,
    /// Its last report on the present session.
    pub report: Option<Report>,
    /// When it last reported an open group while its previous report on the session, if any,
    /// had none.
    pub opened_at: Millis,
}

impl AgentView {
    /// State of an agent that is about to be dialled.
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

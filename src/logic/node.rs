use super::agent::AgentState;
use super::direct::DirectState;
use super::router::RouterState;

/// State of one process.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Node {
    /// A router that reaches endpoints through their agents.
    Router(Box<RouterState>),
    /// An agent, which runs beside an endpoint.
    Agent(Box<AgentState>),
    /// A router that reaches endpoints by direct links.
    Direct(Box<DirectState>),
}

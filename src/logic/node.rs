use super::agent::AgentState;
use super::direct::DirectState;
use super::router::RouterState;

/// State of one process: a router, with agents or with direct links, or an agent.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Node {
    /// A process on an entry instance.
    Router(Box<RouterState>),
    /// A process beside an endpoint.
    Agent(Box<AgentState>),
    /// A process on an entry instance that reaches endpoints by direct links.
    Direct(Box<DirectState>),
}

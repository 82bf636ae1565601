use super::agent::AgentState;
use super::router::RouterState;

/// State of one process: a router or an agent.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Node {
    /// A process on an entry instance.
    Router(Box<RouterState>),
    /// A process beside an endpoint.
    Agent(Box<AgentState>),
}

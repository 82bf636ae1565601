use std::collections::BTreeMap;
use std::sync::Arc;

use super::{CallerLimits, FigureGap, KeyedAccount, RouteSpec, ServiceSpec};

/// Where requests may go: the routed part of what operators have in force.
///
/// A later version replaces an earlier one whole. Numbers that aren't whole in
/// the operators' document are kept in thousandths.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Routing {
    /// Version; only grows.
    pub version: u64,
    /// Routes by host, longest path prefix first.
    pub routes: BTreeMap<Arc<str>, Vec<Arc<RouteSpec>>>,
    /// Services by name.
    pub services: BTreeMap<Arc<str>, Arc<ServiceSpec>>,
    /// Whether callers need a key at all.
    pub keyed: bool,
    /// Client accounts by key.
    pub accounts: BTreeMap<Arc<str>, Arc<KeyedAccount>>,
    /// What a caller may send.
    pub limits: CallerLimits,
    /// Figures that the operators don't publish, with what stands in for them.
    pub gaps: Vec<FigureGap>,
}

impl Routing {
    /// Adds a route, keeping the longest prefix first.
    pub fn add_route(&mut self, host: &str, route: RouteSpec) {
        let routes = self.routes.entry(Arc::from(host)).or_default();
        let at = routes.partition_point(|r| r.prefix.len() >= route.prefix.len());
        routes.insert(at, Arc::new(route));
    }

    /// The route of a host with the longest prefix that begins a path.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<RouteSpec>> {
        let routes = self.routes.get(host)?;
        routes.iter().find(|r| path.starts_with(&*r.prefix))
    }

    /// The services that any route leads to.
    pub fn served(&self) -> impl Iterator<Item = &Arc<ServiceSpec>> {
        self.services.values()
    }
}

use std::collections::BTreeMap;
use std::sync::Arc;

use super::{CallerLimits, KeyedAccount, Millis, MissingValue, RouteSpec, ServiceSpec};

/// Routes, services and accounts, as read from the operators' document that is in force.
///
/// A later version replaces an earlier one completely. Numbers that may have a fraction in
/// the document are kept as integers, in thousandths or in a smaller unit.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Routing {
    /// Version of the document; it only increases.
    pub version: u64,
    /// Routes by host, longest path prefix first.
    pub routes: BTreeMap<Arc<str>, Vec<Arc<RouteSpec>>>,
    /// Services by name.
    pub services: BTreeMap<Arc<str>, Arc<ServiceSpec>>,
    /// Whether callers need a key, except on open routes.
    pub keyed: bool,
    /// Client accounts by key.
    pub accounts: BTreeMap<Arc<str>, Arc<KeyedAccount>>,
    /// Limits on callers' requests.
    pub limits: CallerLimits,
    /// Values that the document lacks, with the defaults used instead.
    pub missing_values: Vec<MissingValue>,
    /// Names of fields of the document that this version doesn't know.
    pub unknown_fields: Vec<String>,
}

impl Routing {
    /// Adds a route to a host, keeping the routes ordered by prefix length, longest first.
    pub fn add_route(&mut self, host: &str, route: RouteSpec) {
        let routes = self.routes.entry(Arc::from(host)).or_default();
        let index = routes.partition_point(|r| r.prefix.len() >= route.prefix.len());
        routes.insert(index, Arc::new(route));
    }

    /// The longest deadline of requests to a service, in milliseconds; 0 if no route leads to it.
    pub fn longest_timeout_ms(&self, service: &Arc<str>) -> Millis {
        let routes = self.routes.values().flatten();
        let leads_there = |r: &&Arc<RouteSpec>| r.split.iter().any(|(name, _)| name == service);
        let timeouts = routes.filter(leads_there).map(|r| r.timeout_ms);
        timeouts.max().unwrap_or(0)
    }

    /// Finds the route of a host with the longest prefix that matches a path.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<RouteSpec>> {
        let routes = self.routes.get(host)?;
        routes.iter().find(|r| path.starts_with(&*r.prefix))
    }

    /// All services.
    pub fn served(&self) -> impl Iterator<Item = &Arc<ServiceSpec>> {
        self.services.values()
    }
}

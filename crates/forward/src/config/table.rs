//! Look-ups in a configuration.

use super::{Config, Organisation, Route, Service};
use std::collections::HashMap;
use std::sync::Arc;

/// A configuration, indexed for look-ups.
#[derive(Clone, Debug, Default)]
pub struct Table {
    config: Config,
    /// Indices of routes by host name in lower case, longest prefix first.
    hosts: HashMap<Arc<str>, Vec<usize>>,
    keys: HashMap<Arc<str>, usize>,
    services: HashMap<Arc<str>, usize>,
}

impl Table {
    /// Indexes a configuration.
    pub fn new(config: Config) -> Table {
        let mut hosts: HashMap<Arc<str>, Vec<usize>> = HashMap::new();
        for (index, route) in config.routes.iter().enumerate() {
            hosts.entry(route.host.to_ascii_lowercase().into()).or_default().push(index);
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|&index| std::cmp::Reverse(config.routes[index].prefix.len()));
        }
        let keys = config.organisations.iter().enumerate().flat_map(|(index, organisation)| {
            organisation.keys.iter().map(move |key| (key.clone(), index))
        });
        let services = config
            .services
            .iter()
            .enumerate()
            .map(|(index, service)| (service.name.clone(), index));
        Table { keys: keys.collect(), services: services.collect(), hosts, config }
    }

    /// Returns the configuration.
    pub fn config(&self) -> &Config {
        &self.config
    }

    /// Returns the route of a host name and path: the one with the longest prefix that matches the
    /// path. A port in `host` is ignored.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let host = host.rsplit_once(':').map_or(host, |(name, _)| name).to_ascii_lowercase();
        let routes = self.hosts.get(host.as_str())?.iter().map(|&index| &self.config.routes[index]);
        let mut matching = routes.filter(|route| path.starts_with(&*route.prefix));
        matching.next()
    }

    /// Returns the organisation that holds a key.
    pub fn organisation(&self, key: &str) -> Option<&Organisation> {
        self.keys.get(key).map(|&index| &self.config.organisations[index])
    }

    /// Returns the service of a name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.get(name).map(|&index| &self.config.services[index])
    }

    /// Returns `true` if requests need a key.
    pub fn needs_key(&self) -> bool {
        !self.config.organisations.is_empty()
    }
}

impl Config {
    /// Returns the priorities that requests to a service may have, some of them possibly more than
    /// once: those of the routes to it, and those that organisations state instead.
    pub fn priorities(&self, service: &str) -> Vec<u8> {
        let is_to_service = |route: &&Route| {
            route.split.iter().any(|(name, weight)| **name == *service && *weight > 0)
        };
        let has_other_callers = |route: &Route| route.open || self.organisations.is_empty();
        let of_route = |route: &Route| {
            let own = has_other_callers(route).then_some(route.priority);
            let priority = route.priority;
            let of_callers =
                self.organisations.iter().map(move |owner| owner.priority.unwrap_or(priority));
            own.into_iter().chain(of_callers).collect::<Vec<u8>>()
        };
        self.routes.iter().filter(is_to_service).flat_map(of_route).collect()
    }
}

impl Route {
    /// Returns the priority of a request of an organisation: that of the organisation if it states
    /// one, and else that of the route.
    pub fn priority(&self, organisation: Option<&Organisation>) -> u8 {
        organisation.and_then(|owner| owner.priority).unwrap_or(self.priority)
    }

    /// Returns the service that the random number `draw` selects by weight. All values of `draw`
    /// must be equally likely.
    pub fn service(&self, draw: u32) -> Option<&Arc<str>> {
        let total: u64 = self.split.iter().map(|(_, weight)| u64::from(*weight)).sum();
        let mut remaining = u64::from(draw) % total.max(1);
        for (service, weight) in &self.split {
            if remaining < u64::from(*weight) {
                return Some(service);
            }
            remaining -= u64::from(*weight);
        }
        self.split.first().map(|(service, _)| service)
    }
}

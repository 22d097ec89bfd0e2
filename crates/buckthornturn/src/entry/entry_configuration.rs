//! The configuration of entry hosts: one document, replaced whole.

use std::time::Duration;

use coordination::fleet::CustomerLimit;
use coordination::ids::CustomerId;
use coordination::ids::RegionId;
use coordination::ids::RouteId;
use coordination::ids::ServiceId;
use indexmap::IndexMap;
use serde::Deserialize;
use serde::Serialize;

use crate::callers::key_hash;

/// A service with its share of a route's requests.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ServiceWeight {
    /// Service.
    pub service: ServiceId,
    /// Weight; the share is its part in the sum of all weights.
    pub weight: f64,
}

/// A route of entry hosts.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct EntryRoute {
    /// Name.
    pub name: RouteId,
    /// Host name, in lower case.
    pub host: Box<str>,
    /// Start of the paths that it serves.
    pub path_prefix: Box<str>,
    /// Services with their shares; never empty.
    pub services: Vec<ServiceWeight>,
    /// Whether a request may run more than once.
    pub is_repeatable: bool,
    /// Whether callers need no key.
    pub is_open: bool,
    /// Whether objects are kept on the targets that handled them.
    pub keeps_objects: bool,
    /// Most targets that one attempt of a caller may be sent to.
    pub max_attempts: u32,
    /// Longest time that a caller is kept waiting.
    pub timeout: Duration,
    /// Latency objective, from the caller's request.
    pub objective: Duration,
    /// Rank; 0 is the highest.
    pub priority: u32,
    /// Regions where its requests may run; all if none is named.
    pub regions: Vec<RegionId>,
}

/// A service of entry hosts.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct EntryService {
    /// Time for which its targets are cold after a start.
    pub cold_time: Duration,
    /// Requests a second that a cold target takes; 0 for no bound.
    pub cold_rate: f64,
}

/// A customer of entry hosts.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct EntryCustomer {
    /// Limit over all hosts.
    pub limit: CustomerLimit,
    /// Rank of its requests, in place of the route's.
    pub priority: Option<u32>,
    /// Regions where its requests may run; all if none is named.
    pub regions: Vec<RegionId>,
}

/// Bounds on what a caller may send.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct EntryLimits {
    /// Largest body, in bytes.
    pub max_body_bytes: u64,
    /// Longest time that a connection stays idle.
    pub idle_timeout: Duration,
}

/// The configuration of entry hosts.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct EntryConfiguration {
    /// Version that the operator gave it.
    pub version: Box<str>,
    /// Routes by host name, longest prefix first.
    pub routes: IndexMap<Box<str>, Vec<EntryRoute>>,
    /// Services.
    pub services: IndexMap<ServiceId, EntryService>,
    /// Customers; without any, no key is needed.
    pub customers: IndexMap<CustomerId, EntryCustomer>,
    /// Customers by the hash of a key.
    pub keys: IndexMap<Box<str>, CustomerId>,
    /// Bounds on what a caller may send.
    pub limits: EntryLimits,
}

impl EntryConfiguration {
    /// Groups routes by host name, longest prefix first.
    pub fn group_routes(
        routes: impl IntoIterator<Item = EntryRoute>,
    ) -> IndexMap<Box<str>, Vec<EntryRoute>> {
        let mut grouped: IndexMap<Box<str>, Vec<EntryRoute>> = IndexMap::new();
        for route in routes {
            grouped.entry(route.host.clone()).or_default().push(route);
        }
        for routes in grouped.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.path_prefix.len()));
        }
        grouped
    }

    /// Route of a request by its host name, in lower case, and path; the longest prefix wins.
    pub fn route_for(&self, host: &str, path: &str) -> Option<&EntryRoute> {
        self.routes.get(host)?.iter().find(|route| path.starts_with(&*route.path_prefix))
    }

    /// Customer that holds a key.
    pub fn customer_for_key(&self, key: &str) -> Option<(&CustomerId, &EntryCustomer)> {
        let name = self.keys.get(&*key_hash(key))?;
        self.customers.get_key_value(name)
    }
}

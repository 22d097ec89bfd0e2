//! The configuration of entry hosts: a single document that is always replaced as a whole.

use std::time::Duration;

use coordination::fleet::CustomerLimit;
use coordination::ids::ConfigurationNumber;
use coordination::ids::CustomerId;
use coordination::ids::RegionId;
use coordination::ids::RouteId;
use coordination::ids::ServiceId;
use indexmap::IndexMap;
use serde::Deserialize;
use serde::Serialize;

use crate::callers::key_hash;

/// A service and its weight in the split of a route's requests.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ServiceWeight {
    /// Service that receives the share.
    pub service: ServiceId,
    /// Relative weight; the service's share of requests is this weight over the sum of the route's weights.
    pub weight: f64,
}

/// A route: the requests of one host name and path prefix, and how they are served.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct EntryRoute {
    /// Name of the route, as logs and metrics show it.
    pub name: RouteId,
    /// Host name that requests are matched by, in lower case.
    pub host: Box<str>,
    /// Prefix of the paths that the route serves.
    pub path_prefix: Box<str>,
    /// Services that requests are split between; never empty.
    pub services: Vec<ServiceWeight>,
    /// Whether a request may run more than once, which allows retries after an attempt with an unknown outcome.
    pub is_repeatable: bool,
    /// Whether callers without a valid key are served.
    pub is_open: bool,
    /// Whether requests for one object prefer the same targets (object affinity).
    pub keeps_objects: bool,
    /// Largest number of targets that one request of a caller may be sent to, counting the first.
    pub max_attempts: u32,
    /// Longest time until the caller gets an answer, from the arrival of the request.
    pub timeout: Duration,
    /// Latency objective, from the arrival of the request to the answer: what the operator calls a prompt answer. No request is
    /// placed, delayed or refused by it; an answer is of use to its caller until the deadline.
    pub objective: Duration,
    /// Priority of the route's requests; 0 is the highest.
    pub priority: u32,
    /// Regions where the route's requests may run; an empty list allows all.
    pub regions: Vec<RegionId>,
}

/// What entry hosts need to know of a service: the warm-up of its targets.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct EntryService {
    /// Warm-up time for which a target counts as cold after its start.
    pub cold_time: Duration,
    /// Requests per second that a cold target may receive; 0 means no limit.
    pub cold_rate: f64,
}

/// Limits and placement rules of a customer.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct EntryCustomer {
    /// Request rate and burst that the customer may use across all hosts.
    pub limit: CustomerLimit,
    /// Priority of the customer's requests, 0 being the highest; `None` uses the route's.
    pub priority: Option<u32>,
    /// Regions where the customer's requests may run; an empty list allows all.
    pub regions: Vec<RegionId>,
}

/// Limits on callers' requests and connections.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct EntryLimits {
    /// Largest request body, in bytes.
    pub max_body_bytes: u64,
    /// Longest time that a caller's connection may stay idle.
    pub idle_timeout: Duration,
    /// Largest head of a request, in bytes; 0 stands for the host's default, as hosts of an earlier version state none.
    #[serde(default)]
    pub max_head_bytes: u64,
    /// Longest time in which the head of a request arrives; zero stands for the host's default.
    #[serde(default)]
    pub head_timeout: Duration,
}

/// Routes, services, customers and limits that entry hosts serve by.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct EntryConfiguration {
    /// Version that the operator gave to the document.
    pub version: Box<str>,
    /// The version as a number, by which configurations are ordered across eras of the store; 0 if it is none.
    #[serde(default)]
    pub number: ConfigurationNumber,
    /// Routes by host name, longest prefix first.
    pub routes: IndexMap<Box<str>, Vec<EntryRoute>>,
    /// Warm-up rules by service.
    pub services: IndexMap<ServiceId, EntryService>,
    /// Customers by name; if there are none, no route requires a key.
    pub customers: IndexMap<CustomerId, EntryCustomer>,
    /// Customer that each key belongs to, by the hash of the key.
    pub keys: IndexMap<Box<str>, CustomerId>,
    /// Limits on callers' requests and connections.
    pub limits: EntryLimits,
}

impl EntryConfiguration {
    /// Groups routes by host name and sorts each group by path prefix, longest first.
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

    /// Finds the route with the longest prefix of `path`. `host` must be in lower case; `None` means that no route matches.
    pub fn route_for(&self, host: &str, path: &str) -> Option<&EntryRoute> {
        self.routes.get(host)?.iter().find(|route| path.starts_with(&*route.path_prefix))
    }

    /// Finds the customer that a key belongs to; `None` if the key is unknown.
    pub fn customer_for_key(&self, key: &str) -> Option<(&CustomerId, &EntryCustomer)> {
        let name = self.keys.get(&*key_hash(key))?;
        self.customers.get_key_value(name)
    }
}

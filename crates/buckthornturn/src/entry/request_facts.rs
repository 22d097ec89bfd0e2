//! Checks a request against the configuration before any of it is forwarded.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use coordination::ids::CustomerId;
use coordination::ids::RegionId;
use coordination::rendezvous::rendezvous_score;
use http::Request;
use http::StatusCode;
use http::header;

use crate::callers::ArrivalTime;
use crate::callers::Refusal;
use crate::callers::content_length;
use crate::callers::named_host;
use crate::entry::EntryConfiguration;
use crate::entry::EntryRoute;
use crate::interface::CallerDialect;
use crate::interface::CallerHeaders;

/// Facts about a request that its placement and limits are decided by.
#[derive(Clone, Debug)]
pub struct RequestFacts {
    /// Identifier of the caller's attempt, used in logs and to detect answers to other requests; empty if the caller
    /// sent none.
    pub attempt_id: Box<str>,
    /// Host that the caller named.
    pub host: Box<str>,
    /// Configuration that the request was checked against.
    pub configuration: Arc<EntryConfiguration>,
    /// Route that matches the request.
    pub route: EntryRoute,
    /// Customer whose key came with the request; `None` if the caller needs no key.
    pub customer: Option<CustomerId>,
    /// Hash of the object that the request concerns; `None` unless the route keeps objects and the caller named one.
    pub object_hash: Option<u64>,
    /// Regions where the request may run; an empty list allows all.
    pub regions: Vec<RegionId>,
    /// Priority of the request; 0 is the highest.
    pub priority: u32,
    /// When the request arrived.
    pub arrived_at: Instant,
    /// Time from the arrival that the caller waits for an answer; the route's timeout if the caller stated none.
    pub caller_timeout: Duration,
}

impl RequestFacts {
    /// Checks a request against the configuration in force.
    ///
    /// # Errors
    ///
    /// Returns the refusal of a request that matches no route, lacks a valid key, or is malformed or too large.
    pub fn from_request<B>(
        configuration: Arc<EntryConfiguration>,
        dialect: &dyn CallerDialect,
        request: &Request<B>,
    ) -> Result<Self, Refusal> {
        let host = named_host(request).ok_or_else(|| bad_request("bad-host"))?;
        let facts = dialect.parse_caller_headers(request.headers());
        let path = request.uri().path();
        let route = configuration
            .route_for(&host, path)
            .ok_or_else(|| Refusal::not_run(StatusCode::NOT_FOUND, "no-route"))?
            .clone();
        let (customer, settings) =
            match facts.key.as_deref().map(|key| configuration.customer_for_key(key)) {
                Some(Some((name, settings))) => (Some(name.clone()), Some(settings)),
                _ if route.is_open || configuration.customers.is_empty() => (None, None),
                _ => return Err(Refusal::not_run(StatusCode::UNAUTHORIZED, "key")),
            };
        let body_bytes = content_length(request.headers())?;
        if body_bytes.is_some_and(|bytes| bytes > configuration.limits.max_body_bytes) {
            return Err(Refusal::not_run(StatusCode::PAYLOAD_TOO_LARGE, "body-too-large"));
        }
        let regions = settings.map_or(Vec::new(), |settings| settings.regions.clone());
        Ok(Self {
            attempt_id: facts.attempt_id.clone().unwrap_or_default(),
            host,
            customer,
            object_hash: object_hash(&facts, &route),
            regions: common_regions(&route.regions, regions),
            priority: settings.and_then(|settings| settings.priority).unwrap_or(route.priority),
            arrived_at: arrival_time(request),
            caller_timeout: facts.time_left.unwrap_or(route.timeout),
            route,
            configuration,
        })
    }

    /// Moment by which the caller gets a final answer: the end of the time that it waits or of the route's timeout, the longest
    /// time for which the operator wants it kept waiting.
    pub fn deadline(&self) -> Instant {
        self.arrived_at + self.caller_timeout.min(self.route.timeout)
    }

    /// Time left until the deadline; zero after it.
    pub fn time_left(&self) -> Duration {
        self.deadline().saturating_duration_since(Instant::now())
    }
}

/// Intersection of two lists of regions, where an empty list allows all. An empty intersection gives one region without a
/// name, which no target has.
fn common_regions(route: &[RegionId], customer: Vec<RegionId>) -> Vec<RegionId> {
    match (route.is_empty(), customer.is_empty()) {
        (_, true) => route.to_vec(),
        (true, false) => customer,
        (false, false) => {
            let common: Vec<_> =
                customer.into_iter().filter(|region| route.contains(region)).collect();
            if common.is_empty() { vec!["".into()] } else { common }
        }
    }
}

fn object_hash(facts: &CallerHeaders, route: &EntryRoute) -> Option<u64> {
    let object = facts.object.as_deref().filter(|_| route.keeps_objects)?;
    Some(rendezvous_score(&[&route.name, object]))
}

/// Time at which the request was read from its connection, where it may have waited behind others.
fn arrival_time<B>(request: &Request<B>) -> Instant {
    request.extensions().get().map_or_else(Instant::now, |ArrivalTime(time)| *time)
}

fn bad_request(reason: &'static str) -> Refusal {
    Refusal::not_run(StatusCode::BAD_REQUEST, reason)
}

/// Whether a request asks for a protocol upgrade of its connection, which is not supported.
pub fn requests_upgrade<B>(request: &Request<B>) -> bool {
    request.headers().contains_key(header::UPGRADE)
}

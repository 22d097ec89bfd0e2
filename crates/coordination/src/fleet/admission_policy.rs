//! Order of the requests to one service while capacity is short: which ones keep room for others.
//!
//! Load that this answers: routes of different rank, work and deadlines share targets. Requests wait at targets in the order
//! of their arrival, so that one with much time left may hold up others that have less, or a higher rank.

use std::cmp::Ordering;
use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;

use crate::fleet::PlacementRequest;
use crate::fleet::ServiceTimes;
use crate::fleet::admission_limit::AdmissionLimit;
use crate::fleet::admission_limit::ReservedRoom;
use crate::fleet::customer_usage::CustomerUsage;
use crate::fleet::longest_pause;
use crate::ids::RouteId;

/// Weight of the latest request in the mean time that callers of a class have left.
const TIME_LEFT_WEIGHT: f64 = 0.05;
/// Weights of the latest request in the share of its class that finds room, which is to follow the start of an overload, and in
/// the share of all requests.
const FOUND_WEIGHT: f64 = 0.1;
const SERVED_WEIGHT: f64 = 0.03;
/// Standard errors by which a measured share may lie above the true one.
const SHARE_ERRORS: f64 = 3.0;
/// Share of requests served, of the mean of all classes, below which a class keeps no room for others: none is served less than
/// a quarter as often as all.
const GUARANTEED_SHARE: f64 = 0.25;
/// Requests that a class may have saved up of what it is guaranteed.
const MAX_CREDIT: f64 = 2.0;
/// Margins for errors of estimates that are kept for requests that come first: that of their own admission, and one for the
/// estimate of this host.
const ROOM_MARGINS: f64 = 2.0;
/// Time without requests after which a class is forgotten.
const CLASS_LIFE: Duration = Duration::from_secs(60);

/// Classes of requests to one service, and what became of their requests lately.
#[derive(Clone, Debug, Default)]
pub(super) struct AdmissionPolicy {
    classes: Vec<RequestClass>,
    /// Share of all requests that were served lately.
    served: f64,
}

/// Requests of one route and rank.
#[derive(Clone, Debug)]
struct RequestClass {
    route: RouteId,
    priority: u32,
    /// Mean time in seconds that callers have left when they ask.
    time_left_seconds: f64,
    /// Share of requests that found room lately.
    found_share: f64,
    recorded_at: Instant,
    /// Requests that the class may run without room for others.
    credit: f64,
    /// Work of the class by customer.
    usage: CustomerUsage,
}

impl AdmissionPolicy {
    /// Returns the room that a request leaves for others: for those of higher rank, and among those of the same rank for other
    /// routes whose callers can't wait until this one has come back from the longest pause that its caller honours. A customer
    /// that got more than its share leaves room for all of its rank.
    pub(super) fn limit(
        &self,
        request: &PlacementRequest<'_>,
        times: &IndexMap<RouteId, ServiceTimes>,
        home_likelihood: f64,
        now: Instant,
    ) -> AdmissionLimit {
        let Some(own) = self.class_of(request) else { return AdmissionLimit::default() };
        if own.credit >= 1.0 {
            return AdmissionLimit::default();
        }
        let is_above_share = own.usage.is_above_share(request.customer, now);
        let own_pause = longest_pause(request.time_left).as_secs_f64();
        let first = self.classes.iter().filter_map(|class| {
            let room = class.room(times, home_likelihood)?;
            let slack = room.time_left_seconds - room.work_seconds;
            let margins = match class.priority.cmp(&request.priority) {
                Ordering::Less => ROOM_MARGINS,
                Ordering::Equal if slack < own_pause && !class.is_of(request) => ROOM_MARGINS,
                Ordering::Equal if is_above_share => 1.0,
                Ordering::Equal | Ordering::Greater => return None,
            };
            Some(ReservedRoom { margin_seconds: room.margin_seconds * margins, ..room })
        });
        AdmissionLimit { reserved: first.collect() }
    }

    /// Returns whether most requests of a class found room lately, as far as the number of requests tells.
    pub(super) fn finds_room(&self, request: &PlacementRequest<'_>) -> bool {
        self.class_of(request).is_none_or(|class| class.least_found_share() > 0.5)
    }

    /// Records whether a request found room, and its work in seconds if it did.
    pub(super) fn record(
        &mut self,
        request: &PlacementRequest<'_>,
        work_seconds: Option<f64>,
        now: Instant,
    ) {
        if self.classes.is_empty() {
            self.served = 1.0;
        }
        let is_served = f64::from(u8::from(work_seconds.is_some()));
        self.served += SERVED_WEIGHT * (is_served - self.served);
        let guaranteed = GUARANTEED_SHARE * self.served;
        let class = self.class_mut(request, now);
        class.record(request.time_left, is_served, now);
        class.credit = (class.credit + guaranteed - is_served).clamp(-MAX_CREDIT, MAX_CREDIT);
        if let (Some(seconds), Some(customer)) = (work_seconds, request.customer) {
            class.usage.add(customer, seconds, now);
        }
    }

    fn class_of(&self, request: &PlacementRequest<'_>) -> Option<&RequestClass> {
        self.classes.iter().find(|class| class.is_of(request))
    }

    fn class_mut(&mut self, request: &PlacementRequest<'_>, now: Instant) -> &mut RequestClass {
        let found = self.classes.iter().position(|class| class.is_of(request));
        let index = found.unwrap_or_else(|| {
            self.classes
                .retain(|class| now.saturating_duration_since(class.recorded_at) < CLASS_LIFE);
            self.classes.push(RequestClass {
                route: request.route.clone(),
                priority: request.priority,
                time_left_seconds: request.time_left.as_secs_f64(),
                found_share: 1.0,
                recorded_at: now,
                credit: 0.0,
                usage: CustomerUsage::default(),
            });
            self.classes.len() - 1
        });
        &mut self.classes[index]
    }
}

impl RequestClass {
    fn is_of(&self, request: &PlacementRequest<'_>) -> bool {
        self.priority == request.priority && self.route == *request.route
    }

    /// What the next request of the class needs of a target where it may wait, its object's home; `None` while its work is not
    /// known.
    fn room(
        &self,
        times: &IndexMap<RouteId, ServiceTimes>,
        home_likelihood: f64,
    ) -> Option<ReservedRoom> {
        let times = times.get(&self.route)?;
        Some(ReservedRoom {
            time_left_seconds: self.time_left_seconds,
            work_seconds: times.measured_seconds(home_likelihood)?,
            margin_seconds: times.margin_seconds(),
        })
    }

    /// Least share of requests that found room, given how few of them it is measured by.
    fn least_found_share(&self) -> f64 {
        let variance = self.found_share * (1.0 - self.found_share);
        let error = (variance * FOUND_WEIGHT / (2.0 - FOUND_WEIGHT)).sqrt();
        self.found_share - SHARE_ERRORS * error
    }

    fn record(&mut self, time_left: Duration, is_served: f64, now: Instant) {
        self.recorded_at = now;
        self.found_share += FOUND_WEIGHT * (is_served - self.found_share);
        let seconds = time_left.as_secs_f64();
        self.time_left_seconds += TIME_LEFT_WEIGHT * (seconds - self.time_left_seconds);
    }
}

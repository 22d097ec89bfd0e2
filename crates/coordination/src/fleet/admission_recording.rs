//! Admission of requests as part of the balancer: which room they leave for others, and what became of them.

use std::time::Instant;

use crate::fleet::PlacementRequest;
use crate::fleet::TargetBalancer;
use crate::fleet::admission_limit::AdmissionLimit;

impl TargetBalancer {
    /// Returns the room that a request leaves for those that come before it.
    pub(super) fn admission_limit(
        &self,
        request: &PlacementRequest<'_>,
        now: Instant,
    ) -> AdmissionLimit {
        let service = self.services.get(request.service);
        service.map_or_else(AdmissionLimit::default, |service| {
            let home_likelihood = service.home_likelihoods()[0];
            service.admission.limit(request, &self.service_times, home_likelihood, now)
        })
    }

    /// Whether most requests of a class found room lately.
    pub(super) fn finds_room(&self, request: &PlacementRequest<'_>) -> bool {
        let service = self.services.get(request.service);
        service.is_none_or(|service| service.admission.finds_room(request))
    }

    /// Records whether a request found room, and its work in seconds if it did.
    pub(super) fn record_admission(
        &mut self,
        request: &PlacementRequest<'_>,
        work_seconds: Option<f64>,
        now: Instant,
    ) {
        if let Some(service) = self.services.get_mut(request.service) {
            service.admission.record(request, work_seconds, now);
        }
    }
}

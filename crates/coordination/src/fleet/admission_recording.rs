//! Admission of requests by priority, as part of the balancer: when it applies, what it records, and its refusals.

use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;
use indexmap::IndexSet;

use crate::fleet::PlacementRefusal;
use crate::fleet::PlacementRequest;
use crate::fleet::TargetBalancer;
use crate::fleet::admission_limit::AdmissionLimit;
use crate::fleet::admission_policy::AdmissionOutcome;
use crate::fleet::admission_policy::AdmissionPolicy;
use crate::fleet::placement_candidate::Candidate;
use crate::fleet::placement_candidate::RegionPressure;
use crate::ids::ServiceId;

impl TargetBalancer {
    /// Sets the priorities of the routes that may use each service. Requests to a service with several of them are admitted
    /// by priority while capacity is short; one that is not named, or with a single priority, is not.
    pub fn set_route_priorities(&mut self, priorities: &IndexMap<ServiceId, IndexSet<u32>>) {
        for (name, known) in priorities {
            let policy = AdmissionPolicy::new(known.iter().copied());
            let record = self.services.entry(name.clone()).or_default();
            if policy.as_ref().map(AdmissionPolicy::priorities)
                != record.admission.as_ref().map(AdmissionPolicy::priorities)
            {
                record.admission = policy;
            }
        }
        let unnamed = self.services.iter_mut().filter(|(name, _)| !priorities.contains_key(*name));
        unnamed.for_each(|(_, record)| record.admission = None);
    }

    /// Returns what admission allows for a request; `None` if the service's routes have one priority.
    pub(super) fn admission_limit(
        &self,
        request: &PlacementRequest<'_>,
        now: Instant,
    ) -> Option<AdmissionLimit> {
        let policy = self.services.get(request.service)?.admission.as_ref()?;
        Some(policy.limit(request, now))
    }

    /// Refusal of a request that no target runs in time or by its priority. `cheapest` is the best candidate of all.
    pub(super) fn busy_refusal(
        &self,
        request: &PlacementRequest<'_>,
        cheapest: &Candidate<'_>,
        pressure: RegionPressure,
        now: Instant,
    ) -> PlacementRefusal {
        let known = self.services.get(request.service);
        let service_seconds = known.and_then(|service| service.mean_service_seconds);
        let service_seconds = service_seconds.unwrap_or(cheapest.work_seconds);
        let wait = Duration::from_secs_f64(cheapest.wait_seconds);
        match self.admission_limit(request, now) {
            Some(limit) => {
                let pause = limit.draw_pause(cheapest, request, pressure, service_seconds);
                PlacementRefusal::Deferred { pause, wait, pressure: pressure.inside }
            }
            None => PlacementRefusal::Busy { wait, pressure: pressure.inside },
        }
    }

    /// Records whether a request was admitted.
    pub(super) fn record_admission(
        &mut self,
        request: &PlacementRequest<'_>,
        outcome: AdmissionOutcome,
        now: Instant,
    ) {
        let service = self.services.get_mut(request.service);
        if let Some(policy) = service.and_then(|service| service.admission.as_mut()) {
            policy.record(request, outcome, now);
        }
    }
}

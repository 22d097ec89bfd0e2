//! Weights and round trips in force on one host.

use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use coordination::ids::DomainId;
use coordination::ids::RegionId;
use coordination::ids::Revision;
use coordination::ids::ServiceId;
use coordination::ids::TargetId;
use coordination::shift::ShiftLimiter;
use coordination::shift::ShiftPosition;
use indexmap::IndexMap;

use crate::configuration::ConfigurationState;
use crate::steering::shift_view::is_target_drained;
use crate::steering::shift_view::shift_input;

/// Round trip assumed between two failure domains of one region.
const SAME_REGION_ROUND_TRIP: Duration = Duration::from_millis(2);
/// Round trip assumed between two regions without a configured link.
const UNKNOWN_LINK_ROUND_TRIP: Duration = Duration::from_millis(100);

/// Position and slots of one service in one failure domain.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct DomainPlan {
    /// How far the service is drained in the failure domain, as far as its shift cap allows.
    pub(crate) position: ShiftPosition,
    /// Slots of the service's targets in the failure domain, without targets that are drained themselves.
    pub(crate) slots: u32,
}

/// Part of the plan that concerns one target.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct TargetPlan {
    /// Service that the target runs.
    pub(crate) service: ServiceId,
    /// Failure domain in which the target runs.
    pub(crate) domain: DomainId,
    /// Whether the target itself is drained and gets no new requests.
    pub(crate) is_drained: bool,
    /// Time in use after which a cold target gets all of its slots.
    pub(crate) warm_up: Duration,
}

/// Weights and round trips in force on this host, computed from the configuration and the current time.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SteeringPlan {
    /// Configuration revision from which the plan was computed.
    pub(crate) revision: Revision,
    /// Position and slots of each service in the failure domains that have targets of it.
    pub(crate) services: IndexMap<ServiceId, IndexMap<DomainId, DomainPlan>>,
    /// Service, failure domain and drain state of each configured target.
    pub(crate) targets: IndexMap<TargetId, TargetPlan>,
    /// Round trip from this host's failure domain to each failure domain; zero to its own.
    pub(crate) round_trips: IndexMap<DomainId, Duration>,
}

impl SteeringPlan {
    /// Computes the plan. `limiters` holds the state of each service's shift limiter between calls; those of removed
    /// services are dropped. Limiters advance by `now`, orders take effect by `wall_time`.
    pub(crate) fn new(
        state: &ConfigurationState,
        own_domain: &str,
        limiters: &mut IndexMap<ServiceId, ShiftLimiter>,
        now: Instant,
        wall_time: SystemTime,
    ) -> Self {
        let mut services = IndexMap::new();
        limiters.retain(|service, _| state.services.contains_key(service));
        for service in state.services.keys() {
            let input = shift_input(state, service, wall_time);
            let computed_positions = input.positions_at(wall_time);
            let limiter = limiters.entry(service.clone()).or_default();
            let positions = limiter.limit_positions(&input, computed_positions, now);
            let domains = input.domains.iter().map(|capacity| {
                let position = positions.get(&capacity.domain).copied().unwrap_or_default();
                (capacity.domain.clone(), DomainPlan { position, slots: capacity.slots })
            });
            services.insert(service.clone(), domains.collect());
        }
        let targets = state.targets.values().map(|target| {
            let plan = TargetPlan {
                service: target.service.clone(),
                domain: target.failure_domain.clone(),
                is_drained: is_target_drained(state, target, wall_time),
                warm_up: Duration::from_secs(target.warm_up_seconds),
            };
            (target.name.clone(), plan)
        });
        Self {
            revision: state.revision,
            services,
            targets: targets.collect(),
            round_trips: round_trips(state, own_domain),
        }
    }

    /// Position of a service in a failure domain; `UNDRAINED` if the service has no targets there.
    pub(crate) fn position(&self, service: &str, domain: &str) -> ShiftPosition {
        let domains = self.services.get(service);
        domains
            .and_then(|domains| domains.get(domain))
            .map_or(ShiftPosition::UNDRAINED, |plan| plan.position)
    }

    /// Round trip to a failure domain; `UNKNOWN_LINK_ROUND_TRIP` if the domain is not configured.
    pub(crate) fn round_trip(&self, domain: &str) -> Duration {
        self.round_trips.get(domain).copied().unwrap_or(UNKNOWN_LINK_ROUND_TRIP)
    }
}

fn round_trips(state: &ConfigurationState, own_domain: &str) -> IndexMap<DomainId, Duration> {
    let own_region: RegionId = state.region_of(own_domain).unwrap_or_default().into();
    let round_trip = |domain: &str, region: &str| match region {
        _ if domain == own_domain => Duration::ZERO,
        region if region == &*own_region => SAME_REGION_ROUND_TRIP,
        region => {
            let link = |from: &str, to: &str| {
                let mut links = state.links.values();
                let link = links.find(|link| &*link.from == from && &*link.to == to);
                link.map(|link| Duration::from_millis(link.latency_ms))
            };
            match (link(&own_region, region), link(region, &own_region)) {
                (Some(outbound), Some(inbound)) => outbound + inbound,
                (Some(one_way), None) | (None, Some(one_way)) => one_way * 2,
                (None, None) => UNKNOWN_LINK_ROUND_TRIP,
            }
        }
    };
    let domains = state.domains.values();
    domains.map(|spec| (spec.name.clone(), round_trip(&spec.name, &spec.region))).collect()
}

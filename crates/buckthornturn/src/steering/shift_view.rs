//! Derives the input of a service's shift (cap, capacities and orders) from the configuration.

use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use coordination::ids::DomainId;
use coordination::shift::DomainCapacity;
use coordination::shift::ShiftDirection;
use coordination::shift::ShiftInput;
use coordination::shift::ShiftOrder;
use coordination::shift::ShiftPosition;
use indexmap::IndexMap;

use crate::configuration::ConfigurationState;
use crate::configuration::DrainOrder;
use crate::configuration::DrainScope;
use crate::configuration::ScheduledDrain;
use crate::configuration::TargetSpec;

/// Shift cap of services without a profile.
const DEFAULT_SHIFT_CAP_PERCENT_PER_MINUTE: f64 = 20.0;
/// Latest time, 9999-12-31T23:59:59Z; later years cannot be formatted as RFC 3339.
const MAX_UNIX_MS: u64 = 253_402_300_799_000;

/// Input from which the shifts of `service` are computed: its cap, capacities, drain orders and scheduled drains. Of
/// these, only the capacities depend on `now`: targets that are drained at that time have no slots.
pub(crate) fn shift_input(
    state: &ConfigurationState,
    service: &str,
    now: SystemTime,
) -> ShiftInput {
    let profile = state.profile_of(service);
    let cap = profile.map(|profile| profile.shift_cap_percent_per_minute);
    let scheduled = profile.map(|profile| profile.schedule.as_slice()).unwrap_or_default();
    let drain_orders =
        state.drains.values().filter_map(|order| shift_order_of_drain(state, service, order));
    let scheduled_orders =
        scheduled.iter().filter_map(|drain| shift_order_of_schedule(state, drain));
    ShiftInput {
        cap_percent_per_minute: cap.unwrap_or(DEFAULT_SHIFT_CAP_PERCENT_PER_MINUTE),
        domains: domain_capacities(state, service, now),
        orders: drain_orders.chain(scheduled_orders).collect(),
    }
}

/// Whether `target` itself is drained at `now`, by an operator's order or by a scheduled drain in its service's
/// profile. Drains of its failure domain or region do not count.
pub(crate) fn is_target_drained(
    state: &ConfigurationState,
    target: &TargetSpec,
    now: SystemTime,
) -> bool {
    let is_ordered = state.drains.values().any(|order| {
        order.is_active() && order.scope == DrainScope::Target && order.name == target.name
    });
    let is_scheduled = state.profile_of(&target.service).is_some_and(|profile| {
        profile.schedule.iter().any(|drain| {
            drain.scope == DrainScope::Target
                && drain.name == target.name
                && parse_time(&drain.start).is_some_and(|start| start <= now)
        })
    });
    is_ordered || is_scheduled
}

/// Failure domains that a drain of this scope and name covers; none for a target.
pub(crate) fn covered_domains(
    state: &ConfigurationState,
    scope: DrainScope,
    name: &str,
) -> Vec<DomainId> {
    let covers = |domain: &&DomainId| match scope {
        DrainScope::Target => false,
        DrainScope::Domain => &***domain == name,
        DrainScope::Region => state.region_of(domain) == Some(name),
    };
    state.domains.keys().filter(covers).cloned().collect()
}

/// Converts milliseconds since the Unix epoch to a time, at most `MAX_UNIX_MS`.
pub(crate) fn unix_time(milliseconds: u64) -> SystemTime {
    UNIX_EPOCH + Duration::from_millis(milliseconds.min(MAX_UNIX_MS))
}

/// Converts a time to milliseconds since the Unix epoch; 0 for an earlier time.
pub(crate) fn unix_ms(time: SystemTime) -> u64 {
    let elapsed = time.duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
}

fn domain_capacities(
    state: &ConfigurationState,
    service: &str,
    now: SystemTime,
) -> Vec<DomainCapacity> {
    let mut capacities: IndexMap<DomainId, DomainCapacity> = IndexMap::new();
    for target in state.targets.values().filter(|target| &*target.service == service) {
        let domain = &target.failure_domain;
        let capacity = capacities.entry(domain.clone()).or_insert_with(|| DomainCapacity {
            domain: domain.clone(),
            slots: 0,
            warm_up: Duration::ZERO,
        });
        if !is_target_drained(state, target, now) {
            capacity.slots = capacity.slots.saturating_add(target.slots);
        }
        capacity.warm_up = capacity.warm_up.max(Duration::from_secs(target.warm_up_seconds));
    }
    capacities.sort_unstable_keys();
    capacities.into_values().collect()
}

fn shift_order_of_drain(
    state: &ConfigurationState,
    service: &str,
    order: &DrainOrder,
) -> Option<ShiftOrder> {
    let (direction, start) = match order.ended_unix_ms {
        Some(ended) => (ShiftDirection::Back, ended),
        None => (ShiftDirection::Away, order.started_unix_ms),
    };
    let domains = covered_domains(state, order.scope, &order.name);
    let anchor = |domain: &DomainId| {
        let mut anchors = order.anchors.iter();
        let anchor = anchors.find(|anchor| &*anchor.service == service && anchor.domain == *domain);
        anchor.map(|anchor| ShiftPosition::new(anchor.position))
    };
    (!domains.is_empty()).then(|| ShiftOrder {
        name: order.object_name(),
        direction,
        start: unix_time(start),
        deadline: order.by_unix_ms.filter(|_| order.is_active()).map(unix_time),
        domains: domains.into_iter().map(|domain| (domain.clone(), anchor(&domain))).collect(),
    })
}

fn shift_order_of_schedule(
    state: &ConfigurationState,
    drain: &ScheduledDrain,
) -> Option<ShiftOrder> {
    let domains = covered_domains(state, drain.scope, &drain.name);
    let start = parse_time(&drain.start)?;
    let order = DrainOrder::new(drain.scope, drain.name.clone(), 0);
    (!domains.is_empty()).then(|| ShiftOrder {
        name: format!("schedule/{}", order.object_name()).into(),
        direction: ShiftDirection::Away,
        start,
        deadline: parse_time(&drain.by),
        domains: domains.into_iter().map(|domain| (domain, None)).collect(),
    })
}

fn parse_time(text: &str) -> Option<SystemTime> {
    humantime::parse_rfc3339_weak(text).ok()
}

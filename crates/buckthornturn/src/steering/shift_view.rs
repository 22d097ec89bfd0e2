//! Reads orders, caps and shares of a shift out of the configuration.

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

const DEFAULT_CAP_PERCENT_PER_MINUTE: f64 = 20.0;
const MAX_TIME_MS: u64 = 253_402_300_799_000;

/// Everything that decides a service's shifts.
pub(crate) fn shift_input(
    state: &ConfigurationState,
    service: &str,
    now: SystemTime,
) -> ShiftInput {
    let profile = state.profile_of(service);
    let cap = profile.map(|profile| profile.shift_cap_percent_per_minute);
    let scheduled = profile.map(|profile| profile.schedule.as_slice()).unwrap_or_default();
    let drains = state.drains.values().filter_map(|order| drain_order(state, service, order));
    let dated = scheduled.iter().filter_map(|drain| scheduled_order(state, drain));
    ShiftInput {
        cap_percent_per_minute: cap.unwrap_or(DEFAULT_CAP_PERCENT_PER_MINUTE),
        domains: domain_shares(state, service, now),
        orders: drains.chain(dated).collect(),
    }
}

/// Whether a target itself is drained, by an order or by the date in its service's profile.
pub(crate) fn is_target_drained(
    state: &ConfigurationState,
    target: &TargetSpec,
    now: SystemTime,
) -> bool {
    let ordered = state.drains.values().any(|order| {
        order.is_active() && order.scope == DrainScope::Target && order.name == target.name
    });
    let scheduled = state.profile_of(&target.service).is_some_and(|profile| {
        profile.schedule.iter().any(|drain| {
            drain.scope == DrainScope::Target
                && drain.name == target.name
                && parse_time(&drain.start).is_some_and(|start| start <= now)
        })
    });
    ordered || scheduled
}

/// Failure domains that a drain covers.
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

/// A time in milliseconds since the Unix epoch.
pub(crate) fn unix_time(milliseconds: u64) -> SystemTime {
    UNIX_EPOCH + Duration::from_millis(milliseconds.min(MAX_TIME_MS))
}

/// Milliseconds since the Unix epoch.
pub(crate) fn unix_ms(time: SystemTime) -> u64 {
    let since = time.duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}

fn domain_shares(
    state: &ConfigurationState,
    service: &str,
    now: SystemTime,
) -> Vec<DomainCapacity> {
    let mut shares: IndexMap<DomainId, DomainCapacity> = IndexMap::new();
    for target in state.targets.values().filter(|target| &*target.service == service) {
        let domain = &target.failure_domain;
        let share = shares.entry(domain.clone()).or_insert_with(|| DomainCapacity {
            domain: domain.clone(),
            slots: 0,
            warm_up: Duration::ZERO,
        });
        if !is_target_drained(state, target, now) {
            share.slots = share.slots.saturating_add(target.slots);
        }
        share.warm_up = share.warm_up.max(Duration::from_secs(target.warm_up_seconds));
    }
    shares.sort_unstable_keys();
    shares.into_values().collect()
}

fn drain_order(
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
        let found = anchors.find(|at| &*at.service == service && at.domain == *domain);
        found.map(|anchor| ShiftPosition::new(anchor.position))
    };
    (!domains.is_empty()).then(|| ShiftOrder {
        name: order.object_name(),
        direction,
        start: unix_time(start),
        deadline: order.by_unix_ms.filter(|_| order.is_active()).map(unix_time),
        domains: domains.into_iter().map(|domain| (domain.clone(), anchor(&domain))).collect(),
    })
}

fn scheduled_order(state: &ConfigurationState, drain: &ScheduledDrain) -> Option<ShiftOrder> {
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

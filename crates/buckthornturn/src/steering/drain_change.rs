//! Drain change.

use std::time::SystemTime;

use coordination::ids::DomainId;
use coordination::ids::ServiceId;
use coordination::shift::ShiftPosition;
use snafu::Snafu;
use snafu::ensure;

use crate::configuration::ConfigObject;
use crate::configuration::ConfigurationState;
use crate::configuration::DrainOrder;
use crate::configuration::DrainPosition;
use crate::configuration::DrainScope;
use crate::interface::ConfigChange;
use crate::steering::drain_status::hold_up_text;
use crate::steering::drain_status::rfc3339;
use crate::steering::shift_view::covered_domains;
use crate::steering::shift_view::shift_input;
use crate::steering::shift_view::unix_ms;
use crate::steering::shift_view::unix_time;

/// Why a drain is not accepted.
#[derive(Clone, Debug, PartialEq, Snafu)]
pub enum DrainRefusal {
    /// There is nothing under that name.
    #[snafu(display("no {scope} `{name}`"))]
    Unknown {
        /// What was asked for.
        scope: &'static str,
        /// Its name.
        name: Box<str>,
    },
    /// It is not being drained.
    #[snafu(display("{scope} `{name}` is not drained by an order"))]
    NotDrained {
        /// What was asked for.
        scope: &'static str,
        /// Its name.
        name: Box<str>,
    },
    /// It cannot end in time.
    #[snafu(display("the drain cannot end by {by}: {reasons}"))]
    TooLate {
        /// End that was asked for.
        by: Box<str>,
        /// For each service what the earliest end is, and why.
        reasons: Box<str>,
    },
}

/// Changes of configuration that start or end a drain, with what operators should know.
#[derive(Clone, Debug, PartialEq)]
pub struct DrainChange {
    /// Changes to append, as one revision.
    pub changes: Vec<ConfigChange>,
    /// Other drains that will now end late.
    pub warnings: Vec<Box<str>>,
}

impl DrainChange {
    /// Starts a drain, where traffic stands now.
    ///
    /// # Errors
    ///
    /// Fails if there is no such thing, or if the drain cannot end in time.
    pub fn start(
        state: &ConfigurationState,
        scope: DrainScope,
        name: &str,
        by_unix_ms: Option<u64>,
        now: SystemTime,
    ) -> Result<Self, DrainRefusal> {
        let is_known = match scope {
            DrainScope::Target => state.targets.contains_key(name),
            _ => !covered_domains(state, scope, name).is_empty(),
        };
        ensure!(is_known, UnknownSnafu { scope: scope_text(scope), name });
        let mut order = DrainOrder::new(scope, name.into(), unix_ms(now));
        order.by_unix_ms = by_unix_ms;
        order.anchors = anchors(state, &order, now);
        let warnings = check_ends(state, &order, now)?;
        let mut changes = settled_orders(state, now);
        changes.retain(|change| !removes(change, &order));
        changes.push(ConfigChange::Put { object: ConfigObject::Drain(order) });
        Ok(Self { changes, warnings })
    }

    /// Ends a drain: traffic moves back under the cap from where it stands. What has not moved needs no order.
    ///
    /// # Errors
    ///
    /// Fails if there is no such drain.
    pub fn end(
        state: &ConfigurationState,
        scope: DrainScope,
        name: &str,
        now: SystemTime,
    ) -> Result<Self, DrainRefusal> {
        let key = DrainOrder::new(scope, name.into(), 0).object_name();
        let known = state.drains.get(&key).filter(|order| order.is_active()).cloned();
        let not_drained = NotDrainedSnafu { scope: scope_text(scope), name };
        let Some(mut order) = known else { return not_drained.fail() };
        order.anchors = anchors(state, &order, now);
        order.ended_unix_ms = Some(unix_ms(now));
        let mut changes = settled_orders(state, now);
        changes.push(match order.anchors.is_empty() {
            true => ConfigChange::Remove { kind: "drain".into(), name: key },
            false => ConfigChange::Put { object: ConfigObject::Drain(order) },
        });
        Ok(Self { changes, warnings: Vec::new() })
    }
}

fn removes(change: &ConfigChange, order: &DrainOrder) -> bool {
    let key = order.object_name();
    matches!(change, ConfigChange::Remove { name, .. } if *name == key)
}

/// Where an order's domains stand, for those that are not at home.
fn anchors(state: &ConfigurationState, order: &DrainOrder, now: SystemTime) -> Vec<DrainPosition> {
    let domains = covered_domains(state, order.scope, &order.name);
    let of_service = |service: &ServiceId| {
        let positions = shift_input(state, service, now).positions_at(now);
        let moved = positions
            .into_iter()
            .filter(|(domain, position)| domains.contains(domain) && position.value() < 1.0);
        let anchor = |(domain, position): (DomainId, ShiftPosition)| DrainPosition {
            service: service.clone(),
            domain,
            position: position.value(),
        };
        moved.map(anchor).collect::<Vec<_>>()
    };
    state.services.keys().flat_map(of_service).collect()
}

/// Removes ended orders whose traffic is all back.
fn settled_orders(state: &ConfigurationState, now: SystemTime) -> Vec<ConfigChange> {
    let ended = state.drains.values().filter(|order| !order.is_active());
    let settled = ended.filter(|order| anchors(state, order, now).is_empty());
    let remove = |order: &DrainOrder| ConfigChange::Remove {
        kind: "drain".into(),
        name: order.object_name(),
    };
    settled.map(remove).collect()
}

/// Checks that the order ends in time; returns which others would not any more.
fn check_ends(
    state: &ConfigurationState,
    order: &DrainOrder,
    now: SystemTime,
) -> Result<Vec<Box<str>>, DrainRefusal> {
    let mut next = state.clone();
    let key = order.object_name();
    next.drains.insert(key.clone(), order.clone());
    let (mut reasons, mut warnings) = (Vec::new(), Vec::new());
    for service in state.services.keys() {
        let input = shift_input(&next, service, now);
        for forecast in input.forecast(now).orders.iter().filter(|order| !order.is_in_time()) {
            let end = match forecast.targets_free_at {
                Some(end) => format!("service `{service}` is moved by {}", rfc3339(end)),
                None => format!("service `{service}` is never moved"),
            };
            let cap = input.cap_percent_per_minute;
            let hold_ups: Vec<_> = forecast.delay_causes.iter().map(hold_up_text).collect();
            let why = hold_ups.iter().map(|text| format!(", {text}")).collect::<String>();
            let left = forecast.lower_bound.as_secs();
            let text = format!("{end} ({left} s of work at {cap} % a minute{why})");
            match forecast.name == key {
                true => reasons.push(text),
                false => warnings.push(format!("{}: {text}", forecast.name).into()),
            }
        }
    }
    let by = order.by_unix_ms.map(|by| rfc3339(unix_time(by))).unwrap_or_default();
    ensure!(reasons.is_empty(), TooLateSnafu { by, reasons: reasons.join("; ") });
    Ok(warnings)
}

fn scope_text(scope: DrainScope) -> &'static str {
    match scope {
        DrainScope::Target => "target",
        DrainScope::Domain => "failure domain",
        DrainScope::Region => "region",
    }
}

//! Checks an operator's request to start or end a drain and converts it to configuration changes.

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
use crate::steering::drain_status::delay_cause_text;
use crate::steering::drain_status::rfc3339;
use crate::steering::shift_view::covered_domains;
use crate::steering::shift_view::shift_input;
use crate::steering::shift_view::unix_ms;
use crate::steering::shift_view::unix_time;

/// Why a request to start or end a drain is refused.
#[derive(Clone, Debug, PartialEq, Snafu)]
pub enum DrainRefusal {
    /// No target, failure domain or region has this name.
    #[snafu(display("no {scope} is named `{name}`"))]
    Unknown {
        /// Kind of the object in the request: `target`, `failure domain` or `region`.
        scope: &'static str,
        /// Name of the object in the request.
        name: Box<str>,
    },
    /// No operator's order drains the object; a scheduled drain cannot be ended by a request.
    #[snafu(display("{scope} `{name}` is not drained by an order"))]
    NotDrained {
        /// Kind of the object in the request: `target`, `failure domain` or `region`.
        scope: &'static str,
        /// Name of the object in the request.
        name: Box<str>,
    },
    /// The targets cannot be free by the requested time.
    #[snafu(display("the drain cannot end by {by}: {reasons}"))]
    TooLate {
        /// Requested end, RFC 3339.
        by: Box<str>,
        /// Earliest end and its causes for each service that would be late, separated by semicolons.
        reasons: Box<str>,
    },
}

/// Configuration changes that start or end a drain, with warnings for the operator.
#[derive(Clone, Debug, PartialEq)]
pub struct DrainChange {
    /// Operations to append as one revision.
    pub changes: Vec<ConfigChange>,
    /// One text for each service of another drain that would miss its deadline.
    pub warnings: Vec<Box<str>>,
}

impl DrainChange {
    /// Starts a drain from the current positions. `by_unix_ms` is the requested end in milliseconds since the Unix
    /// epoch; with `None` the drain ends as soon as shift caps allow.
    ///
    /// # Errors
    ///
    /// Fails if no object has this name, or if the drain cannot end by `by_unix_ms`.
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
        order.anchors = current_anchors(state, &order, now);
        let warnings = check_deadlines(state, &order, now)?;
        let mut changes = completed_order_removals(state, now);
        changes.retain(|change| !removes_order(change, &order));
        changes.push(ConfigChange::Put { object: ConfigObject::Drain(order) });
        Ok(Self { changes, warnings })
    }

    /// Ends a drain: traffic moves back under the shift cap from its current position. If none has moved, the order is
    /// removed at once.
    ///
    /// # Errors
    ///
    /// Fails if no operator's order drains the object.
    pub fn end(
        state: &ConfigurationState,
        scope: DrainScope,
        name: &str,
        now: SystemTime,
    ) -> Result<Self, DrainRefusal> {
        let key = DrainOrder::new(scope, name.into(), 0).object_name();
        let active_order = state.drains.get(&key).filter(|order| order.is_active()).cloned();
        let not_drained = NotDrainedSnafu { scope: scope_text(scope), name };
        let Some(mut order) = active_order else { return not_drained.fail() };
        order.anchors = current_anchors(state, &order, now);
        order.ended_unix_ms = Some(unix_ms(now));
        let mut changes = completed_order_removals(state, now);
        changes.push(match order.anchors.is_empty() {
            true => ConfigChange::Remove { kind: "drain".into(), name: key },
            false => ConfigChange::Put { object: ConfigObject::Drain(order) },
        });
        Ok(Self { changes, warnings: Vec::new() })
    }
}

fn removes_order(change: &ConfigChange, order: &DrainOrder) -> bool {
    let key = order.object_name();
    matches!(change, ConfigChange::Remove { name, .. } if *name == key)
}

/// Current positions in the failure domains of an order, for each service that is at least partly drained there.
fn current_anchors(
    state: &ConfigurationState,
    order: &DrainOrder,
    now: SystemTime,
) -> Vec<DrainPosition> {
    let domains = covered_domains(state, order.scope, &order.name);
    let anchors_of_service = |service: &ServiceId| {
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
    state.services.keys().flat_map(anchors_of_service).collect()
}

/// Removals of the ended orders whose traffic has moved back completely.
fn completed_order_removals(state: &ConfigurationState, now: SystemTime) -> Vec<ConfigChange> {
    let ended = state.drains.values().filter(|order| !order.is_active());
    let completed = ended.filter(|order| current_anchors(state, order, now).is_empty());
    let remove = |order: &DrainOrder| ConfigChange::Remove {
        kind: "drain".into(),
        name: order.object_name(),
    };
    completed.map(remove).collect()
}

/// Checks that the order meets its deadline. Returns a warning for each other order that would miss its own.
fn check_deadlines(
    state: &ConfigurationState,
    order: &DrainOrder,
    now: SystemTime,
) -> Result<Vec<Box<str>>, DrainRefusal> {
    let mut next_state = state.clone();
    let key = order.object_name();
    next_state.drains.insert(key.clone(), order.clone());
    let (mut reasons, mut warnings) = (Vec::new(), Vec::new());
    for service in state.services.keys() {
        let input = shift_input(&next_state, service, now);
        for forecast in input.forecast(now).orders.iter().filter(|order| !order.is_in_time()) {
            let end = match forecast.targets_free_at {
                Some(end) => format!("service `{service}` has moved by {}", rfc3339(end)),
                None => format!("service `{service}` cannot be moved completely"),
            };
            let cap = input.cap_percent_per_minute;
            let delay_texts: Vec<_> = forecast.delay_causes.iter().map(delay_cause_text).collect();
            let causes = delay_texts.iter().map(|text| format!(", {text}")).collect::<String>();
            let remaining_seconds = forecast.lower_bound.as_secs();
            let text = format!(
                "{end} (at least {remaining_seconds} s at a cap of {cap} % per minute{causes})"
            );
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

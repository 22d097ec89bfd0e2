//! Progress of drains as reported to operators.

use std::time::SystemTime;

use coordination::ids::ServiceId;
use coordination::shift::DelayCause;
use coordination::shift::OrderForecast;
use serde::Serialize;

use crate::configuration::ConfigurationState;
use crate::steering::shift_view::is_target_drained;
use crate::steering::shift_view::shift_input;

/// Progress of one drain as reported to operators.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct DrainStatus {
    /// Scope and name, such as `region/NAME`; scheduled drains of a profile start with `schedule/`.
    pub name: Box<str>,
    /// Whether an operator ended the drain, so that traffic moves back.
    pub ending: bool,
    /// Progress for each service that the drain moves away; empty once the drain is ending.
    pub services: Vec<ServiceDrain>,
}

/// A drain's progress for one service.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ServiceDrain {
    /// Service whose traffic moves.
    pub service: ServiceId,
    /// Share of the traffic of the drained failure domains that has moved, in percent.
    pub moved_percent: f64,
    /// Shortest time in which the remaining traffic can move under the shift cap, in seconds.
    pub lower_bound_seconds: f64,
    /// Time at which the targets will be free, RFC 3339; `None` if the forecast does not reach it or the drain is one
    /// of a target.
    pub targets_free: Option<Box<str>>,
    /// Time at which the callers will have moved too, RFC 3339; `None` as for `targets_free`.
    pub callers_moved: Option<Box<str>>,
    /// Requested end, RFC 3339; `None` if there is none.
    pub by: Option<Box<str>>,
    /// Whether the targets will be free by the requested end; `true` without one.
    pub in_time: bool,
    /// Causes that delay the drain, one text each.
    pub hold_ups: Vec<Box<str>>,
}

/// Progress at `now` of all drains that are in force, ending or scheduled, except scheduled drains of single targets.
pub fn drain_statuses(state: &ConfigurationState, now: SystemTime) -> Vec<DrainStatus> {
    let mut statuses: Vec<DrainStatus> = state
        .drains
        .values()
        .map(|order| DrainStatus {
            name: order.object_name(),
            ending: !order.is_active(),
            services: Vec::new(),
        })
        .collect();
    for service in state.services.keys() {
        for forecast in shift_input(state, service, now).forecast(now).orders {
            let known = statuses.iter_mut().position(|status| status.name == forecast.name);
            let index = known.unwrap_or_else(|| {
                let name = forecast.name.clone();
                statuses.push(DrainStatus { name, ending: false, services: Vec::new() });
                statuses.len() - 1
            });
            statuses[index].services.push(service_drain(service, &forecast));
        }
    }
    add_target_drains(state, now, &mut statuses);
    statuses
}

fn add_target_drains(state: &ConfigurationState, now: SystemTime, statuses: &mut [DrainStatus]) {
    for target in state.targets.values() {
        let name = format!("target/{}", target.name);
        let status = statuses.iter_mut().find(|status| *status.name == name && !status.ending);
        if let Some(status) = status.filter(|_| is_target_drained(state, target, now)) {
            status.services.push(ServiceDrain {
                service: target.service.clone(),
                moved_percent: 100.0,
                lower_bound_seconds: 0.0,
                targets_free: None,
                callers_moved: None,
                by: None,
                in_time: true,
                hold_ups: Vec::new(),
            });
        }
    }
}

fn service_drain(service: &str, forecast: &OrderForecast) -> ServiceDrain {
    ServiceDrain {
        service: service.into(),
        moved_percent: forecast.moved_share * 100.0,
        lower_bound_seconds: forecast.lower_bound.as_secs_f64(),
        targets_free: forecast.targets_free_at.map(rfc3339),
        callers_moved: forecast.callers_moved_at.map(rfc3339),
        by: forecast.deadline.map(rfc3339),
        in_time: forecast.is_in_time(),
        hold_ups: forecast.delay_causes.iter().map(delay_cause_text).collect(),
    }
}

/// Formats a time as RFC 3339 with whole seconds. Panics for years beyond 9999.
pub(crate) fn rfc3339(time: SystemTime) -> Box<str> {
    humantime::format_rfc3339_seconds(time).to_string().into()
}

/// Describes a delay cause to operators.
pub(crate) fn delay_cause_text(delay_cause: &DelayCause) -> Box<str> {
    match delay_cause {
        DelayCause::NotStarted { wait } => format!("starts in {} s", wait.as_secs()).into(),
        DelayCause::SharedCap { ahead } => {
            format!("the cap is used by {} first", ahead.join(", ")).into()
        }
        DelayCause::WarmUp { percent_per_minute } => format!(
            "the receiving targets warm up and take {percent_per_minute:.1} % of the traffic per minute"
        )
        .into(),
        DelayCause::NoReceiver => "no failure domain is left to take the traffic".into(),
        DelayCause::ZeroCap => "the profile's shift cap is 0".into(),
    }
}

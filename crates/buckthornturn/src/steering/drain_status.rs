//! Drain status.

use std::time::SystemTime;

use coordination::ids::ServiceId;
use coordination::shift::DelayCause;
use coordination::shift::OrderForecast;
use serde::Serialize;

use crate::configuration::ConfigurationState;
use crate::steering::shift_view::is_target_drained;
use crate::steering::shift_view::shift_input;

/// One drain as operators see it.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct DrainStatus {
    /// Name, with its scope; those of a profile's schedule start with `schedule/`.
    pub name: Box<str>,
    /// Whether it was ended and traffic moves back.
    pub ending: bool,
    /// Services that it moves.
    pub services: Vec<ServiceDrain>,
}

/// A drain's progress for one service.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ServiceDrain {
    /// Service.
    pub service: ServiceId,
    /// Share of the drained domains' traffic that has moved, in percent.
    pub moved_percent: f64,
    /// Shortest time in which the rest can move under the cap, in seconds.
    pub lower_bound_seconds: f64,
    /// When the targets will be free, RFC 3339.
    pub targets_free: Option<Box<str>>,
    /// When callers will have been moved too, RFC 3339.
    pub callers_moved: Option<Box<str>>,
    /// End that was asked for, RFC 3339.
    pub by: Option<Box<str>>,
    /// Whether the targets will be free by then.
    pub in_time: bool,
    /// What holds it up.
    pub hold_ups: Vec<Box<str>>,
}

/// Drains in force or scheduled.
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
        hold_ups: forecast.delay_causes.iter().map(hold_up_text).collect(),
    }
}

/// A time as operators read it.
pub(crate) fn rfc3339(time: SystemTime) -> Box<str> {
    humantime::format_rfc3339_seconds(time).to_string().into()
}

/// A hold-up in words.
pub(crate) fn hold_up_text(hold_up: &DelayCause) -> Box<str> {
    match hold_up {
        DelayCause::NotStarted { wait } => format!("starts in {} s", wait.as_secs()).into(),
        DelayCause::SharedCap { ahead } => {
            format!("the cap is used by {} first", ahead.join(", ")).into()
        }
        DelayCause::WarmUp { percent_per_minute } => format!(
            "the receiving targets warm up for {percent_per_minute:.1} % of the traffic a minute"
        )
        .into(),
        DelayCause::NoReceiver => "no failure domain is left to take the traffic".into(),
        DelayCause::ZeroCap => "the profile's shift cap is 0".into(),
    }
}

//! Forecast of when drains finish and what delays them.

use std::time::Duration;
use std::time::SystemTime;

use crate::shift::ShiftDirection;
use crate::shift::ShiftInput;
use crate::shift::ShiftOrder;
use crate::shift::shift_replay::ShiftPhase;
use crate::shift::shift_replay::ShiftReplay;

const MAX_FORECAST_STEPS: usize = 10_000;
const POSITION_TOLERANCE: f64 = 1e-9;

/// Why an order does not move traffic faster.
#[derive(Clone, Debug, PartialEq)]
pub enum DelayCause {
    /// The order has not started yet.
    NotStarted {
        /// Time until the order starts.
        wait: Duration,
    },
    /// Other failure domains are drained or refilled first and use up the cap.
    SharedCap {
        /// Failure domains that come first, in order.
        ahead: Vec<Box<str>>,
    },
    /// The receiving targets warm up too slowly to take as much traffic as the cap allows.
    WarmUp {
        /// Percent of the service's traffic that the receiving targets can take over per minute.
        percent_per_minute: f64,
    },
    /// No other failure domain can take the traffic, so nothing moves.
    NoReceiver,
    /// The profile's shift cap is 0, so nothing moves.
    ZeroCap,
}

/// Progress and expected end of one order.
#[derive(Clone, Debug, PartialEq)]
pub struct OrderForecast {
    /// Name of the forecast order.
    pub name: Box<str>,
    /// Share of the traffic of the order's failure domains that has moved, 0 to 1.
    pub moved_share: f64,
    /// Shortest time in which the remaining traffic can move under the cap; `Duration::MAX` if the cap is 0 and traffic
    /// remains.
    pub lower_bound: Duration,
    /// Time at which the targets will be free; `None` if the forecast does not reach it.
    pub targets_free_at: Option<SystemTime>,
    /// Time at which the callers will have moved_share too; `None` if the forecast does not reach it.
    pub callers_moved_at: Option<SystemTime>,
    /// Time by which the order asks the targets to be free, if it asks for one.
    pub deadline: Option<SystemTime>,
    /// What delays the order at the time of the forecast; empty if nothing does.
    pub delay_causes: Vec<DelayCause>,
}

impl OrderForecast {
    /// Whether the targets will be free deadline the deadline; `true` without a deadline.
    pub fn is_in_time(&self) -> bool {
        match (self.deadline, self.targets_free_at) {
            (None, _) => true,
            (Some(deadline), Some(end)) => end <= deadline,
            (Some(_), None) => false,
        }
    }
}

/// Forecasts of all orders that move traffic away.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ShiftForecast {
    /// One forecast for each such order, in the sequence of the input.
    pub orders: Vec<OrderForecast>,
}

impl ShiftForecast {
    /// Replays the orders up to `now` and then to their end.
    pub(crate) fn new(input: &ShiftInput, now: SystemTime) -> Self {
        let mut replay = ShiftReplay::new(input);
        replay.run_until(now);
        let is_away = |order: &&ShiftOrder| order.direction == ShiftDirection::Away;
        let mut orders: Vec<_> = input
            .orders
            .iter()
            .filter(is_away)
            .map(|order| forecast_now(&replay, input, order, now))
            .collect();
        let ends = forecast_ends(replay, input, now);
        for (forecast, (targets_free_at, callers_moved_at)) in orders.iter_mut().zip(ends) {
            forecast.targets_free_at = targets_free_at;
            forecast.callers_moved_at = callers_moved_at;
        }
        Self { orders }
    }
}

/// Times at which an order's targets are free and its callers have moved.
type OrderEnds = (Option<SystemTime>, Option<SystemTime>);

fn forecast_ends(
    mut replay: ShiftReplay<'_>,
    input: &ShiftInput,
    now: SystemTime,
) -> Vec<OrderEnds> {
    let away: Vec<_> =
        input.orders.iter().filter(|order| order.direction == ShiftDirection::Away).collect();
    let mut ends: Vec<OrderEnds> = vec![(None, None); away.len()];
    for _ in 0..MAX_FORECAST_STEPS {
        for (order, end) in away.iter().zip(&mut ends) {
            let time = replay.time().max(now);
            let started = order.start <= time;
            let all_below = |limit: f64| {
                let mut positions =
                    domain_indexes(input, order).map(|index| replay.position(index));
                started && positions.all(|position| position <= limit + POSITION_TOLERANCE)
            };
            end.0 = end.0.or(all_below(0.0).then_some(time));
            end.1 = end.1.or(all_below(-1.0).then_some(time));
        }
        if ends.iter().all(|end| end.1.is_some()) {
            break;
        }
        let before = replay.time();
        let horizon = before + Duration::from_secs(366 * 86_400);
        let stop = replay.next_start().unwrap_or(horizon);
        let has_more = replay.step(stop);
        if !has_more && replay.next_start().is_none() {
            break;
        }
    }
    ends
}

fn domain_indexes<'a>(
    input: &'a ShiftInput,
    order: &'a ShiftOrder,
) -> impl Iterator<Item = usize> + 'a {
    let is_covered = |index: &usize| order.domains.contains_key(&input.domains[*index].domain);
    (0..input.domains.len()).filter(is_covered)
}

fn forecast_now(
    replay: &ShiftReplay<'_>,
    input: &ShiftInput,
    order: &ShiftOrder,
    now: SystemTime,
) -> OrderForecast {
    let total_share: f64 =
        domain_indexes(input, order).map(|index| replay.traffic_share(index)).sum();
    let remaining_share: f64 = domain_indexes(input, order)
        .map(|index| replay.traffic_share(index) * replay.position(index).max(0.0))
        .sum();
    let cap = replay.cap_per_second();
    let lower_bound = match remaining_share / cap {
        _ if remaining_share <= 0.0 => Duration::ZERO,
        seconds => Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX),
    };
    OrderForecast {
        name: order.name.clone(),
        moved_share: if total_share > 0.0 { 1.0 - remaining_share / total_share } else { 1.0 },
        lower_bound,
        targets_free_at: None,
        callers_moved_at: None,
        deadline: order.deadline,
        delay_causes: delay_causes(replay, input, order, now),
    }
}

fn delay_causes(
    replay: &ShiftReplay<'_>,
    input: &ShiftInput,
    order: &ShiftOrder,
    now: SystemTime,
) -> Vec<DelayCause> {
    if let Ok(wait) = order.start.duration_since(now)
        && !wait.is_zero()
    {
        return vec![DelayCause::NotStarted { wait }];
    }
    let queue = replay.pending_domains(ShiftPhase::Traffic);
    let name = |index: usize| &input.domains[index].domain;
    let is_covered = |index: &usize| order.domains.contains_key(name(*index));
    let Some(first_index) = queue.iter().position(is_covered) else { return Vec::new() };
    let mut causes = Vec::new();
    let warm_up_rate = replay.warm_up_rate_per_second();
    match replay.cap_per_second() {
        cap if cap <= 0.0 => causes.push(DelayCause::ZeroCap),
        _ if warm_up_rate <= 0.0 => causes.push(DelayCause::NoReceiver),
        cap if warm_up_rate < cap => {
            causes.push(DelayCause::WarmUp { percent_per_minute: warm_up_rate * 60.0 * 100.0 });
        }
        _ => {}
    }
    if first_index > 0 {
        let ahead = queue[..first_index].iter().map(|index| name(*index).clone()).collect();
        causes.push(DelayCause::SharedCap { ahead });
    }
    causes
}

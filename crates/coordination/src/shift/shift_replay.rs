//! Replay of shift orders over time.

use std::time::Duration;
use std::time::SystemTime;

use crate::shift::ShiftDirection;
use crate::shift::ShiftInput;
use crate::shift::ShiftOrder;
use crate::shift::ShiftPosition;

const SECONDS_PER_MINUTE: f64 = 60.0;
const PERCENT: f64 = 100.0;
const POSITION_TOLERANCE: f64 = 1e-9;

/// One of the two moves of a failure domain. The two phases run side by side, each under the cap.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum ShiftPhase {
    /// Moves the traffic of the domain's targets.
    Traffic,
    /// Moves the callers of the domain's hosts.
    Callers,
}

/// Current position of one failure domain and the position that it moves to.
#[derive(Clone, Debug)]
struct DomainState {
    traffic_share: f64,
    position: f64,
    goal: f64,
    deadline: Option<SystemTime>,
    ordered_at: SystemTime,
}

/// Computes positions by replaying all orders from the first start. Each phase moves one failure domain at a time.
pub(crate) struct ShiftReplay<'a> {
    input: &'a ShiftInput,
    orders: Vec<&'a ShiftOrder>,
    next_order: usize,
    time: SystemTime,
    states: Vec<DomainState>,
}

impl<'a> ShiftReplay<'a> {
    /// Creates a replay that stands at the start of the first order, with nothing moved.
    pub(crate) fn new(input: &'a ShiftInput) -> Self {
        let slots: u64 = input.domains.iter().map(|domain| u64::from(domain.slots)).sum();
        let state = |slots: u32, total: u64| DomainState {
            traffic_share: f64::from(slots) / (total.max(1) as f64),
            position: ShiftPosition::UNDRAINED.value(),
            goal: ShiftPosition::UNDRAINED.value(),
            deadline: None,
            ordered_at: SystemTime::UNIX_EPOCH,
        };
        let states = input.domains.iter().map(|domain| state(domain.slots, slots)).collect();
        let mut orders: Vec<&ShiftOrder> = input.orders.iter().collect();
        orders.sort_by(|a, b| (a.start, &a.name).cmp(&(b.start, &b.name)));
        let time = orders.first().map_or(SystemTime::UNIX_EPOCH, |order| order.start);
        Self { input, orders, next_order: 0, time, states }
    }

    /// Time up to which the orders have been replayed.
    pub(crate) fn time(&self) -> SystemTime {
        self.time
    }

    /// Current positions, in the sequence of the input's domains.
    pub(crate) fn positions(&self) -> impl Iterator<Item = ShiftPosition> {
        self.states.iter().map(|state| ShiftPosition::new(state.position))
    }

    /// Current position of the domain at an index of the input, 1 to -1.
    pub(crate) fn position(&self, index: usize) -> f64 {
        self.states[index].position
    }

    /// Share of the service's traffic, 0 to 1, that a domain gets if nothing is shifted.
    pub(crate) fn traffic_share(&self, index: usize) -> f64 {
        self.states[index].traffic_share
    }

    /// Share of the service's traffic that the cap allows to move per second; 0 if the cap is not finite.
    pub(crate) fn cap_per_second(&self) -> f64 {
        let cap = self.input.cap_percent_per_minute / PERCENT / SECONDS_PER_MINUTE;
        if cap.is_finite() { cap.max(0.0) } else { 0.0 }
    }

    /// Share of the service's traffic that the receiving targets can take over per second while they warm up.
    pub(crate) fn warm_up_rate_per_second(&self) -> f64 {
        self.receivers()
            .map(|index| {
                let warm_up = self.input.domains[index].warm_up.as_secs_f64();
                self.states[index].traffic_share / warm_up.max(f64::MIN_POSITIVE)
            })
            .sum()
    }

    /// Indexes of the domains that take traffic: they have capacity and are not being drained.
    fn receivers(&self) -> impl Iterator<Item = usize> {
        let receives = |state: &DomainState| state.traffic_share > 0.0 && state.goal > 0.0;
        (0..self.states.len()).filter(move |index| receives(&self.states[*index]))
    }

    /// Indexes of the domains that still have to move in a phase: by deadline, then by start of the order, then by name.
    pub(crate) fn pending_domains(&self, phase: ShiftPhase) -> Vec<usize> {
        let mut pending_domains: Vec<usize> = (0..self.states.len())
            .filter(|index| self.pending_phase(*index) == Some(phase))
            .collect();
        pending_domains.sort_by_key(|index| {
            let state = &self.states[*index];
            let deadline = (state.deadline.is_none(), state.deadline);
            (deadline, state.ordered_at, &self.input.domains[*index].domain)
        });
        pending_domains
    }

    /// Phase of the domain's next move, or `None` if it has reached its goal.
    fn pending_phase(&self, index: usize) -> Option<ShiftPhase> {
        let state = &self.states[index];
        match state.goal - state.position {
            distance if distance.abs() < POSITION_TOLERANCE => None,
            distance if distance < 0.0 && state.position > 0.0 => Some(ShiftPhase::Traffic),
            distance if distance > 0.0 && state.position >= 0.0 => Some(ShiftPhase::Traffic),
            _ => Some(ShiftPhase::Callers),
        }
    }

    /// Replays up to `end`, including orders that start before it.
    pub(crate) fn run_until(&mut self, end: SystemTime) {
        loop {
            self.start_due_orders();
            let next = self.orders.get(self.next_order).map(|order| order.start);
            let stop = next.map_or(end, |start| start.min(end));
            if stop <= self.time {
                return;
            }
            while self.step(stop) {}
        }
    }

    /// Replays up to the end of the next move, but not beyond `stop`. Returns whether `stop` is still ahead.
    pub(crate) fn step(&mut self, stop: SystemTime) -> bool {
        self.start_due_orders();
        let remaining = stop.duration_since(self.time).unwrap_or_default().as_secs_f64();
        let moves = [ShiftPhase::Traffic, ShiftPhase::Callers].map(|phase| self.next_move(phase));
        let first = moves.iter().flatten().map(|step| step.seconds).fold(f64::INFINITY, f64::min);
        let seconds = first.min(remaining);
        for step in moves.iter().flatten() {
            let state = &mut self.states[step.index];
            state.position = match step.seconds <= seconds {
                true => step.end_position,
                false => {
                    state.position + (step.end_position - state.position) * seconds / step.seconds
                }
            };
        }
        match first < remaining {
            true => {
                self.time += Duration::from_secs_f64(seconds);
                true
            }
            false => {
                self.time = self.time.max(stop);
                false
            }
        }
    }

    /// Start of the next order that has not taken effect, or `None` after the last one.
    pub(crate) fn next_start(&self) -> Option<SystemTime> {
        self.orders.get(self.next_order).map(|order| order.start)
    }

    fn next_move(&self, phase: ShiftPhase) -> Option<DomainMove> {
        let index = *self.pending_domains(phase).first()?;
        let state = &self.states[index];
        let end_position = match phase {
            ShiftPhase::Traffic => state.goal.max(0.0),
            ShiftPhase::Callers => state.goal.min(0.0),
        };
        let work = state.traffic_share * (end_position - state.position).abs();
        let seconds = match self.cap_per_second().min(self.warm_up_rate_per_second()) {
            _ if work == 0.0 => 0.0,
            rate if rate > 0.0 => work / rate,
            _ => return None,
        };
        Some(DomainMove { index, end_position, seconds })
    }

    fn start_due_orders(&mut self) {
        while let Some(order) = self.orders.get(self.next_order).copied()
            && order.start <= self.time
        {
            self.next_order += 1;
            for (domain, position) in &order.domains {
                let found = self.input.domains.iter().position(|known| known.domain == *domain);
                let Some(index) = found else { continue };
                if let Some(position) = position {
                    self.states[index].position = position.value();
                }
                self.set_goal(index);
            }
        }
    }

    fn set_goal(&mut self, index: usize) {
        let domain = &self.input.domains[index].domain;
        let started = &self.orders[..self.next_order];
        let away: Vec<_> = started
            .iter()
            .filter(|order| order.direction == ShiftDirection::Away)
            .filter(|order| order.domains.contains_key(domain))
            .collect();
        let state = &mut self.states[index];
        state.deadline = away.iter().filter_map(|order| order.deadline).min();
        state.ordered_at = away.first().map_or(self.time, |order| order.start);
        state.goal = match away.is_empty() {
            true => ShiftPosition::UNDRAINED.value(),
            false => ShiftPosition::DRAINED.value(),
        };
    }
}

/// A move of one domain in one phase and the time that it takes.
struct DomainMove {
    index: usize,
    end_position: f64,
    seconds: f64,
}

//! Rate limit on the shift positions that a host acts on.

use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;

use crate::ids::DomainId;
use crate::shift::ShiftInput;
use crate::shift::ShiftPosition;

const SECONDS_PER_MINUTE: f64 = 60.0;
const PERCENT: f64 = 100.0;
const STARTUP_SETTLE_DURATION: Duration = Duration::from_secs(30);

/// Keeps the positions that a host acts on under the cap when the computed positions jump. They do so when their input
/// changes: the cap, the slots, or a drain that reaches the host late.
///
/// In the first 30 s a host applies computed positions unchanged, since its configuration is still arriving.
#[derive(Clone, Debug, Default)]
pub struct ShiftLimiter {
    positions: IndexMap<DomainId, ShiftPosition>,
    first_call: Option<Instant>,
    last_call: Option<Instant>,
}

impl ShiftLimiter {
    /// Moves the positions from the previous call towards the computed ones, as far as the cap allows since that call,
    /// and returns them. A failure domain that was not in the previous call gets its computed position.
    pub fn limit_positions(
        &mut self,
        input: &ShiftInput,
        computed: IndexMap<DomainId, ShiftPosition>,
        now: Instant,
    ) -> &IndexMap<DomainId, ShiftPosition> {
        let first_call = *self.first_call.get_or_insert(now);
        let before = self.last_call.replace(now).unwrap_or(now);
        let elapsed = now.saturating_duration_since(before).as_secs_f64();
        let allowed = input.cap_percent_per_minute / PERCENT / SECONDS_PER_MINUTE * elapsed;
        let is_settling = now.saturating_duration_since(first_call) < STARTUP_SETTLE_DURATION;
        let requested_change = self.requested_change(input, &computed);
        let fraction = match requested_change {
            _ if is_settling => 1.0,
            requested_change if requested_change > allowed => (allowed / requested_change).max(0.0),
            _ => 1.0,
        };
        let previous = std::mem::take(&mut self.positions);
        let limited = |(domain, goal): (DomainId, ShiftPosition)| {
            let start = previous.get(&domain).copied().unwrap_or(goal).value();
            let position = ShiftPosition::new(start + (goal.value() - start) * fraction);
            (domain, position)
        };
        self.positions = computed.into_iter().map(limited).collect();
        &self.positions
    }

    /// Share of the service's traffic or callers, whichever is larger, that would move to reach `goals`.
    fn requested_change(
        &self,
        input: &ShiftInput,
        goals: &IndexMap<DomainId, ShiftPosition>,
    ) -> f64 {
        let slots: u64 = input.domains.iter().map(|capacity| u64::from(capacity.slots)).sum();
        let moved = |weight: fn(ShiftPosition) -> f64| -> f64 {
            let change = |domain: &DomainId| -> f64 {
                match (self.positions.get(domain), goals.get(domain)) {
                    (Some(start), Some(goal)) => (weight(*goal) - weight(*start)).abs(),
                    _ => 0.0,
                }
            };
            let domains = input.domains.iter();
            domains.map(|capacity| f64::from(capacity.slots) * change(&capacity.domain)).sum()
        };
        let largest = moved(ShiftPosition::traffic_weight).max(moved(ShiftPosition::caller_weight));
        largest / (slots.max(1) as f64)
    }
}

//! Records how attempts at targets start and end.

use std::time::Duration;
use std::time::Instant;

use crate::fleet::AttemptEnd;
use crate::fleet::ObjectWarmth;
use crate::fleet::PlacementChoice;
use crate::fleet::TargetBalancer;
use crate::fleet::TargetLoad;
use crate::ids::RouteId;
use crate::token_bucket::MICRO_TOKENS;

impl TargetBalancer {
    /// Records how an attempt ended and updates the target's failures, service times and load. `load` is the target's
    /// own report, if its answer carried one.
    pub fn record_end(
        &mut self,
        choice: &PlacementChoice,
        route: &RouteId,
        end: AttemptEnd,
        load: Option<TargetLoad>,
        now: Instant,
    ) {
        let Some(record) = self.targets.get_mut(&choice.target) else { return };
        let in_flight = record.tracker.in_flight;
        record.tracker.in_flight = in_flight.saturating_sub(1);
        if let (Some(load), Some(service)) = (load, self.services.get_mut(&record.entry.service)) {
            let average =
                &mut service.other_loads[usize::from(record.entry.region != self.own_host.region)];
            let slots = f64::from(record.entry.slots.max(1));
            average.add(load.other_requests(in_flight) / slots, now);
            record.tracker.record_load(load, in_flight, average.per_slot(now) * slots, now);
        }
        let tracker = &mut record.tracker;
        match end {
            AttemptEnd::Answered { time } => self.record_answer(choice, route, time, now),
            AttemptEnd::Failed => tracker.record_failure(false, now),
            AttemptEnd::Shed => {
                let stated = load.map(|load| f64::from(load.running + load.waiting));
                let found = stated.unwrap_or(choice.load);
                tracker.record_shed(now);
                match found >= f64::from(record.entry.slots) {
                    true => tracker.queue_limit.record_refusal(found, now),
                    // A target with free slots that turns requests away does so for another reason than its load.
                    false => tracker.failures.record_failure(now),
                }
            }
            AttemptEnd::Unreachable => tracker.record_failure(true, now),
            AttemptEnd::Replaced => {
                tracker.record_failure(true, now);
                tracker.replaced_at = Some(now);
            }
            // The full service time would have been longer, so an abandoned attempt can show that a target is slow, but
            // not that it is fast.
            AttemptEnd::Abandoned { time } if time > choice.expected_time => {
                tracker.record_time(time, choice.expected_time.as_secs_f64());
                let times = self.service_times.entry(route.clone()).or_default();
                times.record_total(time, choice.expected_time);
            }
            AttemptEnd::Abandoned { .. } => {}
        }
    }

    /// Records how long work takes on the machine of a target, as the head of an answer states it: a multiple of the usual
    /// duration. It is used by `record_end` for the answer that this belongs to, so that it has to be called before.
    pub fn record_pace(&mut self, target: &str, ratio: f64, now: Instant) {
        if let Some(record) = self.targets.get_mut(target) {
            record.tracker.pace.record(ratio, now);
        }
    }

    /// Records a complete answer that took `time` since the dispatch.
    fn record_answer(
        &mut self,
        choice: &PlacementChoice,
        route: &RouteId,
        time: Duration,
        now: Instant,
    ) {
        let Some(record) = self.targets.get_mut(&choice.target) else { return };
        record.tracker.record_success(now);
        let times = self.service_times.entry(route.clone()).or_default();
        times.record_total(time, choice.expected_time);
        let work = time.saturating_sub(choice.wait);
        let (pace, pace_change) = record.tracker.pace.of_answer(now);
        let is_warm = times.record(work, choice.warmth, record.tracker.slowdown * pace);
        record.tracker.record_time(time, choice.expected_time.as_secs_f64() * pace_change);
        let Some(service) = self.services.get_mut(&record.entry.service) else { return };
        service.record_service_time(work.div_f64(pace));
        let is_outside = record.entry.region != self.own_host.region;
        match is_warm {
            Some(is_warm) if choice.warmth == ObjectWarmth::Likely => {
                service.record_home_warmth(is_outside, is_warm);
            }
            _ => {}
        }
    }

    pub(super) fn record_start(&mut self, target: &str, object_hash: Option<u64>, now: Instant) {
        let Some(record) = self.targets.get_mut(target) else { return };
        record.tracker.in_flight += 1;
        record.tracker.is_tried = true;
        if record.tracker.limit.rate().is_some() {
            record.tracker.limit.record_request(now);
        }
        if record.tracker.is_cold(now) {
            record.tracker.cold_bucket.fill(now);
            record.tracker.cold_bucket.take_tokens(MICRO_TOKENS);
        }
        if let Some(object_hash) = object_hash {
            record.tracker.warm_keys.insert(object_hash, now);
        }
    }
}

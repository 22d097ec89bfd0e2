//! Recent load of a target, for health reports that lag behind.

use std::collections::VecDeque;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use serde_json::Value;
use serde_json::json;

use crate::target_standin::TargetBehaviour;

/// Limit of samples kept. With one sample for each change of load, it limits how far a report can lag under load.
const MAX_SAMPLES: usize = 4_096;
const SAMPLE_INTERVAL: Duration = Duration::from_millis(10);

/// Samples of a target's recent load, from which delayed reports are built.
#[derive(Default)]
pub struct LoadHistory {
    samples: Mutex<VecDeque<LoadSample>>,
}

#[derive(Clone, Copy)]
struct LoadSample {
    at: Instant,
    in_flight: u32,
    draining: bool,
}

impl LoadHistory {
    /// Adds a sample, or updates the last one if it is younger than `SAMPLE_INTERVAL` and draining has not changed.
    pub fn record_sample(&self, in_flight: u32, draining: bool, now: Instant) {
        let mut samples = self.samples.lock().unwrap_or_else(PoisonError::into_inner);
        let sample = LoadSample { at: now, in_flight, draining };
        match samples.back_mut() {
            Some(last) if last.draining == draining && now - last.at < SAMPLE_INTERVAL => {
                last.in_flight = in_flight;
            }
            _ => samples.push_back(sample),
        }
        if samples.len() > MAX_SAMPLES {
            samples.pop_front();
        }
    }

    /// Returns the health report at `now`, with the lag and the overrides of the behaviour.
    pub fn report_at(&self, behaviour: &TargetBehaviour, now: Instant) -> Value {
        let samples = self.samples.lock().unwrap_or_else(PoisonError::into_inner);
        let lag = Duration::from_millis(behaviour.report.lag_ms);
        let seen = samples.iter().rev().find(|sample| sample.at + lag <= now).copied();
        let (in_flight, draining) = match seen {
            Some(sample) => (sample.in_flight, sample.draining),
            None if lag.is_zero() => (0, behaviour.draining),
            None => (0, false),
        };
        json!({
            "healthy": behaviour.report.healthy.unwrap_or(true),
            "draining": draining,
            "in_flight": behaviour.report.in_flight.unwrap_or(in_flight),
            "slots": behaviour.slots,
        })
    }
}

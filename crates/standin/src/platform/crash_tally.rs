//! Counts how often a request that crashes targets reaches them.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

/// Crashes after which the request may reach targets only a few times more.
const CRASHES_BEFORE_RULE: usize = 3;

/// Arrivals of one request at the targets that share this tally, and the crashes under it. Clones share the counts.
#[derive(Clone, Debug, Default)]
pub struct CrashTally {
    counts: Arc<Mutex<CrashCounts>>,
}

#[derive(Debug, Default)]
struct CrashCounts {
    arrivals: Vec<Instant>,
    crashes: Vec<Instant>,
}

impl CrashTally {
    /// Records that the request reached a target.
    pub fn record_arrival(&self) {
        self.lock().arrivals.push(Instant::now());
    }

    /// Records that a target crashed under the request.
    pub fn record_crash(&self) {
        self.lock().crashes.push(Instant::now());
    }

    /// Number of targets that crashed.
    pub fn crash_count(&self) -> usize {
        self.lock().crashes.len()
    }

    /// Arrivals later than `settle_time` after the third crash; `None` before that.
    pub fn late_arrivals(&self, settle_time: Duration) -> Option<usize> {
        let counts = self.lock();
        let from = *counts.crashes.get(CRASHES_BEFORE_RULE - 1)? + settle_time;
        Some(counts.arrivals.iter().filter(|at| **at >= from).count())
    }

    fn lock(&self) -> MutexGuard<'_, CrashCounts> {
        self.counts.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

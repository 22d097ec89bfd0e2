//! What a target has executed.

use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Instant;

use indexmap::IndexMap;
use serde::Deserialize;
use serde::Serialize;

/// Request identifiers remembered; executions beyond it are counted as untracked.
const MAX_REQUEST_IDS: usize = 2_000_000;

/// Counts of a target.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default)]
pub struct TargetCounts {
    /// Executions.
    pub executed: u64,
    /// Request identifiers executed more than once.
    pub executed_twice: u64,
    /// Those of them whose method is POST.
    pub posts_executed_twice: u64,
    /// Most requests in flight at once.
    pub max_in_flight: u32,
    /// Requests that came while every slot was taken; shed, not run.
    pub over_slots: u64,
    /// Requests that showed a caller's key.
    pub keys_seen: u64,
    /// Requests shed, those over the slots included.
    pub shed: u64,
    /// Requests whose caller went away before the whole answer.
    pub cancelled: u64,
    /// Requests stopped at their deadline.
    pub timed_out: u64,
    /// Requests whose body was cut off before execution.
    pub cut_uploads: u64,
    /// Milliseconds from the start of draining to the last request that came; absent if none came.
    pub last_arrival_after_draining_ms: Option<u64>,
    /// Executions without an identifier, or over the bound of the ledger.
    pub untracked: u64,
}

/// Counts what a target executed, by request identifier. It outlives a restart of the target.
#[derive(Default)]
pub struct ExecutionLedger {
    state: Mutex<LedgerState>,
}

#[derive(Default)]
struct LedgerState {
    counts: TargetCounts,
    executions: IndexMap<Box<str>, u32>,
    in_flight: u32,
    is_running: bool,
    draining_since: Option<Instant>,
}

impl ExecutionLedger {
    /// Counts one execution.
    pub fn record_execution(&self, id: Option<&str>, is_post: bool) {
        self.with_state(|state| {
            state.counts.executed += 1;
            let Some(id) = id else {
                state.counts.untracked += 1;
                return;
            };
            if state.executions.len() >= MAX_REQUEST_IDS && !state.executions.contains_key(id) {
                state.counts.untracked += 1;
                return;
            }
            let count = state.executions.entry(id.into()).or_default();
            *count += 1;
            if *count == 2 {
                state.counts.executed_twice += 1;
                state.counts.posts_executed_twice += u64::from(is_post);
            }
        });
    }

    /// Counts an arrival.
    pub fn record_arrival(&self, has_key: bool) {
        self.with_state(|state| {
            state.counts.keys_seen += u64::from(has_key);
            if let Some(since) = state.draining_since {
                let elapsed = since.elapsed().as_millis() as u64;
                state.counts.last_arrival_after_draining_ms = Some(elapsed);
            }
        });
    }

    /// Notes whether the target is draining.
    pub fn set_draining(&self, is_draining: bool) {
        self.with_state(|state| match (is_draining, state.draining_since) {
            (true, None) => state.draining_since = Some(Instant::now()),
            (false, Some(_)) => state.draining_since = None,
            _ => {}
        });
    }

    /// Counts a request that takes a slot.
    pub fn record_start(&self) {
        self.with_state(|state| {
            state.in_flight += 1;
            state.counts.max_in_flight = state.counts.max_in_flight.max(state.in_flight);
        });
    }

    /// Counts a request that gives its slot back.
    pub fn record_end(&self) {
        self.with_state(|state| state.in_flight = state.in_flight.saturating_sub(1));
    }

    /// Requests in flight.
    pub fn in_flight(&self) -> u32 {
        self.with_state(|state| state.in_flight)
    }

    /// Notes whether the target's process runs.
    pub fn set_running(&self, is_running: bool) {
        self.with_state(|state| state.is_running = is_running);
    }

    /// Whether the target's process runs.
    pub fn is_running(&self) -> bool {
        self.with_state(|state| state.is_running)
    }

    /// Counts a request that was shed.
    pub fn record_shed(&self, is_over_slots: bool) {
        self.with_state(|state| {
            state.counts.shed += 1;
            state.counts.over_slots += u64::from(is_over_slots);
        });
    }

    /// Counts a request whose caller went away.
    pub fn record_cancelled(&self) {
        self.with_state(|state| state.counts.cancelled += 1);
    }

    /// Counts a request that was stopped at its deadline.
    pub fn record_timeout(&self) {
        self.with_state(|state| state.counts.timed_out += 1);
    }

    /// Counts a request whose body was cut off.
    pub fn record_cut_upload(&self) {
        self.with_state(|state| state.counts.cut_uploads += 1);
    }

    /// Counts so far.
    pub fn counts(&self) -> TargetCounts {
        self.with_state(|state| state.counts.clone())
    }

    /// Number of executions by request identifier.
    pub fn executions(&self) -> IndexMap<Box<str>, u32> {
        self.with_state(|state| state.executions.clone())
    }

    fn with_state<T>(&self, action: impl FnOnce(&mut LedgerState) -> T) -> T {
        action(&mut self.state.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

//! Ledger of the requests that a target has executed.

use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Instant;

use indexmap::IndexMap;
use serde::Deserialize;
use serde::Serialize;

use crate::body_check::BodyCounts;
use crate::body_check::BodyTally;

/// Limit of the request identifiers kept; executions of further ones are counted as untracked.
const MAX_REQUEST_IDS: usize = 2_000_000;

/// Counts of a target's requests, since its ledger was created.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default)]
pub struct TargetCounts {
    /// Number of executions, repeated ones included.
    pub executed: u64,
    /// Number of request identifiers executed more than once.
    pub executed_twice: u64,
    /// Number of request identifiers executed more than once whose second execution was a POST.
    pub posts_executed_twice: u64,
    /// Highest number of requests in flight at once.
    pub max_in_flight: u32,
    /// Number of requests shed without execution because every slot was in use.
    pub over_slots: u64,
    /// Number of requests that contained a caller's key; targets must never see one.
    pub keys_seen: u64,
    /// Number of requests shed, those in `over_slots` included.
    pub shed: u64,
    /// Number of requests that ended before their whole answer was sent, for example as the caller closed the connection.
    pub cancelled: u64,
    /// Number of requests stopped at their deadline.
    pub timed_out: u64,
    /// Number of requests whose body ended early, before execution.
    pub cut_uploads: u64,
    /// Number of requests in `shed` that were shed before their body was read.
    pub refused_early: u64,
    /// Comparison of requests with what their callers sent, those in `refused_early` included if they were read to their end.
    pub bodies: BodyCounts,
    /// Time from the start of draining to the last request that arrived, in milliseconds; `None` if none arrived.
    pub last_arrival_after_draining_ms: Option<u64>,
    /// Number of executions without an identifier, or with one beyond the ledger's limit.
    pub untracked: u64,
}

/// Counts a target's executions by request identifier. A restarted target continues with the same ledger.
#[derive(Default)]
pub struct ExecutionLedger {
    state: Mutex<LedgerState>,
    bodies: BodyTally,
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
    /// Counts one execution; `id` is `None` if the request has no identifier.
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

    /// Counts a request that arrived, before it is shed or executed.
    pub fn record_arrival(&self, has_key: bool) {
        self.with_state(|state| {
            state.counts.keys_seen += u64::from(has_key);
            if let Some(since) = state.draining_since {
                let elapsed = since.elapsed().as_millis() as u64;
                state.counts.last_arrival_after_draining_ms = Some(elapsed);
            }
        });
    }

    /// Records whether the target is draining; a change to `true` starts the time of draining.
    pub fn set_draining(&self, is_draining: bool) {
        self.with_state(|state| match (is_draining, state.draining_since) {
            (true, None) => state.draining_since = Some(Instant::now()),
            (false, Some(_)) => state.draining_since = None,
            _ => {}
        });
    }

    /// Counts a request that occupies a slot.
    pub fn record_start(&self) {
        self.with_state(|state| {
            state.in_flight += 1;
            state.counts.max_in_flight = state.counts.max_in_flight.max(state.in_flight);
        });
    }

    /// Counts a request that releases its slot.
    pub fn record_end(&self) {
        self.with_state(|state| state.in_flight = state.in_flight.saturating_sub(1));
    }

    /// Number of requests that occupy a slot now.
    pub fn in_flight(&self) -> u32 {
        self.with_state(|state| state.in_flight)
    }

    /// Records whether the target is running; set by whoever starts and stops it.
    pub fn set_running(&self, is_running: bool) {
        self.with_state(|state| state.is_running = is_running);
    }

    /// Whether the target is running.
    pub fn is_running(&self) -> bool {
        self.with_state(|state| state.is_running)
    }

    /// Counts a request that was shed; `is_over_slots` says that every slot was in use.
    pub fn record_shed(&self, is_over_slots: bool) {
        self.with_state(|state| {
            state.counts.shed += 1;
            state.counts.over_slots += u64::from(is_over_slots);
        });
    }

    /// Counts a request that is shed before its body is read.
    pub fn record_early_refusal(&self) {
        self.with_state(|state| state.counts.refused_early += 1);
    }

    /// Comparison of requests with what their callers sent.
    pub fn bodies(&self) -> &BodyTally {
        &self.bodies
    }

    /// Counts a request that ended before its whole answer was sent.
    pub fn record_cancelled(&self) {
        self.with_state(|state| state.counts.cancelled += 1);
    }

    /// Counts a request that was stopped at its deadline.
    pub fn record_timeout(&self) {
        self.with_state(|state| state.counts.timed_out += 1);
    }

    /// Counts a request whose body ended early.
    pub fn record_cut_upload(&self) {
        self.with_state(|state| state.counts.cut_uploads += 1);
    }

    /// Returns a copy of the counts, those from before a restart included.
    pub fn counts(&self) -> TargetCounts {
        let counts = self.with_state(|state| state.counts.clone());
        TargetCounts { bodies: self.bodies.counts(), ..counts }
    }

    /// Number of executions by request identifier.
    pub fn executions(&self) -> IndexMap<Box<str>, u32> {
        self.with_state(|state| state.executions.clone())
    }

    fn with_state<T>(&self, action: impl FnOnce(&mut LedgerState) -> T) -> T {
        action(&mut self.state.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

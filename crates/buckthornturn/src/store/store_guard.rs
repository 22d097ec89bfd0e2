//! Limits the load that this host puts on the store: a call budget, a circuit breaker and call counts.

use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use coordination::call_budget::CallBudget;
use coordination::circuit_breaker::BreakerSettings;
use coordination::circuit_breaker::CircuitBreaker;

use crate::interface::StoreError;

const BREAKER_SETTINGS: BreakerSettings = BreakerSettings {
    failures_to_open: 3,
    min_backoff: Duration::from_millis(250),
    max_backoff: Duration::from_secs(5),
};
/// Size of the largest burst of calls, in seconds of the budget.
const BURST_SECONDS: f64 = 2.0;
/// Time for which calls must have failed before the store counts as unreachable.
const UNREACHABLE_AFTER: Duration = Duration::from_secs(1);
/// Time for which a write may still be executed by the store after it was sent.
const MAX_WRITE_DURATION: Duration = Duration::from_secs(5);

/// Kind of a call to the store; its number is the index of its counters.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StoreCallKind {
    /// Read of one object.
    Get,
    /// Write of one object.
    Put,
    /// Removal of one object.
    Delete,
    /// Read of many objects.
    List,
    /// Long poll for changes of objects with a prefix.
    Watch,
    /// Read of the host list.
    Hosts,
}

impl StoreCallKind {
    /// All kinds in the order of their numbers.
    pub const ALL: [Self; 6] =
        [Self::Get, Self::Put, Self::Delete, Self::List, Self::Watch, Self::Hosts];

    /// Name of the kind in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Get => "get",
            Self::Put => "put",
            Self::Delete => "delete",
            Self::List => "list",
            Self::Watch => "watch",
            Self::Hosts => "hosts",
        }
    }
}

/// Counts of the calls of one kind since the start of the process.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct StoreCallCount {
    /// Calls that were admitted, failed ones included.
    pub admitted: u64,
    /// Calls without an answer, or answered with status 503.
    pub failed: u64,
}

/// Limits the calls of this host to the store by a budget and a circuit breaker, and counts them.
#[derive(Debug)]
pub struct StoreGuard {
    state: Mutex<GuardState>,
    admitted: [AtomicU64; StoreCallKind::ALL.len()],
    failed: [AtomicU64; StoreCallKind::ALL.len()],
    rejected: AtomicU64,
}

#[derive(Debug)]
struct GuardState {
    budget: CallBudget,
    breaker: CircuitBreaker,
    last_write: Option<Instant>,
}

impl StoreGuard {
    /// Creates a guard with a budget of `calls_per_second` and a burst of two seconds of it, at least 4 calls.
    pub fn new(calls_per_second: f64) -> Self {
        let burst = (calls_per_second * BURST_SECONDS).max(4.0);
        let budget = CallBudget::new(calls_per_second, burst, Instant::now());
        let breaker = CircuitBreaker::new(BREAKER_SETTINGS);
        Self {
            state: Mutex::new(GuardState { budget, breaker, last_write: None }),
            admitted: Default::default(),
            failed: Default::default(),
            rejected: AtomicU64::default(),
        }
    }

    /// Counts of the calls of one kind.
    pub fn count(&self, kind: StoreCallKind) -> StoreCallCount {
        StoreCallCount {
            admitted: self.admitted[kind as usize].load(Ordering::Relaxed),
            failed: self.failed[kind as usize].load(Ordering::Relaxed),
        }
    }

    /// Number of calls that the budget or the circuit breaker rejected, which were therefore not sent.
    pub fn rejected(&self) -> u64 {
        self.rejected.load(Ordering::Relaxed)
    }

    /// Whether the store may accept a change from this host, or may have accepted one whose answer was lost. False only
    /// if calls have failed for `UNREACHABLE_AFTER` and no put was admitted within `MAX_WRITE_DURATION`.
    pub fn is_reached(&self, now: Instant) -> bool {
        let state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let is_failing =
            state.breaker.failing_for(now).is_some_and(|time| time >= UNREACHABLE_AFTER);
        let is_write_in_flight = state
            .last_write
            .is_some_and(|at| now.saturating_duration_since(at) < MAX_WRITE_DURATION);
        !is_failing || is_write_in_flight
    }

    /// Admits one call, waiting at most `max_wait` for the budget. Fails without a call to the store if the budget does
    /// not allow it in that time or the circuit breaker is open.
    pub(crate) async fn admit(
        &self,
        kind: StoreCallKind,
        max_wait: Duration,
    ) -> Result<(), StoreError> {
        let deadline = Instant::now() + max_wait;
        loop {
            let rejection = match self.try_admit(kind, Instant::now()) {
                Ok(()) => return Ok(()),
                Err(rejection) => rejection,
            };
            match rejection {
                Rejection::OverBudget(wait)
                    if wait <= deadline.saturating_duration_since(Instant::now()) =>
                {
                    tokio::time::sleep(wait).await;
                }
                Rejection::OverBudget(_) => {
                    return Err(self.reject("the call budget of this host is exhausted"));
                }
                Rejection::BreakerOpen => {
                    return Err(self.reject("the circuit breaker is open after recent failures"));
                }
            }
        }
    }

    /// Records that the store answered, which closes the circuit breaker.
    pub(crate) fn record_success(&self) {
        self.state.lock().unwrap_or_else(PoisonError::into_inner).breaker.record_success();
    }

    /// Counts a call that failed and reports it to the circuit breaker.
    pub(crate) fn record_failure(&self, kind: StoreCallKind) {
        self.failed[kind as usize].fetch_add(1, Ordering::Relaxed);
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.breaker.record_failure(Instant::now(), &mut rand::rng());
    }

    fn try_admit(&self, kind: StoreCallKind, now: Instant) -> Result<(), Rejection> {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.budget.take_call(now).map_err(Rejection::OverBudget)?;
        state.breaker.admit(now).map_err(|_| Rejection::BreakerOpen)?;
        if kind == StoreCallKind::Put {
            state.last_write = Some(now);
        }
        self.admitted[kind as usize].fetch_add(1, Ordering::Relaxed);
        Ok(())
    }

    fn reject(&self, reason: &str) -> StoreError {
        self.rejected.fetch_add(1, Ordering::Relaxed);
        StoreError::Unavailable { reason: reason.into() }
    }
}

/// Why a call is not admitted now.
enum Rejection {
    /// The budget is exhausted; it allows the next call after this time.
    OverBudget(Duration),
    BreakerOpen,
}

//! What protects the store from this host: a budget of calls, a circuit breaker, and counts.

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
    failures: 3,
    min_backoff: Duration::from_millis(250),
    max_backoff: Duration::from_secs(5),
};
/// Seconds of budget that may be spent at once.
const BURST_SECONDS: f64 = 2.0;
/// Failures must last this long until the store counts as not reached.
const UNREACHABLE_AFTER: Duration = Duration::from_secs(1);
/// Time in which a write may still be under way after it was sent.
const MAX_WRITE_DURATION: Duration = Duration::from_secs(5);

/// Kind of a call to the store.
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
    /// Waiting watch.
    Watch,
    /// Read of the host list.
    Hosts,
}

impl StoreCallKind {
    /// All kinds in the order of their numbers.
    pub const ALL: [Self; 6] =
        [Self::Get, Self::Put, Self::Delete, Self::List, Self::Watch, Self::Hosts];

    /// Name for logs and metrics.
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

/// Counts of one kind of call.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct StoreCount {
    /// Calls made.
    pub made: u64,
    /// Calls that were not answered.
    pub failed: u64,
}

/// What protects the store from this host.
#[derive(Debug)]
pub struct StoreGuard {
    state: Mutex<GuardState>,
    made: [AtomicU64; StoreCallKind::ALL.len()],
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
    /// A guard with a budget of calls a second.
    pub fn new(calls_per_second: f64) -> Self {
        let burst = (calls_per_second * BURST_SECONDS).max(4.0);
        let budget = CallBudget::new(calls_per_second, burst, Instant::now());
        let breaker = CircuitBreaker::new(BREAKER_SETTINGS);
        Self {
            state: Mutex::new(GuardState { budget, breaker, last_write: None }),
            made: Default::default(),
            failed: Default::default(),
            rejected: AtomicU64::default(),
        }
    }

    /// Counts of one kind.
    pub fn count(&self, kind: StoreCallKind) -> StoreCount {
        StoreCount {
            made: self.made[kind as usize].load(Ordering::Relaxed),
            failed: self.failed[kind as usize].load(Ordering::Relaxed),
        }
    }

    /// Calls that were not made because of the budget or the breaker.
    pub fn rejected(&self) -> u64 {
        self.rejected.load(Ordering::Relaxed)
    }

    /// Whether the store may take a change of this host, or took one lately without saying so. False only if its
    /// calls have failed for a while and no write can be under way any more.
    pub fn is_reached(&self, now: Instant) -> bool {
        let state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let is_failing =
            state.breaker.failing_for(now).is_some_and(|time| time >= UNREACHABLE_AFTER);
        let is_write_in_flight = state
            .last_write
            .is_some_and(|at| now.saturating_duration_since(at) < MAX_WRITE_DURATION);
        !is_failing || is_write_in_flight
    }

    /// Takes leave for one call, waiting for the budget at most `patience`.
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
                Rejection::OverBudget(_) => return Err(self.reject("the budget of calls is spent")),
                Rejection::BreakerOpen => return Err(self.reject("it failed just now")),
            }
        }
    }

    pub(crate) fn record_success(&self) {
        self.state.lock().unwrap_or_else(PoisonError::into_inner).breaker.succeeded();
    }

    pub(crate) fn record_failure(&self, kind: StoreCallKind) {
        self.failed[kind as usize].fetch_add(1, Ordering::Relaxed);
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.breaker.failed(Instant::now(), &mut rand::rng());
    }

    fn try_admit(&self, kind: StoreCallKind, now: Instant) -> Result<(), Rejection> {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.budget.take(now).map_err(Rejection::OverBudget)?;
        state.breaker.admit(now).map_err(|_| Rejection::BreakerOpen)?;
        if kind == StoreCallKind::Put {
            state.last_write = Some(now);
        }
        self.made[kind as usize].fetch_add(1, Ordering::Relaxed);
        Ok(())
    }

    fn reject(&self, reason: &str) -> StoreError {
        self.rejected.fetch_add(1, Ordering::Relaxed);
        StoreError::Unavailable { reason: reason.into() }
    }
}

enum Rejection {
    OverBudget(Duration),
    BreakerOpen,
}

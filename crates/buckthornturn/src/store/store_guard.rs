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

const BREAKER: BreakerSettings = BreakerSettings {
    failures_to_open: 3,
    min_backoff: Duration::from_millis(250),
    max_backoff: Duration::from_secs(5),
};
/// Seconds of budget that may be spent at once.
const BURST_SECONDS: f64 = 2.0;
/// Failures must last this long until the store counts as not reached.
const CUT_OFF_AFTER: Duration = Duration::from_secs(1);
/// Time in which a write may still be under way after it was sent.
const WRITE_UNDER_WAY: Duration = Duration::from_secs(5);

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
    held_back: AtomicU64,
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
        let breaker = CircuitBreaker::new(BREAKER);
        Self {
            state: Mutex::new(GuardState { budget, breaker, last_write: None }),
            made: Default::default(),
            failed: Default::default(),
            held_back: AtomicU64::default(),
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
    pub fn held_back(&self) -> u64 {
        self.held_back.load(Ordering::Relaxed)
    }

    /// Whether the store may take a change of this host, or took one lately without saying so. False only if its
    /// calls have failed for a while and no write can be under way any more.
    pub fn is_reached(&self, now: Instant) -> bool {
        let state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let failing = state.breaker.failing_for(now).is_some_and(|time| time >= CUT_OFF_AFTER);
        let writing =
            state.last_write.is_some_and(|at| now.saturating_duration_since(at) < WRITE_UNDER_WAY);
        !failing || writing
    }

    /// Takes leave for one call, waiting for the budget at most `patience`.
    pub(crate) async fn admit(
        &self,
        kind: StoreCallKind,
        patience: Duration,
    ) -> Result<(), StoreError> {
        let end = Instant::now() + patience;
        loop {
            let wait = match self.try_admit(kind, Instant::now()) {
                Ok(()) => return Ok(()),
                Err(reason) => reason,
            };
            match wait {
                HeldBack::Budget(wait) if wait <= end.saturating_duration_since(Instant::now()) => {
                    tokio::time::sleep(wait).await;
                }
                HeldBack::Budget(_) => return Err(self.hold_back("the budget of calls is spent")),
                HeldBack::Breaker => return Err(self.hold_back("it failed just now")),
            }
        }
    }

    pub(crate) fn answered(&self) {
        self.state.lock().unwrap_or_else(PoisonError::into_inner).breaker.record_success();
    }

    pub(crate) fn not_answered(&self, kind: StoreCallKind) {
        self.failed[kind as usize].fetch_add(1, Ordering::Relaxed);
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.breaker.record_failure(Instant::now(), &mut rand::rng());
    }

    fn try_admit(&self, kind: StoreCallKind, now: Instant) -> Result<(), HeldBack> {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.budget.take_call(now).map_err(HeldBack::Budget)?;
        state.breaker.admit(now).map_err(|_| HeldBack::Breaker)?;
        if kind == StoreCallKind::Put {
            state.last_write = Some(now);
        }
        self.made[kind as usize].fetch_add(1, Ordering::Relaxed);
        Ok(())
    }

    fn hold_back(&self, reason: &str) -> StoreError {
        self.held_back.fetch_add(1, Ordering::Relaxed);
        StoreError::Unavailable { reason: reason.into() }
    }
}

enum HeldBack {
    Budget(Duration),
    Breaker,
}

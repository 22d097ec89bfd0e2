//! Takes the connections of all listeners into the budget of the process.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use coordination::admission_bounds::ConnectionRole;
use coordination::admission_budget::AdmissionBudget;
use coordination::admission_budget::AdmissionCounts;
use coordination::admission_budget::EvictionSignal;
use coordination::connection_reservation::ConnectionReservation;
use spdlog::warn;
use tokio_util::sync::CancellationToken;

use crate::resources::ConnectionMeter;

/// Time in which the log line about refusals and evictions is not repeated.
const LOG_PAUSE: Duration = Duration::from_secs(10);

/// Takes connections into the budget of the process and logs what it refuses.
#[derive(Debug)]
pub struct ConnectionGate {
    budget: Arc<AdmissionBudget>,
    logged: Mutex<LoggedCounts>,
}

/// Counts at the time of the last log line.
#[derive(Debug, Default)]
struct LoggedCounts {
    at: Option<Instant>,
    counts: AdmissionCounts,
}

/// Connection that draws on the budget until it is dropped.
#[derive(Debug)]
pub struct GatedConnection {
    reservation: ConnectionReservation,
    role: ConnectionRole,
    eviction: CancellationToken,
}

struct EvictionToken(CancellationToken);

impl EvictionSignal for EvictionToken {
    fn evict(&self) {
        self.0.cancel();
    }
}

impl ConnectionGate {
    /// Creates a gate over a budget.
    pub fn new(budget: Arc<AdmissionBudget>) -> Arc<Self> {
        Arc::new(Self { budget, logged: Mutex::default() })
    }

    /// Budget that connections and buffers draw on.
    pub fn budget(&self) -> &Arc<AdmissionBudget> {
        &self.budget
    }

    /// Takes a connection, for which an idle or slow one may be evicted; `None` if there is no room.
    pub fn admit(&self, role: ConnectionRole) -> Option<GatedConnection> {
        let eviction = CancellationToken::new();
        let signal = Arc::new(EvictionToken(eviction.clone()));
        let now = Instant::now();
        let admitted = self.budget.admit(role, signal, now);
        self.log_changes(now);
        let reservation = admitted.ok()?;
        Some(GatedConnection { reservation, role, eviction })
    }

    /// Takes a connection that is of use but not needed; `None` if there is no room without an eviction.
    pub fn admit_if_free(&self, role: ConnectionRole) -> Option<GatedConnection> {
        let eviction = CancellationToken::new();
        let signal = Arc::new(EvictionToken(eviction.clone()));
        let reservation = self.budget.admit_if_free(role, signal, Instant::now())?;
        Some(GatedConnection { reservation, role, eviction })
    }

    fn log_changes(&self, now: Instant) {
        let counts = self.budget.counts();
        let mut logged = self.logged.lock().unwrap_or_else(PoisonError::into_inner);
        let is_recent = logged.at.is_some_and(|at| now.saturating_duration_since(at) < LOG_PAUSE);
        if is_recent || counts == logged.counts {
            return;
        }
        *logged = LoggedCounts { at: Some(now), counts };
        warn!("connections or buffers over the budget", kv: {
            evicted_for_connections = counts.evicted_for_connections,
            evicted_for_bytes = counts.evicted_for_bytes,
            refused_all_busy = counts.refused_all_busy,
            refused_still_closing = counts.refused_still_closing,
            refused_bytes = counts.refused_bytes,
            used_bytes = self.budget.used_bytes() as u64
        });
    }
}

impl GatedConnection {
    /// Meter for the stream and the requests of the connection.
    pub fn meter(&self) -> ConnectionMeter {
        ConnectionMeter::new(self.reservation.wait_record(), self.role)
    }

    /// Waits until the connection is to be closed in favour of another one.
    pub async fn wait_until_evicted(&self) {
        self.eviction.cancelled().await;
    }
}

//! Connection that draws on the budget of its process.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Instant;

use crate::admission_budget::AdmissionBudget;
use crate::peer_wait::Direction;
use crate::peer_wait::PeerWait;

/// Place of one connection in the budget, which is returned when it is dropped.
#[derive(Debug)]
pub struct ConnectionReservation {
    budget: Arc<AdmissionBudget>,
    id: u64,
    wait: Arc<Mutex<PeerWait>>,
}

/// Record of how long a connection waits for its peer, which the budget reads.
#[derive(Clone, Debug)]
pub struct WaitRecord {
    wait: Arc<Mutex<PeerWait>>,
}

impl ConnectionReservation {
    pub(crate) fn new(budget: Arc<AdmissionBudget>, id: u64, wait: Arc<Mutex<PeerWait>>) -> Self {
        Self { budget, id, wait }
    }

    /// Record for those that see what the peer sends and takes.
    pub fn wait_record(&self) -> WaitRecord {
        WaitRecord { wait: Arc::clone(&self.wait) }
    }
}

impl Drop for ConnectionReservation {
    fn drop(&mut self) {
        self.budget.release_connection(self.id);
    }
}

impl WaitRecord {
    /// Starts a new message, see [`PeerWait::start_message`].
    pub fn start_message(&self, expects_input: bool, now: Instant) {
        self.update(|wait| wait.start_message(expects_input, now));
    }

    /// Records bytes that the peer sent or took.
    pub fn record_bytes(&self, direction: Direction, bytes: usize, now: Instant) {
        self.update(|wait| wait.record_bytes(direction, bytes as u64, now));
    }

    /// Records that the host waits for the peer.
    pub fn record_pending(&self, direction: Direction, now: Instant) {
        self.update(|wait| wait.record_pending(direction, now));
    }

    fn update(&self, change: impl FnOnce(&mut PeerWait)) {
        change(&mut self.wait.lock().unwrap_or_else(PoisonError::into_inner));
    }
}

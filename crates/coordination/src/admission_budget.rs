//! Decides which connections a process takes and which it evicts, and bounds the bytes that it buffers.

use std::cmp::Reverse;
use std::fmt;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Instant;

use indexmap::IndexMap;

use crate::admission_bounds::AdmissionBounds;
use crate::admission_bounds::ByteUse;
use crate::admission_bounds::ConnectionRole;
use crate::byte_reservation::ByteReservation;
use crate::connection_reservation::ConnectionReservation;
use crate::peer_wait::PeerWait;

/// Tells the owner of a connection that it is to be closed at once.
pub trait EvictionSignal: Send + Sync {
    /// Asks for the close. Called at most once, without a lock held.
    fn evict(&self);
}

/// Reason why a connection is not taken.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AdmissionRefusal {
    /// All connections run requests, so that none can be evicted.
    AllBusy,
    /// Many evicted connections are still open.
    StillClosing,
}

/// What the budget has decided since its creation.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct AdmissionCounts {
    /// Connections evicted in favour of new ones.
    pub evicted_for_connections: u64,
    /// Connections evicted as buffers were full.
    pub evicted_for_bytes: u64,
    /// Connections refused as all others ran requests.
    pub refused_all_busy: u64,
    /// Connections refused as many evicted ones were still open.
    pub refused_still_closing: u64,
    /// Buffers that got no bytes.
    pub refused_bytes: u64,
}

/// Budget of the connections and buffered bytes of a process.
pub struct AdmissionBudget {
    bounds: AdmissionBounds,
    state: Mutex<BudgetState>,
}

#[derive(Default)]
struct BudgetState {
    next_id: u64,
    connections: IndexMap<u64, ConnectionRecord>,
    /// Open connections by role, without evicted ones.
    open: [usize; ConnectionRole::ALL.len()],
    closing: usize,
    bytes: usize,
    counts: AdmissionCounts,
    /// Time of the latest admission, at which lags are compared when bytes run short.
    latest: Option<Instant>,
}

struct ConnectionRecord {
    role: ConnectionRole,
    wait: Arc<Mutex<PeerWait>>,
    signal: Arc<dyn EvictionSignal>,
    admitted_at: Instant,
    is_closing: bool,
}

impl fmt::Debug for AdmissionBudget {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.debug_struct("AdmissionBudget").field("bounds", &self.bounds).finish()
    }
}

impl Default for AdmissionBudget {
    fn default() -> Self {
        Self::new(AdmissionBounds::default())
    }
}

impl AdmissionBudget {
    /// Creates a budget of which nothing is taken.
    pub fn new(bounds: AdmissionBounds) -> Self {
        Self { bounds, state: Mutex::default() }
    }

    /// Bounds of the budget.
    pub fn bounds(&self) -> &AdmissionBounds {
        &self.bounds
    }

    /// Takes a connection. If there is no room, the one that has been idle or slow for longest is evicted.
    ///
    /// # Errors
    ///
    /// Returns the reason why the connection is not taken.
    pub fn admit(
        self: &Arc<Self>,
        role: ConnectionRole,
        signal: Arc<dyn EvictionSignal>,
        now: Instant,
    ) -> Result<ConnectionReservation, AdmissionRefusal> {
        let mut state = self.lock();
        let victim = match state.make_room(role, &self.bounds, now) {
            Ok(victim) => victim,
            Err(refusal) => {
                state.counts.count_refusal(refusal);
                return Err(refusal);
            }
        };
        let reservation = self.insert(&mut state, role, signal, now);
        drop(state);
        if let Some(signal) = victim {
            signal.evict();
        }
        Ok(reservation)
    }

    /// Takes a connection that is of use but not needed, if there is room without an eviction.
    pub fn admit_if_free(
        self: &Arc<Self>,
        role: ConnectionRole,
        signal: Arc<dyn EvictionSignal>,
        now: Instant,
    ) -> Option<ConnectionReservation> {
        let mut state = self.lock();
        state.has_room(role, &self.bounds).then(|| self.insert(&mut state, role, signal, now))
    }

    fn insert(
        self: &Arc<Self>,
        state: &mut BudgetState,
        role: ConnectionRole,
        signal: Arc<dyn EvictionSignal>,
        now: Instant,
    ) -> ConnectionReservation {
        state.latest = state.latest.max(Some(now));
        let wait = Arc::new(Mutex::new(PeerWait::new(now)));
        let id = state.next_id;
        state.next_id += 1;
        let record = ConnectionRecord {
            role,
            wait: Arc::clone(&wait),
            signal,
            admitted_at: now,
            is_closing: false,
        };
        state.connections.insert(id, record);
        state.open[role as usize] += 1;
        ConnectionReservation::new(Arc::clone(self), id, wait)
    }

    /// Reservation of no bytes yet.
    pub fn reserve(self: &Arc<Self>) -> ByteReservation {
        ByteReservation::new(Arc::clone(self))
    }

    /// Number of open connections of a role, without evicted ones.
    pub fn open_connections(&self, role: ConnectionRole) -> usize {
        self.lock().open[role as usize]
    }

    /// Number of all open connections, with evicted ones.
    pub fn all_connections(&self) -> usize {
        self.lock().connections.len()
    }

    /// Number of bytes of all buffers.
    pub fn used_bytes(&self) -> usize {
        self.lock().bytes
    }

    /// What was decided so far.
    pub fn counts(&self) -> AdmissionCounts {
        self.lock().counts
    }

    pub(crate) fn release_connection(&self, id: u64) {
        let mut state = self.lock();
        match state.connections.swap_remove(&id) {
            Some(record) if record.is_closing => state.closing -= 1,
            Some(record) => state.open[record.role as usize] -= 1,
            None => {}
        }
    }

    /// Takes bytes. For bytes that a request needs, the slowest connection is evicted as soon as they run short.
    pub(crate) fn take_bytes(&self, bytes: usize, byte_use: ByteUse) -> bool {
        let mut state = self.lock();
        let grown = state.bytes.saturating_add(bytes);
        let is_taken = grown <= self.bounds.max_bytes(byte_use);
        match is_taken {
            true => state.bytes = grown,
            false => state.counts.refused_bytes += 1,
        }
        let is_short = byte_use == ByteUse::Needed
            && state.closing == 0
            && (!is_taken || grown > self.bounds.max_bytes(ByteUse::Optional));
        let victim = match is_short {
            true => state.latest.and_then(|now| state.evict_slowest(now, |_, _| true)),
            false => None,
        };
        state.counts.evicted_for_bytes += u64::from(victim.is_some());
        drop(state);
        if let Some(signal) = victim {
            signal.evict();
        }
        is_taken
    }

    pub(crate) fn return_bytes(&self, bytes: usize) {
        self.lock().bytes -= bytes;
    }

    fn lock(&self) -> MutexGuard<'_, BudgetState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl BudgetState {
    /// Makes room for a connection, and returns the signal of the one that is evicted for it.
    fn make_room(
        &mut self,
        role: ConnectionRole,
        bounds: &AdmissionBounds,
        now: Instant,
    ) -> Result<Option<Arc<dyn EvictionSignal>>, AdmissionRefusal> {
        if self.has_room(role, bounds) {
            return Ok(None);
        }
        let is_role_full = self.is_role_full(role, bounds);
        if self.closing >= bounds.closing {
            return Err(AdmissionRefusal::StillClosing);
        }
        let victim = self.evict_slowest(now, |other, open| match is_role_full {
            true => other == role,
            false => other == role || open > bounds.assured_connections(other),
        });
        self.counts.evicted_for_connections += u64::from(victim.is_some());
        victim.map(Some).ok_or(AdmissionRefusal::AllBusy)
    }

    fn has_room(&self, role: ConnectionRole, bounds: &AdmissionBounds) -> bool {
        !self.is_role_full(role, bounds)
            && self.open_with_assured(role, bounds) < bounds.connections
    }

    fn is_role_full(&self, role: ConnectionRole, bounds: &AdmissionBounds) -> bool {
        self.open[role as usize] >= bounds.max_connections(role)
    }

    /// Open connections, with what is assured to the other roles and not taken by them.
    fn open_with_assured(&self, role: ConnectionRole, bounds: &AdmissionBounds) -> usize {
        let taken = |other: ConnectionRole| {
            let open = self.open[other as usize];
            if other == role { open } else { open.max(bounds.assured_connections(other)) }
        };
        ConnectionRole::ALL.into_iter().map(taken).sum()
    }

    /// Evicts the connection whose peer lags most, among roles that `may_lose` one of their open connections.
    fn evict_slowest(
        &mut self,
        now: Instant,
        may_lose: impl Fn(ConnectionRole, usize) -> bool,
    ) -> Option<Arc<dyn EvictionSignal>> {
        let open = self.open;
        let lag = |record: &ConnectionRecord| {
            let wait = record.wait.lock().unwrap_or_else(PoisonError::into_inner);
            wait.lag(now)
        };
        let (record, _) = self
            .connections
            .values_mut()
            .filter(|record| !record.is_closing && record.role.is_evictable())
            .filter(|record| may_lose(record.role, open[record.role as usize]))
            .filter_map(|record| lag(record).map(|lag| (record, lag)))
            .max_by_key(|(record, lag)| (*lag, Reverse(record.admitted_at)))?;
        record.is_closing = true;
        self.open[record.role as usize] -= 1;
        self.closing += 1;
        Some(Arc::clone(&record.signal))
    }
}

impl AdmissionCounts {
    fn count_refusal(&mut self, refusal: AdmissionRefusal) {
        match refusal {
            AdmissionRefusal::AllBusy => self.refused_all_busy += 1,
            AdmissionRefusal::StillClosing => self.refused_still_closing += 1,
        }
    }
}

//! Pool of idle connections to targets.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use coordination::admission_bounds::ConnectionRole;
use coordination::ids::CustomerId;
use indexmap::IndexMap;
use spdlog::warn;

use crate::callers::ConnectError;
use crate::callers::Idle;
use crate::callers::TargetConnection;
use crate::interface::StreamDialer;
use crate::resources::ConnectionGate;
use crate::resources::GatedConnection;

/// Largest number of idle connections to one target for one customer.
const MAX_IDLE_PER_KEY: usize = 256;
/// Time for which a connection must have been silent after an answer before it is reused.
const MIN_IDLE_AGE: Duration = Duration::from_millis(10);
/// Longest time for which an idle connection may be reused.
const MAX_IDLE_AGE: Duration = Duration::from_secs(4);
/// Time for which no connection to a target is reused after the target sent bytes that no request asked for.
const REUSE_SUSPENSION: Duration = Duration::from_secs(60);
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// Key under which idle connections are shared, so that a stray answer of a target can never reach another customer.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct PoolKey {
    /// Address of the target that the connections lead to.
    pub address: SocketAddr,
    /// Customer whose requests the connections carried; requests without a customer share connections under `None`.
    pub customer: Option<CustomerId>,
}

/// Pool of idle connections to targets, which are reused only if their last answer ended cleanly. Clones share the
/// pool.
#[derive(Clone)]
pub struct TargetPool {
    dialer: Arc<dyn StreamDialer>,
    gate: Option<Arc<ConnectionGate>>,
    state: Arc<Mutex<PoolState>>,
}

#[derive(Default)]
struct PoolState {
    idle_connections: IndexMap<PoolKey, VecDeque<IdleConnection>>,
    suspended_until: IndexMap<SocketAddr, Instant>,
    next_sweep_at: Option<Instant>,
}

struct IdleConnection {
    connection: TargetConnection<Idle>,
    idle_since: Instant,
    reusable_until: Instant,
    _place: Option<GatedConnection>,
}

impl TargetPool {
    /// Creates an empty pool, whose connections `dialer` opens.
    pub fn new(dialer: Arc<dyn StreamDialer>) -> Self {
        Self { dialer, gate: None, state: Arc::default() }
    }

    /// Lets idle connections draw on the budget of the process; those for which it has no room are closed.
    pub fn with_gate(self, gate: Arc<ConnectionGate>) -> Self {
        Self { gate: Some(gate), ..self }
    }

    /// Takes the connection that has been idle the longest, if it is reusable and was silent for long enough.
    pub fn take_connection(&self, key: &PoolKey) -> Option<TargetConnection<Idle>> {
        let now = Instant::now();
        let mut state = self.lock();
        if state.is_reuse_suspended(key.address, now) {
            return None;
        }
        let idle = state.idle_connections.get_mut(key)?;
        while idle.front().is_some_and(|entry| now.duration_since(entry.idle_since) >= MIN_IDLE_AGE)
        {
            let entry = idle.pop_front()?;
            if now <= entry.reusable_until && entry.connection.is_reusable() {
                return Some(entry.connection);
            }
        }
        None
    }

    /// Returns a connection whose answer was read to its end. It may be reused for `keep_for`, at most for
    /// `MAX_IDLE_AGE`, which also applies to `None`.
    pub fn return_connection(
        &self,
        key: PoolKey,
        connection: TargetConnection<Idle>,
        keep_for: Option<Duration>,
    ) {
        let place = self.gate.as_ref().map(|gate| gate.admit_if_free(ConnectionRole::Outgoing));
        let place = match place {
            Some(None) => return,
            place => place.flatten(),
        };
        let now = Instant::now();
        let reusable_until = now + keep_for.unwrap_or(MAX_IDLE_AGE).min(MAX_IDLE_AGE);
        let mut state = self.lock();
        state.sweep_idle(now);
        if state.is_reuse_suspended(key.address, now) {
            return;
        }
        let idle = state.idle_connections.entry(key).or_default();
        if idle.len() >= MAX_IDLE_PER_KEY {
            idle.pop_front();
        }
        idle.push_back(IdleConnection {
            connection,
            idle_since: now,
            reusable_until,
            _place: place,
        });
    }

    /// Opens a new connection. Reuse for the target is suspended if the connection fails with a protocol error.
    ///
    /// # Errors
    ///
    /// Fails if the target refuses the connection or does not accept it within `timeout`.
    pub async fn open_connection(
        &self,
        address: SocketAddr,
        timeout: Duration,
    ) -> Result<TargetConnection<Idle>, ConnectError> {
        let pool = self.clone();
        TargetConnection::open(&*self.dialer, address, timeout, move || pool.suspend_reuse(address))
            .await
    }

    /// Closes the idle connections to a target.
    pub fn close_idle(&self, address: SocketAddr) {
        self.lock().idle_connections.retain(|key, _| key.address != address);
    }

    /// Closes the idle connections to a target, and reuses none to it for `REUSE_SUSPENSION`.
    pub fn suspend_reuse(&self, address: SocketAddr) {
        warn!("target broke the protocol, its connections are not reused", kv: { address: });
        let mut state = self.lock();
        state.suspended_until.insert(address, Instant::now() + REUSE_SUSPENSION);
        state.idle_connections.retain(|key, _| key.address != address);
    }

    fn lock(&self) -> MutexGuard<'_, PoolState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl PoolState {
    fn is_reuse_suspended(&self, address: SocketAddr, now: Instant) -> bool {
        self.suspended_until.get(&address).is_some_and(|until| now < *until)
    }

    fn sweep_idle(&mut self, now: Instant) {
        if self.next_sweep_at.is_some_and(|at| now < at) {
            return;
        }
        self.next_sweep_at = Some(now + SWEEP_INTERVAL);
        self.suspended_until.retain(|_, until| now < *until);
        self.idle_connections.retain(|_, idle| {
            idle.retain(|entry| now <= entry.reusable_until && !entry.connection.is_closed());
            !idle.is_empty()
        });
    }
}

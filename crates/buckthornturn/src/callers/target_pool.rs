//! Idle connections to targets.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use coordination::ids::CustomerId;
use indexmap::IndexMap;
use spdlog::warn;

use crate::callers::ConnectError;
use crate::callers::TargetConnection;
use crate::interface::StreamDialer;

/// Most idle connections to one target for one customer.
const MAX_IDLE: usize = 256;
/// Time for which a connection must have been silent after an answer before it is used again.
const QUARANTINE: Duration = Duration::from_millis(10);
/// Longest time for which an idle connection is kept.
const MAX_IDLE_AGE: Duration = Duration::from_secs(4);
/// Time for which no connection to a target is used again after the target sent bytes that nobody asked for.
const DISTRUST: Duration = Duration::from_secs(60);
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// Who shares idle connections: a stray answer of a target can never reach another customer.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct PoolKey {
    /// Address of the target.
    pub address: SocketAddr,
    /// Customer whose requests it carried.
    pub customer: Option<CustomerId>,
}

/// Idle connections to targets, reused only in a known clean state.
#[derive(Clone)]
pub struct TargetPool {
    dialer: Arc<dyn StreamDialer>,
    shelf: Arc<Mutex<PoolShelf>>,
}

#[derive(Default)]
struct PoolShelf {
    idle: IndexMap<PoolKey, VecDeque<IdleConnection>>,
    distrusted: IndexMap<SocketAddr, Instant>,
    sweep_at: Option<Instant>,
}

struct IdleConnection {
    connection: TargetConnection,
    since: Instant,
    until: Instant,
}

impl TargetPool {
    /// An empty pool whose connections a dialer opens.
    pub fn new(dialer: Arc<dyn StreamDialer>) -> Self {
        Self { dialer, shelf: Arc::default() }
    }

    /// Takes an idle connection that is clean and was silent for long enough.
    pub fn take(&self, key: &PoolKey) -> Option<TargetConnection> {
        let now = Instant::now();
        let mut shelf = self.lock();
        if shelf.is_distrusted(key.address, now) {
            return None;
        }
        let idle = shelf.idle.get_mut(key)?;
        while idle.front().is_some_and(|entry| now.duration_since(entry.since) >= QUARANTINE) {
            let entry = idle.pop_front()?;
            if now <= entry.until && entry.connection.is_clean() {
                return Some(entry.connection);
            }
        }
        None
    }

    /// Keeps a connection whose answer was read to its end, at most for the time given.
    pub fn put(&self, key: PoolKey, connection: TargetConnection, keep_for: Option<Duration>) {
        let now = Instant::now();
        let until = now + keep_for.unwrap_or(MAX_IDLE_AGE).min(MAX_IDLE_AGE);
        let mut shelf = self.lock();
        shelf.sweep(now);
        if shelf.is_distrusted(key.address, now) {
            return;
        }
        let idle = shelf.idle.entry(key).or_default();
        if idle.len() >= MAX_IDLE {
            idle.pop_front();
        }
        idle.push_back(IdleConnection { connection, since: now, until });
    }

    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// Fails if the target does not accept in time.
    pub async fn open(
        &self,
        address: SocketAddr,
        timeout: Duration,
    ) -> Result<TargetConnection, ConnectError> {
        let pool = self.clone();
        TargetConnection::open(&*self.dialer, address, timeout, move || pool.distrust(address))
            .await
    }

    /// Closes the idle connections to a target and uses none again for a while.
    pub fn distrust(&self, address: SocketAddr) {
        warn!("target broke the protocol, its connections are not reused", kv: { address: });
        let mut shelf = self.lock();
        shelf.distrusted.insert(address, Instant::now() + DISTRUST);
        shelf.idle.retain(|key, _| key.address != address);
    }

    fn lock(&self) -> MutexGuard<'_, PoolShelf> {
        self.shelf.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl PoolShelf {
    fn is_distrusted(&self, address: SocketAddr, now: Instant) -> bool {
        self.distrusted.get(&address).is_some_and(|until| now < *until)
    }

    fn sweep(&mut self, now: Instant) {
        if self.sweep_at.is_some_and(|at| now < at) {
            return;
        }
        self.sweep_at = Some(now + SWEEP_INTERVAL);
        self.distrusted.retain(|_, until| now < *until);
        self.idle.retain(|_, idle| {
            idle.retain(|entry| now <= entry.until && !entry.connection.is_closed());
            !idle.is_empty()
        });
    }
}

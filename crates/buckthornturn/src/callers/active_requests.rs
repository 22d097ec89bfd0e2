//! Requests that wait for admission or are running, so that they can be cancelled when the caller's permission is
//! withdrawn.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use coordination::ids::Revision;
use indexmap::IndexMap;
use spdlog::info;
use tokio_util::sync::CancellationToken;

use crate::callers::CallerPermission;
use crate::configuration::ConfigurationCell;
use crate::configuration::ConfigurationState;

/// Register of the requests that wait for admission or are running. Clones share the register.
#[derive(Clone, Default)]
pub struct ActiveRequests {
    register: Arc<Mutex<ActiveRegister>>,
}

#[derive(Default)]
struct ActiveRegister {
    next_number: u64,
    entries: IndexMap<u64, ActiveEntry>,
}

struct ActiveEntry {
    permission: CallerPermission,
    token: CancellationToken,
}

/// Registration of one request; dropping it removes the request from the register.
pub struct ActiveGuard {
    number: u64,
    token: CancellationToken,
    register: Arc<Mutex<ActiveRegister>>,
}

impl ActiveRequests {
    /// Adds a request, which is cancelled once `permission` no longer holds.
    pub fn register_request(&self, permission: CallerPermission) -> ActiveGuard {
        let token = CancellationToken::new();
        let mut register = lock(&self.register);
        let number = register.next_number;
        register.next_number += 1;
        register.entries.insert(number, ActiveEntry { permission, token: token.clone() });
        ActiveGuard { number, token, register: Arc::clone(&self.register) }
    }

    /// Number of requests that wait for admission or are running.
    pub fn count(&self) -> usize {
        lock(&self.register).entries.len()
    }

    /// Cancels requests that are no longer allowed, each time the configuration changes. Runs until it is dropped or
    /// the configuration cell is closed.
    pub async fn watch_configuration(self, cell: ConfigurationCell) {
        let mut receiver = cell.subscribe();
        let mut last_revision: Revision = 0;
        loop {
            let state = Arc::clone(&receiver.borrow_and_update());
            if state.revision != last_revision {
                last_revision = state.revision;
                self.cancel_disallowed(&state);
            }
            if receiver.changed().await.is_err() {
                return;
            }
        }
    }

    fn cancel_disallowed(&self, state: &ConfigurationState) {
        let register = lock(&self.register);
        let revoked = register
            .entries
            .values()
            .filter(|entry| !entry.token.is_cancelled())
            .filter(|entry| entry.permission.authorize(state).is_err());
        let mut count = 0_u64;
        for entry in revoked {
            entry.token.cancel();
            count += 1;
        }
        if count > 0 {
            info!("running requests cut", kv: { count:, revision = state.revision });
        }
    }
}

impl ActiveGuard {
    /// Token that is cancelled when a new configuration no longer allows the request.
    pub fn token(&self) -> &CancellationToken {
        &self.token
    }
}

impl Drop for ActiveGuard {
    fn drop(&mut self) {
        lock(&self.register).entries.swap_remove(&self.number);
    }
}

fn lock(register: &Mutex<ActiveRegister>) -> MutexGuard<'_, ActiveRegister> {
    register.lock().unwrap_or_else(PoisonError::into_inner)
}

//! Requests that wait or run now, so that a withdrawal reaches them.

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

/// Requests that wait or run now.
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

/// Keeps a request in the register until it is dropped.
pub struct ActiveGuard {
    number: u64,
    token: CancellationToken,
    register: Arc<Mutex<ActiveRegister>>,
}

impl ActiveRequests {
    /// Takes a request into the register.
    pub fn register_request(&self, permission: CallerPermission) -> ActiveGuard {
        let token = CancellationToken::new();
        let mut register = lock(&self.register);
        let number = register.next_number;
        register.next_number += 1;
        register.entries.insert(number, ActiveEntry { permission, token: token.clone() });
        ActiveGuard { number, token, register: Arc::clone(&self.register) }
    }

    /// Number of requests that wait or run.
    pub fn count(&self) -> usize {
        lock(&self.register).entries.len()
    }

    /// Cuts requests that are no longer allowed, at each change of the configuration, until dropped.
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
    /// Token that is cancelled when the request is no longer allowed.
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

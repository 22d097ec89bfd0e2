//! Configuration cell.

use std::sync::Arc;

use tokio::sync::watch;

use crate::configuration::ConfigurationState;

/// The state in force on this host; it only moves forward.
#[derive(Clone, Debug)]
pub struct ConfigurationCell {
    sender: watch::Sender<Arc<ConfigurationState>>,
}

impl ConfigurationCell {
    /// A cell in which nothing is known yet.
    pub fn new() -> Self {
        Self { sender: watch::Sender::new(Arc::default()) }
    }

    /// State in force now.
    pub fn load(&self) -> Arc<ConfigurationState> {
        Arc::clone(&self.sender.borrow())
    }

    /// Puts a later state in force; an earlier or equal one is ignored. Returns whether it was taken.
    pub fn replace_if_newer(&self, state: Arc<ConfigurationState>) -> bool {
        self.sender.send_if_modified(|current| match state.revision > current.revision {
            true => {
                *current = state;
                true
            }
            false => false,
        })
    }

    /// A receiver that wakes at each later state.
    pub fn subscribe(&self) -> watch::Receiver<Arc<ConfigurationState>> {
        self.sender.subscribe()
    }
}

impl Default for ConfigurationCell {
    fn default() -> Self {
        Self::new()
    }
}
